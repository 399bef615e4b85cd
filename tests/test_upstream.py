"""Tests of attempts, their outcomes and the connection pool over loopback sockets."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from bridgesaddle.api import MS, SECOND, HostEntry, HostState, Outcome
from gateway.attempt import Attempt, Response
from gateway.memory import MemoryBudget
from gateway.response_parser import MAX_HEAD_BYTES
from gateway.stats import Stats
from gateway.timers import Timers, now_ns
from gateway.update_parser import ListedHost
from gateway.upstream import Upstream
from tests.sockets import OK, FakeHost, GatewayHarness, request, run_scenario, wait_until_reusable

HEAD = b"GET /read/x HTTP/1.1\r\nX-Request-ID: r1\r\n"
NOT_PROCESSED = b"Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"


class UpstreamHarness:
    """An `Upstream` and the outcomes of its attempts."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.timers = Timers(loop)
        self.upstream = Upstream(loop, self.timers, 20, 250 * MS, 15 * SECOND, Stats(), MemoryBudget(1 << 20))

    def set_host(self, address: str, state: HostState = HostState.READY, started_ns: int = 0) -> None:
        host, _, port = address.rpartition(":")
        self.upstream.apply(False, [ListedHost(HostEntry("h0", 0, 0, 0, state, 1.0, started_ns),
                                               (host, int(port)))])

    def start(self, time_left_ns: int = 9 * SECOND,
              body: bytes = b"") -> tuple[Attempt, asyncio.Future[tuple[Outcome, Response | None]]]:
        result: asyncio.Future[tuple[Outcome, Response | None]] = asyncio.get_running_loop().create_future()
        now = now_ns()
        attempt = Attempt("h0", 0, (HEAD + b"Content-Length: %d\r\n" % len(body), body), now, now + time_left_ns,
                          lambda _, outcome, response: result.set_result((outcome, response)))
        self.timers.at(attempt.expires_at, self.expire, attempt)
        self.upstream.start(attempt)
        return attempt, result

    def expire(self, attempt: Attempt) -> None:
        if not attempt.done:
            self.upstream.expire(attempt)


@contextmanager
def manual_listener(harness: UpstreamHarness, receive: int = 0) -> Iterator[socket.socket]:
    """A host whose connections the test accepts itself; `receive` limits the kernel's receive buffer, bytes."""
    with socket.socket() as listener:
        if receive:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)
        harness.set_host(f"127.0.0.1:{listener.getsockname()[1]}")
        yield listener


def full_listener() -> tuple[socket.socket, list[socket.socket], str]:
    """A listener whose accept queue is full: further connections to it are not established."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    queued = []
    for _ in range(3):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
        queued.append(sock)
    return listener, queued, f"127.0.0.1:{listener.getsockname()[1]}"


async def assert_nothing_sent(listener: socket.socket, queued: list[socket.socket], wait_s: float = 0.3) -> None:
    """Accept the connections that wait at a `full_listener`: each must be closed without a byte sent."""
    loop = asyncio.get_running_loop()
    listener.setblocking(False)
    for sock in queued:
        sock.close()
    while True:
        try:
            conn, _ = await asyncio.wait_for(loop.sock_accept(listener), wait_s)
        except TimeoutError:
            break
        with conn:
            assert await loop.sock_recv(conn, 100) == b""


def test_host_connection_is_reused() -> None:
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost()
            await harness.start(host)
            client = await harness.client()
            for number in range(3):
                assert (await client.fetch(request(rid=f"r{number}")))[::2] == (200, b"done")
                await wait_until_reusable()
            assert host.connections == 1
    run_scenario(scenario)


@pytest.mark.parametrize(("reply", "closes", "outcome"), [
    (OK, False, Outcome.OK),
    (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, False, Outcome.OK),
    (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", False, Outcome.OK),
    (b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", False, Outcome.ERROR),
    (b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", False, Outcome.ERROR),
    (b"HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n", False, Outcome.REJECTED),
    (b"HTTP/1.1 503 " + NOT_PROCESSED, False, Outcome.FULL),
    (b"HTTP/1.1 504 " + NOT_PROCESSED, False, Outcome.FULL),
    (b"HTTP/1.1 500 " + NOT_PROCESSED, False, Outcome.ERROR),
    (b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", False, Outcome.ERROR),
    (b"HTTP/1.1 503 No\r\nX-Not-Processed: 0\r\nContent-Length: 0\r\n\r\n", False, Outcome.ERROR),
    (b"", True, Outcome.RESET),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone", True, Outcome.RESET),
    (b"HTTP/1.1 200 OK\r\n\r\ndone", True, Outcome.OK),
    (b"HTTP/1.0 200 OK\r\n\r\ndone", True, Outcome.OK),
    (b"HTTP/1.1 200 OK\r\nContent-Length:\t4 \t\r\n\r\ndone", False, Outcome.OK),
    (b"HTTP/1.1 503 No\r\nX-Not-Processed: 1 \r\nContent-Length: 0 \r\n\r\n", False, Outcome.FULL),
    (b"HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
     b"2;a=b\r\ndo\r\n2\r\nne\r\n0\r\nX-Sum: 1\r\n\r\n", False, Outcome.OK),
    (b"HTTP/1.1 200 OK\r\n\r", True, Outcome.RESET),
    (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n", True, Outcome.RESET),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", False, Outcome.RESET),
    (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + b"x" * 0x20000, False,
     Outcome.RESET),
    (b"HTTP/1.1 200 OK\r\nX: " + b"x" * 2 * MAX_HEAD_BYTES + b"\r\n\r\n", False, Outcome.RESET),
    (b"HTTP/1.1 200 OK\r\nX: " + b"x" * 9 * MAX_HEAD_BYTES, False, Outcome.RESET),
    (b"HTTP/1.1 101 Up\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", False, Outcome.RESET),
    (b"noise\r\n\r\n", False, Outcome.RESET),
])
def test_host_response_determines_the_outcome(reply: bytes, closes: bool, outcome: Outcome) -> None:
    async def scenario() -> None:
        harness, host = UpstreamHarness(), await FakeHost(response=None).start()
        harness.set_host(host.address)
        _, result = harness.start()
        seen = await host.received.get()
        seen.respond(reply)
        if closes:
            seen.writer.close()
        actual, response = await result
        assert actual is outcome
        assert (response.body if response else None) == (b"done" if outcome is Outcome.OK else None)
    run_scenario(scenario)


def test_refused_connection_is_connect_failed() -> None:
    async def scenario() -> None:
        harness = UpstreamHarness()
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))   # bound, but not listening
            harness.set_host(f"127.0.0.1:{free.getsockname()[1]}")
            assert (await harness.start()[1])[0] is Outcome.CONNECT_FAILED
    run_scenario(scenario)


@pytest.mark.parametrize("within", [9 * SECOND, 100 * MS])
def test_nothing_is_sent_on_a_connection_established_too_late(within: int) -> None:
    """Guards against sending a request after its connect timeout or its deadline: it may have been retried already."""
    async def scenario() -> None:
        harness = UpstreamHarness()
        listener, queued, address = full_listener()
        with listener:
            harness.set_host(address)
            _, result = harness.start(within)
            assert (await result)[0] is Outcome.CONNECT_FAILED
            await assert_nothing_sent(listener, queued)
    run_scenario(scenario)


def test_nothing_is_sent_to_a_host_that_drains_during_connect() -> None:
    async def scenario() -> None:
        harness, host = UpstreamHarness(), await FakeHost().start()
        harness.set_host(host.address)
        _, result = harness.start()
        harness.set_host(host.address, HostState.DRAINING)
        assert (await result)[0] is Outcome.CONNECT_FAILED
        assert host.received.empty()
    run_scenario(scenario)


def test_reset_before_the_last_byte_is_written_is_connect_failed() -> None:
    """A host cannot have processed a request that was not written completely, so it may be retried."""
    async def scenario() -> None:
        harness, loop = UpstreamHarness(), asyncio.get_running_loop()
        with manual_listener(harness, 4096) as listener:
            _, result = harness.start(body=b"x" * 20_000_000)
            conn, _ = await loop.sock_accept(listener)
            await loop.sock_recv(conn, 100)
            conn.close()   # bytes are unread, so the kernel sends a reset
            assert (await result)[0] is Outcome.CONNECT_FAILED
    run_scenario(scenario)


def test_timeout_before_the_last_byte_is_written_is_connect_failed() -> None:
    """A host cannot have processed a request that was not written completely, so it may be retried."""
    async def scenario() -> None:
        harness, loop = UpstreamHarness(), asyncio.get_running_loop()
        with manual_listener(harness) as listener:
            _, result = harness.start(300 * MS, body=b"x" * 20_000_000)
            conn, _ = await loop.sock_accept(listener)
            with conn:
                assert (await result)[0] is Outcome.CONNECT_FAILED
    run_scenario(scenario)


def test_cancelled_or_timed_out_attempt_closes_its_connection() -> None:
    async def scenario() -> None:
        harness, host = UpstreamHarness(), await FakeHost(response=None).start()
        harness.set_host(host.address)
        attempt, result = harness.start()
        seen = await host.received.get()
        harness.upstream.cancel(attempt)
        assert (await result)[0] is Outcome.CANCELLED
        await seen.wait_closed()
        _, result = harness.start(900 * MS)
        seen = await host.received.get()
        assert 1 <= int(seen.headers["x-timeout-ms"]) <= 900
        assert (await result)[0] is Outcome.TIMEOUT
        await seen.wait_closed()
    run_scenario(scenario)


def test_cancelled_connects_do_not_use_up_the_connection_limit() -> None:
    """Guards against connections that stay counted after the attempt that opened them was cancelled."""
    async def scenario() -> None:
        harness, host = UpstreamHarness(), await FakeHost().start()
        harness.set_host(host.address)
        for _ in range(40):   # more than the limit of 20 connections
            attempt, result = harness.start()
            harness.upstream.cancel(attempt)
            assert (await result)[0] is Outcome.CANCELLED
        assert (await harness.start()[1])[0] is Outcome.OK
    run_scenario(scenario)


@pytest.mark.parametrize("change", ["restart", "move", "gone"])
def test_connections_of_a_replaced_host_are_closed_and_not_reused(change: str) -> None:
    """Guards against requests on connections to a process that has restarted, moved or left the list."""
    async def scenario() -> None:
        harness, host, other = UpstreamHarness(), await FakeHost().start(), await FakeHost().start()
        harness.set_host(host.address)
        assert (await harness.start()[1])[0] is Outcome.OK
        seen = await host.received.get()
        if change == "gone":
            harness.set_host(host.address, HostState.GONE)
        harness.set_host(other.address if change == "move" else host.address,
                         started_ns=5 if change == "restart" else 0)
        await seen.wait_closed()
        assert (await harness.start()[1])[0] is Outcome.OK
        assert host.connections + other.connections == 2
    run_scenario(scenario)


def test_most_recently_used_connection_is_reused_and_idle_ones_are_closed() -> None:
    async def scenario() -> None:
        harness, host = UpstreamHarness(), await FakeHost(response=None).start()
        harness.set_host(host.address)
        results = [harness.start()[1] for _ in range(2)]
        seen = [await host.received.get() for _ in range(2)]
        for pending, result in zip(seen, results, strict=True):
            pending.respond()
            assert (await result)[0] is Outcome.OK
        await wait_until_reusable()
        harness.upstream.sweep(now_ns() + 8 * SECOND)
        third, result = harness.start()
        assert (await seen[1].reader.readline()).startswith(b"GET ")   # on the connection that became idle last
        harness.upstream.cancel(third)
        harness.upstream.sweep(now_ns() + 10 * SECOND)   # the host closes idle connections after 15 s
        await seen[0].wait_closed()
    run_scenario(scenario)


def test_unsolicited_bytes_close_an_idle_connection() -> None:
    """Guards against taking surplus bytes of a host for the response to the next request."""
    async def scenario() -> None:
        harness, host = UpstreamHarness(), await FakeHost(response=None).start()
        harness.set_host(host.address)
        _, result = harness.start()
        seen = await host.received.get()
        seen.respond(OK + OK)
        assert (await result)[0] is Outcome.OK
        await seen.wait_closed()
        _, result = harness.start()
        seen = await host.received.get()
        seen.respond()
        assert (await result)[0] is Outcome.OK
        seen.respond(b"noise")
        await seen.wait_closed()
    run_scenario(scenario)
