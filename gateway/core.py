"""Drives the decision module: request table, clock and actions.

The decision module (`Balancer`) decides on attempts and responses.  The core by itself only enforces limits.  It
refuses requests above `MAX_OPEN_REQUESTS` or the configured maximum, with less than `MIN_TIME_LEFT_NS` left, or whose
time is up before the module handles them.  It ends attempts that must not be sent, and cancels those that are still
connecting once the client has half-closed.  It fails requests at their fallback time, when the client has half-closed
and no attempt is in flight, after an exception of the module and at shutdown.  It passes a successful response on at
once and cancels the request's other attempts.

The module calls actions while it handles an event.  Actions operate on sockets immediately; events that result from
them are queued until the current event has been handled, so that the module is never re-entered.
"""

from __future__ import annotations

import json
import logging
import sys
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
from .memory import REQUEST_BYTES, SMALL_BYTES, Account, MemoryBudget, MemoryKind
from .peers import PeerSocket
from .stalls import READ_DELAY_TOLERANCE_NS, StallDetector
from .timers import NO_DEADLINE_NS, Timer, Timers, now_ns
from .update_parser import ListedHost
from .upstream import Upstream

log = logging.getLogger("gateway.core")

RESPONSE_MARGIN_NS = 6 * MS
"""Time reserved for sending the response: subtracted from the client's timeout before the module sees it.

A response is written in less than a millisecond; a much larger margin would take half the timeout of clients that
wait only some tens of milliseconds.
"""
FALLBACK_MARGIN_NS = 3 * MS
"""The gateway sends an error response this long before the client's timeout if the module has not decided."""
HALF_CLOSED_GRACE_NS = 50 * MS
"""Time after the client has shut down its sending side within which an attempt's last byte may still reach its host.

No attempt may begin later than 0.1 s after its client has left; server.py may take `UNREAD_POLL_INTERVAL_NS` to notice
that.
"""
MIN_TIME_LEFT_NS = 2 * RESPONSE_MARGIN_NS
"""A request with less time left when it is read is refused without an attempt."""
MAX_OPEN_REQUESTS = 1024
"""Maximum number of open requests; with at most 64 KiB of buffered body each, this bounds their memory."""


CROWDED_SHARE = 0.75
"""Share of the open requests and of the connections to hosts that clients with several requests may use."""

DecisionsFactory = Callable[[Settings, int, Actions], Decisions]
PROBE_TIMEOUT_NS = 1000 * MS
"""Timeout of a probe; the settings have none."""


class LoadReportParser:
    """Parses load reports, whose fields have the names of the settings' columns or the default names."""

    def __init__(self, columns: Sequence[str], default_names: Sequence[str]) -> None:
        self.columns = list(zip(columns, default_names, strict=False))

    def parse(self, text: bytes) -> tuple[float, ...]:
        """Returns the values in the order of the columns, or an empty tuple for a malformed report."""
        if not self.columns or not text:
            return ()
        try:
            report = json.loads(text)
            values = tuple(float(report[name] if name in report else report[default_name])
                           for name, default_name in self.columns)
        except (ValueError, KeyError, TypeError, RecursionError):
            return ()
        return () if any(map(isnan, values)) else values


class Exchange(Protocol):
    """The client's side of a request.

    It gets one response: by one of `served`, `failed` and `refused`, or streamed from `begin_response` on.
    """

    def served(self, response: Response) -> None:
        """Send a host's complete response to the client."""

    def failed(self) -> None:
        """Respond that the request failed; it may or may not have had an effect."""

    def refused(self, retry_after_ns: int) -> None:
        """Respond that the request was refused: a retry is harmless, as it did not run or may run again."""

    def client_half_closed(self) -> bool:
        """Whether the client has shut down its sending side, according to the kernel."""

    def may_write(self) -> bool:
        """Whether a response would be written now."""

    def begin_response(self, attempt: Attempt, response: Response, length: int | None) -> None:
        """Begin a streamed response; from here on the client can't get another one."""

    def write_body(self, data: bytes) -> None:
        """Send a part of the streamed response's body."""

    def finish(self) -> None:
        """Complete the streamed response."""

    def abort(self) -> None:
        """Abort the streamed response in a way that the client can detect."""


class ParsedRequest(Protocol):
    """A client's request as parsed and checked."""

    body: Body | None

    id: bytes
    unread_since: int   # earliest time at which its bytes may have arrived; 0: when they were read
    cls: int
    tenant: int
    key: int
    ttl_ns: int
    hint_ns: int
    repeat: bool
    write: bool
    payload: tuple[bytes, bytes]


class Request:
    """An open request; it stays in the table until its attempts have ended too."""

    __slots__ = ("account", "attempts", "body", "body_timer", "client_half_closed", "deadline", "exchange",
                 "fallback_at", "fallback_timer", "in_flight", "max_attempts", "payload", "request_id", "rid",
                 "streamed", "timeout", "ttl")

    def __init__(self, rid: int, request_id: bytes, exchange: Exchange, payload: tuple[bytes, bytes], deadline: int,
                 max_attempts: int, account: Account) -> None:
        self.rid = rid
        self.request_id = request_id   # the client's id of the request, for the log
        self.max_attempts = max_attempts   # the limit that was in effect when it arrived
        self.exchange: Exchange | None = exchange   # None once it is answered or the client has gone
        self.payload = payload
        self.deadline = deadline
        self.attempts = 0
        self.in_flight: dict[int, Attempt] = {}
        self.client_half_closed = False   # it may have gone
        self.body: Body | None = None   # set if it is streamed
        self.streamed = False   # a streamed response has begun
        self.timeout = 0   # its client's timeout, ns
        self.ttl = 0   # its client's timeout when it was read, less the read delay, ns; `deadline` is a margin earlier
        self.fallback_at = 0   # when it is failed if the module has not decided
        self.fallback_timer: Timer | None = None
        self.body_timer: Timer | None = None   # of the next check whether its body is read in time
        self.account = account   # of the memory that it holds

    def held_bytes(self) -> int:
        """What the request and the responses to its attempts hold."""
        return self.account.held_bytes + sum(attempt.connection.held_bytes for attempt in self.in_flight.values()
                                             if attempt.connection is not None)


Event = tuple[Callable[..., None], Request | None, tuple[Any, ...]]


class _Receiver:
    """Forwards an attempt's streamed response to its request; implements `Receiver` of attempt.py."""

    __slots__ = ("_core", "_request")

    def __init__(self, core: Core, request: Request) -> None:
        self._core = core
        self._request = request

    def begin_response(self, attempt: Attempt, response: Response, length: int | None) -> bool:
        """See `Receiver`."""
        return self._core.begin_response(self._request, attempt, response, length)

    def write_body(self, attempt: Attempt, data: bytes) -> None:
        """See `Receiver`."""
        if self._request.exchange is not None:
            self._request.exchange.write_body(data)

    def may_write(self) -> bool:
        """See `Receiver`."""
        return self._request.exchange is not None and self._request.exchange.may_write()

    def on_response_delayed(self, attempt: Attempt) -> None:
        """See `Receiver`."""
        self._core.on_response_delayed(self._request, attempt)


class Core:
    """The core of one gateway; implements `Actions` of api.py on real sockets.

    Long messages are streamed: the module is notified by `on_body_streaming` and `on_body_complete` for requests and by
    `on_response_started` for responses.
    """

    def __init__(self, settings: Settings, salt: int, timers: Timers, columns: Sequence[str] = (),
                 make_module: DecisionsFactory = Balancer, memory_budget: MemoryBudget | None = None) -> None:
        self._timers = timers
        self.memory_budget = memory_budget or MemoryBudget(sys.maxsize)
        self._events: deque[Event] = deque()
        self._list_events: deque[Event] = deque()   # handled before `_events`
        self._may_send = True   # whether the list's lease is valid, as last reported to the module
        self._module_timers: dict[int, Timer] = {}   # by token
        self._handling = False
        self._now = 0
        self._last_rid = 0
        self._requests: dict[int, Request] = {}
        self._apply_settings(settings, columns)
        self.peers: PeerSocket | None = None
        self.stall_detector: StallDetector | None = None
        self.upstream: Upstream
        self.discovery: Discovery
        self.has_hosts = False
        self._module = make_module(settings, salt, self)

    def _apply_settings(self, settings: Settings, columns: Sequence[str]) -> None:
        self._settings = settings
        self._max_open_requests = min(MAX_OPEN_REQUESTS, settings.limits.max_open_requests or MAX_OPEN_REQUESTS)
        self.load_parser = LoadReportParser(columns, settings.report_fields)

    def attach(self, upstream: Upstream, discovery: Discovery) -> None:
        """Set the host connections and the discovery client that the actions use."""
        self.upstream = upstream
        self.discovery = discovery

    # ---- Events ------------------------------------------------------------------------------------

    def _queue_event(self, call: Callable[..., None], request: Request | None, *fields: Any) -> None:
        """Queue an event and, unless one is being handled, handle all queued events in order."""
        self._events.append((call, request, fields))
        self._handle_events()

    def _handle_events(self) -> None:
        """Handle queued events.

        Before each event, data from discovery is read, and list updates overtake all other queued events.
        """
        if self._handling:
            return
        self._handling = True
        try:
            while self._events or self._list_events:
                self._now = now_ns()
                if self.stall_detector is not None:
                    self.stall_detector.observe(self._now)
                self._read_discovery()
                if not self._list_events:
                    self._report_lease()
                call, request, fields = (self._list_events or self._events).popleft()
                try:
                    call(self._now, *fields)
                except Exception:
                    log.exception("decision module raised an exception in %s", getattr(call, "__name__", call))
                    if request is not None:
                        self._fail_request(request)
        finally:
            self._handling = False

    def _report_lease(self) -> None:
        """Notify the module of a change of the lease, before any event on which it might send."""
        may_send = self.discovery.may_send(self._now)
        if may_send is self._may_send:
            return
        self._may_send = may_send
        event(log, "list_lease", valid=may_send, generation=self.discovery.generation)
        try:
            self._module.on_lease(self._now, may_send)
        except Exception:
            log.exception("decision module raised an exception in on_lease")

    def on_lease(self) -> None:
        """The lease may have become valid again: have `_report_lease` check it, so that waiting requests are sent."""
        if not self._may_send:
            self._queue_event(lambda now: None, None)

    def _read_discovery(self) -> None:
        try:
            self.discovery.read_pending(self._now)
        except Exception:   # the queued event must still be handled
            log.exception("reading updates from discovery failed")

    def on_settings(self, settings: Settings, columns: Sequence[str]) -> None:
        """Apply new settings; open requests keep their class and attempt limit."""
        self._apply_settings(settings, columns)
        self._queue_event(self._module.on_settings, None, settings)

    def on_list(self, kind: ListKind, listed: list[ListedHost]) -> None:
        """Handle a list from discovery; host connections are updated before anything more is sent."""
        if kind is not ListKind.FAILED:
            self.upstream.apply(kind is not ListKind.DELTA, listed)
            self.has_hosts = self.has_hosts or bool(listed)
        self._list_events.append((self._module.on_list, None, (kind, [item.entry for item in listed])))
        self._handle_events()
        self.on_lease()

    def on_request(self, exchange: Exchange, parsed: ParsedRequest) -> Request | None:
        """Accept a client's request; None if it has been refused without an attempt."""
        if len(self._requests) >= self._max_open_requests:
            event(log, "refused", request=parsed.id, why="too many are open")
            exchange.refused(0)
            return None
        if not self.memory_budget.admits(SMALL_BYTES, REQUEST_BYTES):
            event(log, "refused", request=parsed.id, why="no memory for another request")
            exchange.refused(0)
            return None
        now = now_ns()
        time_left = parsed.ttl_ns - self._delay_since(parsed.unread_since or now, now)
        if time_left < MIN_TIME_LEFT_NS:   # after a stall, or if the client's timeout is as short as that
            event(log, "refused", request=parsed.id, why="its time ran out while the loop was held up")
            exchange.refused(0)
            return None
        self._last_rid = rid = (self._last_rid + 1) & 0xFFFFFFFF
        ttl = max(time_left - RESPONSE_MARGIN_NS, time_left // 2)
        account = Account(self.memory_budget, MemoryKind.REQUESTS, REQUEST_BYTES + sum(map(len, parsed.payload)))
        request = Request(rid, parsed.id, exchange, parsed.payload, now + ttl, self._settings.limits.max_attempts,
                          account)
        self._requests[rid] = request
        request.timeout, request.ttl = parsed.ttl_ns, time_left
        request.body = parsed.body
        if request.body is not None:
            request.body.on_committed = lambda: self._on_body_committed(request)
        self._schedule_fallback(request, now)
        self._queue_event(self._start_request, request, request, parsed)
        return request

    def _start_request(self, now: int, request: Request, parsed: ParsedRequest) -> None:
        """Pass the request to the module with the time left at the module's `now`.

        The process may have been stopped since the deadline was computed.
        """
        time_left = min(request.deadline - now, request.ttl)
        if time_left > 0:
            self._module.on_request(now, request.rid, parsed.cls, parsed.tenant, parsed.key, time_left, parsed.hint_ns,
                                    parsed.repeat, parsed.write)
        elif request.exchange is not None:
            event(log, "refused", request=request.request_id, why="its time ran out before it was decided on")
            exchange, request.exchange = request.exchange, None
            exchange.refused(0)
            self._end_request(request)

    def read_delay_ns(self, now: int) -> int:
        """How long bytes that are read now may have waited unread, less a tolerance; counts against the timeout."""
        return self.stall_detector.read_delay_ns(now) if self.stall_detector is not None else 0

    def _delay_since(self, unread_since: int, now: int) -> int:
        """How long bytes that are read now have waited unread, less a tolerance, if they may have since that time."""
        return max(self.read_delay_ns(now), now - unread_since - READ_DELAY_TOLERANCE_NS)

    def _schedule_fallback(self, request: Request, now: int) -> None:
        request.fallback_at = now + max(request.ttl - FALLBACK_MARGIN_NS, request.ttl * 3 // 4)
        if request.fallback_timer is not None:
            self._timers.discard(request.fallback_timer)
        request.fallback_timer = self._timers.at(request.fallback_at, self._send_fallback, request)

    def _on_body_committed(self, request: Request) -> None:
        """The start of a streamed body has been discarded: no retry.

        There is no deadline until the body is complete, but `_check_unread_body` limits the time in which it may be
        complete and not be read.
        """
        request.deadline = request.fallback_at = NO_DEADLINE_NS
        request.ttl = request.timeout   # runs from the last byte: a read delay of the first ones does not count
        for attempt in request.in_flight.values():
            attempt.expires_at = NO_DEADLINE_NS
            self._queue_event(self._module.on_body_streaming, request, request.rid, attempt.number)
        self._check_unread_body(request)

    def _check_unread_body(self, request: Request) -> None:
        """End a request whose host has not taken the body within the client's timeout after its last byte.

        While the host takes no data, the body is not read to its end; the client waits for its response all the same.
        """
        body = request.body
        if request.exchange is None or request.streamed or body is None or body.complete:
            return
        now = now_ns()
        since = body.may_be_complete_since(now)
        due = since + max(request.ttl - RESPONSE_MARGIN_NS, request.ttl // 2)
        if now < due:
            request.body_timer = self._timers.at(due, self._check_unread_body, request)
            return
        event(log, "body_unread", request=request.request_id, for_ns=now - since)
        for attempt in list(request.in_flight.values()):
            self.upstream.expire(attempt)
        if request.exchange is not None and not request.streamed:
            self._fail_request(request)

    def on_body_complete(self, request: Request) -> None:
        """The last byte of a streamed body has arrived: the client's timeout starts."""
        if request.exchange is None or request.streamed:
            return
        now = now_ns()
        since = request.body.may_be_complete_since(now) if request.body is not None else now
        request.ttl = max(MIN_TIME_LEFT_NS, request.ttl - self._delay_since(since, now))
        ttl = max(request.ttl - RESPONSE_MARGIN_NS, request.ttl // 2)
        request.deadline = now + ttl
        self._schedule_fallback(request, now)
        for attempt in request.in_flight.values():
            attempt.expires_at = request.deadline
            attempt.timers.append(self._timers.at(attempt.expires_at, self._expire, attempt))
        self._queue_event(self._notify_body_complete, request, request)

    def _notify_body_complete(self, now: int, request: Request) -> None:
        """Notify the module that a body is complete; for the time left see `_start_request`."""
        self._module.on_body_complete(now, request.rid, max(1, min(request.deadline - now, request.ttl)))

    def begin_response(self, request: Request, attempt: Attempt, response: Response, length: int | None) -> bool:
        """Begin a streamed response: other attempts are cancelled, and it no longer has a deadline."""
        if request.exchange is None or request.streamed:
            self.upstream.cancel(attempt)
            return False
        request.streamed = True
        request.deadline = request.fallback_at = attempt.expires_at = NO_DEADLINE_NS
        for other in [other for other in request.in_flight.values() if other is not attempt]:
            self.upstream.cancel(other)
        request.exchange.begin_response(attempt, response, length)
        self._queue_event(self._module.on_response_started, request, request.rid, attempt.number)
        return not attempt.done

    def on_response_delayed(self, request: Request, attempt: Attempt) -> None:
        """A response waits for memory: its host has answered, so the attempt may take all of the client's time."""
        attempt.answered_at = now_ns()
        attempt.expires_at = request.deadline
        if request.deadline < NO_DEADLINE_NS:
            attempt.timers.append(self._timers.at(request.deadline, self._expire, attempt))
        self._queue_event(self._module.on_response_started, request, request.rid, attempt.number)

    def members_unavailable(self) -> int:
        """Number of listed hosts that the module currently avoids."""
        return self._module.members_unavailable(now_ns())

    def on_client_disconnected(self, request: Request) -> None:
        """The client has gone: cancel the request's attempts and send nothing more for it."""
        if request.exchange is not None:
            request.exchange = None
            self._queue_event(self._module.on_client_disconnected, request, request.rid)
            self._end_request(request)

    def on_client_half_closed(self, request: Request, since: int) -> None:
        """The client has shut down its sending side, at this time at the earliest.

        It may have gone or may still wait for its response; the two can't be told apart.  So attempts that have reached
        their hosts may still answer it, others are cancelled, and no new attempt is made.
        """
        request.client_half_closed = True
        cancel_at = since + HALF_CLOSED_GRACE_NS
        if not request.in_flight and not request.streamed:
            self._fail_request(request)
        elif self._may_be_delayed() or now_ns() >= cancel_at:   # it may have left much earlier
            self._cancel_not_arrived(request)
        elif not all(attempt.has_arrived() for attempt in request.in_flight.values()):
            self._timers.at(cancel_at, self._cancel_not_arrived, request)

    def accept_delayed_since(self) -> int:
        """Since when a connection that is accepted now may have been waiting; 0: it has not."""
        return self.stall_detector.accept_delayed_since(now_ns()) if self.stall_detector is not None else 0

    def _may_be_delayed(self) -> bool:
        """Whether data that the event loop reads now may have been waiting."""
        return self.stall_detector is not None and self.stall_detector.may_be_delayed(now_ns())

    def _client_may_have_left(self, request: Request) -> bool:
        """Whether its client may have left: after an event-loop stall, its end of stream may still be unread."""
        if request.exchange is None:
            return True
        if self._may_be_delayed() and request.exchange.client_half_closed():
            request.client_half_closed = True
            return True
        return False

    def _cancel_not_arrived(self, request: Request) -> None:
        """Cancel attempts whose last byte has not reached their host: it would begin them after the client has gone."""
        for attempt in list(request.in_flight.values()):
            if not attempt.response_started_at and not attempt.has_arrived():
                self.upstream.cancel(attempt)

    @property
    def is_crowded(self) -> bool:
        """Whether the requests and connections to hosts that are left are kept for clients without an open request."""
        return len(self._requests) >= self._max_open_requests * CROWDED_SHARE or self.upstream.is_crowded(CROWDED_SHARE)

    def open_requests(self) -> list[Request]:
        """Requests in the table: those without a response yet, and those with attempts still in flight."""
        return list(self._requests.values())

    def max_time_left(self, now: int) -> int:
        """The longest time that any unanswered request has left, ns."""
        return max((request.fallback_at - now for request in self._requests.values()
                    if request.exchange is not None and request.fallback_at < NO_DEADLINE_NS), default=0)

    def fail_all(self) -> None:
        """The process is about to exit: answer all open requests with an error, unless their response has begun."""
        for request in self.open_requests():
            if not request.streamed:
                self._fail_request(request)

    def _send_fallback(self, request: Request) -> None:
        """Fail a request that the module has not decided on shortly before the client's timeout."""
        if request.exchange is not None and now_ns() >= request.fallback_at:
            log.error("decision module did not answer request %s before its deadline",
                      request.request_id.decode("ascii", "backslashreplace"))
            self._fail_request(request)

    def _fail_request(self, request: Request) -> None:
        """Fail the request without a decision of the module, and have the module drop it.

        It is not refused, since a refusal would promise that a retry is harmless.  The logged reason is the same in all
        cases, also after an exception of the module.
        """
        exchange, request.exchange = request.exchange, None
        if exchange is not None:
            event(log, "failed", request=request.request_id, why="its time is up, its client ends or the program does")
            exchange.abort() if request.streamed else exchange.failed()
            self._queue_event(self._module.on_client_disconnected, None, request.rid)
        self._end_request(request)

    def _end_request(self, request: Request) -> None:
        """Clean up after the response: cancel attempts that are still in flight."""
        if request.body is not None:
            request.body.drop()
        for timer in (request.fallback_timer, request.body_timer):
            if timer is not None:
                self._timers.discard(timer)
        for attempt in list(request.in_flight.values()):
            self.upstream.cancel(attempt)
        self._remove_if_ended(request)

    def _remove_if_ended(self, request: Request) -> None:
        if request.exchange is None and not request.in_flight:
            self._queue_event(self._remove, None, request)   # after this event, which may still refer to it

    def _remove(self, _now: int, request: Request) -> None:
        if not request.in_flight:
            self._requests.pop(request.rid, None)
            request.account.update(0)
            request.payload = (b"", b"")   # the module's events may still refer to it: free the body

    def _on_attempt_end(self, request: Request, attempt: Attempt, outcome: Outcome, response: Response | None) -> None:
        """Handle the end of an attempt.  The first successful one answers the client without the module."""
        request.in_flight.pop(attempt.number, None)
        self._discard_timers(attempt)
        if request.exchange is not None:
            if request.streamed:
                if attempt.response_started_at:
                    exchange, request.exchange = request.exchange, None
                    exchange.finish() if outcome is Outcome.OK else exchange.abort()
            elif response is not None:
                exchange, request.exchange = request.exchange, None
                exchange.served(response)
            elif request.client_half_closed and not request.in_flight:
                exchange, request.exchange = request.exchange, None
                exchange.failed()
        request_ended = request.exchange is None
        load = self.load_parser.parse(attempt.load_report) if attempt.load_report else ()
        spent = max(1, (attempt.answered_at or attempt.response_started_at or now_ns()) - attempt.started_at
                    - (self._total_stall_ns() - attempt.stall_before_ns))
        if outcome is not Outcome.OK:
            event(log, "attempt_ended", request=request.request_id, attempt=attempt.number, host=attempt.host,
                  outcome=outcome.name, spent_ns=spent)
        self._queue_event(self._module.on_outcome, request, request.rid, attempt.number, attempt.host, outcome,
                          spent, request_ended, load)
        if request_ended:
            self._end_request(request)

    def _total_stall_ns(self) -> int:
        """Total time of event-loop stalls, ns; stalls during an attempt don't count as the host's latency."""
        return self.stall_detector.total_ns if self.stall_detector is not None else 0

    # ---- Actions -----------------------------------------------------------------------------------

    def send(self, rid: int, host: HostId, timeout_ns: int, write_within_ns: int = 0) -> None:
        """Start an attempt (see `Actions`)."""
        request = self._requests.get(rid)
        if request is None:
            log.error("decision module sent unknown request %d", rid)
            return
        number = request.attempts
        request.attempts += 1
        expires_at = min(self._now + timeout_ns, request.deadline) if timeout_ns else request.deadline
        attempt = Attempt(host, number, request.payload, self._now, expires_at,
                          lambda attempt, outcome, response: self._on_attempt_end(request, attempt, outcome, response),
                          receiver=_Receiver(self, request), body=request.body,
                          begin_by=self._now + write_within_ns if write_within_ns else NO_DEADLINE_NS,
                          client_left=lambda: self._client_may_have_left(request))
        attempt.stall_before_ns = self._total_stall_ns()
        request.in_flight[number] = attempt
        if number:
            event(log, "retry", request=request.request_id, attempt=number, host=host,
                  timeout_ns=expires_at - self._now)
        if self._client_may_have_left(request) or request.client_half_closed or number >= request.max_attempts \
                or (request.body is not None and request.body.committed):
            # Answered, the client may have gone, no attempt is left, or the start of the body has been discarded.
            attempt.end(Outcome.MOOT)
            return
        if not self._may_send:
            attempt.end(Outcome.MOOT)   # the lease has expired, as the module knows: the list is too old
            return
        attempt.timers.append(self._timers.at(expires_at, self._expire, attempt))
        self.upstream.start(attempt)

    def _expire(self, attempt: Attempt) -> None:
        if not attempt.done and now_ns() >= attempt.expires_at:   # it may have been extended meanwhile
            self.upstream.expire(attempt)

    def fail(self, rid: int) -> None:
        """Final response: failed."""
        request = self._requests.get(rid)
        if request is not None and request.exchange is not None and not request.streamed:
            event(log, "failed", request=request.request_id, attempts=request.attempts, why="decided")
            exchange, request.exchange = request.exchange, None
            exchange.failed()
            self._end_request(request)

    def refuse(self, rid: int, retry_after_ns: int) -> None:
        """Final response: refused, with a Retry-After header if `retry_after_ns` is not 0."""
        request = self._requests.get(rid)
        if request is not None and request.exchange is not None and not request.streamed:
            event(log, "refused", request=request.request_id, attempts=request.attempts, why="decided")
            exchange, request.exchange = request.exchange, None
            exchange.refused(retry_after_ns)
            self._end_request(request)

    def cancel(self, rid: int, attempt: int) -> None:
        """Cancel an attempt unless its streamed response has begun."""
        request = self._requests.get(rid)
        target = request.in_flight.get(attempt) if request is not None else None
        if target is not None and not target.response_started_at:
            self.upstream.cancel(target)

    def wake(self, token: int, after_ns: int) -> None:
        """Set a timer of the module."""
        self._module_timers[token] = self._timers.at(self._now + after_ns, self._on_timer, token)

    def cancel_wake(self, token: int) -> None:
        """Discard a timer of the module."""
        timer = self._module_timers.pop(token, None)
        if timer is not None:
            self._timers.discard(timer)

    def _on_timer(self, token: int) -> None:
        self._module_timers.pop(token, None)
        self._queue_event(self._module.on_timer, None, token)

    def watch(self, active: bool) -> None:
        """Start or stop watching discovery."""
        self.discovery.watch(active)

    def fetch(self) -> None:
        """Request the full list from discovery."""
        self.discovery.fetch()

    def probe(self, host: HostId) -> None:
        """Send a probe to a host if the settings allow probes."""
        if not self._settings.limits.probes:
            log.error("decision module asked for a probe, but the settings don't allow probes")
            return
        path = b"/stats" if self.load_parser.columns else b"/health/live"
        attempt = Attempt(host, 0, (b"GET %b HTTP/1.1\r\nHost: host\r\n" % path, b""), self._now,
                          self._now + PROBE_TIMEOUT_NS, self._on_probe_end, probe=True)
        attempt.timers.append(self._timers.at(attempt.expires_at, self._expire, attempt))
        self.upstream.start(attempt)

    def _discard_timers(self, attempt: Attempt) -> None:
        for timer in attempt.timers:
            self._timers.discard(timer)
        attempt.timers.clear()

    def _on_probe_end(self, attempt: Attempt, outcome: Outcome, response: Response | None) -> None:
        self._discard_timers(attempt)
        load = self.load_parser.parse(response.body) if outcome is Outcome.OK and response is not None else ()
        self._queue_event(self._module.on_probe_result, None, attempt.host, outcome,
                          max(1, now_ns() - attempt.started_at), load)

    def close(self, host: HostId) -> None:
        """Close the idle connections to a host."""
        self.upstream.close_idle(host)

    def send_peer_message(self, peer: int | None, content: bytes) -> None:
        """Send a datagram to one peer, or to all if `peer` is None, if the settings allow it."""
        if not self._settings.limits.peers or self.peers is None:
            log.error("decision module sent a message to a peer, but the settings don't allow it")
        else:
            self.peers.send(peer, content)

    def on_peer(self, peer: int, content: bytes) -> None:
        """Handle a message from a peer."""
        self._queue_event(self._module.on_peer_message, None, peer, content)

    def log(self, text: str) -> None:
        """Log a message of the decision module for the operators."""
        log.info("module: %s", text)


__all__ = ["Core", "DecisionsFactory", "Exchange", "ParsedRequest", "Request"]
