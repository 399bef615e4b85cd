"""The monotonic clock, and timers kept in one heap.

The event loop runs expired timers before it polls its sockets.  After an event-loop stall that is the wrong order:
responses, lists and closed connections that have already arrived would be treated as missing.  A timer that fires late
therefore lets the loop poll its sockets once before its callback runs.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from time import monotonic_ns as now_ns
from typing import Any

__all__ = ["LATE_TIMER_NS", "NO_DEADLINE_NS", "Timer", "Timers", "now_ns"]

NO_DEADLINE_NS = 1 << 62
"""The time value of "no deadline"."""
LATE_TIMER_NS = 25_000_000
"""A timer that fires later than this indicates an event-loop stall."""


POLL_DELAY_S = 0.001
"""Shortest timer after which the loop has polled its sockets: a timer of 0 would expire before that."""


DISCARDED_FIELDS = 2
"""Fields that are left of a timer that has expired or is discarded."""
MIN_DISCARDED = 256
"""Discarded timers are removed once there are more than this, and more than half of all."""

Timer = list[Any]
"""When it is due, its number, its callback and the callback's argument; without the last two once it is discarded."""


class Timers:
    """Runs callbacks at monotonic times, from one heap behind one timer of the loop; none runs early."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._heap: list[Timer] = []
        self._count = 0
        self._discarded = 0
        self._loop_timer: asyncio.TimerHandle | None = None
        self._loop_timer_due_ns = 0
        self._polls_first = False   # expired callbacks run after the loop has polled its sockets

    def after(self, delay_ns: int, call: Callable[[Any], None], argument: Any) -> Timer:
        """Call `call(argument)` after the delay."""
        return self.at(now_ns() + delay_ns, call, argument)

    def at(self, due_ns: int, call: Callable[[Any], None], argument: Any) -> Timer:
        """Call `call(argument)` at a time."""
        self._count += 1
        timer = [due_ns, self._count, call, argument]
        heappush(self._heap, timer)
        if self._loop_timer is None or due_ns < self._loop_timer_due_ns:
            self._schedule()
        return timer

    def discard(self, timer: Timer) -> None:
        """Discard a timer, which releases its argument; one that has expired or is discarded is left as it is."""
        if len(timer) == DISCARDED_FIELDS:
            return
        del timer[DISCARDED_FIELDS:]
        self._discarded += 1
        if self._discarded > max(MIN_DISCARDED, len(self._heap) // 2):
            self._heap = [timer for timer in self._heap if len(timer) > DISCARDED_FIELDS]
            heapify(self._heap)
            self._discarded = 0

    def _schedule(self) -> None:
        if self._polls_first and self._loop_timer is not None:
            return
        if self._loop_timer is not None:
            self._loop_timer.cancel()
        self._loop_timer_due_ns = self._heap[0][0]
        wait_ns = max(0, self._loop_timer_due_ns - now_ns())
        wait_ms = -(-wait_ns // 1_000_000)   # the loop counts in milliseconds: rounded up, or it would fire early
        self._loop_timer = self._loop.call_later(wait_ms / 1000, self._fire)

    def _fire(self) -> None:
        self._loop_timer = None
        now = now_ns()
        if now - self._loop_timer_due_ns > LATE_TIMER_NS and not self._polls_first:
            self._polls_first = True
            self._loop_timer = self._loop.call_later(POLL_DELAY_S, self._fire)
            return
        self._polls_first = False
        try:
            while self._heap and self._heap[0][0] <= now:
                self._run(heappop(self._heap))
        finally:
            if self._heap and self._loop_timer is None:
                self._schedule()

    def _run(self, timer: Timer) -> None:
        if len(timer) == DISCARDED_FIELDS:
            self._discarded = max(0, self._discarded - 1)
            return
        call, argument = timer[DISCARDED_FIELDS:]
        del timer[DISCARDED_FIELDS:]
        call(argument)
