"""A gateway in virtual time: the decision module with the request table of `gateway/core.py`, without sockets.

The gateway makes no decisions.  Actions take effect at once; their consequences are events of the fleet's loop.
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

from .loop import DeadlineQueue

if TYPE_CHECKING:
    from .fleet import Fleet

DecisionsFactory = Callable[[Settings, int, Actions], Decisions]
RESPONSE_MARGIN_NS = 6 * MS
"""The part of a client's timeout that gateway/core.py reserves for the response."""
FINAL_RESPONSE_MARGIN_NS = 3 * MS
DISCOVERY_SILENCE_TIMEOUT_NS = 4_000_000_000
PROBE_TIMEOUT_NS = 1_000_000_000


class Request:
    """An open request."""

    __slots__ = ("attempts", "cls", "deadline", "done", "in_flight", "rid", "work")

    def __init__(self, rid: int, cls: int, work: float, deadline: int) -> None:
        self.rid = rid
        self.cls = cls
        self.work = work
        self.deadline = deadline
        self.attempts = 0
        self.in_flight: dict[int, Attempt] = {}
        self.done = False   # a response was sent, or the client has disconnected


class Attempt:
    """An attempt or, without a request, a probe."""

    __slots__ = ("done", "ended_at", "expires_at", "host", "key", "new_connection", "number", "request", "started_at")

    def __init__(self, request: Request | None, number: int, host: str, started_at: int, expires_at: int) -> None:
        self.request = request
        self.number = number
        self.host = host
        self.started_at = started_at
        self.expires_at = expires_at
        self.done = False
        self.ended_at = -1           # time at which the attempt ended; -1 while it is in flight
        self.key = 0                 # the host's number for the attempt, once it has arrived there; 0: not yet
        self.new_connection = False  # the attempt opened a new connection


class Gateway:
    """A gateway process: it receives nothing once it has ended, and if suspended, everything when it resumes."""

    def __init__(self, fleet: Fleet, name: str, zone: int, settings: Settings, salt: int,
                 make_decisions: DecisionsFactory) -> None:
        self._fleet = fleet
        self._loop = fleet.loop
        self.name = name
        self.zone = zone
        self._settings = settings
        self._max_attempts = settings.limits.max_attempts
        self.alive = True
        self.draining = False
        self.suspended_until = 0
        self._requests: dict[int, Request] = {}
        self._events: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self._busy = False
        self.watching = False
        self.generation = 0
        self.idle: dict[str, list[int]] = {}
        """Idle connections by host: the time since which each has been idle."""
        self._deadlines = [DeadlineQueue(self._loop, self._on_deadline) for _ in settings.classes]
        self._module = make_decisions(settings, salt, self)

    # ---- Events from the fleet ----------------------------------------------------------------------

    def invoke(self, call: Callable[..., None], *fields: Any) -> None:
        """Run a call in the process: now, after a suspended process resumes, or never."""
        if not self.alive:
            return
        if self.suspended_until > self._loop.now:
            self._loop.call_at(self.suspended_until, self.invoke, call, *fields)
            return
        call(*fields)

    def _queue_event(self, call: Callable[..., None], *fields: Any) -> None:
        """Queue an event, so that the decision module is never called from within one of its own calls."""
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

    def on_request_arrived(self, rid: int, cls: int, work: float, ttl: int, is_retry: bool) -> None:
        """A client's request has arrived."""
        now = self._loop.now
        time_left_ns = max(ttl - RESPONSE_MARGIN_NS, ttl // 2)
        request = Request(rid, cls, work, now + time_left_ns)
        self._requests[rid] = request
        self._deadlines[cls].add(now + max(ttl - FINAL_RESPONSE_MARGIN_NS, ttl * 3 // 4), request)
        self._queue_event(self._module.on_request, rid, cls, 0, 0, time_left_ns, 0, is_retry)

    def on_client_left(self, rid: int) -> None:
        """The client has disconnected."""
        request = self._requests.get(rid)
        if request is not None and not request.done:
            request.done = True
            self._queue_event(self._module.on_client_disconnected, rid)
            self._finish(request)

    def on_list_received(self, kind: ListKind, entries: list[HostEntry], generation: int) -> None:
        """Discovery has sent a list or an update, or a call to it has failed."""
        if kind is not ListKind.FAILED:
            self.generation = generation
        else:
            self.watching = False
        self._queue_event(self._module.on_list, kind, entries)

    def on_attempt_ended(self, attempt: Attempt, outcome: Outcome, load: Sequence[float] = (),
                         keep_connection: bool = False) -> None:
        """An attempt has ended.  The first successful one sends the response without asking the decision module."""
        if attempt.done:
            return
        attempt.done = True
        now = attempt.ended_at = self._loop.now
        if keep_connection:
            self.idle.setdefault(attempt.host, []).append(now)
        else:
            self._fleet.on_disconnected(attempt.host)
        elapsed_ns = max(1, now - attempt.started_at)
        request = attempt.request
        if request is None:
            self._queue_event(self._module.on_probe_result, attempt.host, outcome, elapsed_ns, load)
            return
        request.in_flight.pop(attempt.number, None)
        if outcome is Outcome.OK and not request.done:
            request.done = True
            self._fleet.send_response(self, request.rid, "served", attempt.key, 0)
        request_ended = request.done
        self._queue_event(self._module.on_outcome, request.rid, attempt.number, attempt.host, outcome,
                          elapsed_ns, request_ended, load)
        if request_ended:
            self._finish(request)

    def _expire(self, attempt: Attempt) -> None:
        if not attempt.done:
            self._fleet.cancel_attempt(self, attempt)
            self.on_attempt_ended(attempt, Outcome.TIMEOUT)

    def _on_deadline(self, request: Request) -> None:
        self.invoke(self._fail_at_deadline, request)

    def _fail_at_deadline(self, request: Request) -> None:
        if not request.done:
            self._respond(request, "failed", 0)
            self._queue_event(self._module.on_client_disconnected, request.rid)
            self._finish(request)

    def _finish(self, request: Request) -> None:
        for attempt in list(request.in_flight.values()):
            self._fleet.cancel_attempt(self, attempt)
            self.on_attempt_ended(attempt, Outcome.CANCELLED)
        if not request.in_flight:
            self._requests.pop(request.rid, None)

    def _respond(self, request: Request, result: str, retry_after_ns: int) -> None:
        request.done = True
        self._fleet.send_response(self, request.rid, result, 0, retry_after_ns)

    def kill(self) -> list[int]:
        """End the process at once; returns the requests whose client connections break."""
        self.alive = False
        broken_requests = []
        for request in list(self._requests.values()):
            if not request.done:
                broken_requests.append(request.rid)
            for attempt in request.in_flight.values():
                attempt.done, attempt.ended_at = True, self._loop.now
                self._fleet.cancel_attempt(self, attempt)
                self._fleet.on_disconnected(attempt.host)
        self._requests.clear()
        for host, idle in self.idle.items():
            for _ in idle:
                self._fleet.on_disconnected(host)
        self.idle.clear()
        return broken_requests

    @property
    def open_requests(self) -> int:
        """The number of requests in the request table."""
        return len(self._requests)

    # ---- Actions of api.py --------------------------------------------------------------------------

    def send(self, rid: int, host: HostId, timeout_ns: int, write_within_ns: int = 0) -> None:
        request = self._requests.get(rid)
        if request is None:
            return
        number = request.attempts
        request.attempts += 1
        now = self._loop.now
        expires_at = min(now + timeout_ns, request.deadline) if timeout_ns else request.deadline
        attempt = Attempt(request, number, str(host), now, expires_at)
        if request.done or number >= self._max_attempts:
            self._queue_event(self._module.on_outcome, rid, number, host, Outcome.MOOT, 1, request.done, ())
            return
        request.in_flight[number] = attempt
        self._loop.call_at(expires_at, self.invoke, self._expire, attempt)
        self._fleet.dispatch(self, attempt)

    def fail(self, rid: int) -> None:
        request = self._requests.get(rid)
        if request is not None and not request.done:
            self._respond(request, "failed", 0)
            self._finish(request)

    def refuse(self, rid: int, retry_after_ns: int) -> None:
        request = self._requests.get(rid)
        if request is not None and not request.done:
            self._respond(request, "refused", retry_after_ns)
            self._finish(request)

    def cancel(self, rid: int, attempt: int) -> None:
        request = self._requests.get(rid)
        found = request.in_flight.get(attempt) if request is not None else None
        if found is not None:
            self._fleet.cancel_attempt(self, found)
            self.on_attempt_ended(found, Outcome.CANCELLED)

    def wake(self, token: int, after_ns: int) -> None:
        self._loop.call_at(self._loop.now + after_ns, self.invoke, self._on_timer, token)

    def cancel_wake(self, token: int) -> None:
        """See `Actions`: the call is made and ignored."""

    def _on_timer(self, token: int) -> None:
        self._queue_event(self._module.on_timer, token)

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
        attempt = Attempt(None, 0, str(host), now, now + PROBE_TIMEOUT_NS)
        self._loop.call_at(attempt.expires_at, self.invoke, self._expire, attempt)
        self._fleet.dispatch(self, attempt)

    def close(self, host: HostId) -> None:
        for _ in self.idle.pop(str(host), []):
            self._fleet.on_disconnected(str(host))

    def send_peer_message(self, peer: int | None, content: bytes) -> None:
        self._fleet.send_peer_message(self, peer, content)

    def on_peer(self, peer: int, content: bytes) -> None:
        """A peer gateway has sent a message."""
        self._queue_event(self._module.on_peer_message, peer, content)

    def log(self, text: str) -> None:
        pass
