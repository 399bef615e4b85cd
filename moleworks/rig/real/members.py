"""The store's members as processes under faults: links between every two, kills, stops; judged from outside.

Writers and holders run here, on sockets of their own; what they asked and were answered is all that the judge sees.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from msgspec import Struct

from moleworks.duties.holder import Holder
from moleworks.store.client import Client, Unavailable
from moleworks.store.state import Condition, Guard, Put

from ..linear import Holding, Op, TooLong, held_twice, linearizable, tokens_broken
from .procs import Block, Child, Process

NAMES = ("a", "b", "c")
DUTY = "lead"
TTL_MS = 700
ROOT = Path(__file__).resolve().parents[3]


class Seen(Struct):
    """What came of one seed."""

    seed: int
    broken: list[str] = []
    faults: list[str] = []
    operations: int = 0
    unknown: int = 0
    grants: int = 0
    refused: int = 0


class Run:
    """One run of some seconds."""

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        self.seed, self.seconds, self.folder = seed, seconds, folder
        self.rng = random.Random(f"members {seed}")
        self.block = Block()
        self.at = {name: self.block.at(2, 7000 + index) for index, name in enumerate(NAMES)}
        self.ways = {(one, other): index for index, (one, other) in enumerate(
            (one, other) for one in NAMES for other in NAMES if one != other)}
        self.processes: dict[str, Process] = {}
        self.links: Child | None = None
        self.seen = Seen(seed)
        self.ops: dict[str, list[Op]] = {}
        self.holdings: list[Holding] = []
        self.granted: list[tuple[int, int]] = []
        self.guarded: list[tuple[int, int, str]] = []
        self.over = False
        self._begun = time.monotonic()

    async def start(self, name: str) -> None:
        """A member's process; its peers are reached through links."""
        peers = {name: self.at[name]}
        for other in NAMES:
            if other != name:
                peers[other] = self.block.at(3, 8000 + self.ways[name, other])
        told = ",".join("{}={}:{}".format(peer, *where) for peer, where in peers.items())
        self.processes[name] = await Process.start(
            name, [sys.executable, "-B", "-m", "moleworks", "--log-level", "error", "store", "serve", "--name", name,
                   "--listen", "{}:{}".format(*self.at[name]), "--folder", str(self.folder / name), "--peers", told,
                   "--cluster", "rig"], ROOT, dict(os.environ), self.folder / f"{name}.log")

    async def run(self) -> Seen:
        """All of it; nothing is left behind."""
        try:
            links = [{"source": one, "name": other, "listen": self.block.at(3, 8000 + index),
                      "target": self.at[other], "announce": False} for (one, other), index in self.ways.items()]
            self.links = await Child.start("links", "moleworks.rig.real.link", {
                "part": str(self.folder / "links.part"), "links": links, "hubs": [], "seed": self.seed}, self.folder)
            for name in NAMES:
                await self.start(name)
            jobs = [asyncio.create_task(self._write(number)) for number in range(3)]
            jobs += [asyncio.create_task(self._hold(f"d{number}")) for number in range(2)]
            await self._faults()
            await asyncio.sleep(3.0)
            last = await self._calm()
            self.over = True
            await asyncio.wait(jobs, timeout=8.0)
            for job in jobs:
                if job.done() and not job.cancelled() and job.exception() is not None:
                    self.seen.broken.append(f"a client stumbled: {job.exception()!r}")
                job.cancel()
            self._judge(last)
        finally:
            await asyncio.gather(*(process.end() for process in self.processes.values()), return_exceptions=True)
            if self.links is not None:
                await self.links.process.end()
            self.block.close()
        return self.seen

    # ---- Faults ------------------------------------------------------------------------------------------

    async def _faults(self) -> None:
        assert self.links is not None
        await asyncio.sleep(1.5)
        ends = time.monotonic() + self.seconds
        kinds: list[Callable[[], Any]] = [self._kill, self._kill, self._stop, self._cut, self._cut, self._alone,
                                          self._reset, self._all]
        while time.monotonic() < ends:
            await self.rng.choice(kinds)()
            await asyncio.sleep(self.rng.uniform(0.1, 0.8))

    def _say(self, text: str) -> None:
        self.seen.faults.append(f"{time.monotonic() - self._begun:.2f} {text}")

    async def _kill(self) -> None:
        name = self.rng.choice(NAMES)
        self._say(f"kill {name}")
        await self.processes[name].end()
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        await self.start(name)

    async def _all(self) -> None:
        self._say("kill all")
        await asyncio.gather(*(process.end() for process in self.processes.values()))
        for name in NAMES:
            await self.start(name)

    async def _stop(self) -> None:
        name = self.rng.choice(NAMES)
        self._say(f"stop {name}")
        self.processes[name].signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        self.processes[name].signal(signal.SIGCONT)

    def _fault(self, kind: str, ways: list[int], begins: bool, forth: bool = True, back: bool = True) -> None:
        assert self.links is not None
        self.links.tell("fault", links=ways, kind=kind, begins=begins, size=0.0, forth=forth, back=back)

    async def _cut(self) -> None:
        one, other = self.rng.sample(NAMES, 2)
        ways = [self.ways[one, other]] + ([self.ways[other, one]] if self.rng.random() < 0.5 else [])
        self._say(f"cut {one} {other} {len(ways)}")
        self._fault("cut", ways, True)
        await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        self._fault("cut", ways, False)

    async def _alone(self) -> None:
        name = self.rng.choice(NAMES)
        ways = [index for pair, index in self.ways.items() if name in pair]
        self._say(f"alone {name}")
        self._fault("cut", ways, True)
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        self._fault("cut", ways, False)

    async def _reset(self) -> None:
        self._say("reset")
        self._fault("reset", list(self.ways.values()), True)

    # ---- Clients -----------------------------------------------------------------------------------------

    def _client(self, timeout_s: float) -> Client:
        return Client(list(self.at.values()), "rig", timeout_s)

    def _note(self, key: str, op: Op) -> None:
        self.ops.setdefault(key, []).append(op)
        self.seen.operations += 1
        self.seen.unknown += op.returned is None

    async def _write(self, number: int) -> None:
        """Puts, compares and sets, and reads two records; every value is one of a kind."""
        rng = random.Random(f"writer {number} {self.seed}")
        count = 0
        known: dict[str, Any] = {}
        while not self.over:
            async with self._client(2.5) as client:
                with contextlib.suppress(Unavailable):
                    while not self.over:
                        await asyncio.sleep(rng.uniform(0.01, 0.12))
                        key = f"k{rng.randrange(2)}"
                        count += 1
                        await self._operate(client, key, f"{number}-{count}".encode(), rng.random(), known)

    async def _operate(self, client: Client, key: str, value: bytes, kind: float, known: dict[str, Any]) -> None:
        called = time.monotonic_ns()
        if kind < 0.4:
            row = await client.get(key)
            known[key] = (None, 0) if row is None else (row.value, row.revision)
            self._note(key, Op(called, time.monotonic_ns(), "get", None, known[key][0]))
            return
        expected = known.get(key) if kind < 0.7 else None
        conditions = (Condition(key, expected[1]),) if expected is not None else ()
        kind_of, argument = ("cas", (expected[0], value)) if expected is not None else ("put", value)
        try:
            result = await client.change((Put(key, value),), conditions)
        except Unavailable:
            self._note(key, Op(called, None, kind_of, argument, False))
            raise
        self._note(key, Op(called, time.monotonic_ns(), kind_of, argument, result.done,
                           result.revision if result.done else 0))
        if result.done:
            known[key] = (value, result.revision)

    async def _hold(self, name: str) -> None:
        """Wants the duty, writes under it, and at times goes on late, as if it had been stopped."""
        rng = random.Random(f"{name} {self.seed}")
        while not self.over:
            async with self._client(1.5) as client:
                holder = Holder(client, DUTY, name, TTL_MS)
                try:
                    async with asyncio.timeout(4.0):
                        held = await holder.acquire()
                except TimeoutError:
                    continue
                begun = time.monotonic_ns()
                self.granted.append((begun, held.token))
                self.seen.grants += 1
                keeping = asyncio.create_task(holder.keep(lambda: self.over))
                try:
                    while holder.holds() and not self.over and rng.random() > 0.05:
                        await asyncio.sleep(rng.uniform(0.02, 0.15))
                        await self._guarded(name, held.token)
                finally:
                    keeping.cancel()
                    until = min(time.monotonic_ns(), held.until)
                    self.holdings.append(Holding(DUTY, name, held.token, begun, max(begun, until)))
                await asyncio.sleep(rng.uniform(0.0, 1.5))
                await self._guarded(name, held.token)   # late: others may hold it by now

    async def _guarded(self, name: str, token: int) -> None:
        called = time.monotonic_ns()
        async with self._client(0.6) as client:
            with contextlib.suppress(Unavailable):
                result = await client.change((Put("guarded", name.encode()),), (), Guard(DUTY, token))
                if result.done:
                    self.guarded.append((called, token, name))
                self.seen.refused += result.why == "token"

    # ---- The judge ---------------------------------------------------------------------------------------

    async def _calm(self) -> bool:
        """Whether the store answers once faults are over."""
        async with self._client(8.0) as client:
            for key in ("k0", "k1"):
                called = time.monotonic_ns()
                try:
                    row = await client.get(key)
                except Unavailable:
                    return False
                self._note(key, Op(called, time.monotonic_ns(), "get", None, None if row is None else row.value))
        return True

    def _judge(self, answers: bool) -> None:
        told = self.seen.broken
        if not answers:
            told.append("no answer after the faults were over")
        for key, ops in sorted(self.ops.items()):
            try:
                if not linearizable(ops):
                    told.append(f"{key} is not linearizable")
            except TooLong:
                told.append(f"{key}: not decided")
        told += held_twice(self.holdings) + tokens_broken(self.granted, self.guarded)


def play(seed: int, seconds: float) -> Seen:
    """One seed; its folder is removed again."""
    folder = Path(tempfile.mkdtemp(prefix="moleworks-members-"))
    try:
        return asyncio.run(Run(seed, seconds, folder).run())
    finally:
        shutil.rmtree(folder)
