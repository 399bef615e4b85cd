"""Tests that the timeout forwarded to a host never exceeds the client's remaining time, wherever the process stalls.

The gateway's thread is stalled at each of its clock reads in turn, from before a request is read until it is written:
whatever the thread does after that read then works with a time that is 0.2 s old.  Hosts and clients run in threads
of their own, so that they continue during the stall and measure correct times.
"""

from __future__ import annotations

import asyncio
import socket
import sys
import threading
import time
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import Any

import pytest

from bridgesaddle.api import MS, SECOND
from gateway.client_connection import MAX_PIPELINED
from gateway.timers import now_ns
from gateway.upstream import SEND_CHECK_VALID_NS
from tests.sockets import FakeHost, GatewayHarness, request, run_scenario

STALL_S = 0.2
SLOW_READ_S = (SEND_CHECK_VALID_NS + MS) / SECOND
"""Duration of each clock read before the stall with `slow`: a check before the send expires and has to be repeated."""
TOLERANCE_S = 0.15
CLIENT_TIMEOUT_S = 2.0
IDLE_S = 0.02
"""How long the gateway is idle before the request under test."""
DONE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
DONE_AND_CLOSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\ndone"
NOT_PROCESSED = b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
LONG = b"x" * 100_000
LAST_READS = 24
"""Number of clock reads before the write that are stalled in turn; before a retry there are more, by timers only."""


class ClockStall:
    """Counts the clock reads of the gateway's thread and stalls the thread at one of them."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._thread = threading.get_ident()
        self._stall_at = 0
        self._slow = False
        self.clock_reads = 0
        self.stalled = threading.Event()
        self._armed = False
        for name, module in list(sys.modules.items()):
            if name.startswith("gateway.") and hasattr(module, "now_ns"):
                monkeypatch.setattr(module, "now_ns", self._now_ns)

    def _now_ns(self) -> int:
        if self._armed and threading.get_ident() == self._thread:
            self.clock_reads += 1
            if self.clock_reads == self._stall_at:
                self.stalled.set()
                time.sleep(STALL_S)
            elif self._slow and self.clock_reads < self._stall_at:
                time.sleep(SLOW_READ_S)
        return now_ns()

    def arm(self, stall_at: int, slow: bool) -> None:
        """Start counting; stall at this clock read (0: at none). `slow`: each earlier read takes SLOW_READ_S."""
        self.clock_reads, self._stall_at, self._slow = 0, stall_at, slow
        self.stalled.clear()
        self._armed = True

    def disarm(self) -> None:
        """Stop counting."""
        self._armed = False


@dataclass
class ReceivedRequest:
    """A request that a host received."""

    at: float          # when its first bytes arrived
    rid: str
    timeout_s: float   # the forwarded timeout
    clock_reads: int   # clock reads of the gateway until then


@dataclass
class Host:
    """Responds to each request immediately; each connection has its own thread."""

    answer: Callable[[int], bytes]   # the response to the request with this number
    stops: ClockStall
    begins: list[ReceivedRequest]    # of all hosts
    heads_without_id: list[bytes] = field(default_factory=list)
    address: str = ""

    def __enter__(self) -> Host:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *raised: object) -> None:
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        try:
            while True:
                threading.Thread(target=self._serve, args=(self._listener.accept()[0],), daemon=True).start()
        except OSError:
            pass

    def _serve(self, conn: socket.socket) -> None:
        data = b""
        with conn:
            try:
                while True:
                    while not data:
                        data = conn.recv(1 << 17)
                        if not data:
                            return
                    data = self._handle(conn, data, time.monotonic(), self.stops.clock_reads)
            except OSError:
                pass

    def _handle(self, conn: socket.socket, data: bytes, received_at: float, clock_reads: int) -> bytes:
        while b"\r\n\r\n" not in data:
            data += _receive(conn)
        head, _, rest = data.partition(b"\r\n\r\n")
        headers = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
        if b"x-request-id" not in headers:
            if b"x-timeout-ms" in head.lower():
                self.heads_without_id.append(head)
            raise ConnectionResetError   # otherwise another process meant the previous user of this port
        self.begins.append(ReceivedRequest(received_at, headers[b"x-request-id"].decode(),
                                           int(headers[b"x-timeout-ms"]) / 1000, clock_reads))
        number = len(self.begins)
        length = int(headers.get(b"content-length", b"0"))
        while b"transfer-encoding" in headers and not rest.endswith(b"0\r\n\r\n"):
            rest += _receive(conn)
        while len(rest) < length:
            rest += _receive(conn)
        conn.sendall(self.answer(number))
        return b"" if b"transfer-encoding" in headers else rest[length:]


def _receive(conn: socket.socket) -> bytes:
    data = conn.recv(1 << 17)
    if not data:
        raise ConnectionResetError
    return data


class Client:
    """One connection of a client whose timeout is `CLIENT_TIMEOUT_S`."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._sock: socket.socket | None = None
        self.sent_at: dict[str, float] = {}

    def connect(self) -> None:
        """Connect unless connected."""
        if self._sock is None:
            self._sock = socket.create_connection(self._address)
            self._sock.settimeout(CLIENT_TIMEOUT_S + 3 * STALL_S)

    def send(self, rid: str, cls: str = "read", body: bytes = b"", chunked: bool = False) -> None:
        """Send a request."""
        self.connect()
        assert self._sock is not None
        message = request(cls, rid, body=body, X_Timeout_Ms=str(int(CLIENT_TIMEOUT_S * 1000)))
        if chunked:
            head = request(cls, rid, drop="Content-Length", X_Timeout_Ms=str(int(CLIENT_TIMEOUT_S * 1000)),
                           Transfer_Encoding="chunked")
            message = head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        self.sent_at[rid] = time.monotonic()
        self._sock.sendall(message)

    def read_status(self) -> int:
        """Read the next response; returns its status."""
        assert self._sock is not None
        data = b""
        while b"\r\n\r\n" not in data:
            data += _receive(self._sock)
        head, _, rest = data.partition(b"\r\n\r\n")
        length = next(int(line.split(b":")[1]) for line in head.lower().split(b"\r\n") if b"content-length" in line)
        while len(rest) < length:
            rest += _receive(self._sock)
        return int(head.split()[1])

    def close(self) -> None:
        """Close the connection."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None


@dataclass(frozen=True)
class Scenario:
    """How a request reaches its host."""

    closes_connection: bool = False   # hosts close each connection: a new one is opened
    rests: bool = False               # the idle connection has just ended a response
    retried: bool = False             # the first attempt is not processed: a retry follows
    new_client: bool = False          # the client opens a connection for this request
    unread: bool = False              # the client sends the request while the gateway is stalled
    cls: str = "read"
    body: bytes = b""
    chunked: bool = False

    def response(self, number: int) -> bytes:
        """The response to the request with this number; the first request warms up the gateway."""
        if self.retried and number == 2:
            return NOT_PROCESSED
        return DONE_AND_CLOSE if self.closes_connection else DONE

    def run_client(self, client: Client, clock_stall: ClockStall, stall_at: int, slow: bool) -> None:
        """Act as the client: one request to warm up, then the request under test."""
        client.send("warm")
        assert client.read_status() == 200
        if self.new_client:
            client.close()
        if not self.rests:
            time.sleep(IDLE_S)
        if not self.retried:
            clock_stall.arm(stall_at, slow)
        if self.unread:
            clock_stall.stalled.wait(STALL_S)
        client.send("r1", self.cls, self.body, self.chunked)
        client.read_status()
        clock_stall.disarm()
        client.close()


SCENARIOS = {
    "new": Scenario(closes_connection=True), "idle": Scenario(), "rests": Scenario(rests=True),
    "retry": Scenario(retried=True),
    "new client": Scenario(new_client=True), "unread": Scenario(unread=True),
    "unread, new client": Scenario(unread=True, new_client=True), "long": Scenario(cls="keyed", body=LONG),
    "long, new": Scenario(cls="once", body=LONG, chunked=True, closes_connection=True),
}


def excess_timeouts(clock_stall: ClockStall, scenario: Scenario, stall_at: int, slow: bool) -> tuple[list[float], int]:
    """By how many seconds each forwarded timeout exceeds the client's time left; clock reads up to the last request."""
    requests: list[ReceivedRequest] = []
    excess_s: list[float] = []

    def respond(number: int) -> bytes:
        response = scenario.response(number)
        if response is NOT_PROCESSED:
            clock_stall.arm(stall_at, slow)   # the retry is the attempt under test
        return response

    async def send_requests() -> None:
        with ExitStack() as exit_stack:
            hosts = [exit_stack.enter_context(Host(respond, clock_stall, requests)) for _ in range(2)]
            instances: list[dict[str, Any]] = [
                {"instanceId": f"h{number}", "hostPort": host.address, "zone": "a", "machineType": "m", "cell": 0,
                 "lifecycle": "in_service", "weight": 1.0, "startedAtMs": 0} for number, host in enumerate(hosts)]
            async with GatewayHarness() as harness:
                await harness.start(instances=instances)
                client = Client(harness.address)
                await asyncio.to_thread(scenario.run_client, client, clock_stall, stall_at, slow)
            assert [head for host in hosts for head in host.heads_without_id] == []
            excess_s.extend(
                received.timeout_s - (client.sent_at[received.rid] + CLIENT_TIMEOUT_S - received.at)
                for received in requests)
    run_scenario(send_requests)
    return excess_s, requests[-1].clock_reads


@pytest.mark.parametrize("slow", [False, True])
def test_stall_at_any_clock_read_does_not_lengthen_the_forwarded_timeout(
        monkeypatch: pytest.MonkeyPatch, slow: bool) -> None:
    clock_stall, failures = ClockStall(monkeypatch), {}
    for name, scenario in SCENARIOS.items():
        clock_reads = excess_timeouts(clock_stall, scenario, 0, slow)[1]
        for stall_at in range(max(1, clock_reads - LAST_READS), clock_reads + 2):
            excess_s, _ = excess_timeouts(clock_stall, scenario, stall_at, slow)
            if max(excess_s) > TOLERANCE_S:
                failures[name, stall_at] = excess_s
    assert failures == {}


def test_forwarded_timeout_excludes_the_time_unread_behind_pipelined_requests() -> None:
    """Guards against counting a request's time only from when it is read.

    While earlier requests of the connection are open, it waits unread in the kernel's buffer.
    """
    async def scenario() -> None:
        host = FakeHost(response=None)
        async with GatewayHarness() as harness:
            await harness.start(host)
            client = await harness.client()
            for number in range(MAX_PIPELINED):
                client.send(request(rid=f"r{number}"))
            seen = await host.received.get()
            await asyncio.sleep(STALL_S)   # all are read, and reading from the connection is paused
            sent_at = time.monotonic()
            client.send(request(rid="last", X_Timeout_Ms="2000"))
            await asyncio.sleep(2 * STALL_S)
            while seen.headers["x-request-id"] != "last":
                seen.respond(DONE_AND_CLOSE)
                seen = await host.received.get()
            time_left_s = sent_at + CLIENT_TIMEOUT_S - time.monotonic()
            assert int(seen.headers["x-timeout-ms"]) / 1000 <= time_left_s + TOLERANCE_S
    run_scenario(scenario)
