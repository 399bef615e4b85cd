"""Faults among real processes: the same timeline as in virtual time, by signals, links and commands."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any

from moleworks import logs

from .. import history
from ..listing import DRAINING, GONE, READY
from ..places import CLIENTS
from ..spec import GATEWAY_FAULTS, HOST_FAULTS, SERVICE_FAULTS, TAMPERING_FAULTS, Fault
from .fleet import Fleet
from .procs import Trouble

log = logs.get("rig.faults")

DRAIN_S = 3.0
"""A host that drains ends so long after it has announced so."""


class Faults:
    """The timeline on the clock.  What a fault does takes its own time; the next one does not wait for it."""

    def __init__(self, fleet: Fleet, timeline: list[Fault]) -> None:
        self._fleet = fleet
        self._lives: dict[str, int] = {}
        self._up: dict[str, bool] = {name: True for name in fleet.places.hosts}
        self._tasks: set[asyncio.Task[None]] = set()
        self.trouble: list[str] = []
        self._turns = sorted(
            [(fault.at_s, index, fault, True) for index, fault in enumerate(timeline)]
            + [(fault.at_s + fault.for_s, index, fault, False) for index, fault in enumerate(timeline) if fault.for_s],
            key=lambda turn: (turn[0], turn[1]))

    def start(self) -> None:
        """Put them all on the clock."""
        loop = asyncio.get_running_loop()
        for at_s, index, fault, begins in self._turns:
            loop.call_later(max(0.0, at_s - self._fleet.now() / 1e9), self._turn, index, fault, begins)

    def _keep(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            if not isinstance(error, Trouble):
                raise error
            self.trouble.append(str(error))

    def stop(self) -> None:
        """Whatever still goes on."""
        for task in self._tasks:
            task.cancel()

    def _turn(self, index: int, fault: Fault, begins: bool) -> None:
        fleet = self._fleet
        log.info("fault", kind=fault.kind, on=fault.on, begins=begins)
        fleet.record(history.FaultEvent(fleet.now(), index, "begin" if begins else "end", fault.kind, fault.on,
                                        fault.to, fault.size))
        if fault.kind in HOST_FAULTS:
            for name in fleet.places.select(fault.on):
                if name in fleet.places.hosts:
                    self._host(name, fault, begins)
        elif fault.kind in GATEWAY_FAULTS:
            for name in fleet.places.select(fault.on):
                if name in fleet.gateways:
                    self._keep(self._gateway(name, fault, begins))
        elif fault.kind in SERVICE_FAULTS:
            fleet.discovery.fault(fault.kind.removeprefix("discovery_") if begins else "")
        else:
            self._links(fault, begins)

    # ---- Hosts -----------------------------------------------------------------------------------------

    def _host(self, name: str, fault: Fault, begins: bool) -> None:
        fleet = self._fleet
        if fault.kind in ("crash", "vanish"):
            if begins and self._up[name]:
                self._up[name] = False
                if fault.kind == "crash":
                    fleet.refuse(name, True)
                else:
                    self._silence(name, True)
                fleet.tell_host(name, "down", what="down" if fault.kind == "crash" else "silent")
                self._listed(name, GONE, fleet.experiment.world.discovery.notice_ms)
            elif not begins and not self._up[name]:
                self._back(name, fault.kind == "vanish")
        elif fault.kind == "drain":
            if begins and self._up[name]:
                fleet.tell_host(name, "drain")
                fleet.discovery.change(name, DRAINING)
                self._keep(self._drained(name))
            elif not begins and not self._up[name]:
                self._back(name, False)
        elif fault.kind == "slow":
            fleet.tell_host(name, "slow", size=fault.size if begins else 1.0)
        elif fault.kind == "errors":
            fleet.tell_host(name, "errors", size=fault.size if begins else None)
        elif begins:
            fleet.tell_host(name, "pause", size=fault.size)

    def _silence(self, name: str, begins: bool) -> None:
        for link in self._fleet.links_to(name):
            self._fleet._fault([link], "cut", begins, 0.0, True, True)

    def _back(self, name: str, silent: bool) -> None:
        fleet = self._fleet
        self._lives[name] = self._lives.get(name, 0) + 1
        self._up[name] = True
        fleet.tell_host(name, "start")
        if silent:
            self._silence(name, False)
        fleet.refuse(name, False)
        self._listed(name, READY, fleet.experiment.world.discovery.add_ms, fleet.now())

    async def _drained(self, name: str) -> None:
        life = self._lives.get(name, 0)
        await asyncio.sleep(DRAIN_S)
        if self._up[name] and self._lives.get(name, 0) == life:
            self._up[name] = False
            self._fleet.refuse(name, True)
            self._fleet.tell_host(name, "down", what="down")
            self._listed(name, GONE, self._fleet.experiment.world.discovery.notice_ms)

    def _listed(self, name: str, state: str, late_ms: float, started_ns: int = 0) -> None:
        """The list learns of it later, if it is still so by then."""
        fleet, life = self._fleet, self._lives.get(name, 0)

        def learn() -> None:
            if self._lives.get(name, 0) == life and (state == GONE) != self._up[name]:
                fleet.discovery.change(name, state, started_ns)
        if fleet.places.hosts[name].spec.listed:
            asyncio.get_running_loop().call_later(late_ms / 1000, learn)

    # ---- Gateways --------------------------------------------------------------------------------------

    async def _gateway(self, name: str, fault: Fault, begins: bool) -> None:
        fleet = self._fleet
        gateway = fleet.gateways[name]
        process = gateway.process
        assert process is not None
        if fault.kind == "kill":
            if begins and not process.over:
                self._say(name, "down")
                fleet.refuse(name, True)
                process.signal(signal.SIGKILL)
                await process.wait()
            elif not begins and process.over:
                await self._anew(name, fault.folder)
        elif fault.kind == "term":
            if begins and not process.over:
                self._say(name, "drain")
                await gateway.leave(process)
                self._say(name, "down")
                fleet.refuse(name, True)
            elif not begins:
                await process.wait()
                await self._anew(name, fault.folder)
        elif fault.kind == "stop":
            if begins:
                self._say(name, "stop")
            process.signal(signal.SIGSTOP if begins else signal.SIGCONT)
            if not begins:
                self._say(name, "go")
        elif fault.kind == "upgrade" and begins:
            await gateway.start(fleet.known(name))
            await gateway.ready()
            await gateway.leave(process)
        elif fault.kind == "hup" and begins:
            gateway.write()
            process.signal(signal.SIGHUP)

    async def _anew(self, name: str, folder: str) -> None:
        fleet = self._fleet
        gateway = fleet.gateways[name]
        if folder == "lost":
            gateway.lose_folder()
        await gateway.start(fleet.known(name))
        await gateway.ready()
        self._say(name, "up")
        fleet.refuse(name, False)

    def _say(self, name: str, what: str) -> None:
        self._fleet.record(history.GatewayEvent(self._fleet.now(), name, what))

    # ---- Links -----------------------------------------------------------------------------------------

    def _links(self, fault: Fault, begins: bool) -> None:
        fleet = self._fleet
        for one in fleet.places.select(fault.on):
            for other in fleet.places.select(fault.to):
                if one == other:
                    continue
                if fault.kind in TAMPERING_FAULTS:
                    self._meddle(one, other, fault, begins)
                    continue
                fleet.fault_between(fault.kind, begins, fault.size, one, other, not fault.one_way)
                if CLIENTS in (one, other):
                    name = other if one == CLIENTS else one
                    if name in fleet.gateways:
                        self._say(name, "hidden" if begins else "seen")

    def _meddle(self, one: str, other: str, fault: Fault, begins: bool) -> None:
        """Broken on purpose, between the processes: for experiments whose judge must find it.

        misroute: what `on` sends to hosts goes to the host `to`; replay: it goes there too; swallow: this share of
        the answers from `on` to `to` never comes.
        """
        fleet = self._fleet
        if fault.kind == "swallow":
            fleet.fault_between("swallow", begins, fault.size, one, other, False)
            return
        assert fleet.links is not None
        if other not in fleet.host_at:
            return
        numbers = [number for (source, target), number in fleet.link_numbers.items()
                   if source == one and target in fleet.host_at and target != other]
        fleet.links.tell("meddle", links=numbers, kind=fault.kind, to=fleet.host_at[other] if begins else None)
