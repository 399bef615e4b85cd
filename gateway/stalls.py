"""Detects event-loop stalls: the process was stopped, lost its CPU core, or one callback took long.

After a stall the loop handles events that are old: bytes that clients and discovery sent in the meantime, closed
connections and expired timers.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from bridgesaddle.api import MS

from .events import event
from .timers import LATE_TIMER_NS, NO_DEADLINE_NS, Timers, now_ns

log = logging.getLogger("gateway.holdups")   # the name is part of the interface to operators, as metrics' names are

TICK_INTERVAL_NS = 80 * MS
"""Interval of the periodic tick: a shorter stall is within the tolerance of every time limit (0.1 s at least)."""
TICK_TOLERANCE_NS = 5 * MS
"""A tick that is at most this late counts as on time."""
BACKLOG_ITERATIONS = 4
"""Iterations of the loop in which it reads the data that arrived on open connections during a stall."""
BACKLOG_DELAY_NS = 30 * MS
"""Minimum time before those iterations are counted: an iteration may end without having read anything."""
ACCEPT_BACKLOG_NS = 100 * MS
"""Time after those iterations in which the loop may still accept connections that arrived during the stall: it accepts
at most `listener.ACCEPTS_PER_TURN` per iteration."""
MIN_POSSIBLE_STALL_NS = 30 * MS
"""Minimum time without any event for which a late tick indicates a possible stall."""
MIN_STALL_NS = 100 * MS
"""Minimum time without any event for which a late tick is reported as a stall."""
READ_DELAY_TOLERANCE_NS = 80 * MS
"""Part of a read delay that is not deducted from a request's time left: the delay is counted from
the last tick, which may precede the arrival by a tick, and the timeout sent to a host may be up to 0.15 s too long."""
POSSIBLE_DELAY_NS = 20 * MS
"""Data read within this time after a late tick may have been delayed, even if only by a part of a tick."""


class StallDetector:
    """Detects stalls from late ticks and from the time of the last event."""

    def __init__(self, loop: asyncio.AbstractEventLoop, timers: Timers) -> None:
        self._loop = loop
        self._timers = timers
        self._last_tick_ns = self._last_event_ns = now_ns()
        self._next_tick_ns = NO_DEADLINE_NS   # no tick is scheduled yet
        self._stall_start_ns = 0          # start of the stall whose backlog is being read; 0: none
        self._iterations_left = 0
        self._accept_stall_start_ns = 0   # start of the stall, while its connections are accepted
        self._accept_until_ns = 0
        self._possible_delay_until_ns = 0
        self.total_ns = 0        # total length of all stalls
        self.count = 0
        self.longest_ns = 0
        self.on_stall: list[Callable[[int], None]] = []   # called with the length of each stall, in ns

    def start(self) -> None:
        self._last_tick_ns = self._last_event_ns = now_ns()
        self._next_tick_ns = self._last_tick_ns + TICK_INTERVAL_NS
        self._timers.at(self._next_tick_ns, self._tick, None)

    def observe(self, now: int) -> None:
        """Record that the loop is running and detect a stall; called before each event is handled."""
        gap = now - self._last_event_ns
        if gap > MIN_POSSIBLE_STALL_NS and now > self._next_tick_ns + TICK_TOLERANCE_NS:
            self._possible_delay_until_ns = now + POSSIBLE_DELAY_NS
            if gap > MIN_STALL_NS and now > self._next_tick_ns + LATE_TIMER_NS:
                self._record_stall(now, gap)
        self._last_event_ns = now

    def read_delay_ns(self, now: int) -> int:
        """Return the time that bytes read now may have been waiting, less READ_DELAY_TOLERANCE_NS, in ns.

        A time that is dated back by it may thus be up to READ_DELAY_TOLERANCE_NS later than the start of the stall.
        """
        self.observe(now)
        since = self._stall_start_ns or (self._last_tick_ns if now > self._next_tick_ns + LATE_TIMER_NS else now)
        return max(0, now - since - READ_DELAY_TOLERANCE_NS)

    def accept_delayed_since(self, now: int) -> int:
        """Return since when a connection that is accepted now may have been waiting; 0 if it has not."""
        self.observe(now)
        if self._stall_start_ns:
            return self._stall_start_ns
        return self._accept_stall_start_ns if now < self._accept_until_ns else 0

    def may_be_delayed(self, now: int) -> bool:
        """Return whether data read now may have been delayed, even if only by a part of a tick."""
        self.observe(now)
        return now < self._possible_delay_until_ns or bool(self._stall_start_ns)

    def _record_stall(self, now: int, gap: int) -> None:
        self.total_ns += gap
        self.count += 1
        self.longest_ns = max(self.longest_ns, gap)
        event(log, "held_up", for_ns=gap)
        if not self._stall_start_ns:
            self._stall_start_ns = self._last_tick_ns
            self._iterations_left = BACKLOG_ITERATIONS
            self._timers.at(now + BACKLOG_DELAY_NS, self._count_iterations, None)
        self._next_tick_ns = now + TICK_INTERVAL_NS   # so that this stall is counted once
        for callback in self.on_stall:
            callback(gap)

    def _count_iterations(self, _: None) -> None:
        self._loop.call_soon(self._end_iteration)

    def _end_iteration(self) -> None:
        self._iterations_left -= 1
        if self._iterations_left:
            self._loop.call_soon(self._end_iteration)
        else:
            self._accept_stall_start_ns, self._stall_start_ns = self._stall_start_ns, 0
            self._accept_until_ns = now_ns() + ACCEPT_BACKLOG_NS

    def _tick(self, _: None) -> None:
        now = now_ns()
        self.observe(now)
        self._last_tick_ns = now
        self._next_tick_ns = now + TICK_INTERVAL_NS
        self._timers.at(self._next_tick_ns, self._tick, None)
