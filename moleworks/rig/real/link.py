"""TCP proxies on loopback, one for each pair of communicating processes, with faults that the test bench injects.

Bytes sent during a partition are buffered and delivered when it ends, as with TCP; a lost segment is delivered one
retransmission timeout later.  While a link is partitioned no new connection is established: the listener's accept
queue is filled and not drained.
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

MIN_RTO_S = 0.2
"""TCP's minimum retransmission timeout."""
MAX_BUFFERED_BYTES = 1 << 20
"""Bytes that one direction buffers before it stops reading from its source."""
UNREACHABLE = b"HTTP/1.1 599 Rig-Unreachable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
"""Response of a client's link when the target refuses connections; only the test bench's own clients receive it."""


class Faults:
    """The faults on one direction of a link."""

    __slots__ = ("cut", "delay_s", "loss", "rate")

    def __init__(self) -> None:
        self.cut = 0
        self.delay_s = 0.0
        self.loss = 0.0
        self.rate = 0.0

    def is_clear(self) -> bool:
        """Whether bytes are forwarded without delay."""
        return not (self.cut or self.delay_s or self.loss or self.rate)


class Direction:
    """One direction of one connection: the bytes that have not been forwarded yet."""

    def __init__(self, connection: Connection, faults: Faults) -> None:
        self.faults = faults
        self._connection = connection
        self._loop = connection.link.loop
        self._queue: deque[tuple[float, bytes]] = deque()
        self._buffered = 0
        self._timer: asyncio.TimerHandle | None = None
        self._free_at = 0.0
        self._end_kind = ""
        self.source: asyncio.Transport | None = None
        self.target: asyncio.Transport | None = None

    def feed(self, data: bytes) -> None:
        """Handle bytes received from the source."""
        if not self._queue and self.target is not None and self.faults.is_clear():
            self.target.write(data)
            return
        now = self._loop.time()
        due = now + self.faults.delay_s
        while self.faults.loss and self._connection.link.rng.random() < self.faults.loss:
            due += MIN_RTO_S
        if self.faults.rate:
            self._free_at = max(self._free_at, now) + len(data) / self.faults.rate
            due = max(due, self._free_at)
        if self._queue:
            due = max(due, self._queue[-1][0])
        self._queue.append((due, data))
        self._buffered += len(data)
        if self._buffered > MAX_BUFFERED_BYTES and self.source is not None:
            self.source.pause_reading()
        self.flush()

    def on_source_end(self, kind: str) -> None:
        """The source has shut down sending (`eof`), closed, or reset; the target sees that after the buffered bytes."""
        if self._end_kind != "reset":
            self._end_kind = kind
        self.flush()

    def flush(self) -> None:
        """Forward the bytes that are due."""
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
            self._buffered -= len(data)
            if not self.target.is_closing():
                self.target.write(data)
        if self.source is not None and self._buffered <= MAX_BUFFERED_BYTES and not self.source.is_closing():
            self.source.resume_reading()
        if self._end_kind and not self.target.is_closing():
            if self._end_kind == "reset":
                reset(self.target)
            elif self._end_kind == "eof" and self.target.can_write_eof():
                self.target.write_eof()
            else:
                self.target.close()


def reset(transport: asyncio.Transport) -> None:
    """Close the transport with a TCP reset."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


class _LinkProtocol(asyncio.Protocol):
    """One end of a connection."""

    def __init__(self, connection: Connection, near: bool) -> None:
        self._connection = connection
        self._near = near

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._connection.on_connected(cast(asyncio.Transport, transport), self._near)

    def data_received(self, data: bytes) -> None:
        self._connection.on_data(data, self._near)

    def eof_received(self) -> bool:
        self._connection.on_end(self._near, "eof")
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self._connection.on_end(self._near, "reset" if exc is not None else "close")

    def pause_writing(self) -> None:
        self._connection.set_paused(self._near, True)

    def resume_writing(self) -> None:
        self._connection.set_paused(self._near, False)


class Connection:
    """One connection through a link: near is the end that connected, far is the target of the link."""

    def __init__(self, link: Link, number: int) -> None:
        self.link = link
        self.number = number
        self.forth, self.back = Direction(self, link.forth), Direction(self, link.back)
        self.near: asyncio.Transport | None = None
        self.far: asyncio.Transport | None = None
        self.silent = False       # half-open: received bytes are dropped without notice to either end
        self._requests = 0
        self._awaiting_response = False
        self._end_recorded = False
        self._closed_ends: set[bool] = set()
        self.copy: asyncio.Transport | None = None   # tampering: everything is sent there too

    def on_connected(self, transport: asyncio.Transport, near: bool) -> None:
        """One end is connected."""
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
            await self.link.loop.create_connection(lambda: _LinkProtocol(self, False), *self.link.target)
        except OSError:
            self._closed_ends.add(False)
            if self.near is not None and not self.near.is_closing():
                if self.link.source == "clients":
                    self.near.write(UNREACHABLE)
                    self.near.close()
                else:
                    reset(self.near)

    def on_data(self, data: bytes, near: bool) -> None:
        """Handle bytes received from one end."""
        if self.silent:
            return
        link = self.link
        if near:
            if not self._awaiting_response:
                self._awaiting_response = True
                self._requests += 1
                if link.announce and not link.forth.is_clear():
                    link.record(history.Sent(link.clock.now(), self.number, self._requests))
                if link.replay is not None:
                    link.loop.create_task(self._replay(data))
            self.forth.feed(data)
        else:
            if (self._awaiting_response and link.swallow and data.startswith(b"HTTP/1.1 200")
                    and link.rng.random() < link.swallow):
                if self.near is not None:
                    self.near.close()   # tampering: the response is dropped
                return
            self._awaiting_response = False
            self.back.feed(data)

    async def _replay(self, data: bytes) -> None:
        """Tampering: send the request to another host as well."""
        assert self.link.replay is not None
        reader, writer = await asyncio.open_connection(*self.link.replay)
        writer.write(f"PROXY {self.link.source} 0\r\n".encode() + data)
        with contextlib.suppress(OSError):
            await reader.read(1)
        writer.close()

    def on_end(self, near: bool, kind: str) -> None:
        """One end has shut down sending or disconnected."""
        if self.silent and kind == "eof":
            return
        if near and not self._end_recorded and self.link.announce:
            self._end_recorded = True   # also after a half-close: a gateway cancels an attempt that way
            self.link.record(history.Shut(self.link.clock.now(), self.number))
        if kind != "eof":
            self._closed_ends.add(near)
            if len(self._closed_ends) == 2:
                self.link.connections.discard(self)
        (self.forth if near else self.back).on_source_end(kind)

    def set_paused(self, near: bool, paused: bool) -> None:
        """Pause or resume reading for an end whose write buffer is full or drained."""
        source = self.far if near else self.near
        if source is not None and not source.is_closing():
            (source.pause_reading if paused else source.resume_reading)()

    def reset(self) -> None:
        """Reset both ends."""
        for transport in (self.near, self.far):
            if transport is not None and not transport.is_closing():
                reset(transport)


class Link:
    """The listener for one (source, target) pair and its connections."""

    def __init__(self, config: dict[str, Any], clock: Clock, record: Callable[[Any], None], rng: random.Random,
                 next_number: Callable[[], int]) -> None:
        self.clock, self.record, self.rng = clock, record, rng
        self._next_number = next_number
        self.source, self.name = config["source"], config["name"]
        self.address: tuple[str, int] = tuple(config["listen"])
        self.original_target: tuple[str, int] = tuple(config["target"])
        self.target = self.original_target
        self.announce: bool = config["announce"]
        self.forth, self.back = Faults(), Faults()
        self.connections: set[Connection] = set()
        self.swallow = 0.0
        self.replay: tuple[str, int] | None = None
        self._refusing = 0
        self._socket: socket.socket | None = None
        self._queue_fillers: list[socket.socket] = []
        self.loop: asyncio.AbstractEventLoop

    def listen(self) -> None:
        """Accept connections."""
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
            if any(peer == filler.getsockname() for filler in self._queue_fillers):
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = Connection(self, self._next_number())
            self.loop.create_task(self._attach(connection, sock))

    async def _attach(self, connection: Connection, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            await self.loop.connect_accepted_socket(lambda: _LinkProtocol(connection, True), sock)

    # ---- Faults ----------------------------------------------------------------------------------------

    def fault(self, kind: str, begins: bool, size: float, forth: bool, back: bool) -> None:
        """Begin or end a fault on one direction or on both."""
        for faults, affected in ((self.forth, forth), (self.back, back)):
            if not affected:
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
            self._block_new_connections(bool(self.forth.cut or self.back.cut))
        for connection in list(self.connections):
            connection.forth.flush()
            connection.back.flush()

    def refuse(self, active: bool) -> None:
        """Refuse connections, as a machine does whose server process has ended."""
        if active and self._socket is not None:
            self.loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None
        elif not active and self._socket is None:
            self.listen()
            self._block_new_connections(bool(self.forth.cut or self.back.cut))

    def _block_new_connections(self, active: bool) -> None:
        """Keep the listener's accept queue full, so that no new connection is established."""
        if self._socket is None:
            return
        if active and not self._queue_fillers:
            self.loop.remove_reader(self._socket)
            self._socket.listen(0)
            for _ in range(2):
                sock = socket.socket()
                sock.setblocking(False)
                sock.connect_ex(self.address)
                self._queue_fillers.append(sock)
        elif not active and self._queue_fillers:
            self._socket.listen(1024)
            self.loop.add_reader(self._socket, self._accept)
            self._accept()
            for sock in self._queue_fillers:
                sock.close()
            self._queue_fillers = []


class Links:
    """The process that runs all links."""

    def __init__(self, config: dict[str, Any], clock: Clock, writer: history.Writer) -> None:
        rng = random.Random(config["seed"])
        self._count = 0
        self.links: list[Link | UdpLink] = [
            UdpLink(tuple(item["listen"]), tuple(item["far"]), (tuple(item["near_target"]), tuple(item["target"])), rng)
            if item.get("far") else Link(item, clock, writer.add, rng, self._next_number) for item in config["links"]]
        self._hubs: list[dict[str, Any]] = config["hubs"]

    def _next_number(self) -> int:
        self._count += 1
        return self._count

    async def start(self) -> dict[str, Any]:
        """Listen on every link."""
        for link in self.links:
            if isinstance(link, Link):
                link.listen()
            else:
                await link.start()
        for hub in self._hubs:
            await self._hub(tuple(hub["listen"]), [(self.links[number], side) for number, side in hub["ways"]])
        return {}

    @staticmethod
    async def _hub(address: tuple[str, int], ways: list[tuple[Any, int]]) -> None:
        """Open an address that forwards each datagram of a gateway to all others."""
        def fan_out(data: bytes, _: Any) -> None:
            for link, side in ways:
                link.forward(data, side)
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: Datagrams(fan_out), address)

    def command(self, name: str, message: dict[str, Any]) -> None:
        """Commands name links by their index in the configuration."""
        for index in message.get("links", ()):
            link = self.links[index]
            if name == "fault":
                link.fault(message["kind"], message["begins"], message["size"], message["forth"], message["back"])
            elif name == "refuse":
                link.refuse(message["active"])
            elif name == "meddle" and isinstance(link, Link):
                to = tuple(message["to"]) if message["to"] else None
                if message["kind"] == "misroute":
                    link.target = to or link.original_target
                    for connection in list(link.connections):
                        connection.reset()
                else:
                    link.replay = to

    def finish(self) -> dict[str, Any]:
        """Return the number of connections."""
        return {"connections": self._count}


if __name__ == "__main__":
    main(Links)
