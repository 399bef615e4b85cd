"""Hosts of a play: each listens once for each gateway, so that it is known who sends."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import cast

from .addresses import free_address
from .journal import Begin, Journal

Clock = Callable[[], float]


class Connection(asyncio.Protocol):
    """A gateway's connection to a host."""

    def __init__(self, host: Host, gateway: str) -> None:
        self._host = host
        self._gateway = gateway
        self._data = b""
        self._begin: Begin | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._host.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._host.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        host = self._host
        if self._begin is None:
            self._begin = Begin(host.clock(), self._gateway, host.name, "")
            host.journal.attempts.append(self._begin)
        self._data += data
        head, found, rest = self._data.partition(b"\r\n\r\n")
        if not found:
            return
        headers = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
        if len(rest) < int(headers.get(b"content-length", b"0")):
            return
        begin, self._begin, self._data = self._begin, None, b""
        begin.rid = headers[b"x-request-id"].decode()
        begin.told_ms = int(headers.get(b"x-timeout-ms", b"0"))
        begin.whole = host.clock()
        host.take(self, begin)


class Host:
    """One host: answers after a while, unless a fault is in force."""

    def __init__(self, name: str, books: Journal, clock: Clock, rng: random.Random, work: float) -> None:
        self.name, self.journal, self.clock = name, books, clock
        self._rng = rng
        self._work = work
        self.hanging = False
        self.refusing = False      # turns all away, as one that drains may
        self.started_ms = 0
        self.connections: set[Connection] = set()
        self.addresses: dict[str, str] = {}
        self._servers: list[asyncio.Server] = []

    async def listen(self, gateways: list[str]) -> None:
        """Take connections of each gateway."""
        loop = asyncio.get_running_loop()
        for gateway in gateways:
            address, port = free_address()
            server = await loop.create_server(lambda gateway=gateway: Connection(self, gateway),  # type: ignore[misc]
                                              address, port, backlog=512)
            self._servers.append(server)
            self.addresses[gateway] = f"{address}:{port}"

    def take(self, connection: Connection, begin: Begin) -> None:
        """A whole request has come."""
        if self.refusing:
            begin.ran = False
            self._write(connection, b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
        elif not self.hanging:
            delay = min(self._rng.expovariate(1 / self._work), 10 * self._work)
            body = begin.rid.encode()
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            asyncio.get_running_loop().call_later(delay, self._write, connection, answer)

    @staticmethod
    def _write(connection: Connection, data: bytes) -> None:
        if connection.transport is not None and not connection.transport.is_closing():
            connection.transport.write(data)

    def reset_all(self) -> None:
        """Every connection is reset."""
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()

    def close(self) -> None:
        """It ends."""
        for server in self._servers:
            server.close()
        self.reset_all()
