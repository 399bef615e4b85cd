"""How long the event loop has stood still: the process was stopped, its core was taken away, one step took long.

What a hold-up leaves behind is old: bytes that clients and discovery sent meanwhile, ends of connections, timers.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from bridgesaddle.api import MS

from .events import event
from .timers import LATE_TIMER_NS, NO_DEADLINE_NS, Timers, now_ns

log = logging.getLogger("gateway.holdups")

TICK = 80 * MS
"""So often the loop shows that it turns: a shorter hold-up is within the slack of every rule (0.1 s at least)."""
OVERDUE = 5 * MS
"""A tick that is late by less is not."""
SETTLE_TURNS = 4
"""Turns of the loop in which what came during a hold-up on open connections is read,"""
SETTLE = 30 * MS
"""and the least time for them: a turn may end without having read anything."""
ACCEPT = 100 * MS
"""For so long after them connections may be accepted that came during it: the loop takes one in a turn."""
QUIET = 30 * MS
"""A loop that may have stood still has seen nothing for so long."""
HELD = 100 * MS
"""And one that is said to have been held up."""
READ_DELAY_TOLERANCE_NS = 80 * MS
"""So much of a wait is not taken off a request's time: a tick has passed in the mean since its bytes came, and what
a host is told may be 0.15 s too much."""
SUSPECT = 20 * MS
"""For so long after a tick that was late at all whatever is read may have waited, if only for a tick."""


class StallDetector:
    """Notices hold-ups, by a tick that comes late and by the time of the last event."""

    def __init__(self, loop: asyncio.AbstractEventLoop, timers: Timers) -> None:
        self._loop = loop
        self._timers = timers
        self._ticked = self._seen = now_ns()
        self._due = NO_DEADLINE_NS   # it does not tick yet
        self._since = 0          # start of the hold-up whose backlog is being read; 0: none
        self._turns = 0
        self._accept_since = 0   # the same for connections that are accepted
        self._accept_until = 0
        self._suspect_until = 0
        self.total_ns = 0        # of all hold-ups
        self.count = 0
        self.longest_ns = 0
        self.on_stall: list[Callable[[int], None]] = []   # each is told of a hold-up and its length

    def start(self) -> None:
        """Begin to tick."""
        self._ticked = self._seen = now_ns()
        self._due = self._ticked + TICK
        self._timers.at(self._due, self._tick, None)

    def observe(self, now: int) -> None:
        """Something happens now: called before each event is handled."""
        gap = now - self._seen
        if gap > QUIET and now > self._due + OVERDUE:
            self._suspect_until = now + SUSPECT
            if gap > HELD and now > self._due + LATE_TIMER_NS:
                self._held(now, gap)
        self._seen = now

    def read_delay_ns(self, now: int) -> int:
        """How long bytes that are read now may have waited unread, ns."""
        self.observe(now)
        since = self._since or (self._ticked if now > self._due + LATE_TIMER_NS else now)
        return max(0, now - since - READ_DELAY_TOLERANCE_NS)

    def accept_delayed_since(self, now: int) -> int:
        """From when on a connection that is accepted now may have waited; 0: it has not."""
        self.observe(now)
        if self._since:
            return self._since
        return self._accept_since if now < self._accept_until else 0

    def may_be_delayed(self, now: int) -> bool:
        """Whether what is read now may have waited, if only for a part of a tick."""
        self.observe(now)
        return now < self._suspect_until or bool(self._since)

    def _held(self, now: int, gap: int) -> None:
        self.total_ns += gap
        self.count += 1
        self.longest_ns = max(self.longest_ns, gap)
        event(log, "held_up", for_ns=gap)
        if not self._since:
            self._since = self._ticked
            self._turns = SETTLE_TURNS
            self._timers.at(now + SETTLE, self._settled, None)
        self._due = now + TICK   # counted once
        for tell in self.on_stall:
            tell(gap)

    def _settled(self, _: None) -> None:
        self._loop.call_soon(self._turn)

    def _turn(self) -> None:
        self._turns -= 1
        if self._turns:
            self._loop.call_soon(self._turn)
        else:
            self._accept_since, self._since = self._since, 0
            self._accept_until = now_ns() + ACCEPT

    def _tick(self, _: None) -> None:
        now = now_ns()
        self.observe(now)
        self._ticked = now
        self._due = now + TICK
        self._timers.at(self._due, self._tick, None)
