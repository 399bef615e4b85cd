"""Faults in virtual time: each begins, and ends where it has an end; one may fall on another."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .. import history
from ..listing import DRAINING, GONE, READY
from ..places import CLIENTS
from ..spec import GATEWAY_FAULTS, HOST_FAULTS, SERVICE_FAULTS, Fault

if TYPE_CHECKING:
    from .fleet import Fleet
    from .hosts import VirtualHost

DRAIN_NS = 3_000_000_000
"""A host that drains ends so long after it has announced so."""


class Faults:
    """The timeline on the loop."""

    def __init__(self, fleet: Fleet, timeline: list[Fault]) -> None:
        self._fleet = fleet
        self._lives: dict[str, int] = {}   # a host's restarts: what was planned for an earlier life is void
        for index, fault in enumerate(timeline):
            at = int(fault.at_s * 1e9)
            fleet.loop.at(at, self._turn, index, fault, True)
            if fault.for_s:
                fleet.loop.at(at + int(fault.for_s * 1e9), self._turn, index, fault, False)

    def _turn(self, index: int, fault: Fault, begins: bool) -> None:
        fleet = self._fleet
        fleet.record(history.FaultEvent(fleet.loop.now, index, "begin" if begins else "end", fault.kind, fault.on,
                                        fault.to, fault.size))
        if fault.kind in HOST_FAULTS:
            for name in fleet.places.select(fault.on):
                if name in fleet.hosts:
                    self._host(fleet.hosts[name], fault, begins)
        elif fault.kind in GATEWAY_FAULTS:
            for name in fleet.places.select(fault.on):
                if name in fleet.gateways:
                    self._gateway(name, fault, begins)
        elif fault.kind in SERVICE_FAULTS:
            if begins:
                fleet.discovery.fault(fault.kind.removeprefix("discovery_"))
            else:
                fleet.discovery.down = ""
        else:
            self._links(fault, begins)

    def _host(self, host: VirtualHost, fault: Fault, begins: bool) -> None:
        now = self._fleet.loop.now
        if fault.kind in ("crash", "vanish"):
            if begins and host.model.up:
                host.down("down" if fault.kind == "crash" else "silent")
                self._listed(host, GONE, "notice_ms")
            elif not begins and not host.model.up:
                self._back(host)
        elif fault.kind == "drain":
            if begins and host.model.up and not host.model.draining:
                self._fleet.record(history.HostEvent(now, host.name, "drain"))
                self._fleet.discovery.change(host.name, DRAINING)
                self._fleet.loop.at(now + DRAIN_NS, self._drained, host, self._lives.get(host.name, 0))
            elif not begins and not host.model.up:
                self._back(host)
        elif fault.kind == "slow":
            host.touch()
            host.model.set_slow(now, fault.size if begins else 1.0)
            host.touch()
        elif fault.kind == "errors":
            host.model.set_errors(fault.size if begins else None)
        elif fault.kind == "pause" and begins:
            host.touch()
            host.model.pause(now, int(fault.size * 1e6))

    def _back(self, host: VirtualHost) -> None:
        self._lives[host.name] = self._lives.get(host.name, 0) + 1
        host.start()
        if host.model.up:
            self._listed(host, READY, "add_ms", self._fleet.loop.now)

    def toppled(self, host: VirtualHost) -> None:
        """A host has fallen over: its process is gone for good, and the list learns so like of any other."""
        self._listed(host, GONE, "notice_ms")

    def _drained(self, host: VirtualHost, life: int) -> None:
        """The process ends in order."""
        if host.model.up and self._lives.get(host.name, 0) == life:
            host.down("down")
            self._listed(host, GONE, "notice_ms")

    def _listed(self, host: VirtualHost, state: str, late: str, started_ns: int = 0) -> None:
        """The list learns of it later, if it is still so by then."""
        fleet = self._fleet
        life = self._lives.get(host.name, 0)

        def learn() -> None:
            if self._lives.get(host.name, 0) == life and (state == GONE) != host.model.up:
                fleet.discovery.change(host.name, state, started_ns)
        delay: float = getattr(fleet.experiment.world.discovery, late)
        if fleet.places.hosts[host.name].spec.listed:
            fleet.loop.at(fleet.loop.now + int(delay * 1e6), learn)

    def _gateway(self, name: str, fault: Fault, begins: bool) -> None:
        fleet = self._fleet
        gateway = fleet.gateways[name]
        if fault.kind == "kill":
            if begins:
                fleet.kill_gateway(name)
            elif not gateway.alive:
                fleet.start_gateway(name)
        elif fault.kind == "term":
            if begins and gateway.alive:
                fleet.drain_gateway(name)
            elif not begins and not gateway.alive:
                fleet.start_gateway(name)
        elif fault.kind == "upgrade" and begins and gateway.alive:
            fleet.start_gateway(name)   # the new one has the address from now on; the old one ends what it holds
            fleet.loop.at(fleet.loop.now + 1, fleet._drained, gateway)
        elif fault.kind == "stop" and begins and gateway.alive:
            fleet.record(history.GatewayEvent(fleet.loop.now, name, "stop"))
            gateway.stopped_until = fleet.loop.now + int(fault.for_s * 1e9 or 1 << 62)
        elif fault.kind == "stop" and not begins and gateway.alive:
            fleet.record(history.GatewayEvent(fleet.loop.now, name, "go"))

    def _links(self, fault: Fault, begins: bool) -> None:
        fleet = self._fleet
        for one in fleet.places.select(fault.on):
            for other in fleet.places.select(fault.to):
                if one != other:
                    self._way(one, other, fault, begins)
                    if not fault.one_way:
                        self._way(other, one, fault, begins)

    def _way(self, source: str, target: str, fault: Fault, begins: bool) -> None:
        if target == CLIENTS and source in self._fleet.gateways:
            self._fleet.record(history.GatewayEvent(self._fleet.loop.now, source, "hidden" if begins else "seen"))
        link = self._fleet.links.way(source, target)
        sign = 1 if begins else -1
        if fault.kind in ("cut", "half_open"):
            setattr(link, fault.kind, getattr(link, fault.kind) + sign)
        elif fault.kind == "delay":
            link.delay_ns += sign * int(fault.size * 1e6)
        elif fault.kind in ("loss", "duplicate", "reorder"):
            setattr(link, fault.kind, fault.size if begins else 0.0)
        elif fault.kind == "rate":
            link.rate = fault.size if begins else 0.0
        self._fleet.links.settle(source, target)
