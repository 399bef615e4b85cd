"""Clients of a soak run: each sends one request at a time and reuses its connection for as long as it stays open."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from math import inf

from .hosts import Clock
from .journal import LATE_RESPONSE_S, ClientRequest, Journal

CLOSE_RACE_S = 0.05
"""A close that arrives this soon after a request on an idle connection may have been sent before it was received."""
RESPONSE_MARGIN_S = 1.0
"""A client waits this long after the time from which a response counts as lost."""
CLIENT_TIMEOUTS_S = {"read": (0.3, 1.0), "keyed": (0.5, 1.5), "once": (0.5, 2.5)}
"""Shortest and longest timeout of clients for each request class."""


@dataclass
class FrontEnd:
    """The front end of a gateway: its address for clients, and whether new connections are sent there."""

    name: str
    address: tuple[str, int]
    accepts_connections: bool = False
    patience: float = 1.0   # factor on the usual timeouts


class Client:
    """One client."""

    def __init__(self, front_end: FrontEnd, journal: Journal, clock: Clock, rng: random.Random, mean_pause_s: float,
                 leave_probability: float, id_prefix: str) -> None:
        self._front_end, self._journal, self._clock, self._rng = front_end, journal, clock, rng
        self._mean_pause_s, self._leave_probability, self._id_prefix = mean_pause_s, leave_probability, id_prefix
        self._count = 0
        self._stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._used = False

    async def run(self) -> None:
        """Send requests until cancelled."""
        try:
            while True:
                await asyncio.sleep(self._rng.expovariate(1 / self._mean_pause_s))
                if self._stream is None and not await self._connect():
                    continue
                await self._send_request()
        finally:
            self._close()

    async def _connect(self) -> bool:
        if not self._front_end.accepts_connections:
            return False
        try:
            async with asyncio.timeout(3.0):
                self._stream = await asyncio.open_connection(*self._front_end.address)
        except (OSError, TimeoutError):
            await asyncio.sleep(0.02)
            return False
        self._used = False
        return True

    def _close(self) -> None:
        if self._stream is not None:
            self._stream[1].transport.abort()
            self._stream = None

    async def _send_request(self) -> None:
        self._count += 1
        request_id = f"{self._id_prefix}-{self._count}"
        cls = self._rng.choices(("read", "keyed", "once"), (6, 2, 2))[0]
        min_timeout_s, max_timeout_s = CLIENT_TIMEOUTS_S[cls]
        patience = round(self._rng.uniform(min_timeout_s, max_timeout_s) * self._front_end.patience, 3)
        for _ in range(2):
            stream, used = self._stream, self._used
            assert stream is not None
            if used and stream[0].at_eof():   # the end was noticed before the request was sent
                self._close()
                if not await self._connect():
                    return
                continue
            request = ClientRequest(self._clock(), self._front_end.name, request_id, cls, patience, first=not used)
            try:
                close_raced = await self._exchange(stream, used, request)
            except asyncio.CancelledError:   # the run has ended
                request.left = self._clock()
                self._journal.requests.append(request)
                raise
            if not close_raced:
                self._journal.requests.append(request)
                return
            self._close()
            if not await self._connect():   # no new connection on which to repeat it
                request.closed = self._clock()
                self._journal.requests.append(request)
                return

    async def _exchange(self, stream: tuple[asyncio.StreamReader, asyncio.StreamWriter], used: bool,
                        request: ClientRequest) -> bool:
        """Send one request; true if the connection's end crossed it, so that the gateway did not read it."""
        reader, writer = stream
        method = "GET" if request.cls == "read" else "POST"
        extra_headers = {"read": "", "keyed": f"Idempotency-Key: k{request.request_id}\r\nContent-Length: 2\r\n",
                         "once": "Content-Length: 2\r\n"}[request.cls]
        writer.write(f"{method} /{request.cls}/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {request.request_id}\r\n"
                     f"X-Priority-Class: {request.cls}\r\nX-Timeout-Ms: {int(request.patience * 1000)}\r\n"
                     f"{extra_headers}\r\n".encode()
                     + (b"" if request.cls == "read" else b"{}"))
        request.at = self._clock()
        if self._rng.random() < self._leave_probability:
            try:
                async with asyncio.timeout(self._rng.uniform(0.0, request.patience)):
                    await reader.readuntil(b"\r\n\r\n")
            except TimeoutError:
                self._close()
                request.left = self._clock()
                return False
            except (OSError, asyncio.IncompleteReadError):
                return self._on_connection_end(used, request)
            self._close()   # a response arrived; its content is ignored
            request.left = request.at + inf
            request.answered, request.status, request.by = self._clock(), 200, request.request_id
            return False
        try:
            async with asyncio.timeout(request.patience + LATE_RESPONSE_S + RESPONSE_MARGIN_S + 3.0):
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().lower().split("\r\n")
                headers = dict(line.split(": ", 1) for line in lines[1:] if line)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
        except TimeoutError:
            self._close()
            return False
        except (OSError, asyncio.IncompleteReadError):
            return self._on_connection_end(used, request)
        request.answered, request.status = self._clock(), int(lines[0].split()[1])
        request.by = body.decode(errors="replace")
        self._used = True
        if headers.get("connection") == "close":
            self._close()
        return False

    def _on_connection_end(self, used: bool, request: ClientRequest) -> bool:
        self._close()
        if used and self._clock() - request.at < CLOSE_RACE_S:
            return True
        request.closed = self._clock()
        return False
