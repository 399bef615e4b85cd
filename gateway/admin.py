"""HTTP server for operators: one request per connection, answered from memory, separate from all clients."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any, cast

import httptools

from bridgesaddle.api import MS, SECOND

from .listener import Listener, listen_with_retry
from .timers import now_ns

MAX_REQUEST_BYTES = 8 * 1024
"""Maximum size of a request; no request needs a body."""
MAX_OPERATOR_CONNECTIONS = 24
"""Maximum open connections: beyond it the oldest connection is closed for the new one."""
REQUEST_TIMEOUT_NS = 1500 * MS
"""Maximum time for a request to arrive, from when the connection was accepted."""
CLOSE_TIMEOUT_NS = 1 * SECOND
"""Maximum time for the peer to close the connection after the response."""

OperatorResponse = tuple[int, bytes]
Handlers = Mapping[tuple[str, str], Callable[[], OperatorResponse]]
"""Handlers by method and path."""

_REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
            408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 503: "Service Unavailable"}


class OperatorConnection(asyncio.Protocol):
    """One connection: a request, its response and the close."""

    def __init__(self, server: OperatorServer) -> None:
        self._server = server
        self._parser: Any = httptools.HttpRequestParser(self)
        self._target = b""
        self._size = 0
        self._complete = False
        self._responded = False
        self.transport: asyncio.Transport | None = None
        self.state_since = now_ns()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)   # uvloop has its own transport classes
        self._server.add_connection(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.remove_connection(self)
        self._parser = None   # breaks a reference cycle

    def data_received(self, data: bytes) -> None:
        if self._responded or self._parser is None:
            return
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass   # the request is answered without an upgrade
        except httptools.HttpParserError:
            if not self._complete:
                self._respond(400, b"malformed\n")
                return
        if self._complete:
            self._respond(*self._server.respond_to(self._parser.get_method().decode(errors="replace"),
                                                   self._target.split(b"?", 1)[0].decode(errors="replace")))
        elif self._size > MAX_REQUEST_BYTES:
            self._respond(413, b"a call too long\n")

    def eof_received(self) -> bool:
        """Keep the connection open only for an unread response: an incomplete request can't become complete."""
        return self._responded and not self._server.closing

    # Callbacks of the HTTP parser.

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_message_complete(self) -> None:
        self._complete = True

    # Response and timeouts.

    def _respond(self, status: int, body: bytes) -> None:
        transport = self.transport
        self._responded = True
        if transport is None or transport.is_closing():
            return
        transport.write(f"HTTP/1.1 {status} {_REASONS[status]}\r\nContent-Type: text/plain; charset=utf-8\r\n"
                        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode() + body)
        self.state_since = now_ns()
        if transport.can_write_eof():   # no close yet: a reset would discard the response
            transport.write_eof()

    def sweep(self, now: int) -> None:
        """Enforce the timeouts for a request to arrive and for the peer to close."""
        if self.transport is None:
            return
        if self._responded:
            if now - self.state_since > CLOSE_TIMEOUT_NS:
                self.transport.abort()
        elif now - self.state_since > REQUEST_TIMEOUT_NS:
            self._respond(408, b"the call was too slow\n")


class OperatorServer:
    """The operators' server, with a limited number of connections."""

    def __init__(self, handlers: Handlers) -> None:
        self._handlers = handlers
        self._connections: dict[OperatorConnection, None] = {}
        self._listener: Listener | None = None
        self.closing = False

    async def listen(self, loop: asyncio.AbstractEventLoop, address: tuple[str, int]) -> tuple[str, int]:
        """Listen at an address that no other process shares; return it.  Raises OSError if retries do not help."""
        self._listener = await listen_with_retry(loop, address, lambda: OperatorConnection(self), shared=False,
                                                 wanted=lambda: not self.closing)
        return self._listener.address

    def respond_to(self, method: str, path: str) -> OperatorResponse:
        """Return the response to a request."""
        if (method, path) in self._handlers:
            return self._handlers[method, path]()
        if any(path == known for _, known in self._handlers):
            return 405, b"not with this method\n"
        return 404, b"no such path\n"

    def add_connection(self, connection: OperatorConnection) -> None:
        """Add a connection; beyond the limit the oldest one is closed."""
        self._connections[connection] = None
        if len(self._connections) > MAX_OPERATOR_CONNECTIONS:
            oldest = next(iter(self._connections))
            if oldest.transport is not None:
                oldest.transport.abort()
            self.remove_connection(oldest)

    def remove_connection(self, connection: OperatorConnection) -> None:
        self._connections.pop(connection, None)

    def sweep(self, now: int) -> None:
        """Enforce the timeouts of all connections."""
        for connection in list(self._connections):
            connection.sweep(now)

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.closing = True
        if self._listener is not None:
            self._listener.close()
        for connection in list(self._connections):
            if connection.transport is not None:
                connection.transport.close()
