"""One client connection: parsing of its requests, backpressure, timeouts and closes.

server.py handles the requests, checks.py validates them, exchange.py writes responses.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import TYPE_CHECKING, Any, cast

import httptools

from bridgesaddle.api import MS, SECOND

from .attempt import Header
from .body import MAX_BODY_BYTES, MAX_REPLAY_BYTES, Body
from .checks import BadRequest
from .events import event
from .exchange import Exchange
from .last_byte import LastByteEstimate
from .memory import (
    CONNECTION_BYTES,
    FIELD_BYTES,
    MIN_READ_BYTES,
    READ_BUFFER_BYTES,
    REQUEST_BYTES,
    Account,
    MemoryKind,
)
from .syscalls import (
    CONNECTION_LOST_EVENTS,
    PEER_CLOSED_EVENTS,
    pending_events,
    reset_on_close,
    unconfirmed_bytes,
    unread_bytes,
)
from .timers import now_ns
from .turns import REQUEST_WORK, TurnSize
from .upstream import MAX_BUFFERED_BODY_BYTES, STREAM_STALL_TIMEOUT_NS

if TYPE_CHECKING:
    from .server import Server

log = logging.getLogger("gateway.server")   # the name is part of the interface to operators, as metrics' names are

MAX_HEAD_BYTES = 16 * 1024
"""Longest head of a request."""
MAX_PARSED_BYTES = 8 * 1024
"""Most bytes that the parser gets at once, apart from a body of known length."""
WORK_BYTES = REQUEST_BYTES // REQUEST_WORK
"""Memory that a parser callback may take: a small request takes much more than its bytes."""
MAX_HEADERS = 100
MAX_PIPELINED = 8
"""Maximum number of open requests of one connection; reading pauses above it."""
HEAD_TIMEOUT_NS = 2400 * MS
"""Longest time for a head to arrive; for the first one it runs from the connect.

A client may take 2 s to send a head.  A client that does not send a complete one must get an error or a close within
3 s.
"""
BODY_GRACE_NS = 1600 * MS
"""Time from the start of a body after which its minimum rate applies."""
MIN_BODY_RATE_BYTES_PER_S = 32 * 1024
"""Minimum average rate of a body after the grace period: half the rate of a slow client."""
IDLE_TIMEOUT_NS = 90 * SECOND
DRAIN_IDLE_TIMEOUT_NS = 2 * SECOND
"""Idle timeout while draining; with a shorter one, closes would cross requests in transit."""
NEW_CONNECTION_GRACE_NS = 100 * MS
"""A connection that was opened or used less than this ago is not closed in favour of a new one."""
LINGER_TIMEOUT_NS = 1 * SECOND
"""How long incoming data is discarded after an error response, so that the client can read the response."""


class StopParsing(Exception):
    """Raised in a callback of the parser to stop it; not the error itself, which would refer back to its connection."""


class ClientConnection(asyncio.BufferedProtocol):
    """One client connection."""

    # Shared by all connections: data is parsed before the next read.
    _read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self._parser: Any = httptools.HttpRequestParser(self)
        self._exchanges: deque[Exchange] = deque()
        self._error: BadRequest | None = None
        self.discarding = False   # further data is ignored: after an error, or as the last request has been read
        self._eof_read = False   # the client has shut down its sending side, and all data is read
        self.half_closed = False   # the same, whether or not all data is read
        self._paused = False
        self._turn = TurnSize()
        self._waits_for_turn = False
        self._read_size = READ_BUFFER_BYTES   # size of the buffer of the current read
        self.state_since = now_ns()   # when the current phase (head, idle or linger) began
        self.unread_since = 0   # earliest arrival of its first request, which may precede the accept
        self._polled_at = 0   # last check for unread data while reading is paused
        self._data_unread_since = 0   # earliest arrival of the data that is read next
        self.has_progressed = False   # a response has been written in full
        self._had_request = False   # a complete request has been received
        self.lingering = False
        self.refuses_requests = False   # without an attempt: above the connection limit, or the process is exiting
        self._write_blocked_since = 0
        self._written_bytes = 0   # size of the last block that was written
        self._last_unsent_bytes = 0   # size of the write buffer at the last sweep while writing was blocked
        self._last_unconfirmed_bytes = 0   # at the last sweep while lingering
        self._parser_bytes = 0   # at most so much is kept by the parser, of a field that is not complete
        self._streamed_exchange: Exchange | None = None   # of a request whose body is being streamed
        self._streamed_body: Body | None = None
        self._last_byte: LastByteEstimate | None = None   # of the streamed body
        self._expects_continue = False   # the client waits for a 100 response before it sends its body
        self.last_data_at = self.state_since   # when data last arrived
        self.message_bytes = 0   # what the message that is being received costs, with the memory that it will need
        budget = server.memory_budget
        self._account = Account(budget, MemoryKind.CONNECTIONS, CONNECTION_BYTES)
        self._head_account = Account(budget, MemoryKind.HEADS)
        self._body_account = Account(budget, MemoryKind.BODIES)
        self._replay_account = Account(budget, MemoryKind.REPLAY)
        self._response_account = Account(budget, MemoryKind.RESPONSES)
        self._reset_message()

    def _reset_message(self) -> None:
        self._length: int | None = None
        self._received = 0
        self._expected_bytes = 0   # memory that the body will need
        self._body_started_at = 0   # when the body began, plus the time that reading was paused
        self._paused_at = 0
        self._streamed_exchange = self._streamed_body = self._last_byte = None
        self._expects_continue = False
        self._target = b""
        self._headers: list[Header] = []
        self._body = bytearray()
        self._head_bytes = 0   # of the fields so far
        self._raw_head_bytes = 0
        self._in_head = False
        self._head_began = False   # in the piece that is being parsed
        self._in_message = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)   # uvloop has a class of its own
        self.transport.set_write_buffer_limits(high=0)   # pause_writing is called if any part is not yet written
        self.unread_since = self.server.core.accept_delayed_since()
        self.server.add_connection(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """The client has gone: drop its requests."""
        self.server.remove_connection(self)
        self.transport = None
        self._close_accounts()
        self._parser = None   # breaks a reference cycle, which would last until a garbage collection
        exchanges = list(self._exchanges)
        self._exchanges.clear()
        for exchange in exchanges:
            self._drop_exchange(exchange)
        self._reset_message()   # breaks reference cycles through the body and its exchange

    @property
    def has_left(self) -> bool:
        """Whether the client has closed its connection or shut down its sending side."""
        return self.half_closed or self.transport is None

    def _drop_exchange(self, exchange: Exchange) -> None:
        """Drop a request whose client has gone."""
        if not exchange.done:
            exchange.release_id()
            event(log, "client_left", request=exchange.id, ended_sending=self.half_closed,
                  waited_ns=now_ns() - exchange.created_at, written=bool(exchange.started))
            if exchange.request is not None:
                self.server.core.on_client_disconnected(exchange.request)

    def get_buffer(self, sizehint: int) -> memoryview:
        size = self._turn.bytes
        if self._streamed_body is not None:
            size = min(size, self.server.memory_budget.read_bytes())
        elif self._body:   # no more than it takes to stream the body
            size = min(size, max(MIN_READ_BYTES, MAX_BUFFERED_BODY_BYTES + 1 - len(self._body)))
        self._read_size = size
        return self._read_buffer[:size]

    def buffer_updated(self, nbytes: int) -> None:
        self.last_data_at = now_ns()
        self.data_received(self._read_buffer[:nbytes])
        self._note_memory()
        self.server.on_taken(nbytes + self._turn.work * WORK_BYTES)
        is_full = nbytes >= self._read_size
        transport = self.transport
        if not is_full or transport is None or transport.is_closing() or not pending_events(transport):
            self._data_unread_since = 0   # no older data is left
        else:
            now = now_ns()
            self._note_unread(now - self.server.core.read_delay_ns(now))
        if self._turn.end(is_full) and not self._waits_for_turn:
            self._waits_for_turn = True
            self.server.turns.wait(self)
            self.update_reading()

    @property
    def receiving(self) -> bool:
        """Whether the connection is in the middle of a message that can still be completed."""
        return self._in_message and not self.discarding

    @property
    def reading_paused(self) -> bool:
        """Whether the connection is not read now, so that missing data is no sign of a stalled client."""
        return self._paused

    def _update_account(self) -> None:
        """Charge what is held of the message that is being received and of responses that wait for the client."""
        head_bytes = self._head_bytes + self._parser_bytes + len(self._headers) * FIELD_BYTES
        body_bytes = max(self._expected_bytes, len(self._body))
        body = self._streamed_body
        replay_bytes = MAX_REPLAY_BYTES if body is not None and not body.dropped and not body.committed else 0
        self.message_bytes = head_bytes + body_bytes + replay_bytes
        unsent_bytes = sum(len(part) for exchange in self._exchanges for part in exchange.unsent_parts)
        if self._write_blocked_since:
            unsent_bytes += self._written_bytes
        self._head_account.update(head_bytes)
        self._body_account.update(body_bytes)
        self._replay_account.update(replay_bytes)
        self._response_account.update(unsent_bytes)

    def _close_accounts(self) -> None:
        for account in (self._account, self._head_account, self._body_account, self._replay_account,
                        self._response_account):
            account.update(0)

    def _note_memory(self) -> None:
        """Data has arrived: charge it; a message for which there is no room is refused."""
        if self.transport is None or self.transport.is_closing():
            return
        self._update_account()
        self.server.note_receiving(self)
        if self.receiving and not self.server.make_room(self.message_bytes, 0, self):
            self.refuse_message()

    def refuse_message(self) -> None:
        """Refuse the message that is being received, as its memory is needed: it can't run without its last byte."""
        if self._streamed_body is not None:
            self._streamed_body.drop()
        self._reject(BadRequest(503, "no memory for this message"))
        self._update_account()

    def held_bytes(self) -> int:
        """What the connection and its open requests hold, also at hosts' connections."""
        total = sum(account.held_bytes for account in (self._account, self._head_account, self._body_account,
                                                       self._replay_account, self._response_account))
        return total + sum(exchange.request.held_bytes() for exchange in self._exchanges
                           if exchange.request is not None)

    def close_for_memory(self) -> bool:
        """Its memory or its place is needed: refuse the message that is being received, or reset the connection.

        Returns whether it has been reset.
        """
        if self.receiving and not self._write_blocked_since and not self.half_closed:
            self.refuse_message()
            return False
        event(log, "client_reset", why="its memory or its place is needed", half_closed=self.half_closed,
              unsent=self._response_account.held_bytes,
              blocked_ns=now_ns() - self._write_blocked_since if self._write_blocked_since else 0)
        self.reset()
        self._close_accounts()
        return True

    @property
    def write_blocked_since(self) -> int:
        """Since when the client has read nothing of its responses, ns; 0 if none is unsent."""
        return self._write_blocked_since

    def on_turn(self) -> None:
        """The next turn has come: read on."""
        self._waits_for_turn = False
        self.update_reading()

    def _note_unread(self, since: int) -> None:
        """Data may be waiting unread, and may have been since this time."""
        if not self._data_unread_since:
            self._data_unread_since = since
        if self._last_byte is not None and self.transport is not None and not self.transport.is_closing():
            unread = unread_bytes(self.transport)
            if unread:   # 0 with data at hand would be no answer to rely on
                self._last_byte.observe(now_ns(), self._received, unread)

    def request_unread_since(self) -> int:
        """Since when the request that has just been read may have been waiting; 0: it has not."""
        accepted_since, self.unread_since = self.unread_since, 0
        return min(filter(None, (accepted_since, self._data_unread_since)), default=0)

    def data_received(self, data: memoryview) -> None:
        if self.discarding or self._parser is None:
            return
        try:
            self._parse(data)
        except httptools.HttpParserError as error:
            self._error = self._error or BadRequest(400, f"malformed: {error}")
        if self._error is not None and not self.discarding:
            self._reject(self._error)
        if self._streamed_body is not None or len(self._body) > MAX_BUFFERED_BODY_BYTES:
            self._stream_body()
            self.update_reading()
        elif len(self._exchanges) >= self._max_pipelined:
            self.update_reading()

    def _parse(self, data: memoryview) -> None:
        """Feed the parser; a request that offers an upgrade is an ordinary one (RFC 9110, 7.8).

        The parser ends such a message at its headers and stops.  A new one reads the head again, without the offer, and
        then what follows: the body and later requests.
        """
        while len(data) and self._error is None and not self.discarding:
            piece = data[:self._parser_piece_bytes(len(data))]
            self._parser_bytes += len(piece)
            try:
                self._parser.feed_data(piece)
                data = data[len(piece):]
            except httptools.HttpParserUpgrade as offer:
                if self._error is not None or self.discarding:
                    return
                data = data[offer.args[0]:]
                head = self._head_without_offer()
                self._parser = httptools.HttpRequestParser(self)
                self._parser.feed_data(head)
            self._limit_head(len(piece))

    def _limit_head(self, piece_bytes: int) -> None:
        """Limit a head that never ends, which may yield no header; so many bytes have been parsed."""
        if self._in_head and not self._head_began:   # else the piece may have bytes of earlier messages
            self._raw_head_bytes += piece_bytes
        self._head_began = False
        if max(self._parser_bytes, (self._raw_head_bytes + self._head_bytes) // 2) > MAX_HEAD_BYTES:
            self._error = self._error or BadRequest(431, "a head too long")

    def _parser_piece_bytes(self, size: int) -> int:
        """How many of the next bytes to feed at once: the parser keeps a field that they begin and do not end."""
        if size <= MAX_PARSED_BYTES:
            return size
        body_bytes_left = self._length - self._received if self._length and not self._in_head else 0
        return max(MAX_PARSED_BYTES, body_bytes_left)

    def _head_without_offer(self) -> bytes:
        """The head of the current request without its `Upgrade` header."""
        lines = [b"%b %b HTTP/%b\r\n" % (self._parser.get_method(), self._target,
                                         self._parser.get_http_version().encode())]
        lines += [b"%b: %b\r\n" % item for item in self._headers if item[0].lower() != b"upgrade"]
        return b"".join(lines) + b"\r\n"

    def _stream_body(self) -> None:
        """Stream a body that is too long to buffer: handle its request now and forward the body as it arrives."""
        if self._error is not None or self.discarding or not self._in_message:
            return
        if self._streamed_body is None:
            self._streamed_body = Body(self._length, bytes(self._body), self.update_reading)
            estimate = self._last_byte = LastByteEstimate(self._length)
            self._streamed_body.may_be_complete_since = \
                lambda now: max(self._data_unread_since or now, estimate.not_before)
            self._body.clear()
            self._expected_bytes = 0
            self._streamed_exchange = Exchange(self, not self._parser.should_keep_alive(),
                                               self._parser.get_http_version() == "1.0")
            self._exchanges.append(self._streamed_exchange)
            self._handle_request(self._streamed_exchange, b"", self._streamed_body)
            if self._streamed_exchange is not None and self._streamed_exchange.request is None:
                self._streamed_body.drop()   # already answered: the rest of the body is discarded
        elif self._body:
            data = bytes(self._body)
            self._body.clear()
            self._streamed_body.feed(data)

    @property
    def _max_pipelined(self) -> int:
        """Most open requests before reading pauses."""
        return 1 if self.server.memory_budget.tight else MAX_PIPELINED

    def update_reading(self) -> None:
        """Backpressure: pause or resume reading."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        complete_requests = len(self._exchanges) - (self._streamed_exchange is not None)
        should_pause = self._waits_for_turn or (not self.lingering and bool(
            complete_requests >= self._max_pipelined or self._write_blocked_since
            or (self._streamed_body is not None and self._streamed_body.full)))
        if should_pause and not self._paused:
            self._paused_at = self._polled_at = now_ns()
            transport.pause_reading()
            self.server.on_reading_paused(self)
        elif self._paused and not should_pause:
            self._body_started_at += now_ns() - self._paused_at
            transport.resume_reading()
        self._paused = should_pause

    def poll_unread(self) -> bool:
        """Poll for the client's end of stream while reading is paused.  False once no further check is needed.

        Also records since when bytes have been waiting, as that time counts against their requests' timeouts.
        """
        transport = self.transport
        if not self._paused or self.half_closed or transport is None or transport.is_closing():
            return False
        polled_at, self._polled_at = self._polled_at, now_ns()
        events = pending_events(transport)
        if events:
            self._note_unread(polled_at)
        if events & CONNECTION_LOST_EVENTS:
            transport.abort()
        elif events & PEER_CLOSED_EVENTS:
            self._on_half_close(now_ns())
        return not events & PEER_CLOSED_EVENTS

    def is_half_closed(self) -> bool:
        """Whether the client has shut down its sending side, even if unread data remains."""
        transport = self.transport
        return self.half_closed or transport is None or transport.is_closing() \
            or bool(pending_events(transport) & PEER_CLOSED_EVENTS)

    def _on_half_close(self, since: int) -> None:
        """The client has shut down its sending side, at this time at the earliest: no new attempt is made for it."""
        self.half_closed = True
        if not self.lingering:
            self.server.note_half_closed(self)
        for exchange in list(self._exchanges):
            if not exchange.started and exchange.request is not None:
                self.server.core.on_client_half_closed(exchange.request, since)

    def _reject(self, error: BadRequest) -> None:
        """Nothing more can be read from this client: send one error response in order, then close."""
        self.discarding = True
        self._headers.clear()
        self._body.clear()
        self._target = b""
        self._parser = None   # holds what it has read of a field
        self._head_bytes = self._parser_bytes = self._expected_bytes = 0
        event(log, "client_rejected", status=error.status, why=error.why)
        exchange, self._streamed_exchange, self._streamed_body = self._streamed_exchange, None, None
        if exchange is None or exchange.done:   # a response may precede the end of its request
            exchange = Exchange(self, close=True)
            self._exchanges.append(exchange)
        elif exchange.started:
            self.reset()
            return
        else:   # answered here: the module and the host must stop working on it
            if exchange.request is not None:
                self.server.core.on_client_disconnected(exchange.request)
            exchange.close = True
        exchange.respond(error.status, [], error.why.encode() + b"\n")

    # Parser callbacks.  They record errors; an exception only stops the parser, which raises an error of its own.

    def on_message_begin(self) -> None:
        self._reset_message()
        self._in_head = self._in_message = self._head_began = True
        if self._had_request:   # the first request's time runs from the connect
            self.state_since = now_ns()

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._parser_bytes = 0
        self._turn.work += 1
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._parser_bytes = 0
        self._turn.work += 1
        self._count_head_bytes(len(name) + len(value) + 4)
        if self._error is None and self._in_head:   # no trailers: they could contain another id or length
            self._headers.append((name, value.strip(b" \t")))   # the parser keeps trailing whitespace

    def _count_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES or len(self._headers) >= MAX_HEADERS:
            self._error = self._error or BadRequest(431, "a head too long")
            raise StopParsing

    def on_headers_complete(self) -> None:
        self._in_head = False
        self._parser_bytes = 0
        lengths = [value for name, value in self._headers if name.lower() == b"content-length"]
        has_coding = any(name.lower() == b"transfer-encoding" for name, _ in self._headers)
        if self._error is not None:
            return
        if self._parser.should_upgrade():
            if self._parser.get_method() == b"CONNECT":
                self._error = BadRequest(400, "no tunnels")
            return   # `_parse` has the head read again
        if lengths and (has_coding or len(lengths) > 1):
            self._error = BadRequest(400, "contradictory framing")
        elif has_coding and (self._parser.get_http_version() != "1.1" or any(
                name.lower() == b"transfer-encoding" and value.strip().lower() != b"chunked"
                for name, value in self._headers)):
            self._error = BadRequest(400, "no known transfer coding")
        elif lengths and not lengths[0].isdigit():
            self._error = BadRequest(400, "no usable length")
        elif lengths and int(lengths[0][:20]) > MAX_BODY_BYTES:
            self._error = BadRequest(413, "a body too long")
        else:
            self._length = int(lengths[0]) if lengths else None
            self._body_started_at = now_ns()
            if not self._reserve_body(has_coding):
                self._error = BadRequest(503, "no memory for its body")
                return
            if (lengths or has_coding) and any(name.lower() == b"expect" and value.lower() == b"100-continue"
                                               for name, value in self._headers):
                self._expects_continue = True
                self._send_continue()

    def _reserve_body(self, chunked: bool) -> bool:
        """Reserve the memory for the body whose head has been read; false if there is none."""
        self._expected_bytes = MIN_READ_BYTES if chunked else min(self._length or 0, MAX_BUFFERED_BODY_BYTES)
        expected = self._expected_bytes
        return not expected or self.server.make_room(expected, expected, self)

    def _send_continue(self) -> None:
        """Send 100 Continue, once all earlier responses have been sent."""
        if self._expects_continue and not self._exchanges and self.transport is not None:
            self._expects_continue = False
            self._body_started_at = now_ns()
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._expects_continue = False
        self._parser_bytes = 0
        self._turn.work += 1
        self._received += len(body)
        if self._error is None and self._received > MAX_BODY_BYTES:
            self._error = BadRequest(413, "a body too long")
            self._body.clear()
        elif self._error is None and not self.discarding:
            self._body += body

    def on_message_complete(self) -> None:
        self._in_message = False
        self._parser_bytes = 0
        self._turn.work += REQUEST_WORK
        if self._error is not None or self.discarding or self._parser.should_upgrade():
            return
        self._had_request = True
        close = not self._parser.should_keep_alive()
        if self._streamed_body is not None:
            self.discarding = self.discarding or close
            self._finish_streamed_body()
            return
        self.discarding = close
        exchange = Exchange(self, close, self._parser.get_http_version() == "1.0")
        self._exchanges.append(exchange)
        self._handle_request(exchange, bytes(self._body))
        self._reset_message()

    def _handle_request(self, exchange: Exchange, body: bytes, streamed_body: Body | None = None) -> None:
        try:
            self.server.handle_request(exchange, self._parser.get_method(), self._target, self._headers, body,
                                       streamed_body)
        except Exception:   # the parser would report it as a framing error
            log.exception("handling a request failed")
            if not exchange.started:
                exchange.failed()

    def _finish_streamed_body(self) -> None:
        streamed_body, exchange, data = self._streamed_body, self._streamed_exchange, bytes(self._body)
        self._reset_message()
        if streamed_body is not None and exchange is not None:
            if not self.half_closed and self.is_half_closed():   # it may have left while the body was not read
                self._on_half_close(streamed_body.may_be_complete_since(now_ns()))
            if data:
                streamed_body.feed(data)
            if not streamed_body.dropped:
                streamed_body.finish()
                if exchange.request is not None:
                    self.server.core.on_body_complete(exchange.request)

    # Responses and connection lifetime.

    def eof_received(self) -> bool:
        """The client has shut down its sending side; it may still read, so open requests are answered."""
        if self._streamed_exchange is not None and self._in_message and not self.discarding:
            self._reject(BadRequest(400, "the body was cut short"))
        self._eof_read = self.discarding = True
        self._on_half_close(now_ns())
        return bool(self._exchanges)

    def flush(self) -> None:
        """Write the responses that are ready, in the order of the requests."""
        self._write_responses()
        if self._write_blocked_since or self._exchanges:
            self._update_account()

    def _write_responses(self) -> None:
        transport = self.transport
        while self._exchanges and self._exchanges[0].started:
            exchange = self._exchanges[0]
            self._write_parts(exchange)
            if not exchange.done or exchange.unsent_parts:
                break
            self._exchanges.popleft()
            self.has_progressed = True
            self.state_since = now_ns()
            if exchange.close and transport is not None and not transport.is_closing():
                self._linger()
        if transport is None or transport.is_closing():
            return
        for exchange in self._exchanges:
            if exchange.source is not None:   # a streamed response waits for its turn and for its client
                exchange.source.pause(bool(self._write_blocked_since) or exchange is not self._exchanges[0])
        if self._eof_read and not self._exchanges:
            transport.close()
            return
        if self._expects_continue:
            self._send_continue()
        if self._paused:
            self.update_reading()

    def _write_parts(self, exchange: Exchange) -> None:
        """Write what the client takes: the transport keeps a block whole until its last byte is sent."""
        transport = self.transport
        if transport is None or transport.is_closing():
            exchange.unsent_parts.clear()
        while exchange.unsent_parts and transport is not None and not self._write_blocked_since:
            data = exchange.take_unsent(self.server.write_buffer_bytes)
            self._written_bytes = len(data)
            transport.write(data)

    def on_response_begin(self, exchange: Exchange) -> None:
        """A response begins: decide whether the connection closes after it."""
        if exchange is self._streamed_exchange and self._expects_continue:
            exchange.close = True   # the client may or may not send its body now: framing is lost
        if exchange.close and exchange is not self._streamed_exchange:
            self.discarding = True

    def reset(self) -> None:
        """Reset the connection in the middle of a response.

        Where the close marks the end of the body, an orderly close would make the response look complete.
        """
        if self.transport is not None:
            reset_on_close(self.transport)
            self.transport.abort()

    def _linger(self) -> None:
        """Shut down sending and discard incoming data before the close.

        A close over unread data would be a reset, which could destroy the response.  Requests that arrive from here
        on are not handled, as they can't be answered any more.
        """
        self.discarding = self.lingering = True
        self.state_since = now_ns()
        self.server.on_linger(self)
        if self.transport is not None and self.transport.can_write_eof():
            self.transport.write_eof()

    def pause_writing(self) -> None:
        """The client does not read its responses: stop reading from it too."""
        self._write_blocked_since = now_ns()
        self._last_unsent_bytes = 0
        self._update_account()
        self.server.note_blocked(self, True)
        for exchange in self._exchanges:
            if exchange.source is not None:
                exchange.source.pause(True)
        self.update_reading()

    def resume_writing(self) -> None:
        self._write_blocked_since = 0
        self.server.note_blocked(self, False)
        self.flush()
        self._update_account()

    def is_first(self, exchange: Exchange) -> bool:
        """Whether the response of this exchange is the next one of its client."""
        return bool(self._exchanges) and self._exchanges[0] is exchange

    def may_write(self, exchange: Exchange) -> bool:
        """Whether the response of this exchange is the next one, and the client reads."""
        return not self._write_blocked_since and self.is_first(exchange)

    def is_last(self, exchange: Exchange) -> bool:
        """Whether no data has arrived after this request, so that its response may close the connection.

        The rest of its own body is no such data once the process is about to exit.
        """
        is_sending = self._in_message and not (self.refuses_requests and exchange is self._streamed_exchange)
        return not is_sending and bool(self._exchanges) and self._exchanges[-1] is exchange

    @property
    def streams(self) -> int:
        """Number of messages that are being streamed on this connection."""
        return (self._streamed_body is not None) + sum(item.source is not None for item in self._exchanges)

    def between_requests(self) -> bool:
        """Whether no request is open or partly received."""
        return not self._exchanges and not self._in_message

    def sweep(self, now: int) -> None:
        """Close the connection if the client sends or reads too slowly or is idle for too long."""
        if self.transport is None:
            return
        waited = now - self.state_since
        unsent_bytes = self.transport.get_write_buffer_size() if self._write_blocked_since else 0
        if unsent_bytes != self._last_unsent_bytes:
            self._last_unsent_bytes = unsent_bytes
            if self._write_blocked_since:
                self._write_blocked_since = now   # it reads, if slowly
                self.server.note_blocked(self, True)
                self._update_account()
        if self._write_blocked_since and now - self._write_blocked_since > STREAM_STALL_TIMEOUT_NS:
            event(log, "client_reset", why="it reads nothing", unsent=unsent_bytes,
                  blocked_ns=now - self._write_blocked_since)
            self.reset()
        elif self.lingering:
            self._sweep_lingering(now)
        elif self._in_message and not self.discarding and self._too_slow(now):
            self._reject(BadRequest(408, "the request was too slow"))
        elif self.between_requests() and waited > self._idle_timeout() and not self.close_if_idle():
            self.server.sweep_after(NEW_CONNECTION_GRACE_NS, self)   # again: its unread bytes may be no request

    def _sweep_lingering(self, now: int) -> None:
        """Close the connection after the time for the client to close, which runs from when it has the last byte."""
        unconfirmed = self._unconfirmed_bytes()
        if unconfirmed != self._last_unconfirmed_bytes:   # it reads, if slowly
            self._last_unconfirmed_bytes = unconfirmed
            self.state_since = now
        timeout = STREAM_STALL_TIMEOUT_NS if unconfirmed else LINGER_TIMEOUT_NS
        if self.transport is not None and now - self.state_since > timeout:
            self.transport.close()

    def _unconfirmed_bytes(self) -> int:
        """Bytes that have been written to the kernel and that the client's machine has not confirmed."""
        return unconfirmed_bytes(self.transport) if self.transport is not None else 0

    def is_responding(self) -> bool:
        """Whether a response has begun that the client's machine does not have whole."""
        if self.transport is None:
            return False
        return self.transport.get_write_buffer_size() > 0 or any(exchange.started for exchange in self._exchanges) \
            or self._unconfirmed_bytes() > 0

    def _too_slow(self, now: int) -> bool:
        """Whether the head exceeds its timeout or the body its minimum rate, not counting pauses of reading."""
        if self._in_head or not self._body_started_at:
            return now - self.state_since > HEAD_TIMEOUT_NS
        if self._paused or self._expects_continue:
            return False
        return self._received < MIN_BODY_RATE_BYTES_PER_S * (now - self._body_started_at - BODY_GRACE_NS) / SECOND

    def _idle_timeout(self) -> int:
        """How long the connection may stay between requests."""
        if not self._had_request:
            return HEAD_TIMEOUT_NS
        return DRAIN_IDLE_TIMEOUT_NS if self.server.draining else IDLE_TIMEOUT_NS

    def close_if_idle(self) -> bool:
        """Close the connection between requests; False if a request is open or its bytes wait unread.

        A close over unread bytes would be a reset, which could also destroy the response before them.
        """
        transport = self.transport
        if transport is None or transport.is_closing() or self.lingering or not self.between_requests() \
                or pending_events(transport):
            return False
        event(log, "client_closed", why="idle too long, drained, or to make room", idle_ns=now_ns() - self.state_since)
        self._linger()
        return True

    def shut_down(self) -> None:
        """The process is about to exit: close between requests; requests in transit are refused without an attempt."""
        self.refuses_requests = True
        # A new connection is about to send a request.
        if self._had_request or now_ns() - self.state_since > NEW_CONNECTION_GRACE_NS:
            self.close_if_idle()

    def close_now(self) -> None:
        """Close immediately, as its descriptor is needed."""
        if self.transport is not None:
            self.transport.close()
