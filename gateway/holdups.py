"""How long the event loop has stood still: the process was stopped, its core was taken away, one step took long.

What a hold-up leaves behind is old: bytes that clients and discovery sent meanwhile, ends of connections, timers.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from bridgesaddle.api import MS

from .events import event
from .timers import LATE, Timers, now_ns

log = logging.getLogger("gateway.holdups")

TICK = 100 * MS
"""So often the loop shows that it turns: a shorter hold-up is within the slack of every rule (0.15 s)."""
SETTLE_TURNS = 4
"""Turns of the loop in which what came during a hold-up is read: of open connections in the first, of connections
that were still to be accepted in those after it."""
QUIET = 30 * MS
"""Where nothing has happened for so long it can't be told whether the loop stood still meanwhile."""
SUSPECT = 20 * MS
"""For so long after it whatever is read may have waited."""


class HoldUps:
    """Notices hold-ups, by a tick that comes late and by the time of the last event."""

    def __init__(self, loop: asyncio.AbstractEventLoop, timers: Timers) -> None:
        self._loop = loop
        self._timers = timers
        now = now_ns()
        self._ticked = self._seen = now
        self._due = now + TICK
        self._since = 0          # start of the hold-up whose backlog is being read; 0: none
        self._turns = 0
        self._suspect_until = 0
        self.total_ns = 0        # of all hold-ups
        self.count = 0
        self.longest_ns = 0
        self.on_held: list[Callable[[int], None]] = []   # each is told of a hold-up and its length

    def start(self) -> None:
        """Begin to tick."""
        self._ticked = self._seen = now_ns()
        self._due = self._ticked + TICK
        self._timers.at(self._due, self._tick, None)

    def note(self, now: int) -> None:
        """Something happens now: called before each event is handled."""
        gap = now - self._seen
        if gap > QUIET:
            self._suspect_until = now + SUSPECT
            if now > self._due + LATE:
                self._held(now, gap)
        self._seen = now

    def waited(self, now: int) -> int:
        """How long bytes that are read now may have waited unread, ns."""
        if self._since:
            return now - self._since
        return now - self._ticked if now > self._due + LATE else 0

    def suspect(self, now: int) -> bool:
        """Whether what is read now may have waited, if only for a part of a tick."""
        return now < self._suspect_until or bool(self._since)

    def _held(self, now: int, gap: int) -> None:
        self.total_ns += gap
        self.count += 1
        self.longest_ns = max(self.longest_ns, gap)
        event(log, "held_up", for_ns=gap)
        if not self._since:
            self._since = self._ticked
            self._turns = SETTLE_TURNS
            self._loop.call_soon(self._turn)
        self._due = now + TICK   # counted once
        for tell in self.on_held:
            tell(gap)

    def _turn(self) -> None:
        self._turns -= 1
        if self._turns:
            self._loop.call_soon(self._turn)
        else:
            self._since = 0

    def _tick(self, _: None) -> None:
        now = now_ns()
        self.note(now)
        self._ticked = now
        self._due = now + TICK
        self._timers.at(self._due, self._tick, None)
