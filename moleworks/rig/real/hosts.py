"""Emulated hosts on sockets: the host's model with a clock and HTTP round it, many hosts to a process."""

from __future__ import annotations

import asyncio
import random
import socket
from typing import Any, cast

import httptools
import msgspec

from .. import history
from ..host import Host
from ..spec import Hosts
from .child import Clock, Lateness, main, report

FAR = 1 << 62


class _Request:
    """A request that a host holds."""

    __slots__ = ("bad", "connection", "key")

    def __init__(self, connection: _Connection, key: int, bad: bool) -> None:
        self.connection = connection
        self.key = key
        self.bad = bad


class _Connection(asyncio.Protocol):
    """A gateway's connection; its first line, from the rig's link, names gateway and link connection."""

    def __init__(self, host: EmulatedHost) -> None:
        self._host = host
        self._parser = httptools.HttpRequestParser(self)
        self._first = b""
        self.gateway = ""
        self.number = 0
        self.requests = 0
        self.held: _Request | None = None
        self.transport: asyncio.Transport | None = None
        self._url = b""
        self._headers: dict[bytes, bytes] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._host.connections.add(self)

    def data_received(self, data: bytes) -> None:
        if not self.gateway:
            self._first += data
            line, found, data = self._first.partition(b"\r\n")
            if not found:
                return
            words = line.split()
            self.gateway, self.number = words[1].decode(), int(words[2])
        if data:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserError:
                self.answer(b"400 Bad Request", b"")

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_message_complete(self) -> None:
        url, headers, self._url, self._headers = self._url, self._headers, b"", {}
        self._host.take(self, url, headers)

    def answer(self, status: bytes, body: bytes, headers: bytes = b"") -> None:
        """Write an answer, unless the connection is over."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(b"HTTP/1.1 %b\r\nContent-Length: %d\r\n%b\r\n%b" % (status, len(body), headers, body))

    def connection_lost(self, exc: Exception | None) -> None:
        self._host.connections.discard(self)
        if self.held is not None:
            self._host.withdrawn(self.held)


class EmulatedHost:
    """One host: its listener, its model, its timer."""

    def __init__(self, part: HostsPart, told: dict[str, Any]) -> None:
        self._part = part
        self.name: str = told["name"]
        self.address: tuple[str, int] = tuple(told["listen"])
        spec = msgspec.convert(told["spec"], Hosts)
        self.model = Host(spec, random.Random(f"host {self.name} {part.seed}"), 1, part.fall_multiple, part.fall_ns)
        self.connections: set[_Connection] = set()
        self._requests: dict[int, _Request] = {}
        self._most = int(spec.cores * spec.connections_per_core)
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._due = FAR
        self.silent = False

    async def listen(self) -> None:
        """Take connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), *self.address, backlog=1024)

    def take(self, connection: _Connection, url: bytes, headers: dict[bytes, bytes]) -> None:
        """A whole request has come."""
        now = self._part.clock.now()
        path, _, query = url.partition(b"?")
        connection.requests += 1
        if self.silent:
            return
        if path in (b"/health/live", b"/stats"):
            connection.answer(b"200 OK", self._load(now) if path == b"/stats" else b"")
            return
        try:
            rid = int(headers[b"x-request-id"], 16)
            cls = path.split(b"/")[1].decode()
            work = float(query.partition(b"w=")[2] or b"0")
        except (KeyError, ValueError, IndexError):
            connection.answer(b"404 Not Found", b"")
            return
        key = self._part.key()
        self._part.record(history.Begin(now, self.name, rid, connection.gateway, key, connection.number,
                                        connection.requests))
        if connection.requests == 1:
            work += self.model.spec.handshake_us * 1000
        self._advance(now)
        taken = len(self.connections) <= self._most and self.model.offer(now, key, work)
        if self.model.toppled:
            self.down(now, "topple")
            report("topple", host=self.name)
            self._part.record(history.End(now, self.name, key, "died"))
            return
        if not taken:
            self._part.record(history.End(now, self.name, key, "full"))
            connection.answer(b"503 Service Unavailable", b"", b"X-Not-Processed: 1\r\nX-Server-Load: %b\r\n"
                              % self._load(now))
            return
        request = _Request(connection, key, cls == self.model.spec.bad_class)
        connection.held = self._requests[key] = request
        self._arm(now)

    def _load(self, now: int) -> bytes:
        queue, latency = self.model.report(now)
        return b'{"backlog":%d,"recent_ms":%.2f}' % (int(queue), latency)

    def withdrawn(self, request: _Request) -> None:
        """The gateway has closed the connection: work that still waits is dropped."""
        if self.model.withdraw(request.key):
            self._requests.pop(request.key, None)

    def _advance(self, now: int) -> None:
        for done in self.model.advance(now):
            request = self._requests.pop(done.job)
            connection = request.connection
            ok = done.ok and not request.bad
            self._part.record(history.End(now, self.name, request.key, "served" if ok else "error"))
            if connection.held is request:
                connection.held = None
            load = b"X-Server-Load: %b\r\n" % self._load(now)
            if ok:
                connection.answer(b"200 OK", b'{"k":%d}' % request.key, load)
            else:
                connection.answer(b"500 Internal Server Error", b"", load)

    def _arm(self, now: int) -> None:
        due = self.model.due()
        if due == self._due:
            return
        self._due = due
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if due < FAR:
            self._timer = asyncio.get_running_loop().call_later(max(0, due - now) / 1e9, self._ring)

    def _ring(self) -> None:
        now = self._part.clock.now()
        self._part.late.add(max(0, now - self._due))
        self._timer, self._due = None, FAR
        self._advance(now)
        self._arm(now)

    # ---- Faults ----------------------------------------------------------------------------------------

    def down(self, now: int, what: str) -> None:
        """The process ends (`down`, `topple`), or falls silent: what it held is gone, with a reset or without."""
        self._advance(now)
        self.model.crash(now)
        self._part.record(history.HostEvent(now, self.name, what))
        for key in self._requests:
            self._part.record(history.End(now, self.name, key, "died"))
        self._requests.clear()
        self.silent = what == "silent"
        if not self.silent:
            self._break()
        self._arm(now)

    def _break(self) -> None:
        for connection in list(self.connections):
            connection.held = None
            if connection.transport is not None:
                sock = connection.transport.get_extra_info("socket")
                if sock is not None:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                connection.transport.abort()

    def command(self, name: str, told: dict[str, Any]) -> None:
        """A fault begins or ends."""
        now = self._part.clock.now()
        self._advance(now)
        if name == "down":
            if self.model.up:
                self.down(now, told["what"])
        elif name == "start":
            if not self.model.up and not self.model.toppled:
                self._break()
                self.silent = False
                self.model.start(now)
                self._part.record(history.HostEvent(now, self.name, "up"))
        elif name == "drain":
            self.model.draining = True
            self._part.record(history.HostEvent(now, self.name, "drain"))
        elif name == "slow":
            self.model.set_slow(now, told["size"])
        elif name == "errors":
            self.model.set_errors(told["size"])
        elif name == "pause":
            self.model.pause(now, int(told["size"] * 1e6))
        self._arm(now)


class HostsPart:
    """The process."""

    def __init__(self, told: dict[str, Any], clock: Clock, writer: history.Writer) -> None:
        self.clock = clock
        self.record = writer.add
        self.seed = told["seed"]
        self.fall_multiple, self.fall_ns = told["fall_multiple"], told["fall_ns"]
        self.late = Lateness()
        self._keys = told["first_key"]
        self.hosts = {item["name"]: EmulatedHost(self, item) for item in told["hosts"]}

    def key(self) -> int:
        """A token that no other arrival has."""
        self._keys += 1
        number: int = self._keys
        return number

    async def start(self) -> dict[str, Any]:
        """Listen for all hosts."""
        for host in self.hosts.values():
            await host.listen()
        return {}

    def command(self, name: str, told: dict[str, Any]) -> None:
        """A command names its hosts."""
        for host in told.get("hosts", ()):
            if host in self.hosts:
                self.hosts[host].command(name, told)

    def finish(self) -> dict[str, Any]:
        """How late the models were."""
        return self.late.figures()


if __name__ == "__main__":
    main(HostsPart)
