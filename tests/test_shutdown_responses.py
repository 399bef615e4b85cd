"""Responses that have begun when SIGTERM comes: they go on until they are whole, and then the process ends."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from bridgesaddle.api import MS, SECOND
from gateway import client_connection, upstream
from gateway.program import CLIENT_CLOSE_TIMEOUT_NS, SHUTDOWN_MARGIN_NS, SWEEP_INTERVAL_NS
from gateway.timers import now_ns
from tests.sockets import SETTINGS, FakeDiscovery, FakeHost, GatewayHarness, request, run_scenario, wait_until
from tests.test_long import CHUNKED, chunks, read_chunks
from tests.test_operations import OPERATOR_CONFIG, STOP_DRAIN, read_metrics
from tests.test_process import connect, launch, read_log_until, read_operator_metrics, write_config
from tests.test_races import SHORT_CLASSES, launch_with_short_deadlines

SIZE = 12_000_000
"""More than the kernels' buffers hold."""
BODY = bytes(range(250)) * (SIZE // 250)
PIECE_BYTES = 600_000
PIECE_S = 0.1
FAILED_AFTER_S = 0.4 + SHUTDOWN_MARGIN_NS / SECOND
"""Time from SIGTERM after which requests without a response are failed, with short deadlines."""
EXIT_S = CLIENT_CLOSE_TIMEOUT_NS / SECOND + 0.2


class SlowReader:
    """A client that reads its response a piece at a time."""

    def __init__(self, address: tuple[str, int], receive_bytes: int = 0) -> None:
        self._address = address
        self._socket = socket.socket()
        if receive_bytes:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self._socket.setblocking(False)
        self.data = b""

    async def ask(self, text: bytes, end_sending: bool = False) -> None:
        """Send a request and read the first bytes of its response."""
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._socket, self._address)
        await loop.sock_sendall(self._socket, text)
        if end_sending:
            self._socket.shutdown(socket.SHUT_WR)
        self.data = await loop.sock_recv(self._socket, 1000)

    async def read(self, size: int) -> bytes:
        """Read so many bytes, or up to the end of the stream; returns all bytes so far."""
        loop = asyncio.get_running_loop()
        while len(self.data) < size:
            await asyncio.sleep(min(PIECE_S, (size - len(self.data)) / PIECE_BYTES))
            got = 0
            while got < PIECE_BYTES and len(self.data) < size:
                part = await loop.sock_recv(self._socket, min(PIECE_BYTES - got, size - len(self.data)))
                if not part:
                    return self.data
                got += len(part)
                self.data += part
        return self.data

    def close(self) -> None:
        self._socket.close()


def response(framing: str) -> bytes:
    """A long response in this framing, as a host sends it."""
    if framing == "chunks":
        return CHUNKED + chunks(BODY) + b"0\r\n\r\n"
    head = b"HTTP/1.1 200 OK\r\n" if framing == "close" else b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % SIZE
    return head + b"\r\n" + BODY


async def dechunked(data: bytes) -> bytes:
    """The body of a response, whose end must be there."""
    head, _, body = data.partition(b"\r\n\r\n")
    if b"transfer-encoding: chunked" not in head.lower():
        return body
    reader = asyncio.StreamReader()
    reader.feed_data(body)
    reader.feed_eof()
    whole = await read_chunks(reader)
    assert reader.at_eof()
    return whole


@pytest.mark.parametrize("framing", ["length", "chunks", "close"])
@pytest.mark.parametrize("ask", [
    request(), request(Connection="close"), request().replace(b"HTTP/1.1", b"HTTP/1.0")], ids=["1.1", "closing", "1.0"])
@pytest.mark.parametrize("end_sending", [False, True])
def test_a_begun_response_is_whole_although_sigterm_comes(end_sending: bool, ask: bytes, framing: str,
                                                          tmp_path: Path) -> None:
    """Guards against a response that is cut off by the end of a shutdown, while its host gives it and its client reads.
    """
    async def scenario() -> None:
        host = FakeHost(response=None)
        program, address = await launch_with_short_deadlines(tmp_path, host)
        reader = SlowReader(address)
        asking = asyncio.ensure_future(reader.ask(ask, end_sending))
        seen = await host.received.get()
        seen.respond(response(framing))
        if framing == "close":
            seen.writer.close()
        await asking
        program.send_signal(signal.SIGTERM)
        data = await reader.read(2 * SIZE)   # up to the end of the stream
        assert await dechunked(data) == BODY
        read_at = now_ns()
        reader.close()
        assert await program.wait() == 0
        assert now_ns() - read_at < EXIT_S * SECOND
    run_scenario(scenario)


@pytest.mark.parametrize("disturbance", ["SIGTERM", "SIGINT", "SIGHUP", "off", "discovery is lost", "upgrade"])
def test_nothing_that_happens_meanwhile_cuts_a_begun_response(disturbance: str, tmp_path: Path,
                                                              free_port: int) -> None:
    """Guards against an end of the process, or its return to service, by a later signal, call or successor."""
    async def scenario() -> None:
        host, discovery = await FakeHost(response=None).start(), await FakeDiscovery(sends_first_update=True).start()
        config = write_config(tmp_path / "c", discovery, host)
        with socket.create_server(("127.0.0.1", 0)) as free:
            listen = f"127.0.0.1:{free.getsockname()[1]}"
        config.update(listen=listen, operator=f"127.0.0.1:{free_port}",
                      settings={**SETTINGS, "request-classes": SHORT_CLASSES})
        (tmp_path / "c").write_text(json.dumps(config))
        program, address = await launch(tmp_path / "c")
        _, watch = await discovery.calls.get()
        reader, idle, later = SlowReader(address), await connect(address), await connect(address)
        asking = asyncio.ensure_future(reader.ask(request()))
        (await host.received.get()).respond(response("length"))
        await asking
        later.send(request(rid="r2")[:30])
        program.send_signal(signal.SIGTERM)
        await read_log_until(program, "event=shutdown_waits responses=1")
        assert await idle.reader.read() == b""   # closed between requests
        later.send(request(rid="r2")[30:])
        status, headers, _ = await later.read_response()
        assert (status, headers["connection"], host.received.empty()) == (503, "close", True)   # refused, unsent
        successor = None
        if disturbance.startswith("SIG"):
            for _ in range(2):
                program.send_signal(getattr(signal, disturbance))
        elif disturbance == "off":
            operator = await connect(("127.0.0.1", free_port))
            assert (await operator.fetch(STOP_DRAIN))[0] == 409
        elif disturbance == "upgrade":
            successor, _ = await launch(tmp_path / "c", EDGE_OPERATOR="127.0.0.1:0")
        else:
            watch.transport.abort()
        while (await read_operator_metrics(free_port))["svc.responses_in_progress"] != 1:
            pass   # the response to the other client is not confirmed yet
        data = await reader.read(2 * SIZE)
        assert await dechunked(data) == BODY
        reader.close()
        await read_log_until(program, "event=shutdown_ends")
        assert await program.wait() == 0
        if successor is not None:
            successor.send_signal(signal.SIGTERM)
            assert await successor.wait() == 0
    run_scenario(scenario)


async def host_is_silent(gateway: GatewayHarness, host_writer: asyncio.StreamWriter, reader: SlowReader) -> None:
    """The client reads all that the host has sent, which sends no more."""
    with suppress(ConnectionError):
        await reader.read(SIZE)


async def host_breaks(gateway: GatewayHarness, host_writer: asyncio.StreamWriter, reader: SlowReader) -> None:
    await asyncio.sleep(FAILED_AFTER_S + 0.5)
    host_writer.transport.abort()


async def client_leaves(gateway: GatewayHarness, host_writer: asyncio.StreamWriter, reader: SlowReader) -> None:
    await asyncio.sleep(FAILED_AFTER_S + 0.5)
    reader.close()


async def client_reads_nothing(gateway: GatewayHarness, host_writer: asyncio.StreamWriter, reader: SlowReader) -> None:
    """The client has read the first bytes alone."""


async def start_with_short_deadlines(harness: GatewayHarness, host: FakeHost) -> None:
    settings: dict[str, Any] = {"request-classes": SHORT_CLASSES}
    await harness.start(host, **settings)


Play = Callable[[GatewayHarness, asyncio.StreamWriter, SlowReader], Awaitable[None]]


@pytest.mark.parametrize(("play", "size", "ends_after_ns"), [
    (host_is_silent, SIZE // 2, 2 * SECOND), (client_reads_nothing, SIZE, 2 * SECOND),
    (host_breaks, SIZE // 2, 1100 * MS), (client_leaves, SIZE, 1100 * MS)])
def test_a_response_that_breaks_or_stalls_does_not_keep_the_process(play: Play, size: int, ends_after_ns: int,
                                                                    monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a process that never ends, as a client does not read or a host does not go on."""
    for module in (client_connection, upstream):
        monkeypatch.setattr(module, "STREAM_STALL_TIMEOUT_NS", 2 * SECOND)

    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=None)
            await start_with_short_deadlines(harness, host)
            reader = SlowReader(harness.address)
            asking = asyncio.ensure_future(reader.ask(request()))
            seen = await host.received.get()
            seen.respond(response("length")[:size])
            await asking
            harness.gateway.stop()
            stopped_at = now_ns()
            await play(harness, seen.writer, reader)
            await harness.gateway._stopped.wait()
            waited_ns = now_ns() - stopped_at
            assert waited_ns > FAILED_AFTER_S * SECOND
            assert waited_ns < ends_after_ns + 2 * SWEEP_INTERVAL_NS + EXIT_S * SECOND + SECOND
            reader.close()
    run_scenario(scenario)


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_an_upload_without_a_response_is_failed_at_the_end_of_a_shutdown(framing: str) -> None:
    """Guards against an upload that keeps the process, or that is closed with no response: it is not complete."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=None)
            await start_with_short_deadlines(harness, host)
            client = await harness.client()
            body: dict[str, Any] = {"drop": "Content-Length", "Transfer_Encoding": "chunked"} if framing == "chunks" \
                else {"Content_Length": "3000000"}
            client.send(request("once", **body) + chunks(bytes(200_000)))
            await wait_until(lambda: any(item.in_flight for item in harness.gateway.core.open_requests()))
            harness.gateway.stop()
            stopped_at = now_ns()

            async def send_on() -> None:
                client.send(b"3e8\r\n" + bytes(1000) + b"\r\n")
                await asyncio.sleep(0.02)
            reading = asyncio.ensure_future(client.read_response())
            await wait_until(reading.done, send_on)
            status, headers, _ = reading.result()
            assert (status, headers["connection"]) == (502, "close")
            await harness.gateway._stopped.wait()
            assert now_ns() - stopped_at < (FAILED_AFTER_S + EXIT_S) * SECOND
    run_scenario(scenario)


def test_a_slow_reader_of_a_closing_connection_gets_the_last_bytes() -> None:
    """Guards against a cut a second after the host has finished, with the last block still unsent."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=None)
            await harness.start(host, config=OPERATOR_CONFIG)
            reader = SlowReader(harness.address, 16 * 1024)
            asking = asyncio.ensure_future(reader.ask(request(Connection="close")))
            seen, body = await host.received.get(), bytes(range(250)) * 240
            (connection,) = harness.gateway.server._connections
            assert connection.transport is not None
            connection.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            seen.respond(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await asking
            while not connection.lingering:
                await reader.read(len(reader.data) + 2_000)
            assert connection.write_blocked_since   # the last block is unsent
            await asyncio.sleep(3)   # the host has finished, and the client rests
            assert (await read_metrics(harness))["responses_in_progress"] == 1
            assert await dechunked(await reader.read(2 * SIZE)) == body
            reader.close()
    run_scenario(scenario)


def test_a_response_that_is_cut_off_as_its_client_stalls_does_not_look_complete(
        monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an orderly close in the middle of a response whose end is marked by the close."""
    monkeypatch.setattr(client_connection, "STREAM_STALL_TIMEOUT_NS", 1 * SECOND)

    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=None)
            await harness.start(host)
            reader = SlowReader(harness.address)
            asking = asyncio.ensure_future(reader.ask(request().replace(b"HTTP/1.1", b"HTTP/1.0")))
            (await host.received.get()).respond(response("chunks"))
            await asking
            await wait_until(lambda: not harness.gateway.server.connection_count, lambda: asyncio.sleep(0.05))
            with pytest.raises(ConnectionResetError):
                await reader.read(2 * SIZE)
            reader.close()
    run_scenario(scenario)
