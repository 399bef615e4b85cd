"""Runs store experiments with real processes: members, writers, a watcher and duty holders, connected through links.

The writers and the watcher run in this process, each duty holder (keeper) in its own.  Their operations and the
replies form the history, which store_judge.py checks.
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
from .procs import AddressBlock, Child, Process

SETTLE_S = 4.0
"""Time that watchers have to receive the last change before the run ends."""
ROOT = Path(__file__).resolve().parents[3]
WATCHER = "watcher"
LIST_WATCHERS, REGISTERED_HOSTS = "watchers", "hosts"
"""Link names of the processes that watch the host list, and of the process whose hosts register in it."""


class Run:
    """One run of a store experiment."""

    def __init__(self, experiment: StoreExperiment, folder: Path) -> None:
        self.experiment, self.folder = experiment, folder
        self.block = AddressBlock()
        self.clock = Clock()
        self.names = list(MEMBERS[:experiment.members])
        self.schedule = schedule(experiment)
        self.all = [*self.names, *(name for name in SPARES if any(fault.on == name for fault in self.schedule))]
        self.keepers = [f"d{number}" for number in range(experiment.keepers)]
        self.writers = [f"w{number}" for number in range(experiment.writers)]
        self.at = {name: self.block.at(2, 7000 + index) for index, name in enumerate(self.all)}
        self.services = [f"r{number}" for number in range(experiment.services)]
        self.service_at = {name: self.block.at(4, 7000 + index) for index, name in enumerate(self.services)}
        self.link_index = {pair: index for index, pair in enumerate(
            [*((source, target) for source in (*self.all, *self.keepers, *self.writers, WATCHER, *self.services)
               for target in self.all if source != target),
             *((source, target) for source in (LIST_WATCHERS, REGISTERED_HOSTS) for target in self.services)])}
        self.writer = history.Writer(folder / "rig.part")
        self.processes: dict[str, Process] = {}
        self.children: dict[str, Child] = {}
        self.holders: dict[str, int] = {}     # keepers that report holding the duty, with the fencing token
        self.expected_down: set[str] = set()
        self.links: Child | None = None
        self.load_ended = False
        self.watched_revision = 0             # the newest revision received by the watch
        self._keeper_starts = 0
        self._tasks: list[asyncio.Task[Any]] = []

    # ---- Processes ----------------------------------------------------------------------------------------

    def link_address(self, source: str, target: str) -> tuple[str, int]:
        """The address at which `source` reaches `target`."""
        return self.block.at(3, 8000 + self.link_index[source, target])

    def client(self, source: str, timeout_s: float) -> Client:
        """A client that uses the links of `source`."""
        return Client({target: self.link_address(source, target) for target in self.all}, "rig", timeout_s)

    def record_process_event(self, name: str, event: str, detail: str = "") -> None:
        """Record an event of a process."""
        self.writer.add(ProcessEvent(self.clock.now(), name, event, detail))

    async def start_member(self, name: str, is_joining: bool = False) -> None:
        """Start a member; it reaches its peers through links."""
        peers = {other: self.at[name] if other == name else self.link_address(name, other) for other in self.all}
        peer_option = ",".join("{}={}:{}".format(peer, *where) for peer, where in peers.items())
        first_option = [] if is_joining or name not in self.names else ["--first", ",".join(self.names)]
        odd_options = {"delay": str(self.folder / f"{name}.delay"), "without": self.experiment.without}
        self.expected_down.discard(name)
        self.processes[name] = await Process.start(
            name, [sys.executable, "-B", "-m", "moleworks.rig.real.odd", msgspec.json.encode(odd_options).decode(),
                   "--log-level", "error", "store", "serve", "--name", name,
                   "--listen", "{}:{}".format(*self.at[name]), "--folder", str(self.folder / name),
                   "--peers", peer_option, "--cluster", "rig", *first_option,
                   *(["--join"] if is_joining else [])], ROOT, dict(os.environ), self.folder / f"{name}.log")
        self.record_process_event(name, "started")
        self._tasks.append(asyncio.create_task(self._wait(name, self.processes[name])))

    async def _wait(self, name: str, process: Process) -> None:
        code = await process.wait()
        if name not in self.expected_down and process is self.processes.get(name):
            log_lines = (self.folder / f"{name}.log").read_text(errors="replace").strip().splitlines()
            self.record_process_event(name, "ended", f"{code}: {log_lines[-1] if log_lines else ''}")

    async def kill(self, name: str) -> None:
        """Send SIGKILL to a member or a keeper."""
        self.expected_down.add(name)
        self.record_process_event(name, "killed")
        self.holders.pop(name, None)
        await (self.children[name].process if name in self.children else self.processes[name]).end()

    async def start_keeper(self, name: str) -> None:
        """Start a keeper; each start writes its own history file."""
        self._keeper_starts += 1

        def on_report(message: dict[str, Any]) -> None:
            if message["what"] == "holds":
                self.holders[name] = message["token"]
            elif message["what"] == "lets":
                self.holders.pop(name, None)
        self.children[name] = await Child.start(f"{name}-{self._keeper_starts}", "moleworks.rig.real.keeper", {
            "part": str(self.folder / f"{name}-{self._keeper_starts}.part"), "name": name,
            "ttl_ms": self.experiment.ttl_ms, "tires": self.experiment.tires,
            "addresses": {target: self.link_address(name, target) for target in self.all},
            "seed": f"{self.experiment.seed} {self._keeper_starts}", "without": self.experiment.without},
            self.folder, on_report)
        self.expected_down.discard(name)
        self.children[name].tell("go", epoch=self.clock.epoch)

    async def start_service(self, name: str) -> None:
        """Start a process of the list service; it reaches the store's members through links."""
        odd_options = {"delay": "", "without": self.experiment.without}
        store_option = ",".join("{}={}:{}".format(target, *self.link_address(name, target)) for target in self.all)
        self.expected_down.discard(name)
        self.processes[name] = await Process.start(
            name, [sys.executable, "-B", "-m", "moleworks.rig.real.odd", msgspec.json.encode(odd_options).decode(),
                   "--log-level", "warning", "registry", "serve", "--name", name,
                   "--listen", "{}:{}".format(*self.service_at[name]), "--store", store_option, "--cluster", "rig",
                   "--bound", str(self.experiment.bound_s)], ROOT, dict(os.environ), self.folder / f"{name}.log")
        self.record_process_event(name, "started")
        self._tasks.append(asyncio.create_task(self._wait(name, self.processes[name])))

    async def _start_list(self) -> None:
        """Start the list services, their watchers, and the registered hosts."""
        experiment = self.experiment
        await asyncio.gather(*(self.start_service(name) for name in self.services))
        if not self.services:
            return
        self.children[REGISTERED_HOSTS] = await Child.start(REGISTERED_HOSTS, "moleworks.rig.real.listed", {
            "part": str(self.folder / "hosts.part"), "hosts": experiment.hosts, "ttl_ms": experiment.host_ttl_ms,
            "addresses": [self.link_address(REGISTERED_HOSTS, target) for target in self.services],
            "seed": experiment.seed, "operator_every_s": experiment.operator_every_s}, self.folder)
        watchers_per_process = 250
        for number in range(0, experiment.watchers, watchers_per_process):
            name = f"{LIST_WATCHERS}{number // watchers_per_process}"
            self.children[name] = await Child.start(name, "moleworks.rig.real.watching", {
                "part": str(self.folder / f"{name}.part"),
                "watchers": min(watchers_per_process, experiment.watchers - number),
                "readers": 0 if number else experiment.readers, "records": experiment.records,
                "addresses": [self.link_address(LIST_WATCHERS, target) for target in self.services],
                "first": number, "seed": f"{experiment.seed} {number}", "without": experiment.without}, self.folder)
        for name, child in self.children.items():
            if name not in self.keepers:
                child.tell("go", epoch=self.clock.epoch)

    def _usage(self) -> None:
        for name in self.services:
            cpu, mb = self.processes[name].usage()
            self.writer.add(Usage(self.clock.now(), name, cpu, mb))

    async def _record_store_contents(self) -> None:
        """Record the host entries of the store from the first revision on."""
        if not self.services:
            return
        async with Client({name: self.at[name] for name in self.all if name in self.processes}, "rig", 8.0) as client:
            last = (await client.list("reg/", 0)).revision
            async for events, revision in client.watch_batches("reg/hosts/", 0):
                for event in events:
                    row = None if event.value is None else msgspec.json.decode(event.value)["row"]
                    self.writer.add(Truth(self.clock.now(), event.revision, event.key.removeprefix("reg/hosts/"),
                                          None if row is None else [row["lifecycle"], row["hostPort"]]))
                if revision >= last:
                    return

    def set_link_fault(self, pairs: list[tuple[str, str]], kind: str, begins: bool, forth: bool = True,
                       back: bool = True) -> None:
        """Begin or end a fault on the links of these pairs."""
        assert self.links is not None
        self.links.tell("fault", links=[self.link_index[pair] for pair in pairs if pair in self.link_index], kind=kind,
                        begins=begins, size=0.0, forth=forth, back=back)

    async def leader(self) -> str:
        """The leader that at least two members report; empty if there is none."""
        votes: dict[str, int] = {}
        for name in self.all:
            process = self.processes.get(name)
            if process is not None and not process.ended:
                with contextlib.suppress(Unavailable, Refused):
                    async with Client([self.at[name]], "rig", 0.1) as client:
                        reported = (await client.status()).leader
                        votes[reported] = votes.get(reported, 0) + 1
        best = max(votes, key=lambda name: votes[name], default="")
        return best if votes.get(best, 0) >= 2 else ""

    # ---- The run -----------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Run the experiment; all processes and addresses are released at the end."""
        from .store_faults import Faults
        experiment = self.experiment
        try:
            links = [{"source": source, "name": target, "listen": self.block.at(3, 8000 + index),
                      "target": self.at.get(target) or self.service_at[target], "announce": False}
                     for (source, target), index in self.link_index.items()]
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
            started_at = self.clock.now()
            end = started_at + int(experiment.duration_s * 1e9)
            self.writer.add(StoreRun(0, experiment.seed, self.names, self.keepers, experiment.ttl_ms, end,
                                     self.services, experiment.bound_s * 1000, experiment.host_ttl_ms,
                                     experiment.records))
            self._tasks.append(asyncio.create_task(self._watch()))
            writer_tasks = [asyncio.create_task(self._write(name)) for name in self.writers]
            self._tasks += writer_tasks
            faults = Faults(self, self.schedule, started_at)
            self._usage()
            await faults.run(end)
            self._usage()
            self.load_ended = True
            for child in self.children.values():
                child.tell("over")
            if writer_tasks:
                await asyncio.wait(writer_tasks, timeout=6.0)
            await self._check_recovery()
            if self.services:
                await asyncio.sleep(SETTLE_S)
                with contextlib.suppress(Unavailable, Refused, TimeoutError):
                    async with asyncio.timeout(10.0):
                        await self._record_store_contents()
            for task in writer_tasks:
                if task.done() and not task.cancelled() and task.exception() is not None:
                    raise RuntimeError(f"a writer failed: {task.exception()!r}")
        finally:
            await self._clean_up()

    async def _clean_up(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.expected_down |= set(self.processes)
        await asyncio.gather(*(child.finish() for child in self.children.values()),
                             *(process.end() for process in self.processes.values()), return_exceptions=True)
        if self.links is not None:
            await self.links.process.end()
        self.writer.close()
        self.block.close()

    async def _check_recovery(self) -> None:
        """Check that the store is available after the faults: read two records, write one, wait for its watch event."""
        recovered = False
        with contextlib.suppress(Unavailable, Refused, TimeoutError):
            async with self.client(WATCHER, 10.0) as client:
                for key in ("k0", "k1"):
                    called_at = self.clock.now()
                    row = await client.get(key)
                    self.writer.add(Operation(called_at, self.clock.now(), WATCHER, key, "get", None,
                                              None if row is None else row.value.decode(), 0))
                last = (await client.change((Put("k-calm", b""),))).revision
                async with asyncio.timeout(8.0):
                    while self.watched_revision < last:
                        await asyncio.sleep(0.02)
                recovered = True
        self.writer.add(Calm(self.clock.now(), recovered))

    # ---- Clients -----------------------------------------------------------------------------------------

    async def _watch(self) -> None:
        """Watch all records from the first revision on."""
        async with self.client(WATCHER, 5.0) as client:
            async for event in client.watch("k", 0):
                self.watched_revision = event.revision
                self.writer.add(Event(self.clock.now(), event.revision, event.key,
                                      None if event.value is None else event.value.decode()))

    async def _write(self, name: str) -> None:
        """Put, compare-and-set and read two records; every value is unique."""
        rng = random.Random(f"{name} {self.experiment.seed}")
        count = 0
        known: dict[str, Any] = {}
        while not self.load_ended:
            async with self.client(name, 2.5) as client:
                with contextlib.suppress(Unavailable):
                    while not self.load_ended:
                        await asyncio.sleep(rng.uniform(0.2, 1.8) * self.experiment.pause_ms / 1000)
                        count += 1
                        await self._operate(client, name, f"k{rng.randrange(2)}", f"{name}-{count}", rng.random(),
                                            known)

    async def _operate(self, client: Client, name: str, key: str, value: str, choice: float,
                       known: dict[str, Any]) -> None:
        called_at = self.clock.now()
        if choice < 0.4:
            row = await client.get(key)
            known[key] = (None, 0) if row is None else (row.value.decode(), row.revision)
            self.writer.add(Operation(called_at, self.clock.now(), name, key, "get", None, known[key][0], 0))
            return
        expected = known.get(key) if choice < 0.7 else None
        conditions = (Condition(key, expected[1]),) if expected is not None else ()
        operation: tuple[str, Any] = ("cas", [expected[0], value]) if expected is not None else ("put", value)
        try:
            result = await client.change((Put(key, value.encode()),), conditions)
        except Unavailable:
            self.writer.add(Operation(called_at, -1, name, key, *operation, False, 0))
            raise
        self.writer.add(Operation(called_at, self.clock.now(), name, key, *operation, result.done,
                                  result.revision if result.done else 0))
        if result.done:
            known[key] = (value, result.revision)


def play(experiment: StoreExperiment, out: Path) -> dict[str, Any]:
    """Run the experiment, write `history.jsonl` to `out` and return the judge's result."""
    folder = Path(tempfile.mkdtemp(prefix="moleworks-members-"))
    try:
        asyncio.run(Run(experiment, folder).run())
        history.merge(sorted(path for path in folder.glob("*.part") if path.name != "links.part"),
                      out / "history.jsonl")
        return judge(out / "history.jsonl", experiment.hold.least, experiment.hold.most)
    finally:
        shutil.rmtree(folder)
