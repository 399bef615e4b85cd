"""Clients that send several requests at once, in pieces; each that was written must be answered on its connection."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins

FOLDER = Path(__file__).resolve().parent
HOSTS = 6
CLIENTS = 4
BURSTS = 15                 # of each client, one after the other
AT_ONCE = 5                 # requests of a burst: all are written before the first is answered
WORK_S = 0.100              # how long a host works on a request
LENGTHS = (10, 1_000, 20_000, 40_000, 60_000)   # of a body; 64 KiB is an ordinary body's most
PIECE_PAUSE_S = 0.002       # between two pieces; each request's head is cut somewhere
TIMEOUT_MS = 3000
BEFORE_S = 0.020            # a request that was written less than this before its connection ended is not counted


class Works(standins.Host):
    """A sound host."""

    async def answer(self, message: standins.Message, writer: asyncio.StreamWriter) -> None:
        """A short answer after WORK_S."""
        await asyncio.sleep(WORK_S)
        body = f"{self.name} {message.id}".encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


class Burst:
    """Requests on one connection: what was written, answered and when the gateway ended the connection."""

    def __init__(self, ids: list[str]) -> None:
        self.ids = ids
        self.written: dict[str, float] = {}
        self.answers: list[str] = []
        self.ended_at = 0.0


async def read_answers(reader: asyncio.StreamReader, burst: Burst) -> None:
    """Read one answer for each request, in order, or up to the end of the connection."""
    try:
        for _ in burst.ids:
            first, headers = await standins.read_head(reader)
            body = await standins.read_body(reader, headers)
            burst.answers.append(f"{first}: {body.decode().strip()}")
    except (asyncio.IncompleteReadError, OSError):
        burst.ended_at = time.monotonic()


async def play(record: standins.Record) -> int:
    """Broken if the gateway ends a connection on which a request was written, without an answer to it."""
    hosts = [Works(f"h{number}", record) for number in range(HOSTS)]
    for host in hosts:
        await host.start()
    discovery = await standins.Discovery(record, list(hosts)).start()
    gateway = standins.Gateway(record, discovery, standins.settings(), {})
    answers: dict[str, int] = {}
    lost: list[str] = []

    async def send(ids: list[str], draws: random.Random) -> None:
        """Send requests on a new connection, all at once, in pieces."""
        burst = Burst(ids)
        data = b""
        ends = []   # of the requests
        cuts = []   # of the pieces
        for rid in ids:
            body = draws.randbytes(draws.choice(LENGTHS))
            message = standins.request("hizala", rid, TIMEOUT_MS, body, key=f"key-{rid}")
            cuts.append(len(data) + draws.randrange(1, message.index(b"\r\n\r\n")))
            data += message
            ends.append(len(data))
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        reading = asyncio.get_running_loop().create_task(read_answers(reader, burst))
        at = 0
        try:
            for cut in [*cuts, len(data)]:
                writer.write(data[at:cut])
                await writer.drain()
                at = cut
                burst.written |= {rid: time.monotonic() for rid, end in zip(ids, ends, strict=True)
                                  if end <= at and rid not in burst.written}
                await asyncio.sleep(PIECE_PAUSE_S)
        except OSError:
            pass   # the gateway has ended the connection: the rest is not written
        try:
            await asyncio.wait_for(reading, TIMEOUT_MS / 1000 + 0.55)
        except TimeoutError:
            record(f"no answer and no end of the connection in time: {ids}")
            lost.extend(ids[len(burst.answers):])
        writer.close()
        for rid, what in zip(ids, burst.answers, strict=False):
            answers[what[:12]] = answers.get(what[:12], 0) + 1
            record(f"{rid}, written {burst.written.get(rid, 0.0):.3f}, got: {what}")
        for rid in ids[len(burst.answers):] if burst.ended_at else []:
            counts = rid in burst.written and burst.written[rid] < burst.ended_at - BEFORE_S
            record(f"{rid}, written {burst.written.get(rid, 0.0):.3f}, got no answer: the gateway ended the connection "
                   f"at {burst.ended_at:.3f}{': lost' if counts else ', not counted'}")
            if counts:
                lost.append(rid)

    async def client(number: int) -> None:
        draws = random.Random(number)
        for index in range(BURSTS):
            ids = [f"r{number}-{index}-{part}" for part in range(AT_ONCE)]
            if standins.TROUBLE:
                await send(ids, draws)
            else:   # one request at a time
                for rid in ids:
                    await send([rid], draws)

    try:
        gateway.start(FOLDER / "gateway.log")
        await gateway.ready()
        await asyncio.gather(*(client(number) for number in range(CLIENTS)))
        if not gateway.alive():
            record("the gateway has ended by itself")
            return standins.BROKEN
    finally:
        gateway.end()
    record(f"{CLIENTS * BURSTS * AT_ONCE} requests; answers {answers}; {len(lost)} lost: {' '.join(lost)}")
    if not answers.get("HTTP/1.1 200"):
        raise standins.NotRun("no request was served")
    return standins.BROKEN if lost else standins.HELD


standins.main(FOLDER, play)
