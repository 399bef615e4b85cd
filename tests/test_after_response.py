"""Bytes behind a complete response of a host: the response is passed on whole, and what follows it reaches nobody."""

from __future__ import annotations

import asyncio
import json

import pytest

from bridgesaddle.api import HostState, ListKind, Outcome
from tests.sockets import OK, Client, FakeHost, GatewayHarness, request, run_scenario, wait_until
from tests.test_discovery import ROW, DiscoveryHarness
from tests.test_long import CHUNKED, chunks, read_chunks, read_head
from tests.test_upstream import UpstreamHarness

FOLLOWING = {
    "a second response": OK,
    "a long second response": b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + b"s" * 200_000,
    "an error response": b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
    "other bytes": b"\x00\x01 no response",
    "a truncated status line": b"HTTP/1.1 50",
    "a truncated head": b"HTTP/1.1 500 No\r\nContent-Length: 9\r\nX-Server",
    "an interim response": b"HTTP/1.1 100 Continue\r\n\r\n",
    "a switch of protocols": b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\nx",
    "a head that is too long": b"HTTP/1.1 200 OK\r\n" + b"X-Long: %b\r\n" % (b"l" * 5000) * 8,
    "a length that is too long": b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
    "a line end": b"\r\n",
}
SIZES = (0, 20, 3_000, 66_000, 300_000)


def framed(body: bytes, framing: str) -> bytes:
    """A sound response with this body."""
    if framing == "chunks":
        return CHUNKED + chunks(body, 10_000) + b"0\r\nTrailer: t\r\n\r\n"
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


async def read_body(client: Client) -> tuple[int, bytes]:
    """Read a response with a length or in chunks: its status and its body."""
    head = await read_head(client)
    if b"transfer-encoding: chunked" in head:
        return int(head[9:12]), await read_chunks(client.reader)
    length = int(head.partition(b"content-length: ")[2].split(b"\r\n")[0])
    return int(head[9:12]), await client.reader.readexactly(length)


@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("following", FOLLOWING)
def test_a_complete_response_is_passed_on_whole_whatever_follows_it(following: str, framing: str) -> None:
    """Guards against the loss of a response's end, or of all of it, by bytes that its host sends behind it."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=None)
            await harness.start(host)
            client = await harness.client()
            for number, size in enumerate((*SIZES, 3_000_000 if "second" in following else 70_000)):
                body = (b"line %d\r\n" % number * (size // 8 + 1))[:size]
                client.send(request(rid=f"r{number}"))
                seen = await host.received.get()
                assert seen.headers["x-request-id"] == f"r{number}"
                seen.respond(framed(body, framing) + FOLLOWING[following])
                assert await read_body(client) == (200, body)
                await seen.wait_closed()   # never used again
                assert host.connections == number + 1
                assert harness.gateway.core.members_unavailable() == 0
            assert host.received.empty()   # nothing was run twice
    run_scenario(scenario)


@pytest.mark.parametrize(("status_line", "outcome"), [
    (b"500 Internal Server Error\r\n", Outcome.ERROR),
    (b"503 Full\r\nX-Not-Processed: 1\r\n", Outcome.FULL),
    (b"400 Bad Request\r\n", Outcome.REJECTED)])
@pytest.mark.parametrize("following", FOLLOWING)
def test_the_outcome_is_that_of_the_first_response(following: str, status_line: bytes, outcome: Outcome) -> None:
    """Guards against a host's error that is served as the 200 which follows it, and against a lost `never ran`."""
    async def scenario() -> None:
        harness, host = UpstreamHarness(), await FakeHost(response=None).start()
        harness.set_host(host.address)
        _, result = harness.start()
        first = b"HTTP/1.1 " + status_line + b"Content-Length: 6\r\n\r\nerror\n"
        (await host.received.get()).respond(first + FOLLOWING[following])
        assert await result == (outcome, None)
    run_scenario(scenario)


@pytest.mark.parametrize("broken", [
    framed(b"x" * 200_000, "chunks")[:-30] + b"z\r\n" + OK,             # a bad chunk size before the end
    framed(b"x" * 200_000, "chunks")[:-9] + b"H: " + b"t" * 40_000 + b"\r\n\r\n" + OK,   # trailers that are too long
    framed(b"x" * 200_000, "length")[:-30]])                            # the close comes before the end
def test_a_response_that_breaks_before_its_end_stays_broken(broken: bytes) -> None:
    """Guards against a broken response that looks complete to the client."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=None)
            await harness.start(host)
            client = await harness.client()
            client.send(request())
            seen = await host.received.get()
            seen.respond(broken)
            seen.writer.close()
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                await read_body(client)
            await wait_until(lambda: not harness.gateway.core.open_requests())
    run_scenario(scenario)


def test_a_response_without_a_length_has_all_bytes_up_to_the_close() -> None:
    """Guards against taking what looks like a second response in such a body for bytes behind it."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=None)
            await harness.start(host)
            for size in SIZES:
                client = await harness.client()
                client.send(request(rid=f"r{size}"))
                seen = await host.received.get()
                body = b"b" * size + OK + b"\r\n"
                seen.respond(b"HTTP/1.1 200 OK\r\n\r\n" + body)
                seen.writer.close()
                assert await read_body(client) == (200, body)
    run_scenario(scenario)


@pytest.mark.parametrize("following", FOLLOWING)
def test_a_complete_list_is_used_whatever_follows_it(following: str) -> None:
    """Guards against the loss of a list that discovery has told, by bytes that it sends behind it."""
    async def scenario() -> None:
        harness = DiscoveryHarness()
        fake, discovery = await harness.start()
        discovery.fetch()
        _, writer = await fake.calls.get()
        body = json.dumps({"generation": 50, "reset": True, "instances": [ROW]}).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body + FOLLOWING[following])
        kind, listed = await harness.reported.get()
        assert (kind, len(listed), discovery.generation) == (ListKind.FULL, 1, 50)
    run_scenario(scenario)


@pytest.mark.parametrize("following", [b"z\r\n", b"0\r\n\r\n", b"0\r\n\r\n" + OK, b"0\r\n\r\nHTTP/1.1 503"])
def test_a_change_is_used_if_its_watch_breaks_behind_it(following: bytes) -> None:
    """Guards against sending to a draining host, as the end of the watch came in one read with the drain."""
    async def scenario() -> None:
        harness = DiscoveryHarness()
        fake, discovery = await harness.start()
        discovery.watch(True)
        _, writer = await fake.calls.get()
        fake.send_head(writer)
        line = json.dumps({"generation": 43, "reset": False, "instances": [{**ROW, "lifecycle": "terminating"}]}) + "\n"
        writer.write(b"%x\r\n%b\r\n" % (len(line), line.encode()) + following)
        kind, [item] = await harness.reported.get()
        assert (kind, item.entry.state) == (ListKind.DELTA, HostState.DRAINING)
        assert await harness.reported.get() == (ListKind.FAILED, [])   # the watch has ended
    run_scenario(scenario)


@pytest.mark.parametrize("size", [20, 60_000, 300_000])
def test_a_head_that_begins_behind_a_long_message_is_not_too_long(size: int) -> None:
    """Guards against counting the bytes of earlier requests in the same read as part of the next head (431)."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost()
            await harness.start(host)
            client = await harness.client()
            for number in range(10):
                first, second = (request("keyed", rid=f"{name}{number}", body=b"b" * size) for name in "ab")
                client.send(first + second[:60])
                assert (await client.read_response())[0] == 200
                client.send(second[60:])
                assert (await client.read_response())[0] == 200
    run_scenario(scenario)
