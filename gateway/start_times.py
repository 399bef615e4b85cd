"""Start times of hosts, which are reported in Unix time, converted to the gateway's monotonic clock.

The wall clock may step, here or on the hosts, before a start, between it and the list, or afterwards.  So no single
offset between the two clocks is trusted: the newest offsets that differ by a step are kept, and a start time is the
latest that any of them allows, as a host that is taken for colder than it is only gets less load for a while.  A start
time that was converted once keeps its result while its host is listed.
"""

from __future__ import annotations

from collections.abc import Callable, Container
from time import time_ns

from bridgesaddle.api import MS, HostId

from .timers import now_ns

CLOCK_STEP_NS = 50 * MS
"""A change of the wall clock's offset by more than this is a step; slewing is much slower."""
MAX_OFFSETS = 16
"""Number of offsets that are kept, the newest ones."""
MAX_KNOWN_HOSTS = 20_000
"""Number of hosts above which the start times of unlisted hosts are dropped."""


def clock_offset() -> int:
    """Returns the monotonic time minus the Unix time, ns."""
    return now_ns() - time_ns()


class StartTimes:
    """Converts reported start times to monotonic times."""

    def __init__(self, offset: Callable[[], int] = clock_offset) -> None:
        self._offset = offset
        self._offsets = [offset()]
        self._known: dict[HostId, tuple[int, int]] = {}   # reported (Unix time, ms) and converted (monotonic, ns)

    def update_offsets(self) -> None:
        """Detects a step of the wall clock; called periodically and with each list."""
        self._add_offset(self._offset())

    def _add_offset(self, offset: int) -> None:
        if all(abs(offset - known) > CLOCK_STEP_NS for known in self._offsets):
            self._offsets.append(offset)
            del self._offsets[:-MAX_OFFSETS]

    def observe_newest(self, reported_ms: int, now: int) -> None:
        """Takes in the newest start time of a list.  If it is in the future by every offset, the hosts' clock is ahead.
        """
        if reported_ms and all(reported_ms * MS + offset > now + CLOCK_STEP_NS for offset in self._offsets):
            self._add_offset(now - reported_ms * MS)

    def convert(self, host: HostId, reported_ms: int, now: int, not_before: int) -> int:
        """Returns the monotonic start time of a host, ns; 0 for long ago.

        `not_before`: when a list without this start was received; 0 if there was none.
        """
        if not reported_ms:
            return 0
        known = self._known.get(host)
        if known is not None and known[0] == reported_ms:
            return known[1]
        possible = [reported_ms * MS + offset for offset in self._offsets]
        start = max((time for time in possible if time <= now + CLOCK_STEP_NS), default=now)
        start = max(1, min(max(start, not_before), now))
        self._known[host] = (reported_ms, start)
        return start

    def forget_unlisted(self, listed: Container[HostId]) -> None:
        """Bounds the memory: drops hosts that are no longer listed once there are too many."""
        if len(self._known) > MAX_KNOWN_HOSTS:
            self._known = {host: start for host, start in self._known.items() if host in listed}
