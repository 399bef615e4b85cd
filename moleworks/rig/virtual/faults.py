"""Faults in virtual time: each begins and, if it has a duration, ends; faults may overlap."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .. import history
from ..listing import DRAINING, GONE, READY
from ..places import CLIENTS
from ..spec import GATEWAY_FAULTS, HOST_FAULTS, SERVICE_FAULTS, Fault

if TYPE_CHECKING:
    from .fleet import Fleet
    from .hosts import VirtualHost

HOST_DRAIN_NS = 3_000_000_000
"""The time from the announcement that a host drains to the end of its process."""


class Faults:
    """Schedules the faults of a timeline on the loop."""

    def __init__(self, fleet: Fleet, timeline: list[Fault]) -> None:
        self._fleet = fleet
        self._incarnations: dict[str, int] = {}   # restarts by host; a restart cancels what was scheduled before it
        for index, fault in enumerate(timeline):
            begins_at = int(fault.at_s * 1e9)
            fleet.loop.call_at(begins_at, self._on_fault, index, fault, True)
            if fault.for_s:
                fleet.loop.call_at(begins_at + int(fault.for_s * 1e9), self._on_fault, index, fault, False)

    def _on_fault(self, index: int, fault: Fault, begins: bool) -> None:
        fleet = self._fleet
        fleet.record(history.FaultEvent(fleet.loop.now, index, "begin" if begins else "end", fault.kind, fault.on,
                                        fault.to, fault.size))
        if fault.kind in HOST_FAULTS:
            for name in fleet.places.select(fault.on):
                if name in fleet.hosts:
                    self._apply_to_host(fleet.hosts[name], fault, begins)
        elif fault.kind in GATEWAY_FAULTS:
            for name in fleet.places.select(fault.on):
                if name in fleet.gateways:
                    self._apply_to_gateway(name, fault, begins)
        elif fault.kind in SERVICE_FAULTS:
            if begins:
                fleet.discovery.begin_outage(fault.kind.removeprefix("discovery_"))
            else:
                fleet.discovery.outage = ""
        else:
            self._apply_to_links(fault, begins)

    def _apply_to_host(self, host: VirtualHost, fault: Fault, begins: bool) -> None:
        now = self._fleet.loop.now
        if fault.kind in ("crash", "vanish"):
            if begins and host.model.up:
                host.go_down("down" if fault.kind == "crash" else "silent")
                self._schedule_listing_change(host, GONE, "notice_ms")
            elif not begins and not host.model.up:
                self._restart_host(host)
        elif fault.kind == "drain":
            if begins and host.model.up and not host.model.draining:
                self._fleet.record(history.HostEvent(now, host.name, "drain"))
                self._fleet.discovery.change(host.name, DRAINING)
                self._fleet.loop.call_at(now + HOST_DRAIN_NS, self._end_drained_host, host,
                                         self._incarnations.get(host.name, 0))
            elif not begins and not host.model.up:
                self._restart_host(host)
        elif fault.kind == "slow":
            host.advance()
            host.model.set_slow(now, fault.size if begins else 1.0)
            host.advance()
        elif fault.kind == "errors":
            host.model.set_errors(fault.size if begins else None)
        elif fault.kind == "pause" and begins:
            host.advance()
            host.model.pause(now, int(fault.size * 1e6))

    def _restart_host(self, host: VirtualHost) -> None:
        self._incarnations[host.name] = self._incarnations.get(host.name, 0) + 1
        host.start()
        if host.model.up:
            self._schedule_listing_change(host, READY, "add_ms", self._fleet.loop.now)

    def toppled(self, host: VirtualHost) -> None:
        """A host has collapsed under overload: its process does not return, and discovery removes it like any other."""
        self._schedule_listing_change(host, GONE, "notice_ms")

    def _end_drained_host(self, host: VirtualHost, incarnation: int) -> None:
        """End the process of a host that has drained."""
        if host.model.up and self._incarnations.get(host.name, 0) == incarnation:
            host.go_down("down")
            self._schedule_listing_change(host, GONE, "notice_ms")

    def _schedule_listing_change(self, host: VirtualHost, state: str, delay_key: str, started_ns: int = 0) -> None:
        """Change the state of a host in discovery after a delay, if the host is still in that state by then."""
        fleet = self._fleet
        incarnation = self._incarnations.get(host.name, 0)

        def change_listing() -> None:
            if self._incarnations.get(host.name, 0) == incarnation and (state == GONE) != host.model.up:
                fleet.discovery.change(host.name, state, started_ns)
        delay: float = getattr(fleet.experiment.world.discovery, delay_key)
        if fleet.places.hosts[host.name].spec.listed:
            fleet.loop.call_at(fleet.loop.now + int(delay * 1e6), change_listing)

    def _apply_to_gateway(self, name: str, fault: Fault, begins: bool) -> None:
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
            fleet.start_gateway(name)   # takes over the address; the old process completes its open requests
            fleet.loop.call_at(fleet.loop.now + 1, fleet._end_when_drained, gateway)
        elif fault.kind == "stop" and begins and gateway.alive:
            fleet.record(history.GatewayEvent(fleet.loop.now, name, "stop"))
            gateway.suspended_until = fleet.loop.now + int(fault.for_s * 1e9 or 1 << 62)
        elif fault.kind == "stop" and not begins and gateway.alive:
            fleet.record(history.GatewayEvent(fleet.loop.now, name, "go"))

    def _apply_to_links(self, fault: Fault, begins: bool) -> None:
        fleet = self._fleet
        for one in fleet.places.select(fault.on):
            for other in fleet.places.select(fault.to):
                if one != other:
                    self._apply_to_link(one, other, fault, begins)
                    if not fault.one_way:
                        self._apply_to_link(other, one, fault, begins)

    def _apply_to_link(self, source: str, target: str, fault: Fault, begins: bool) -> None:
        if target == CLIENTS and source in self._fleet.gateways:
            self._fleet.record(history.GatewayEvent(self._fleet.loop.now, source, "hidden" if begins else "seen"))
        link = self._fleet.links.link(source, target)
        sign = 1 if begins else -1
        if fault.kind in ("cut", "half_open"):
            setattr(link, fault.kind, getattr(link, fault.kind) + sign)
        elif fault.kind == "delay":
            link.delay_ns += sign * int(fault.size * 1e6)
        elif fault.kind in ("loss", "duplicate", "reorder"):
            setattr(link, fault.kind, fault.size if begins else 0.0)
        elif fault.kind == "rate":
            link.rate = fault.size if begins else 0.0
        self._fleet.links.on_faults_changed(source, target)
