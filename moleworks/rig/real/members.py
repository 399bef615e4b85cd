"""The store's members, its writers and the keepers of a duty, under faults: every way between two of them is a link.

Writers and a watcher run here, keepers as processes of their own; what all of them asked and were answered is the
history, which store_judge.py reads.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import shutil
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import msgspec

from moleworks.store.client import Client, Refused, Unavailable
from moleworks.store.state import Condition, Put

from .. import history
from ..store_history import Calm, Event, Operation, ProcessEvent, StoreRun, Truth, Usage
from ..store_judge import judge
from ..store_spec import MEMBERS, SPARES, StoreExperiment, schedule
from .child import Clock
from .procs import Block, Child, Process

SETTLE_S = 4.0
"""So long after the last change watchers may take to hear of it."""
ROOT = Path(__file__).resolve().parents[3]
WATCHER = "watcher"
WATCHERS, HOSTS = "watchers", "hosts"
"""Those who watch the list, and those who keep themselves in it."""


class Run:
    """One run, from the first port to the last."""

    def __init__(self, experiment: StoreExperiment, folder: Path) -> None:
        self.experiment, self.folder = experiment, folder
        self.block = Block()
        self.clock = Clock()
        self.names = list(MEMBERS[:experiment.members])
        self.schedule = schedule(experiment)
        self.all = [*self.names, *(name for name in SPARES if any(fault.on == name for fault in self.schedule))]
        self.keepers = [f"d{number}" for number in range(experiment.keepers)]
        self.writers = [f"w{number}" for number in range(experiment.writers)]
        self.at = {name: self.block.at(2, 7000 + index) for index, name in enumerate(self.all)}
        self.services = [f"r{number}" for number in range(experiment.services)]
        self.service_at = {name: self.block.at(4, 7000 + index) for index, name in enumerate(self.services)}
        self.ways = {pair: index for index, pair in enumerate(
            [*((source, target) for source in (*self.all, *self.keepers, *self.writers, WATCHER, *self.services)
               for target in self.all if source != target),
             *((source, target) for source in (WATCHERS, HOSTS) for target in self.services)])}
        self.writer = history.Writer(folder / "rig.part")
        self.processes: dict[str, Process] = {}
        self.children: dict[str, Child] = {}
        self.holds: dict[str, int] = {}       # keepers that say they hold the duty, with its token
        self.wanted_down: set[str] = set()
        self.links: Child | None = None
        self.over = False
        self.watched = 0                      # the newest revision that the watch told
        self._parts = 0
        self._tasks: list[asyncio.Task[Any]] = []

    # ---- Who is there ------------------------------------------------------------------------------------

    def through(self, source: str, target: str) -> tuple[str, int]:
        """Where `source` reaches `target`."""
        return self.block.at(3, 8000 + self.ways[source, target])

    def client(self, source: str, timeout_s: float) -> Client:
        """A client on its own links."""
        return Client({target: self.through(source, target) for target in self.all}, "rig", timeout_s)

    def died(self, who: str, what: str, why: str = "") -> None:
        """A line on a process."""
        self.writer.add(ProcessEvent(self.clock.now(), who, what, why))

    async def start_member(self, name: str, joins: bool = False) -> None:
        """A member's process; its peers are reached through links."""
        peers = {other: self.at[name] if other == name else self.through(name, other) for other in self.all}
        told = ",".join("{}={}:{}".format(peer, *where) for peer, where in peers.items())
        first = [] if joins or name not in self.names else ["--first", ",".join(self.names)]
        odd = {"delay": str(self.folder / f"{name}.delay"), "without": self.experiment.without}
        self.wanted_down.discard(name)
        self.processes[name] = await Process.start(
            name, [sys.executable, "-B", "-m", "moleworks.rig.real.odd", msgspec.json.encode(odd).decode(),
                   "--log-level", "error", "store", "serve", "--name", name,
                   "--listen", "{}:{}".format(*self.at[name]), "--folder", str(self.folder / name), "--peers", told,
                   "--cluster", "rig", *first, *(["--join"] if joins else [])], ROOT, dict(os.environ),
            self.folder / f"{name}.log")
        self.died(name, "started")
        self._tasks.append(asyncio.create_task(self._wait(name, self.processes[name])))

    async def _wait(self, name: str, process: Process) -> None:
        code = await process.wait()
        if name not in self.wanted_down and process is self.processes.get(name):
            words = (self.folder / f"{name}.log").read_text(errors="replace").strip().splitlines()
            self.died(name, "ended", f"{code}: {words[-1] if words else ''}")

    async def kill(self, name: str) -> None:
        """SIGKILL to a member or a keeper."""
        self.wanted_down.add(name)
        self.died(name, "killed")
        self.holds.pop(name, None)
        await (self.children[name].process if name in self.children else self.processes[name]).end()

    async def start_keeper(self, name: str) -> None:
        """A keeper's process; each start has a history of its own."""
        self._parts += 1

        def heard(told: dict[str, Any]) -> None:
            if told["what"] == "holds":
                self.holds[name] = told["token"]
            elif told["what"] == "lets":
                self.holds.pop(name, None)
        self.children[name] = await Child.start(f"{name}-{self._parts}", "moleworks.rig.real.keeper", {
            "part": str(self.folder / f"{name}-{self._parts}.part"), "name": name, "ttl_ms": self.experiment.ttl_ms,
            "tires": self.experiment.tires,
            "addresses": {target: self.through(name, target) for target in self.all},
            "seed": f"{self.experiment.seed} {self._parts}", "without": self.experiment.without}, self.folder, heard)
        self.wanted_down.discard(name)
        self.children[name].tell("go", epoch=self.clock.epoch)

    async def start_service(self, name: str) -> None:
        """A process of the list service; it reaches the store's members through links."""
        odd = {"delay": "", "without": self.experiment.without}
        told = ",".join("{}={}:{}".format(target, *self.through(name, target)) for target in self.all)
        self.wanted_down.discard(name)
        self.processes[name] = await Process.start(
            name, [sys.executable, "-B", "-m", "moleworks.rig.real.odd", msgspec.json.encode(odd).decode(),
                   "--log-level", "warning", "registry", "serve", "--name", name,
                   "--listen", "{}:{}".format(*self.service_at[name]), "--store", told, "--cluster", "rig",
                   "--bound", str(self.experiment.bound_s)], ROOT, dict(os.environ), self.folder / f"{name}.log")
        self.died(name, "started")
        self._tasks.append(asyncio.create_task(self._wait(name, self.processes[name])))

    async def _start_list(self) -> None:
        """Services, those who watch them, and hosts."""
        experiment = self.experiment
        await asyncio.gather(*(self.start_service(name) for name in self.services))
        if not self.services:
            return
        self.children[HOSTS] = await Child.start(HOSTS, "moleworks.rig.real.listed", {
            "part": str(self.folder / "hosts.part"), "hosts": experiment.hosts, "ttl_ms": experiment.host_ttl_ms,
            "addresses": [self.through(HOSTS, target) for target in self.services], "seed": experiment.seed,
            "operator_every_s": experiment.operator_every_s}, self.folder)
        each = 250
        for number in range(0, experiment.watchers, each):
            name = f"{WATCHERS}{number // each}"
            self.children[name] = await Child.start(name, "moleworks.rig.real.watching", {
                "part": str(self.folder / f"{name}.part"), "watchers": min(each, experiment.watchers - number),
                "readers": 0 if number else experiment.readers, "records": experiment.records,
                "addresses": [self.through(WATCHERS, target) for target in self.services],
                "first": number, "seed": f"{experiment.seed} {number}", "without": experiment.without}, self.folder)
        for name, child in self.children.items():
            if name not in self.keepers:
                child.tell("go", epoch=self.clock.epoch)

    def _usage(self) -> None:
        for name in self.services:
            cpu, mb = self.processes[name].usage()
            self.writer.add(Usage(self.clock.now(), name, cpu, mb))

    async def _truth(self) -> None:
        """What the store's records of hosts were, from the first revision on."""
        if not self.services:
            return
        async with Client({name: self.at[name] for name in self.all if name in self.processes}, "rig", 8.0) as client:
            last = (await client.list("reg/", 0)).revision
            async for events, here in client.watch_batches("reg/hosts/", 0):
                for event in events:
                    row = None if event.value is None else msgspec.json.decode(event.value)["row"]
                    self.writer.add(Truth(self.clock.now(), event.revision, event.key.removeprefix("reg/hosts/"),
                                          None if row is None else [row["lifecycle"], row["hostPort"]]))
                if here >= last:
                    return

    def tell_links(self, pairs: list[tuple[str, str]], kind: str, begins: bool, forth: bool = True,
                   back: bool = True) -> None:
        """A fault on these ways."""
        assert self.links is not None
        self.links.tell("fault", links=[self.ways[pair] for pair in pairs if pair in self.ways], kind=kind,
                        begins=begins, size=0.0, forth=forth, back=back)

    async def leader(self) -> str:
        """Who leads, by what a majority of members says; empty where nobody does."""
        found: dict[str, int] = {}
        for name in self.all:
            process = self.processes.get(name)
            if process is not None and not process.over:
                with contextlib.suppress(Unavailable, Refused):
                    async with Client([self.at[name]], "rig", 0.1) as client:
                        told = (await client.status()).leader
                        found[told] = found.get(told, 0) + 1
        best = max(found, key=lambda name: found[name], default="")
        return best if found.get(best, 0) >= 2 else ""

    # ---- The run -----------------------------------------------------------------------------------------

    async def run(self) -> None:
        """All of it; nothing is left behind."""
        from .store_faults import Faults
        experiment = self.experiment
        try:
            links = [{"source": source, "name": target, "listen": self.block.at(3, 8000 + index),
                      "target": self.at.get(target) or self.service_at[target], "announce": False}
                     for (source, target), index in self.ways.items()]
            self.links = await Child.start("links", "moleworks.rig.real.link", {
                "part": str(self.folder / "links.part"), "links": links, "hubs": [], "seed": experiment.seed},
                self.folder)
            self.clock.epoch = time.monotonic_ns()
            for name in self.names:
                await self.start_member(name)
            while not await self.leader():
                await asyncio.sleep(0.02)
            await asyncio.gather(*(self.start_keeper(name) for name in self.keepers))
            await self._start_list()
            begins = self.clock.now()
            end = begins + int(experiment.duration_s * 1e9)
            self.writer.add(StoreRun(0, experiment.seed, self.names, self.keepers, experiment.ttl_ms, end,
                                     self.services, experiment.bound_s * 1000, experiment.host_ttl_ms,
                                     experiment.records))
            self._tasks.append(asyncio.create_task(self._watch()))
            writing = [asyncio.create_task(self._write(name)) for name in self.writers]
            self._tasks += writing
            faults = Faults(self, self.schedule, begins)
            self._usage()
            await faults.run(end)
            self._usage()
            self.over = True
            for child in self.children.values():
                child.tell("over")
            if writing:
                await asyncio.wait(writing, timeout=6.0)
            await self._calm()
            if self.services:
                await asyncio.sleep(SETTLE_S)
                with contextlib.suppress(Unavailable, Refused, TimeoutError):
                    async with asyncio.timeout(10.0):
                        await self._truth()
            for task in writing:
                if task.done() and not task.cancelled() and task.exception() is not None:
                    raise RuntimeError(f"a writer stumbled: {task.exception()!r}")
        finally:
            await self._end()

    async def _end(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.wanted_down |= set(self.processes)
        await asyncio.gather(*(child.finish() for child in self.children.values()),
                             *(process.end() for process in self.processes.values()), return_exceptions=True)
        if self.links is not None:
            await self.links.process.end()
        self.writer.close()
        self.block.close()

    async def _calm(self) -> None:
        """Whether the store answers once faults are over: a read of each record, a write, and its watch."""
        answered = False
        with contextlib.suppress(Unavailable, Refused, TimeoutError):
            async with self.client(WATCHER, 10.0) as client:
                for key in ("k0", "k1"):
                    called = self.clock.now()
                    row = await client.get(key)
                    self.writer.add(Operation(called, self.clock.now(), WATCHER, key, "get", None,
                                              None if row is None else row.value.decode(), 0))
                last = (await client.change((Put("k-calm", b""),))).revision
                async with asyncio.timeout(8.0):
                    while self.watched < last:
                        await asyncio.sleep(0.02)
                answered = True
        self.writer.add(Calm(self.clock.now(), answered))

    # ---- Clients -----------------------------------------------------------------------------------------

    async def _watch(self) -> None:
        """One watch over all records, from the first revision to the last."""
        async with self.client(WATCHER, 5.0) as client:
            async for event in client.watch("k", 0):
                self.watched = event.revision
                self.writer.add(Event(self.clock.now(), event.revision, event.key,
                                      None if event.value is None else event.value.decode()))

    async def _write(self, name: str) -> None:
        """Puts, compares and sets, and reads two records; every value is one of a kind."""
        rng = random.Random(f"{name} {self.experiment.seed}")
        count = 0
        known: dict[str, Any] = {}
        while not self.over:
            async with self.client(name, 2.5) as client:
                with contextlib.suppress(Unavailable):
                    while not self.over:
                        await asyncio.sleep(rng.uniform(0.2, 1.8) * self.experiment.pause_ms / 1000)
                        count += 1
                        await self._operate(client, name, f"k{rng.randrange(2)}", f"{name}-{count}", rng.random(),
                                            known)

    async def _operate(self, client: Client, name: str, key: str, value: str, kind: float,
                       known: dict[str, Any]) -> None:
        called = self.clock.now()
        if kind < 0.4:
            row = await client.get(key)
            known[key] = (None, 0) if row is None else (row.value.decode(), row.revision)
            self.writer.add(Operation(called, self.clock.now(), name, key, "get", None, known[key][0], 0))
            return
        expected = known.get(key) if kind < 0.7 else None
        conditions = (Condition(key, expected[1]),) if expected is not None else ()
        words: tuple[str, Any] = ("cas", [expected[0], value]) if expected is not None else ("put", value)
        try:
            result = await client.change((Put(key, value.encode()),), conditions)
        except Unavailable:
            self.writer.add(Operation(called, -1, name, key, *words, False, 0))
            raise
        self.writer.add(Operation(called, self.clock.now(), name, key, *words, result.done,
                                  result.revision if result.done else 0))
        if result.done:
            known[key] = (value, result.revision)


def play(experiment: StoreExperiment, out: Path) -> dict[str, Any]:
    """Play it, leave `history.jsonl` in `out` and return the judge's result."""
    folder = Path(tempfile.mkdtemp(prefix="moleworks-members-"))
    try:
        asyncio.run(Run(experiment, folder).run())
        history.merge(sorted(path for path in folder.glob("*.part") if path.name != "links.part"),
                      out / "history.jsonl")
        return judge(out / "history.jsonl", experiment.hold.least, experiment.hold.most)
    finally:
        shutil.rmtree(folder)
