"""A gateway in virtual time: the decision module with the request table of `gateway/core.py`, without sockets.

It takes no decision.  Actions act at once; what they cause comes later through the fleet's loop.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

from bridgesaddle.api import (
    MS,
    Actions,
    Decisions,
    HostEntry,
    HostId,
    ListKind,
    Outcome,
    Settings,
)

from .loop import Lane

if TYPE_CHECKING:
    from .fleet import Fleet

Maker = Callable[[Settings, int, Actions], Decisions]
MARGIN = 6 * MS
"""What core.py keeps back of a client's time."""
LAST_CALL = 3 * MS
SILENT_NS = 4_000_000_000
PROBE_NS = 1_000_000_000


class Request:
    """A request that is held."""

    __slots__ = ("attempts", "cls", "deadline", "out", "over", "rid", "work")

    def __init__(self, rid: int, cls: int, work: float, deadline: int) -> None:
        self.rid = rid
        self.cls = cls
        self.work = work
        self.deadline = deadline
        self.attempts = 0
        self.out: dict[int, Attempt] = {}
        self.over = False   # answered, or its client has gone


class Attempt:
    """An attempt or, without a request, a probe."""

    __slots__ = ("due", "ended", "fresh", "host", "key", "number", "over", "request", "started")

    def __init__(self, request: Request | None, number: int, host: str, started: int, due: int) -> None:
        self.request = request
        self.number = number
        self.host = host
        self.started = started
        self.due = due
        self.over = False
        self.ended = -1       # when it was over
        self.key = 0          # the host's token for it, once it has come there
        self.fresh = False    # it opened a connection


class Gateway:
    """One process: dead it hears nothing, stopped it hears all of it later."""

    def __init__(self, fleet: Fleet, name: str, zone: int, settings: Settings, salt: int, make: Maker) -> None:
        self._fleet = fleet
        self._loop = fleet.loop
        self.name = name
        self.zone = zone
        self._settings = settings
        self._most = settings.limits.max_attempts
        self.alive = True
        self.draining = False
        self.stopped_until = 0
        self._requests: dict[int, Request] = {}
        self._events: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self._busy = False
        self.watching = False
        self.generation = 0
        self.idle: dict[str, list[int]] = {}
        """Idle connections by host: since when each has been."""
        self._lanes = [Lane(self._loop, self._late) for _ in settings.classes]
        self._module = make(settings, salt, self)

    # ---- What the fleet tells -----------------------------------------------------------------------

    def hear(self, call: Callable[..., None], *fields: Any) -> None:
        """Something reaches the process: now, once it goes on, or never."""
        if not self.alive:
            return
        if self.stopped_until > self._loop.now:
            self._loop.at(self.stopped_until, self.hear, call, *fields)
            return
        call(*fields)

    def _event(self, call: Callable[..., None], *fields: Any) -> None:
        """The module is never called from within itself."""
        self._events.append((call, fields))
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                call, fields = self._events.popleft()
                call(self._loop.now, *fields)
        finally:
            self._busy = False

    def take(self, rid: int, cls: int, work: float, ttl: int, repeat: bool) -> None:
        """A client's request has come."""
        now = self._loop.now
        told = max(ttl - MARGIN, ttl // 2)
        request = Request(rid, cls, work, now + told)
        self._requests[rid] = request
        self._lanes[cls].add(now + max(ttl - LAST_CALL, ttl * 3 // 4), request)
        self._event(self._module.on_request, rid, cls, 0, 0, told, 0, repeat)

    def gone(self, rid: int) -> None:
        """The client has left."""
        request = self._requests.get(rid)
        if request is not None and not request.over:
            request.over = True
            self._event(self._module.on_client_disconnected, rid)
            self._finish(request)

    def listed(self, kind: ListKind, entries: list[HostEntry], generation: int) -> None:
        """Discovery has spoken."""
        if kind is not ListKind.FAILED:
            self.generation = generation
        else:
            self.watching = False
        self._event(self._module.on_list, kind, entries)

    def ended(self, attempt: Attempt, outcome: Outcome, load: Sequence[float] = (), keep: bool = False) -> None:
        """An attempt has ended.  The first that is served answers its client on its own."""
        if attempt.over:
            return
        attempt.over = True
        now = attempt.ended = self._loop.now
        if keep:
            self.idle.setdefault(attempt.host, []).append(now)
        else:
            self._fleet.disconnected(attempt.host)
        spent = max(1, now - attempt.started)
        request = attempt.request
        if request is None:
            self._event(self._module.on_probe_result, attempt.host, outcome, spent, load)
            return
        request.out.pop(attempt.number, None)
        if outcome is Outcome.OK and not request.over:
            request.over = True
            self._fleet.answer(self, request.rid, "served", attempt.key, 0)
        settled = request.over
        self._event(self._module.on_outcome, request.rid, attempt.number, attempt.host, outcome, spent, settled,
                    load)
        if settled:
            self._finish(request)

    def _expire(self, attempt: Attempt) -> None:
        if not attempt.over:
            self._fleet.left(self, attempt)
            self.ended(attempt, Outcome.TIMEOUT)

    def _late(self, request: Request) -> None:
        self.hear(self._last_call, request)

    def _last_call(self, request: Request) -> None:
        if not request.over:
            self._answer(request, "failed", 0)
            self._event(self._module.on_client_disconnected, request.rid)
            self._finish(request)

    def _finish(self, request: Request) -> None:
        for attempt in list(request.out.values()):
            self._fleet.left(self, attempt)
            self.ended(attempt, Outcome.CANCELLED)
        if not request.out:
            self._requests.pop(request.rid, None)

    def _answer(self, request: Request, how: str, retry_after_ns: int) -> None:
        request.over = True
        self._fleet.answer(self, request.rid, how, 0, retry_after_ns)

    def die(self) -> list[int]:
        """The process ends at once; returns the clients whose connections break."""
        self.alive = False
        broken = []
        for request in list(self._requests.values()):
            if not request.over:
                broken.append(request.rid)
            for attempt in request.out.values():
                attempt.over, attempt.ended = True, self._loop.now
                self._fleet.left(self, attempt)
                self._fleet.disconnected(attempt.host)
        self._requests.clear()
        for host, idle in self.idle.items():
            for _ in idle:
                self._fleet.disconnected(host)
        self.idle.clear()
        return broken

    @property
    def held(self) -> int:
        """Requests in the table."""
        return len(self._requests)

    # ---- Actions of api.py --------------------------------------------------------------------------

    def send(self, rid: int, host: HostId, timeout_ns: int, write_within_ns: int = 0) -> None:
        request = self._requests.get(rid)
        if request is None:
            return
        number = request.attempts
        request.attempts += 1
        now = self._loop.now
        due = min(now + timeout_ns, request.deadline) if timeout_ns else request.deadline
        attempt = Attempt(request, number, str(host), now, due)
        if request.over or number >= self._most:
            self._event(self._module.on_outcome, rid, number, host, Outcome.MOOT, 1, request.over, ())
            return
        request.out[number] = attempt
        self._loop.at(due, self.hear, self._expire, attempt)
        self._fleet.dispatch(self, attempt)

    def fail(self, rid: int) -> None:
        request = self._requests.get(rid)
        if request is not None and not request.over:
            self._answer(request, "failed", 0)
            self._finish(request)

    def refuse(self, rid: int, retry_after_ns: int) -> None:
        request = self._requests.get(rid)
        if request is not None and not request.over:
            self._answer(request, "refused", retry_after_ns)
            self._finish(request)

    def cancel(self, rid: int, attempt: int) -> None:
        request = self._requests.get(rid)
        found = request.out.get(attempt) if request is not None else None
        if found is not None:
            self._fleet.left(self, found)
            self.ended(found, Outcome.CANCELLED)

    def wake(self, token: int, after_ns: int) -> None:
        self._loop.at(self._loop.now + after_ns, self.hear, self._ring, token)

    def _ring(self, token: int) -> None:
        self._event(self._module.on_timer, token)

    def watch(self, active: bool) -> None:
        if active and not self.watching:
            self.watching = True
            self._fleet.discovery.call(self, True)
        elif not active:
            self.watching = False
            self._fleet.discovery.unwatch(self)

    def fetch(self) -> None:
        self._fleet.discovery.call(self, False)

    def probe(self, host: HostId) -> None:
        now = self._loop.now
        attempt = Attempt(None, 0, str(host), now, now + PROBE_NS)
        self._loop.at(attempt.due, self.hear, self._expire, attempt)
        self._fleet.dispatch(self, attempt)

    def close(self, host: HostId) -> None:
        for _ in self.idle.pop(str(host), []):
            self._fleet.disconnected(str(host))

    def send_peer_message(self, peer: int | None, content: bytes) -> None:
        self._fleet.tell(self, peer, content)

    def on_peer(self, peer: int, content: bytes) -> None:
        """A peer has sent a message."""
        self._event(self._module.on_peer_message, peer, content)

    def log(self, text: str) -> None:
        pass
