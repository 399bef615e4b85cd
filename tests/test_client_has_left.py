"""Clients that leave with requests open or unread: nothing more is sent for them, and no id runs twice."""

from __future__ import annotations

import asyncio
import time

import pytest

from gateway import departed_ids
from tests.sockets import FakeHost, GatewayHarness, request, run_scenario, wait_until

MAX_ATTEMPT_AFTER_CLOSE_S = 0.1
RECORD_S = 0.8


class TimedHost(FakeHost):
    """A host that records when each request arrives and answers after some time."""

    def __init__(self, name: str, work_s: float) -> None:
        super().__init__(name, response=None)
        self._work_s = work_s
        self.arrivals: list[tuple[float, str]] = []

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                self.arrivals.append((time.monotonic(), head.split(b"X-Request-ID: ")[1].split(b"\r\n")[0].decode()))
                await asyncio.sleep(self._work_s)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        except (asyncio.IncompleteReadError, OSError):
            writer.close()


@pytest.mark.parametrize("how", ["close", "reset"])
def test_nothing_is_sent_for_a_client_that_has_closed_with_much_unread(how: str) -> None:
    """Guards against requests that are read, and sent on, after the close that follows them."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            hosts = [TimedHost(f"h{number}", 0.03) for number in range(2)]
            await harness.start(*hosts)
            clients = [await harness.client() for _ in range(8)]
            for index, client in enumerate(clients):
                client.send(b"".join(request(rid=f"{index}-{number}") for number in range(300)))
            await wait_until(lambda: any(host.arrivals for host in hosts))
            closed_at = time.monotonic()
            for client in clients:
                client.reset() if how == "reset" else client.writer.transport.abort()
            await asyncio.sleep(RECORD_S)
            late = [at - closed_at for host in hosts for at, _ in host.arrivals
                    if at > closed_at + MAX_ATTEMPT_AFTER_CLOSE_S]
            assert not late, (len(late), max(late))
    run_scenario(scenario)


def test_an_id_whose_client_has_left_does_not_run_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an id that runs twice, as it comes again while its first attempt may still run."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            host = TimedHost("h0", 0.3)
            await harness.start(host)
            data = request("keyed", rid="again")
            for number in range(1, 4):
                client = await harness.client()
                client.send(data)
                if number == 1:
                    await wait_until(lambda: bool(host.arrivals))
                else:
                    assert (await client.read_response())[0] == 400
                client.writer.transport.abort()
                await wait_until(lambda: harness.gateway.server.connection_count == 0)
            assert [name for _, name in host.arrivals] == ["again"]
            monkeypatch.setattr(departed_ids, "KEPT_NS", 0)
            assert (await (await harness.client()).fetch(data))[0] == 200   # it is not kept for ever
    run_scenario(scenario)


def test_an_id_that_was_never_sent_may_come_again() -> None:
    """Guards against refusing a request whose id has not run."""
    async def scenario() -> None:
        async with GatewayHarness() as harness:
            await harness.start(instances=[])   # it waits for a host
            for _ in range(2):
                client = await harness.client()
                client.send(request("keyed", rid="again"))
                await wait_until(lambda: harness.gateway.server.pending == 1)
                client.writer.transport.abort()
                await wait_until(lambda: harness.gateway.server.pending == 0)
    run_scenario(scenario)
