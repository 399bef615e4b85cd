"""Attempts that are given up while the kernel still holds a part of their request: no host may begin them later."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import Any

import pytest

from bridgesaddle.api import MS, Outcome
from gateway.timers import now_ns
from tests.sockets import OK, Client, FakeHost, GatewayHarness, request, run_scenario, wait_until
from tests.test_long import chunks
from tests.test_races import second_attempt
from tests.test_upstream import UpstreamHarness

MAX_BEGIN_AFTER_CLOSE_NS = 150 * MS
"""0.1 s, and the 50 ms by which each limit grows on sockets."""
RECEIVE_BUFFER_BYTES = 8 * 1024
PAUSE_S = 0.02


class SlowHost(FakeHost):
    """A host whose kernel takes little, and that reads a body in pieces with a pause before each.

    It records when it has read a request's last byte, which is when it begins the request.
    """

    def __init__(self, piece_bytes: int, name: str = "h0", reads_body: bool = True) -> None:
        super().__init__(name)
        self.piece_bytes = piece_bytes
        self.reads_body = reads_body
        self.heads: list[str] = []
        self.begun: dict[str, int] = {}
        self.lost: asyncio.Queue[str] = asyncio.Queue()   # requests whose connection has ended before their last byte

    async def start(self) -> SlowHost:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(self._serve, sock=sock, limit=RECEIVE_BUFFER_BYTES)
        self.address = f"127.0.0.1:{sock.getsockname()[1]}"
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                request_id = head.split("X-Request-ID: ")[1].split("\r\n")[0]
                self.heads.append(request_id)
                try:
                    await self._read_body(head, reader, writer)
                except (OSError, asyncio.IncompleteReadError):
                    self.lost.put_nowait(request_id)
                    raise
                self.begun[request_id] = now_ns()
                writer.write(OK)
        writer.close()

    async def _read_body(self, head: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.reads_body:
            writer.write(OK)
            await asyncio.sleep(1)
        if "Content-Length: " not in head:
            while size := int(await self._paced(reader.readline()), 16):
                await self._paced(reader.readexactly(size + 2))
            await reader.readline()
            return
        left = int(head.split("Content-Length: ")[1].split("\r\n")[0])
        while left:
            await self._paced(reader.readexactly(min(left, self.piece_bytes)))
            left -= min(left, self.piece_bytes)

    async def _paced(self, reading: Any) -> Any:
        await asyncio.sleep(PAUSE_S)
        return await reading


def upload(size: int, framing: str, rid: str, timeout_ms: int = 6000) -> bytes:
    """A request of this size."""
    if framing == "length":
        return request("keyed", rid=rid, body=bytes(size), X_Timeout_Ms=str(timeout_ms))
    return request("keyed", rid=rid, drop="Content-Length", Transfer_Encoding="chunked", X_Timeout_Ms=str(timeout_ms)) \
        + chunks(bytes(size), 10_000) + b"0\r\n\r\n"


def close(client: Client) -> None:
    client.writer.transport.close()


def end_sending(client: Client) -> None:
    client.writer.write_eof()


async def is_ended(client: Client) -> bool:
    """Whether the client has got a final response, or has left."""
    if client.writer.transport.is_closing():
        return True
    return (await client.read_response())[0] in (502, 503)


# Sizes: in one piece with the head; in the kernel's queue; more than the kernels' queues hold.
@pytest.mark.parametrize("size", [60_000, 300_000, 3_000_000, 9_000_000])
@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("leave", [close, Client.reset, end_sending])
def test_no_upload_is_begun_after_its_client_has_closed(leave: Callable[[Client], None], framing: str,
                                                        size: int) -> None:
    """Guards against an upload that its host begins for nobody, as the kernel goes on sending it."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = SlowHost(size // 50)   # a second and more for a body
            await harness.start(host)
            client = await harness.client()
            client.send(upload(size, framing, "r1"))
            await wait_until(lambda: bool(host.heads))
            await asyncio.wait({asyncio.ensure_future(client.writer.drain())}, timeout=0.2)
            left_at = now_ns()
            leave(client)
            while await asyncio.wait_for(host.lost.get(), 8) != "r1":
                pass
            assert not host.begun, (min(host.begun.values()) - left_at) / MS
            assert await is_ended(client)
            await wait_until(lambda: not harness.gateway.core.open_requests())
            assert host.heads == ["r1"]   # nor is it sent again
    run_scenario(scenario)


@pytest.mark.parametrize("size", [300_000, 2_000_000])
@pytest.mark.parametrize("reads_for_ms", range(200, 600, 50))
def test_an_upload_begins_at_once_after_its_client_has_closed_or_never(reads_for_ms: int, size: int) -> None:
    """Guards against a reset that comes late: the host would have read all of the request by then."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = SlowHost(int(size * PAUSE_S * 1000 / reads_for_ms))
            await harness.start(host)
            client = await harness.client()
            sock = client.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * size)
            client.send(upload(size, "length", "r1"))
            await asyncio.sleep(0.2)
            assert not client.writer.transport.get_write_buffer_size()   # its kernel has all of it
            left_at = now_ns()
            client.writer.transport.abort()
            await wait_until(lambda: bool(host.begun) or not host.lost.empty(), lambda: asyncio.sleep(0.001))
            assert host.begun.get("r1", left_at) - left_at <= MAX_BEGIN_AFTER_CLOSE_NS
    run_scenario(scenario)


@pytest.mark.parametrize("size", [0, 60_000, 300_000])
def test_a_client_that_has_ended_its_sending_is_answered_if_its_host_has_the_request(size: int) -> None:
    """Guards against giving up requests whose last byte has come: their clients may wait for the response."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=None)
            await harness.start(host)
            client = await harness.client()
            client.send(request("keyed", body=bytes(size)))
            client.writer.write_eof()
            seen = await host.received.get()
            await asyncio.sleep(0.3)
            seen.respond()
            assert (await client.read_response())[0] == 200
    run_scenario(scenario)


@pytest.mark.parametrize("size", [60_000, 300_000])
def test_no_request_is_begun_after_its_final_response(size: int) -> None:
    """Guards against a request that runs at a host which was given up, as its time was over, and at another one."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            hosts = [SlowHost(size // 50, name) for name in ("h0", "h1")]
            await harness.start(*hosts)
            client = await harness.client()
            status, _, _ = await client.fetch(upload(size, "length", "r1", timeout_ms=400))
            answered_at = now_ns()
            assert status in (502, 503)
            sent_to = [host for host in hosts if host.heads]
            for host in sent_to:
                await asyncio.wait_for(host.lost.get(), 5)
            assert sent_to and not any(host.begun for host in hosts), answered_at
    run_scenario(scenario)


@pytest.mark.parametrize("size", [40_000, 60_000, 300_000])
def test_a_retry_is_not_begun_after_its_window(size: int) -> None:
    """Guards against a retry that its host begins after the retry window, as the kernel held its end."""
    async def scenario() -> None:
        bench, host = UpstreamHarness(), await SlowHost(size // 20).start()
        bench.set_host(host.address)
        attempt, ended = second_attempt(100 * MS, bytes(size))
        attempt.payload = (attempt.payload[0] + b"Content-Length: %d\r\n" % size, attempt.payload[1])
        bench.upstream.start(attempt)
        assert await ended in (Outcome.MOOT, Outcome.CANCELLED)
        await asyncio.wait_for(host.lost.get(), 5)
        assert not host.begun
    run_scenario(scenario)


def test_a_retry_that_its_host_has_within_the_window_goes_on() -> None:
    """Guards against giving up a retry whose last byte has come, and is confirmed late."""
    async def scenario() -> None:
        bench, host = UpstreamHarness(), await FakeHost(response=None).start()
        bench.set_host(host.address)
        attempt, ended = second_attempt(20 * MS)
        bench.upstream.start(attempt)
        seen = await host.received.get()
        await asyncio.sleep(0.3)
        seen.respond()
        assert await ended is Outcome.OK
    run_scenario(scenario)


def test_a_request_that_waits_for_its_connection_has_not_arrived() -> None:
    """Guards against taking the arrival of a connection's previous request for that of the next one."""
    async def scenario() -> None:
        bench, host = UpstreamHarness(), await FakeHost(response=None).start()
        bench.set_host(host.address)
        first, result = bench.start()
        seen = await host.received.get()
        await wait_until(first.has_arrived)
        seen.respond()
        assert (await result)[0] is Outcome.OK
        second, result = bench.start()   # the connection is not reused yet
        assert second.connection is not None and not second.has_arrived()
        second.connection.abandon(Outcome.CANCELLED)
    run_scenario(scenario)


def test_a_connection_whose_host_answers_before_it_has_the_request_is_not_reused() -> None:
    """Guards against a request that waits behind the rest of an upload which its host does not read."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = SlowHost(100_000, reads_body=False)
            await harness.start(host)
            client = await harness.client()
            client.send(upload(300_000, "length", "r1"))
            assert (await client.read_response())[0] == 200
            assert await asyncio.wait_for(host.lost.get(), 3) == "r1"
    run_scenario(scenario)
