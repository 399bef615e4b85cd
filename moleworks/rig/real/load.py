"""`rig load`: an open loop of requests on one address, measured from the planned time of each.

Nothing waits for an answer before the next one is sent, and waiting for a connection counts: a slow server cannot
hide by slowing its clients.
"""

from __future__ import annotations

import asyncio
import ipaddress
import random
import time
from typing import Any

import uvloop
from hdrh.histogram import HdrHistogram

from moleworks import config

from .. import plan
from .child import Lateness
from .clients import IDLE_MOST, _Connection, _Try

MOST_RPS = 20_000.0
MOST_S = 3600.0


def address(text: str) -> tuple[str, int]:
    """`HOST:PORT` on the loopback interface.  Raises ConfigError: no other machine is ever loaded."""
    host, _, port = text.rpartition(":")
    try:
        if not ipaddress.ip_address(host.strip("[]")).is_loopback or not 0 < int(port) < 65536:
            raise ValueError
    except ValueError:
        raise config.ConfigError([f"{text}: must be a loopback address and a port, such as 127.0.0.1:7070"]) from None
    return host.strip("[]"), int(port)


class Load:
    """The loop.  It stands where `ClientsPart` stands for a connection: free, answered, lost, crossed, seen."""

    def __init__(self, where: tuple[str, int], message: bytes, rps: float, seconds: float, timeout_s: float,
                 seed: int) -> None:
        self._where, self._message = where, message
        self._rps, self._seconds, self._timeout_s = rps, seconds, timeout_s
        self._rng = random.Random(seed)
        self._idle: list[_Connection] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.latency = HdrHistogram(1, 600_000_000, 3)
        self.late = Lateness()
        self.counts: dict[str, int] = {}
        self._open = 0

    async def run(self) -> dict[str, Any]:
        """Until the last answer, or its time-out."""
        self._loop = loop = asyncio.get_running_loop()
        begun, at, number = loop.time() + 0.05, 0.0, 0
        while True:
            at += self._rng.expovariate(self._rps)
            if at >= self._seconds:
                break
            number += 1
            if begun + at - loop.time() > 0.2:
                await asyncio.sleep(begun + at - loop.time() - 0.1)
            loop.call_at(begun + at, self._planned, number, begun + at)
        await asyncio.sleep(max(0.0, begun + self._seconds - loop.time()))
        while self._open and loop.time() < begun + self._seconds + self._timeout_s + 1:
            await asyncio.sleep(0.05)
        latency = self.latency
        return {"asked": number, **self.counts, "open": self._open,
                **{f"p{percent:g}_ms": latency.get_value_at_percentile(percent) / 1000
                   for percent in (50, 90, 99, 99.9, 100)}, **self.late.figures()}

    def _planned(self, number: int, at: float) -> None:
        self._open += 1
        self.late.add(int((self._loop.time() - at) * 1e9))
        ask = plan.PlannedRequest(int(at * 1e9), 0, 0, 0.0, int(self._timeout_s * 1e9), 0)
        held = _Try(number, number, ask, 1, "", ask.ttl_ns, self._message % number)
        held.timer = self._loop.call_at(at + self._timeout_s, self._over_time, held)
        while self._idle:
            connection = self._idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                held.connection = connection
                connection.send(held)
                return
        self._connect(held)

    def _connect(self, held: _Try) -> None:
        task = self._loop.create_task(self._connected(held))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connected(self, held: _Try) -> None:
        connection = _Connection(self, "")
        try:
            await self._loop.create_connection(lambda: connection, *self._where)
        except OSError:
            self.seen(held, "unreachable", 0, 0.0)
            return
        if not held.over:
            held.connection = connection
            connection.send(held)

    def _over_time(self, held: _Try) -> None:
        if not held.over:
            if held.connection is not None:
                held.connection.held = None
                held.connection.abort()
            self.seen(held, "timeout", 0, 0.0)

    def give_back(self, connection: _Connection) -> None:
        """A connection is free."""
        if len(self._idle) < IDLE_MOST:
            self._idle.append(connection)
        else:
            connection.abort()

    def lost(self, connection: _Connection) -> None:
        """A connection is over."""
        if connection in self._idle:
            self._idle.remove(connection)

    def crossed(self, held: _Try) -> None:
        """The close of an idle connection crossed the request."""
        if not held.over:
            self._connect(held)

    def answered(self, held: _Try, status: int, body: bytes, retry_after: float) -> None:
        """A whole answer."""
        self.seen(held, str(status), 0, 0.0)

    def seen(self, held: _Try, how: str, token: int, retry_after: float) -> None:
        """How it ended."""
        if held.over:
            return
        held.over = True
        self._open -= 1
        if held.timer is not None:
            held.timer.cancel()
        self.counts[how] = self.counts.get(how, 0) + 1
        if how == "200":
            self.latency.record_value(max(1, int((self._loop.time() * 1e9 - held.ask.at_ns) / 1000)))


def run(where: str, cls: str, path: str, rps: float, seconds: float, timeout_ms: int, seed: int) -> dict[str, Any]:
    """Load one address for a while and return what was seen.  Raises ConfigError for any but a loopback address."""
    base = f"{time.time_ns() & 0xFFFFFFFF:08x}"   # ids must not repeat those of an earlier call
    message = (f"GET /{cls}{path} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {base}%08x\r\n"
               f"X-Priority-Class: {cls}\r\nX-Timeout-Ms: {timeout_ms}\r\n\r\n").encode()
    load = Load(address(where), message, min(rps, MOST_RPS), min(seconds, MOST_S), timeout_ms / 1000, seed)
    return uvloop.run(load.run())
