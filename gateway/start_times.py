"""Hosts' starts, told in Unix time, on the gateway's own monotonic clock.

The wall clock may step, here or at the hosts, before a start, between it and the list, or after.  So no offset between
the two clocks is taken for good: each that was seen is kept, and a start is the latest that any of them allows, as a
host that is taken for too cold only gets less for a while.  A start once told keeps its time.
"""

from __future__ import annotations

from collections.abc import Callable, Container
from time import time_ns

from bridgesaddle.api import MS, HostId

from .timers import now_ns

STEP = 50 * MS
"""The wall clock has stepped where its offset differs by more; slewing is slower by far."""
OFFSETS = 16
"""Offsets that are kept, the newest ones."""
MOST_KNOWN = 20_000
"""Hosts whose starts are kept; those no longer listed go first."""


def clock_offset() -> int:
    """Monotonic less Unix time, ns."""
    return now_ns() - time_ns()


class StartTimes:
    """Turns told starts into monotonic times."""

    def __init__(self, offset: Callable[[], int] = clock_offset) -> None:
        self._offset = offset
        self._offsets = [offset()]
        self._known: dict[HostId, tuple[int, int]] = {}   # as told, ms; monotonic, ns

    def update_offsets(self) -> None:
        """Notice a step of the wall clock: called now and then, and at each list."""
        self._learn(self._offset())

    def _learn(self, offset: int) -> None:
        if all(abs(offset - known) > STEP for known in self._offsets):
            self._offsets.append(offset)
            del self._offsets[:-OFFSETS]

    def newest(self, told_ms: int, now: int) -> None:
        """The newest start of a list: where it lies ahead by every offset, the hosts' clock is ahead of this one."""
        if told_ms and all(told_ms * MS + offset > now + STEP for offset in self._offsets):
            self._learn(now - told_ms * MS)

    def of(self, host: HostId, told_ms: int, now: int, not_before: int) -> int:
        """When a host started, ns; 0 for long ago.

        `not_before`: when a list was heard that lacked this start, 0 if there was none.
        """
        if not told_ms:
            return 0
        known = self._known.get(host)
        if known is not None and known[0] == told_ms:
            return known[1]
        possible = [told_ms * MS + offset for offset in self._offsets]
        at = max((time for time in possible if time <= now + STEP), default=now)
        at = max(1, min(max(at, not_before), now))
        self._known[host] = (told_ms, at)
        return at

    def forget(self, listed: Container[HostId]) -> None:
        """Bound what is kept: hosts that are no longer listed go."""
        if len(self._known) > MOST_KNOWN:
            self._known = {host: start for host, start in self._known.items() if host in listed}
