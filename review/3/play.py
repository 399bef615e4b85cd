"""Uploads of 5 to 8 MB while 2 hosts of 12 are silent; each must get its final answer in its time and half a second."""

from __future__ import annotations

import asyncio
import random
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins

FOLDER = Path(__file__).resolve().parent
HOSTS = 12
SILENT = 2                  # 17%; the page: up to 19%, for 10 to 24 s
CLIENTS = 8
UPLOADS_S = 12.0            # how long clients begin uploads
PAUSE_S = 0.3               # the longest time between an answer and the client's next upload
TIMEOUT_MS = 1200           # the class's deadline
LATEST_S = 0.5 + 0.05       # the pages: half a second after its time, and 50 ms for each time limit
LENGTHS = (5_000_000, 8_000_000)
WRITE_S = 1.0               # an upload that the client could not write within this is not counted
GIVE_UP_S = 2.0             # how long a client waits for its answer, then it leaves


class CanFallSilent(standins.Host):
    """A host that reads and answers at once; while it is silent, it neither reads nor answers nor closes anything."""

    def __init__(self, name: str, record: standins.Record) -> None:
        super().__init__(name, record)
        self.awake = asyncio.Event()
        self.awake.set()

    async def start(self) -> CanFallSilent:
        """Listen on a free port, with a small buffer in front of the socket's own."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 16)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers = await standins.read_head(reader)
                await self.awake.wait()
                message = standins.Message(first, headers, b"")
                left = int(headers.get("content-length", 0))
                while left:
                    part = await reader.read(min(left, 1 << 16))
                    if not part:
                        return
                    left -= len(part)
                    await self.awake.wait()
                self.run.append(message.id)
                self.record(f"{self.name} runs {message.method} {message.target} id={message.id}")
                await self.answer(message, writer)
                await self.awake.wait()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def answer_of(sock: socket.socket) -> str:
    """The whole answer on a connection: its first line, or how the connection has ended."""
    loop = asyncio.get_running_loop()
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            part = await loop.sock_recv(sock, 65536)
            if not part:
                return "closed without an answer"
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        length = next(int(line.split(b":")[1]) for line in head.split(b"\r\n")
                      if line.lower().startswith(b"content-length:"))
        while len(body) < length:
            part = await loop.sock_recv(sock, 65536)
            if not part:
                return "closed within an answer"
            body += part
        return head.split(b"\r\n")[0].decode()
    except OSError as error:
        return f"closed without an answer: {error!r}"


async def play(record: standins.Record) -> int:
    """Broken if an upload whose last byte was written has no final answer 0.55 s after its time."""
    hosts = [CanFallSilent(f"h{number}", record) for number in range(HOSTS)]
    for host in hosts:
        await host.start()
    discovery = await standins.Discovery(record, list(hosts)).start()
    gateway = standins.Gateway(record, discovery, standins.settings(), {})
    loop = asyncio.get_running_loop()
    counted: list[str] = []
    late: list[str] = []
    statuses: dict[str, int] = {}

    async def client(number: int, until: float) -> None:
        draws = random.Random(number)
        index = 0
        while time.monotonic() < until:
            await asyncio.sleep(PAUSE_S * draws.random())
            rid = f"u{number}-{index}"
            index += 1
            body = bytes(draws.randrange(*LENGTHS))
            sock = socket.socket()
            sock.setblocking(False)
            await loop.sock_connect(sock, ("127.0.0.1", gateway.port))
            begun = time.monotonic()
            await loop.sock_sendall(sock, standins.request("yazi-kaydet", rid, TIMEOUT_MS, body, key=f"key-{rid}"))
            sent = time.monotonic()   # the last byte is written
            try:
                what = await asyncio.wait_for(answer_of(sock), GIVE_UP_S)
            except TimeoutError:
                what = f"nothing within {GIVE_UP_S:.0f} s"
            took = time.monotonic() - sent
            sock.close()
            statuses[what] = statuses.get(what, 0) + 1
            record(f"client {number} wrote {rid}, {len(body)} bytes, in {sent - begun:.3f} s, and got after "
                   f"{took:.3f} s more: {what}")
            if sent - begun > WRITE_S:
                continue
            counted.append(rid)
            if took > TIMEOUT_MS / 1000 + LATEST_S or not what.startswith("HTTP/1.1"):
                late.append(rid)
                record(f"lost: {rid} had {TIMEOUT_MS} ms; its answer was due {TIMEOUT_MS / 1000 + LATEST_S:.2f} s "
                       "after its last byte at the latest")

    try:
        gateway.start(FOLDER / "gateway.log")
        await gateway.ready()
        if standins.TROUBLE:
            for host in hosts[:SILENT]:
                host.awake.clear()
                record(f"{host.name} falls silent")
        await asyncio.gather(*(client(number, time.monotonic() + UPLOADS_S) for number in range(CLIENTS)))
        if not gateway.alive():
            record("the gateway has ended by itself")
            return standins.BROKEN
    finally:
        gateway.end()
    record(f"{len(counted)} uploads counted; answers {statuses}; {len(late)} lost: {' '.join(late)}")
    if not any(" 200 " in what for what in statuses):
        raise standins.NotRun("no upload was served")
    return standins.BROKEN if late else standins.HELD


standins.main(FOLDER, play)
