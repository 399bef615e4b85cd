"""Hosts of a soak run: each has one listener per gateway, so that the sender of a request is known."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import cast

from .addresses import free_address
from .journal import Attempt, Journal

Clock = Callable[[], float]


class Connection(asyncio.Protocol):
    """A gateway's connection to a host."""

    def __init__(self, host: Host, gateway: str) -> None:
        self._host = host
        self._gateway = gateway
        self._data = b""
        self._attempt: Attempt | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._host.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._host.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        host = self._host
        if self._attempt is None:
            self._attempt = Attempt(host.clock(), self._gateway, host.name, "")
            host.journal.attempts.append(self._attempt)
        self._data += data
        head, found, body_part = self._data.partition(b"\r\n\r\n")
        if not found:
            return
        headers = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
        if len(body_part) < int(headers.get(b"content-length", b"0")):
            return
        attempt, self._attempt, self._data = self._attempt, None, b""
        attempt.request_id = headers[b"x-request-id"].decode()
        attempt.timeout_ms = int(headers.get(b"x-timeout-ms", b"0"))
        attempt.whole = host.clock()
        host.handle_request(self, attempt)


class Host:
    """One host: responds after a random processing time unless a fault is active."""

    def __init__(self, name: str, journal: Journal, clock: Clock, rng: random.Random, mean_work_s: float) -> None:
        self.name, self.journal, self.clock = name, journal, clock
        self._rng = rng
        self._mean_work_s = mean_work_s
        self.hanging = False
        self.refusing = False      # rejects all requests, as a draining host may
        self.started_ms = 0
        self.connections: set[Connection] = set()
        self.addresses: dict[str, str] = {}
        self._servers: list[asyncio.Server] = []

    async def listen(self, gateways: list[str]) -> None:
        """Listen for connections of each gateway."""
        loop = asyncio.get_running_loop()
        for gateway in gateways:
            address, port = free_address()
            server = await loop.create_server(lambda gateway=gateway: Connection(self, gateway),  # type: ignore[misc]
                                              address, port, backlog=512)
            self._servers.append(server)
            self.addresses[gateway] = f"{address}:{port}"

    def handle_request(self, connection: Connection, attempt: Attempt) -> None:
        """Handle a request that has arrived completely."""
        if self.refusing:
            attempt.processed = False
            self._write(connection, b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
        elif not self.hanging:
            delay = min(self._rng.expovariate(1 / self._mean_work_s), 10 * self._mean_work_s)
            body = attempt.request_id.encode()
            response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            asyncio.get_running_loop().call_later(delay, self._write, connection, response)

    @staticmethod
    def _write(connection: Connection, data: bytes) -> None:
        if connection.transport is not None and not connection.transport.is_closing():
            connection.transport.write(data)

    def reset_all(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        for server in self._servers:
            server.close()
        self.reset_all()
