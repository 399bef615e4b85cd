"""The rig's links by what both ends see: cuts, silence, delay, loss, resets, and what they note of it."""

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
        self.taken = 0
        self.gone = 0
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> Pair:
        self.server = await asyncio.start_server(self._echo, "127.0.0.1", 0, backlog=1024)
        with socket.create_server(("127.0.0.1", 0)) as probe:
            where = probe.getsockname()
        clock = Clock()
        clock.epoch = 1
        numbers = iter(range(1, 1 << 30))
        self.link = Link({"source": "n0", "name": "h0", "listen": where, "announce": True,
                          "target": self.server.sockets[0].getsockname()}, clock, self.records.append,
                         random.Random(1), numbers.__next__)
        self.link.listen()
        return self

    async def _echo(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.taken += 1
        self.writers.append(writer)
        assert (await reader.readline()).startswith(b"PROXY n0 ")
        with suppress(OSError):
            while data := await reader.read(65536):
                writer.write(data)
        self.gone += 1
        writer.close()

    async def client(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self.link.address)

    def fault(self, kind: str, begins: bool, size: float = 0.0, forth: bool = True, back: bool = True) -> None:
        self.link.fault(kind, begins, size, forth, back)


def scene(act: Callable[[Pair], Awaitable[None]]) -> None:
    async def run() -> None:
        await act(await Pair().start())
    run_scenario(run)


async def quiet(reader: asyncio.StreamReader, seconds: float = 0.15) -> bool:
    """Whether nothing comes for a while."""
    try:
        async with asyncio.timeout(seconds):
            await reader.read(1)
    except TimeoutError:
        return True
    return False


def test_what_a_cut_holds_comes_whole_and_in_order_when_it_heals() -> None:
    async def act(pair: Pair) -> None:
        reader, writer = await pair.client()
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        pair.fault("cut", True)
        pair.fault("cut", True)                 # a second fault on the first
        writer.write(b"two")
        assert await quiet(reader)
        pair.fault("cut", False)
        assert await quiet(reader)              # one of them is still there
        writer.write(b"three")
        pair.fault("cut", False)
        assert await reader.readexactly(8) == b"twothree"
        assert any(isinstance(record, history.Sent) for record in pair.records)
    scene(act)


def test_a_cut_under_500_open_connections_silences_all_and_loses_none() -> None:
    async def act(pair: Pair) -> None:
        clients = [await pair.client() for _ in range(500)]
        for _, writer in clients:
            writer.write(b"x")
        assert [await reader.readexactly(1) for reader, _ in clients] == [b"x"] * 500
        pair.fault("cut", True)
        for _, writer in clients:
            writer.write(b"y")
        assert await quiet(clients[0][0]) and await quiet(clients[499][0])
        pair.fault("cut", False)
        assert [await reader.readexactly(1) for reader, _ in clients] == [b"y"] * 500
    scene(act)


def test_new_connections_never_come_up_while_it_is_cut() -> None:
    async def act(pair: Pair) -> None:
        pair.fault("cut", True)
        for _ in range(4):
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.1):
                    await pair.client()
        assert pair.taken == 0
        pair.fault("cut", False)
        reader, writer = await pair.client()
        writer.write(b"hello")
        assert await reader.readexactly(5) == b"hello"
    scene(act)


@pytest.mark.parametrize("forth", [True, False])
def test_a_cut_one_way_holds_that_way_alone(forth: bool) -> None:
    async def act(pair: Pair) -> None:
        reader, writer = await pair.client()
        writer.write(b"a")
        await reader.readexactly(1)
        pair.fault("cut", True, forth=forth, back=not forth)
        pair.writers[0].write(b"from behind")
        if forth:
            assert await reader.readexactly(11) == b"from behind"
            writer.write(b"held")
            assert await quiet(reader)
        else:
            assert await quiet(reader)
        pair.fault("cut", False, forth=forth, back=not forth)
        assert await reader.read(100)
    scene(act)


def test_half_open_connections_hear_nothing_until_the_end_resets_them() -> None:
    async def act(pair: Pair) -> None:
        reader, writer = await pair.client()
        writer.write(b"a")
        await reader.readexactly(1)
        pair.fault("half_open", True)
        writer.write(b"lost")
        pair.writers[0].write(b"lost too")
        assert await quiet(reader)
        fresh, other = await pair.client()      # a new one comes up all the same
        other.write(b"b")
        assert await fresh.readexactly(1) == b"b"
        pair.fault("half_open", False)
        with pytest.raises(ConnectionResetError):
            await reader.readexactly(1)
    scene(act)


def test_a_reset_is_seen_at_both_ends_and_a_refused_one_never_comes_up() -> None:
    async def act(pair: Pair) -> None:
        reader, writer = await pair.client()
        writer.write(b"a")
        await reader.readexactly(1)
        pair.fault("reset", True)
        with pytest.raises(ConnectionResetError):
            await reader.readexactly(1)
        while not pair.gone:
            await asyncio.sleep(0)
        pair.link.refuse(True)
        with pytest.raises(ConnectionRefusedError):
            await pair.client()
        pair.link.refuse(False)
        await pair.client()
    scene(act)


def test_delay_and_rate_hold_bytes_for_their_time() -> None:
    async def act(pair: Pair) -> None:
        loop = asyncio.get_running_loop()
        reader, writer = await pair.client()
        pair.fault("delay", True, 50.0, True, False)
        begun = loop.time()
        writer.write(b"a")
        await reader.readexactly(1)
        assert 0.045 < loop.time() - begun < 0.5
        pair.fault("delay", False, 50.0, True, False)
        pair.fault("rate", True, 100_000.0, True, False)
        begun = loop.time()
        writer.write(b"b" * 20_000)
        await reader.readexactly(20_000)
        assert 0.15 < loop.time() - begun < 1.0
    scene(act)


def test_an_end_goes_through_either_way_and_is_noted_once() -> None:
    async def act(pair: Pair) -> None:
        reader, writer = await pair.client()
        writer.write(b"a")
        await reader.readexactly(1)
        writer.write_eof()
        assert await reader.read() == b""
        shut = [record for record in pair.records if isinstance(record, history.Shut)]
        assert len(shut) == 1 and shut[0].c == 1
        pair.server.close()
        other, _ = await pair.client()
        with pytest.raises(ConnectionResetError):   # nobody listens behind it
            await other.readexactly(1)
    scene(act)


def test_answers_can_be_swallowed_and_requests_replayed_on_purpose() -> None:
    async def act(pair: Pair) -> None:
        pair.fault("swallow", True, 1.0)
        reader, writer = await pair.client()
        writer.write(b"HTTP/1.1 200 as if")
        assert await reader.read() == b""
        pair.fault("swallow", False)
        pair.link.replay = pair.link.target
        before = pair.taken
        reader, writer = await pair.client()
        writer.write(b"POST /x")
        assert await reader.readexactly(7) == b"POST /x"
        while pair.taken < before + 2:
            await asyncio.sleep(0)
    scene(act)


class Heard(asyncio.DatagramProtocol):
    """Counts what comes; `until` waits for so many."""

    def __init__(self) -> None:
        self.got: list[int] = []
        self.more = asyncio.Event()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.got.append(int(data))
        self.more.set()

    async def until(self, count: int) -> None:
        while len(self.got) < count:
            self.more.clear()
            await self.more.wait()


def test_datagrams_are_lost_copied_and_reordered_by_the_share_that_is_set() -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        transport, heard = await loop.create_datagram_endpoint(Heard, ("127.0.0.1", 0))
        sender, answers = await loop.create_datagram_endpoint(Heard, ("127.0.0.1", 0))
        link = UdpLink(("127.0.0.1", 0), ("127.0.0.1", 0), (sender.get_extra_info("sockname"),
                                                          transport.get_extra_info("sockname")), random.Random(3))
        where, back = await link.start()
        transport.sendto(b"7", back)
        await answers.until(1)

        async def send(numbers: range) -> None:
            for number in numbers:
                sender.sendto(b"%d" % number, where)
                if number % 50 == 0:
                    await asyncio.sleep(0.002)
        await send(range(500))
        await heard.until(500)
        assert heard.got == list(range(500))
        link.loss = 0.3
        await send(range(500, 1500))
        link.loss = 0.0
        await send(range(1500, 1501))
        while heard.got[-1] != 1500:
            await heard.until(len(heard.got) + 1)
        assert 250 < link.dropped < 350 and len(heard.got) == 1501 - link.dropped
        heard.got.clear()
        link.duplicate = 1.0
        await send(range(10))
        await heard.until(20)
        link.duplicate, link.reorder = 0.0, 0.5
        heard.got.clear()
        await send(range(100))
        await heard.until(100)
        assert sorted(heard.got) == list(range(100)) != heard.got
        link.reorder, link.cut = 0.0, [1, 0]
        dropped = link.dropped
        await send(range(5))
        while link.dropped < dropped + 5:
            await asyncio.sleep(0)
        for item in (transport, sender):
            item.close()
        link.close()
    run_scenario(run)
