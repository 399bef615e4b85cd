"""Hosts' starts, told in Unix time, on the gateway's own monotonic clock."""

from __future__ import annotations

from collections.abc import Callable, Container
from time import time_ns

from bridgesaddle.api import MS, HostId

from .timers import now_ns


def clock_offset() -> int:
    """Monotonic less Unix time, ns."""
    return now_ns() - time_ns()


class StartTimes:
    """Turns told starts into monotonic times, by one offset taken at the start of the program."""

    def __init__(self, offset: Callable[[], int] = clock_offset) -> None:
        self._offset = offset()

    def look(self) -> None:
        """Nothing is noticed."""

    def newest(self, told_ms: int, now: int) -> None:
        """Nothing is learnt."""

    def of(self, host: HostId, told_ms: int, now: int, not_before: int) -> int:
        """When a host started, ns; 0 for long ago."""
        return max(1, told_ms * MS + self._offset) if told_ms else 0

    def forget(self, listed: Container[HostId]) -> None:
        """Nothing is kept."""
