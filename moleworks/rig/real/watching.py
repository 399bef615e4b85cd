"""Child process with watchers and readers of the list; records what each received and the resulting list."""

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


class _RecordingClient(ListClient):
    """The client under test; records the updates that it accepts and refuses."""

    def __init__(self, program: WatchersProgram, number: int) -> None:
        super().__init__(program.addresses)
        self._program, self._number = program, number

    def apply_line(self, text: bytes) -> Line:
        """Apply an update and record the result."""
        program = self._program
        try:
            line = program.accept_any(self, text) if program.accepts_all else super().apply_line(text)
        except InvalidList as error:
            program.writer.add(Refusal(program.clock.now(), self._number, str(error)))
            raise
        rows = [[row.instance_id, row.lifecycle, row.host_port] for row in line.instances] if program.records else []
        program.writer.add(WatcherUpdate(program.clock.now(), self._number, line.generation, line.reset, rows,
                                      len(self.rows)))
        return line


class WatchersProgram:
    """The process of the watchers and readers."""

    def __init__(self, config: dict[str, Any], clock: Clock, writer: history.Writer) -> None:
        logs.setup("console", "error")
        self.clock, self.writer = clock, writer
        self.addresses: list[tuple[str, int]] = list(config["addresses"])
        self.accepts_all: bool = config["without"] == "a list without hosts refused"
        self.records: bool = config["records"]
        self._count: int = config["watchers"]
        self._first: int = config["first"]
        self._readers: int = config["readers"]
        self._rng = random.Random(config["seed"])
        self._tasks: list[asyncio.Task[None]] = []

    @staticmethod
    def accept_any(lists: ListClient, text: bytes) -> Line:
        """Disabled safeguard: accept every update."""
        from moleworks.registry.rows import LINE, applied
        line = LINE.decode(text)
        if line.reset:
            lists.rows = {}
        applied(lists.rows, line.instances)
        lists.generation = line.generation
        return line

    async def start(self) -> dict[str, Any]:
        """Start the watchers and readers; this process does not listen."""
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._watch(self._first + number)) for number in range(self._count)]
        self._tasks += [loop.create_task(self._read(number)) for number in range(self._readers)]
        return {}

    def command(self, name: str, message: dict[str, Any]) -> None:
        """There are no commands beyond the common ones."""

    def finish(self) -> dict[str, Any]:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()
        return {}

    async def _watch(self, number: int) -> None:
        while not self.clock.epoch:
            await asyncio.sleep(0.01)
        async for _ in _RecordingClient(self, number).watch():
            pass

    async def _read(self, number: int) -> None:
        """Read full lists from random services and record their reported age."""
        timeout = aiohttp.ClientTimeout(total=3.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.sleep(self._rng.uniform(0.02, 0.2))
                if not self.clock.epoch:
                    continue
                host, port = self._rng.choice(self.addresses)
                sent_at = self.clock.now()
                try:
                    async with session.get(f"http://{host}:{port}/registry/instances") as response:
                        if response.status == 200:
                            result = await response.json()
                            self.writer.add(Read(sent_at, self.clock.now(), number, result["generation"],
                                                 int(response.headers["X-Registry-Age-Ms"]),
                                                 [[row["instanceId"], row["lifecycle"], row["hostPort"]]
                                                  for row in result["instances"]]))
                        else:
                            self.writer.add(Read(sent_at, self.clock.now(), number, 0, -response.status, []))
                except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
                    self.writer.add(Read(sent_at, -1, number, 0, 0, []))


if __name__ == "__main__":
    main(WatchersProgram)
