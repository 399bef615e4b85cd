"""The fleet in virtual time: hosts, gateways, clients and discovery on one loop, with faults."""

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
from .gateway import Attempt, DecisionsFactory, Gateway
from .hosts import VirtualHost
from .loop import DeadlineQueue, Links, Loop

RESPONSE_GRACE_NS = 500_000_000
"""How long after its timeout a client still waits before it records that there was no response."""
FRONT_NOTICE_NS = (1_300_000_000, 3_000_000_000)
"""The delay, from and to, after which the front notices that a gateway has ended (SITE front.notice_s)."""
DRAIN_ACCEPT_NS = 400_000_000
"""How long new connections still arrive after SIGTERM (PROTOCOL: 0.2 to 0.4 s)."""


class ClientRequest:
    """An open request of a client: the first one or a retry."""

    __slots__ = ("attempts", "done", "gateway", "origin", "planned", "rid")

    def __init__(self, rid: int, origin: int, planned: plan.PlannedRequest, attempts: int, gateway: Gateway) -> None:
        self.rid = rid
        self.origin = origin
        self.planned = planned
        self.attempts = attempts
        self.gateway = gateway
        self.done = False


class Fleet:
    """One run.  `make` creates the decision module, or a baseline in its place."""

    def __init__(self, experiment: Experiment, places: Places, out: Path, make: DecisionsFactory = Balancer) -> None:
        self.experiment = experiment
        self.places = places
        self.make = make
        self.loop = Loop()
        self.rng = random.Random(f"network {experiment.seed}")
        self.links = Links(self.loop, random.Random(f"links {experiment.seed}"))
        self.retry_policy = plan.RetryPolicy(experiment)
        self.last_job_key = 0
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
        self._start_count = 0
        self._front_ready: dict[str, bool] = {}
        self._choices: dict[int, list[str]] = {}
        for name in places.gateways:
            self.start_gateway(name)
        self.faults = Faults(self, timeline(experiment, places))
        self._last_rid = 0
        self._planned_requests: Iterator[plan.PlannedRequest] = plan.planned_requests(experiment, places)
        self._open: dict[int, ClientRequest] = {}
        self._response_deadlines = [DeadlineQueue(self.loop, self._on_no_response) for _ in self.class_names]

    # ---- Running --------------------------------------------------------------------------------------

    def run(self) -> None:
        """Run for the planned duration and until the requests open at its end are done."""
        self._schedule_next()
        end = int(self.experiment.duration_s * 1e9)
        max_deadline_ns = max(int(item.deadline_ms * 1e6) for item in self.experiment.world.classes)
        self.loop.run(end + max_deadline_ns + 2 * RESPONSE_GRACE_NS)
        for host in self.hosts.values():
            host.advance()
        self._writer.close()

    def _schedule_next(self) -> None:
        planned = next(self._planned_requests, None)
        if planned is not None:
            self.loop.call_at(planned.at_ns, self._send_planned, planned)

    def _send_planned(self, planned: plan.PlannedRequest) -> None:
        self._schedule_next()
        self._send_request(planned, self._last_rid + 1, 1, planned.ttl_ns, False)

    def _send_request(self, planned: plan.PlannedRequest, origin: int, attempts: int, ttl: int, is_retry: bool) -> None:
        """Send the first request of a client or a retry."""
        self._last_rid += 1
        rid = self._last_rid
        now = self.loop.now
        gateway = self._pick_gateway(planned.zone)
        client_request = self._open[rid] = ClientRequest(rid, origin, planned, attempts, gateway)
        self.record(history.Ask(now, rid, origin, gateway.name, planned.cls, ttl))
        delay = self._client_delay()
        if not gateway.alive or gateway.draining or not self.links.can_connect(CLIENTS, gateway.name):
            self.loop.call_at(now + 2 * delay, self._on_result, rid, "unreachable", 0, 0)
            return
        self.links.send_stream(CLIENTS, gateway.name, delay, self._on_request_arrived, gateway, rid, planned, ttl,
                               is_retry)
        self._response_deadlines[planned.cls].add(now + ttl + RESPONSE_GRACE_NS, client_request)
        if planned.abandons_after_ns:
            self.loop.call_at(now + planned.abandons_after_ns, self._on_client_leaves, client_request)

    def _on_request_arrived(self, gateway: Gateway, rid: int, planned: plan.PlannedRequest, ttl: int,
                            is_retry: bool) -> None:
        if gateway.alive:
            gateway.invoke(gateway.on_request_arrived, rid, planned.cls, planned.work_ns, ttl, is_retry)
        else:
            self._on_result(rid, "unreachable", 0, 0)

    def _on_client_leaves(self, client_request: ClientRequest) -> None:
        if not client_request.done:
            self._on_result(client_request.rid, "left", 0, 0)
            gateway = client_request.gateway
            self.links.send_stream(CLIENTS, gateway.name, self._client_delay(), gateway.invoke, gateway.on_client_left,
                                   client_request.rid)

    def _on_no_response(self, client_request: ClientRequest) -> None:
        self._on_result(client_request.rid, "none", 0, 0)
        client_request.gateway.invoke(client_request.gateway.on_client_left, client_request.rid)

    def send_response(self, gateway: Gateway, rid: int, result: str, by: int, retry_after_ns: int) -> None:
        """Send the final response of a gateway to the client."""
        self.links.send_stream(gateway.name, CLIENTS, self._client_delay(), self._on_result, rid, result, by,
                               retry_after_ns)

    def on_connections_broken(self, clients: list[int]) -> None:
        """The connections of these requests broke when their gateway ended."""
        for rid in clients:
            self.loop.call_at(self.loop.now + self._client_delay(), self._on_result, rid, "cut", 0, 0)

    def _on_result(self, rid: int, result: str, by: int, retry_after_ns: int) -> None:
        """Record the result of a request as its client sees it, and schedule a retry if the client makes one."""
        client_request = self._open.pop(rid, None)
        if client_request is None:
            return
        client_request.done = True
        planned, now = client_request.planned, self.loop.now
        self.record(history.Answer(now, rid, result, by))
        if result in ("served", "none", "left"):
            return
        elapsed_ns = now - planned.at_ns
        kind = "failed" if result == "cut" else result
        backoff_ns = self.retry_policy.retry_delay_ns(planned.cls, client_request.attempts, kind, retry_after_ns,
                                                      elapsed_ns)
        if backoff_ns >= 0:
            time_left_ns = int(self.experiment.world.classes[planned.cls].deadline_ms * 1e6) - elapsed_ns - backoff_ns
            self.loop.call_at(now + backoff_ns, self._send_request, planned, client_request.origin,
                              client_request.attempts + 1, min(planned.ttl_ns, time_left_ns), True)

    def _pick_gateway(self, zone: int) -> Gateway:
        """The front's choice at random: a ready gateway of the zone, else any ready one, else any of the zone."""
        return self.gateways[self.rng.choice(self._choices[zone])]

    def set_front_ready(self, name: str, ready: bool) -> None:
        """Set whether the front considers a gateway ready."""
        self._front_ready[name] = ready
        all_ready = [other for other, up in self._front_ready.items() if up]
        self._choices = {}
        for zone in range(len(self.places.zones)):
            own = [other for other, place in self.places.gateways.items() if place.zone == zone]
            self._choices[zone] = [other for other in own if self._front_ready.get(other)] or all_ready or own

    # ---- Gateways --------------------------------------------------------------------------------------

    def start_gateway(self, name: str) -> None:
        """Start a gateway process under this name; it has the current host list and no other state."""
        number = int(name[1:])
        self._start_count += 1
        gateway_settings = parse_settings(json.dumps(settings.settings(self.experiment, self.places, number)).encode())
        salt = random.Random(f"salt {name} {self._start_count} {self.experiment.seed}").getrandbits(62)
        gateway = Gateway(self, name, self.places.gateways[name].zone, gateway_settings, salt, self.make)
        self.gateways[name] = gateway
        self.set_front_ready(name, True)
        self.record(history.GatewayEvent(self.loop.now, name, "up"))
        self.discovery.send_initial_list(gateway)

    def kill_gateway(self, name: str) -> None:
        """End a gateway process at once; the front notices later."""
        gateway = self.gateways[name]
        if gateway.alive:
            self.record(history.GatewayEvent(self.loop.now, name, "down"))
            self.on_connections_broken(gateway.kill())
            self.discovery.unwatch(gateway)
            self.loop.call_at(self.loop.now + self.rng.randrange(*FRONT_NOTICE_NS), self._on_down_noticed, gateway)

    def _on_down_noticed(self, gateway: Gateway) -> None:
        if not gateway.alive and self.gateways[gateway.name] is gateway:
            self.set_front_ready(gateway.name, False)

    def drain_gateway(self, name: str) -> None:
        """Handle SIGTERM: the gateway turns unready, accepts requests for DRAIN_ACCEPT_NS, completes open ones."""
        gateway = self.gateways[name]
        self.record(history.GatewayEvent(self.loop.now, name, "drain"))
        self.set_front_ready(name, False)
        self.loop.call_at(self.loop.now + DRAIN_ACCEPT_NS, self._end_when_drained, gateway)

    def _end_when_drained(self, gateway: Gateway) -> None:
        gateway.draining = True
        if not gateway.open_requests:
            if gateway.alive:
                if self.gateways[gateway.name] is gateway:
                    self.record(history.GatewayEvent(self.loop.now, gateway.name, "down"))
                gateway.kill()
                self.discovery.unwatch(gateway)
        else:
            self.loop.call_at(self.loop.now + 10_000_000, self._end_when_drained, gateway)

    def send_peer_message(self, gateway: Gateway, peer: int | None, content: bytes) -> None:
        """Send a datagram to one other gateway, or to all of them."""
        number = int(gateway.name[1:])
        for other in self.gateways.values():
            if other is not gateway and (peer is None or other.name == f"n{peer}"):
                self.links.send_datagram(gateway.name, other.name, self.delay(gateway.zone, other.zone), len(content),
                                         other.invoke, other.on_peer, number, content)

    # ---- The network between gateways and hosts --------------------------------------------------------

    def delay(self, zone: int, other: int) -> int:
        """A one-way delay between two zones, ns."""
        return int(self._delays[zone != other] * self.rng.uniform(1 - self._jitter, 1 + self._jitter))

    def _client_delay(self) -> int:
        return int(self._delays[2] * self.rng.uniform(1 - self._jitter, 1 + self._jitter))

    def dispatch(self, gateway: Gateway, attempt: Attempt) -> None:
        """Send an attempt on an idle connection, or on a new one."""
        host, now = self.hosts[attempt.host], self.loop.now
        delay = self.delay(gateway.zone, host.zone)
        idle = gateway.idle.get(attempt.host)
        while idle:
            idle_since = idle.pop()
            if now - idle_since < self._idle_ns:
                self.links.send_stream(gateway.name, host.name, delay, host.on_attempt_arrived, gateway, attempt)
                return
            host.connections -= 1
        attempt.new_connection = True
        host.connections += 1
        if host.silent or not self.links.can_connect(gateway.name, host.name):
            self.loop.call_at(now + self._connect_ns, gateway.invoke, gateway.on_attempt_ended, attempt,
                              Outcome.CONNECT_FAILED)
        elif not host.model.up or host.connections > host.max_connections:
            self.loop.call_at(now + 2 * delay, gateway.invoke, gateway.on_attempt_ended, attempt,
                              Outcome.CONNECT_FAILED)
        else:
            self.links.send_stream(gateway.name, host.name, 3 * delay, host.on_attempt_arrived, gateway, attempt)

    def on_disconnected(self, host: str) -> None:
        """A gateway has closed a connection."""
        self.hosts[host].connections -= 1

    def drop_idle(self, host: str) -> None:
        """Close the idle connections of all gateways to a host that has gone down."""
        for gateway in self.gateways.values():
            self.hosts[host].connections -= len(gateway.idle.pop(host, []))

    def cancel_attempt(self, gateway: Gateway, attempt: Attempt) -> None:
        """Notify the host that a gateway no longer waits for an attempt."""
        host = self.hosts[attempt.host]
        if attempt.key and attempt.request is not None:
            self.record(history.Left(self.loop.now, host.name, attempt.key))
        self.links.send_stream(gateway.name, host.name, self.delay(gateway.zone, host.zone), self._on_attempt_cancelled,
                               host, attempt)

    def _on_attempt_cancelled(self, host: VirtualHost, attempt: Attempt) -> None:
        if attempt.key in host.jobs:
            host.advance()
            if host.model.withdraw(attempt.key):
                host.jobs.pop(attempt.key, None)
