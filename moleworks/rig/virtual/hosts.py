"""A host in virtual time: its model on the loop, its connections, and how it breaks off."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from bridgesaddle.api import Outcome

from .. import history
from ..host import Host
from ..spec import Hosts
from .gateway import Attempt, Gateway

if TYPE_CHECKING:
    from .fleet import Fleet

HELD_NS = 20_000_000
"""An attempt that took longer to its host was held on the way."""


class VirtualHost:
    """A host's model on the loop."""

    def __init__(self, fleet: Fleet, name: str, zone: int, spec: Hosts, rng: random.Random) -> None:
        self.fleet = fleet
        self.name = name
        self.zone = zone
        world = fleet.experiment.world
        self.model: Host = Host(spec, rng, 0, world.fall_multiple, int(world.fall_ms * 1e6))
        self.silent: bool = False
        self.connections: int = 0
        self.most_connections = int(spec.cores * spec.connections_per_core)
        self._due = 1 << 62
        self.jobs: dict[int, tuple[Gateway, Attempt]] = {}

    def touch(self) -> None:
        """Let the model catch up, pass on what is done, and come again when it next wants to."""
        now = self.fleet.loop.now
        for done in self.model.advance(now):
            self._done(done.job, done.ok)
        due = self.model.due()
        if due < self._due:
            self._due = due
            if due < 1 << 62:
                self.fleet.loop.at(due, self._ring, due)

    def _ring(self, due: int) -> None:
        if due == self._due:
            self._due = 1 << 62
            self.touch()

    def _done(self, key: int, ok: bool) -> None:
        gateway, attempt = self.jobs.pop(key)
        if attempt.request is not None:
            ok = ok and self.fleet.class_names[attempt.request.cls] != self.model.spec.bad_class
            self.fleet.record(history.End(self.fleet.loop.now, self.name, key, "served" if ok else "error"))
        if not attempt.over:
            self.reply(gateway, attempt, Outcome.OK if ok else Outcome.ERROR, True)

    def reply(self, gateway: Gateway, attempt: Attempt, outcome: Outcome, keep: bool) -> None:
        """Send an outcome back, with the load report."""
        if not self.silent:
            fleet = self.fleet
            load = self.model.report(fleet.loop.now)
            fleet.links.stream(self.name, gateway.name, fleet.delay(gateway.zone, self.zone), gateway.hear,
                               gateway.ended, attempt, outcome, load, keep)

    def arrive(self, gateway: Gateway, attempt: Attempt) -> None:
        """An attempt's last byte."""
        fleet, now = self.fleet, self.fleet.loop.now
        if self.silent:
            return
        if not self.model.up:
            self.break_off(gateway, attempt, attempt.fresh)
            return
        work = float(self.model.spec.handshake_us * 1000) if attempt.fresh else 0.0
        fleet.tokens += 1
        key = attempt.key = fleet.tokens
        request = attempt.request
        if request is None:
            work += 180_000.0
        else:
            work += request.work
            held = now - attempt.started > HELD_NS
            fleet.record(history.Begin(now, self.name, request.rid, gateway.name, key,
                                       s=attempt.started if held else -1, x=attempt.ended))
        self.touch()
        taken = self.model.offer(now, key, work)
        if self.model.toppled:
            self.down("topple")
            fleet.faults.toppled(self)
            if request is not None:
                fleet.record(history.End(now, self.name, key, "died"))
            self.break_off(gateway, attempt, False)
            return
        if not taken:
            if request is not None:
                fleet.record(history.End(now, self.name, key, "full"))
            self.reply(gateway, attempt, Outcome.FULL, True)
            return
        self.jobs[key] = (gateway, attempt)
        self.touch()

    def break_off(self, gateway: Gateway, attempt: Attempt, never_ran: bool) -> None:
        """The connection is refused, or breaks under the attempt."""
        fleet = self.fleet
        fleet.links.stream(self.name, gateway.name, fleet.delay(gateway.zone, self.zone), gateway.hear,
                           gateway.ended, attempt, Outcome.CONNECT_FAILED if never_ran else Outcome.RESET)

    def down(self, what: str) -> None:
        """The process ends, or all becomes silent; what it held breaks, with a word or without."""
        now = self.fleet.loop.now
        self.touch()
        self.model.crash(now)
        self.fleet.record(history.HostEvent(now, self.name, what))
        for key, (gateway, attempt) in self.jobs.items():
            if attempt.request is not None:
                self.fleet.record(history.End(now, self.name, key, "died"))
            if not attempt.over and what != "silent":
                self.break_off(gateway, attempt, False)
        self.jobs.clear()
        self.silent = what == "silent"
        self.fleet.forget_idle(self.name)

    def start(self) -> None:
        """The process is back, cold."""
        self.silent = False
        self.model.start(self.fleet.loop.now)
        if self.model.up:
            self.fleet.record(history.HostEvent(self.fleet.loop.now, self.name, "up"))
