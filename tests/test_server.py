"""Tests of the gateway's client side and core over loopback sockets: each request gets exactly one response."""

from __future__ import annotations

import asyncio
import gc
import socket
import struct
from collections.abc import Sequence
from typing import Any

import pytest

from bridgesaddle.api import MS, SECOND, Actions, HostId, Outcome, Settings
from gateway.client_connection import IDLE_TIMEOUT_NS, ClientConnection
from gateway.syscalls import pending_events
from gateway.timers import now_ns
from gateway.upstream import Connection
from tests.sockets import (
    OK,
    SETTINGS,
    FakeHost,
    GatewayHarness,
    request,
    run_scenario,
    run_without_collections,
    wait_until,
    wait_until_reusable,
)

PAUSE_MARGIN_NS = 900 * MS
"""Margin for a pause of a busy machine, which must not make a test fail."""
KEYED = request("keyed", body=b"some body", Content_Type="text/plain", Connection="X-Hop", X_Hop="1")


class StubModule:
    """A decision module for tests: performs one action for each request."""

    def __init__(self, settings: Settings, salt: int, actions: Actions) -> None:
        self.actions = actions

    def __getattr__(self, name: str) -> Any:
        return lambda *args: 0

    def on_request(self, now_ns: int, rid: int, *args: Any) -> None:
        self.act(rid)

    def act(self, rid: int) -> None:
        """Perform the action of this module; here none."""


class Refuses(StubModule):
    def act(self, rid: int) -> None:
        self.actions.refuse(rid, 1250 * MS)


class Fails(StubModule):
    def act(self, rid: int) -> None:
        self.actions.fail(rid)


class RaisesOnRequest(StubModule):
    def act(self, rid: int) -> None:
        raise RuntimeError("on purpose")


class RaisesOnOutcome(StubModule):
    def act(self, rid: int) -> None:
        self.actions.send(rid, "h0", 0)

    def on_outcome(self, *args: Any) -> None:
        raise RuntimeError("on purpose")


class Sends(StubModule):
    def act(self, rid: int) -> None:
        self.actions.send(rid, "h0", 0)


class SendsTwoAttempts(StubModule):
    def act(self, rid: int) -> None:
        self.actions.send(rid, "h0", 0)
        self.actions.send(rid, "h0", 0)


class SendsAfterResponse(StubModule):
    """Also ends the request twice, and acts while its own actions cause further events."""

    def __init__(self, settings: Settings, salt: int, actions: Actions) -> None:
        super().__init__(settings, salt, actions)
        self.depth = self.max_depth = 0
        self.outcomes: list[Any] = []

    def act(self, rid: int) -> None:
        self.depth += 1
        self.max_depth = max(self.max_depth, self.depth)
        self.actions.send(rid, "nowhere", 0)   # fails immediately
        self.actions.fail(rid)
        self.actions.refuse(rid, 0)
        self.actions.send(rid, "h0", 0)
        self.depth -= 1

    def on_outcome(self, now_ns: int, rid: int, attempt: int, host: str, outcome: Any, *args: Any) -> None:
        self.max_depth = max(self.max_depth, self.depth + 1)
        self.outcomes.append((attempt, host, outcome.name))


def test_request_is_forwarded_unchanged_except_for_hop_by_hop_headers() -> None:
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost()
            await harness.start(host)
            assert (await (await harness.client()).fetch(KEYED))[::2] == (200, b"done")
            seen = await host.received.get()
            assert (seen.request_line, seen.body) == ("POST /keyed/x?q=1 HTTP/1.1", b"some body")
            assert {name: seen.headers.get(name) for name in (
                "x-request-id", "idempotency-key", "content-type", "x-hop", "connection")} == {
                "x-request-id": "r1", "idempotency-key": "kr1", "content-type": "text/plain",
                "x-hop": None, "connection": None}
            assert 0 < int(seen.headers["x-timeout-ms"]) < 6000
    run_scenario(scenario)


def test_readiness_is_503_until_a_host_is_known() -> None:
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = await FakeHost().start()
            await harness.start(instances=[])
            client = await harness.client()
            check = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"
            assert (await client.fetch(check))[0] == 503
            _, writer = await harness.discovery.calls.get()
            harness.discovery.send_head(writer)
            harness.discovery.send_update(writer, 42, [host.instance()])
            await wait_until(lambda: harness.gateway.core.has_hosts)
            assert (await client.fetch(check))[0] == 200
    run_scenario(scenario)


@pytest.mark.parametrize(("status", "data"), [
    (400, b"nonsense\r\n\r\n"),
    (400, b"\x16\x03\x01\x02\x00\x01"),
    (404, request(path="x")),
    (404, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
    (404, b"OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n"),
    (400, request(drop="X-Priority-Class")),
    (400, request(X_Priority_Class="keyed")),
    (400, request(X_Priority_Class="unheard-of")),
    (400, request(drop="X-Tenant-Id")),
    (400, request(X_Tenant_Id="nobody")),
    (400, request(drop="X-Request-ID")),
    (400, request(rid="")),
    (400, request(rid="x" * 300)),
    (400, request(x_request_id="another")),
    (400, request(drop="X-Timeout-Ms")),
    (400, request(X_Timeout_Ms="soon")),
    (400, request(X_Timeout_Ms="-5")),
    (400, request(X_Timeout_Ms="0")),
    (400, request(X_Timeout_Ms="1e3")),
    (400, request(Idempotency_Key="k")),
    (400, request("keyed", drop="Idempotency-Key")),
    (400, request("once", Idempotency_Key="k")),
    (400, request("once").replace(b"POST", b"GET")),
    (400, request("read").replace(b"GET", b"POST")),
    (400, request("once", Transfer_Encoding="chunked") + b"0\r\n\r\n"),
    (400, request("once", Content_Length="-1")),
    (400, request("once", Content_Length="nine")),
    (413, request("once", Content_Length="33554433")),
    (413, request("once", Content_Length="9" * 18)),
    (400, request("once", drop="Content-Length", Transfer_Encoding="gzip, chunked") + b"0\r\n\r\n"),
    (431, request(X_Long="x" * 20000)),
    (431, request(drop="Host").replace(b"\r\n\r\n", b"\r\nX: x" * 200 + b"\r\n\r\n")),
    (431, b"GET /" + b"x" * 70000),
])
def test_invalid_request_gets_an_error_and_is_not_forwarded(status: int, data: bytes) -> None:
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost()
            await harness.start(host)
            assert (await (await harness.client()).fetch(data))[0] == status
            assert (await (await harness.client()).fetch(request(rid="good")))[0] == 200
            assert (await host.received.get()).headers["x-request-id"] == "good"
            assert host.received.empty()
    run_scenario(scenario)


def test_body_of_the_replay_buffer_size_is_forwarded_both_ways() -> None:
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            body = bytes(range(256)) * 256
            host = FakeHost(response=b"HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + body)
            await harness.start(host)
            assert (await (await harness.client()).fetch(request("once", body=body)))[::2] == (200, body)
            assert (await host.received.get()).body == body
    run_scenario(scenario)


def test_pipelined_responses_keep_the_order_of_the_requests() -> None:
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=None)
            await harness.start(host, module_factory=Sends)
            client = await harness.client()
            client.send(b"".join(request(rid=f"r{n}") for n in range(3)))
            seen = [await host.received.get() for _ in range(3)]
            for pending in reversed(seen):
                text = pending.headers["x-request-id"].encode()
                pending.respond(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + text)
            assert [(await client.read_response())[2] for _ in range(3)] == [b"r0", b"r1", b"r2"]
    run_scenario(scenario)


def test_each_of_many_pipelined_requests_gets_a_response() -> None:
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            await harness.start(FakeHost())
            client = await harness.client()
            client.send(b"".join(request(rid=f"r{n}") for n in range(200)))
            for _ in range(200):
                assert (await client.read_response())[0] in (200, 503)
    run_scenario(scenario)


def test_half_closed_client_gets_its_response() -> None:
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=None)
            await harness.start(host)
            client = await harness.client()
            client.send(request("once"))
            client.writer.write_eof()
            (await host.received.get()).respond()
            assert (await client.read_response())[::2] == (200, b"done")
            assert await client.reader.read() == b""
    run_scenario(scenario)


def test_no_retry_is_sent_for_a_half_closed_client() -> None:
    """Guards against further attempts for a client that has shut down its sending side: it may have left."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=None)
            await harness.start(host)
            client = await harness.client()
            client.send(request())
            seen = await host.received.get()
            client.writer.write_eof()
            await wait_until(lambda: all(item.client_half_closed for item in harness.gateway.core.open_requests()))
            seen.respond(b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n")
            assert (await client.read_response())[0] == 502
            assert host.received.empty()
    run_scenario(scenario)


def test_attempts_of_a_disconnected_client_are_cancelled() -> None:
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=None)
            await harness.start(host)
            client = await harness.client()
            client.send(request())
            seen = await host.received.get()
            sock = client.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            client.writer.transport.abort()
            await seen.wait_closed()
            assert not harness.gateway.core.open_requests()
    run_scenario(scenario)


def test_request_id_of_an_open_request_is_rejected() -> None:
    """Guards against two open requests with the same id, which the decision module does not accept."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=None)
            await harness.start(host)
            first, second = await harness.client(), await harness.client()
            first.send(request())
            seen = await host.received.get()
            assert (await second.fetch(request()))[0] == 400
            seen.respond()
            assert (await first.read_response())[0] == 200
            await wait_until_reusable()
            second.send(request())
            assert (await seen.reader.readline()).startswith(b"GET ")   # the id is free again
    run_scenario(scenario)


@pytest.mark.parametrize(("module", "status", "advice"), [
    (Refuses, 503, "1.250"), (Fails, 502, None), (RaisesOnRequest, 502, None), (RaisesOnOutcome, 200, None),
    (StubModule, 502, None),   # this module never acts: the gateway responds before the client's deadline
])
def test_exactly_one_response_whatever_the_module_does(module: type[StubModule], status: int,
                                                       advice: str | None) -> None:
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            await harness.start(FakeHost(), module_factory=module)
            client, sent_at = await harness.client(), now_ns()
            got, headers, _ = await client.fetch(request(X_Timeout_Ms="1000"))
            assert (got, headers.get("retry-after")) == (status, advice)
            assert now_ns() - sent_at < 1000 * MS + PAUSE_MARGIN_NS
            assert (await client.fetch(request(rid="r2", X_Timeout_Ms="1000")))[0] == status   # no extra response
            assert not harness.gateway.core.open_requests()
    run_scenario(scenario)


def test_other_attempt_is_cancelled_when_one_succeeds() -> None:
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=None)
            await harness.start(host, module_factory=SendsTwoAttempts)
            client = await harness.client()
            client.send(request())
            first, second = await host.received.get(), await host.received.get()
            second.respond()
            assert (await client.read_response())[0] == 200
            await first.wait_closed()
            assert not harness.gateway.core.open_requests()
    run_scenario(scenario)


def test_nothing_is_sent_after_the_response_and_events_do_not_nest() -> None:
    """Guards against attempts after the end of a request, and against events delivered inside another event."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost()
            modules: list[SendsAfterResponse] = []

            def make(settings: Settings, salt: int, actions: Actions) -> Any:
                modules.append(SendsAfterResponse(settings, salt, actions))
                return modules[0]
            await harness.start(host, module_factory=make)
            client = await harness.client()
            assert (await client.fetch(request()))[0] == 502
            assert (await client.fetch(request(rid="r2")))[0] == 502
            assert host.received.empty()
            assert modules[0].max_depth == 1
            assert modules[0].outcomes[:2] == [(0, "nowhere", "CONNECT_FAILED"), (1, "h0", "MOOT")]
    run_scenario(scenario)


def test_slow_request_gets_408_and_idle_connection_is_closed() -> None:
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            await harness.start(FakeHost())
            slow, idle = await harness.client(), await harness.client()
            assert (await idle.fetch(request()))[0] == 200
            slow.send(b"GET /read/x HTTP/1.1\r\nX-Request-ID")
            await wait_until(lambda: harness.gateway.server.connection_count == 2
                             and harness.gateway.server.receiving == 1)
            harness.gateway.server.sweep(now_ns() + 2500 * MS)
            assert (await slow.read_response())[0] == 408
            harness.gateway.server.sweep(now_ns() + IDLE_TIMEOUT_NS + SECOND)
            assert await idle.reader.read() == b""
    run_scenario(scenario)


@pytest.mark.parametrize("begun", [b"", b"\r\n", b"GET /read/x HTTP/1.1\r\nX-Request-ID",
                                   b"POST /keyed/x HTTP/1.1\r\nContent-Length: 9\r\n\r\nfour"])
def test_connection_without_a_complete_request_ends_within_three_seconds(begun: bytes) -> None:
    """Guards against connections that occupy a descriptor for long without a complete request.

    With a longer limit, silent connections stay open for 90 s and slow ones for 10 s.
    """
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            await harness.start(FakeHost())
            peer = await harness.client()
            await wait_until(lambda: harness.gateway.server.connection_count == 1)
            connected = now_ns()
            peer.send(begun)
            if len(begun) > 2:
                await wait_until(lambda: harness.gateway.server.receiving == 1)
            (conn,) = harness.gateway.server._connections
            await wait_until(lambda: peer.writer.transport.get_write_buffer_size() == 0
                             and conn.transport is not None
                             and not pending_events(conn.transport))   # all bytes have arrived and are read
            harness.gateway.server.sweep(connected + 2500 * MS)   # the gateway sweeps twice a second
            assert conn.transport is not None
            assert conn.discarding or conn.transport.is_closing()     # in this sweep, not in a later one
            try:
                received = await peer.reader.read()
            except ConnectionResetError:   # closed while received bytes were unread
                received = b""
            assert received.startswith(b"HTTP/1.1 408" if len(begun) > 2 else b"")
    run_scenario(scenario)


def test_connection_over_the_limit_gets_503() -> None:
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=None)
            await harness.start(host, module_factory=Sends)
            harness.gateway.server.max_connections = 2
            busy = [await harness.client() for _ in range(2)]
            for number, client in enumerate(busy):
                client.send(request(rid=f"b{number}"))
            seen = [await host.received.get() for _ in busy]
            status, headers, _ = await (await harness.client()).fetch(request(rid="late"))
            assert (status, headers["connection"]) == (503, "close")
            for client, item in zip(busy, seen, strict=True):
                item.respond()
                assert (await client.read_response())[0] == 200
            assert (await (await harness.client()).fetch(b"GET /health/ready HTTP/1.1\r\n\r\n"))[0] == 200
    run_scenario(scenario)


def test_expect_100_continue_gets_an_interim_response() -> None:
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            await harness.start(FakeHost())
            client = await harness.client()
            message = request("once", body=b"some body", Expect="100-continue")
            client.send(message[:-9])
            assert (await asyncio.wait_for(client.reader.readline(), 5)).startswith(b"HTTP/1.1 100")
            await client.reader.readline()
            assert (await client.fetch(message[-9:]))[0] == 200
    run_scenario(scenario)


def test_pipelined_requests_are_answered_during_a_graceful_stop() -> None:
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=None)
            await harness.start(host, module_factory=Sends)
            client = await harness.client()
            client.send(request(rid="r0") + request(rid="r1"))
            seen = [await host.received.get() for _ in range(2)]
            harness.gateway.stop()
            seen.sort(key=lambda item: item.headers["x-request-id"])
            for advice, item in zip((None, "close"), seen, strict=True):
                item.respond()
                status, headers, _ = await client.read_response()
                assert (status, headers.get("connection")) == (200, advice)
            assert await client.reader.read() == b""
    run_scenario(scenario)


def test_trailers_are_not_forwarded_as_headers() -> None:
    """Guards against a trailer that replaces a header, such as X-Request-ID, after the headers were checked."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost()
            await harness.start(host)
            data = request("once", drop="Content-Length", Transfer_Encoding="chunked")
            data += b"9\r\nsome body\r\n0\r\nX-Late: 1\r\nX-Request-ID: another\r\n\r\n"
            assert (await (await harness.client()).fetch(data))[0] == 200
            seen = await host.received.get()
            assert (seen.headers["x-request-id"], seen.headers.get("x-late"), seen.body) == (
                "r1", None, b"some body")
    run_scenario(scenario)


class Probes(StubModule):
    """Probes a host for each request and sends the result to its peers."""

    def act(self, rid: int) -> None:
        self.rid = rid
        self.actions.probe("h0")

    def on_probe_result(self, now_ns: int, host: HostId, outcome: Outcome, spent_ns: int,
                        load: Sequence[float]) -> None:
        self.actions.send_peer_message(0, f"{host} {outcome.name} {load}".encode())
        self.actions.send_peer_message(9, b"to nobody")

    def on_peer_message(self, now_ns: int, peer: int, content: bytes) -> None:
        self.actions.send(self.rid, "h0", 0) if content == b"h0 OK (7.0,)" and peer == 0 else None


def test_probes_and_peer_messages_work_where_the_settings_allow_them() -> None:
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=b'HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{"inflight":7}')
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
                free.bind(("127.0.0.1", 0))
                own_address = f"127.0.0.1:{free.getsockname()[1]}"
            settings = {**SETTINGS, "caps": {**SETTINGS["caps"], "probes": True, "peers": True},
                        "load-report": {"source": "on_probe", "columns": ["outstanding"]}}
            config = {"peer_listen": own_address, "peers": [own_address], "settings": settings}
            await harness.start(host, module_factory=Probes, config=config)
            assert (await (await harness.client()).fetch(request()))[0] == 200
            assert (await host.received.get()).request_line == "GET /stats HTTP/1.1"
            assert (await host.received.get()).request_line == "GET /read/x?q=1 HTTP/1.1"
    run_scenario(scenario)


def test_no_probe_is_sent_where_the_settings_forbid_probes() -> None:
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost()
            await harness.start(host, module_factory=Probes)
            assert (await (await harness.client()).fetch(request(X_Timeout_Ms="200")))[0] == 502
            assert host.connections == 0
    run_scenario(scenario)


def test_closed_connections_leave_no_reference_cycles() -> None:
    """Guards against a reference cycle between a connection and its parser.

    With such a cycle, closed connections stay in memory until a full garbage collection.
    """
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
            await harness.start(host)
            client = await harness.client()
            assert (await client.fetch(request()))[0] == 200
            client.writer.close()
            await wait_until(lambda: not harness.gateway.server.connection_count
                             and not harness.gateway.upstream._connections)
            harness.gateway.timers._heap.clear()   # timers refer to the connection until they fire
            for _ in range(3):
                await asyncio.sleep(0)
            gateway = harness.gateway   # objects that other tests left behind are not counted
            assert not [item for item in gc.get_objects()
                        if (isinstance(item, ClientConnection) and item.server is gateway.server)
                        or (isinstance(item, Connection) and item._pool is gateway.upstream)]
    run_without_collections(scenario)
