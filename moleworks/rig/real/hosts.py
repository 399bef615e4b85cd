"""Emulated hosts on sockets: the host model driven by a clock and HTTP requests, many hosts per process."""

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

NO_TIMER_NS = 1 << 62


class _Request:
    """A request that a host is processing."""

    __slots__ = ("always_fails", "connection", "key")

    def __init__(self, connection: _Connection, key: int, always_fails: bool) -> None:
        self.connection = connection
        self.key = key
        self.always_fails = always_fails


class _Connection(asyncio.Protocol):
    """A gateway's connection; its first line, written by the link, identifies the gateway and the link connection."""

    def __init__(self, host: EmulatedHost) -> None:
        self._host = host
        self._parser = httptools.HttpRequestParser(self)
        self._first_line = b""
        self.gateway = ""
        self.number = 0
        self.requests = 0
        self.request: _Request | None = None
        self.transport: asyncio.Transport | None = None
        self._url = b""
        self._headers: dict[bytes, bytes] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._host.connections.add(self)

    def data_received(self, data: bytes) -> None:
        if not self.gateway:
            self._first_line += data
            line, separator, data = self._first_line.partition(b"\r\n")
            if not separator:
                return
            fields = line.split()
            self.gateway, self.number = fields[1].decode(), int(fields[2])
        if data:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserError:
                self.respond(b"400 Bad Request", b"")

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_message_complete(self) -> None:
        url, headers, self._url, self._headers = self._url, self._headers, b"", {}
        self._host.on_request(self, url, headers)

    def respond(self, status: bytes, body: bytes, headers: bytes = b"") -> None:
        """Write a response, unless the connection is closing."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(b"HTTP/1.1 %b\r\nContent-Length: %d\r\n%b\r\n%b" % (status, len(body), headers, body))

    def connection_lost(self, exc: Exception | None) -> None:
        self._host.connections.discard(self)
        if self.request is not None:
            self._host.on_disconnect(self.request)


class EmulatedHost:
    """One host: its listener, its model and its timer."""

    def __init__(self, program: HostsProgram, config: dict[str, Any]) -> None:
        self._program = program
        self.name: str = config["name"]
        self.address: tuple[str, int] = tuple(config["listen"])
        spec = msgspec.convert(config["spec"], Hosts)
        self.model = Host(spec, random.Random(f"host {self.name} {program.seed}"), 1, program.fall_multiple,
                          program.fall_ns)
        self.connections: set[_Connection] = set()
        self._requests: dict[int, _Request] = {}
        self._max_connections = int(spec.cores * spec.connections_per_core)
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = NO_TIMER_NS
        self.silent = False

    async def listen(self) -> None:
        """Accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), *self.address, backlog=1024)

    def on_request(self, connection: _Connection, url: bytes, headers: dict[bytes, bytes]) -> None:
        """Handle a complete request."""
        now = self._program.clock.now()
        path, _, query = url.partition(b"?")
        connection.requests += 1
        if self.silent:
            return
        if path in (b"/health/live", b"/stats"):
            connection.respond(b"200 OK", self._load_report(now) if path == b"/stats" else b"")
            return
        try:
            rid = int(headers[b"x-request-id"], 16)
            class_name = path.split(b"/")[1].decode()
            work = float(query.partition(b"w=")[2] or b"0")
        except (KeyError, ValueError, IndexError):
            connection.respond(b"404 Not Found", b"")
            return
        key = self._program.key()
        self._program.record(history.Begin(now, self.name, rid, connection.gateway, key, connection.number,
                                           connection.requests))
        if connection.requests == 1:
            work += self.model.spec.handshake_us * 1000
        self._advance(now)
        accepted = len(self.connections) <= self._max_connections and self.model.offer(now, key, work)
        if self.model.toppled:
            self.go_down(now, "topple")
            report("topple", host=self.name)
            self._program.record(history.End(now, self.name, key, "died"))
            return
        if not accepted:
            self._program.record(history.End(now, self.name, key, "full"))
            connection.respond(b"503 Service Unavailable", b"", b"X-Not-Processed: 1\r\nX-Server-Load: %b\r\n"
                               % self._load_report(now))
            return
        request = _Request(connection, key, class_name == self.model.spec.bad_class)
        connection.request = self._requests[key] = request
        self._set_timer(now)

    def _load_report(self, now: int) -> bytes:
        queue, latency = self.model.report(now)
        return b'{"backlog":%d,"recent_ms":%.2f}' % (int(queue), latency)

    def on_disconnect(self, request: _Request) -> None:
        """The gateway closed the connection: drop the request if it is still queued."""
        if self.model.withdraw(request.key):
            self._requests.pop(request.key, None)

    def _advance(self, now: int) -> None:
        for done in self.model.advance(now):
            request = self._requests.pop(done.job)
            connection = request.connection
            ok = done.ok and not request.always_fails
            self._program.record(history.End(now, self.name, request.key, "served" if ok else "error"))
            if connection.request is request:
                connection.request = None
            load = b"X-Server-Load: %b\r\n" % self._load_report(now)
            if ok:
                connection.respond(b"200 OK", b'{"k":%d}' % request.key, load)
            else:
                connection.respond(b"500 Internal Server Error", b"", load)

    def _set_timer(self, now: int) -> None:
        due = self.model.due()
        if due == self._timer_at:
            return
        self._timer_at = due
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if due < NO_TIMER_NS:
            self._timer = asyncio.get_running_loop().call_later(max(0, due - now) / 1e9, self._on_timer)

    def _on_timer(self) -> None:
        now = self._program.clock.now()
        self._program.lateness.add(max(0, now - self._timer_at))
        self._timer, self._timer_at = None, NO_TIMER_NS
        self._advance(now)
        self._set_timer(now)

    # ---- Faults ----------------------------------------------------------------------------------------

    def go_down(self, now: int, event: str) -> None:
        """The process ends (`down`, `topple`) or stops responding (`silent`): its requests are lost.

        Unless it is silent, its connections are reset.
        """
        self._advance(now)
        self.model.crash(now)
        self._program.record(history.HostEvent(now, self.name, event))
        for key in self._requests:
            self._program.record(history.End(now, self.name, key, "died"))
        self._requests.clear()
        self.silent = event == "silent"
        if not self.silent:
            self._reset_connections()
        self._set_timer(now)

    def _reset_connections(self) -> None:
        for connection in list(self.connections):
            connection.request = None
            if connection.transport is not None:
                sock = connection.transport.get_extra_info("socket")
                if sock is not None:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                connection.transport.abort()

    def command(self, name: str, message: dict[str, Any]) -> None:
        """Begin or end a fault."""
        now = self._program.clock.now()
        self._advance(now)
        if name == "down":
            if self.model.up:
                self.go_down(now, message["what"])
        elif name == "start":
            if not self.model.up and not self.model.toppled:
                self._reset_connections()
                self.silent = False
                self.model.start(now)
                self._program.record(history.HostEvent(now, self.name, "up"))
        elif name == "drain":
            self.model.draining = True
            self._program.record(history.HostEvent(now, self.name, "drain"))
        elif name == "slow":
            self.model.set_slow(now, message["size"])
        elif name == "errors":
            self.model.set_errors(message["size"])
        elif name == "pause":
            self.model.pause(now, int(message["size"] * 1e6))
        self._set_timer(now)


class HostsProgram:
    """The hosts' process."""

    def __init__(self, config: dict[str, Any], clock: Clock, writer: history.Writer) -> None:
        self.clock = clock
        self.record = writer.add
        self.seed = config["seed"]
        self.fall_multiple, self.fall_ns = config["fall_multiple"], config["fall_ns"]
        self.lateness = Lateness()
        self._last_key = config["first_key"]
        self.hosts = {item["name"]: EmulatedHost(self, item) for item in config["hosts"]}

    def key(self) -> int:
        """Return a token that no other arrival has."""
        self._last_key += 1
        number: int = self._last_key
        return number

    async def start(self) -> dict[str, Any]:
        """Start the listeners of all hosts."""
        for host in self.hosts.values():
            await host.listen()
        return {}

    def command(self, name: str, message: dict[str, Any]) -> None:
        """Pass a command to the hosts that it names."""
        for host in message.get("hosts", ()):
            if host in self.hosts:
                self.hosts[host].command(name, message)

    def finish(self) -> dict[str, Any]:
        """Return how late the model's timers were."""
        return self.lateness.figures()


if __name__ == "__main__":
    main(HostsProgram)
