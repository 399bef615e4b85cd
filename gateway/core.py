"""Drives the `Balancer`: the request table, the clock and the actions.  It takes no decision.

Actions are called from inside an event.  They act on sockets at once, and what that causes waits in a queue
until the event is over: the module is never called from within itself.
"""

from __future__ import annotations

import json
import logging
from collections import deque
from collections.abc import Callable, Sequence
from math import isnan
from typing import Any, Protocol

from bridgesaddle import Balancer
from bridgesaddle.api import MS, Actions, Decisions, HostId, ListKind, Outcome, Settings

from .attempt import Attempt, Response
from .body import Body
from .discovery import Discovery
from .events import event
from .peers import PeerSocket
from .stalls import READ_DELAY_TOLERANCE_NS, StallDetector
from .timers import NO_DEADLINE_NS, Timers, now_ns
from .update_parser import ListedHost
from .upstream import Upstream

log = logging.getLogger("gateway.core")

MARGIN = 6 * MS
"""The module is told so much less time than the client has: the answer has a way to go.

An answer is on the wire in less than a millisecond; much more would take half the time of clients that wait
for some tens of milliseconds only.
"""
LAST_CALL = 3 * MS
"""So long before the client's time is up, the gateway answers by itself if the module has not."""
LEAVING = 50 * MS
"""So long after its client has ended its sending a request may still reach a host.

An attempt that begins 0.1 s after its client has gone breaks a rule; server.py may take `UNREAD` to see it.
"""
LEAST_LEFT = 2 * MARGIN
"""A request that has less time left when it is read is turned away unsent."""
MAX_OPEN = 1024
"""Requests held at once; with bodies of 64 KiB at most this bounds their memory."""


DecisionsFactory = Callable[[Settings, int, Actions], Decisions]
PROBE_TIME = 1000 * MS
"""A probe that has no answer by then has timed out; the settings name no time for it."""


class LoadReportParser:
    """Load reports, by the names of the settings' columns or by the plain ones."""

    def __init__(self, columns: Sequence[str], plain: Sequence[str]) -> None:
        self.columns = list(zip(columns, plain, strict=False))

    def read(self, text: bytes) -> tuple[float, ...]:
        """The figures in the order of the columns; none where the report can't be read."""
        if not self.columns or not text:
            return ()
        try:
            report = json.loads(text)
            figures = tuple(float(report[name] if name in report else report[plain])
                            for name, plain in self.columns)
        except (ValueError, KeyError, TypeError, RecursionError):
            return ()
        return () if any(map(isnan, figures)) else figures


class Exchange(Protocol):
    """The client's side of a request: one answer, by one of these calls or by `begin_response` and what follows."""

    def served(self, answer: Response) -> None:
        """Pass on a host's answer."""

    def failed(self) -> None:
        """Answer failed: no promise about the effect."""

    def refused(self, retry_after_ns: int) -> None:
        """Answer refused: trying again is harmless."""

    def client_half_closed(self) -> bool:
        """Whether the client has ended its sending, asked of the kernel."""

    def begin_response(self, attempt: Attempt, answer: Response, length: int | None) -> None:
        """A host's long answer begins; what is committed is no longer taken back."""

    def write_body(self, data: bytes) -> None:
        """Some more of it."""

    def finish(self) -> None:
        """It has come whole."""

    def abort(self) -> None:
        """It will not come whole, and the client must be able to tell."""


class ParsedRequest(Protocol):
    """What the client's side has read of a request."""

    body: Body | None

    id: bytes
    unread_since: int   # its bytes may have come this early; 0: they came when they were read
    cls: int
    tenant: int
    key: int
    ttl_ns: int
    hint_ns: int
    repeat: bool
    write: bool
    payload: tuple[bytes, bytes]


class Request:
    """A request that is held; it stays in the table until its attempts have ended too."""

    __slots__ = ("attempts", "body", "client_half_closed", "deadline", "exchange", "in_flight", "last_call", "most",
                 "name", "payload", "rid", "streamed", "ttl")

    def __init__(self, rid: int, name: bytes, exchange: Exchange, payload: tuple[bytes, bytes], deadline: int,
                 most: int) -> None:
        self.rid = rid
        self.name = name   # the client's id of it, for the log
        self.most = most   # attempts: the limit it came under
        self.exchange: Exchange | None = exchange   # None once the answer is given or the client has gone
        self.payload = payload
        self.deadline = deadline
        self.attempts = 0
        self.in_flight: dict[int, Attempt] = {}
        self.client_half_closed = False   # the client has ended its sending: it may have gone
        self.body: Body | None = None   # a long one
        self.streamed = False           # a long answer has begun
        self.ttl = 0
        self.last_call = 0


Event = tuple[Callable[..., None], Request | None, tuple[Any, ...]]


class _Receiver:
    """Takes the long answer of an attempt to its request: the `Receiver` of upstream.py."""

    __slots__ = ("_core", "_request")

    def __init__(self, core: Core, request: Request) -> None:
        self._core = core
        self._request = request

    def begin_response(self, attempt: Attempt, answer: Response, length: int | None) -> bool:
        """It begins."""
        return self._core.begin(self._request, attempt, answer, length)

    def write_body(self, attempt: Attempt, data: bytes) -> None:
        """Some more of its body."""
        if self._request.exchange is not None:
            self._request.exchange.write_body(data)


class Core:
    """One gateway: the `Actions` of api.py on real sockets.

    Long messages are streamed: the module hears `on_body_streaming` and `on_body_complete` of requests,
    `on_response_started` of answers.
    """

    def __init__(self, settings: Settings, salt: int, timers: Timers, columns: Sequence[str] = (),
                 make: DecisionsFactory = Balancer) -> None:
        self._timers = timers
        self._events: deque[Event] = deque()
        self._lists: deque[Event] = deque()   # handled before anything else
        self._may_send = True   # as the module was last told: the list may be followed
        self._busy = False
        self._now = 0
        self._rid = 0
        self._requests: dict[int, Request] = {}
        self._take(settings, columns)
        self.peers: PeerSocket | None = None
        self.stall_detector: StallDetector | None = None
        self.upstream: Upstream
        self.discovery: Discovery
        self.has_hosts = False
        self._module = make(settings, salt, self)

    def _take(self, settings: Settings, columns: Sequence[str]) -> None:
        self._settings = settings
        self._max_open = min(MAX_OPEN, settings.limits.max_open_requests or MAX_OPEN)
        self.load_parser = LoadReportParser(columns, settings.report_fields)

    def attach(self, upstream: Upstream, discovery: Discovery) -> None:
        """The sockets that the actions act on."""
        self.upstream = upstream
        self.discovery = discovery

    # ---- Events ------------------------------------------------------------------------------------

    def _event(self, call: Callable[..., None], request: Request | None, *fields: Any) -> None:
        """Queue an event and, unless one is being handled, handle all in the order they came."""
        self._events.append((call, request, fields))
        self._handle()

    def _handle(self) -> None:
        """What discovery has written is read before each event, and lists go before all that waits."""
        if self._busy:
            return
        self._busy = True
        try:
            while self._events or self._lists:
                self._now = now_ns()
                if self.stall_detector is not None:
                    self.stall_detector.observe(self._now)
                self._catch_up()
                if not self._lists:
                    self._follow_lease()
                call, request, fields = (self._lists or self._events).popleft()
                try:
                    call(self._now, *fields)
                except Exception:
                    log.exception("the module has failed in %s", getattr(call, "__name__", call))
                    if request is not None:
                        self._give_up(request)
        finally:
            self._busy = False

    def _follow_lease(self) -> None:
        """The module hears whether the list may be followed, ahead of any event on which it might send."""
        may_send = self.discovery.may_send(self._now)
        if may_send is self._may_send:
            return
        self._may_send = may_send
        event(log, "list_lease", valid=may_send, generation=self.discovery.generation)
        try:
            self._module.on_lease(self._now, may_send)
        except Exception:
            log.exception("the module has failed in on_lease")

    def on_lease(self) -> None:
        """The list may be followed again: what waits for that goes out."""
        if not self._may_send:
            self._event(lambda now: None, None)

    def _catch_up(self) -> None:
        try:
            self.discovery.read_pending(self._now)
        except Exception:   # guards against losing the event that waits behind it
            log.exception("discovery could not be read")

    def on_settings(self, settings: Settings, columns: Sequence[str]) -> None:
        """New settings; open requests keep those they came under."""
        self._take(settings, columns)
        self._event(self._module.on_settings, None, settings)

    def on_list(self, kind: ListKind, listed: list[ListedHost]) -> None:
        """Discovery has spoken; the sockets follow the list before anything more is sent."""
        if kind is not ListKind.FAILED:
            self.upstream.apply(kind is not ListKind.DELTA, listed)
            self.has_hosts = self.has_hosts or bool(listed)
        self._lists.append((self._module.on_list, None, (kind, [item.entry for item in listed])))
        self._handle()
        self.on_lease()

    def on_request(self, exchange: Exchange, asked: ParsedRequest) -> Request | None:
        """Take in a client's request; None if there is no room and it has been refused unsent."""
        if len(self._requests) >= self._max_open:
            event(log, "refused", request=asked.id, why="too many are open")
            exchange.refused(0)
            return None
        now = now_ns()
        accepted = now - asked.unread_since - READ_DELAY_TOLERANCE_NS if asked.unread_since else 0
        left = asked.ttl_ns - max(self._waited(now), accepted)
        if left < LEAST_LEFT:
            event(log, "refused", request=asked.id, why="its time ran out while the loop was held up")
            exchange.refused(0)
            return None
        self._rid = rid = (self._rid + 1) & 0xFFFFFFFF
        ttl = max(left - MARGIN, left // 2)
        request = Request(rid, asked.id, exchange, asked.payload, now + ttl, self._settings.limits.max_attempts)
        self._requests[rid] = request
        request.ttl = left
        request.body = asked.body
        if request.body is not None:
            request.body.on_committed = lambda: self._bound(request)
        self._call_last(request, now)
        self._event(self._tell_request, request, request, asked)
        return request

    def _tell_request(self, now: int, request: Request, asked: ParsedRequest) -> None:
        """The module hears what is left at its own `now`: the process may have been stopped since the deadline was
        fixed.
        """
        left = min(request.deadline - now, request.ttl)
        if left > 0:
            self._module.on_request(now, request.rid, asked.cls, asked.tenant, asked.key, left, asked.hint_ns,
                                    asked.repeat, asked.write)
        elif request.exchange is not None:
            event(log, "refused", request=request.name, why="its time ran out before it was decided on")
            exchange, request.exchange = request.exchange, None
            exchange.refused(0)
            self._finish(request)

    def _waited(self, now: int) -> int:
        """How long bytes that are read now may have lain unread: the client's time ran meanwhile."""
        return self.stall_detector.read_delay_ns(now) if self.stall_detector is not None else 0

    def _call_last(self, request: Request, now: int) -> None:
        request.last_call = now + max(request.ttl - LAST_CALL, request.ttl * 3 // 4)
        self._timers.at(request.last_call, self._last_call, request)

    def _bound(self, request: Request) -> None:
        """Part of a long body is held no longer: no second attempt, and no deadline while it is sent."""
        request.deadline = request.last_call = NO_DEADLINE_NS
        for attempt in request.in_flight.values():
            attempt.expires_at = NO_DEADLINE_NS
            self._event(self._module.on_body_streaming, request, request.rid, attempt.number)

    def on_body_complete(self, request: Request) -> None:
        """The last byte of a long body has come: the client's time begins."""
        if request.exchange is None or request.streamed:
            return
        now = now_ns()
        request.ttl = max(LEAST_LEFT, request.ttl - self._waited(now))
        ttl = max(request.ttl - MARGIN, request.ttl // 2)
        request.deadline = now + ttl
        self._call_last(request, now)
        for attempt in request.in_flight.values():
            attempt.expires_at = request.deadline
            self._timers.at(attempt.expires_at, self._expire, attempt)
        self._event(self._tell_whole, request, request)

    def _tell_whole(self, now: int, request: Request) -> None:
        """As `_tell_request`."""
        self._module.on_body_complete(now, request.rid, max(1, min(request.deadline - now, request.ttl)))

    def begin(self, request: Request, attempt: Attempt, answer: Response, length: int | None) -> bool:
        """A long answer begins: it is the one, whatever else is out; nothing of it is cut any more."""
        if request.exchange is None or request.streamed:
            self.upstream.cancel(attempt)
            return False
        request.streamed = True
        request.deadline = request.last_call = attempt.expires_at = NO_DEADLINE_NS
        for other in [other for other in request.in_flight.values() if other is not attempt]:
            self.upstream.cancel(other)
        request.exchange.begin_response(attempt, answer, length)
        self._event(self._module.on_response_started, request, request.rid, attempt.number)
        return not attempt.done

    def members_unavailable(self) -> int:
        """Listed hosts that the module avoids now."""
        return self._module.members_unavailable(now_ns())

    def on_gone(self, request: Request) -> None:
        """The client has gone: its attempts are cancelled and nothing more is sent."""
        if request.exchange is not None:
            request.exchange = None
            self._event(self._module.on_client_disconnected, request, request.rid)
            self._finish(request)

    def on_half_closed(self, request: Request) -> None:
        """The client has ended its sending.

        It may have gone or may wait for its answer, which looks the same from here.  So it gets the answer of
        what is out, and nothing new is sent for it.
        """
        request.client_half_closed = True
        if not request.in_flight and not request.streamed:
            self._give_up(request)
        elif self._suspect():   # it may have left long ago
            self._unreached(request)
        elif not all(attempt.connected() for attempt in request.in_flight.values()):
            self._timers.after(LEAVING, self._unreached, request)

    def accepted(self) -> int:
        """From when on a connection that is accepted now may have waited; 0: it has not."""
        return self.stall_detector.accept_delayed_since(now_ns()) if self.stall_detector is not None else 0

    def _suspect(self) -> bool:
        """Whether what the loop reads now may have waited."""
        return self.stall_detector is not None and self.stall_detector.may_be_delayed(now_ns())

    def _may_have_left(self, request: Request) -> bool:
        """Whether its client may have left long ago: after a hold-up its end may still lie unread."""
        if request.exchange is None:
            return True
        if self._suspect() and request.exchange.client_half_closed():
            request.client_half_closed = True
            return True
        return False

    def _unreached(self, request: Request) -> None:
        """Guards against connections that come up late for a client that has gone by then."""
        for attempt in list(request.in_flight.values()):
            if not attempt.connected():
                self.upstream.cancel(attempt)

    def open_requests(self) -> list[Request]:
        """Requests in the table: those owed an answer, and those with attempts still out."""
        return list(self._requests.values())

    def max_time_left(self, now: int) -> int:
        """The longest time that a request which is held has left."""
        return max((request.last_call - now for request in self._requests.values()
                    if request.exchange is not None and request.last_call < NO_DEADLINE_NS), default=0)

    def fail_all(self) -> None:
        """The program must end now: what is still held is answered rather than lost."""
        for request in self.open_requests():
            self._give_up(request)

    def _last_call(self, request: Request) -> None:
        """Guards against a module that is late: the client's time is nearly up."""
        if request.exchange is not None and now_ns() >= request.last_call:
            log.error("request %s has had no answer in its time", request.name.decode("ascii", "backslashreplace"))
            self._give_up(request)

    def _give_up(self, request: Request) -> None:
        """Answer failed in the module's place, which can't vouch for a refusal, and have it forget."""
        exchange, request.exchange = request.exchange, None
        if exchange is not None:
            event(log, "failed", request=request.name, why="its time is up, its client ends or the program does")
            exchange.abort() if request.streamed else exchange.failed()
            self._event(self._module.on_client_disconnected, None, request.rid)
        self._finish(request)

    def _finish(self, request: Request) -> None:
        """After the answer nothing more goes out: what is still out is cancelled."""
        if request.body is not None:
            request.body.drop()
        for attempt in list(request.in_flight.values()):
            self.upstream.cancel(attempt)
        self._forget(request)

    def _forget(self, request: Request) -> None:
        if request.exchange is None and not request.in_flight:
            self._event(self._drop, None, request)   # after this event, which may still name it

    def _drop(self, _now: int, request: Request) -> None:
        if not request.in_flight:
            self._requests.pop(request.rid, None)
            request.payload = (b"", b"")   # timers refer to it until they ring: bodies must not pile up

    def _ended(self, request: Request, attempt: Attempt, outcome: Outcome, answer: Response | None) -> None:
        """An attempt has ended.  The first that is served answers its client on its own."""
        request.in_flight.pop(attempt.number, None)
        if request.exchange is not None:
            if request.streamed:
                if attempt.begun:
                    exchange, request.exchange = request.exchange, None
                    exchange.finish() if outcome is Outcome.OK else exchange.abort()
            elif answer is not None:
                exchange, request.exchange = request.exchange, None
                exchange.served(answer)
            elif request.client_half_closed and not request.in_flight:
                exchange, request.exchange = request.exchange, None
                exchange.failed()
        settled = request.exchange is None
        load = self.load_parser.read(attempt.load) if attempt.load else ()
        spent = max(1, (attempt.begun or now_ns()) - attempt.started - (self._held_ns() - attempt.held_before))
        if outcome is not Outcome.OK:
            event(log, "attempt_ended", request=request.name, attempt=attempt.number, host=attempt.host,
                  outcome=outcome.name, spent_ns=spent)
        self._event(self._module.on_outcome, request, request.rid, attempt.number, attempt.host, outcome,
                    spent, settled, load)
        if settled:
            self._finish(request)

    def _held_ns(self) -> int:
        """How long the loop has stood still in all: that time is not held against hosts."""
        return self.stall_detector.total_ns if self.stall_detector is not None else 0

    # ---- Actions -----------------------------------------------------------------------------------

    def send(self, rid: int, host: HostId, timeout_ns: int, write_within_ns: int = 0) -> None:
        """Start an attempt."""
        request = self._requests.get(rid)
        if request is None:
            log.error("a send for request %d, which is not held", rid)
            return
        number = request.attempts
        request.attempts += 1
        due = min(self._now + timeout_ns, request.deadline) if timeout_ns else request.deadline
        attempt = Attempt(host, number, request.payload, self._now, due,
                          lambda attempt, outcome, answer: self._ended(request, attempt, outcome, answer),
                          receiver=_Receiver(self, request), body=request.body,
                          begin_by=self._now + write_within_ns if write_within_ns else NO_DEADLINE_NS,
                          unwanted=lambda: self._may_have_left(request))
        attempt.held_before = self._held_ns()
        request.in_flight[number] = attempt
        if number:
            event(log, "retry", request=request.name, attempt=number, host=host, timeout_ns=due - self._now)
        if self._may_have_left(request) or request.client_half_closed or number >= request.most \
                or (request.body is not None and request.body.committed):
            attempt.end(Outcome.MOOT)   # never after the answer, nor for a client that may have gone
            return
        if not self._may_send:
            attempt.end(Outcome.MOOT)   # the module has been told; nothing goes out by a list that is too old
            return
        self._timers.at(due, self._expire, attempt)
        self.upstream.start(attempt)

    def _expire(self, attempt: Attempt) -> None:
        if not attempt.done and now_ns() >= attempt.expires_at:   # it may have been put off meanwhile
            self.upstream.expire(attempt)

    def fail(self, rid: int) -> None:
        """Final answer: failed."""
        request = self._requests.get(rid)
        if request is not None and request.exchange is not None and not request.streamed:
            event(log, "failed", request=request.name, attempts=request.attempts, why="decided")
            exchange, request.exchange = request.exchange, None
            exchange.failed()
            self._finish(request)

    def refuse(self, rid: int, retry_after_ns: int) -> None:
        """Final answer: refused, with advice where the module gives one."""
        request = self._requests.get(rid)
        if request is not None and request.exchange is not None and not request.streamed:
            event(log, "refused", request=request.name, attempts=request.attempts, why="decided")
            exchange, request.exchange = request.exchange, None
            exchange.refused(retry_after_ns)
            self._finish(request)

    def cancel(self, rid: int, attempt: int) -> None:
        """Stop waiting for an attempt."""
        request = self._requests.get(rid)
        out = request.in_flight.get(attempt) if request is not None else None
        if out is not None and not out.begun:
            self.upstream.cancel(out)

    def wake(self, token: int, after_ns: int) -> None:
        """A timer of the module."""
        self._timers.at(self._now + after_ns, self._rung, token)

    def _rung(self, token: int) -> None:
        self._event(self._module.on_timer, None, token)

    def watch(self, active: bool) -> None:
        """Subscribe to discovery, or no longer."""
        self.discovery.watch(active)

    def fetch(self) -> None:
        """Ask for the whole list."""
        self.discovery.fetch()

    def probe(self, host: HostId) -> None:
        """Check a host, where the settings allow it."""
        if not self._settings.limits.probes:
            log.error("a probe that is not allowed")
            return
        path = b"/stats" if self.load_parser.columns else b"/health/live"
        attempt = Attempt(host, 0, (b"GET %b HTTP/1.1\r\nHost: host\r\n" % path, b""), self._now,
                          self._now + PROBE_TIME, self._probed, probe=True)
        self._timers.at(attempt.expires_at, self._expire, attempt)
        self.upstream.start(attempt)

    def _probed(self, attempt: Attempt, outcome: Outcome, answer: Response | None) -> None:
        load = self.load_parser.read(answer.body) if outcome is Outcome.OK and answer is not None else ()
        self._event(self._module.on_probe_result, None, attempt.host, outcome, max(1, now_ns() - attempt.started),
                    load)

    def close(self, host: HostId) -> None:
        """Close the idle connections to a host."""
        self.upstream.close_idle(host)

    def send_peer_message(self, peer: int | None, content: bytes) -> None:
        """A datagram to one peer or to all, where the settings allow it."""
        if not self._settings.limits.peers or self.peers is None:
            log.error("a message that is not allowed")
        else:
            self.peers.send(peer, content)

    def on_peer(self, peer: int, content: bytes) -> None:
        """A peer has sent a message."""
        self._event(self._module.on_peer_message, None, peer, content)

    def log(self, text: str) -> None:
        """The module's word for whoever is on call."""
        log.info("module: %s", text)


__all__ = ["Core", "DecisionsFactory", "Exchange", "ParsedRequest", "Request"]
