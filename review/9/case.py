"""Case 9: a gateway that got SIGTERM ends by itself in the middle of answers that their hosts still give."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import TROUBLE, Discovery, LongAnswers, Place, Record, host_row, main, start_host

LONG_BYTES = 24_000_000
READERS = 4
PIECE_BYTES, PIECE_S = 1_000_000, 0.5   # 2 MB a second: twelve seconds to read
KILL_S = 20.0   # "no sooner than the longest deadline (counted as 3 s) and 0.7 s": here much later


async def case(record: Record) -> int:
    long = LongAnswers(record, LONG_BYTES)
    discovery = Discovery([host_row(0, await start_host(long.host))])
    await discovery.start()
    place = Place(record, discovery, memory_mb=192, sockets=1024)
    try:
        process = await place.start_gateway()
        ends_at = time.monotonic() + 60
        reading = [asyncio.create_task(long.read(place.listen, f"long{number}", PIECE_BYTES, PIECE_S, ends_at))
                   for number in range(READERS)]
        await asyncio.sleep(1.0)
        if TROUBLE:
            record("SIGTERM")
            sent = time.monotonic()
            process.send_signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(KILL_S):
                    await process.wait()
                record(f"the gateway has ended by itself {time.monotonic() - sent:.2f} s after SIGTERM")
            except TimeoutError:
                record("SIGKILL")   # what it finds unanswered is not lost: these requests came before SIGTERM
                return 0
        await asyncio.wait(reading, timeout=40)
    finally:
        await place.end()
    return 1 if long.cut() else 0


main(Path(__file__).resolve().parent, case)
