"""Long messages and the forms of HTTP/1.1, over loopback sockets: streamed, bounded, never cut."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from bridgesaddle.api import SECOND, Outcome
from gateway import upstream
from gateway.body import MAX_REPLAY_BYTES, Body, StreamBudget
from gateway.program import SWEEP_INTERVAL_NS
from gateway.server import HEAD_TIMEOUT_NS
from gateway.timers import now_ns
from tests.sockets import OK, Client, FakeHost, Stage, play, request, rested, until
from tests.test_operations import HEALTH_REQUEST, OPERATOR_CONFIG, read_metrics
from tests.test_server import Sends

LONG = bytes(range(256)) * 8192   # 2 MB
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
FULL = b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"


class RefusesWhatIsFull(Sends):
    """A module that does not try again."""

    def on_outcome(self, *args: Any) -> None:
        if Outcome.FULL in args:
            self.actions.refuse(args[1], 0)


def chunks(data: bytes, size: int = 50_000, extension: bytes = b"") -> bytes:
    """A body in chunks, up to the last but one."""
    return b"".join(b"%x%b\r\n%b\r\n" % (len(part), extension, part)
                    for part in (data[at:at + size] for at in range(0, len(data), size)))


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """A chunked body, its trailers thrown away."""
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        assert await reader.readexactly(2) == b"\r\n"
    while await reader.readuntil(b"\r\n") != b"\r\n":
        pass
    return body


async def head(client: Client) -> bytes:
    """The head of an answer."""
    return (await client.reader.readuntil(b"\r\n\r\n")).lower()


def test_a_long_body_goes_on_whole() -> None:
    async def scene() -> None:
        async with Stage() as stage:
            host = FakeHost()
            await stage.begin(host, told=OPERATOR_CONFIG)
            client = await stage.client()
            for number in range(2):   # the connections can be used again
                assert (await client.ask(request("keyed", rid=f"r{number}", body=LONG)))[0] == 200
                seen = await host.seen.get()
                assert (seen.body, seen.headers["content-length"]) == (LONG, str(len(LONG)))
                await rested()
            assert host.connections == 1
            told = await read_metrics(stage)
            assert (told["upstream_requests"], told["downstream_requests.keyed.completed"]) == (2, 2)
    play(scene)


def test_a_long_body_in_chunks_goes_on_in_chunks() -> None:
    async def scene() -> None:
        async with Stage() as stage:
            host = FakeHost(reply=None)
            await stage.begin(host)
            client = await stage.client()
            client.send(request("once", drop="Content-Length", Transfer_Encoding="chunked")
                        + chunks(LONG, extension=b";a=b") + b"0\r\nX-Request-ID: other\r\n\r\n")
            seen = await host.seen.get()
            assert "content-length" not in seen.headers
            assert await read_chunks(seen.reader) == LONG
            seen.reply()
            assert (await client.answer())[0] == 200
    play(scene)


def test_pieces_of_any_size_make_the_same_requests() -> None:
    async def scene() -> None:
        async with Stage() as stage:
            host = FakeHost()
            await stage.begin(host)
            client = await stage.client()
            data = (request("once", rid="r0", body=b"x" * 50)
                    + request("once", rid="r1", drop="Content-Length", Transfer_Encoding="chunked")
                    + chunks(b"y" * 50, 7, b";q=1") + b"0\r\nT: 1\r\n\r\n" + request(rid="r2"))
            for at in range(len(data)):
                client.send(data[at:at + 1])
                await client.writer.drain()
                await asyncio.sleep(0)
            for body in (b"x" * 50, b"y" * 50, b""):
                assert (await client.answer())[0] == 200
                assert (await host.seen.get()).body == body
    play(scene)


def test_a_client_that_expects_is_told_to_go_on_in_its_turn() -> None:
    async def scene() -> None:
        async with Stage() as stage:
            host = FakeHost(reply=None)
            await stage.begin(host)
            client = await stage.client()
            long = request("once", rid="r1", body=LONG, Expect="100-continue")
            client.send(request(rid="r0") + long.removesuffix(LONG))
            (await host.seen.get()).reply(OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
            assert (await client.answer())[0] == 200   # its answer first
            assert await client.reader.readexactly(25) == b"HTTP/1.1 100 Continue\r\n\r\n"
            client.send(LONG)
            seen = await host.seen.get()
            assert seen.body == LONG
            seen.reply()
            assert (await client.answer())[0] == 200
    play(scene)


def test_white_space_around_a_value_is_no_part_of_it() -> None:
    async def scene() -> None:
        async with Stage() as stage:
            host = FakeHost()
            await stage.begin(host)
            client = await stage.client()
            data = request("keyed", body=b"1234")
            lines = data.replace(b"\r\n", b" \t\r\n").replace(b" \t\r\n \t\r\n", b" \t\r\n\r\n")
            lines = lines.replace(b" HTTP/1.1 \t", b" HTTP/1.1").replace(b": ", b":\t ")
            assert (await client.ask(lines))[0] == 200
            seen = await host.seen.get()
            assert (seen.body, seen.headers["idempotency-key"]) == (b"1234", "kr1")
    play(scene)


@pytest.mark.parametrize("framing", ["length", "chunks", "close"])
@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
def test_a_long_answer_comes_whole_in_every_form(framing: str, version: bytes) -> None:
    async def scene() -> None:
        async with Stage() as stage:
            host = FakeHost(reply=None)
            await stage.begin(host, told=OPERATOR_CONFIG)
            client = await stage.client()
            client.send(request().replace(b"HTTP/1.1", b"HTTP/" + version))
            seen = await host.seen.get()
            if framing == "length":
                seen.reply(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LONG) + LONG)
            elif framing == "chunks":
                seen.reply(CHUNKED + chunks(LONG, extension=b";x") + b"0\r\nTrailer: 1\r\n\r\n")
            else:
                seen.reply(b"HTTP/1.1 200 OK\r\n\r\n" + LONG)
                seen.writer.close()
            told = await head(client)
            if b"transfer-encoding: chunked" in told:
                assert version == b"1.1"
                assert await read_chunks(client.reader) == LONG
            elif b"content-length" in told:
                assert await client.reader.readexactly(len(LONG)) == LONG
            else:
                assert b"connection: close" in told
                assert await client.reader.read(-1) == LONG
            assert (await read_metrics(stage))["downstream_requests.read.completed"] == 1
    play(scene)


def test_a_long_answer_that_comes_late_is_not_cut_before_its_length_is_known(
        monkeypatch: pytest.MonkeyPatch) -> None:
    """It was held to the end of the client's time, when the request was given up."""
    monkeypatch.setattr(upstream, "UNKNOWN_LENGTH_BUFFER_NS", 10 * SECOND)

    async def scene() -> None:
        async with Stage() as stage:
            host = FakeHost(reply=None)
            await stage.begin(host)
            client = await stage.client()
            client.send(request(X_Timeout_Ms="900"))
            seen = await host.seen.get()
            seen.reply(CHUNKED + chunks(b"first"))
            assert b" 200 " in await head(client)
            seen.reply(chunks(LONG) + b"0\r\n\r\n")
            assert await read_chunks(client.reader) == b"first" + LONG
    play(scene)


@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
def test_a_long_answer_that_breaks_can_be_told(framing: str, version: bytes) -> None:
    async def scene() -> None:
        async with Stage() as stage:
            host = FakeHost(reply=None)
            await stage.begin(host, told=OPERATOR_CONFIG)
            client = await stage.client()
            client.send(request().replace(b"HTTP/1.1", b"HTTP/" + version))
            seen = await host.seen.get()
            if framing == "length":
                seen.reply(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (2 * len(LONG)) + LONG)
            else:
                seen.reply(CHUNKED + chunks(LONG))
            seen.writer.close()
            await head(client)
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                if framing == "length" or version == b"1.0":
                    await client.reader.readexactly(2 * len(LONG))   # a plain end would look whole to 1.0
                    assert version == b"1.1"
                else:
                    await read_chunks(client.reader)
            assert (await read_metrics(stage))["downstream_requests.read.failed"] == 1
    play(scene)


def test_a_client_that_does_not_read_holds_its_host_back_and_nobody_else() -> None:
    async def scene() -> None:
        async with Stage() as stage:
            slow = FakeHost(reply=None)
            await stage.begin(slow)
            client = await stage.client()
            client.send(request())
            seen = await slow.seen.get()
            long = LONG * 8
            seen.reply(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(long) + long)
            server = stage.gateway.server
            conn = next(iter(server._connections))
            await until(lambda: bool(conn._write_blocked_since))
            assert conn.transport is not None
            assert conn.transport.get_write_buffer_size() <= 3 * MAX_REPLAY_BYTES   # the rest waits at the host
            assert (await (await stage.client()).ask(HEALTH_REQUEST))[0] == 200
            await head(client)
            assert await client.reader.readexactly(len(long)) == long
    play(scene)


def test_a_body_over_the_bound_gets_413_and_its_host_no_end() -> None:
    async def scene() -> None:
        async with Stage() as stage:
            host = FakeHost(reply=None)
            await stage.begin(host)
            client = await stage.client()
            client.send(request("once", drop="Content-Length", Transfer_Encoding="chunked"))

            async def send() -> None:
                for _ in range(17):
                    client.send(chunks(LONG))
                    await client.writer.drain()
            sending = asyncio.ensure_future(send())
            seen = await host.seen.get()
            await seen.closed()
            assert (await client.answer())[0] == 413
            sending.cancel()
    play(scene)


def test_a_client_that_leaves_takes_its_body_with_it() -> None:
    async def scene() -> None:
        async with Stage() as stage:
            host = FakeHost(reply=None)
            await stage.begin(host)
            client = await stage.client()
            client.send(request("once", drop="Content-Length", Transfer_Encoding="chunked") + chunks(LONG))
            seen = await host.seen.get()
            client.writer.close()
            await seen.closed()
            await until(lambda: not stage.gateway.core.open_requests())
    play(scene)


def test_a_refusal_in_the_middle_of_a_body_leaves_the_connection_usable() -> None:
    async def scene() -> None:
        async with Stage() as stage:
            host = FakeHost(reply=None)
            await stage.begin(host, make=RefusesWhatIsFull)
            client = await stage.client()
            client.send(request("once", drop="Content-Length", Transfer_Encoding="chunked") + chunks(LONG))
            (await host.seen.get()).reply(FULL)
            assert (await client.answer())[0] == 503
            client.send(chunks(LONG) + b"0\r\n\r\n" + request(rid="r2"))
            (await host.seen.get()).reply()
            assert (await client.answer())[0] == 200
    play(scene)


def test_a_body_is_judged_by_its_progress() -> None:
    async def scene() -> None:
        async with Stage() as stage:
            host = FakeHost(reply=None)
            await stage.begin(host)
            steady, stalled = await stage.client(), await stage.client()
            for client, rid in ((steady, "r1"), (stalled, "r2")):
                client.send(request("once", rid=rid, Content_Length=str(len(LONG))))
            steady.send(LONG[:200_000])
            server = stage.gateway.server
            await until(lambda: len(server._connections) == 2 and all(
                conn._body_started_at for conn in server._connections)
                and max(conn._received for conn in server._connections) == 200_000)
            server.sweep(now_ns() + HEAD_TIMEOUT_NS + SECOND)   # 3.4 s for what 6 s are given for
            assert (await stalled.answer())[0] == 408
            assert not steady.reader.at_eof()
    play(scene)


class Sinking:
    """A host's connection."""

    def __init__(self) -> None:
        self.got = b""
        self.write_blocked = False
        self.ended = False

    def write_body(self, data: bytes) -> None:
        self.got += data

    def finish_body(self) -> None:
        self.ended = True


def test_a_body_can_be_sent_again_until_more_has_come_than_is_kept() -> None:
    bound = []
    body, first, second = Body(None, b"a" * (MAX_REPLAY_BYTES - 10), lambda: None), Sinking(), Sinking()
    body.on_committed = lambda: bound.append(True)
    first.got += body.attach(first)
    body.feed(b"b" * 10)
    body.detach(first)
    assert body.full   # nothing more is read before a host takes it
    second.got += body.attach(second)
    assert second.got == first.got == b"a" * (MAX_REPLAY_BYTES - 10) + b"b" * 10
    assert not bound
    body.feed(b"c")
    assert bound and not body.replay_buffer
    second.write_blocked = True
    assert body.full
    body.finish()
    assert (second.got[-1:], second.ended) == (b"c", True)


def test_many_streams_share_the_room() -> None:
    stream_budget = StreamBudget(48 << 20)
    alone = stream_budget.read_bytes()
    stream_budget.streams = 600
    assert 8 * 1024 <= stream_budget.read_bytes() < alone == 64 * 1024
    assert stream_budget.full and 4 * stream_budget.read_bytes() * stream_budget.streams <= stream_budget.max_bytes


def test_without_room_a_long_body_is_refused_unsent() -> None:
    async def scene() -> None:
        async with Stage() as stage:
            host = FakeHost()
            await stage.begin(host)
            stage.gateway.stream_budget.max_bytes = 1000
            client = await stage.client()
            status, headers, _ = await client.ask(request("once", body=LONG[:2 * MAX_REPLAY_BYTES]))
            assert (status, headers["connection"]) == (503, "close")
            assert (await (await stage.client()).ask(request("once", rid="r2", body=LONG[:MAX_REPLAY_BYTES])))[0] == 200
            assert (await host.seen.get()).headers["x-request-id"] == "r2"
    play(scene)


def test_slow_heads_have_their_time() -> None:
    assert 2 * SECOND < HEAD_TIMEOUT_NS <= 3 * SECOND - SWEEP_INTERVAL_NS
