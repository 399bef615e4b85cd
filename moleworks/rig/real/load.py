"""`rig load`: an open loop of requests on one address, measured from the planned time of each.

No request waits for the response of another, and waiting for a connection counts as latency: a slow server cannot
improve its figures by slowing down its clients.
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
from .clients import MAX_IDLE_CONNECTIONS, _ClientRequest, _Connection

MAX_RPS = 20_000.0
MAX_DURATION_S = 3600.0


def address(text: str) -> tuple[str, int]:
    """`HOST:PORT` on the loopback interface.  Raises ConfigError for any other: no other machine may be loaded."""
    host, _, port = text.rpartition(":")
    try:
        if not ipaddress.ip_address(host.strip("[]")).is_loopback or not 0 < int(port) < 65536:
            raise ValueError
    except ValueError:
        raise config.ConfigError([f"{text}: must be a loopback address and a port, such as 127.0.0.1:7070"]) from None
    return host.strip("[]"), int(port)


class Load:
    """The load generator; like `ClientsProgram` it is the owner of its connections."""

    def __init__(self, address: tuple[str, int], message: bytes, rps: float, seconds: float, timeout_s: float,
                 seed: int) -> None:
        self._address, self._message = address, message
        self._rps, self._seconds, self._timeout_s = rps, seconds, timeout_s
        self._rng = random.Random(seed)
        self._idle: list[_Connection] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.latency = HdrHistogram(1, 600_000_000, 3)
        self.lateness = Lateness()
        self.counts: dict[str, int] = {}
        self._open_requests = 0

    async def run(self) -> dict[str, Any]:
        """Run until the last response or its timeout."""
        self._loop = loop = asyncio.get_running_loop()
        started_at, planned_s, number = loop.time() + 0.05, 0.0, 0
        while True:
            planned_s += self._rng.expovariate(self._rps)
            if planned_s >= self._seconds:
                break
            number += 1
            if started_at + planned_s - loop.time() > 0.2:
                await asyncio.sleep(started_at + planned_s - loop.time() - 0.1)
            loop.call_at(started_at + planned_s, self._start_planned, number, started_at + planned_s)
        await asyncio.sleep(max(0.0, started_at + self._seconds - loop.time()))
        while self._open_requests and loop.time() < started_at + self._seconds + self._timeout_s + 1:
            await asyncio.sleep(0.05)
        latency = self.latency
        return {"asked": number, **self.counts, "open": self._open_requests,
                **{f"p{percent:g}_ms": latency.get_value_at_percentile(percent) / 1000
                   for percent in (50, 90, 99, 99.9, 100)}, **self.lateness.figures()}

    def _start_planned(self, number: int, planned_at: float) -> None:
        self._open_requests += 1
        self.lateness.add(int((self._loop.time() - planned_at) * 1e9))
        planned = plan.PlannedRequest(int(planned_at * 1e9), 0, 0, 0.0, int(self._timeout_s * 1e9), 0)
        request = _ClientRequest(number, number, planned, 1, "", planned.ttl_ns, self._message % number)
        request.timer = self._loop.call_at(planned_at + self._timeout_s, self._on_timeout, request)
        while self._idle:
            connection = self._idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                request.connection = connection
                connection.send(request)
                return
        self._connect(request)

    def _connect(self, request: _ClientRequest) -> None:
        task = self._loop.create_task(self._connect_and_send(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect_and_send(self, request: _ClientRequest) -> None:
        connection = _Connection(self, "")
        try:
            await self._loop.create_connection(lambda: connection, *self._address)
        except OSError:
            self.on_outcome(request, "unreachable", 0, 0.0)
            return
        if not request.ended:
            request.connection = connection
            connection.send(request)

    def _on_timeout(self, request: _ClientRequest) -> None:
        if not request.ended:
            if request.connection is not None:
                request.connection.request = None
                request.connection.abort()
            self.on_outcome(request, "timeout", 0, 0.0)

    def on_idle(self, connection: _Connection) -> None:
        """The connection is idle."""
        if len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            connection.abort()

    def on_closed(self, connection: _Connection) -> None:
        """The connection is closed."""
        if connection in self._idle:
            self._idle.remove(connection)

    def on_close_before_response(self, request: _ClientRequest) -> None:
        """The server closed an idle connection while the request was being sent."""
        if not request.ended:
            self._connect(request)

    def on_response(self, request: _ClientRequest, status: int, body: bytes, retry_after: float) -> None:
        """A complete response has been received."""
        self.on_outcome(request, str(status), 0, 0.0)

    def on_outcome(self, request: _ClientRequest, outcome: str, token: int, retry_after: float) -> None:
        """Record the outcome of a request."""
        if request.ended:
            return
        request.ended = True
        self._open_requests -= 1
        if request.timer is not None:
            request.timer.cancel()
        self.counts[outcome] = self.counts.get(outcome, 0) + 1
        if outcome == "200":
            self.latency.record_value(max(1, int((self._loop.time() * 1e9 - request.planned.at_ns) / 1000)))


def run(where: str, cls: str, path: str, rps: float, seconds: float, timeout_ms: int, seed: int) -> dict[str, Any]:
    """Generate load on one address and return the results.  Raises ConfigError for any but a loopback address."""
    base = f"{time.time_ns() & 0xFFFFFFFF:08x}"   # request ids must not repeat those of an earlier run
    message = (f"GET /{cls}{path} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {base}%08x\r\n"
               f"X-Priority-Class: {cls}\r\nX-Timeout-Ms: {timeout_ms}\r\n\r\n").encode()
    load = Load(address(where), message, min(rps, MAX_RPS), min(seconds, MAX_DURATION_S), timeout_ms / 1000, seed)
    return uvloop.run(load.run())
