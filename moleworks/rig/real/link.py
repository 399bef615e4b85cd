"""Links: a proxy on loopback for each way between two processes, with faults that the rig sets on it.

A stream's bytes wait out a cut and come when it heals, as with TCP; what is lost comes a retransmission later.  While a
link is cut new connections never come up: its listener's queue is filled and nobody takes from it.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import Any, cast

from .. import history
from .child import Clock, main
from .udp import Datagrams, UdpLink

RTO_S = 0.2
"""The least retransmission time of TCP."""
HOLD = 1 << 20
"""Bytes that a way holds before it stops reading."""
UNREACHABLE = b"HTTP/1.1 599 Rig-Unreachable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
"""What a client's link says where nobody listens behind it; only the rig's own clients see it."""


class Faults:
    """The faults on one direction of a link."""

    __slots__ = ("cut", "delay_s", "loss", "rate")

    def __init__(self) -> None:
        self.cut = 0
        self.delay_s = 0.0
        self.loss = 0.0
        self.rate = 0.0

    def calm(self) -> bool:
        """Whether bytes pass as they come."""
        return not (self.cut or self.delay_s or self.loss or self.rate)


class Way:
    """One direction of one connection: what waits to go on."""

    def __init__(self, connection: Connection, faults: Faults) -> None:
        self.faults = faults
        self._connection = connection
        self._loop = connection.link.loop
        self._queue: deque[tuple[float, bytes]] = deque()
        self._held = 0
        self._timer: asyncio.TimerHandle | None = None
        self._free_at = 0.0
        self._closing = ""
        self.source: asyncio.Transport | None = None
        self.target: asyncio.Transport | None = None

    def feed(self, data: bytes) -> None:
        """Bytes have come."""
        if not self._queue and self.target is not None and self.faults.calm():
            self.target.write(data)
            return
        now = self._loop.time()
        due = now + self.faults.delay_s
        while self.faults.loss and self._connection.link.rng.random() < self.faults.loss:
            due += RTO_S
        if self.faults.rate:
            self._free_at = max(self._free_at, now) + len(data) / self.faults.rate
            due = max(due, self._free_at)
        if self._queue:
            due = max(due, self._queue[-1][0])
        self._queue.append((due, data))
        self._held += len(data)
        if self._held > HOLD and self.source is not None:
            self.source.pause_reading()
        self.flush()

    def end(self, how: str) -> None:
        """The source has ended: `eof` its sending, `close` all, `reset` in disorder.  It goes on after the bytes."""
        if self._closing != "reset":
            self._closing = how
        self.flush()

    def flush(self) -> None:
        """Pass on what is due."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.target is None or self.faults.cut:
            return
        now = self._loop.time()
        while self._queue:
            due, data = self._queue[0]
            if due > now:
                self._timer = self._loop.call_at(due, self.flush)
                return
            self._queue.popleft()
            self._held -= len(data)
            if not self.target.is_closing():
                self.target.write(data)
        if self.source is not None and self._held <= HOLD and not self.source.is_closing():
            self.source.resume_reading()
        if self._closing and not self.target.is_closing():
            if self._closing == "reset":
                reset(self.target)
            elif self._closing == "eof" and self.target.can_write_eof():
                self.target.write_eof()
            else:
                self.target.close()


def reset(transport: asyncio.Transport) -> None:
    """Close with a reset."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


class _Side(asyncio.Protocol):
    """One end of a connection."""

    def __init__(self, connection: Connection, near: bool) -> None:
        self._connection = connection
        self._near = near

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._connection.made(cast(asyncio.Transport, transport), self._near)

    def data_received(self, data: bytes) -> None:
        self._connection.data(data, self._near)

    def eof_received(self) -> bool:
        self._connection.ended(self._near, "eof")
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self._connection.ended(self._near, "reset" if exc is not None else "close")

    def pause_writing(self) -> None:
        self._connection.slow(self._near, True)

    def resume_writing(self) -> None:
        self._connection.slow(self._near, False)


class Connection:
    """One connection through a link: near is who connected, far is who listens behind it."""

    def __init__(self, link: Link, number: int) -> None:
        self.link = link
        self.number = number
        self.forth, self.back = Way(self, link.forth), Way(self, link.back)
        self.near: asyncio.Transport | None = None
        self.far: asyncio.Transport | None = None
        self.silent = False       # half open: what comes is dropped, and nobody hears so
        self._requests = 0
        self._asking = False
        self._shut = False
        self._over: set[bool] = set()
        self.copy: asyncio.Transport | None = None   # a meddled link sends everything there too

    def made(self, transport: asyncio.Transport, near: bool) -> None:
        """One end is up."""
        if near:
            self.near = self.forth.source = self.back.target = transport
            self.link.connections.add(self)
            self.link.loop.create_task(self._connect())
        else:
            self.far = self.back.source = self.forth.target = transport
            if self.link.announce:
                transport.write(f"PROXY {self.link.source} {self.number}\r\n".encode())
            self.forth.flush()

    async def _connect(self) -> None:
        try:
            await self.link.loop.create_connection(lambda: _Side(self, False), *self.link.target)
        except OSError:
            self._over.add(False)
            if self.near is not None and not self.near.is_closing():
                if self.link.source == "clients":
                    self.near.write(UNREACHABLE)
                    self.near.close()
                else:
                    reset(self.near)

    def data(self, data: bytes, near: bool) -> None:
        """Bytes from one end."""
        if self.silent:
            return
        link = self.link
        if near:
            if not self._asking:
                self._asking = True
                self._requests += 1
                if link.announce and not link.forth.calm():
                    link.record(history.Sent(link.clock.now(), self.number, self._requests))
                if link.replay is not None:
                    link.loop.create_task(self._replay(data))
            self.forth.feed(data)
        else:
            if self._asking and link.swallow and data.startswith(b"HTTP/1.1 200") and link.rng.random() < link.swallow:
                if self.near is not None:
                    self.near.close()   # a meddled link: the answer never comes
                return
            self._asking = False
            self.back.feed(data)

    async def _replay(self, data: bytes) -> None:
        """A meddled link: the request is sent to another host as well."""
        assert self.link.replay is not None
        reader, writer = await asyncio.open_connection(*self.link.replay)
        writer.write(f"PROXY {self.link.source} 0\r\n".encode() + data)
        with contextlib.suppress(OSError):
            await reader.read(1)
        writer.close()

    def ended(self, near: bool, how: str) -> None:
        """One end has ended its sending or is gone."""
        if self.silent and how == "eof":
            return
        if near and not self._shut and self.link.announce:
            self._shut = True   # an end of sending too: so a gateway gives an attempt up
            self.link.record(history.Shut(self.link.clock.now(), self.number))
        if how != "eof":
            self._over.add(near)
            if len(self._over) == 2:
                self.link.connections.discard(self)
        (self.forth if near else self.back).end(how)

    def slow(self, near: bool, wait: bool) -> None:
        """One end can't take more for now."""
        source = self.far if near else self.near
        if source is not None and not source.is_closing():
            (source.pause_reading if wait else source.resume_reading)()

    def reset(self) -> None:
        """Both ends see a reset."""
        for transport in (self.near, self.far):
            if transport is not None and not transport.is_closing():
                reset(transport)


class Link:
    """A listener for one pair of names, and its connections."""

    def __init__(self, told: dict[str, Any], clock: Clock, record: Callable[[Any], None], rng: random.Random,
                 numbers: Callable[[], int]) -> None:
        self.clock, self.record, self.rng = clock, record, rng
        self._numbers = numbers
        self.source, self.name = told["source"], told["name"]
        self.address: tuple[str, int] = tuple(told["listen"])
        self.home: tuple[str, int] = tuple(told["target"])
        self.target = self.home
        self.announce: bool = told["announce"]
        self.forth, self.back = Faults(), Faults()
        self.connections: set[Connection] = set()
        self.swallow = 0.0
        self.replay: tuple[str, int] | None = None
        self._refusing = 0
        self._socket: socket.socket | None = None
        self._fill: list[socket.socket] = []
        self.loop: asyncio.AbstractEventLoop

    def listen(self) -> None:
        """Take connections."""
        self.loop = asyncio.get_running_loop()
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(self.address)
        self._socket.setblocking(False)
        self._socket.listen(1024)
        self.loop.add_reader(self._socket, self._accept)

    def _accept(self) -> None:
        assert self._socket is not None
        for _ in range(100):
            try:
                sock, peer = self._socket.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            if any(peer == own.getsockname() for own in self._fill):
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = Connection(self, self._numbers())
            self.loop.create_task(self._up(connection, sock))

    async def _up(self, connection: Connection, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            await self.loop.connect_accepted_socket(lambda: _Side(connection, True), sock)

    # ---- Faults ----------------------------------------------------------------------------------------

    def fault(self, kind: str, begins: bool, size: float, forth: bool, back: bool) -> None:
        """A fault begins or ends on one way or on both."""
        for faults, meant in ((self.forth, forth), (self.back, back)):
            if not meant:
                continue
            if kind == "cut":
                faults.cut += 1 if begins else -1
            elif kind == "delay":
                faults.delay_s += (size if begins else -size) / 1000
                faults.delay_s = faults.delay_s if faults.delay_s > 1e-9 else 0.0
            elif kind == "loss":
                faults.loss = size if begins else 0.0
            elif kind == "rate":
                faults.rate = size if begins else 0.0
        if kind == "half_open":
            for connection in list(self.connections):
                if begins:
                    connection.silent = True
                elif connection.silent:
                    connection.reset()
        elif kind == "reset" and begins:
            for connection in list(self.connections):
                connection.reset()
        elif kind == "swallow":
            self.swallow = size if begins else 0.0
        if kind == "cut":
            self._block(bool(self.forth.cut or self.back.cut))
        for connection in list(self.connections):
            connection.forth.flush()
            connection.back.flush()

    def refuse(self, active: bool) -> None:
        """Nobody listens behind it: connections are refused, as by a machine whose process has ended."""
        if active and self._socket is not None:
            self.loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None
        elif not active and self._socket is None:
            self.listen()
            self._block(bool(self.forth.cut or self.back.cut))

    def _block(self, active: bool) -> None:
        """New connections never come up: the listener's queue is full and stays so."""
        if self._socket is None:
            return
        if active and not self._fill:
            self.loop.remove_reader(self._socket)
            self._socket.listen(0)
            for _ in range(2):
                sock = socket.socket()
                sock.setblocking(False)
                sock.connect_ex(self.address)
                self._fill.append(sock)
        elif not active and self._fill:
            self._socket.listen(1024)
            self.loop.add_reader(self._socket, self._accept)
            self._accept()
            for sock in self._fill:
                sock.close()
            self._fill = []


class Links:
    """The process that holds them all."""

    def __init__(self, told: dict[str, Any], clock: Clock, writer: history.Writer) -> None:
        rng = random.Random(told["seed"])
        self._count = 0
        self.links: list[Link | UdpLink] = [
            UdpLink(tuple(item["listen"]), tuple(item["far"]), (tuple(item["near_target"]), tuple(item["target"])), rng)
            if item.get("far") else Link(item, clock, writer.add, rng, self._number) for item in told["links"]]
        self._hubs: list[dict[str, Any]] = told["hubs"]

    def _number(self) -> int:
        self._count += 1
        return self._count

    async def start(self) -> dict[str, Any]:
        """Take connections on every link."""
        for link in self.links:
            if isinstance(link, Link):
                link.listen()
            else:
                await link.start()
        for hub in self._hubs:
            await self._hub(tuple(hub["listen"]), [(self.links[number], side) for number, side in hub["ways"]])
        return {}

    @staticmethod
    async def _hub(where: tuple[str, int], ways: list[tuple[Any, int]]) -> None:
        """An address by which a gateway reaches all others."""
        def fan_out(data: bytes, _: Any) -> None:
            for link, side in ways:
                link.forward(data, side)
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: Datagrams(fan_out), where)

    def command(self, name: str, told: dict[str, Any]) -> None:
        """`fault` and `refuse` name links by their places in the configuration."""
        for index in told.get("links", ()):
            link = self.links[index]
            if name == "fault":
                link.fault(told["kind"], told["begins"], told["size"], told["forth"], told["back"])
            elif name == "refuse":
                link.refuse(told["active"])
            elif name == "meddle" and isinstance(link, Link):
                to = tuple(told["to"]) if told["to"] else None
                if told["kind"] == "misroute":
                    link.target = to or link.home
                    for connection in list(link.connections):
                        connection.reset()
                else:
                    link.replay = to

    def finish(self) -> dict[str, Any]:
        """How many connections passed."""
        return {"connections": self._count}


if __name__ == "__main__":
    main(Links)
