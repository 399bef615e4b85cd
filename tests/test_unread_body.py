"""Tests of long uploads whose last byte the gateway can't read, as their host takes no data (incident 42)."""

from __future__ import annotations

import asyncio
import socket
import time
from select import POLLIN
from typing import ClassVar

import pytest

from bridgesaddle.api import MS, SECOND
from gateway.last_byte import MAX_CLIENT_SEND_BUFFER_BYTES, LastByteEstimate
from gateway.stalls import READ_DELAY_TOLERANCE_NS
from tests.sockets import OK, FakeHost, GatewayHarness, request, run_scenario, wait_until
from tests.test_long import chunks
from tests.test_server import Sends

TIMEOUT_S = 0.6
LATEST_S = TIMEOUT_S + 0.5 + 0.05
"""A later response is a lost request: half a second after the client's timeout, and the general tolerance."""
BODY = bytes(5_500_000)   # more than the sockets to a host hold, less than these and a client's own socket hold
MIB = 1 << 20


class PacedHost(FakeHost):
    """A host that reads some bytes at once and the rest at a pace; 0: it reads nothing more."""

    def __init__(self, first_bytes: int, bytes_per_s: int) -> None:
        super().__init__()
        self._first_bytes, self._bytes_per_s = first_bytes, bytes_per_s

    async def start(self) -> PacedHost:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
        self._server = await asyncio.start_server(self._read, sock=listener, limit=1024)
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        return self

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        left = self._first_bytes
        while left > 0:
            left -= len(await reader.read(left))
        while self._bytes_per_s and await reader.read(self._bytes_per_s // 50):
            await asyncio.sleep(0.02)
        await asyncio.Event().wait()


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize(("first_bytes", "bytes_per_s"), [(0, 0), (300_000, 0), (0, 1_000_000)],
                         ids=["silent", "stops half-way", "reads slowly"])
def test_upload_whose_host_takes_no_data_is_answered_in_time(first_bytes: int, bytes_per_s: int, chunked: bool) -> None:
    """Guards against a request without a time limit while its last byte lies unread behind a blocked host."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            await harness.start(PacedHost(first_bytes, bytes_per_s))
            loop, timeout_ms = asyncio.get_running_loop(), str(int(TIMEOUT_S * 1000))
            data = request("once", body=BODY, X_Timeout_Ms=timeout_ms)
            if chunked:
                data = request("once", drop="Content-Length", Transfer_Encoding="chunked", X_Timeout_Ms=timeout_ms) \
                    + chunks(BODY) + b"0\r\n\r\n"
            with socket.socket() as sock:
                sock.setblocking(False)
                await loop.sock_connect(sock, harness.address)
                await loop.sock_sendall(sock, data)
                written_at = time.monotonic()
                assert (await loop.sock_recv(sock, 1000)).startswith(b"HTTP/1.1 503 ")   # it has not run
                assert 0.9 * TIMEOUT_S < time.monotonic() - written_at < LATEST_S
    run_scenario(scenario)


class RecordsTimeLeft(Sends):
    """Records the time left, ns, of each body that is complete."""

    times_left: ClassVar[list[int]] = []

    def on_body_complete(self, now_ns: int, rid: int, ttl_ns: int) -> None:
        self.times_left.append(ttl_ns)


def test_upload_read_after_a_stop_of_the_process_has_only_the_rest_of_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a timeout that starts with the last read, or counts the wait before the first one twice."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            await harness.start(FakeHost(), module_factory=RecordsTimeLeft)
            client, core, server = await harness.client(), harness.gateway.core, harness.gateway.server
            await wait_until(lambda: server.connection_count == 1)
            (connection,) = server._connections
            data = request("once", body=bytes(150_000), X_Timeout_Ms=str(int(TIMEOUT_S * 1000)))
            monkeypatch.setattr("gateway.client_connection.pending_events", lambda _: POLLIN)   # each full read
            monkeypatch.setattr(core, "read_delay_ns", lambda now: 200 * MS if data else 0)   # not at the last
            while data:   # as the event loop does
                buffer = connection.get_buffer(-1)
                part, data = data[:len(buffer)], data[len(buffer):]
                buffer[:len(part)] = part
                connection.buffer_updated(len(part))
                await wait_until(lambda: all(item.connection is not None and item.connection.transport is not None
                                             for request in core.open_requests()
                                             for item in request.in_flight.values()))
            (time_left,) = RecordsTimeLeft.times_left
            client.writer.close()
            assert TIMEOUT_S * SECOND - 250 * MS < time_left < TIMEOUT_S * SECOND - 200 * MS + READ_DELAY_TOLERANCE_NS
    run_scenario(scenario)


def test_read_that_fills_the_buffer_and_leaves_nothing_unread_starts_no_time_limit() -> None:
    """Guards against the wait between a client's pieces, each as long as the buffer, counting against its request."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            await harness.start(FakeHost())
            client, server = await harness.client(), harness.gateway.server
            await wait_until(lambda: server.connection_count == 1)
            (connection,) = server._connections
            buffer = connection.get_buffer(-1)
            buffer[:] = request("once", body=BODY)[:len(buffer)]
            connection.buffer_updated(len(buffer))
            assert connection.request_unread_since() == 0
            client.writer.close()
    run_scenario(scenario)


def test_upload_that_its_client_has_not_finished_has_no_time_limit() -> None:
    """Guards against a time limit that also ends requests whose last byte has not been written."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=OK)
            await harness.start(host)
            client = await harness.client()
            data = request("once", body=BODY, X_Timeout_Ms=str(int(TIMEOUT_S * 1000)))
            client.send(data[:1_000_000])
            await asyncio.sleep(2 * TIMEOUT_S)
            client.send(data[1_000_000:])
            assert (await client.read_response())[0] == 200
            assert len((await host.received.get()).body) == len(BODY)
    run_scenario(scenario)


@pytest.mark.parametrize("chunked", [False, True])
def test_last_byte_is_not_placed_before_its_client_can_have_written_it(chunked: bool) -> None:
    """A client writes 32 MiB as fast as its connection takes them; the gateway reads 1 MiB in each second."""
    length, unread = 32 * MIB, 2 * MIB
    estimate = LastByteEstimate(None if chunked else length)
    for second in range(length // MIB + 1):
        estimate.observe(second * SECOND, second * MIB, min(unread, length - second * MIB))
    first_possible_s = (length - unread - MAX_CLIENT_SEND_BUFFER_BYTES) // MIB
    assert first_possible_s - 1 <= estimate.not_before // SECOND <= first_possible_s


def test_body_that_fits_into_the_kernels_buffers_may_have_been_written_at_once() -> None:
    for length in (None, MAX_CLIENT_SEND_BUFFER_BYTES):
        estimate = LastByteEstimate(length)
        for second in range(4):
            estimate.observe(second * SECOND, second * MIB, 2 * MIB)
        assert estimate.not_before == 0
