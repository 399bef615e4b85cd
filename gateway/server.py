"""The client side: connections of clients, parsed into requests.  Checks: checks.py; answers: exchange.py."""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
from collections import deque
from typing import Any, cast

import httptools

from bridgesaddle.api import MS, SECOND, Settings

from .attempt import Header
from .body import PIECE, Body, StreamBudget
from .checks import BadRequest, Checks
from .core import Core
from .events import event
from .exchange import Exchange
from .stats import Stats
from .syscalls import CONNECTION_LOST_EVENTS, PEER_CLOSED_EVENTS, pending_events
from .timers import Timers, now_ns
from .upstream import MAX_BODY, MAX_LONG, STREAM_STALL_TIMEOUT_NS

log = logging.getLogger("gateway.server")

MAX_HEAD_BYTES = 16 * 1024
"""Longest head of a request, bytes."""
MAX_HEADERS = 100
MAX_PIPELINED = 8
"""Requests of one connection that are worked on at once; past that it is read no further."""
HEAD_TIMEOUT_NS = 2400 * MS
"""Longest time for a head to arrive, the first counted from connecting.

A client may take 2 s for it.  Whoever sends nothing that could be answered is owed an error or a close within
3 s.
"""
BODY_START = 1600 * MS
BODY_RATE = 32 * 1024
"""After so long a body has to come at this rate, bytes a second: half of what a slow client makes."""
SPARE = 16
"""Connections above the bound that are still told, by a refusal, that there is no room."""
UNREAD = 30 * MS
"""So often it is asked whether a client has gone whose connection is not read; `LEAVING` of core.py comes on top."""
IDLE_TIMEOUT_NS = 90 * SECOND
DRAIN_IDLE_TIMEOUT_NS = 2 * SECOND
"""A drained connection is closed after so long between requests: sooner, the close would cross requests."""
NEW_CONNECTION_GRACE_NS = 100 * MS
"""A connection on which nothing has come for less makes no room for another."""
LINGER_TIMEOUT_NS = 1 * SECOND
"""How long what still arrives is thrown away after an error, so that the client can read it."""
READY = b"/health/ready"


class ClientConnection(asyncio.BufferedProtocol):
    """One connection of a client."""

    _piece = memoryview(bytearray(PIECE))   # one for all: what is read is parsed before the next read

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self._parser: Any = httptools.HttpRequestParser(self)
        self._exchanges: deque[Exchange] = deque()
        self._error: BadRequest | None = None
        self.discarding = False       # framing is lost or the last request is in: what comes is thrown away
        self._ended = False      # the client has ended its sending, and all of it is read
        self.leaving = False        # it has ended its sending, whether or not all of it is read
        self._paused = False
        self._asked_for = PIECE   # bytes, by the read that goes on
        self.state_since = now_ns()    # when what is being waited for began
        self.unread_since = 0   # its first request may have come this early, before it was accepted
        self._looked_at = 0      # when it was last asked what lies unread, while it is not read
        self._unread_since = 0   # what is read next may have come this early
        self._asked = False      # a whole request has come
        self.lingering = False
        self.surplus = False     # there was no room for it: its request is refused unsent
        self._write_blocked_since = 0
        self._unsent = 0         # of what it does not take
        self._current: Exchange | None = None   # of a long request that is still coming
        self._coming: Body | None = None
        self._expecting = False  # the client waits for an interim answer before it sends its body
        self._start()

    def _start(self) -> None:
        self._length: int | None = None
        self._received = 0
        self._body_started_at = 0     # when the body began, later by the time it was not read
        self._paused_at = 0
        self._current = self._coming = None
        self._expecting = False
        self._target = b""
        self._headers: list[Header] = []
        self._body = bytearray()
        self._size = 0
        self._in_head = False
        self._in_message = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)   # uvloop has its own kind
        self.transport.set_write_buffer_limits(high=PIECE // 2)
        self.unread_since = self.server.core.accepted()
        self.server.add_connection(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """The client has gone; what it was owed is owed no more."""
        self.server.remove_connection(self)
        self._parser = None   # it refers to this connection: a cycle, which would stay until it is collected
        exchanges = list(self._exchanges)
        self._exchanges.clear()
        for exchange in exchanges:
            self._forsake(exchange)

    def _forsake(self, exchange: Exchange) -> None:
        """What it was owed is owed no more."""
        if not exchange.done:
            self.server.forget(exchange.id)
            event(log, "client_left", request=exchange.id, ended_sending=self.leaving,
                  waited_ns=now_ns() - exchange.since, written=bool(exchange.begun))
            if exchange.request is not None:
                self.server.core.on_gone(exchange.request)

    def get_buffer(self, sizehint: int) -> memoryview:
        piece = self._piece[:self.server.stream_budget.read_bytes()] if self._coming is not None else self._piece
        self._asked_for = len(piece)
        return piece

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(self._piece[:nbytes])
        if nbytes < self._asked_for:   # nothing older is left
            self._unread_since = 0

    def came_since(self) -> int:
        """From when on the request that has just been read may have waited unread; 0: it has not."""
        accepted, self.unread_since = self.unread_since, 0
        return min(filter(None, (accepted, self._unread_since)), default=0)

    def data_received(self, data: memoryview) -> None:
        parser = self._parser
        if self.discarding or parser is None:
            return
        try:
            parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._decline_upgrade()
        except httptools.HttpParserError as error:
            self._error = self._error or BadRequest(400, f"malformed: {error}")
        if self._in_head and self._error is None:
            self._size += len(data)   # guards against a head without end, which shows no header
            if self._size > 2 * MAX_HEAD_BYTES:
                self._error = BadRequest(431, "a head too long")
        if self._error is not None and not self.discarding:
            self._reject(self._error)
        if self._coming is not None or len(self._body) > MAX_BODY:
            self._stream()
            self.steer()
        elif len(self._exchanges) >= MAX_PIPELINED:
            self.steer()

    def _stream(self) -> None:
        """A body too long to be collected: its request is taken now, the rest passed on as it comes."""
        if self._error is not None or self.discarding or not self._in_message:
            return
        if self._coming is None:
            self._coming = Body(self._length, bytes(self._body), self.steer)
            self._body.clear()
            self._current = Exchange(self, not self._parser.should_keep_alive(),
                                     self._parser.get_http_version() == "1.0")
            self._exchanges.append(self._current)
            self._take(self._current, b"", self._coming)
            if self._current is not None and self._current.request is None:
                self._coming.drop()   # it is answered: what still comes is thrown away
        elif self._body:
            data = bytes(self._body)
            self._body.clear()
            self._coming.feed(data)

    def steer(self) -> None:
        """Backpressure: read on only while what comes finds a place."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        wanted = bool(len(self._exchanges) >= MAX_PIPELINED or self._write_blocked_since
                      or (self._coming is not None and self._coming.full)) and not self.lingering
        if wanted and not self._paused:
            self._paused_at = self._looked_at = now_ns()
            transport.pause_reading()
            self.server.paused(self)
        elif self._paused and not wanted:
            self._body_started_at += now_ns() - self._paused_at
            transport.resume_reading()
        self._paused = wanted

    def look_unread(self) -> bool:
        """While nothing is read an end stays unseen: it is asked for.  False once there is nothing more to look for.

        So is whether bytes wait: the time of their requests runs.
        """
        transport = self.transport
        if not self._paused or self.leaving or transport is None or transport.is_closing():
            return False
        looked_at, self._looked_at = self._looked_at, now_ns()
        events = pending_events(transport)
        if events and not self._unread_since:
            self._unread_since = looked_at
        if events & CONNECTION_LOST_EVENTS:
            transport.abort()
        elif events & PEER_CLOSED_EVENTS:
            self._leave()
        return not events & PEER_CLOSED_EVENTS

    def has_left(self) -> bool:
        """Whether the client has ended its sending, read or not."""
        transport = self.transport
        return self.leaving or transport is None or transport.is_closing() \
            or bool(pending_events(transport) & PEER_CLOSED_EVENTS)

    def _leave(self) -> None:
        """The client has ended its sending: what is out may still be answered, nothing more is sent."""
        self.leaving = True
        for exchange in list(self._exchanges):
            if not exchange.begun and exchange.request is not None:
                self.server.core.on_half_closed(exchange.request)

    def _decline_upgrade(self) -> None:
        """Answered as if it had not been asked for; as the parser reads no further, the connection ends."""
        self.discarding = True
        if self._exchanges and not self._exchanges[-1].begun:
            self._exchanges[-1].close = True
        else:
            self._linger()

    def _reject(self, error: BadRequest) -> None:
        """Framing is lost: one answer, in its turn, and the connection closes."""
        self.discarding = True
        event(log, "client_rejected", status=error.status, why=error.why)
        exchange, self._current, self._coming = self._current, None, None
        if exchange is None or exchange.done:   # an answer may come before the end of its request
            exchange = Exchange(self, close=True)
            self._exchanges.append(exchange)
        elif exchange.begun:
            self.cut()
            return
        else:   # it is answered here: neither the host nor the module goes on with it
            if exchange.request is not None:
                self.server.core.on_gone(exchange.request)
            exchange.close = True
        exchange.respond(error.status, [], error.why.encode() + b"\n")

    # The parser's side: it only notes, as what a callback raises would be lost in the parser.

    def on_message_begin(self) -> None:
        self._start()
        self._in_head = self._in_message = True
        if self._asked:   # else its time began when it connected
            self.state_since = now_ns()

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._count(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count(len(name) + len(value) + 4)
        if self._error is None and self._in_head:   # trailers could name another id, or hide a second length
            self._headers.append((name, value.strip(b" \t")))   # the parser leaves white space behind it

    def _count(self, size: int) -> None:
        self._size += size
        if self._size > MAX_HEAD_BYTES or len(self._headers) >= MAX_HEADERS:
            self._error = self._error or BadRequest(431, "a head too long")

    def on_headers_complete(self) -> None:
        self._in_head = False
        lengths = [value for name, value in self._headers if name.lower() == b"content-length"]
        coded = any(name.lower() == b"transfer-encoding" for name, _ in self._headers)
        if self._error is not None:
            return
        if lengths and (coded or len(lengths) > 1):
            self._error = BadRequest(400, "contradictory framing")
        elif coded and (self._parser.get_http_version() != "1.1" or any(
                name.lower() == b"transfer-encoding" and value.strip().lower() != b"chunked"
                for name, value in self._headers)):
            self._error = BadRequest(400, "no known transfer coding")
        elif lengths and not lengths[0].isdigit():
            self._error = BadRequest(400, "no usable length")
        elif lengths and int(lengths[0][:20]) > MAX_LONG:
            self._error = BadRequest(413, "a body too long")
        else:
            self._length = int(lengths[0]) if lengths else None
            self._body_started_at = now_ns()
            if (lengths or coded) and any(name.lower() == b"expect" and value.lower() == b"100-continue"
                                          for name, value in self._headers):
                self._expecting = True
                self._go_on()

    def _go_on(self) -> None:
        """Ask for the body that a client holds back, once the answers before it have left."""
        if self._expecting and not self._exchanges and self.transport is not None:
            self._expecting = False
            self._body_started_at = now_ns()
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._expecting = False
        self._received += len(body)
        if self._error is None and self._received > MAX_LONG:
            self._error = BadRequest(413, "a body too long")
            self._body.clear()
        elif self._error is None and not self.discarding:
            self._body += body

    def on_message_complete(self) -> None:
        self._in_message = False
        if self._error is not None or self.discarding:
            return
        self._asked = True
        close = not self._parser.should_keep_alive()
        if self._coming is not None:
            self.discarding = self.discarding or close
            self._end_long()
            return
        self.discarding = close
        exchange = Exchange(self, close, self._parser.get_http_version() == "1.0")
        self._exchanges.append(exchange)
        self._take(exchange, bytes(self._body))
        self._start()

    def _take(self, exchange: Exchange, body: bytes, coming: Body | None = None) -> None:
        try:
            self.server.take(exchange, self._parser.get_method(), self._target, self._headers, body, coming)
        except Exception:   # guards against losing it in the parser, which would take it for bad framing
            log.exception("a request could not be taken")
            if not exchange.begun:
                exchange.failed()

    def _end_long(self) -> None:
        coming, exchange, data = self._coming, self._current, bytes(self._body)
        self._start()
        if coming is not None and exchange is not None:
            if data:
                coming.feed(data)
            if not coming.over:
                coming.finish()
                if exchange.request is not None:
                    self.server.core.on_body_complete(exchange.request)

    # What follows.

    def eof_received(self) -> bool:
        """The client has ended its sending; it may still read, so what it is owed is answered."""
        if self._current is not None and self._in_message and not self.discarding:
            self._reject(BadRequest(400, "the body was cut short"))
        self._ended = self.discarding = True
        self._leave()
        return bool(self._exchanges)

    def flush(self) -> None:
        """Write the answers that are ready, in the order of the requests."""
        transport = self.transport
        while self._exchanges and self._exchanges[0].begun:
            exchange = self._exchanges[0]
            data = b"".join(exchange.parts)
            exchange.parts.clear()
            if data and transport is not None and not transport.is_closing():
                transport.write(data)
            if not exchange.done:
                break
            self._exchanges.popleft()
            self.state_since = now_ns()
            if exchange.close and transport is not None and not transport.is_closing():
                self._linger()
        if transport is None or transport.is_closing():
            return
        for exchange in self._exchanges:
            if exchange.source is not None:   # a long answer waits for its turn, and for its client
                exchange.source.pause(bool(self._write_blocked_since) or exchange is not self._exchanges[0])
        if self._ended and not self._exchanges:
            transport.close()
            return
        if self._expecting:
            self._go_on()
        if self._paused:
            self.steer()

    def answering(self, exchange: Exchange) -> None:
        """An answer is being worded."""
        if exchange is self._current and self._expecting:
            exchange.close = True   # the body it holds back may come or not: framing is lost
        if exchange.close and exchange is not self._current:
            self.discarding = True

    def cut(self) -> None:
        """End before the end of an answer.  A reset, as where only the end tells a close would look whole."""
        if self.transport is not None:
            sock = self.transport.get_extra_info("socket")
            if sock is not None and not self.transport.is_closing():
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()

    def _linger(self) -> None:
        """Guards against a reset that would take the answer with it: end the sending, drain, then close.

        What comes from here on is never sent on: its answer could not be given any more.
        """
        self.discarding = self.lingering = True
        self.state_since = now_ns()
        self.server.lingers(self)
        if self.transport is not None and self.transport.can_write_eof():
            self.transport.write_eof()

    def pause_writing(self) -> None:
        """The client does not read: no more is read from it either."""
        self._write_blocked_since = now_ns()
        self._unsent = 0
        for exchange in self._exchanges:
            if exchange.source is not None:
                exchange.source.pause(True)
        self.steer()

    def resume_writing(self) -> None:
        self._write_blocked_since = 0
        self.flush()

    def last(self, exchange: Exchange) -> bool:
        """Whether nothing has come after this request: guards against closing on one that has."""
        return not self._in_message and bool(self._exchanges) and self._exchanges[-1] is exchange

    @property
    def streams(self) -> int:
        """Long messages that are on their way here."""
        return (self._coming is not None) + sum(item.source is not None for item in self._exchanges)

    def between_requests(self) -> bool:
        """Whether nothing has come that is not answered."""
        return not self._exchanges and not self._in_message

    def sweep(self, now: int) -> None:
        """Guards against slow senders, slow readers and connections that are kept for nothing."""
        if self.transport is None:
            return
        waited = now - self.state_since
        unsent = self.transport.get_write_buffer_size() if self._write_blocked_since else 0
        if unsent != self._unsent:
            self._unsent = unsent
            if self._write_blocked_since:
                self._write_blocked_since = now   # it reads, however slowly
        if self._write_blocked_since and now - self._write_blocked_since > STREAM_STALL_TIMEOUT_NS:
            self.transport.abort()
        elif self.lingering:
            if waited > LINGER_TIMEOUT_NS:
                self.transport.abort() if self._write_blocked_since else self.transport.close()
        elif self._in_message and not self.discarding and self._too_slow(now):
            self._reject(BadRequest(408, "the request was too slow"))
        elif self.between_requests() and waited > self._patience() and not self.retire():
            self.server.sweep_after(NEW_CONNECTION_GRACE_NS, self)   # whatever crosses it may be no request

    def _too_slow(self, now: int) -> bool:
        """Judges the head by its time and the body by its progress, but for the time it was not read."""
        if self._in_head or not self._body_started_at:
            return now - self.state_since > HEAD_TIMEOUT_NS
        if self._paused or self._expecting:
            return False
        return self._received < BODY_RATE * (now - self._body_started_at - BODY_START) / SECOND

    def _patience(self) -> int:
        """How long the connection may be between requests."""
        if not self._asked:
            return HEAD_TIMEOUT_NS
        return DRAIN_IDLE_TIMEOUT_NS if self.server.draining else IDLE_TIMEOUT_NS

    def retire(self) -> bool:
        """End the connection between requests; False where one has come or just crosses, to be read and answered.

        Guards against a close over bytes that are not read: a reset, which may also take the answer before them.
        """
        transport = self.transport
        if transport is None or transport.is_closing() or self.lingering or not self.between_requests() \
                or pending_events(transport):
            return False
        event(log, "client_closed", why="idle too long, drained, or to make room", idle_ns=now_ns() - self.state_since)
        self._linger()
        return True

    def end(self) -> None:
        """The program is about to end: what is between requests ends, what crosses is refused unsent."""
        self.surplus = True
        # one that has just come is about to ask
        if self._asked or now_ns() - self.state_since > NEW_CONNECTION_GRACE_NS:
            self.retire()

    def hurry(self) -> None:
        """Its descriptor is needed: close it now."""
        if self.transport is not None:
            self.transport.close()


class Server:
    """All connections of clients."""

    def __init__(self, core: Core, timers: Timers, settings: Settings, max_connections: int, stats: Stats,
                 stream_budget: StreamBudget) -> None:
        self.core = core
        self._timers = timers
        self._paused: dict[ClientConnection, None] = {}   # those that are not read now
        self._looking = False
        self._lingering: dict[ClientConnection, None] = {}
        self._ending = False
        self.stream_budget = stream_budget
        self.stats = stats
        self.on_settings(settings)
        self.max_connections = max_connections
        self._connections: dict[ClientConnection, None] = {}
        self._ids: set[bytes] = set()   # of the requests that are held
        self.draining = False    # clients are sent away
        self.taken_over = False   # to another process at the same address, which still takes them

    def on_settings(self, settings: Settings) -> None:
        """New settings: whoever comes now is judged by them."""
        self.stats.register_classes(item.name for item in settings.classes)
        self._checks = Checks(settings)

    def new_connection(self) -> ClientConnection:
        """The protocol of a new connection."""
        return ClientConnection(self)

    def add_connection(self, conn: ClientConnection) -> None:
        """Count a connection in; when there are too many, one between requests makes room."""
        self._connections[conn] = None
        conn.surplus = self._ending
        if len(self._connections) - len(self._lingering) > self.max_connections:
            now = now_ns()
            for other in self._connections:   # oldest first; one that has just come is about to ask
                if other is not conn and now - other.state_since > NEW_CONNECTION_GRACE_NS and other.retire():
                    return
            conn.surplus = True
            if len(self._connections) > self.max_connections + SPARE:
                conn.hurry()

    def paused(self, conn: ClientConnection) -> None:
        """A connection is read no further for now."""
        self._paused[conn] = None
        if not self._looking:
            self._looking = True
            self._timers.after(UNREAD, self._look_unread, None)

    def _look_unread(self, _: None) -> None:
        for conn in list(self._paused):
            if not conn.look_unread():
                self._paused.pop(conn, None)
        self._looking = bool(self._paused)
        if self._looking:
            self._timers.after(UNREAD, self._look_unread, None)

    def remove_connection(self, conn: ClientConnection) -> None:
        """Count a connection out."""
        self._connections.pop(conn, None)
        self._lingering.pop(conn, None)

    def lingers(self, conn: ClientConnection) -> None:
        """A connection waits for its client to close; not many may, as each keeps a descriptor."""
        self._lingering[conn] = None
        self.sweep_after(LINGER_TIMEOUT_NS + MS, conn)   # a drain has no time for the next one
        if len(self._lingering) > SPARE and len(self._connections) > self.max_connections:
            oldest = next(iter(self._lingering))
            del self._lingering[oldest]
            oldest.hurry()

    def shut_down(self) -> None:
        """The program is about to end: nothing more is taken; called again until nothing is open."""
        self._ending = True
        for conn in list(self._connections):
            conn.end()

    @property
    def ready(self) -> bool:
        """Whether a request could be served."""
        return self.core.has_hosts and not self.draining

    def take(self, exchange: Exchange, method: bytes, target: bytes, headers: list[Header],
             body: bytes, coming: Body | None = None) -> None:
        """A request has come, whole or with its body still coming."""
        if target.split(b"?", 1)[0] == READY and method == b"GET":
            ready = self.ready or self.taken_over
            exchange.respond(200 if ready else 503, [], b"ready\n" if ready else b"not ready\n")
            return
        try:
            asked = self._checks.check(method, target, headers, body, coming)
        except BadRequest as error:
            event(log, "request_rejected", status=error.status, why=error.why)
            if coming is not None:
                exchange.close = True
            exchange.respond(error.status, [], error.why.encode() + b"\n")
            return
        if asked.id in self._ids:   # guards against two copies of one id, each with attempts of its own
            exchange.respond(400, [], b"a request with this id is open\n")
            return
        exchange.cls = asked.name.decode()
        if exchange.conn.leaving:
            event(log, "failed", request=asked.id, why="read after its client had ended its sending")
            exchange.failed()   # read after its client had ended its sending: nothing is sent for it
            return
        if exchange.conn.surplus or (coming is not None and self.stream_budget.full):
            exchange.close = True
            event(log, "refused", request=asked.id, why="no room for its connection or its body")
            exchange.refused(0)   # nothing was sent for it
            return
        exchange.id = asked.id
        asked.unread_since = exchange.conn.came_since()
        self._ids.add(asked.id)
        exchange.request = self.core.on_request(exchange, asked)

    def forget(self, request_id: bytes) -> None:
        """A request is over; its id may come again."""
        self._ids.discard(request_id)

    def sweep(self, now: int) -> None:
        """Look after all connections."""
        for conn in list(self._connections):
            conn.sweep(now)
        self.stream_budget.streams = sum(conn.streams for conn in self._connections if not conn.between_requests())

    def sweep_after(self, delay_ns: int, conn: ClientConnection) -> None:
        """Look after one connection sooner than all are."""
        self._timers.after(delay_ns, lambda _: conn.sweep(now_ns()), None)

    @property
    def pending(self) -> int:
        """Requests that are taken and not ended."""
        return len(self._ids)

    @property
    def receiving(self) -> int:
        """Connections on which a part of a request has come."""
        return sum(1 for conn in self._connections if not conn.between_requests())

    @property
    def connection_count(self) -> int:
        """Connections that are open."""
        return len(self._connections)
