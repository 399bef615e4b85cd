"""Case 10: an attempt begins long after its client has closed."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import TROUBLE, Discovery, Place, Record, answer, host_row, main, read_message, request, start_host

SIZE = 3_000_000
PIECE = 100_000
REQUESTS = 5
LATEST_S = 0.1 + 0.05   # "more than 0.1 s later"; each time limit grows by 50 ms on sockets


async def case(record: Record) -> int:
    begun: dict[str, float] = {}
    closed: dict[str, float] = {}

    async def host(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        async def pace() -> int:
            await asyncio.sleep(PIECE / 1_000_000 if TROUBLE else 0)   # 1 MB a second: three seconds for a body
            return PIECE
        while True:
            message = await read_message(reader, pace)
            begun[message.id] = time.monotonic()
            record("host begins", message.id, "body", len(message.body))
            writer.write(answer(b"done " + message.id.encode(), 'X-Server-Load: {"queue":0,"latency_ms":30}'))
            await writer.drain()

    port = await start_host(host, 64 * 1024)
    discovery = Discovery([host_row(0, port)])
    await discovery.start()
    place = Place(record, discovery, memory_mb=192, sockets=1024)
    try:
        await place.start_gateway()
        for number in range(REQUESTS):
            name = f"r{number:02d}"
            reader, writer = await asyncio.open_connection("127.0.0.1", place.listen)
            writer.write(request("hizala", name, 5000, length=SIZE))
            writer.write(bytes(SIZE))
            await writer.drain()
            record("client sends", name)
            await asyncio.sleep(0.3)
            writer.close()
            await writer.wait_closed()
            closed[name] = time.monotonic()
            record("client closed", name)
            await asyncio.sleep(6.0)
        for name, at in closed.items():
            record(name, "begun", f"{begun[name] - at:.3f} s after the close" if name in begun else "never")
    finally:
        await place.end()
    late = [name for name in closed if begun.get(name, 0.0) - closed[name] > LATEST_S]
    record("late attempts:", len(late))
    return 1 if late else 0


main(Path(__file__).resolve().parent, case)
