"""Clients that flood a gateway or hold its memory, as a process of their own."""

from __future__ import annotations

import asyncio
import itertools
import random
import sys
from collections.abc import Awaitable, Callable

import uvloop

RECONNECT_DELAY_S = 0.05
HOLD_S = 30.0
"""How long a client that has stopped waits for the gateway to close its connection."""

_ids = itertools.count()


def head(cls: str = "read", *fields: str, path: str = "x") -> bytes:
    """The head of a request with an id of its own, without its empty line."""
    method = "GET" if cls == "read" else "POST"
    lines = [f"{method} /{cls}/{path} HTTP/1.1", "Host: app.svc", f"X-Request-ID: bad{next(_ids)}-{random.random()}",
             f"X-Priority-Class: {cls}", "X-Tenant-Id: acme", "X-Timeout-Ms: 4000", *fields]
    return "\r\n".join(lines).encode() + b"\r\n"


class Stream:
    """One connection, read only where a client reads."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def send(self, data: bytes) -> None:
        """Write and wait until the kernel has taken most of it."""
        self.writer.write(data)
        await self.writer.drain()

    async def hold(self) -> None:
        """Wait until the gateway closes the connection."""
        async with asyncio.timeout(HOLD_S):
            while await self.reader.read(65536):
                pass


async def half_upload(stream: Stream) -> None:
    """4 MB of an upload of 8 MB."""
    await stream.send(head("once", "Content-Length: 8000000") + b"\r\n")
    for _ in range(64):
        await stream.send(bytes(62_500))
    await stream.hold()


async def half_body(stream: Stream) -> None:
    """Almost all of a body of 64 KiB."""
    await stream.send(head("once", "Content-Length: 65536") + b"\r\n" + bytes(64_500))
    await stream.hold()


async def slow_body(stream: Stream) -> None:
    """A body of 60 kB at about the slowest rate that is served."""
    await stream.send(head("once", "Content-Length: 60000") + b"\r\n")
    for _ in range(60):
        await stream.send(bytes(1000))
        await asyncio.sleep(0.025)
    await stream.hold()


async def tiny_chunks(stream: Stream) -> None:
    """A body in chunks of one byte, as fast as they are read."""
    await stream.send(head("once", "Transfer-Encoding: chunked") + b"\r\n")
    while True:
        await stream.send(b"1\r\nx\r\n" * 2000)


async def pipelined(stream: Stream) -> None:
    """Valid requests as fast as they are read; no response is read."""
    while True:
        await stream.send(b"".join(head() + b"\r\n" for _ in range(50)))


async def full_speed(stream: Stream) -> None:
    """Valid requests as fast as they are answered, some at a time."""
    while True:
        await stream.send(b"".join(head() + b"\r\n" for _ in range(8)))
        left = 8
        while left > 0:
            data = await stream.reader.read(65536)
            if not data:
                return
            left -= data.count(b"HTTP/1.1 ")


async def slow_reader(stream: Stream) -> None:
    """Long responses read slowly."""
    while True:
        await stream.send(head(path="long") + b"\r\n")
        left = 1 << 20
        while left > 0:
            data = await stream.reader.read(2000)
            if not data:
                return
            left -= len(data)
            await asyncio.sleep(0.05)


async def many_fields(stream: Stream) -> None:
    """Heads of very many empty short fields, one after another."""
    while True:
        await stream.send(head() + b"a:\r\n" * 5000)


async def open_heads(stream: Stream) -> None:
    """A head of as many short fields as are allowed, that never ends."""
    await stream.send(head() + b"".join(b"f%d: %b\r\n" % (number, b"v" * 150) for number in range(90)))
    await stream.hold()


async def new_names(stream: Stream) -> None:
    """Unsound requests under ever new names of ids, classes, tenants and fields, as fast as they are answered."""
    while True:
        name = f"{random.random():.15f}"[2:]
        await stream.send(b"".join([
            head(f"c{name}") + b"Content-Length: 0\r\n\r\n",
            head() + f"X-{name}: {name}\r\n\r\n".encode(),
            head().replace(b"acme", name.encode()) + b"\r\n"]))
        await stream.reader.read(65536)


KINDS: dict[str, Callable[[Stream], Awaitable[None]]] = {
    play.__name__: play for play in (half_upload, half_body, slow_body, tiny_chunks, pipelined, full_speed,
                                     slow_reader, many_fields, open_heads, new_names)}


async def _client(address: tuple[str, int], kind: str) -> None:
    """Connect again and again."""
    while True:
        stream = None
        try:
            stream = Stream(*await asyncio.open_connection(*address, limit=4096))
            await KINDS[kind](stream)
        except (OSError, TimeoutError, EOFError):
            pass
        if stream is not None:
            stream.writer.transport.abort()
        await asyncio.sleep(RECONNECT_DELAY_S)


async def _main(address: tuple[str, int], kinds: list[str], count: int) -> None:
    print("ready", flush=True)
    await asyncio.gather(*(_client(address, kinds[number % len(kinds)]) for number in range(count)))


if __name__ == "__main__":
    uvloop.run(_main((sys.argv[1], int(sys.argv[2])), sys.argv[4].split(","), int(sys.argv[3])))
