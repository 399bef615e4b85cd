"""Case 6: the end of a long answer is left out when its host sends a second answer right behind it."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import TROUBLE, Discovery, Place, Record, answer, host_row, main, read_message, request, start_host

REQUESTS = 10   # of each form: with a length, and chunked
HELD_BACK_S = 4.0   # "holding the rest back for 2 s"


def body_of(name: str) -> bytes:
    return (name.encode() + b".") * 40_000   # about 300 kB


async def read_body(reader: asyncio.StreamReader, head: bytes) -> bytes:
    length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
    if length:
        return await reader.readexactly(int(length))
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readline()
    return body


async def case(record: Record) -> int:
    broken: list[str] = []
    outcomes: dict[str, int] = {}

    async def host(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            message = await read_message(reader)
            body = body_of(message.id)
            if message.id.startswith("chunked"):
                parts = [body[at:at + 10_000] for at in range(0, len(body), 10_000)]
                reply = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" \
                    + b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"
            else:
                reply = answer(body)
            writer.write(reply)
            if TROUBLE:   # a second answer, right behind the first
                writer.write(answer(b"again " + message.id.encode()))
            await writer.drain()
            record("host has given all of", message.id, "- body", len(body))

    discovery = Discovery([host_row(number, await start_host(host)) for number in range(3)])
    await discovery.start()
    place = Place(record, discovery)

    async def ask(name: str) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", place.listen)
        head, want = b"", body_of(name)
        try:
            writer.write(request("dinle", name, 800))
            async with asyncio.timeout(HELD_BACK_S):
                head = await reader.readuntil(b"\r\n\r\n")
                body = await read_body(reader, head)
            outcome = "whole" if body == want else "WRONG BODY"
            if not head.startswith(b"HTTP/1.1 200"):
                outcome = "status " + head[9:12].decode()
            record("client:", name, outcome, "- body", len(body), "of", len(want))
        except TimeoutError:
            outcome = "NEVER COMPLETE" if head else "no answer"
            record("client:", name, outcome, f"- nothing more comes, connection open, after {HELD_BACK_S} s")
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            outcome = "broken, and the client can tell"   # it has failed, and is not lost
            record("client:", name, outcome, repr(error)[:80])
        finally:
            writer.close()
        outcomes[outcome] = outcomes.get(outcome, 0) + 1
        if outcome in ("WRONG BODY", "NEVER COMPLETE"):
            broken.append(name)

    try:
        await place.start_gateway()
        for number in range(REQUESTS):
            await ask(f"chunked{number}")
            await asyncio.sleep(0.1)
        for number in range(REQUESTS):
            await ask(f"length{number}")
            await asyncio.sleep(0.1)
    finally:
        await place.end()
    record("outcomes", outcomes)
    return 1 if broken else 0


main(Path(__file__).resolve().parent, case)
