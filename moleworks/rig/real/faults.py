"""Injects the fault timeline into real processes by signals, link faults and commands."""

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
from .procs import RigError

log = logs.get("rig.faults")

DRAIN_DURATION_S = 3.0
"""Time between a host's announcement that it drains and its end."""


class Faults:
    """Schedules the timeline; each fault runs independently of the ones before it."""

    def __init__(self, fleet: Fleet, timeline: list[Fault]) -> None:
        self._fleet = fleet
        self._restarts: dict[str, int] = {}
        self._up: dict[str, bool] = {name: True for name in fleet.places.hosts}
        self._tasks: set[asyncio.Task[None]] = set()
        self.trouble: list[str] = []
        self._steps = sorted(
            [(fault.at_s, index, fault, True) for index, fault in enumerate(timeline)]
            + [(fault.at_s + fault.for_s, index, fault, False) for index, fault in enumerate(timeline) if fault.for_s],
            key=lambda step: (step[0], step[1]))

    def start(self) -> None:
        """Schedule all faults."""
        loop = asyncio.get_running_loop()
        for at_s, index, fault, begins in self._steps:
            loop.call_later(max(0.0, at_s - self._fleet.now() / 1e9), self._apply, index, fault, begins)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            if not isinstance(error, RigError):
                raise error
            self.trouble.append(str(error))

    def stop(self) -> None:
        """Cancel all faults that are still in progress."""
        for task in self._tasks:
            task.cancel()

    def _apply(self, index: int, fault: Fault, begins: bool) -> None:
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
                    self._spawn(self._gateway(name, fault, begins))
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
                    self._set_partitioned(name, True)
                fleet.tell_host(name, "down", what="down" if fault.kind == "crash" else "silent")
                self._update_list(name, GONE, fleet.experiment.world.discovery.notice_ms)
            elif not begins and not self._up[name]:
                self._restart_host(name, fault.kind == "vanish")
        elif fault.kind == "drain":
            if begins and self._up[name]:
                fleet.tell_host(name, "drain")
                fleet.discovery.change(name, DRAINING)
                self._spawn(self._end_after_drain(name))
            elif not begins and not self._up[name]:
                self._restart_host(name, False)
        elif fault.kind == "slow":
            fleet.tell_host(name, "slow", size=fault.size if begins else 1.0)
        elif fault.kind == "errors":
            fleet.tell_host(name, "errors", size=fault.size if begins else None)
        elif begins:
            fleet.tell_host(name, "pause", size=fault.size)

    def _set_partitioned(self, name: str, begins: bool) -> None:
        for link in self._fleet.links_to(name):
            self._fleet.set_link_fault([link], "cut", begins, 0.0, True, True)

    def _restart_host(self, name: str, silent: bool) -> None:
        fleet = self._fleet
        self._restarts[name] = self._restarts.get(name, 0) + 1
        self._up[name] = True
        fleet.tell_host(name, "start")
        if silent:
            self._set_partitioned(name, False)
        fleet.refuse(name, False)
        self._update_list(name, READY, fleet.experiment.world.discovery.add_ms, fleet.now())

    async def _end_after_drain(self, name: str) -> None:
        restarts = self._restarts.get(name, 0)
        await asyncio.sleep(DRAIN_DURATION_S)
        if self._up[name] and self._restarts.get(name, 0) == restarts:
            self._up[name] = False
            self._fleet.refuse(name, True)
            self._fleet.tell_host(name, "down", what="down")
            self._update_list(name, GONE, self._fleet.experiment.world.discovery.notice_ms)

    def _update_list(self, name: str, state: str, delay_ms: float, started_ns: int = 0) -> None:
        """Update the host list after a delay, unless the host's state has changed again by then."""
        fleet, restarts = self._fleet, self._restarts.get(name, 0)

        def update() -> None:
            if self._restarts.get(name, 0) == restarts and (state == GONE) != self._up[name]:
                fleet.discovery.change(name, state, started_ns)
        if fleet.places.hosts[name].spec.listed:
            asyncio.get_running_loop().call_later(delay_ms / 1000, update)

    # ---- Gateways --------------------------------------------------------------------------------------

    async def _gateway(self, name: str, fault: Fault, begins: bool) -> None:
        fleet = self._fleet
        gateway = fleet.gateways[name]
        process = gateway.process
        assert process is not None
        if fault.kind == "kill":
            if begins and not process.ended:
                self._record_gateway_event(name, "down")
                fleet.refuse(name, True)
                process.signal(signal.SIGKILL)
                await process.wait()
            elif not begins and process.ended:
                await self._restart_gateway(name, fault.folder)
        elif fault.kind == "term":
            if begins and not process.ended:
                self._record_gateway_event(name, "drain")
                await gateway.terminate(process)
                self._record_gateway_event(name, "down")
                fleet.refuse(name, True)
            elif not begins:
                await process.wait()
                await self._restart_gateway(name, fault.folder)
        elif fault.kind == "stop":
            if begins:
                self._record_gateway_event(name, "stop")
            process.signal(signal.SIGSTOP if begins else signal.SIGCONT)
            if not begins:
                self._record_gateway_event(name, "go")
        elif fault.kind == "upgrade" and begins:
            await gateway.start(fleet.known_list(name))
            await gateway.ready()
            await gateway.terminate(process)
        elif fault.kind == "hup" and begins:
            gateway.write()
            process.signal(signal.SIGHUP)

    async def _restart_gateway(self, name: str, folder: str) -> None:
        fleet = self._fleet
        gateway = fleet.gateways[name]
        if folder == "lost":
            gateway.clear_temporary_folder()
        await gateway.start(fleet.known_list(name))
        await gateway.ready()
        self._record_gateway_event(name, "up")
        fleet.refuse(name, False)

    def _record_gateway_event(self, name: str, event: str) -> None:
        self._fleet.record(history.GatewayEvent(self._fleet.now(), name, event))

    # ---- Links -----------------------------------------------------------------------------------------

    def _links(self, fault: Fault, begins: bool) -> None:
        fleet = self._fleet
        for source in fleet.places.select(fault.on):
            for target in fleet.places.select(fault.to):
                if source == target:
                    continue
                if fault.kind in TAMPERING_FAULTS:
                    self._tamper(source, target, fault, begins)
                    continue
                fleet.fault_between(fault.kind, begins, fault.size, source, target, not fault.one_way)
                if CLIENTS in (source, target):
                    name = target if source == CLIENTS else source
                    if name in fleet.gateways:
                        self._record_gateway_event(name, "hidden" if begins else "seen")

    def _tamper(self, sender: str, other: str, fault: Fault, begins: bool) -> None:
        """Tamper with traffic between the processes, for experiments in which the judge must detect it.

        misroute: what `on` sends to hosts is sent to the host `to` instead; replay: it is sent there too; swallow: this
        share of the responses to the requests from `on` to `to` is dropped.
        """
        fleet = self._fleet
        if fault.kind == "swallow":
            fleet.fault_between("swallow", begins, fault.size, sender, other, False)
            return
        assert fleet.links is not None
        if other not in fleet.host_addresses:
            return
        numbers = [number for (source, target), number in fleet.link_numbers.items()
                   if source == sender and target in fleet.host_addresses and target != other]
        fleet.links.tell("meddle", links=numbers, kind=fault.kind, to=fleet.host_addresses[other] if begins else None)
