"""Host connections: the pool, attempts and their outcomes.

An attempt has a connection to itself until it ends.  Its outcome follows from one question, whether the
request's last byte had been written to the socket: before that it cannot have run, after it, it may have.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import Any, cast

import httptools

from bridgesaddle.api import MS, SECOND, HostId, HostState, Outcome

from .attempt import Attempt, Header, Response
from .body import PIECE, Body, StreamBudget
from .events import event
from .stats import Stats
from .syscalls import pending_events, write_before
from .timers import Timers, now_ns
from .transient import LOCAL_ERRNOS
from .update_parser import ListedHost

log = logging.getLogger("gateway.upstream")

MAX_BODY = 64 * 1024
"""Longest body of a message that is collected whole, bytes; past that it is streamed."""
MAX_LONG = 32 * 1024 * 1024
"""Longest body of any message, bytes."""
UNKNOWN_LENGTH_BUFFER_NS = 100 * MS
"""An answer whose length is not told is collected for so long: a long one's first bytes are waited for."""
STREAM_STALL_TIMEOUT_NS = 10 * SECOND
"""Longest time for a streamed message without any progress, while the other side could go on."""
MAX_HEAD_BYTES = 16 * 1024
"""Longest head of an answer, bytes."""
IDLE_PART = 0.6
"""Part of the host's idle time-out for which a connection is kept: well before the host closes it."""
IDLE_DEFAULT = 10 * SECOND
REUSE_DELAY_NS = 5 * MS
"""For so long after its answer a connection is not used again.

A broken host may answer twice, the second time some milliseconds late: that would be taken for the next answer.
"""
OWN_TROUBLE_S = 0.01
"""A connection that fails for a reason on this machine is tried again after so long."""
KEPT_PER_HOST = 16
"""Idle connections kept to one host."""
HOP_BY_HOP = frozenset((b"connection", b"keep-alive", b"proxy-authenticate", b"proxy-authorization", b"te",
                        b"trailer", b"transfer-encoding", b"upgrade", b"content-length", b"expect",
                        b"proxy-connection"))
"""Headers that concern one connection, or that the gateway words itself."""

SEND_CHECK_VALID_NS = 5 * MS
"""An attempt is asked once more whether it may go out where that was asked longer ago: the process may have been
stopped between the decision and the write."""
LOAD = b"x-server-load"


class Host:
    """A host as discovery last told of it, and the idle connections to it, newest last."""

    __slots__ = ("address", "idle", "incarnation", "ready", "started")

    def __init__(self) -> None:
        self.address = ("", 0)
        self.started = 0
        self.ready = False
        self.incarnation = 0
        self.idle: list[Connection] = []


class Connection(asyncio.BufferedProtocol):
    """One connection to a host; it carries one attempt at a time."""

    _piece = memoryview(bytearray(PIECE))   # one for all: what is read is parsed before the next read

    def __init__(self, pool: Upstream, host: Host, attempt: Attempt) -> None:
        self._pool = pool
        self.host = host
        self.incarnation = host.incarnation
        self.attempt: Attempt | None = attempt
        self.booked: Attempt | None = None
        self.task: asyncio.Task[None] | None = None
        self.transport: asyncio.Transport | None = None
        self.idle_at = 0
        self.own_trouble = False   # it does not come up for a reason on this machine: nothing against the host
        self._parser: Any = httptools.HttpResponseParser(self)
        self._written = False
        self._fd = -1
        self._body_out: Body | None = None   # a long body that goes out on this connection
        self._paused = False
        self.write_blocked = False
        self.moved = now_ns()    # when a stream last made progress
        self._reset()

    def _reset(self) -> None:
        self._length: int | None = None
        self._chunked = False
        self._stream = False
        self._waits = False
        self._headers: list[Header] = []
        self._body = bytearray()
        self._size = 0
        self._raw = 0
        self._head_done = False
        self._complete = False
        self._keep_alive = False
        self._broken = ""

    # The transport's side.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Guards against a late connect: what is no longer wanted by now is not sent."""
        self.transport = cast(asyncio.Transport, transport)   # uvloop has its own kind
        self.task = None   # its result refers to this connection
        self._fd = transport.get_extra_info("socket").fileno()
        self.transport.set_write_buffer_limits(high=0)   # pause_writing: a part is not yet written
        attempt = self.attempt
        if attempt is not None and self.may_carry(attempt):
            self._write(attempt)
        else:
            self.give_up(self._pool.unsent())

    def may_carry(self, attempt: Attempt) -> bool:
        """Whether an attempt that has waited for this connection is still wanted, and here."""
        attempt.checked = now_ns()
        self._pool.before_send()
        if attempt.done:
            return False
        if not self.host.ready or self.incarnation != self.host.incarnation:
            self._pool.stats.sends_stopped += 1
            return False
        return self._pool.may_send() and now_ns() < min(attempt.expires_at, attempt.begin_by) and not attempt.unwanted()

    def book(self, attempt: Attempt) -> None:
        """An attempt that goes out here once the connection has rested."""
        self.booked = attempt
        self._written = False
        attempt.conn = self

    def fresh(self) -> bool:
        """Guards against an end or bytes that wait unread: the next request would get them for its answer."""
        return self.transport is not None and not self.transport.is_closing() and not pending_events(self.transport)

    def send(self, attempt: Attempt) -> None:
        """Write an attempt to a connection that stood idle."""
        self._reset()
        self.attempt = attempt
        attempt.conn = self
        self._write(attempt)

    def _may_still(self, attempt: Attempt) -> bool:
        """Whether an attempt may go out, asked anew where that was asked too long ago.

        Its time is looked at always: a decision may be of this moment and its request's deadline long past.
        """
        now = now_ns()
        return now < attempt.expires_at and (now - attempt.checked <= SEND_CHECK_VALID_NS or self.may_carry(attempt))

    def _write(self, attempt: Attempt) -> None:
        transport = self.transport
        assert transport is not None
        self._written = False
        self.write_blocked = False
        self._body_out = attempt.body
        while self._may_still(attempt):
            now = self.moved = now_ns()   # the last look but one, by which the time left is worded
            message = attempt.message(now)
            # What is decided and worded is written at once or not at all: guards against a stop in between.  So ahead
            # of the transport, whose own way to the socket is much longer.
            sent = -1 if transport.is_closing() \
                else write_before(self._fd, message, min(attempt.checked, now) + SEND_CHECK_VALID_NS)
            if sent >= 0:
                if sent < len(message):
                    transport.write(message[sent:])
                if attempt.body is not None:
                    self._begin_body(transport, attempt.body)
                else:
                    self._flushed()
                return
            if transport.is_closing():
                break
        self.give_up(Outcome.MOOT)

    def _begin_body(self, transport: asyncio.Transport, body: Body) -> None:
        """Send what has come of a long body; the rest follows as it comes."""
        start = body.attach(self)
        if start:
            self.write_body(start)
        if body.complete:
            self.finish_body()
        body.steer()

    def _flushed(self) -> None:
        """Ask whether the last byte is on the socket."""
        transport = self.transport
        assert transport is not None
        # With a limit of 0 the transport tries the socket at once; what is left is only buffered.
        if not transport.is_closing() and not transport.get_write_buffer_size():
            self._whole()

    def write_body(self, data: bytes) -> None:
        """Some more of a long body."""
        body, transport = self._body_out, self.transport
        if body is not None and transport is not None and not transport.is_closing():
            transport.write(b"%x\r\n%b\r\n" % (len(data), data) if body.length is None else data)
            if not self.write_blocked:
                self.moved = now_ns()

    def finish_body(self) -> None:
        """A long body has come whole."""
        body, transport = self._body_out, self.transport
        if body is not None and transport is not None and not transport.is_closing():
            if body.length is None:
                transport.write(b"0\r\n\r\n")
            self._flushed()

    def pause_writing(self) -> None:
        """The host does not take what it is given: the client waits too."""
        self.write_blocked = True
        if self._body_out is not None:
            self._body_out.steer()

    def resume_writing(self) -> None:
        """The buffer is empty: what was given is on the socket, up to the last byte if that has come."""
        self.write_blocked = False
        self.moved = now_ns()
        if self._body_out is None or self._body_out.complete:
            self._whole()
        if self._body_out is not None:
            self._body_out.steer()

    def _whole(self) -> None:
        if not self._written:
            self._written = True
            if self._body_out is not None and self.attempt is not None:
                self.attempt.started = now_ns()   # a host begins once the last byte has come
            if self.attempt is not None and not self.attempt.probe:
                self._pool.stats.upstream_requests += 1

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._piece[:self._pool.stream_budget.read_bytes()] if self._stream else self._piece

    def buffer_updated(self, nbytes: int) -> None:
        self.moved = now_ns()
        self.data_received(self._piece[:nbytes])

    def data_received(self, data: memoryview) -> None:
        """Feed the answer; what comes without a request waiting spoils the connection."""
        if self.attempt is None or self._parser is None:
            log.warning("unasked bytes from %s", self.host.address)
            self._close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._broken = "upgrade"
        except httptools.HttpParserError as error:
            self._broken = str(error) or "malformed"
        if not self._head_done:
            self._raw += len(data)   # guards against a head without end, which shows no header
            if self._raw > 2 * MAX_HEAD_BYTES:
                self._broken = "a head too long"
        self._judge()

    def eof_received(self) -> None:
        """The host has ended its sending, which ends an answer that tells no length."""
        if self.attempt is not None and self._head_done and self._length is None and not self._chunked \
                and not self._broken and not self._complete:
            self._complete = True
            self._judge()

    def connection_lost(self, exc: Exception | None) -> None:
        """Broken: before the last byte was written it cannot have run, after that it may have."""
        self._pool.lost(self)
        self._parser = None   # it refers to this connection: a cycle, which would stay until it is collected
        attempt, self.attempt = self.attempt, None
        self._detach()
        if attempt is not None:
            attempt.end(Outcome.RESET if self._written else Outcome.CONNECT_FAILED)
        self._pool.rested(self)

    # The parser's side: it only notes, as what a callback raises would be lost in the parser.

    def on_message_begin(self) -> None:
        if self._complete:
            self._broken = "more than one answer"

    def on_header(self, name: bytes, value: bytes) -> None:
        self._size += len(name) + len(value)
        if self._size > MAX_HEAD_BYTES:
            self._broken = "a head too long"
        elif not self._head_done:   # trailers are no headers
            self._headers.append((name, value.strip(b" \t")))   # the parser leaves white space behind it

    def on_headers_complete(self) -> None:
        self._head_done = True
        for name, value in () if self._complete else self._headers:
            lower = name.lower()
            if lower == b"transfer-encoding":
                self._chunked = True
            elif lower == b"content-length":
                if not value.isdigit() or int(value[:20]) > MAX_LONG:
                    self._broken = "a body too long"
                else:
                    self._length = int(value)

    def on_body(self, body: bytes) -> None:
        if self._complete:
            return
        self._body += body

    def on_message_complete(self) -> None:
        if self._parser.get_status_code() < 200:   # interim: the answer is still to come
            self._headers.clear()
            self._head_done = False
            self._length, self._chunked = None, False
        elif not self._broken:   # guards against passing on what is whole but can't be right
            self._complete = True
            # Asked here: guards against connections never reused, as the parser has forgotten it afterwards.
            self._keep_alive = self._parser.should_keep_alive()

    # What follows.

    def _judge(self) -> None:
        attempt = self.attempt
        if attempt is None:
            return
        long = self._stream or len(self._body) > MAX_BODY or (self._length or 0) > MAX_BODY
        if self._body and long and not self._broken and not self._pass_on(attempt):
            return
        if self._body and not long and not self._complete and self._length is None and not self._waits:
            self._waits = True
            left = max(0, attempt.expires_at - now_ns())   # held until then it would be cut, however long it is
            self._pool.timers.after(min(UNKNOWN_LENGTH_BUFFER_NS, left // 4), self._overdue, attempt)
        if not self._complete:
            if self._broken:
                log.warning("spoilt answer from %s: %s", self.host.address, self._broken)
                self.give_up(Outcome.RESET)
            return
        status = self._parser.get_status_code()
        answer = Response(status, self._headers, bytes(self._body))
        outcome = _outcome(answer)
        attempt.load = next((value for name, value in answer.headers if name.lower() == LOAD), b"")
        self.attempt = None
        self._detach()
        attempt.conn = None
        if self._written and not self._broken and self._keep_alive:
            self.pause(False)
            self._pool.keep(self)
        else:
            self._close()
        attempt.end(outcome, answer if outcome is Outcome.OK and not self._stream else None)

    def _pass_on(self, attempt: Attempt) -> bool:
        """A long answer goes on as it comes; False once the attempt is over."""
        if not self._stream:
            status = self._parser.get_status_code()
            if status != 200 or attempt.receiver is None:
                self._broken = "a body too long"
                return True
            self._stream = True
            attempt.load = next((value for name, value in self._headers if name.lower() == LOAD), b"")
            attempt.begun = now_ns()
            if not attempt.receiver.begin_response(attempt, Response(status, self._headers, b""), self._length):
                return False
        data = bytes(self._body)
        self._body.clear()
        if attempt.receiver is not None and not attempt.done:
            attempt.receiver.write_body(attempt, data)
        return not attempt.done

    def _overdue(self, attempt: Attempt) -> None:
        if self.attempt is attempt and not self._stream:
            self.commit()

    def commit(self) -> bool:
        """Pass on what has come of an answer whose length is not told: it may be a long one."""
        attempt = self.attempt
        if attempt is None or attempt.receiver is None or not self._body or self._broken \
                or self._length is not None or self._parser.get_status_code() != 200:
            return False
        self._pass_on(attempt)
        return True

    def pause(self, wanted: bool) -> None:
        """Backpressure: the answer waits at the host while its client does not take it."""
        if wanted != self._paused and self.transport is not None and not self.transport.is_closing():
            self._paused = wanted
            self.moved = now_ns()
            if wanted:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def stalled(self, now: int) -> bool:
        """Whether a stream has made no progress for too long though the other side could go on."""
        waits = (self._stream and not self._paused) or (self._body_out is not None and self.write_blocked)
        return waits and now - self.moved > STREAM_STALL_TIMEOUT_NS

    def _detach(self) -> None:
        body, self._body_out = self._body_out, None
        if body is not None:
            body.detach(self)

    def give_up(self, outcome: Outcome) -> None:
        """End the attempt and close; buffered bytes of it are thrown away, never sent later."""
        attempt, self.attempt, self.booked = self.attempt or self.booked, None, None
        self._detach()
        self._close()
        if attempt is not None:
            attempt.end(outcome)

    def written(self) -> bool:
        """Whether the request's last byte is on the socket."""
        return self._written

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.abort()
        else:
            self._pool.lost(self)
            if self.task is not None:
                self.task.cancel()

    close = _close


def _outcome(answer: Response) -> Outcome:
    """PROTOCOL's table; what it does not foresee may have run."""
    if answer.status == 200:
        return Outcome.OK
    if answer.status in (503, 504):
        marks = [value for name, value in answer.headers if name.lower() == b"x-not-processed"]
        if marks == [b"1"]:
            return Outcome.FULL
    return Outcome.REJECTED if answer.status == 400 else Outcome.ERROR


class Upstream:
    """All connections to hosts, within one bound; it sends what it is given and nothing by itself."""

    def __init__(self, loop: asyncio.AbstractEventLoop, timers: Timers, max_connections: int,
                 connect_timeout_ns: int, idle_ns: int, stats: Stats, stream_budget: StreamBudget) -> None:
        self._loop = loop
        self.stream_budget = stream_budget
        self.stats = stats
        self.timers = timers
        self.max_connections = max_connections
        self.before_send: Callable[[], None] = lambda: None   # what discovery has written is read
        self.may_send: Callable[[], bool] = lambda: True      # whether the list may be followed
        self.on_settings(connect_timeout_ns, idle_ns)
        self._hosts: dict[HostId, Host] = {}
        self._connections: set[Connection] = set()
        self.connections_opened = 0

    def on_settings(self, connect_timeout_ns: int, idle_ns: int) -> None:
        """How long a connection may take to come up, and after how long hosts close it; 0: not told."""
        self._connect_timeout = connect_timeout_ns or 250 * MS
        self._idle = int(idle_ns * IDLE_PART) if idle_ns else IDLE_DEFAULT

    def apply(self, whole: bool, listed: Iterable[ListedHost]) -> None:
        """Take in the list before anything more is sent; connections to what is gone are dropped."""
        seen = set()
        for entry, address in listed:
            seen.add(entry.host)
            self._learn(entry.host, address, entry.started_ns, entry.state)
        if whole:
            for host_id in [known for known in self._hosts if known not in seen]:
                self._learn(host_id, self._hosts[host_id].address, 0, HostState.GONE)

    def _learn(self, host_id: HostId, address: tuple[str, int], started: int, state: HostState) -> None:
        host = self._hosts.setdefault(host_id, Host())
        ready = state is HostState.READY
        if ready is not host.ready or started != host.started:
            event(log, "host_state", host=host_id, state=state.name, at=address[1], started=started)
        host.ready = ready
        if state is HostState.GONE:
            host.incarnation += 1
            del self._hosts[host_id]
        elif address != host.address or (started and started != host.started):
            # Guards against a restarted host: its old sockets are dead, and say nothing until they are used.
            host.incarnation += 1
            host.address, host.started = address, started
        if host.idle and (not host.ready or host.idle[0].incarnation != host.incarnation):
            self._drop_idle(host)

    @property
    def host_count(self) -> int:
        """Hosts in the list."""
        return len(self._hosts)

    def start(self, attempt: Attempt) -> None:
        """Send an attempt on the newest idle connection that has rested, or on the first to do so or to come up."""
        if attempt.begin_by < attempt.expires_at:
            self.timers.at(attempt.begin_by, self._too_late, attempt)
        self._place(attempt)

    def _place(self, attempt: Attempt) -> None:
        host = self._hosts.get(attempt.host)
        if host is None or not host.ready:
            self.stats.sends_stopped += 1
            attempt.end(Outcome.CONNECT_FAILED)
            return
        now = now_ns()
        rested = now - REUSE_DELAY_NS
        stale = now - self._idle   # its host may close it in this moment, and the sweep comes late
        for at in range(len(host.idle) - 1, -1, -1):
            if host.idle[at].idle_at <= rested:
                conn = host.idle.pop(at)
                if conn.idle_at > stale and conn.fresh():
                    conn.send(attempt)
                    return
                conn.close()
        if host.idle:   # it rests for less time than a new connection would take of its host's
            conn = host.idle.pop(0)
            conn.book(attempt)
            self.timers.at(conn.idle_at + REUSE_DELAY_NS, self.rested, conn)
            return
        if len(self._connections) >= self.max_connections and not self._evict():
            log.warning("no room for a connection: %d open", len(self._connections))
            attempt.end(Outcome.CONNECT_FAILED)
            return
        conn = attempt.conn = Connection(self, host, attempt)
        self._connections.add(conn)
        self.connections_opened += 1
        conn.task = self._loop.create_task(self._connect(conn))
        self.timers.after(self._connect_timeout, self._connect_overdue, conn)

    def unsent(self) -> Outcome:
        """Of an attempt that was stopped before its write: nothing against its host if only the list is too old."""
        return Outcome.CONNECT_FAILED if self.may_send() else Outcome.MOOT

    def rested(self, conn: Connection) -> None:
        """A connection has rested, or has broken meanwhile: the attempt that waits for it goes out."""
        attempt, conn.booked = conn.booked, None
        if attempt is None:
            return
        if not conn.may_carry(attempt):
            conn.close()
            attempt.end(self.unsent())
        elif conn.fresh():
            conn.send(attempt)
        else:
            conn.close()
            attempt.conn = None
            self._place(attempt)

    async def _connect(self, conn: Connection) -> None:
        while True:
            try:
                await self._loop.create_connection(lambda: conn, *conn.host.address)
                return
            except OSError as error:
                conn.own_trouble = error.errno in LOCAL_ERRNOS
                if not conn.own_trouble:
                    break
                event(log, "connect_failed", host=conn.host.address[1], errno=error.errno, why="this machine's trouble")
            await asyncio.sleep(OWN_TROUBLE_S)   # `_connect_overdue` ends it
        conn.task = None
        conn.give_up(Outcome.CONNECT_FAILED)

    def _connect_overdue(self, conn: Connection) -> None:
        if conn.transport is None:
            conn.give_up(Outcome.MOOT if conn.own_trouble else Outcome.CONNECT_FAILED)

    def cancel(self, attempt: Attempt) -> None:
        """Stop an attempt: its connection closes, and nothing of it is sent any more."""
        self._stop(attempt, Outcome.CANCELLED)

    def expire(self, attempt: Attempt) -> None:
        """The attempt's time is up.  It has timed out if it was sent, else it never ran."""
        if attempt.begun or (attempt.conn is not None and attempt.conn.commit()):
            return   # the host still gives: nothing of a long answer is cut
        self._stop(attempt, Outcome.TIMEOUT if attempt.written() else Outcome.CONNECT_FAILED)

    def _too_late(self, attempt: Attempt) -> None:
        """A copy of which the last byte is not written by now would be begun past the window for repeats."""
        if not attempt.done and not attempt.written():
            self._stop(attempt, Outcome.MOOT)   # nothing against a host that may have had some milliseconds only

    def _stop(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.conn is not None:
            attempt.conn.give_up(outcome)
        else:
            attempt.end(outcome)

    def keep(self, conn: Connection) -> None:
        """Take back a connection whose answer has come whole."""
        host = conn.host
        if not host.ready or conn.incarnation != host.incarnation:
            conn.close()
            return
        conn.idle_at = now_ns()
        host.idle.append(conn)
        if len(host.idle) > KEPT_PER_HOST:
            host.idle.pop(0).close()

    def lost(self, conn: Connection) -> None:
        """Forget a connection that is closed."""
        self._connections.discard(conn)
        if conn in conn.host.idle:
            conn.host.idle.remove(conn)

    def close_surplus_idle(self) -> None:
        """Close idle connections above the bound, which may have fallen."""
        while len(self._connections) > self.max_connections and self._evict():
            pass

    def _evict(self) -> bool:
        """Close the connection that has been idle longest, to make room for one that is needed."""
        idle = [host for host in self._hosts.values() if host.idle]
        if not idle:
            return False
        conn = min(idle, key=lambda host: host.idle[0].idle_at).idle.pop(0)
        self._connections.discard(conn)
        conn.close()
        return True

    def _drop_idle(self, host: Host) -> None:
        for conn in host.idle:
            conn.close()
        host.idle.clear()

    def close_idle(self, host_id: HostId) -> None:
        """The module's `close`."""
        host = self._hosts.get(host_id)
        if host is not None:
            self._drop_idle(host)

    def sweep(self, now: int) -> None:
        """Close what has stood idle, clearly before the host does, and streams that stand still."""
        for conn in [conn for conn in self._connections if conn.stalled(now)]:
            log.warning("a stream to or from %s stands still", conn.host.address)
            conn.give_up(Outcome.RESET if conn.written() else Outcome.CONNECT_FAILED)
        for host in self._hosts.values():
            while host.idle and now - host.idle[0].idle_at >= self._idle:
                host.idle.pop(0).close()

    def close(self) -> None:
        """End everything; the program is over."""
        self._hosts.clear()
        for conn in list(self._connections):
            conn.close()
