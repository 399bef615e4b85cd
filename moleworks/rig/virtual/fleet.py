"""The fleet in virtual time: hosts, gateways, callers and discovery on one loop, and the faults between them."""

from __future__ import annotations

import json
import random
from collections.abc import Iterator
from pathlib import Path

from bridgesaddle import Balancer
from bridgesaddle.api import Outcome
from bridgesaddle.wire import parse_settings

from .. import history, plan, settings
from ..places import CLIENTS, Places, timeline
from ..spec import Experiment
from ..world import world_line
from .discovery import Discovery
from .faults import Faults
from .gateway import Attempt, Gateway, Maker
from .hosts import VirtualHost
from .loop import Lane, Links, Loop

GRACE_NS = 500_000_000
"""A client waits so much longer than it said before the answer counts as lost."""
FRONT_NS = (1_300_000_000, 3_000_000_000)
"""The front notices so late that a gateway is dead (SITE front.notice_s)."""
DRAIN_NS = 400_000_000
"""After SIGTERM new connections go on coming for so long (PROTOCOL: 0.2 to 0.4 s)."""


class Try:
    """A client's try that is open."""

    __slots__ = ("ask", "gateway", "origin", "over", "rid", "tries")

    def __init__(self, rid: int, origin: int, ask: plan.PlannedRequest, tries: int, gateway: Gateway) -> None:
        self.rid = rid
        self.origin = origin
        self.ask = ask
        self.tries = tries
        self.gateway = gateway
        self.over = False


class Fleet:
    """One run.  `make` is the decision module, or a baseline in its place."""

    def __init__(self, experiment: Experiment, places: Places, out: Path, make: Maker = Balancer) -> None:
        self.experiment = experiment
        self.places = places
        self.make = make
        self.loop = Loop()
        self.rng = random.Random(f"network {experiment.seed}")
        self.links = Links(self.loop, random.Random(f"links {experiment.seed}"))
        self.caller = plan.RetryPolicy(experiment)
        self.tokens = 0
        self.class_names = [item.name for item in experiment.world.classes]
        self._writer = history.Writer(out / "history.jsonl")
        self.record = self._writer.add
        network = experiment.world.network
        self._delays = (network.same_ms * 1e6, network.cross_ms * 1e6, network.client_ms * 1e6)
        self._jitter = network.jitter
        self._idle_ns = int(network.idle_s * 1e9)
        self._connect_ns = int(network.connect_timeout_ms * 1e6)
        seed = experiment.seed
        self.hosts = {place.name: VirtualHost(self, place.name, place.zone, place.spec,
                                              random.Random(f"host {place.name} {seed}"))
                      for place in places.hosts.values()}
        self.record(world_line(experiment, places, "virtual"))
        self.discovery = Discovery(self)
        self.gateways: dict[str, Gateway] = {}
        self._starts = 0
        self.front: dict[str, bool] = {}
        self._choices: dict[int, list[str]] = {}
        for name in places.gateways:
            self.start_gateway(name)
        self.faults = Faults(self, timeline(experiment, places))
        self._rids = 0
        self._asks: Iterator[plan.PlannedRequest] = plan.planned_requests(experiment, places)
        self._open: dict[int, Try] = {}
        self._patience = [Lane(self.loop, self._impatient) for _ in self.class_names]

    # ---- Running --------------------------------------------------------------------------------------

    def run(self) -> None:
        """To the end: the planned length, and what is left after it."""
        self._next()
        end = int(self.experiment.duration_s * 1e9)
        longest = max(int(item.deadline_ms * 1e6) for item in self.experiment.world.classes)
        self.loop.run(end + longest + 2 * GRACE_NS)
        for host in self.hosts.values():
            host.touch()
        self._writer.close()

    def _next(self) -> None:
        ask = next(self._asks, None)
        if ask is not None:
            self.loop.at(ask.at_ns, self._planned, ask)

    def _planned(self, ask: plan.PlannedRequest) -> None:
        self._next()
        self._try(ask, self._rids + 1, 1, ask.ttl_ns, False)

    def _try(self, ask: plan.PlannedRequest, origin: int, tries: int, ttl: int, repeat: bool) -> None:
        """A client's first or later try."""
        self._rids += 1
        rid = self._rids
        now = self.loop.now
        gateway = self._pick(ask.zone)
        held = self._open[rid] = Try(rid, origin, ask, tries, gateway)
        self.record(history.Ask(now, rid, origin, gateway.name, ask.cls, ttl))
        delay = self._client_delay()
        if not gateway.alive or gateway.draining or not self.links.open(CLIENTS, gateway.name):
            self.loop.at(now + 2 * delay, self._seen, rid, "unreachable", 0, 0)
            return
        self.links.stream(CLIENTS, gateway.name, delay, self._arrived, gateway, rid, ask, ttl, repeat)
        self._patience[ask.cls].add(now + ttl + GRACE_NS, held)
        if ask.abandons_after_ns:
            self.loop.at(now + ask.abandons_after_ns, self._leaves, held)

    def _arrived(self, gateway: Gateway, rid: int, ask: plan.PlannedRequest, ttl: int, repeat: bool) -> None:
        if gateway.alive:
            gateway.hear(gateway.take, rid, ask.cls, ask.work_ns, ttl, repeat)
        else:
            self._seen(rid, "unreachable", 0, 0)

    def _leaves(self, held: Try) -> None:
        if not held.over:
            self._seen(held.rid, "left", 0, 0)
            gateway = held.gateway
            self.links.stream(CLIENTS, gateway.name, self._client_delay(), gateway.hear, gateway.gone, held.rid)

    def _impatient(self, held: Try) -> None:
        self._seen(held.rid, "none", 0, 0)
        held.gateway.hear(held.gateway.gone, held.rid)

    def answer(self, gateway: Gateway, rid: int, how: str, by: int, retry_after_ns: int) -> None:
        """A gateway's final answer goes to its client."""
        self.links.stream(gateway.name, CLIENTS, self._client_delay(), self._seen, rid, how, by, retry_after_ns)

    def broken(self, clients: list[int]) -> None:
        """A gateway has died under these clients."""
        for rid in clients:
            self.loop.at(self.loop.now + self._client_delay(), self._seen, rid, "cut", 0, 0)

    def _seen(self, rid: int, how: str, by: int, retry_after_ns: int) -> None:
        """What the client sees of its try; it may try again."""
        held = self._open.pop(rid, None)
        if held is None:
            return
        held.over = True
        ask, now = held.ask, self.loop.now
        self.record(history.Answer(now, rid, how, by))
        if how in ("served", "none", "left"):
            return
        spent = now - ask.at_ns
        kind = "failed" if how == "cut" else how
        wait = self.caller.retry_delay_ns(ask.cls, held.tries, kind, retry_after_ns, spent)
        if wait >= 0:
            left = int(self.experiment.world.classes[ask.cls].deadline_ms * 1e6) - spent - wait
            self.loop.at(now + wait, self._try, ask, held.origin, held.tries + 1,
                         min(ask.ttl_ns, left), True)

    def _pick(self, zone: int) -> Gateway:
        """The front's choice: a gateway of the zone that it holds for alive, else any, else the zone's first."""
        return self.gateways[self.rng.choice(self._choices[zone])]

    def set_front(self, name: str, ready: bool) -> None:
        """What the front holds of a gateway."""
        self.front[name] = ready
        everyone = [other for other, up in self.front.items() if up]
        self._choices = {}
        for zone in range(len(self.places.zones)):
            own = [other for other, place in self.places.gateways.items() if place.zone == zone]
            self._choices[zone] = [other for other in own if self.front.get(other)] or everyone or own

    # ---- Gateways --------------------------------------------------------------------------------------

    def start_gateway(self, name: str) -> None:
        """A process starts under this name, knowing the list as it is and nothing else."""
        number = int(name[1:])
        self._starts += 1
        told = parse_settings(json.dumps(settings.settings(self.experiment, self.places, number)).encode())
        salt = random.Random(f"salt {name} {self._starts} {self.experiment.seed}").getrandbits(62)
        gateway = Gateway(self, name, self.places.gateways[name].zone, told, salt, self.make)
        self.gateways[name] = gateway
        self.set_front(name, True)
        self.record(history.GatewayEvent(self.loop.now, name, "up"))
        self.discovery.greet(gateway)

    def kill_gateway(self, name: str) -> None:
        """It dies; the front notices later."""
        gateway = self.gateways[name]
        if gateway.alive:
            self.record(history.GatewayEvent(self.loop.now, name, "down"))
            self.broken(gateway.die())
            self.discovery.unwatch(gateway)
            self.loop.at(self.loop.now + self.rng.randrange(*FRONT_NS), self._notice, gateway)

    def _notice(self, gateway: Gateway) -> None:
        if not gateway.alive and self.gateways[gateway.name] is gateway:
            self.set_front(gateway.name, False)

    def drain_gateway(self, name: str) -> None:
        """SIGTERM: readiness says no, new requests come for a while yet, what is held is answered."""
        gateway = self.gateways[name]
        self.record(history.GatewayEvent(self.loop.now, name, "drain"))
        self.set_front(name, False)
        self.loop.at(self.loop.now + DRAIN_NS, self._drained, gateway)

    def _drained(self, gateway: Gateway) -> None:
        gateway.draining = True
        if not gateway.held:
            if gateway.alive:
                if self.gateways[gateway.name] is gateway:
                    self.record(history.GatewayEvent(self.loop.now, gateway.name, "down"))
                gateway.die()
                self.discovery.unwatch(gateway)
        else:
            self.loop.at(self.loop.now + 10_000_000, self._drained, gateway)

    def tell(self, gateway: Gateway, peer: int | None, content: bytes) -> None:
        """A datagram between gateways."""
        number = int(gateway.name[1:])
        for other in self.gateways.values():
            if other is not gateway and (peer is None or other.name == f"n{peer}"):
                self.links.packets(gateway.name, other.name, self.delay(gateway.zone, other.zone), len(content),
                                   other.hear, other.on_peer, number, content)

    # ---- The network to hosts --------------------------------------------------------------------------

    def delay(self, one: int, other: int) -> int:
        """One way, ns."""
        return int(self._delays[one != other] * self.rng.uniform(1 - self._jitter, 1 + self._jitter))

    def _client_delay(self) -> int:
        return int(self._delays[2] * self.rng.uniform(1 - self._jitter, 1 + self._jitter))

    def dispatch(self, gateway: Gateway, attempt: Attempt) -> None:
        """An attempt leaves on an idle connection, or opens one."""
        host, now = self.hosts[attempt.host], self.loop.now
        delay = self.delay(gateway.zone, host.zone)
        idle = gateway.idle.get(attempt.host)
        while idle:
            since = idle.pop()
            if now - since < self._idle_ns:
                self.links.stream(gateway.name, host.name, delay, host.arrive, gateway, attempt)
                return
            host.connections -= 1
        attempt.fresh = True
        host.connections += 1
        if host.silent or not self.links.open(gateway.name, host.name):
            self.loop.at(now + self._connect_ns, gateway.hear, gateway.ended, attempt, Outcome.CONNECT_FAILED)
        elif not host.model.up or host.connections > host.most_connections:
            self.loop.at(now + 2 * delay, gateway.hear, gateway.ended, attempt, Outcome.CONNECT_FAILED)
        else:
            self.links.stream(gateway.name, host.name, 3 * delay, host.arrive, gateway, attempt)

    def disconnected(self, host: str) -> None:
        """A gateway has closed a connection."""
        self.hosts[host].connections -= 1

    def forget_idle(self, host: str) -> None:
        """A host has gone: the idle connections to it are known to be dead."""
        for gateway in self.gateways.values():
            self.hosts[host].connections -= len(gateway.idle.pop(host, []))

    def left(self, gateway: Gateway, attempt: Attempt) -> None:
        """A gateway waits no longer for an attempt: the host hears so."""
        host = self.hosts[attempt.host]
        if attempt.key and attempt.request is not None:
            self.record(history.Left(self.loop.now, host.name, attempt.key))
        self.links.stream(gateway.name, host.name, self.delay(gateway.zone, host.zone), self._hears_left, host,
                          attempt)

    def _hears_left(self, host: VirtualHost, attempt: Attempt) -> None:
        if attempt.key in host.jobs:
            host.touch()
            if host.model.withdraw(attempt.key):
                host.jobs.pop(attempt.key, None)
