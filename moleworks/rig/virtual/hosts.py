"""A host in virtual time: its model on the loop, its connections and their failures."""

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

MAX_TRANSIT_NS = 20_000_000
"""An attempt that takes longer than this to reach its host was delayed on the way."""


class VirtualHost:
    """The model of a host, driven by the loop."""

    def __init__(self, fleet: Fleet, name: str, zone: int, spec: Hosts, rng: random.Random) -> None:
        self.fleet = fleet
        self.name = name
        self.zone = zone
        world = fleet.experiment.world
        self.model: Host = Host(spec, rng, 0, world.fall_multiple, int(world.fall_ms * 1e6))
        self.silent: bool = False
        self.connections: int = 0
        self.max_connections = int(spec.cores * spec.connections_per_core)
        self._next_advance_at = 1 << 62
        self.jobs: dict[int, tuple[Gateway, Attempt]] = {}

    def advance(self) -> None:
        """Advance the model to now, report the finished jobs, and schedule the next advance."""
        now = self.fleet.loop.now
        for done in self.model.advance(now):
            self._on_job_done(done.job, done.ok)
        due = self.model.due()
        if due < self._next_advance_at:
            self._next_advance_at = due
            if due < 1 << 62:
                self.fleet.loop.call_at(due, self._on_timer, due)

    def _on_timer(self, due: int) -> None:
        if due == self._next_advance_at:
            self._next_advance_at = 1 << 62
            self.advance()

    def _on_job_done(self, key: int, ok: bool) -> None:
        gateway, attempt = self.jobs.pop(key)
        if attempt.request is not None:
            ok = ok and self.fleet.class_names[attempt.request.cls] != self.model.spec.bad_class
            self.fleet.record(history.End(self.fleet.loop.now, self.name, key, "served" if ok else "error"))
        if not attempt.done:
            self.reply(gateway, attempt, Outcome.OK if ok else Outcome.ERROR, True)

    def reply(self, gateway: Gateway, attempt: Attempt, outcome: Outcome, keep_connection: bool) -> None:
        """Send the outcome of an attempt and the load report to the gateway."""
        if not self.silent:
            fleet = self.fleet
            load = self.model.report(fleet.loop.now)
            fleet.links.send_stream(self.name, gateway.name, fleet.delay(gateway.zone, self.zone), gateway.invoke,
                                    gateway.on_attempt_ended, attempt, outcome, load, keep_connection)

    def on_attempt_arrived(self, gateway: Gateway, attempt: Attempt) -> None:
        """The last byte of an attempt has arrived."""
        fleet, now = self.fleet, self.fleet.loop.now
        if self.silent:
            return
        if not self.model.up:
            self.break_connection(gateway, attempt, attempt.new_connection)
            return
        work = float(self.model.spec.handshake_us * 1000) if attempt.new_connection else 0.0
        fleet.last_job_key += 1
        key = attempt.key = fleet.last_job_key
        request = attempt.request
        if request is None:
            work += 180_000.0
        else:
            work += request.work
            delayed = now - attempt.started_at > MAX_TRANSIT_NS
            fleet.record(history.Begin(now, self.name, request.rid, gateway.name, key,
                                       s=attempt.started_at if delayed else -1, x=attempt.ended_at))
        self.advance()
        accepted = self.model.offer(now, key, work)
        if self.model.toppled:
            self.go_down("topple")
            fleet.faults.toppled(self)
            if request is not None:
                fleet.record(history.End(now, self.name, key, "died"))
            self.break_connection(gateway, attempt, False)
            return
        if not accepted:
            if request is not None:
                fleet.record(history.End(now, self.name, key, "full"))
            self.reply(gateway, attempt, Outcome.FULL, True)
            return
        self.jobs[key] = (gateway, attempt)
        self.advance()

    def break_connection(self, gateway: Gateway, attempt: Attempt, refused: bool) -> None:
        """Refuse the connection of an attempt, or break it during the attempt."""
        fleet = self.fleet
        fleet.links.send_stream(self.name, gateway.name, fleet.delay(gateway.zone, self.zone), gateway.invoke,
                                gateway.on_attempt_ended, attempt, Outcome.CONNECT_FAILED if refused else Outcome.RESET)

    def go_down(self, event: str) -> None:
        """End the process, or make the host unreachable (event "silent"): jobs are lost, then without a reset."""
        now = self.fleet.loop.now
        self.advance()
        self.model.crash(now)
        self.fleet.record(history.HostEvent(now, self.name, event))
        for key, (gateway, attempt) in self.jobs.items():
            if attempt.request is not None:
                self.fleet.record(history.End(now, self.name, key, "died"))
            if not attempt.done and event != "silent":
                self.break_connection(gateway, attempt, False)
        self.jobs.clear()
        self.silent = event == "silent"
        self.fleet.drop_idle(self.name)

    def start(self) -> None:
        """Start the process again, in its cold state."""
        self.silent = False
        self.model.start(self.fleet.loop.now)
        if self.model.up:
            self.fleet.record(history.HostEvent(self.fleet.loop.now, self.name, "up"))
