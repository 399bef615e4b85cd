"""The operators' address: one call a connection, answered from memory, apart from all clients."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import cast

import httptools

from bridgesaddle.api import MS, SECOND

from .listener import Listener, listen_with_retry
from .timers import now_ns

MAX_CALL = 8 * 1024
"""Longest call, bytes; none of them needs a body."""
MAX_OPERATOR_CONNECTIONS = 24
"""Connections held at once: the one that has waited longest makes room for the next."""
ARRIVE = 1500 * MS
"""Longest time for a call to arrive, counted from connecting."""
LINGER = 1 * SECOND
"""How long the other side may take to close after its answer."""

Answered = tuple[int, bytes]
Calls = Mapping[tuple[str, str], Callable[[], Answered]]
"""What is answered at which method and path."""

_REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
            408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 503: "Service Unavailable"}


class Caller(asyncio.Protocol):
    """One connection: a call, its answer, and the end."""

    def __init__(self, admin: Admin) -> None:
        self._admin = admin
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._size = 0
        self._whole = False
        self._answered = False
        self.transport: asyncio.Transport | None = None
        self.since = now_ns()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)   # uvloop has its own kind
        self._admin.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._admin.left(self)

    def data_received(self, data: bytes) -> None:
        if self._answered:
            return
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass   # answered as if it had not been asked for
        except httptools.HttpParserError:
            if not self._whole:
                self._answer(400, b"malformed\n")
                return
        if self._whole:
            self._answer(*self._admin.call(self._parser.get_method().decode(errors="replace"),
                                           self._target.split(b"?", 1)[0].decode(errors="replace")))
        elif self._size > MAX_CALL:
            self._answer(413, b"a call too long\n")

    def eof_received(self) -> bool:
        """Half a call is never made whole; who has called may still read."""
        return self._answered and not self._admin.closing

    # The parser's side.

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_message_complete(self) -> None:
        self._whole = True

    # What follows.

    def _answer(self, status: int, body: bytes) -> None:
        transport = self.transport
        self._answered = True
        if transport is None or transport.is_closing():
            return
        transport.write(f"HTTP/1.1 {status} {_REASONS[status]}\r\nContent-Type: text/plain; charset=utf-8\r\n"
                        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode() + body)
        self.since = now_ns()
        if transport.can_write_eof():   # not a close: a reset would take the answer with it
            transport.write_eof()

    def sweep(self, now: int) -> None:
        """Whoever sends nothing, half a call, or does not close is not waited for."""
        if self.transport is None:
            return
        if self._answered:
            if now - self.since > LINGER:
                self.transport.abort()
        elif now - self.since > ARRIVE:
            self._answer(408, b"the call was too slow\n")


class Admin:
    """All callers, within a bound."""

    def __init__(self, calls: Calls) -> None:
        self._calls = calls
        self._callers: dict[Caller, None] = {}
        self._listener: Listener | None = None
        self.closing = False

    async def listen(self, loop: asyncio.AbstractEventLoop, address: tuple[str, int]) -> tuple[str, int]:
        """Listen there, alone; returns the address.  Raises OSError where that stays impossible."""
        self._listener = await listen_with_retry(loop, address, lambda: Caller(self), shared=False,
                                                 wanted=lambda: not self.closing)
        return self._listener.address

    def call(self, method: str, path: str) -> Answered:
        """The answer to a call."""
        if (method, path) in self._calls:
            return self._calls[method, path]()
        if any(path == known for _, known in self._calls):
            return 405, b"not with this method\n"
        return 404, b"no such path\n"

    def joined(self, caller: Caller) -> None:
        """Count a caller in; the one that has been here longest makes room."""
        self._callers[caller] = None
        if len(self._callers) > MAX_OPERATOR_CONNECTIONS:
            oldest = next(iter(self._callers))
            if oldest.transport is not None:
                oldest.transport.abort()
            self.left(oldest)

    def left(self, caller: Caller) -> None:
        """Count a caller out."""
        self._callers.pop(caller, None)

    def sweep(self, now: int) -> None:
        """Look after all callers."""
        for caller in list(self._callers):
            caller.sweep(now)

    def close(self) -> None:
        """The program is over."""
        self.closing = True
        if self._listener is not None:
            self._listener.close()
        for caller in list(self._callers):
            if caller.transport is not None:
                caller.transport.close()
