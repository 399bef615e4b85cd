"""Clients of a play: each sends one request at a time and uses its connection for as long as that stays open."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from math import inf

from .hosts import Clock
from .journal import LATE_ANSWER, Ask, Journal

CROSSING_S = 0.05
"""A close that comes so soon after a request on a resting connection may have crossed it."""
DIES_S = 1.0
"""A client waits so long past the last moment at which an answer counts."""
PATIENCE = {"read": (0.3, 1.0), "keyed": (0.5, 1.5), "once": (0.5, 2.5)}
"""Least and most time that clients give a class, seconds."""


@dataclass
class Front:
    """Where the clients of a gateway connect now, and whether new connections are sent there."""

    name: str
    address: tuple[str, int]
    takes: bool = False
    patience: float = 1.0   # part of the usual patience


class Client:
    """One client."""

    def __init__(self, front: Front, books: Journal, clock: Clock, rng: random.Random, pause: float, leaves: float,
                 number: str) -> None:
        self._front, self._books, self._clock, self._rng = front, books, clock, rng
        self._pause, self._leaves, self._number = pause, leaves, number
        self._count = 0
        self._stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._used = False

    async def run(self) -> None:
        """Until it is cancelled."""
        try:
            while True:
                await asyncio.sleep(self._rng.expovariate(1 / self._pause))
                if self._stream is None and not await self._connect():
                    continue
                await self._ask()
        finally:
            self._close()

    async def _connect(self) -> bool:
        if not self._front.takes:
            return False
        try:
            async with asyncio.timeout(3.0):
                self._stream = await asyncio.open_connection(*self._front.address)
        except (OSError, TimeoutError):
            await asyncio.sleep(0.02)
            return False
        self._used = False
        return True

    def _close(self) -> None:
        if self._stream is not None:
            self._stream[1].transport.abort()
            self._stream = None

    async def _ask(self) -> None:
        self._count += 1
        rid = f"{self._number}-{self._count}"
        cls = self._rng.choices(("read", "keyed", "once"), (6, 2, 2))[0]
        least, most = PATIENCE[cls]
        patience = round(self._rng.uniform(least, most) * self._front.patience, 3)
        for _ in range(2):
            stream, used = self._stream, self._used
            assert stream is not None
            if used and stream[0].at_eof():   # seen to have ended before the request
                self._close()
                if not await self._connect():
                    return
                continue
            ask = Ask(self._clock(), self._front.name, rid, cls, patience, first=not used)
            try:
                crossed = await self._exchange(stream, used, ask)
            except asyncio.CancelledError:   # the play is over
                ask.left = self._clock()
                self._books.asks.append(ask)
                raise
            if not crossed:
                self._books.asks.append(ask)
                return
            self._close()
            if not await self._connect():   # nobody to send it to once more
                ask.closed = self._clock()
                self._books.asks.append(ask)
                return

    async def _exchange(self, stream: tuple[asyncio.StreamReader, asyncio.StreamWriter], used: bool, ask: Ask) -> bool:
        """One request; true where the end of the connection crossed it unread."""
        reader, writer = stream
        method = "GET" if ask.cls == "read" else "POST"
        more = {"read": "", "keyed": f"Idempotency-Key: k{ask.rid}\r\nContent-Length: 2\r\n",
                "once": "Content-Length: 2\r\n"}[ask.cls]
        writer.write(f"{method} /{ask.cls}/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {ask.rid}\r\n"
                     f"X-Priority-Class: {ask.cls}\r\nX-Timeout-Ms: {int(ask.patience * 1000)}\r\n{more}\r\n".encode()
                     + (b"" if ask.cls == "read" else b"{}"))
        ask.at = self._clock()
        if self._rng.random() < self._leaves:
            try:
                async with asyncio.timeout(self._rng.uniform(0.0, ask.patience)):
                    await reader.readuntil(b"\r\n\r\n")
            except TimeoutError:
                self._close()
                ask.left = self._clock()
                return False
            except (OSError, asyncio.IncompleteReadError):
                return self._ended(used, ask)
            self._close()   # it came, and is not looked at
            ask.left = ask.at + inf
            ask.answered, ask.status, ask.by = self._clock(), 200, ask.rid
            return False
        try:
            async with asyncio.timeout(ask.patience + LATE_ANSWER + DIES_S + 3.0):
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().lower().split("\r\n")
                headers = dict(line.split(": ", 1) for line in lines[1:] if line)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
        except TimeoutError:
            self._close()
            return False
        except (OSError, asyncio.IncompleteReadError):
            return self._ended(used, ask)
        ask.answered, ask.status = self._clock(), int(lines[0].split()[1])
        ask.by = body.decode(errors="replace")
        self._used = True
        if headers.get("connection") == "close":
            self._close()
        return False

    def _ended(self, used: bool, ask: Ask) -> bool:
        self._close()
        if used and self._clock() - ask.at < CROSSING_S:
            return True
        ask.closed = self._clock()
        return False
