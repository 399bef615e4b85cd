"""Fair turns: how much of what one client has sent is handled before others get their turn.

A read of a few kilobytes can carry thousands of chunks or dozens of requests.  A connection that has done the work of
one turn, or may have more to read, is not read again until its next turn; turns are granted in order, a few in each
iteration of the event loop, so that all other connections and timers are served in between.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from .memory import READ_BUFFER_BYTES

TURNS_PER_ITERATION = 4
"""Connections that get their next turn in one iteration of the event loop."""
MAX_WORK_PER_TURN = 128
"""Work of one turn after which a connection waits for its next one; a parser callback counts 1."""
REQUEST_WORK = 32
"""Work of a complete request, in callbacks of the parser."""
MIN_TURN_BYTES = 1024
FIRST_TURN_BYTES = 4 * 1024
"""Bytes of the first turn; later ones carry more if the bytes make little work, and less if they make much."""


class Turnable(Protocol):
    """A connection that waits for its next turn."""

    def on_turn(self) -> None:
        """Its turn has come."""


class TurnScheduler:
    """Grants turns in the order in which connections began to wait."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: dict[Turnable, None] = {}   # in this order
        self._is_scheduled = False

    def wait(self, connection: Turnable) -> None:
        """Have a connection wait for its next turn; it must not wait already."""
        self._waiting[connection] = None
        self._schedule()

    def discard(self, connection: Turnable) -> None:
        """A connection is closed: it waits no longer, if it did."""
        self._waiting.pop(connection, None)

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._grant)

    def _grant(self) -> None:
        self._is_scheduled = False
        for _ in range(min(TURNS_PER_ITERATION, len(self._waiting))):
            connection = next(iter(self._waiting))
            del self._waiting[connection]
            connection.on_turn()
        self._schedule()


class TurnSize:
    """How many bytes a connection may read in one turn, by the work that earlier ones made."""

    __slots__ = ("bytes", "work")

    def __init__(self) -> None:
        self.bytes = FIRST_TURN_BYTES
        self.work = 0   # of the current turn

    def end(self, is_full: bool) -> bool:
        """End a turn, which was full if more may be left to read; returns whether to wait for the next one."""
        work, self.work = self.work, 0
        if work > MAX_WORK_PER_TURN:
            self.bytes = max(MIN_TURN_BYTES, self.bytes // 2)
            return True
        if is_full and work < MAX_WORK_PER_TURN // 4:
            self.bytes = min(READ_BUFFER_BYTES, 2 * self.bytes)
        return is_full
