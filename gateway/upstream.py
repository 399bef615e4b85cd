"""Host connections: the pool, attempts and their outcomes.

An attempt uses a connection exclusively until it ends.  The outcome of a failed attempt depends on whether the last
byte of the request had been written to the socket: before that the request can't have run, afterwards it may have.
Whether its host has that byte is another question, as the kernel may hold it for long: `has_arrived`.  A connection
that is closed before is reset, so that the kernel drops what it holds.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import cast

from bridgesaddle.api import MS, SECOND, HostId, HostState, Outcome

from .attempt import Attempt, Response
from .body import Body
from .events import event
from .memory import (
    CONNECTION_BYTES,
    MIN_READ_BYTES,
    READ_BUFFER_BYTES,
    SMALL_BYTES,
    Account,
    MemoryBudget,
    MemoryKind,
)
from .response_parser import ResponseParser
from .stats import Stats
from .syscalls import pending_events, reset_on_close, unconfirmed_bytes, unsent_bytes, write_before
from .timers import Timer, Timers, now_ns
from .transient import LOCAL_ERRNOS
from .update_parser import ListedHost

log = logging.getLogger("gateway.upstream")

MAX_BUFFERED_BODY_BYTES = 64 * 1024
"""Longest body that is buffered completely; longer ones are streamed.  Equal to `body.MAX_REPLAY_BYTES`.

A shorter response of unknown length may be streamed too (`UNKNOWN_LENGTH_BUFFER_NS`).  Only responses with status 200
are streamed; a longer one with another status counts as malformed.
"""
UNKNOWN_LENGTH_BUFFER_NS = 100 * MS
"""How long a response of unknown length is buffered before streaming begins: it delays a long one's first bytes."""
STREAM_STALL_TIMEOUT_NS = 10 * SECOND
"""A streamed message is aborted after this long without progress while the other side could go on."""
IDLE_TIMEOUT_FRACTION = 0.6
"""Fraction of the host's idle timeout after which the gateway closes a connection, well before the host does."""
DEFAULT_IDLE_TIMEOUT_NS = 10 * SECOND
"""The gateway closes an idle connection after this if the settings have no idle timeout of hosts."""
REUSE_DELAY_NS = 5 * MS
"""How long a connection is not reused after a response.

A faulty host may respond twice, the second time some milliseconds late, which would be taken for the response to the
next request.
"""
LOCAL_ERROR_RETRY_S = 0.01
"""Delay before a connect that failed for a local reason (such as no free descriptors) is retried."""
ROOM_POLL_INTERVAL_NS = 10 * MS
"""Interval of the checks whether there is memory for the responses that wait for it."""
MAX_IDLE_PER_HOST = 16
"""Maximum number of idle connections to one host."""
HOP_BY_HOP = frozenset((b"connection", b"keep-alive", b"proxy-authenticate", b"proxy-authorization", b"te",
                        b"trailer", b"transfer-encoding", b"upgrade", b"content-length", b"expect",
                        b"proxy-connection"))
"""Headers that apply to one connection only, or that the gateway generates itself."""

CONFIRMATION_DELAY_NS = 45 * MS
"""Longest time in which a host's machine confirms what has come: on a fast network Linux delays that by 40 ms."""
SEND_CHECK_VALID_NS = 5 * MS
"""How long the check that an attempt may be sent stays valid.

An older check is repeated before the write: the process may have been stopped between the decision and the write.
"""
LOAD_HEADER = b"x-server-load"


class Host:
    """A host as last announced by discovery, and the idle connections to it, newest last."""

    __slots__ = ("address", "idle", "incarnation", "ready", "started_ns")

    def __init__(self) -> None:
        self.address = ("", 0)
        self.started_ns = 0
        self.ready = False
        self.incarnation = 0   # increased when it restarts, changes its address or is removed
        self.idle: list[Connection] = []


class Connection(asyncio.BufferedProtocol):
    """One connection to a host; it carries one attempt at a time."""

    # Shared by all connections: data is parsed before the next read.
    _read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))

    def __init__(self, pool: Upstream, host: Host, attempt: Attempt) -> None:
        self._pool = pool
        self.host = host
        self.incarnation = host.incarnation
        self.attempt: Attempt | None = attempt
        self.reserved_for: Attempt | None = None
        self.task: asyncio.Task[None] | None = None
        self.connect_timer: Timer | None = None
        self._is_removed = False
        self.transport: asyncio.Transport | None = None
        self.idle_since = 0
        self.local_error = False   # connecting fails for a local reason, not because of the host
        self._response = ResponseParser()
        self.written = False   # the last byte of the attempt's request has been written to the socket
        self._has_arrived = False   # the host's machine has confirmed that byte
        self._fd = -1
        self._request_body: Body | None = None   # streamed body that is being sent
        self._paused = False   # by its client
        self.waits_for_room = False   # the memory that its response needs is not there
        self._is_reading_paused = False
        self._reserved_bytes = 0   # for the response
        self.write_blocked = False
        self.last_progress_at = now_ns()   # when a streamed message last made progress
        self._account = Account(pool.memory_budget, MemoryKind.HOSTS, CONNECTION_BYTES)
        self._response_account = Account(pool.memory_budget, MemoryKind.HOST_RESPONSES)
        self._reset()

    def _reset(self) -> None:
        self._response.reset()
        self._has_arrived = False
        self._streaming = False
        self._buffer_timer_set = False
        self._reserved_bytes = 0

    def _update_account(self) -> None:
        """Charge what is held of the response, and of a request that the host's socket has not taken."""
        transport = self.transport
        unsent_bytes = transport.get_write_buffer_size() if transport is not None and self.write_blocked else 0
        self._account.update(CONNECTION_BYTES + unsent_bytes)
        self._response_account.update(max(self._reserved_bytes, len(self._response.body)))

    @property
    def held_bytes(self) -> int:
        """What the connection holds."""
        return self._account.held_bytes + self._response_account.held_bytes

    # Transport callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the attempt, unless it is no longer wanted by the time the connection is established."""
        if self._is_removed:   # given up while connecting: the loop may not report its end, so nothing is kept
            cast(asyncio.Transport, transport).abort()
            return
        self.transport = cast(asyncio.Transport, transport)   # uvloop has a class of its own
        self.task = None   # the task's result refers to this connection
        self._fd = transport.get_extra_info("socket").fileno()
        self.transport.set_write_buffer_limits(high=0)   # pause_writing is called if any part is not yet written
        attempt = self.attempt
        if attempt is not None and self.may_send_attempt(attempt):
            self._write(attempt)
        else:
            self.abandon(self._pool.unsent_outcome())

    def may_send_attempt(self, attempt: Attempt) -> bool:
        """Whether an attempt that has waited for this connection may still be sent, and on this connection."""
        attempt.checked_at = now_ns()
        self._pool.before_send()
        if attempt.done:
            return False
        if not self.host.ready or self.incarnation != self.host.incarnation:
            self._pool.stats.sends_stopped += 1
            return False
        return self._pool.may_send() and now_ns() < min(attempt.expires_at, attempt.begin_by) \
            and not attempt.client_left()

    def reserve(self, attempt: Attempt) -> None:
        """Reserve the connection for an attempt, to be sent once the reuse delay is over."""
        self.reserved_for = attempt
        self.written = False
        attempt.connection = self

    def is_reusable(self) -> bool:
        """Whether the connection is open and nothing waits unread on it.

        Unread bytes or an end of stream would be taken for the response to the next request.
        """
        return self.transport is not None and not self.transport.is_closing() and not pending_events(self.transport)

    def send(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection."""
        self._reset()
        self.attempt = attempt
        attempt.connection = self
        self._write(attempt)

    def _may_write(self, attempt: Attempt) -> bool:
        """Whether an attempt may be sent; a check that is too old is repeated.

        The deadline is always checked: even a decision made just now may be about a request whose deadline has passed.
        """
        now = now_ns()
        return now < attempt.expires_at \
            and (now - attempt.checked_at <= SEND_CHECK_VALID_NS or self.may_send_attempt(attempt))

    def _write(self, attempt: Attempt) -> None:
        transport = self.transport
        assert transport is not None
        self.written = False
        self.write_blocked = False
        self._request_body = attempt.body
        while self._may_write(attempt):
            now = self.last_progress_at = now_ns()   # the time left that is sent to the host is computed from this
            message = attempt.message(now)
            # The message is written immediately or not at all, as the process may be stopped in between.  It is
            # written to the socket directly, as the transport takes much longer to reach its own write call.
            sent = -1 if transport.is_closing() \
                else write_before(self._fd, message, min(attempt.checked_at, now) + SEND_CHECK_VALID_NS)
            if sent >= 0:
                if sent < len(message):
                    transport.write(message[sent:])
                if attempt.body is not None:
                    self._begin_body(transport, attempt.body)
                else:
                    self._check_written()
                return
            if transport.is_closing():
                break
        self.abandon(Outcome.MOOT)

    def _begin_body(self, transport: asyncio.Transport, body: Body) -> None:
        """Send the part of a streamed body that has arrived; the rest is sent as it arrives."""
        start = body.attach(self)
        if start:
            self.write_body(start)
        if body.complete:
            self.finish_body()
        body.update_reading()

    def _check_written(self) -> None:
        """Check whether the last byte has been written to the socket."""
        transport = self.transport
        assert transport is not None
        # With a high-water mark of 0 the transport writes immediately and buffers only what the socket does not take.
        if not transport.is_closing() and not transport.get_write_buffer_size():
            self._on_request_written()

    def write_body(self, data: bytes) -> None:
        """Send a part of a streamed body."""
        body, transport = self._request_body, self.transport
        if body is not None and transport is not None and not transport.is_closing():
            transport.write(b"%x\r\n%b\r\n" % (len(data), data) if body.length is None else data)
            if self.write_blocked:
                self._update_account()
            else:
                self.last_progress_at = now_ns()

    def finish_body(self) -> None:
        """Complete a streamed body."""
        body, transport = self._request_body, self.transport
        if body is not None and transport is not None and not transport.is_closing():
            if body.length is None:
                transport.write(b"0\r\n\r\n")
            self._check_written()

    def pause_writing(self) -> None:
        """The host's socket takes no more data: backpressure on the client."""
        self.write_blocked = True
        self._update_account()
        if self._request_body is not None:
            self._request_body.update_reading()

    def resume_writing(self) -> None:
        """The buffer is empty: all data so far is on the socket, including the last byte if it has arrived."""
        self.write_blocked = False
        self._update_account()
        self.last_progress_at = now_ns()
        if self._request_body is None or self._request_body.complete:
            self._on_request_written()
        if self._request_body is not None:
            self._request_body.update_reading()

    def _on_request_written(self) -> None:
        if not self.written:
            self.written = True
            if self._request_body is not None and self.attempt is not None:
                self.attempt.started_at = now_ns()   # a host starts work at the last byte
            if self.attempt is not None and not self.attempt.probe:
                self._pool.stats.upstream_requests += 1

    def get_buffer(self, sizehint: int) -> memoryview:
        if self._streaming:
            return self._read_buffer[:self._pool.memory_budget.read_bytes()]
        return self._read_buffer if self._reserved_bytes else self._read_buffer[:MIN_READ_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        self.last_progress_at = now_ns()
        self._pool.on_taken(nbytes)
        self.data_received(self._read_buffer[:nbytes])
        if not self._reserve_response():
            self._wait_for_room()
        if self._response.body or self._response_account.held_bytes or self._account.held_bytes > CONNECTION_BYTES:
            self._update_account()

    def _reserve_response(self) -> bool:
        """Reserve memory for a response that is more than small; false if there is none, or its client can't take it.

        While memory is tight, a response is only read if it is the next one of its client, and the client reads.
        """
        attempt, budget, response = self.attempt, self._pool.memory_budget, self._response
        if attempt is None or self._streaming or self._reserved_bytes or not response.head_done:
            return True
        size = MAX_BUFFERED_BODY_BYTES if response.length is None else min(response.length, MAX_BUFFERED_BODY_BYTES)
        if size <= SMALL_BYTES or (response.length is None and len(response.body) <= SMALL_BYTES):
            return True
        if not budget.admits_response(size, size - len(response.body)) \
                or (budget.tight and attempt.receiver is not None and not attempt.receiver.may_write()):
            return False
        self._reserved_bytes = size
        return True

    def _wait_for_room(self) -> None:
        if not self.waits_for_room:
            self.waits_for_room = True
            if self.attempt is not None and self.attempt.receiver is not None:
                self.attempt.receiver.on_response_delayed(self.attempt)
            self._pool.wait_for_room(self)
            self._update_reading()

    def read_on_if_room(self) -> bool:
        """Read the response on if there is memory for it now; false if it still waits."""
        if not self._is_open():
            return True
        if not self._reserve_response():
            return False
        self.waits_for_room = False
        self._update_reading()
        self._update_account()
        return True

    def data_received(self, data: memoryview) -> None:
        """Parse the response; bytes that arrive while no request waits for one make the connection unusable."""
        if self.attempt is None:
            log.warning("unasked bytes from %s", self.host.address)
            self._close()
            return
        self._response.feed(data)
        self._process_response()

    def eof_received(self) -> None:
        """The host has closed its sending side, which ends a response without a length."""
        if self.attempt is not None and self._response.end_of_stream():
            self._process_response()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is lost: the request can't have run before its last byte was written, and may have after."""
        self._pool.remove(self)
        self.transport = None   # breaks a reference cycle, as the transport keeps methods of this connection
        attempt, self.attempt = self.attempt, None
        self._detach_body()
        if attempt is not None:
            attempt.end(Outcome.RESET if self.written else Outcome.CONNECT_FAILED)
        self._pool.on_reusable(self)

    # Response handling.

    def _process_response(self) -> None:
        attempt, response = self.attempt, self._response
        if attempt is None:
            return
        is_long = self._streaming or max(response.length or 0, len(response.body)) > MAX_BUFFERED_BODY_BYTES
        if response.body and is_long and not response.error and not self._forward_body(attempt):
            return
        if response.body and not is_long and not response.complete and response.length is None \
                and not self._buffer_timer_set:
            self._buffer_timer_set = True
            left = max(0, attempt.expires_at - now_ns())   # buffered until the deadline, it would be aborted
            self._pool.timers.after(min(UNKNOWN_LENGTH_BUFFER_NS, left // 4), self._on_buffer_timeout, attempt)
        if response.complete:
            self._finish_response(attempt)
        elif response.error:
            log.warning("malformed response from host %s: %s", self.host.address, response.error)
            self.abandon(Outcome.RESET)

    def _finish_response(self, attempt: Attempt) -> None:
        """End the attempt with its complete response."""
        parsed = self._response
        response = Response(parsed.status, parsed.headers, parsed.take_body())
        self._reserved_bytes = 0
        outcome = _outcome(response)
        attempt.load_report = _load_report(response)
        is_reusable = self.written and not parsed.error and not parsed.has_surplus and parsed.keep_alive \
            and (not attempt.is_long() or self.has_arrived())
        self.attempt = None
        self._detach_body()
        attempt.connection = None
        if parsed.has_surplus:
            event(log, "bytes_after_response", host=self.host.address[1])
        if is_reusable:
            self.pause(False)
            self._pool.release(self)
        else:
            self._close()
        attempt.end(outcome, response if outcome is Outcome.OK and not self._streaming else None)

    def _forward_body(self, attempt: Attempt) -> bool:
        """Stream the response body to the receiver; False once the attempt has ended."""
        parsed = self._response
        if not self._streaming:
            if parsed.status != 200 or attempt.receiver is None:
                parsed.error = "body too long"
                return True
            self._streaming = True
            self._reserved_bytes = 0
            response = Response(parsed.status, parsed.headers, b"")
            attempt.load_report = _load_report(response)
            attempt.response_started_at = now_ns()
            if not attempt.receiver.begin_response(attempt, response, parsed.length):
                return False
        data = parsed.take_body()
        if attempt.receiver is not None and not attempt.done:
            attempt.receiver.write_body(attempt, data)
        return not attempt.done

    def _on_buffer_timeout(self, attempt: Attempt) -> None:
        if self.attempt is attempt and not self._streaming:
            self.start_streaming()

    def start_streaming(self) -> bool:
        """Start streaming a response of unknown length, if a part of its body has arrived."""
        attempt = self.attempt
        response = self._response
        if attempt is None or attempt.receiver is None or not response.body or response.error \
                or response.length is not None or response.status != 200:
            return False
        self._forward_body(attempt)
        return True

    def pause(self, paused: bool) -> None:
        """Backpressure: stop reading the response while the client does not read it, or go on."""
        if paused != self._paused:
            self._paused = paused
            self._update_reading()

    def _update_reading(self) -> None:
        transport = self.transport
        should_pause = self._paused or self.waits_for_room
        if transport is None or transport.is_closing() or should_pause is self._is_reading_paused:
            return
        self._is_reading_paused = should_pause
        self.last_progress_at = now_ns()
        if should_pause:
            transport.pause_reading()
        else:
            transport.resume_reading()

    def _is_open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def stalled(self, now: int) -> bool:
        """Whether a streamed message has made no progress for too long although the other side could go on."""
        could_progress = (self._streaming and not self._paused and not self.waits_for_room) \
            or (self._request_body is not None and self.write_blocked)
        return could_progress and now - self.last_progress_at > STREAM_STALL_TIMEOUT_NS

    def _detach_body(self) -> None:
        body, self._request_body = self._request_body, None
        if body is not None:
            body.detach(self)

    def abandon(self, outcome: Outcome) -> None:
        """End the attempt and close the connection; its buffered bytes are discarded, never sent later."""
        attempt, self.attempt, self.reserved_for = self.attempt or self.reserved_for, None, None
        self._detach_body()
        self._close()
        if attempt is not None:
            attempt.end(outcome)

    def release_memory(self) -> None:
        """The connection is closed: it holds nothing more."""
        self._is_removed = True
        self._response.close()
        self._account.update(0)
        self._response_account.update(0)

    def has_arrived(self) -> bool:
        """Whether the host's machine has confirmed the request's last byte; makes a system call until it has."""
        if not self.written:   # it may still wait for the connection, whose previous request has arrived
            return False
        if not self._has_arrived and self.transport is not None and not self.transport.is_closing():
            self._has_arrived = not unconfirmed_bytes(self.transport)
        return self._has_arrived

    def has_unsent(self) -> bool:
        """Whether a part of the request is still here: the host's machine takes no more for now."""
        return not self.written or (self.transport is not None and unsent_bytes(self.transport) > 0)

    def _close(self) -> None:
        transport = self.transport
        if transport is not None:
            if unconfirmed_bytes(transport):
                reset_on_close(transport)   # else the kernel would go on sending what it holds
            transport.abort()
        else:
            self._pool.remove(self)
            task, self.task = self.task, None   # its result refers to this connection
            if task is not None:
                task.cancel()

    close = _close


def _load_report(response: Response) -> bytes:
    """The load report in the headers of a response, unparsed; empty if there is none."""
    return next((value for name, value in response.headers if name.lower() == LOAD_HEADER), b"")


def _outcome(response: Response) -> Outcome:
    """The outcome of a response.  A 503 or 504 with `X-Not-Processed: 1` never ran; any status not named may have."""
    if response.status == 200:
        return Outcome.OK
    if response.status in (503, 504):
        values = [value for name, value in response.headers if name.lower() == b"x-not-processed"]
        if values == [b"1"]:
            return Outcome.FULL
    return Outcome.REJECTED if response.status == 400 else Outcome.ERROR


class Upstream:
    """All connections to hosts, within one limit; it sends only the attempts that it is given."""

    def __init__(self, loop: asyncio.AbstractEventLoop, timers: Timers, max_connections: int,
                 connect_timeout_ns: int, idle_ns: int, stats: Stats, memory_budget: MemoryBudget) -> None:
        self._loop = loop
        self.memory_budget = memory_budget
        self.stats = stats
        self.timers = timers
        self.max_connections = max_connections
        self.before_send: Callable[[], None] = lambda: None   # reads pending updates from discovery
        self.on_taken: Callable[[int], None] = lambda size: None   # bytes have been taken in
        self.may_send: Callable[[], bool] = lambda: True   # whether the list's lease is valid
        self.on_settings(connect_timeout_ns, idle_ns)
        self._hosts: dict[HostId, Host] = {}
        self._connections: set[Connection] = set()
        self.connections_opened = 0
        self._waiting_for_room: dict[Connection, None] = {}   # in this order
        self.responses_delayed = 0   # responses that have waited for memory

    def on_settings(self, connect_timeout_ns: int, idle_ns: int) -> None:
        """Set the connect timeout and the idle timeout of hosts; 0: use the default."""
        self._connect_timeout_ns = connect_timeout_ns or 250 * MS
        self._idle_timeout_ns = int(idle_ns * IDLE_TIMEOUT_FRACTION) if idle_ns else DEFAULT_IDLE_TIMEOUT_NS

    def apply(self, is_full: bool, listed: Iterable[ListedHost]) -> None:
        """Apply a list before anything more is sent; idle connections to hosts not ready or restarted are closed."""
        seen = set()
        for entry, address in listed:
            seen.add(entry.host)
            self._update_host(entry.host, address, entry.started_ns, entry.state)
        if is_full:
            for host_id in [known_id for known_id in self._hosts if known_id not in seen]:
                self._update_host(host_id, self._hosts[host_id].address, 0, HostState.GONE)

    def _update_host(self, host_id: HostId, address: tuple[str, int], started_ns: int, state: HostState) -> None:
        host = self._hosts.setdefault(host_id, Host())
        ready = state is HostState.READY
        if ready is not host.ready or started_ns != host.started_ns:
            event(log, "host_state", host=host_id, state=state.name, at=address[1], started=started_ns)
        host.ready = ready
        if state is HostState.GONE:
            host.incarnation += 1
            del self._hosts[host_id]
        elif address != host.address or (started_ns and started_ns != host.started_ns):
            # The host has restarted: its old connections are dead, which would show only when they are used.
            host.incarnation += 1
            host.address, host.started_ns = address, started_ns
        if host.idle and (not host.ready or host.idle[0].incarnation != host.incarnation):
            self._drop_idle(host)

    @property
    def host_count(self) -> int:
        """Number of hosts in the list."""
        return len(self._hosts)

    def start(self, attempt: Attempt) -> None:
        """Send an attempt on the newest reusable idle connection.

        If there is none, it waits for the idle connection that becomes reusable next, else for a new one.
        """
        if attempt.begin_by < attempt.expires_at:
            attempt.timers.append(self.timers.at(attempt.begin_by, self._on_write_deadline, attempt))
        self._assign_connection(attempt)

    def _assign_connection(self, attempt: Attempt) -> None:
        host = self._hosts.get(attempt.host)
        if host is None or not host.ready:
            self.stats.sends_stopped += 1
            attempt.end(Outcome.CONNECT_FAILED)
            return
        now = now_ns()
        reusable_before = now - REUSE_DELAY_NS
        too_old = now - self._idle_timeout_ns   # the host may be closing it, and the sweep may be late
        for index in range(len(host.idle) - 1, -1, -1):
            if host.idle[index].idle_since <= reusable_before:
                connection = host.idle.pop(index)
                if connection.idle_since > too_old and connection.is_reusable():
                    connection.send(attempt)
                    return
                connection.close()
        if host.idle:   # waiting for it costs its host less time than a new connection
            connection = host.idle.pop(0)
            connection.reserve(attempt)
            self.timers.at(connection.idle_since + REUSE_DELAY_NS, self.on_reusable, connection)
            return
        if len(self._connections) >= self.max_connections and not self._close_oldest_idle():
            log.warning("connection limit reached: %d connections to hosts are open", len(self._connections))
            attempt.end(Outcome.CONNECT_FAILED)
            return
        self.on_taken(CONNECTION_BYTES)
        connection = attempt.connection = Connection(self, host, attempt)
        self._connections.add(connection)
        self.connections_opened += 1
        connection.task = self._loop.create_task(self._connect(connection))
        connection.connect_timer = self.timers.after(self._connect_timeout_ns, self._on_connect_timeout, connection)

    def is_crowded(self, share: float) -> bool:
        """Whether requests use more than this share of the connections."""
        limit = self.max_connections * share
        return len(self._connections) > limit \
            and len(self._connections) - sum(len(host.idle) for host in self._hosts.values()) > limit

    def unsent_outcome(self) -> Outcome:
        """The outcome of an attempt that was stopped before it was written.

        If the lease has expired, the outcome does not count against the host.
        """
        return Outcome.CONNECT_FAILED if self.may_send() else Outcome.MOOT

    def on_reusable(self, connection: Connection) -> None:
        """The reuse delay is over, or the connection has been lost: send the attempt that waits for it."""
        attempt, connection.reserved_for = connection.reserved_for, None
        if attempt is None:
            return
        if not connection.may_send_attempt(attempt):
            connection.close()
            attempt.end(self.unsent_outcome())
        elif connection.is_reusable():
            connection.send(attempt)
        else:
            connection.close()
            attempt.connection = None
            self._assign_connection(attempt)

    async def _connect(self, connection: Connection) -> None:
        while True:
            try:
                await self._loop.create_connection(lambda: connection, *connection.host.address)
                return
            except OSError as error:
                connection.local_error = error.errno in LOCAL_ERRNOS
                if not connection.local_error:
                    break
                event(log, "connect_failed", host=connection.host.address[1], errno=error.errno,
                      why="this machine's trouble")
            await asyncio.sleep(LOCAL_ERROR_RETRY_S)   # `_on_connect_timeout` ends the loop
        connection.task = None
        connection.abandon(Outcome.CONNECT_FAILED)

    def _on_connect_timeout(self, connection: Connection) -> None:
        if connection.transport is None:
            connection.abandon(Outcome.MOOT if connection.local_error else Outcome.CONNECT_FAILED)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt: its connection is closed, and nothing more of it is sent."""
        self._end_attempt(attempt, Outcome.CANCELLED)

    def expire(self, attempt: Attempt) -> None:
        """The attempt's deadline has passed.  It has timed out if it was sent; otherwise it never ran."""
        if attempt.response_started_at or (attempt.connection is not None and attempt.connection.start_streaming()):
            return   # a streamed response has no deadline
        self._end_attempt(attempt, Outcome.TIMEOUT if attempt.may_have_run() else Outcome.CONNECT_FAILED)

    def _on_write_deadline(self, attempt: Attempt) -> None:
        """Stop a retry whose last byte is still here: its host would begin it after the retry window."""
        if attempt.done or attempt.has_arrived():
            return
        if attempt.connection is None or attempt.connection.has_unsent():
            self._stop_late(attempt)
        else:
            attempt.timers.append(self.timers.after(CONFIRMATION_DELAY_NS, self._on_confirmation_due, attempt))

    def _on_confirmation_due(self, attempt: Attempt) -> None:
        """Stop a retry that was sent in time and is still not confirmed: the network may deliver it much later."""
        if not attempt.done and not attempt.has_arrived():
            self._stop_late(attempt)

    def _stop_late(self, attempt: Attempt) -> None:
        """End a retry at its write deadline; not the host's fault, as it may have had only some milliseconds."""
        self._end_attempt(attempt, Outcome.CANCELLED if attempt.may_have_run() else Outcome.MOOT)

    def _end_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.connection is not None:
            attempt.connection.abandon(outcome)
        else:
            attempt.end(outcome)

    def wait_for_room(self, connection: Connection) -> None:
        """A connection waits until there is memory for its response."""
        if not self._waiting_for_room:
            self.timers.after(ROOM_POLL_INTERVAL_NS, self._poll_room, None)
        self._waiting_for_room[connection] = None
        self.responses_delayed += 1

    def _poll_room(self, _: None) -> None:
        for connection in list(self._waiting_for_room):
            if connection.read_on_if_room():
                self._waiting_for_room.pop(connection, None)
        if self._waiting_for_room:
            self.timers.after(ROOM_POLL_INTERVAL_NS, self._poll_room, None)

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool after a complete response."""
        host = connection.host
        if not host.ready or connection.incarnation != host.incarnation:
            connection.close()
            return
        connection.idle_since = now_ns()
        host.idle.append(connection)
        if len(host.idle) > MAX_IDLE_PER_HOST:
            host.idle.pop(0).close()

    def remove(self, connection: Connection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)
        if connection.connect_timer is not None:
            self.timers.discard(connection.connect_timer)
        connection.release_memory()
        if connection in connection.host.idle:
            connection.host.idle.remove(connection)

    def close_surplus_idle(self) -> None:
        """Close idle connections above the limit, which may have been lowered."""
        while len(self._connections) > self.max_connections and self._close_oldest_idle():
            pass

    def _close_oldest_idle(self) -> bool:
        """Close the connection that has been idle longest; False if none is idle."""
        idle = [host for host in self._hosts.values() if host.idle]
        if not idle:
            return False
        connection = min(idle, key=lambda host: host.idle[0].idle_since).idle.pop(0)
        self._connections.discard(connection)
        connection.close()
        return True

    def _drop_idle(self, host: Host) -> None:
        for connection in host.idle:
            connection.close()
        host.idle.clear()

    def close_idle(self, host_id: HostId) -> None:
        """Close the idle connections to a host (the action `close`)."""
        host = self._hosts.get(host_id)
        if host is not None:
            self._drop_idle(host)

    def sweep(self, now: int) -> None:
        """Close connections idle for too long, well before the host does, and abort stalled streams."""
        for connection in [connection for connection in self._connections if connection.stalled(now)]:
            log.warning("closing a stalled stream to or from host %s", connection.host.address)
            connection.abandon(Outcome.RESET if connection.written else Outcome.CONNECT_FAILED)
        for host in self._hosts.values():
            while host.idle and now - host.idle[0].idle_since >= self._idle_timeout_ns:
                host.idle.pop(0).close()

    def close(self) -> None:
        """Close all connections as the process exits."""
        self._hosts.clear()
        for connection in list(self._connections):
            connection.close()
