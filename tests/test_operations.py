"""The operators' address: readiness, metrics and draining."""

from __future__ import annotations

import asyncio
import socket
import tempfile
from pathlib import Path

import pytest

from bridgesaddle.api import MS
from gateway import program
from gateway.admin import MAX_OPERATOR_CONNECTIONS
from gateway.client_connection import DRAIN_IDLE_TIMEOUT_NS
from gateway.handover import Handover
from gateway.timers import now_ns
from tests.sockets import FakeHost, GatewayHarness, request, run_scenario, wait_until
from tests.test_server import Fails, Refuses

OPERATOR_CONFIG = {"operator": "127.0.0.1:0"}


async def call(stage: GatewayHarness, data: bytes) -> tuple[int, bytes]:
    """Send a request on a new connection and read up to the EOF; return the status and the body."""
    reader, writer = await asyncio.open_connection(*stage.gateway.operator_address)
    writer.write(data)
    response = await reader.read()
    writer.close()
    head, _, body = response.partition(b"\r\n\r\n")
    return int(head.split()[1]), body


async def read_metrics(stage: GatewayHarness) -> dict[str, int]:
    """Read the metrics by name."""
    status, body = await call(stage, b"GET /_vars HTTP/1.1\r\nHost: x\r\n\r\n")
    assert status == 200
    pairs = (line.partition("=") for line in body.decode().splitlines())
    return {name.removeprefix("svc."): int(value) for name, _, value in pairs}


def test_ready_endpoint_reports_a_gateway_that_accepts_clients() -> None:
    """Load balancers send no clients to a gateway that is not reported as ready."""
    async def scene() -> None:
        async with GatewayHarness() as stage:
            await stage.start(FakeHost(), config=OPERATOR_CONFIG)
            assert (await call(stage, b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200
    run_scenario(scene)


def test_no_operator_port_without_the_setting() -> None:
    """Without a configured address for operators there is no second port, and clients can't read the metrics either."""
    async def scene() -> None:
        async with GatewayHarness() as stage:
            await stage.start(FakeHost())
            assert not hasattr(stage.gateway, "operator")
            status, _, _ = await (await stage.client()).fetch(b"GET /_vars HTTP/1.1\r\nHost: x\r\n\r\n")
            assert status == 404   # clients can't read the metrics
    run_scenario(scene)


@pytest.mark.parametrize(("status", "data"), [
    (404, b"GET /_nothing HTTP/1.1\r\nHost: x\r\n\r\n"),
    (405, b"POST /_vars HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"),
    (400, b"nonsense\r\n\r\n"),
    (413, b"GET /_vars HTTP/1.1\r\nX: " + b"x" * 20_000),
    (408, b""),
    (408, b"GET /_vars HTT"),
])
def test_invalid_operator_request_gets_an_error_and_a_close(status: int, data: bytes) -> None:
    """Unknown paths, malformed, oversized and incomplete requests must be answered and their connections closed."""
    async def scene() -> None:
        async with GatewayHarness() as stage:
            await stage.start(FakeHost(), config=OPERATOR_CONFIG)
            assert (await call(stage, data))[0] == status
    run_scenario(scene)


def test_silent_operator_connections_do_not_block_others() -> None:
    """Connections that never send a request use up the maximum; a new one must still be served."""
    async def scene() -> None:
        async with GatewayHarness() as stage:
            await stage.start(FakeHost(), config=OPERATOR_CONFIG)
            silent = [await asyncio.open_connection(*stage.gateway.operator_address)
                      for _ in range(2 * MAX_OPERATOR_CONNECTIONS)]
            assert (await read_metrics(stage))["pending"] == 0
            for _, writer in silent:
                writer.close()
    run_scenario(scene)


def test_metrics_count_open_and_completed_requests() -> None:
    """A request must be counted once: as pending while it is open, afterwards as completed in its own class."""
    async def scene() -> None:
        async with GatewayHarness() as stage:
            host = FakeHost(response=None)
            await stage.start(host, config=OPERATOR_CONFIG)
            client = await stage.client()
            before = await read_metrics(stage)
            assert before["downstream_requests.read.completed"] == before["pending"] == 0
            assert (before["members"], before["members_unavailable"]) == (1, 0)
            client.send(request())
            seen = await host.received.get()
            during = await read_metrics(stage)
            assert (during["pending"], during["upstream_requests"]) == (1, 1)
            seen.respond()
            assert (await client.read_response())[0] == 200
            after = await read_metrics(stage)
            assert (after["downstream_requests.read.completed"], after["pending"]) == (1, 0)
            assert after["downstream_requests.once.completed"] == 0
    run_scenario(scene)


@pytest.mark.parametrize(("make", "name"), [(Refuses, "rejected"), (Fails, "failed")])
def test_rejected_and_failed_requests_are_counted_separately(make: type, name: str) -> None:
    """A rejection by the gateway and a failure must each change one counter, and only that one."""
    async def scene() -> None:
        async with GatewayHarness() as stage:
            await stage.start(FakeHost(), module_factory=make, config=OPERATOR_CONFIG)
            await (await stage.client()).fetch(request("once"))
            metrics = await read_metrics(stage)
            assert {key: metrics[f"downstream_requests.once.{key}"]
                    for key in ("completed", "rejected", "failed")} == {
                "completed": 0, "rejected": 0, "failed": 0, name: 1}
    run_scenario(scene)


def test_draining_hosts_are_counted_as_unavailable() -> None:
    """A draining host is still in the list, but gets no new requests."""
    async def scene() -> None:
        async with GatewayHarness() as stage:
            here, leaving = await FakeHost("h0").start(), await FakeHost("h1").start()
            await stage.start(instances=[here.instance(), leaving.instance("terminating")], config=OPERATOR_CONFIG)
            metrics = await read_metrics(stage)
            assert (metrics["members"], metrics["members_unavailable"]) == (2, 1)
    run_scenario(scene)


START_DRAIN = b"POST /_lameduck/on HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
STOP_DRAIN = START_DRAIN.replace(b"/on ", b"/off ")
HEALTH_REQUEST = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"
READY = b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n"


def test_drain_closes_connections_without_ending_open_requests() -> None:
    """A drain must reject health checks, close idle connections, and complete open requests before it closes theirs.

    A second call to start the drain must change nothing.
    """
    async def scene() -> None:
        async with GatewayHarness() as stage:
            host = FakeHost(response=None)
            await stage.start(host, config=OPERATOR_CONFIG)
            idle, busy, new = await stage.client(), await stage.client(), await stage.client()
            assert (await idle.fetch(HEALTH_REQUEST))[0] == 200
            busy.send(request())
            seen = await host.received.get()
            for _ in range(2):   # the second call changes nothing
                assert (await call(stage, START_DRAIN))[0] == 200
            assert (await call(stage, READY))[0] == 503
            status, headers, _ = await new.fetch(HEALTH_REQUEST)
            assert (status, headers["connection"]) == (503, "close")
            stage.gateway.server.sweep(now_ns() + DRAIN_IDLE_TIMEOUT_NS + MS)
            assert await idle.reader.read() == b""
            seen.respond()
            status, headers, body = await busy.read_response()
            assert (status, headers["connection"], body) == (200, "close", b"done")
            assert await busy.reader.read() == b""
    run_scenario(scene)


def test_drain_keeps_recently_used_connections_open() -> None:
    """A connection closed at once could be reset while its next request is in transit."""
    async def scene() -> None:
        async with GatewayHarness() as stage:
            await stage.start(FakeHost(), config=OPERATOR_CONFIG)
            client = await stage.client()
            assert (await client.fetch(request()))[0] == 200
            await call(stage, START_DRAIN)
            stage.gateway.server.sweep(now_ns())
            status, headers, _ = await client.fetch(request(rid="r2"))
            assert (status, headers["connection"]) == (200, "close")
    run_scenario(scene)


def test_clients_are_served_again_after_the_end_of_a_drain() -> None:
    """After the end of a drain connections stay open again; a drain that belongs to a shutdown can't be ended."""
    async def scene() -> None:
        async with GatewayHarness() as stage:
            await stage.start(FakeHost(), config=OPERATOR_CONFIG)
            await call(stage, START_DRAIN)
            for _ in range(2):
                assert (await call(stage, STOP_DRAIN))[0] == 200
            assert (await call(stage, READY))[0] == 200
            client = await stage.client()
            for ask in (HEALTH_REQUEST, request(), request(rid="r2")):
                status, headers, _ = await client.fetch(ask)
                assert (status, headers.get("connection")) == (200, None)
            stage.gateway.stop()
            assert (await call(stage, STOP_DRAIN))[0] == 409   # a shutdown can't be stopped
            assert (await call(stage, READY))[0] == 503
    run_scenario(scene)


@pytest.mark.parametrize("two", [False, True])
def test_waiting_requests_are_limited_to_a_share_of_the_connections_while_two_processes_run(
        two: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Two processes share the limits of one gateway: without a maximum, waiting requests would use up the connections.

    A third of 288 descriptors is for clients' requests, half of it in each process, and half of that may wait.
    """
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))
    monkeypatch.setattr(program, "FIRST_LIST_WAIT_NS", MS)   # discovery sends no list
    with socket.create_server(("127.0.0.1", 0)) as free:
        address: tuple[str, int] = free.getsockname()
    other = Handover(address)
    if two:
        other.register()

    async def scene() -> None:
        async with GatewayHarness() as stage:
            host = FakeHost(response=None)
            await stage.start(host, config={"listen": "{}:{}".format(*address), "limits": {"sockets": 288}})
            server, clients = stage.gateway.server, [await stage.client() for _ in range(60)]
            asking = [asyncio.ensure_future(client.fetch(request(rid=f"r{number}")))
                      for number, client in enumerate(clients)]
            await wait_until(lambda: server.receiving + sum(ask.done() for ask in asking) == 60)
            await wait_until(lambda: host.received.qsize() == stage.gateway.upstream.connections_opened)
            assert server.pending - host.received.qsize() == (24 if two else 60 - host.received.qsize())
            assert {(await ask)[0] for ask in asking if ask.done()} == ({503} if two else set())
            for ask in asking:
                ask.cancel()
    run_scenario(scene)
    other.close()
