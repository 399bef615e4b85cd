"""Stand-in for the platform's discovery service on sockets, with the same protocol; one service for all gateways."""

from __future__ import annotations

import asyncio
import contextlib
import time
import urllib.parse
from collections.abc import Callable
from typing import Any

import msgspec

from .. import history
from ..listing import Listing, Row, line

HEARTBEAT_INTERVAL_S = 2.0


class Discovery:
    """Serves a `Listing`; each connection's first line, written by the link, identifies the gateway."""

    def __init__(self, listing: Listing, entries_by_gateway: dict[str, dict[str, dict[str, Any]]], call_s: float,
                 record: Callable[[Any], None], now: Callable[[], int]) -> None:
        self.listing = listing
        self._entries_by_gateway = entries_by_gateway   # each gateway sees the addresses of its own links
        self._call_s = call_s
        self._record = record
        self._now = now
        self._call_lock = asyncio.Lock()
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self.mode = ""                # "down", "silent", "reset"
        self.calls = 0
        self.epoch_ms = time.time_ns() // 1_000_000   # a start time of 0 is never sent: 0 means long ago

    async def start(self, address: tuple[str, int]) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, *address, backlog=512)

    def change(self, host: str, state: str, started_ns: int = 0) -> None:
        """Change the state of a host and notify the watches."""
        if self.listing.change(host, state, started_ns) is not None:
            self._changed.set()
            self._changed = asyncio.Event()

    def fault(self, mode: str) -> None:
        """Set the fault: `down`, `silent`, `reset`, or none (``""``)."""
        self.mode = mode
        if mode in ("down", "reset"):
            for writer in list(self._writers):
                with contextlib.suppress(OSError):
                    writer.transport.abort() if mode == "reset" else writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            source_fields = (await reader.readline()).split()
            head = await reader.readuntil(b"\r\n\r\n")
            await self._call(source_fields[1].decode(), head.split()[1].decode(), writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, IndexError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _call(self, gateway: str, target: str, writer: asyncio.StreamWriter) -> None:
        self.calls += 1
        if self.mode == "reset":
            writer.transport.abort()
            return
        if self.mode == "silent":
            await asyncio.sleep(60)
            return
        async with self._call_lock:
            await asyncio.sleep(self._call_s)
        if self.mode == "down":
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            await writer.drain()
            return
        url = urllib.parse.urlsplit(target)
        query = urllib.parse.parse_qs(url.query)
        if query.get("watch") != ["1"]:
            self._record_update(gateway, True, rows := list(self.listing.rows.values()))
            body = self._line(gateway, self.listing.generation, True, rows)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b" % (len(body), body))
            await writer.drain()
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        since, is_first = int(query.get("from", ["-1"])[0]), True
        while True:
            changed = self._changed
            full, rows = self.listing.since(since)
            if rows or is_first:
                since, is_first = self.listing.generation, False
                self._record_update(gateway, full, rows)
                self._chunk(writer, self._line(gateway, since, full, rows) + b"\n")
            try:
                async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                    await changed.wait()
            except TimeoutError:
                if self.mode != "silent":
                    self._chunk(writer, b"\n")
            while self.mode == "silent":
                await asyncio.sleep(0.1)
            await writer.drain()

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        if writer.transport.is_closing():
            raise ConnectionResetError
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    def _line(self, gateway: str, generation: int, full: bool, rows: list[Row]) -> bytes:
        return msgspec.json.encode(line(generation, full, rows, self._entries_by_gateway[gateway], self.epoch_ms))

    def _record_update(self, gateway: str, full: bool, rows: list[Row]) -> None:
        self._record(history.Listed(self._now(), gateway, full, [(row.host, row.state) for row in rows]))

    async def close(self) -> None:
        """Stop the service."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
