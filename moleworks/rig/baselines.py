"""Simple load-balancing policies to compare the decision module with; they obey only the rules on retries.

random, round_robin, least (fewest requests in flight), two (the one of two random hosts with fewer requests in
flight) and two_budget (the same, with retries limited to a tenth of the requests).
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from bridgesaddle.api import (
    NEVER_RAN,
    Actions,
    Effect,
    Group,
    HostEntry,
    HostId,
    HostState,
    ListKind,
    Outcome,
    Settings,
)

BUDGET_PER_REQUEST = 0.1
"""Retries that each request adds to the retry budget."""
MAX_BUDGET = 20.0
"""Maximum of the retry budget."""


class _OpenRequest:
    __slots__ = ("attempt_started_at", "cls", "deadline", "first", "tried_hosts")

    def __init__(self, cls: int, deadline: int) -> None:
        self.cls = cls
        self.deadline = deadline
        self.attempt_started_at = 0
        self.tried_hosts: list[HostId] = []
        self.first: tuple[HostId, int] | None = None   # host and start of the first attempt that may have run


class Baseline:
    """A `Decisions` with a policy for choosing hosts; an attempt times out after a third of the time left."""

    def __init__(self, settings: Settings, salt: int, actions: Actions, pick: str, budget: bool = False) -> None:
        self._settings = settings
        self._actions = actions
        self._rng = random.Random(salt)
        self._pick: Callable[[list[HostId]], HostId] = getattr(self, "_" + pick)
        self._budget = budget
        self._retry_tokens = MAX_BUDGET
        self._next_index = self._rng.randrange(1000)
        self._hosts: dict[HostId, HostEntry] = {}
        self._ready: list[HostId] = []
        self._in_flight: dict[HostId, int] = {}
        self._requests: dict[int, _OpenRequest] = {}

    # ---- Choices ----------------------------------------------------------------------------------------

    def _random(self, hosts: list[HostId]) -> HostId:
        return self._rng.choice(hosts)

    def _round_robin(self, hosts: list[HostId]) -> HostId:
        self._next_index += 1
        return hosts[self._next_index % len(hosts)]

    def _least(self, hosts: list[HostId]) -> HostId:
        fewest = min(self._in_flight.get(host, 0) for host in hosts)
        return self._rng.choice([host for host in hosts if self._in_flight.get(host, 0) == fewest])

    def _two(self, hosts: list[HostId]) -> HostId:
        one, other = self._rng.choice(hosts), self._rng.choice(hosts)
        return one if self._in_flight.get(one, 0) <= self._in_flight.get(other, 0) else other

    # ---- Events -----------------------------------------------------------------------------------------

    def on_list(self, now_ns: int, kind: ListKind, entries: Sequence[HostEntry]) -> None:
        if kind is ListKind.FAILED:
            self._actions.wake(1, 1_000_000_000)
            return
        if kind is not ListKind.DELTA:
            self._hosts = {}
        for entry in entries:
            self._hosts[entry.host] = entry
        self._ready = [host for host, entry in self._hosts.items() if entry.state is HostState.READY]
        if kind is ListKind.CACHED and self._settings.ask_discovery:
            self._actions.watch(True)

    def on_timer(self, now_ns: int, token: int) -> None:
        if self._settings.ask_discovery:
            self._actions.watch(True)

    def on_request(self, now_ns: int, rid: int, cls: int, tenant: int, key: int, ttl_ns: int, hint_ns: int,
                   repeat: bool, write: bool = False) -> None:
        self._requests[rid] = _OpenRequest(cls, now_ns + ttl_ns)
        self._retry_tokens = min(MAX_BUDGET, self._retry_tokens + BUDGET_PER_REQUEST)
        self._send(now_ns, rid, self._ready)

    def _send(self, now_ns: int, rid: int, hosts: list[HostId]) -> None:
        request = self._requests[rid]
        candidates = [host for host in hosts if host not in request.tried_hosts] or hosts
        if not candidates:
            del self._requests[rid]
            self._actions.fail(rid) if request.first else self._actions.refuse(rid, 0)
            return
        host = self._pick(candidates)
        request.tried_hosts.append(host)
        self._in_flight[host] = self._in_flight.get(host, 0) + 1
        request.attempt_started_at = now_ns
        timeout = max(1, (request.deadline - now_ns) // 3)
        self._actions.send(rid, host, timeout)

    def on_outcome(self, now_ns: int, rid: int, attempt: int, host: HostId, outcome: Outcome, spent_ns: int,
                   request_ended: bool, load: Sequence[float]) -> None:
        self._in_flight[host] = max(0, self._in_flight.get(host, 0) - 1)
        request = self._requests.get(rid)
        if request is None:
            return
        if request_ended:
            del self._requests[rid]
            return
        if outcome not in NEVER_RAN and request.first is None:
            request.first = (host, request.attempt_started_at)
        retry_hosts = self._retry_hosts(now_ns, request)
        if (len(request.tried_hosts) >= self._settings.limits.max_attempts or now_ns >= request.deadline
                or not retry_hosts):
            self._give_up(rid, request)
            return
        if self._budget:
            if self._retry_tokens < 1:
                self._give_up(rid, request)
                return
            self._retry_tokens -= 1
        self._send(now_ns, rid, retry_hosts)

    def _retry_hosts(self, now_ns: int, request: _OpenRequest) -> list[HostId]:
        """Return the hosts to which the request may still be sent."""
        cls = self._settings.classes[request.cls]
        if request.first is None or cls.effect is Effect.SAFE:
            return self._ready
        if cls.effect is Effect.UNSAFE or now_ns > request.first[1] + cls.window_ns:
            return []
        first = self._hosts.get(request.first[0])
        if first is None:
            return []
        if cls.group is Group.ALL:
            return self._ready
        same = [host for host in self._ready if self._hosts[host].zone == first.zone]
        return [host for host in same if cls.group is Group.ZONE or self._hosts[host].cell == first.cell]

    def _give_up(self, rid: int, request: _OpenRequest) -> None:
        del self._requests[rid]
        cls = self._settings.classes[request.cls]
        if request.first is None or cls.effect is Effect.SAFE:
            self._actions.refuse(rid, 0)
        else:
            self._actions.fail(rid)

    def on_client_disconnected(self, now_ns: int, rid: int) -> None:
        self._requests.pop(rid, None)

    def on_body_streaming(self, now_ns: int, rid: int, attempt: int) -> None:
        pass

    def on_body_complete(self, now_ns: int, rid: int, ttl_ns: int) -> None:
        pass

    def on_response_started(self, now_ns: int, rid: int, attempt: int) -> None:
        pass

    def on_lease(self, now_ns: int, valid: bool) -> None:
        pass

    def on_probe_result(self, now_ns: int, host: HostId, outcome: Outcome, spent_ns: int,
                        load: Sequence[float]) -> None:
        pass

    def on_peer_message(self, now_ns: int, peer: int, content: bytes) -> None:
        pass

    def on_settings(self, now_ns: int, settings: Settings) -> None:
        self._settings = settings

    def members_unavailable(self, now_ns: int) -> int:
        return 0


def _factory(pick: str, budget: bool = False) -> Callable[[Settings, int, Actions], Baseline]:
    return lambda settings, salt, actions: Baseline(settings, salt, actions, pick, budget)


BASELINES = {"random": _factory("random"), "round_robin": _factory("round_robin"), "least": _factory("least"),
             "two": _factory("two"), "two_budget": _factory("two", True)}
