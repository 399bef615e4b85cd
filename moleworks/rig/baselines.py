"""Plain policies to compare the decision module with; they keep the rules on repeats and nothing else.

random, round_robin, least (least in flight), two (two random choices, fewer in flight wins, plain retries) and
two_budget (the same, retries at most a tenth of the requests).
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

BUDGET = 0.1
"""Retries for each request, with a budget."""
SAVED = 20.0
"""Retries that a budget saves up at most."""


class _Held:
    __slots__ = ("begun", "cls", "deadline", "first", "tried")

    def __init__(self, cls: int, deadline: int) -> None:
        self.cls = cls
        self.deadline = deadline
        self.begun = 0
        self.tried: list[HostId] = []
        self.first: tuple[HostId, int] | None = None   # the first attempt that may have run


class Baseline:
    """A `Decisions` with a choice of host and plain retries at a third of the time."""

    def __init__(self, settings: Settings, salt: int, actions: Actions, pick: str, budget: bool = False) -> None:
        self._settings = settings
        self._actions = actions
        self._rng = random.Random(salt)
        self._pick: Callable[[list[HostId]], HostId] = getattr(self, "_" + pick)
        self._budget = budget
        self._tokens = SAVED
        self._turn = self._rng.randrange(1000)
        self._hosts: dict[HostId, HostEntry] = {}
        self._ready: list[HostId] = []
        self._out: dict[HostId, int] = {}
        self._held: dict[int, _Held] = {}

    # ---- Choices ----------------------------------------------------------------------------------------

    def _random(self, hosts: list[HostId]) -> HostId:
        return self._rng.choice(hosts)

    def _round_robin(self, hosts: list[HostId]) -> HostId:
        self._turn += 1
        return hosts[self._turn % len(hosts)]

    def _least(self, hosts: list[HostId]) -> HostId:
        fewest = min(self._out.get(host, 0) for host in hosts)
        return self._rng.choice([host for host in hosts if self._out.get(host, 0) == fewest])

    def _two(self, hosts: list[HostId]) -> HostId:
        one, other = self._rng.choice(hosts), self._rng.choice(hosts)
        return one if self._out.get(one, 0) <= self._out.get(other, 0) else other

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
        self._held[rid] = _Held(cls, now_ns + ttl_ns)
        self._tokens = min(SAVED, self._tokens + BUDGET)
        self._send(now_ns, rid, self._ready)

    def _send(self, now_ns: int, rid: int, hosts: list[HostId]) -> None:
        held = self._held[rid]
        fresh = [host for host in hosts if host not in held.tried] or hosts
        if not fresh:
            del self._held[rid]
            self._actions.fail(rid) if held.first else self._actions.refuse(rid, 0)
            return
        host = self._pick(fresh)
        held.tried.append(host)
        self._out[host] = self._out.get(host, 0) + 1
        held.begun = now_ns
        timeout = max(1, (held.deadline - now_ns) // 3)
        self._actions.send(rid, host, timeout)

    def on_outcome(self, now_ns: int, rid: int, attempt: int, host: HostId, outcome: Outcome, spent_ns: int,
                   request_ended: bool, load: Sequence[float]) -> None:
        self._out[host] = max(0, self._out.get(host, 0) - 1)
        held = self._held.get(rid)
        if held is None:
            return
        if request_ended:
            del self._held[rid]
            return
        if outcome not in NEVER_RAN and held.first is None:
            held.first = (host, held.begun)
        where = self._again(now_ns, held)
        if len(held.tried) >= self._settings.limits.max_attempts or now_ns >= held.deadline or not where:
            self._give_up(rid, held)
            return
        if self._budget:
            if self._tokens < 1:
                self._give_up(rid, held)
                return
            self._tokens -= 1
        self._send(now_ns, rid, where)

    def _again(self, now_ns: int, held: _Held) -> list[HostId]:
        """Where the request may still go."""
        cls = self._settings.classes[held.cls]
        if held.first is None or cls.effect is Effect.SAFE:
            return self._ready
        if cls.effect is Effect.UNSAFE or now_ns > held.first[1] + cls.window_ns:
            return []
        first = self._hosts.get(held.first[0])
        if first is None:
            return []
        if cls.group is Group.ALL:
            return self._ready
        same = [host for host in self._ready if self._hosts[host].zone == first.zone]
        return [host for host in same if cls.group is Group.ZONE or self._hosts[host].cell == first.cell]

    def _give_up(self, rid: int, held: _Held) -> None:
        del self._held[rid]
        cls = self._settings.classes[held.cls]
        if held.first is None or cls.effect is Effect.SAFE:
            self._actions.refuse(rid, 0)
        else:
            self._actions.fail(rid)

    def on_client_disconnected(self, now_ns: int, rid: int) -> None:
        self._held.pop(rid, None)

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


def _maker(pick: str, budget: bool = False) -> Callable[[Settings, int, Actions], Baseline]:
    return lambda settings, salt, actions: Baseline(settings, salt, actions, pick, budget)


BASELINES = {"random": _maker("random"), "round_robin": _maker("round_robin"), "least": _maker("least"),
             "two": _maker("two"), "two_budget": _maker("two", True)}
