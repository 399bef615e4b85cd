"""Client of the list service.  Any of the services may be down, out of date or send invalid lists."""

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
WATCH_SILENCE_TIMEOUT_S = 3.0
"""A watch that is silent for longer is lost: services send a heartbeat every 2 s."""
FIRST_LINE_TIMEOUT_S = 4.0
MAX_LINE_BYTES = 16 << 20
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.1, 5.0


class InvalidList(Exception):
    """A service sent something that can't be used as a list."""


class ListClient:
    """Follows the list: holds the newest version received from any service."""

    def __init__(self, addresses: Sequence[tuple[str, int]]) -> None:
        self._addresses = list(addresses)
        random.shuffle(self._addresses)
        self.generation = 0
        self.rows: dict[str, Row] = {}

    def apply_line(self, text: bytes) -> Line:
        """Apply one line of a watch.  Raises InvalidList, for instance for an older list or an empty full list."""
        try:
            line = LINE.decode(text)
        except msgspec.DecodeError as error:
            raise InvalidList(str(error)) from None
        if line.generation < self.generation:
            raise InvalidList(f"version {line.generation} is older than the current version {self.generation}")
        if line.reset and not line.instances and self.rows:
            raise InvalidList("the full list is empty")
        if line.reset:
            self.rows = {}
        applied(self.rows, line.instances)
        self.generation = line.generation
        return line

    async def watch(self) -> AsyncIterator[Line]:
        """Yield updates as they arrive; goes on with the next service whenever a watch fails."""
        backoff_s = MIN_BACKOFF_S
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=2.0)
        async with aiohttp.ClientSession(timeout=timeout, read_bufsize=MAX_LINE_BYTES) as session:
            while True:
                host, port = self._addresses[0]
                try:
                    async for line in self._watch_once(session, f"http://{host}:{port}{PATH}"):
                        backoff_s = MIN_BACKOFF_S
                        yield line
                    why = "the response has ended"
                except (aiohttp.ClientError, OSError, TimeoutError, ValueError, InvalidList) as error:
                    why = f"{type(error).__name__}: {error}"
                log.info("list_elsewhere", service=f"{host}:{port}", why=why)
                self._addresses.append(self._addresses.pop(0))
                await asyncio.sleep(backoff_s * random.uniform(0.5, 1.5))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def _watch_once(self, session: aiohttp.ClientSession, url: str) -> AsyncIterator[Line]:
        async with asyncio.timeout(FIRST_LINE_TIMEOUT_S):
            response = await session.get(url, params={"watch": "1", "from": str(self.generation)})
        try:
            if response.status != 200:
                raise InvalidList(f"HTTP status {response.status}")
            line_timeout_s = FIRST_LINE_TIMEOUT_S
            while True:
                async with asyncio.timeout(line_timeout_s):
                    text = await response.content.readline()
                line_timeout_s = WATCH_SILENCE_TIMEOUT_S
                if not text.endswith(b"\n"):
                    raise InvalidList("the response was truncated within a line")
                if text.strip():
                    yield self.apply_line(text)
        finally:
            response.close()
