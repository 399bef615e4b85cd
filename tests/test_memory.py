"""The memory budget: what clients and hosts make the process hold is charged, and released again."""

from __future__ import annotations

import asyncio
import socket
import struct
import tracemalloc
import weakref
from enum import Enum
from typing import cast

import pytest

from gateway.body import MAX_REPLAY_BYTES, Body, Sink
from gateway.client_connection import MAX_HEAD_BYTES
from gateway.memory import (
    CONNECTION_BYTES,
    MIN_BUDGET_BYTES,
    MIN_READ_BYTES,
    SMALL_BYTES,
    Account,
    MemoryBudget,
    MemoryKind,
    budget_bytes,
)
from gateway.server import MIN_STALL_NS
from tests.sockets import FakeHost, GatewayHarness, request, run_scenario, run_without_collections, wait_until

MIB = 1 << 20


def test_two_processes_of_a_gateway_have_less_than_one_together() -> None:
    assert 2 * budget_bytes(192 * MIB, 27 * MIB, 2) < budget_bytes(192 * MIB, 27 * MIB, 1) < (192 - 27) * MIB
    assert budget_bytes(32 * MIB, 27 * MIB, 2) == MIN_BUDGET_BYTES


def test_large_messages_leave_a_share_of_the_budget_to_small_ones() -> None:
    budget = MemoryBudget(MIB)
    account = Account(budget, MemoryKind.BODIES, MIB * 3 // 4)
    assert not budget.admits(SMALL_BYTES + 1, SMALL_BYTES + 1) and budget.admits(SMALL_BYTES, SMALL_BYTES)
    account.update(MIB)
    assert not budget.admits(1, 1) and budget.tight
    account.update(0)
    assert budget.held_bytes == 0


def test_all_that_was_charged_is_released_once_clients_have_gone() -> None:
    """Guards against a budget that shrinks with each request, stopped body or client that has left."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost()
            await harness.start(host)
            budget, server = harness.gateway.memory_budget, harness.gateway.server
            for number, data in enumerate((
                    request(rid="a"), request("once", rid="b", body=bytes(60_000)),
                    request("once", rid="c", body=bytes(300_000)), request("once", rid="d", body=bytes(60_000))[:-9],
                    request("once", rid="e", body=bytes(300_000))[:-9], request(rid="f")[:-2],
                    request(rid="g")[:-2] + b"a: b\r\n" * 200 + b"\r\n")):
                client = await harness.client()
                client.send(data)
                if number in (0, 1, 2, 6):
                    await client.read_response()
                else:
                    await wait_until(lambda: bool(server._receiving))
                client.writer.transport.abort()
                await wait_until(lambda: server.connection_count == 0 and not harness.gateway.core.open_requests())
            assert budget.held_bytes == CONNECTION_BYTES * len(harness.gateway.upstream._connections)
    run_scenario(scenario)


def test_a_message_that_stalls_is_refused_in_favour_of_a_new_one() -> None:
    """Guards against clients that stop in a message and keep all others out until their time is up."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            await harness.start(FakeHost())
            budget = harness.gateway.memory_budget
            stalled, new = await harness.client(), await harness.client()
            stalled.send(request("once", rid="stalled", body=bytes(60_000))[:-9])
            await wait_until(lambda: budget.held_bytes > 60_000)
            budget.max_bytes = 100_000
            await asyncio.sleep(1.1 * MIN_STALL_NS / 1e9)
            assert (await new.fetch(request("once", rid="new", body=bytes(50_000))))[0] == 200
            assert (await stalled.read_response())[0] == 503
    run_scenario(scenario)


class Ending(Enum):
    """How a client leaves."""

    RESET = "reset"
    CLOSE = "close"


@pytest.mark.parametrize("ending", list(Ending))
@pytest.mark.parametrize("data", [
    pytest.param(request(rid="head")[:-2], id="half a head"),
    pytest.param(request("once", rid="body", body=bytes(60_000))[:-9], id="most of a body"),
    pytest.param(request("once", rid="upload", body=bytes(3_000_000))[:-9], id="most of an upload"),
    pytest.param(request(rid="open")[:-2] + b"a: " + b"v" * 30_000, id="a field without an end"),
    pytest.param(request(rid="answered") * 2, id="the same id twice"),
    pytest.param(request("nosuch", rid="bad"), id="an unknown class"),
    pytest.param(b"\r\n\r\nno request", id="no request")])
def test_nothing_refers_to_a_connection_once_it_is_closed(data: bytes, ending: Ending) -> None:
    """Guards against closed connections that stay in memory until a timer or a garbage collection (incident 49)."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost()
            await harness.start(host)
            server = harness.gateway.server
            client = await harness.client()
            client.send(data)
            await wait_until(lambda: server.connection_count == 1)
            await asyncio.sleep(0.2)
            closed = [weakref.ref(connection) for connection in server._connections]
            client.writer.transport.abort() if ending is Ending.RESET else client.writer.close()
            await wait_until(lambda: server.connection_count == 0)
            await asyncio.sleep(0.05)
            assert [reference for reference in closed if reference() is not None] == []
    run_without_collections(scenario)


def test_a_field_without_an_end_is_not_kept_beyond_the_longest_head() -> None:
    """Guards against a parser that keeps all of a read that an earlier upload made large (incident 49)."""
    clients = 20

    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost()
            await harness.start(host)
            connections = [await harness.client() for _ in range(clients)]
            for number, client in enumerate(connections):
                await client.fetch(request("once", rid=f"upload{number}", body=bytes(400_000)))
            tracemalloc.start()
            try:
                for number, client in enumerate(connections):
                    client.send(request(rid=f"open{number}")[:-2] + b"a: " + b"v" * 60_000)
                for client in connections:
                    assert (await client.read_response())[0] == 431
                kept_bytes = tracemalloc.take_snapshot().filter_traces(
                    [tracemalloc.Filter(True, "*client_connection.py")]).statistics("filename")[0].size
            finally:
                tracemalloc.stop()
            assert kept_bytes < clients * MAX_HEAD_BYTES
    run_scenario(scenario)


def test_a_client_that_does_not_read_leaves_one_small_block_in_the_transport() -> None:
    """Guards against blocks that stay whole in the transport and in no account (incident 49)."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            body = bytes(MAX_REPLAY_BYTES - 1000)
            host = FakeHost(response=b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            await harness.start(host)
            server, budget = harness.gateway.server, harness.gateway.memory_budget
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(harness.address)
            await wait_until(lambda: server.connection_count == 1)
            connection = next(iter(server._connections))
            assert connection.transport is not None
            connection.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            sock.sendall(b"".join(request(rid=f"r{number}") for number in range(8)))
            await wait_until(lambda: host.received.qsize() == 8)
            await asyncio.sleep(0.2)
            assert 0 < connection.transport.get_write_buffer_size() <= server.write_buffer_bytes
            unsent_bytes = sum(len(part) for exchange in connection._exchanges for part in exchange.unsent_parts)
            assert budget.held_by_kind[MemoryKind.RESPONSES] >= unsent_bytes > 0
            sock.close()
    run_scenario(scenario)


def test_a_response_is_read_once_there_is_memory_for_it() -> None:
    """Guards against requests that are admitted by their own size and then hold their responses (incident 49)."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            body = bytes(60_000)
            host = FakeHost(response=b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            await harness.start(host)
            budget = harness.gateway.memory_budget
            other = Account(budget, MemoryKind.HOST_RESPONSES, 100_000)   # one response may always be read
            budget.max_bytes = 100_000 + 30_000
            client = await harness.client()
            client.send(request(rid="large"))
            await wait_until(lambda: host.received.qsize() == 1)
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(client.reader.readexactly(1), 0.2)
            assert budget.held_by_kind[MemoryKind.HOST_RESPONSES] <= other.held_bytes + MIN_READ_BYTES
            budget.max_bytes = 300_000
            assert (await client.read_response())[2] == body
            assert host.received.qsize() == 1
    run_scenario(scenario)


def test_a_response_that_waits_for_memory_is_charged_to_nobody_once_its_client_has_left() -> None:
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = FakeHost(response=b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + bytes(60_000))
            await harness.start(host)
            budget, upstream = harness.gateway.memory_budget, harness.gateway.upstream
            other = Account(budget, MemoryKind.HOST_RESPONSES, 100_000)
            budget.max_bytes = 100_000 + 30_000
            client = await harness.client()
            client.send(request(rid="large"))
            await wait_until(lambda: upstream.responses_delayed == 1)
            reset_at_close = struct.pack("ii", 1, 0)   # an end of its sending alone would leave the request open
            client.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset_at_close)
            client.writer.transport.abort()
            await wait_until(lambda: not upstream._connections and not upstream._waiting_for_room)
            await wait_until(lambda: not harness.gateway.core.open_requests())
            budget.max_bytes = 300_000
            assert sum(budget.held_by_kind[kind] for kind in MemoryKind if kind is not MemoryKind.DEPARTED) \
                == other.held_bytes
    run_scenario(scenario)


def test_a_body_that_is_sent_again_pauses_and_resumes_its_client() -> None:
    """Guards against a second attempt whose host can neither hold up nor go on with the upload (incident 49)."""
    updates: list[int] = []
    body = Body(None, b"start", lambda: updates.append(1))
    sink = cast(Sink, object())
    body.attach(sink)
    body.detach(sink)
    body.attach(sink)
    before = len(updates)
    body.update_reading()
    assert len(updates) == before + 1
