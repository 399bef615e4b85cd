"""Discovery in virtual time: one service for all gateways, which handles calls one at a time and may fail."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bridgesaddle.api import HostEntry, HostState, ListKind

from .. import history
from ..listing import DRAINING, READY, Listing, Row
from ..places import DISCOVERY
from .gateway import DISCOVERY_SILENCE_TIMEOUT_NS, Gateway

if TYPE_CHECKING:
    from .fleet import Fleet

_STATES = {READY: HostState.READY, DRAINING: HostState.DRAINING, "terminated": HostState.GONE}


class Discovery:
    """Serves the content of `Listing` to gateways."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.listing = Listing([place.name for place in fleet.places.hosts.values() if place.spec.listed])
        self.outage: str = ""        # "down", "silent" or "reset" during an outage
        self._free_at = 0            # end of the last accepted call; calls are handled one at a time
        self._watchers: list[Gateway] = []
        world = fleet.experiment.world
        self._call_ns = int(world.discovery.call_ms * 1e6)
        self._queue_timeout_ns = int(world.discovery.timeout_ms * 1e6)
        self._push = world.discovery.mode == "push"

    def send_initial_list(self, gateway: Gateway) -> None:
        """Give a starting gateway the list of its configuration."""
        rows = list(self.listing.rows.values())
        self._record(gateway, True, rows)
        gateway.on_list_received(ListKind.CACHED, self._entries(rows), self.listing.generation)
        if self._push:
            gateway.watch(True)

    def call(self, gateway: Gateway, watch: bool) -> None:
        """Handle a list or watch call of a gateway."""
        loop = self._fleet.loop
        starts_at = max(loop.now, self._free_at)
        if self.outage == "silent" or not self._fleet.links.can_connect(gateway.name, DISCOVERY):
            loop.call_at(loop.now + DISCOVERY_SILENCE_TIMEOUT_NS, self._on_call_failed, gateway)
        elif self.outage or starts_at - loop.now > self._queue_timeout_ns:
            loop.call_at(loop.now + self._call_ns, self._on_call_failed, gateway)
        else:
            self._free_at = starts_at + self._call_ns
            loop.call_at(self._free_at, self._complete_call, gateway, watch)

    def _on_call_failed(self, gateway: Gateway) -> None:
        if gateway in self._watchers:
            self._watchers.remove(gateway)
        gateway.invoke(gateway.on_list_received, ListKind.FAILED, [], 0)
        if self._push:
            self._fleet.loop.call_at(self._fleet.loop.now + 1_000_000_000, gateway.invoke, gateway.watch, True)

    def _complete_call(self, gateway: Gateway, watch: bool) -> None:
        if self.outage:
            self._on_call_failed(gateway)
            return
        if watch:
            if gateway.watching and gateway not in self._watchers and gateway.alive:
                self._watchers.append(gateway)
            full, rows = self.listing.since(gateway.generation)
        else:
            full, rows = True, list(self.listing.rows.values())
        self._send_list(gateway, full, rows)

    def _send_list(self, gateway: Gateway, full: bool, rows: list[Row]) -> None:
        self._record(gateway, full, rows)
        self._fleet.links.send_stream(DISCOVERY, gateway.name, 300_000, gateway.invoke, gateway.on_list_received,
                                      ListKind.FULL if full else ListKind.DELTA, self._entries(rows),
                                      self.listing.generation)

    def _record(self, gateway: Gateway, full: bool, rows: list[Row]) -> None:
        self._fleet.record(history.Listed(self._fleet.loop.now, gateway.name, full,
                                          [(row.host, row.state) for row in rows]))

    def _entries(self, rows: list[Row]) -> list[HostEntry]:
        places = self._fleet.places.hosts
        return [HostEntry(row.host, places[row.host].zone, 0, places[row.host].cell, _STATES[row.state], 1.0,
                          row.started_ns) for row in rows]

    def unwatch(self, gateway: Gateway) -> None:
        """End the watch of a gateway."""
        if gateway in self._watchers:
            self._watchers.remove(gateway)

    def change(self, host: str, state: str, started_ns: int = 0) -> None:
        """Change the state of a host and send the update to all watches."""
        row = self.listing.change(host, state, started_ns)
        if row is not None and not self.outage:
            for gateway in list(self._watchers):
                self._send_list(gateway, False, [row])

    def begin_outage(self, kind: str) -> None:
        """Begin an outage: all watches end, but gateways notice a silent service only after their timeout."""
        self.outage = kind
        watchers, self._watchers = self._watchers, []
        for gateway in watchers:
            self._fleet.loop.call_at(self._fleet.loop.now
                                     + (DISCOVERY_SILENCE_TIMEOUT_NS if kind == "silent" else 300_000),
                                     self._on_call_failed, gateway)
