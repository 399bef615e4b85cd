"""Case 9: an answer is cut off although its host gives all of it and its client reads on at 64 kB a second."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import TROUBLE, Discovery, LongAnswers, Place, Record, host_row, main, start_host

LONG_BYTES = 8_000_000
READERS = 4
PIECE_BYTES, PIECE_S = 64_000, 1.0   # 64 kB a second, in one piece each second
PLAY_S = 80.0


async def case(record: Record) -> int:
    long = LongAnswers(record, LONG_BYTES)
    discovery = Discovery([host_row(0, await start_host(long.host))])
    await discovery.start()
    place = Place(record, discovery, memory_mb=192, sockets=1024)
    try:
        await place.start_gateway()
        ends_at = time.monotonic() + PLAY_S
        await asyncio.gather(*(long.read(place.listen, f"long{number}", PIECE_BYTES, PIECE_S if TROUBLE else 0, ends_at)
                               for number in range(READERS)))
    finally:
        await place.end()
    return 1 if long.cut() else 0


main(Path(__file__).resolve().parent, case)
