"""A client of the list for programs of the fleet: several services, any of which may be down, behind, or lie."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Sequence

import aiohttp
import msgspec

from moleworks import logs

from .rows import LINE, Line, Row, applied

log = logs.get("registry.lists")

PATH = "/registry/instances"
SILENT_S = 3.0
"""A watch that has been silent for so long is dead: a beat comes every 2 s."""
FIRST_S = 4.0
MAX_LINE = 16 << 20
PAUSE_S, PAUSE_MOST_S = 0.1, 5.0


class Wrong(Exception):
    """What came can't be taken for a list."""


class Lists:
    """The newest list that was heard, and its changes."""

    def __init__(self, addresses: Sequence[tuple[str, int]]) -> None:
        self._addresses = list(addresses)
        random.shuffle(self._addresses)
        self.generation = 0
        self.rows: dict[str, Row] = {}

    def take(self, text: bytes) -> Line:
        """One line.  Raises Wrong: an older list is never taken for a newer one, nor an empty one for an order."""
        try:
            line = LINE.decode(text)
        except msgspec.DecodeError as error:
            raise Wrong(str(error)) from None
        if line.generation < self.generation:
            raise Wrong(f"a list of version {line.generation} after {self.generation}")
        if line.reset and not line.instances and self.rows:
            raise Wrong("a list without hosts")
        if line.reset:
            self.rows = {}
        applied(self.rows, line.instances)
        self.generation = line.generation
        return line

    async def watch(self) -> AsyncIterator[Line]:
        """Lists and changes as they come, from service to service, for ever."""
        pause = PAUSE_S
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=2.0)
        async with aiohttp.ClientSession(timeout=timeout, read_bufsize=MAX_LINE) as session:
            while True:
                host, port = self._addresses[0]
                try:
                    async for line in self._one(session, f"http://{host}:{port}{PATH}"):
                        pause = PAUSE_S
                        yield line
                    why = "it has ended"
                except (aiohttp.ClientError, OSError, TimeoutError, ValueError, Wrong) as error:
                    why = f"{type(error).__name__}: {error}"
                log.info("list_elsewhere", service=f"{host}:{port}", why=why)
                self._addresses.append(self._addresses.pop(0))
                await asyncio.sleep(pause * random.uniform(0.5, 1.5))
                pause = min(PAUSE_MOST_S, pause * 2)

    async def _one(self, session: aiohttp.ClientSession, url: str) -> AsyncIterator[Line]:
        async with asyncio.timeout(FIRST_S):
            answer = await session.get(url, params={"watch": "1", "from": str(self.generation)})
        try:
            if answer.status != 200:
                raise Wrong(f"answer {answer.status}")
            wait = FIRST_S
            while True:
                async with asyncio.timeout(wait):
                    text = await answer.content.readline()
                wait = SILENT_S
                if not text.endswith(b"\n"):
                    raise Wrong("the answer ends inside a line")
                if text.strip():
                    yield self.take(text)
        finally:
            answer.close()
