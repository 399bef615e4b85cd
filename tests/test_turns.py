"""Turns of client connections: what one of them has sent must not hold up the others."""

from __future__ import annotations

import time

import pytest

from gateway.client_connection import ClientConnection
from tests.sockets import FakeHost, GatewayHarness, request, run_scenario, wait_until

TIMEOUT_S = 1.0
"""Timeout of the client beside the others; it has to be served within it."""
MAX_CALLBACKS = 1024
"""Most calls of the parser in one turn of a connection."""
MANY_CHUNKS = request("once", drop="Content-Length", Transfer_Encoding="chunked") + b"1\r\nx\r\n" * 30_000
MANY_FIELDS = request()[:-2] + b"a:\r\n" * 30_000


def test_other_clients_are_answered_in_time_while_some_pipeline_at_full_speed() -> None:
    """Guards against a connection that is parsed for as long as it has sent something."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            await harness.start(*(FakeHost(f"h{number}") for number in range(4)))
            floods = [await harness.client() for _ in range(4)]
            other = await harness.client()
            assert (await other.fetch(request(rid="first")))[0] == 200
            for index, client in enumerate(floods):
                client.send(b"".join(request(rid=f"p{index}-{number}") for number in range(3000)))
            for number in range(10):
                started_at = time.monotonic()
                data = request(rid=f"other{number}", X_Timeout_Ms=str(int(1000 * TIMEOUT_S)))
                assert (await other.fetch(data))[0] == 200
                assert time.monotonic() - started_at < TIMEOUT_S
            for client in floods:
                client.writer.transport.abort()
            other.writer.close()
    run_scenario(scenario)


@pytest.mark.parametrize("data", [MANY_CHUNKS, MANY_FIELDS], ids=["chunks of one byte", "empty fields"])
def test_work_of_one_turn_is_limited(data: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a turn whose length depends on how small the pieces are that a client sends."""
    turns = [0]

    def count(name: str, starts_turn: bool = False) -> None:
        method = getattr(ClientConnection, name)

        def counted(connection: ClientConnection, *arguments: object) -> object:
            if starts_turn:
                turns.append(0)
            turns[-1] += 1
            return method(connection, *arguments)
        monkeypatch.setattr(ClientConnection, name, counted)

    async def scenario() -> None:
        count("get_buffer", starts_turn=True)
        count("on_body")
        count("on_header")
        async with GatewayHarness() as harness:
            await harness.start(FakeHost())
            client = await harness.client()
            client.send(data)
            await wait_until(lambda: len(turns) > 20 or harness.gateway.server.connection_count == 0)
            client.writer.transport.abort()
    run_scenario(scenario)
    assert max(turns) <= MAX_CALLBACKS, max(turns)


def test_closed_connections_do_not_wait_for_a_turn() -> None:
    """Guards against closed connections that are kept, and delay others, until their turns have come."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            await harness.start(FakeHost())
            server = harness.gateway.server
            clients = [await harness.client() for _ in range(40)]
            server.turns._is_scheduled = True   # no turn is granted
            for client in clients:
                client.send(request("once", drop="Content-Length", Transfer_Encoding="chunked") + b"1\r\nx\r\n" * 1000)
            await wait_until(lambda: len(server.turns._waiting) == len(clients))
            for connection in list(server._connections):
                connection.reset()
            await wait_until(lambda: server.connection_count == 0)
            assert not server.turns._waiting
    run_scenario(scenario)
