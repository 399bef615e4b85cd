"""What operators see: the second address, the figures."""

from __future__ import annotations

import asyncio
import socket
import tempfile
from pathlib import Path

import pytest

from bridgesaddle.api import MS
from gateway import program
from gateway.admin import MAX_OPERATOR_CONNECTIONS
from gateway.handover import Handover
from gateway.server import DRAIN_IDLE_TIMEOUT_NS
from gateway.timers import now_ns
from tests.sockets import FakeHost, GatewayHarness, request, run_scenario, wait_until
from tests.test_server import Fails, Refuses

OPERATOR = {"operator": "127.0.0.1:0"}


async def call(stage: GatewayHarness, data: bytes) -> tuple[int, bytes]:
    """One call on a connection of its own, read to its end."""
    reader, writer = await asyncio.open_connection(*stage.gateway.operator_address)
    writer.write(data)
    answer = await reader.read()
    writer.close()
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), body


async def figures(stage: GatewayHarness) -> dict[str, int]:
    """The figures by their names."""
    status, body = await call(stage, b"GET /_vars HTTP/1.1\r\nHost: x\r\n\r\n")
    assert status == 200
    pairs = (line.partition("=") for line in body.decode().splitlines())
    return {name.removeprefix("svc."): int(value) for name, _, value in pairs}


def test_operators_are_told_whether_clients_are_taken() -> None:
    async def scene() -> None:
        async with GatewayHarness() as stage:
            await stage.start(FakeHost(), config=OPERATOR)
            assert (await call(stage, b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200
    run_scenario(scene)


def test_without_the_setting_nothing_more_listens() -> None:
    async def scene() -> None:
        async with GatewayHarness() as stage:
            await stage.start(FakeHost())
            assert not hasattr(stage.gateway, "operator")
            status, _, _ = await (await stage.client()).fetch(b"GET /_vars HTTP/1.1\r\nHost: x\r\n\r\n")
            assert status == 404   # nor can clients ask for the figures
    run_scenario(scene)


@pytest.mark.parametrize(("status", "data"), [
    (404, b"GET /_nothing HTTP/1.1\r\nHost: x\r\n\r\n"),
    (405, b"POST /_vars HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"),
    (400, b"nonsense\r\n\r\n"),
    (413, b"GET /_vars HTTP/1.1\r\nX: " + b"x" * 20_000),
    (408, b""),
    (408, b"GET /_vars HTT"),
])
def test_what_is_no_call_gets_an_error_and_a_close(status: int, data: bytes) -> None:
    async def scene() -> None:
        async with GatewayHarness() as stage:
            await stage.start(FakeHost(), config=OPERATOR)
            assert (await call(stage, data))[0] == status
    run_scenario(scene)


def test_silent_callers_are_in_nobodys_way() -> None:
    async def scene() -> None:
        async with GatewayHarness() as stage:
            await stage.start(FakeHost(), config=OPERATOR)
            crowd = [await asyncio.open_connection(*stage.gateway.operator_address)
                     for _ in range(2 * MAX_OPERATOR_CONNECTIONS)]
            assert (await figures(stage))["pending"] == 0
            for _, writer in crowd:
                writer.close()
    run_scenario(scene)


def test_the_figures_tell_what_became_of_requests() -> None:
    async def scene() -> None:
        async with GatewayHarness() as stage:
            host = FakeHost(response=None)
            await stage.start(host, config=OPERATOR)
            client = await stage.client()
            before = await figures(stage)
            assert before["downstream_requests.read.completed"] == before["pending"] == 0
            assert (before["members"], before["members_unavailable"]) == (1, 0)
            client.send(request())
            seen = await host.received.get()
            held = await figures(stage)
            assert (held["pending"], held["upstream_requests"]) == (1, 1)
            seen.respond()
            assert (await client.read_response())[0] == 200
            after = await figures(stage)
            assert (after["downstream_requests.read.completed"], after["pending"]) == (1, 0)
            assert after["downstream_requests.once.completed"] == 0
    run_scenario(scene)


@pytest.mark.parametrize(("make", "name"), [(Refuses, "rejected"), (Fails, "failed")])
def test_refused_and_failed_requests_count_apart(make: type, name: str) -> None:
    async def scene() -> None:
        async with GatewayHarness() as stage:
            await stage.start(FakeHost(), module_factory=make, config=OPERATOR)
            await (await stage.client()).fetch(request("once"))
            told = await figures(stage)
            assert {key: told[f"downstream_requests.once.{key}"]
                    for key in ("completed", "rejected", "failed")} == {
                "completed": 0, "rejected": 0, "failed": 0, name: 1}
    run_scenario(scene)


def test_hosts_that_drain_are_told_as_avoided() -> None:
    async def scene() -> None:
        async with GatewayHarness() as stage:
            here, leaving = await FakeHost("h0").start(), await FakeHost("h1").start()
            await stage.start(instances=[here.instance(), leaving.instance("terminating")], config=OPERATOR)
            told = await figures(stage)
            assert (told["members"], told["members_unavailable"]) == (2, 1)
    run_scenario(scene)


ON = b"POST /_lameduck/on HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
OFF = ON.replace(b"/on ", b"/off ")
HEALTH = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"
READY = b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n"


def test_a_drain_sends_clients_away_and_cuts_nothing() -> None:
    async def scene() -> None:
        async with GatewayHarness() as stage:
            host = FakeHost(response=None)
            await stage.start(host, config=OPERATOR)
            idle, busy, new = await stage.client(), await stage.client(), await stage.client()
            assert (await idle.fetch(HEALTH))[0] == 200
            busy.send(request())
            seen = await host.received.get()
            for _ in range(2):   # twice is as once
                assert (await call(stage, ON))[0] == 200
            assert (await call(stage, READY))[0] == 503
            status, headers, _ = await new.fetch(HEALTH)
            assert (status, headers["connection"]) == (503, "close")
            stage.gateway.server.sweep(now_ns() + DRAIN_IDLE_TIMEOUT_NS + MS)
            assert await idle.reader.read() == b""
            seen.respond()
            status, headers, body = await busy.read_response()
            assert (status, headers["connection"], body) == (200, "close", b"done")
            assert await busy.reader.read() == b""
    run_scenario(scene)


def test_a_drain_leaves_connections_that_have_just_been_used() -> None:
    """What is closed at once would cross requests."""
    async def scene() -> None:
        async with GatewayHarness() as stage:
            await stage.start(FakeHost(), config=OPERATOR)
            client = await stage.client()
            assert (await client.fetch(request()))[0] == 200
            await call(stage, ON)
            stage.gateway.server.sweep(now_ns())
            status, headers, _ = await client.fetch(request(rid="r2"))
            assert (status, headers["connection"]) == (200, "close")
    run_scenario(scene)


def test_the_end_of_a_drain_brings_clients_back() -> None:
    async def scene() -> None:
        async with GatewayHarness() as stage:
            await stage.start(FakeHost(), config=OPERATOR)
            await call(stage, ON)
            for _ in range(2):
                assert (await call(stage, OFF))[0] == 200
            assert (await call(stage, READY))[0] == 200
            client = await stage.client()
            for ask in (HEALTH, request(), request(rid="r2")):
                status, headers, _ = await client.fetch(ask)
                assert (status, headers.get("connection")) == (200, None)
            stage.gateway.stop()
            assert (await call(stage, OFF))[0] == 409   # it leaves all the same
            assert (await call(stage, READY))[0] == 503
    run_scenario(scene)


@pytest.mark.parametrize("two", [False, True])
def test_while_two_processes_run_requests_wait_on_a_part_of_the_connections(
        two: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A third of 288 descriptors is for clients' requests: half of it at each, and half of that waits."""
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))
    monkeypatch.setattr(program, "FIRST_LIST_WAIT_NS", MS)   # nobody tells the list
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
