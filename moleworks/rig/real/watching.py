"""Watchers and readers of the list as a part of the rig: what each was told, and what it made of that."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import aiohttp

from moleworks import logs
from moleworks.registry.lists import InvalidList, ListClient
from moleworks.registry.rows import Line

from .. import history
from ..store_history import Read, Refusal, WatcherUpdate
from .child import Clock, main


class _Recorded(ListClient):
    """The client under test; the lines that it takes and those that it refuses are kept."""

    def __init__(self, part: Watching, number: int) -> None:
        super().__init__(part.addresses)
        self._part, self._number = part, number

    def apply_line(self, text: bytes) -> Line:
        """Recorded before and after."""
        part = self._part
        try:
            line = part.believe(self, text) if part.believes else super().apply_line(text)
        except InvalidList as error:
            part.writer.add(Refusal(part.clock.now(), self._number, str(error)))
            raise
        rows = [[row.instance_id, row.lifecycle, row.host_port] for row in line.instances] if part.records else []
        part.writer.add(WatcherUpdate(part.clock.now(), self._number, line.generation, line.reset, rows,
                                      len(self.rows)))
        return line


class Watching:
    """The process."""

    def __init__(self, told: dict[str, Any], clock: Clock, writer: history.Writer) -> None:
        logs.setup("console", "error")
        self.clock, self.writer = clock, writer
        self.addresses: list[tuple[str, int]] = list(told["addresses"])
        self.believes: bool = told["without"] == "a list without hosts refused"
        self.records: bool = told["records"]
        self._count: int = told["watchers"]
        self._first: int = told["first"]
        self._readers: int = told["readers"]
        self._rng = random.Random(told["seed"])
        self._tasks: list[asyncio.Task[None]] = []

    @staticmethod
    def believe(lists: ListClient, text: bytes) -> Line:
        """A safeguard left out: whatever comes is taken."""
        from moleworks.registry.rows import LINE, applied
        line = LINE.decode(text)
        if line.reset:
            lists.rows = {}
        applied(lists.rows, line.instances)
        lists.generation = line.generation
        return line

    async def start(self) -> dict[str, Any]:
        """Nothing listens here."""
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._watch(self._first + number)) for number in range(self._count)]
        self._tasks += [loop.create_task(self._read(number)) for number in range(self._readers)]
        return {}

    def command(self, name: str, told: dict[str, Any]) -> None:
        """There is none but the common ones."""

    def finish(self) -> dict[str, Any]:
        """The end."""
        for task in self._tasks:
            task.cancel()
        return {}

    async def _watch(self, number: int) -> None:
        while not self.clock.epoch:
            await asyncio.sleep(0.01)
        async for _ in _Recorded(self, number).watch():
            pass

    async def _read(self, number: int) -> None:
        """Whole lists from one service after the other, with what it says of their age."""
        timeout = aiohttp.ClientTimeout(total=3.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.sleep(self._rng.uniform(0.02, 0.2))
                if not self.clock.epoch:
                    continue
                host, port = self._rng.choice(self.addresses)
                sent = self.clock.now()
                try:
                    async with session.get(f"http://{host}:{port}/registry/instances") as answer:
                        if answer.status == 200:
                            found = await answer.json()
                            self.writer.add(Read(sent, self.clock.now(), number, found["generation"],
                                                 int(answer.headers["X-Registry-Age-Ms"]),
                                                 [[row["instanceId"], row["lifecycle"], row["hostPort"]]
                                                  for row in found["instances"]]))
                        else:
                            self.writer.add(Read(sent, self.clock.now(), number, 0, -answer.status, []))
                except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
                    self.writer.add(Read(sent, -1, number, 0, 0, []))


if __name__ == "__main__":
    main(Watching)
