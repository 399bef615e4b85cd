"""Bad clients of a mix as a process of their own: `python -m tests.overload.mixed_clients HOST PORT COUNT MIX|SEED`."""

from __future__ import annotations

import asyncio
import socket
import struct
import sys
import time

import uvloop

from .bad_clients import HOLD_S, RECONNECT_DELAY_S, head
from .behaviour import MIXES, Ending, Kind, Mix, OpenHead, Read, Requests, Step, Upload, Wait, draw_plan

WRITE_BYTES = 32 * 1024
READ_BYTES = 4096


class MixedClient:
    """One client, which connects again and again."""

    def __init__(self, address: tuple[str, int], mix: Mix, number: int) -> None:
        self._address = address
        self._mix = mix
        self._number = number
        self._started_at = asyncio.get_running_loop().time()
        self._reader: asyncio.StreamReader
        self._writer: asyncio.StreamWriter

    async def run(self) -> None:
        """Repeat the steps of its kind for ever."""
        await asyncio.sleep(self._number % 50 * 0.004)
        while True:
            kind, wave_ends_at = self._current_kind()
            try:
                async with asyncio.timeout_at(wave_ends_at):
                    await self._connect_and_play(kind)
            except (OSError, TimeoutError, EOFError, RuntimeError):   # the last: the transport is closed
                pass
            await asyncio.sleep(RECONNECT_DELAY_S)

    def _current_kind(self) -> tuple[Kind, float | None]:
        kinds, wave_s = self._mix.kinds, self._mix.wave_s
        if not wave_s:
            return kinds[self._number % len(kinds)], None
        wave = int((asyncio.get_running_loop().time() - self._started_at) / wave_s)
        return kinds[wave % len(kinds)], self._started_at + (wave + 1) * wave_s

    async def _connect_and_play(self, kind: Kind) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        if kind.receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, kind.receive_buffer)
        try:
            await asyncio.get_running_loop().sock_connect(sock, self._address)
        except BaseException:
            sock.close()
            raise
        self._reader, self._writer = await asyncio.open_connection(sock=sock, limit=READ_BYTES)
        try:
            for step in kind.steps:
                await self._play(step, kind.bytes_per_s)
            if kind.ending is Ending.HOLD:
                await self._hold()
            elif kind.ending is Ending.RESET:
                open_socket = self._writer.get_extra_info("socket")
                if open_socket is not None:
                    open_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        finally:
            self._writer.transport.abort()

    async def _hold(self) -> None:
        async with asyncio.timeout(HOLD_S):
            while not self._writer.transport.is_closing():
                await asyncio.sleep(0.1)
                if self._reader.at_eof():
                    return

    async def _play(self, step: Step, bytes_per_s: int) -> None:
        match step:
            case OpenHead():
                await self._write(_open_head(step), bytes_per_s)
            case Upload():
                await self._upload(step, bytes_per_s)
            case Requests():
                await self._write(b"".join(_request(step) for _ in range(step.count)), bytes_per_s)
            case Read():
                await self._read(step)
            case Wait():
                await asyncio.sleep(step.seconds)

    async def _write(self, data: bytes, bytes_per_s: int) -> None:
        piece_bytes = min(WRITE_BYTES, max(1, bytes_per_s // 20)) if bytes_per_s else WRITE_BYTES
        for start in range(0, len(data), piece_bytes):
            self._writer.write(data[start:start + piece_bytes])
            await self._writer.drain()
            if bytes_per_s:
                await asyncio.sleep(piece_bytes / bytes_per_s)

    async def _upload(self, step: Upload, bytes_per_s: int) -> None:
        if not step.chunk_bytes:
            await self._write(head("once", f"Content-Length: {step.length}") + b"\r\n", 0)
            await self._write(bytes(step.sent), bytes_per_s)
            return
        chunk = b"%x\r\n%b\r\n" % (step.chunk_bytes, bytes(step.chunk_bytes))
        await self._write(head("once", "Transfer-Encoding: chunked") + b"\r\n", 0)
        chunks_at_once = max(1, WRITE_BYTES // len(chunk))
        for _ in range(step.sent // step.chunk_bytes // chunks_at_once):
            await self._write(chunk * chunks_at_once, bytes_per_s)
        if step.sent == step.length:
            trailer = b"T: " + b"t" * step.open_trailer_bytes if step.open_trailer_bytes else b"\r\n"
            await self._write(b"0\r\n" + trailer, bytes_per_s)

    async def _read(self, step: Read) -> None:
        until = time.monotonic() + step.seconds
        while time.monotonic() < until:
            data = await asyncio.wait_for(self._reader.read(READ_BYTES), until - time.monotonic())
            if not data:
                return
            if step.bytes_per_s:
                await asyncio.sleep(len(data) / step.bytes_per_s)


def _open_head(step: OpenHead) -> bytes:
    if step.in_target:
        return b"GET /" + b"x" * step.open_bytes
    fields = b"".join(b"f%d: %b\r\n" % (number, b"v" * step.field_bytes) for number in range(step.fields))
    return head() + fields + b"open: " + b"v" * step.open_bytes


def _request(step: Requests) -> bytes:
    cls = "once" if step.body_bytes else "read"
    length = [f"Content-Length: {step.body_bytes}"] if step.body_bytes else []
    return head(cls, *length, path=f"size-{step.response_bytes}") + b"\r\n" + bytes(step.body_bytes)


async def _main(address: tuple[str, int], count: int, mix: Mix) -> None:
    print("ready", flush=True)
    await asyncio.gather(*(MixedClient(address, mix, number).run() for number in range(count)))


if __name__ == "__main__":
    name = sys.argv[4]
    uvloop.run(_main((sys.argv[1], int(sys.argv[2])), int(sys.argv[3]),
                     MIXES[name] if name in MIXES else draw_plan(int(name)).mix))
