"""Clients whose requests offer an upgrade; hosts must get method, path, query, body, id and key as they were sent."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins

FOLDER = Path(__file__).resolve().parent
HOSTS = 4
CLIENTS = 8
REQUESTS = 30               # of each client, one at a time
PAUSE_S = 0.1               # the longest time between an answer and the client's next request
OFFERING_SHARE = 0.25       # share of the requests that offer an upgrade
LENGTHS = (20, 2_000, 50_000, 300_000)
# What a client with HTTP/2 sends in order to learn whether the server has it too (RFC 7540, 3.2; RFC 9110, 7.8).
OFFER = ("Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQCAAAAAAIAAAAA\r\n")

Sent = tuple[str, str, bytes, str]   # method, path and query, body, key


class Compares(standins.Host):
    """A host as the page has it: it answers 400 to a request with an id that no client sent in this form."""

    def __init__(self, name: str, record: standins.Record, sent: dict[str, Sent]) -> None:
        super().__init__(name, record)
        self._sent = sent
        self.changed: list[str] = []

    async def answer(self, message: standins.Message, writer: asyncio.StreamWriter) -> None:
        """200 to a request as it was sent, else 400."""
        came = (message.method, message.target, message.body, message.headers.get("idempotency-key", ""))
        if self._sent.get(message.id) == came:
            await super().answer(message, writer)
            return
        self.changed.append(message.id)
        sent = self._sent.get(message.id, ("", "", b"", ""))
        self.record(f"{self.name} was sent what no client sent: {message.id} came as {came[0]} {came[1]} with "
                    f"{len(came[2])} bytes and key {came[3]!r}; its client sent {sent[0]} {sent[1]} with "
                    f"{len(sent[2])} bytes and key {sent[3]!r}")
        writer.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")


async def play(record: standins.Record) -> int:
    """Broken if a host gets a request in another form than its client sent it."""
    sent: dict[str, Sent] = {}
    hosts = [Compares(f"h{number}", record, sent) for number in range(HOSTS)]
    for host in hosts:
        await host.start()
    discovery = await standins.Discovery(record, list(hosts)).start()
    gateway = standins.Gateway(record, discovery, standins.settings(), {})
    answers: dict[str, int] = {}

    async def client(number: int) -> None:
        draws = random.Random(number)
        connection = None
        for index in range(REQUESTS):
            await asyncio.sleep(PAUSE_S * draws.random())
            if connection is None:
                connection = await asyncio.open_connection("127.0.0.1", gateway.port)
            reader, writer = connection
            rid = f"r{number}-{index}"
            cls = draws.choice(("dinle", "hizala"))
            body = draws.randbytes(draws.choice(LENGTHS)) if cls == "hizala" else b""
            key = f"key-{rid}" if cls == "hizala" else ""
            offers = draws.random() < OFFERING_SHARE
            data = standins.request(cls, rid, 800 if cls == "dinle" else 2000, body, key=key,
                                    more=OFFER if offers and standins.TROUBLE else "")
            method, target, _ = data.split(b"\r\n")[0].decode().split(" ")
            sent[rid] = (method, target, body, key)
            what = "the connection ended"
            keeps = False
            try:
                writer.write(data)
                await writer.drain()
                first, headers = await standins.read_head(reader)
                await standins.read_body(reader, headers)
                what, keeps = first, headers.get("connection", "").lower() != "close"
            except (asyncio.IncompleteReadError, OSError):
                pass
            if not keeps:
                writer.close()
                connection = None
            offered = "offering an upgrade" if offers and standins.TROUBLE else "plain"
            answers[f"{offered}: {what}"] = answers.get(f"{offered}: {what}", 0) + 1
            record(f"client {number} sent {method} {target} {rid} with {len(body)} bytes, {offered}, and got: {what}")
        if connection is not None:
            connection[1].close()

    try:
        gateway.start(FOLDER / "gateway.log")
        await gateway.ready()
        await asyncio.gather(*(client(number) for number in range(CLIENTS)))
        if not gateway.alive():
            record("the gateway has ended by itself")
            return standins.BROKEN
    finally:
        gateway.end()
    changed = [rid for host in hosts for rid in host.changed]
    record(f"{CLIENTS * REQUESTS} requests; answers {answers}; {len(changed)} came to hosts in a form that no client "
           f"sent: {' '.join(changed)}")
    if not any(" 200 " in what for what in answers):
        raise standins.NotRun("no request was served")
    return standins.BROKEN if changed else standins.HELD


standins.main(FOLDER, play)
