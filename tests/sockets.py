"""Fake hosts, a fake discovery service and clients on loopback sockets, for tests of the real gateway.

They share no code with the gateway: HTTP messages are parsed and written here independently.
"""

from __future__ import annotations

import asyncio
import gc
import json
import socket
import struct
import tempfile
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import AsyncExitStack
from typing import Any

import uvloop

from bridgesaddle import Balancer
from bridgesaddle.lease import UpToDate
from gateway.core import DecisionsFactory
from gateway.program import Config, Gateway
from gateway.timers import now_ns
from gateway.upstream import REUSE_DELAY_NS

TEST_TIMEOUT_S = 20.0
"""Time limit of one test: a wait for an event that never happens ends here."""
BASE_BYTES = 27 << 20
"""Memory of a gateway process before it serves."""
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
CLOSING_RESPONSE = OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
SETTINGS: dict[str, Any] = {
    "az": 0, "zones": ["a", "b"], "flavors": ["m"], "replicas-of-me": 1, "round-ns": 5_000_000,
    "discovery": "on_request", "realms": [{"name": "acme", "portion": 1.0}],
    "caps": {"cancel": True, "max-attempts": 5, "may-duplicate": True, "dial-timeout-ns": 250_000_000,
             "conn-idle-ns": 15_000_000_000},
    "rules": {"ask-within-ns": 200_000_000},   # the module calls discovery without a long delay
    "request-classes": [
        {"name": "read", "give-up-ns": 6_000_000_000, "slo-ns": 6_000_000_000, "effect": "read_like"},
        {"name": "keyed", "give-up-ns": 6_000_000_000, "slo-ns": 6_000_000_000,
         "effect": "idempotency_key", "group": "all", "window-ns": 9_000_000_000},
        {"name": "once", "give-up-ns": 6_000_000_000, "slo-ns": 6_000_000_000, "effect": "non_idempotent"},
    ],
}


def run_scenario(scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run an async test on a uvloop event loop, as the gateway uses, with a time limit."""
    async def run_with_timeout() -> None:
        await asyncio.wait_for(scenario(), TEST_TIMEOUT_S)
    uvloop.run(run_with_timeout())


def run_without_collections(scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run an async test without garbage collections, so that objects in reference cycles stay."""
    gc.collect()
    gc.disable()
    try:
        run_scenario(scenario)
    finally:
        gc.enable()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read the first line, the headers and the body of a message with a Content-Length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.strip().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    return first, headers, await reader.readexactly(int(headers.get("content-length", 0)))


class ReceivedRequest:
    """A request that a host has received, with methods to respond to it."""

    def __init__(self, request_line: str, headers: dict[str, str], body: bytes,
                 writer: asyncio.StreamWriter, reader: asyncio.StreamReader,
                 closed_event: asyncio.Event | None) -> None:
        self.request_line, self.headers, self.body = request_line, headers, body
        self.writer, self.reader, self._closed_event = writer, reader, closed_event

    def respond(self, data: bytes = OK) -> None:
        """Write these response bytes."""
        self.writer.write(data)

    async def wait_closed(self) -> None:
        """Wait until the gateway has closed this connection."""
        if self._closed_event is not None:
            await self._closed_event.wait()
            return
        try:
            while await self.reader.read(1000):
                pass
        except OSError:
            pass


class FakeHost:
    """A host that queues each request in `received` and responds with `response`; if None, the test responds itself."""

    def __init__(self, name: str = "h0", response: bytes | None = OK) -> None:
        self.name = name
        self.response = response
        self.received: asyncio.Queue[ReceivedRequest] = asyncio.Queue()
        self.connections = 0
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> FakeHost:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        closed_event = asyncio.Event() if self.response is not None else None
        try:
            while True:
                received_request = ReceivedRequest(*await read_message(reader), writer, reader, closed_event)
                self.received.put_nowait(received_request)
                if self.response is None:
                    return   # the test uses the connection from here on
                received_request.respond(self.response)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()
            if closed_event is not None:
                closed_event.set()

    def instance(self, state: str = "in_service", **more: Any) -> dict[str, Any]:
        """This host's entry in discovery's list."""
        return {"instanceId": self.name, "hostPort": self.address, "zone": "a", "machineType": "m", "cell": 0,
                "lifecycle": state, "weight": 1.0, "startedAtMs": 0, **more}


class FakeDiscovery:
    """A discovery service that queues each call in `calls`, with the writer of its response.

    `sends_first_update`: each response starts with an update that reports no change since generation 41.  It is sent
    before the call is queued: a test that acts on a call before the program has a list must leave it off.
    """

    def __init__(self, sends_first_update: bool = False) -> None:
        self.sends_first_update = sends_first_update
        self.calls: asyncio.Queue[tuple[str, asyncio.StreamWriter]] = asyncio.Queue()
        self.address = ""

    async def start(self) -> FakeDiscovery:
        """Listen on a free port."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle one call."""
        try:
            first, _, _ = await read_message(reader)
            if self.sends_first_update:
                self.send_head(writer)
                self.send_update(writer, 41, [])
            self.calls.put_nowait((first, writer))
            await reader.read()
        except (asyncio.IncompleteReadError, OSError):
            pass

    @staticmethod
    def send_head(writer: asyncio.StreamWriter) -> None:
        """Start the response to a watch."""
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    @staticmethod
    def send_update(writer: asyncio.StreamWriter, generation: int, instances: list[dict[str, Any]],
                    reset: bool = False) -> None:
        """Write one update of a watch."""
        FakeDiscovery.send_chunk(writer, json.dumps(
            {"generation": generation, "reset": reset, "instances": instances}).encode() + b"\n")

    @staticmethod
    def send_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write one HTTP chunk."""
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))


class Client:
    """One client connection to the gateway."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, data: bytes) -> None:
        """Write these bytes."""
        self.writer.write(data)

    def reset(self) -> None:
        """Close the connection by a reset."""
        self.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    async def read_response(self) -> tuple[int, dict[str, str], bytes]:
        """Read the next response: status, headers, body."""
        first, headers, body = await read_message(self.reader)
        return int(first.split()[1]), headers, body

    async def fetch(self, data: bytes) -> tuple[int, dict[str, str], bytes]:
        """Send a request and wait for its response."""
        self.send(data)
        return await self.read_response()


def request(cls: str = "read", rid: str = "r1", drop: str = "", body: bytes = b"", path: str = "/x?q=1",
            **headers: str) -> bytes:
    """The bytes of a client's request; `drop` leaves out one header, `_` in a header name stands for `-`."""
    lines = {"Host": "app.svc", "X-Request-ID": rid, "X-Priority-Class": cls, "X-Tenant-Id": "acme",
             "X-Timeout-Ms": "6000"}
    if cls == "keyed":
        lines["Idempotency-Key"] = "k" + rid
    if cls != "read":
        lines["Content-Length"] = str(len(body))
    lines.update({name.replace("_", "-"): value for name, value in headers.items()})
    lines.pop(drop, None)
    method = "GET" if cls == "read" else "POST"
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    return f"{method} /{cls}{path} HTTP/1.1\r\n{head}\r\n".encode() + body


class GatewayHarness(AsyncExitStack):
    """A running gateway with its fake hosts and discovery; leaving the context closes everything."""

    gateway: Gateway
    discovery: FakeDiscovery
    address: tuple[str, int]

    async def start(self, *hosts: FakeHost, instances: list[dict[str, Any]] | None = None,
                    module_factory: DecisionsFactory = Balancer, config: dict[str, Any] | None = None,
                    **settings: Any) -> GatewayHarness:
        """Start a gateway whose configured list has these hosts, or `instances` where they are given."""
        self.discovery = await FakeDiscovery().start()
        for host in hosts:
            await host.start()
        configuration = {
            "name": "n0", "listen": "127.0.0.1:0", "discovery": self.discovery.address, "seed": "7",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"generation": 41, "reset": True,
                      "instances": [host.instance() for host in hosts] if instances is None else instances},
            "settings": {**SETTINGS, **settings}, **(config or {})}
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(configuration, file)
            file.flush()
            self.gateway = Gateway(Config({"EDGE_CONFIG": file.name}), asyncio.get_running_loop(),
                                   module_factory, first_list_wait_ns=0)   # a test may leave calls unanswered
        self.address = await self.gateway.start()
        self.gateway.memory_pressure.read_resident = lambda: 0   # the kernel counts all of the test's own process
        self.gateway._base_bytes = BASE_BYTES   # it was measured with all of the test's own process
        self.gateway._apply_limits()
        self._mark_configured_list_up_to_date()
        return self

    def _mark_configured_list_up_to_date(self) -> None:
        """Report the configured list as up to date, because the fake discovery sends nothing by itself."""
        lease, now = self.gateway.discovery.lease, now_ns()
        lease.on_discovery_reached(now)
        lease.on_watch_opened()
        lease.extend(UpToDate(now))
        self.gateway.core.on_lease()

    async def client(self) -> Client:
        """Open a new connection to the gateway."""
        return Client(*await asyncio.open_connection(*self.address))


async def wait_until(ready: Callable[[], bool], step: Callable[[], Awaitable[Any]] | None = None) -> None:
    """Run the event loop until `ready` holds; the time limit of `run_scenario` ends a wait that never succeeds."""
    while not ready():
        await (step() if step is not None else asyncio.sleep(0))


async def wait_until_reusable() -> None:
    """Wait until a host connection whose response has just ended may be reused."""
    reusable_at = now_ns() + REUSE_DELAY_NS
    await wait_until(lambda: now_ns() > reusable_at)
