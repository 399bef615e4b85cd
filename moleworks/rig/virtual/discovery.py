"""The list service in virtual time: one service for all, late, with calls that take their turn and may fail."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bridgesaddle.api import HostEntry, HostState, ListKind

from .. import history
from ..listing import DRAINING, READY, Listing, Row
from ..places import DISCOVERY
from .gateway import SILENT_NS, Gateway

if TYPE_CHECKING:
    from .fleet import Fleet

_STATES = {READY: HostState.READY, DRAINING: HostState.DRAINING, "terminated": HostState.GONE}


class Discovery:
    """Tells gateways what `Listing` knows."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.listing = Listing([place.name for place in fleet.places.hosts.values() if place.spec.listed])
        self.down: str = ""               # "down", "silent" or "reset" while it is not there
        self._free_at = 0            # calls take their turn
        self._watchers: list[Gateway] = []
        world = fleet.experiment.world
        self._call_ns = int(world.discovery.call_ms * 1e6)
        self._patience_ns = int(world.discovery.timeout_ms * 1e6)
        self._push = world.discovery.mode == "push"

    def greet(self, gateway: Gateway) -> None:
        """A process starts with the list that its configuration brings."""
        rows = list(self.listing.rows.values())
        self._record(gateway, True, rows)
        gateway.listed(ListKind.CACHED, self._entries(rows), self.listing.generation)
        if self._push:
            gateway.watch(True)

    def call(self, gateway: Gateway, watch: bool) -> None:
        """A gateway asks for the list, once or with all changes from then on."""
        loop = self._fleet.loop
        begin = max(loop.now, self._free_at)
        if self.down == "silent" or not self._fleet.links.open(gateway.name, DISCOVERY):
            loop.at(loop.now + SILENT_NS, self._failed, gateway)
        elif self.down or begin - loop.now > self._patience_ns:
            loop.at(loop.now + self._call_ns, self._failed, gateway)
        else:
            self._free_at = begin + self._call_ns
            loop.at(self._free_at, self._answer, gateway, watch)

    def _failed(self, gateway: Gateway) -> None:
        if gateway in self._watchers:
            self._watchers.remove(gateway)
        gateway.hear(gateway.listed, ListKind.FAILED, [], 0)
        if self._push:
            self._fleet.loop.at(self._fleet.loop.now + 1_000_000_000, gateway.hear, gateway.watch, True)

    def _answer(self, gateway: Gateway, watch: bool) -> None:
        if self.down:
            self._failed(gateway)
            return
        if watch:
            if gateway.watching and gateway not in self._watchers and gateway.alive:
                self._watchers.append(gateway)
            full, rows = self.listing.since(gateway.generation)
        else:
            full, rows = True, list(self.listing.rows.values())
        self._write(gateway, full, rows)

    def _write(self, gateway: Gateway, full: bool, rows: list[Row]) -> None:
        self._record(gateway, full, rows)
        self._fleet.links.stream(DISCOVERY, gateway.name, 300_000, gateway.hear, gateway.listed,
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
        """A gateway watches no longer."""
        if gateway in self._watchers:
            self._watchers.remove(gateway)

    def change(self, host: str, state: str, started_ns: int = 0) -> None:
        """The service has learned something of a host."""
        row = self.listing.change(host, state, started_ns)
        if row is not None and not self.down:
            for gateway in list(self._watchers):
                self._write(gateway, False, [row])

    def fault(self, how: str) -> None:
        """It goes away: watches end, but where it falls silent nobody hears so at once."""
        self.down = how
        watchers, self._watchers = self._watchers, []
        for gateway in watchers:
            self._fleet.loop.at(self._fleet.loop.now + (SILENT_NS if how == "silent" else 300_000), self._failed,
                                gateway)
