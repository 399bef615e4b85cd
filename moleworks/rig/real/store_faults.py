"""Injects the faults of a store experiment at their times."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import resource
import shutil
import signal
from typing import TYPE_CHECKING

from moleworks.store.client import Client, Refused, Unavailable

from .. import history
from ..store_spec import MemberFault

if TYPE_CHECKING:
    from .members import Run

SETTLE_S = 2.0
"""Time between the last fault and the end of the run, for its consequences to show."""


class Faults:
    """Applies a fault schedule to a run."""

    def __init__(self, run: Run, faults: list[MemberFault], started_at: int) -> None:
        self._run = run
        self._faults = faults
        self._started_at = started_at
        self._rng = random.Random(f"targets {run.experiment.seed}")
        self._copied_members: dict[str, str] = {}

    async def run(self, end: int) -> None:
        """Inject all faults and wait for the end of the load."""
        jobs = []
        for number, fault in enumerate(self._faults):
            if fault.kind == "old_disk":
                jobs.append(asyncio.create_task(self._copy_disk(fault)))
            jobs.append(asyncio.create_task(self._inject(number, fault)))
        await asyncio.sleep(max(0.0, (end - self._run.clock.now()) / 1e9))
        results = await asyncio.gather(*jobs, return_exceptions=True)
        self._run.set_link_fault(list(self._run.link_index), "reset", True)
        for error in results:
            if isinstance(error, BaseException):
                raise error
        if self._faults:
            await asyncio.sleep(SETTLE_S)

    async def _sleep_until(self, at_s: float) -> None:
        await asyncio.sleep(max(0.0, (self._started_at - self._run.clock.now()) / 1e9 + at_s))

    async def _inject(self, number: int, fault: MemberFault) -> None:
        await self._sleep_until(fault.at_s)
        targets = await self._targets(fault.on)
        on = ",".join(targets)
        to = "holds" if fault.kind in ("kill", "stop") and on in self._run.holders else fault.to
        self._run.writer.add(history.FaultEvent(self._run.clock.now(), number, "begin", fault.kind, on, to, fault.size))
        if targets:
            await getattr(self, "_" + fault.kind)(fault, targets)
        self._run.writer.add(history.FaultEvent(self._run.clock.now(), number, "end", fault.kind, on, to, fault.size))

    async def _targets(self, on: str) -> list[str]:
        run = self._run
        alive = [name for name, process in run.processes.items() if not process.ended and name in run.all]
        if on == "all":
            return alive
        if on == "holder":
            return list(run.holders)[:1] or run.keepers[:1]
        if on in ("leader", "follower"):
            leader = ""
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(3.0):
                    while not (leader := await run.leader()):
                        await asyncio.sleep(0.05)
            others = [name for name in alive if name != leader]
            return [leader] if on == "leader" and leader else [self._rng.choice(others or run.names)]
        if on in ("service", "services"):
            return run.services if on == "services" else [self._rng.choice(run.services)]
        if on in ("half", "zone", "hosts"):
            names = [f"h{number}" for number in range(run.experiment.hosts)]
            return names if on == "hosts" else names[::3] if on == "zone" else self._rng.sample(names, len(names) // 2)
        return [self._rng.choice(alive or run.names)] if on == "any" else [on]

    # ---- Processes ---------------------------------------------------------------------------------------

    async def _restart(self, names: list[str]) -> None:
        for name in names:
            if name in self._run.keepers:
                await self._run.start_keeper(name)
            elif name in self._run.services:
                await self._run.start_service(name)
            else:
                await self._run.start_member(name, name not in self._run.names)

    async def _kill(self, fault: MemberFault, names: list[str]) -> None:
        # Those in `expected_down` are already down because of another fault.
        names = [name for name in names if name not in self._run.expected_down]
        await asyncio.gather(*(self._run.kill(name) for name in names))
        await asyncio.sleep(fault.for_s)
        await self._restart(names)

    async def _stop(self, fault: MemberFault, names: list[str]) -> None:
        for number in (signal.SIGSTOP, signal.SIGCONT):
            for name in names:
                child = self._run.children.get(name)
                (child.process if child is not None else self._run.processes[name]).signal(number)
            if number == signal.SIGSTOP:
                await asyncio.sleep(fault.for_s)

    async def _hand_over(self, fault: MemberFault, _: list[str]) -> None:
        """Ask the holder to hand the duty over to another keeper."""
        holder = next(iter(self._run.holders), "")
        others = [name for name in self._run.keepers if name != holder]
        if holder and others:
            self._run.children[holder].tell("hand_over", to=fault.to if fault.to in others else others[0])

    async def _twin(self, fault: MemberFault, names: list[str]) -> None:
        """Start a second process of the same name: a member must not start on a disk in use, a keeper may run twice."""
        name = names[0]
        if name in self._run.keepers:
            first = self._run.children[name]
            await self._run.start_keeper(name)
            await asyncio.sleep(fault.for_s)
            await first.process.end()
        else:
            process = self._run.processes[name]
            await self._run.start_member(name)
            await asyncio.sleep(fault.for_s)
            if self._run.processes[name].ended:
                self._run.processes[name] = process

    # ---- Links -------------------------------------------------------------------------------------------

    async def _cut_for(self, fault: MemberFault, pairs: list[tuple[str, str]], forth: bool = True,
                       back: bool = True) -> None:
        self._run.set_link_fault(pairs, "cut", True, forth, back)
        await asyncio.sleep(fault.for_s)
        self._run.set_link_fault(pairs, "cut", False, forth, back)

    async def _cut(self, fault: MemberFault, names: list[str]) -> None:
        """Partition two processes; one-way: what the first one sends is held back, on the connections of both."""
        first = names[0]
        others = [name for name in self._run.names if name != first]
        other = fault.to if fault.to in self._run.all else self._rng.choice(others)
        if first in self._run.keepers or first in self._run.services:
            await self._cut_for(fault, [(first, target) for target in self._run.all], True, not fault.one_way)
        else:
            await asyncio.gather(self._cut_for(fault, [(first, other)], True, not fault.one_way),
                                 self._cut_for(fault, [(other, first)], not fault.one_way, True))

    async def _alone(self, fault: MemberFault, names: list[str]) -> None:
        """Isolate a member; if the holder is on its side, the holder reaches only this member."""
        first = names[0]
        pairs = [(source, target) for source, target in self._run.link_index
                 if source in self._run.all and first in (source, target)]
        if fault.with_holder:
            for holder in list(self._run.holders)[:1]:
                pairs += [(holder, target) for target in self._run.all if target != first]
        await self._cut_for(fault, pairs)

    async def _reset(self, _: MemberFault, __: list[str]) -> None:
        self._run.set_link_fault(list(self._run.link_index), "reset", True)

    async def _garbage(self, fault: MemberFault, names: list[str]) -> None:
        """Connect and send data that is not a frame, that belongs to another cluster, or that is truncated."""
        for data in (b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 400, b"\x00\x00\x00\x20\x01" + bytes(11), os.urandom(2000)):
            for name in names:
                with contextlib.suppress(OSError, TimeoutError):
                    async with asyncio.timeout(2.0):
                        reader, writer = await asyncio.open_connection(*self._run.at[name])
                        writer.write(data)
                        writer.write_eof()
                        await reader.read()
                        writer.close()

    # ---- Host list ---------------------------------------------------------------------------------------

    async def _lose_beats(self, fault: MemberFault, names: list[str]) -> None:
        hosts = self._run.children["hosts"]
        hosts.tell("lose", hosts=names, share=fault.size)
        await asyncio.sleep(fault.for_s)
        hosts.tell("lose", hosts=names, share=0.0)

    async def _die(self, fault: MemberFault, names: list[str]) -> None:
        self._run.children["hosts"].tell("die", hosts=names)

    async def _come(self, fault: MemberFault, names: list[str]) -> None:
        self._run.children["hosts"].tell("come", hosts=names)

    async def _liar(self, fault: MemberFault, names: list[str]) -> None:
        """Replace a service by one that reports an empty list of hosts with a very high generation."""
        async def serve_empty_list(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
                await reader.readuntil(b"\r\n\r\n")
                line = b'{"generation":999999999,"reset":true,"instances":[]}\n'
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Registry-Age-Ms: 0\r\n"
                             b"Content-Length: %d\r\n\r\n%b" % (len(line), line))
                await writer.drain()
            writer.close()
        server = await asyncio.start_server(serve_empty_list, *self._run.block.at(9, 7000))
        assert self._run.links is not None
        links = [self._run.link_index["watchers", name] for name in names]
        self._run.links.tell("meddle", links=links, kind="misroute", to=self._run.block.at(9, 7000))
        await asyncio.sleep(fault.for_s)
        self._run.links.tell("meddle", links=links, kind="misroute", to=None)
        server.close()

    # ---- Disks -------------------------------------------------------------------------------------------

    async def _slow_disk(self, fault: MemberFault, names: list[str]) -> None:
        for name in names:
            (self._run.folder / f"{name}.delay").write_text(str(fault.size))
        await asyncio.sleep(fault.for_s)
        for name in names:
            (self._run.folder / f"{name}.delay").unlink(missing_ok=True)

    async def _full_disk(self, fault: MemberFault, names: list[str]) -> None:
        """Limit the size of the process's files; after it has exited it is started without the limit."""
        for name in names:
            process = self._run.processes[name]
            limit = int(fault.size * 1024)
            resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (limit, limit))
        await asyncio.sleep(fault.for_s)
        for name in names:
            if self._run.processes[name].ended:
                await self._run.start_member(name, name not in self._run.names)

    async def _copy_disk(self, fault: MemberFault) -> None:
        """Copy the member's disk while the member is stopped, long before the copy is restored."""
        name = fault.on if fault.on in self._run.names else self._run.names[-1]
        await self._sleep_until(max(0.1, fault.at_s * 0.3))
        await self._run.kill(name)
        shutil.copytree(self._run.folder / name, self._run.folder / f"{name}-old")
        await self._run.start_member(name)
        self._copied_members[fault.on] = name

    async def _old_disk(self, fault: MemberFault, _: list[str]) -> None:
        name = self._copied_members[fault.on]
        await self._run.kill(name)
        shutil.rmtree(self._run.folder / name)
        shutil.copytree(self._run.folder / f"{name}-old", self._run.folder / name)
        await self._run.start_member(name)

    async def _empty_disk(self, fault: MemberFault, names: list[str]) -> None:
        await self._run.kill(names[0])
        shutil.rmtree(self._run.folder / names[0])
        await self._run.start_member(names[0])

    async def _torn_tail(self, fault: MemberFault, names: list[str]) -> None:
        """Kill the members and append random bytes to their write-ahead logs, as a partial write would."""
        names = [name for name in names if name not in self._run.expected_down]
        await asyncio.gather(*(self._run.kill(name) for name in names))
        for name in names:
            with open(self._run.folder / name / "store.db-wal", "ab") as file:
                file.write(self._rng.randbytes(self._rng.randrange(1, 6000)))
        await asyncio.sleep(fault.for_s)
        await self._restart(names)

    # ---- Members -----------------------------------------------------------------------------------------

    async def _change_membership(self, fault: MemberFault, **change: str) -> None:
        """Change the membership; retry until it succeeds or the time is over."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(3.0, fault.for_s)):
                while True:
                    try:
                        async with Client({name: self._run.at[name] for name in self._run.all
                                           if name in self._run.processes}, "rig", 1.0) as client:
                            await client.members(**change)
                            return
                    except Unavailable:
                        continue
                    except Refused:   # the change was made, but its reply was lost
                        return

    async def _add(self, fault: MemberFault, names: list[str]) -> None:
        name = names[0]
        await self._run.start_member(name, True)
        await self._change_membership(fault, add=name, address="{}:{}".format(*self._run.at[name]))

    async def _remove(self, fault: MemberFault, names: list[str]) -> None:
        await self._change_membership(fault, remove=names[0])

    async def _transfer(self, fault: MemberFault, names: list[str]) -> None:
        to = fault.to if fault.to in self._run.all else self._rng.choice(self._run.names)
        with contextlib.suppress(Unavailable, Refused):
            async with Client([self._run.at[names[0]]], "rig", 0.5) as client:
                await client.transfer(to)
