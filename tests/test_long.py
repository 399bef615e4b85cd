"""Tests of long messages and HTTP/1.1 framing over loopback sockets.

Long bodies are streamed with bounded memory and are never truncated unnoticed.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from bridgesaddle.api import SECOND, Outcome
from gateway import upstream
from gateway.body import MAX_REPLAY_BYTES, Body
from gateway.client_connection import HEAD_TIMEOUT_NS
from gateway.memory import MIN_READ_BYTES, MemoryBudget
from gateway.program import SWEEP_INTERVAL_NS
from gateway.timers import now_ns
from tests.sockets import (
    CLOSING_RESPONSE,
    Client,
    FakeHost,
    GatewayHarness,
    request,
    run_scenario,
    wait_until,
    wait_until_reusable,
)
from tests.test_operations import HEALTH_REQUEST, OPERATOR_CONFIG, read_metrics
from tests.test_server import Sends

LONG = bytes(range(256)) * 8192   # 2 MB
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
FULL = b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"


class RefusesAfterFull(Sends):
    """Refuses a request after `Outcome.FULL` instead of retrying it."""

    def on_outcome(self, *args: Any) -> None:
        if Outcome.FULL in args:
            self.actions.refuse(args[1], 0)


def chunks(data: bytes, size: int = 50_000, extension: bytes = b"") -> bytes:
    """A chunked body without its last chunk (the one of size 0)."""
    return b"".join(b"%x%b\r\n%b\r\n" % (len(part), extension, part)
                    for part in (data[start:start + size] for start in range(0, len(data), size)))


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a chunked body and discard its trailers."""
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        assert await reader.readexactly(2) == b"\r\n"
    while await reader.readuntil(b"\r\n") != b"\r\n":
        pass
    return body


async def read_head(client: Client) -> bytes:
    """Read the head of a response, in lower case."""
    return (await client.reader.readuntil(b"\r\n\r\n")).lower()


def test_long_request_body_is_forwarded_completely() -> None:
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost()
            await harness.start(host, config=OPERATOR_CONFIG)
            client = await harness.client()
            for number in range(2):   # twice: both connections can be reused
                assert (await client.fetch(request("keyed", rid=f"r{number}", body=LONG)))[0] == 200
                seen = await host.received.get()
                assert (seen.body, seen.headers["content-length"]) == (LONG, str(len(LONG)))
                await wait_until_reusable()
            assert host.connections == 1
            metrics = await read_metrics(harness)
            assert (metrics["upstream_requests"], metrics["downstream_requests.keyed.completed"]) == (2, 2)
    run_scenario(scenario)


def test_long_chunked_request_body_is_forwarded_in_chunks() -> None:
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=None)
            await harness.start(host)
            client = await harness.client()
            client.send(request("once", drop="Content-Length", Transfer_Encoding="chunked")
                        + chunks(LONG, extension=b";a=b") + b"0\r\nX-Request-ID: other\r\n\r\n")
            seen = await host.received.get()
            assert "content-length" not in seen.headers
            assert await read_chunks(seen.reader) == LONG
            seen.respond()
            assert (await client.read_response())[0] == 200
    run_scenario(scenario)


def test_requests_that_arrive_byte_by_byte_are_parsed_correctly() -> None:
    """Guards against parser state that is lost between two reads."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost()
            await harness.start(host)
            client = await harness.client()
            data = (request("once", rid="r0", body=b"x" * 50)
                    + request("once", rid="r1", drop="Content-Length", Transfer_Encoding="chunked")
                    + chunks(b"y" * 50, 7, b";q=1") + b"0\r\nT: 1\r\n\r\n" + request(rid="r2"))
            for position in range(len(data)):
                client.send(data[position:position + 1])
                await client.writer.drain()
                await asyncio.sleep(0)
            for body in (b"x" * 50, b"y" * 50, b""):
                assert (await client.read_response())[0] == 200
                assert (await host.received.get()).body == body
    run_scenario(scenario)


def test_100_continue_is_sent_after_the_responses_of_earlier_requests() -> None:
    """Guards against an interim response that overtakes the response to an earlier pipelined request."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=None)
            await harness.start(host)
            client = await harness.client()
            long = request("once", rid="r1", body=LONG, Expect="100-continue")
            client.send(request(rid="r0") + long.removesuffix(LONG))
            (await host.received.get()).respond(CLOSING_RESPONSE)
            assert (await client.read_response())[0] == 200   # the earlier request is answered first
            assert await client.reader.readexactly(25) == b"HTTP/1.1 100 Continue\r\n\r\n"
            client.send(LONG)
            seen = await host.received.get()
            assert seen.body == LONG
            seen.respond()
            assert (await client.read_response())[0] == 200
    run_scenario(scenario)


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("size", [0, 20, 300_000])
@pytest.mark.parametrize("offer", ["h2c", "websocket"])
def test_request_that_offers_an_upgrade_is_forwarded_with_its_body(offer: str, size: int, chunked: bool) -> None:
    """Guards against a request without its body at the host, and against the loss of the requests behind it."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host, body = FakeHost(response=None), bytes(number % 251 for number in range(size))
            await harness.start(host)
            client = await harness.client()
            connection = "Upgrade, HTTP2-Settings"
            if chunked:
                data = request("once", drop="Content-Length", Transfer_Encoding="chunked", Connection=connection,
                               HTTP2_Settings="AAMA", Upgrade=offer)
                data += chunks(body, extension=b";e=1") + b"0\r\nT: 1\r\n\r\n"
            else:
                data = request("once" if size else "read", body=body, Connection=connection, HTTP2_Settings="AAMA",
                               Upgrade=offer)
            step = 1 if size == 20 else len(data)   # in one piece, and byte by byte
            for start in range(0, len(data), step):
                client.send(data[start:start + step])
                await asyncio.sleep(0)
            client.send(request("once", rid="r2", body=b"second"))
            seen = {}
            for _ in range(2):
                received = await host.received.get()
                whole = received.body
                if received.headers.get("transfer-encoding") == "chunked":
                    whole = await read_chunks(received.reader)
                seen[received.headers["x-request-id"]] = whole, received.headers.get("upgrade")
                received.respond(CLOSING_RESPONSE)
            assert seen == {"r1": (body, None), "r2": (b"second", None)}
            for _ in range(2):   # the connection goes on as one of HTTP/1.1
                status, headers, _ = await client.read_response()
                assert (status, headers.get("connection")) == (200, None)
            client.send(request(rid="r3"))
            (await host.received.get()).respond(CLOSING_RESPONSE)
            assert (await client.read_response())[0] == 200
    run_scenario(scenario)


def test_connect_request_gets_an_error_and_is_not_forwarded() -> None:
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost()
            await harness.start(host)
            client = await harness.client()
            tunnel = request().replace(b"GET", b"CONNECT")
            assert (await client.fetch(tunnel + request(rid="r2")))[0] == 400
            assert (await client.reader.read(), host.received.empty()) == (b"", True)
    run_scenario(scenario)


def test_white_space_around_header_values_is_ignored() -> None:
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost()
            await harness.start(host)
            client = await harness.client()
            data = request("keyed", body=b"1234")
            lines = data.replace(b"\r\n", b" \t\r\n").replace(b" \t\r\n \t\r\n", b" \t\r\n\r\n")
            lines = lines.replace(b" HTTP/1.1 \t", b" HTTP/1.1").replace(b": ", b":\t ")
            assert (await client.fetch(lines))[0] == 200
            seen = await host.received.get()
            assert (seen.body, seen.headers["idempotency-key"]) == (b"1234", "kr1")
    run_scenario(scenario)


@pytest.mark.parametrize("framing", ["length", "chunks", "close"])
@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
def test_long_response_is_forwarded_completely_in_every_framing(framing: str, version: bytes) -> None:
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=None)
            await harness.start(host, config=OPERATOR_CONFIG)
            client = await harness.client()
            client.send(request().replace(b"HTTP/1.1", b"HTTP/" + version))
            seen = await host.received.get()
            if framing == "length":
                seen.respond(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LONG) + LONG)
            elif framing == "chunks":
                seen.respond(CHUNKED + chunks(LONG, extension=b";x") + b"0\r\nTrailer: 1\r\n\r\n")
            else:
                seen.respond(b"HTTP/1.1 200 OK\r\n\r\n" + LONG)
                seen.writer.close()
            response_head = await read_head(client)
            if b"transfer-encoding: chunked" in response_head:
                assert version == b"1.1"
                assert await read_chunks(client.reader) == LONG
            elif b"content-length" in response_head:
                assert await client.reader.readexactly(len(LONG)) == LONG
            else:
                assert b"connection: close" in response_head
                assert await client.reader.read(-1) == LONG
            assert (await read_metrics(harness))["downstream_requests.read.completed"] == 1
    run_scenario(scenario)


def test_late_response_of_unknown_length_is_not_truncated_at_the_deadline(
        monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against buffering the response up to the client's deadline, at which the request fails.

    The gateway buffers the start of a response of unknown length; here for longer than the client waits.
    """
    monkeypatch.setattr(upstream, "UNKNOWN_LENGTH_BUFFER_NS", 10 * SECOND)

    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=None)
            await harness.start(host)
            client = await harness.client()
            client.send(request(X_Timeout_Ms="900"))
            seen = await host.received.get()
            seen.respond(CHUNKED + chunks(b"first"))
            assert b" 200 " in await read_head(client)
            seen.respond(chunks(LONG) + b"0\r\n\r\n")
            assert await read_chunks(client.reader) == b"first" + LONG
    run_scenario(scenario)


@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
def test_client_can_detect_a_truncated_long_response(framing: str, version: bytes) -> None:
    """Guards against ending a truncated response in a way that looks complete to the client."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=None)
            await harness.start(host, config=OPERATOR_CONFIG)
            client = await harness.client()
            client.send(request().replace(b"HTTP/1.1", b"HTTP/" + version))
            seen = await host.received.get()
            if framing == "length":
                seen.respond(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (2 * len(LONG)) + LONG)
            else:
                seen.respond(CHUNKED + chunks(LONG))
            seen.writer.close()
            await read_head(client)
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                if framing == "length" or version == b"1.0":
                    await client.reader.readexactly(2 * len(LONG))   # to HTTP/1.0 a close looks complete
                    assert version == b"1.1"
                else:
                    await read_chunks(client.reader)
            assert (await read_metrics(harness))["downstream_requests.read.failed"] == 1
    run_scenario(scenario)


def test_client_that_does_not_read_slows_down_only_its_own_host() -> None:
    """Guards against unbounded buffering for a slow client, and against blocking other clients meanwhile."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            slow = FakeHost(response=None)
            await harness.start(slow)
            client = await harness.client()
            client.send(request())
            seen = await slow.received.get()
            long = LONG * 8
            seen.respond(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(long) + long)
            server = harness.gateway.server
            conn = next(iter(server._connections))
            await wait_until(lambda: bool(conn._write_blocked_since))
            assert conn.transport is not None
            assert conn.transport.get_write_buffer_size() <= 3 * MAX_REPLAY_BYTES   # the rest stays at the host
            assert (await (await harness.client()).fetch(HEALTH_REQUEST))[0] == 200
            await read_head(client)
            assert await client.reader.readexactly(len(long)) == long
    run_scenario(scenario)


def test_body_over_the_size_limit_gets_413_and_the_host_gets_no_complete_body() -> None:
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=None)
            await harness.start(host)
            client = await harness.client()
            client.send(request("once", drop="Content-Length", Transfer_Encoding="chunked"))

            async def send() -> None:
                for _ in range(17):
                    client.send(chunks(LONG))
                    await client.writer.drain()
            sending = asyncio.ensure_future(send())
            seen = await host.received.get()
            await seen.wait_closed()
            assert (await client.read_response())[0] == 413
            sending.cancel()
    run_scenario(scenario)


def test_disconnect_during_a_request_body_closes_the_host_connection() -> None:
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=None)
            await harness.start(host)
            client = await harness.client()
            client.send(request("once", drop="Content-Length", Transfer_Encoding="chunked") + chunks(LONG))
            seen = await host.received.get()
            client.writer.close()
            await seen.wait_closed()
            await wait_until(lambda: not harness.gateway.core.open_requests())
    run_scenario(scenario)


def test_connection_stays_usable_after_503_during_a_request_body() -> None:
    """Guards against taking the remainder of a rejected body for the next request."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=None)
            await harness.start(host, module_factory=RefusesAfterFull)
            client = await harness.client()
            client.send(request("once", drop="Content-Length", Transfer_Encoding="chunked") + chunks(LONG))
            (await host.received.get()).respond(FULL)
            assert (await client.read_response())[0] == 503
            client.send(chunks(LONG) + b"0\r\n\r\n" + request(rid="r2"))
            (await host.received.get()).respond()
            assert (await client.read_response())[0] == 200
    run_scenario(scenario)


def test_request_body_without_progress_gets_408() -> None:
    """Guards against a body timeout that also ends requests whose body makes progress."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=None)
            await harness.start(host)
            steady, stalled = await harness.client(), await harness.client()
            for client, rid in ((steady, "r1"), (stalled, "r2")):
                client.send(request("once", rid=rid, Content_Length=str(len(LONG))))
            steady.send(LONG[:200_000])
            server = harness.gateway.server
            await wait_until(lambda: len(server._connections) == 2 and all(
                conn._body_started_at for conn in server._connections)
                and max(conn._received for conn in server._connections) == 200_000)
            server.sweep(now_ns() + HEAD_TIMEOUT_NS + SECOND)   # 3.4 s, while the timeout of the request is 6 s
            assert (await stalled.read_response())[0] == 408
            assert not steady.reader.at_eof()
    run_scenario(scenario)


class FakeSink:
    """Stands in for the connection to a host."""

    def __init__(self) -> None:
        self.written = b""
        self.write_blocked = False
        self.ended = False

    def write_body(self, data: bytes) -> None:
        self.written += data

    def finish_body(self) -> None:
        self.ended = True


def test_body_can_be_replayed_until_it_exceeds_the_replay_buffer() -> None:
    committed = []
    body, first, second = Body(None, b"a" * (MAX_REPLAY_BYTES - 10), lambda: None), FakeSink(), FakeSink()
    body.on_committed = lambda: committed.append(True)
    first.written += body.attach(first)
    body.feed(b"b" * 10)
    body.detach(first)
    assert body.full   # nothing more is read until a host takes the body
    second.written += body.attach(second)
    assert second.written == first.written == b"a" * (MAX_REPLAY_BYTES - 10) + b"b" * 10
    assert not committed
    body.feed(b"c")
    assert committed and not body.replay_buffer
    second.write_blocked = True
    assert body.full
    body.finish()
    assert (second.written[-1:], second.ended) == (b"c", True)


def test_streams_share_the_memory_budget() -> None:
    budget = MemoryBudget(48 << 20)
    single_stream_bytes = budget.read_bytes()
    budget.streams = 600
    assert MIN_READ_BYTES <= budget.read_bytes() < single_stream_bytes == 64 * 1024
    assert budget.read_bytes() * budget.streams <= budget.max_bytes
    budget.held_bytes = budget.max_bytes
    assert budget.read_bytes() == MIN_READ_BYTES


def test_long_body_over_the_memory_budget_gets_503_and_is_not_sent() -> None:
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost()
            await harness.start(host)
            budget = harness.gateway.memory_budget
            budget.max_bytes = budget.held_bytes + MAX_REPLAY_BYTES
            client = await harness.client()
            status, headers, _ = await client.fetch(request("once", body=LONG[:2 * MAX_REPLAY_BYTES]))
            assert (status, headers["connection"]) == (503, "close")
            assert (await (await harness.client()).fetch(
                request("once", rid="r2", body=LONG[:MAX_REPLAY_BYTES // 4])))[0] == 200
            assert (await host.received.get()).headers["x-request-id"] == "r2"
    run_scenario(scenario)


def test_head_timeout_is_between_two_and_three_seconds() -> None:
    assert 2 * SECOND < HEAD_TIMEOUT_NS <= 3 * SECOND - SWEEP_INTERVAL_NS
