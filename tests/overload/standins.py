"""Hosts and a discovery service for overload runs, in the process of the test; they share no code with the gateway."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from typing import Any, cast

from tests.sockets import FakeDiscovery

HEARTBEAT_INTERVAL_S = 1.0
LONG_BODY = bytes(1 << 20)
"""Body of the response to a request whose path ends with `long`."""


class HostConnection(asyncio.Protocol):
    """Parses requests with a length or in chunks, discards their bodies and answers each at once."""

    def __init__(self, host: Host) -> None:
        self._host = host
        self._data = bytearray()
        self._head: dict[bytes, bytes] | None = None
        self._first_line = b""
        self._left = 0
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._data += data
        while self._data and (self._head is not None or self._parse_head()) and self._skip_body():
            self._answer()

    def _parse_head(self) -> bool:
        head, found, rest = bytes(self._data).partition(b"\r\n\r\n")
        if found:
            first, *lines = head.split(b"\r\n")
            self._first_line = first
            self._head = {name.lower(): value.strip() for name, _, value in (line.partition(b":") for line in lines)}
            self._data = bytearray(rest)
            self._left = int(self._head.get(b"content-length", b"0"))
        return bool(found)

    def _skip_body(self) -> bool:
        if self._head is not None and b"transfer-encoding" in self._head:
            end = self._data.find(b"0\r\n\r\n")
            complete = end >= 0 and (end == 0 or self._data[end - 2:end] == b"\r\n")
            del self._data[:end + 5 if complete else max(0, len(self._data) - 7)]
            return complete
        taken = min(self._left, len(self._data))
        del self._data[:taken]
        self._left -= taken
        return self._left == 0

    def _answer(self) -> None:
        head, self._head = self._head, None
        if head is None or self._transport is None:
            return
        request_id = head.get(b"x-request-id", b"")
        self._host.runs[request_id.decode()] += 1
        body = _body_for(self._first_line.split()[1], request_id)
        response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        asyncio.get_running_loop().call_later(self._host.work_s, self._write, response)

    def _write(self, response: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(response)


def _body_for(path: bytes, request_id: bytes) -> bytes:
    """The body of a response: of the size that the path names, or the request's id."""
    if path.endswith(b"long"):
        return LONG_BODY
    _, found, size = path.rpartition(b"size-")
    return bytes(int(size)) if found and size != b"0" else request_id


class Host:
    """A host that counts how often each request id ran."""

    def __init__(self, name: str, work_s: float = 0.005) -> None:
        self.name = name
        self.work_s = work_s
        self.runs: Counter[str] = Counter()
        self._address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> Host:
        """Listen on a free port."""
        self._server = await asyncio.get_running_loop().create_server(lambda: HostConnection(self), "127.0.0.1", 0)
        self._address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    def instance(self) -> dict[str, Any]:
        """The entry in discovery's list."""
        return {"instanceId": self.name, "hostPort": self._address, "zone": "a", "machineType": "m", "cell": 0,
                "lifecycle": "in_service", "weight": 1.0, "startedAtMs": 0}


class Discovery(FakeDiscovery):
    """A service that confirms the configured list of generation 41 and sends heartbeats."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.send_head(writer)
            writer.write(b"%x\r\n%b\r\n" % (len(line := _NO_CHANGE), line))
            while not writer.is_closing():
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)
                self.send_chunk(writer, b"\n")
        except (asyncio.IncompleteReadError, OSError):
            pass


_NO_CHANGE = json.dumps({"generation": 41, "reset": False, "instances": []}).encode() + b"\n"
