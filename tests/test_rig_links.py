"""Faults on the test bench's links as both ends see them: partitions, half-open connections, delays, loss, resets."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import pytest

from moleworks.rig import history
from moleworks.rig.real.child import Clock
from moleworks.rig.real.link import Link
from moleworks.rig.real.udp import UdpLink
from tests.sockets import run_scenario


class Pair:
    """A link with an echo server behind it."""

    def __init__(self) -> None:
        self.records: list[Any] = []
        self.accepted = 0
        self.closed = 0
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> Pair:
        self.server = await asyncio.start_server(self._echo, "127.0.0.1", 0, backlog=1024)
        with socket.create_server(("127.0.0.1", 0)) as probe:
            address = probe.getsockname()
        clock = Clock()
        clock.epoch = 1
        numbers = iter(range(1, 1 << 30))
        self.link = Link({"source": "n0", "name": "h0", "listen": address, "announce": True,
                          "target": self.server.sockets[0].getsockname()}, clock, self.records.append,
                         random.Random(1), numbers.__next__)
        self.link.listen()
        return self

    async def _echo(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        self.writers.append(writer)
        assert (await reader.readline()).startswith(b"PROXY n0 ")
        with suppress(OSError):
            while data := await reader.read(65536):
                writer.write(data)
        self.closed += 1
        writer.close()

    async def client(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self.link.address)

    def fault(self, kind: str, begins: bool, size: float = 0.0, forth: bool = True, back: bool = True) -> None:
        self.link.fault(kind, begins, size, forth, back)


def run_with_pair(scenario: Callable[[Pair], Awaitable[None]]) -> None:
    async def run() -> None:
        await scenario(await Pair().start())
    run_scenario(run)


async def receives_nothing(reader: asyncio.StreamReader, seconds: float = 0.15) -> bool:
    """Whether nothing is received within the given time."""
    try:
        async with asyncio.timeout(seconds):
            await reader.read(1)
    except TimeoutError:
        return True
    return False


def test_bytes_held_during_a_partition_arrive_complete_and_in_order_when_it_ends() -> None:
    async def scenario(pair: Pair) -> None:
        reader, writer = await pair.client()
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        pair.fault("cut", True)
        pair.fault("cut", True)                 # a second partition that overlaps the first
        writer.write(b"two")
        assert await receives_nothing(reader)
        pair.fault("cut", False)
        assert await receives_nothing(reader)   # one partition is still active
        writer.write(b"three")
        pair.fault("cut", False)
        assert await reader.readexactly(8) == b"twothree"
        assert any(isinstance(record, history.Sent) for record in pair.records)
    run_with_pair(scenario)


def test_a_partition_pauses_500_open_connections_and_loses_no_bytes() -> None:
    async def scenario(pair: Pair) -> None:
        clients = [await pair.client() for _ in range(500)]
        for _, writer in clients:
            writer.write(b"x")
        assert [await reader.readexactly(1) for reader, _ in clients] == [b"x"] * 500
        pair.fault("cut", True)
        for _, writer in clients:
            writer.write(b"y")
        assert await receives_nothing(clients[0][0]) and await receives_nothing(clients[499][0])
        pair.fault("cut", False)
        assert [await reader.readexactly(1) for reader, _ in clients] == [b"y"] * 500
    run_with_pair(scenario)


def test_no_connection_is_established_during_a_partition() -> None:
    async def scenario(pair: Pair) -> None:
        pair.fault("cut", True)
        for _ in range(4):
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.1):
                    await pair.client()
        assert pair.accepted == 0
        pair.fault("cut", False)
        reader, writer = await pair.client()
        writer.write(b"hello")
        assert await reader.readexactly(5) == b"hello"
    run_with_pair(scenario)


@pytest.mark.parametrize("forth", [True, False])
def test_a_one_way_partition_holds_back_one_direction_only(forth: bool) -> None:
    async def scenario(pair: Pair) -> None:
        reader, writer = await pair.client()
        writer.write(b"a")
        await reader.readexactly(1)
        pair.fault("cut", True, forth=forth, back=not forth)
        pair.writers[0].write(b"from behind")
        if forth:
            assert await reader.readexactly(11) == b"from behind"
            writer.write(b"held")
            assert await receives_nothing(reader)
        else:
            assert await receives_nothing(reader)
        pair.fault("cut", False, forth=forth, back=not forth)
        assert await reader.read(100)
    run_with_pair(scenario)


def test_half_open_connections_receive_nothing_until_the_fault_ends_with_a_reset() -> None:
    async def scenario(pair: Pair) -> None:
        reader, writer = await pair.client()
        writer.write(b"a")
        await reader.readexactly(1)
        pair.fault("half_open", True)
        writer.write(b"lost")
        pair.writers[0].write(b"lost too")
        assert await receives_nothing(reader)
        new_reader, other = await pair.client()   # new connections still work
        other.write(b"b")
        assert await new_reader.readexactly(1) == b"b"
        pair.fault("half_open", False)
        with pytest.raises(ConnectionResetError):
            await reader.readexactly(1)
    run_with_pair(scenario)


def test_a_reset_reaches_both_ends_and_a_refusing_link_accepts_no_connection() -> None:
    async def scenario(pair: Pair) -> None:
        reader, writer = await pair.client()
        writer.write(b"a")
        await reader.readexactly(1)
        pair.fault("reset", True)
        with pytest.raises(ConnectionResetError):
            await reader.readexactly(1)
        while not pair.closed:
            await asyncio.sleep(0)
        pair.link.refuse(True)
        with pytest.raises(ConnectionRefusedError):
            await pair.client()
        pair.link.refuse(False)
        await pair.client()
    run_with_pair(scenario)


def test_delay_and_rate_limit_postpone_bytes() -> None:
    async def scenario(pair: Pair) -> None:
        loop = asyncio.get_running_loop()
        reader, writer = await pair.client()
        pair.fault("delay", True, 50.0, True, False)
        started_at = loop.time()
        writer.write(b"a")
        await reader.readexactly(1)
        assert 0.045 < loop.time() - started_at < 0.5
        pair.fault("delay", False, 50.0, True, False)
        pair.fault("rate", True, 100_000.0, True, False)
        started_at = loop.time()
        writer.write(b"b" * 20_000)
        await reader.readexactly(20_000)
        assert 0.15 < loop.time() - started_at < 1.0
    run_with_pair(scenario)


def test_end_of_stream_is_forwarded_and_recorded_once() -> None:
    async def scenario(pair: Pair) -> None:
        reader, writer = await pair.client()
        writer.write(b"a")
        await reader.readexactly(1)
        writer.write_eof()
        assert await reader.read() == b""
        shut_records = [record for record in pair.records if isinstance(record, history.Shut)]
        assert len(shut_records) == 1 and shut_records[0].c == 1
        pair.server.close()
        other, _ = await pair.client()
        with pytest.raises(ConnectionResetError):   # the target refuses connections
            await other.readexactly(1)
    run_with_pair(scenario)


def test_responses_can_be_dropped_and_requests_replayed() -> None:
    async def scenario(pair: Pair) -> None:
        pair.fault("swallow", True, 1.0)
        reader, writer = await pair.client()
        writer.write(b"HTTP/1.1 200 as if")
        assert await reader.read() == b""
        pair.fault("swallow", False)
        pair.link.replay = pair.link.target
        before = pair.accepted
        reader, writer = await pair.client()
        writer.write(b"POST /x")
        assert await reader.readexactly(7) == b"POST /x"
        while pair.accepted < before + 2:
            await asyncio.sleep(0)
    run_with_pair(scenario)


class DatagramRecorder(asyncio.DatagramProtocol):
    """Records the received datagrams; `wait_for` waits until `count` have arrived."""

    def __init__(self) -> None:
        self.numbers: list[int] = []
        self.received = asyncio.Event()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.numbers.append(int(data))
        self.received.set()

    async def wait_for(self, count: int) -> None:
        while len(self.numbers) < count:
            self.received.clear()
            await self.received.wait()


def test_datagrams_are_lost_duplicated_and_reordered_at_the_configured_rates() -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        transport, receiver = await loop.create_datagram_endpoint(DatagramRecorder, ("127.0.0.1", 0))
        sender, replies = await loop.create_datagram_endpoint(DatagramRecorder, ("127.0.0.1", 0))
        link = UdpLink(("127.0.0.1", 0), ("127.0.0.1", 0), (sender.get_extra_info("sockname"),
                                                            transport.get_extra_info("sockname")), random.Random(3))
        address, reply_address = await link.start()
        transport.sendto(b"7", reply_address)
        await replies.wait_for(1)

        async def send(numbers: range) -> None:
            for number in numbers:
                sender.sendto(b"%d" % number, address)
                if number % 50 == 0:
                    await asyncio.sleep(0.002)
        await send(range(500))
        await receiver.wait_for(500)
        assert receiver.numbers == list(range(500))
        link.loss = 0.3
        await send(range(500, 1500))
        link.loss = 0.0
        await send(range(1500, 1501))
        while receiver.numbers[-1] != 1500:
            await receiver.wait_for(len(receiver.numbers) + 1)
        assert 250 < link.dropped < 350 and len(receiver.numbers) == 1501 - link.dropped
        receiver.numbers.clear()
        link.duplicate = 1.0
        await send(range(10))
        await receiver.wait_for(20)
        link.duplicate, link.reorder = 0.0, 0.5
        receiver.numbers.clear()
        await send(range(100))
        await receiver.wait_for(100)
        assert sorted(receiver.numbers) == list(range(100)) != receiver.numbers
        link.reorder, link.cut = 0.0, [1, 0]
        dropped = link.dropped
        await send(range(5))
        while link.dropped < dropped + 5:
            await asyncio.sleep(0)
        for item in (transport, sender):
            item.close()
        link.close()
    run_scenario(run)
