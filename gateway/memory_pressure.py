"""Closed-loop control of the process's memory: the kernel's count governs, the accounts only share it out.

Resident memory is read after every few hundred kilobytes that are taken in.  The room that the limit leaves above the
base has three marks.  Above the first, free memory goes back to the kernel; at the second, nothing more is admitted;
above the third, what holds most is closed.  Below, the budget is what the second mark leaves beside resident memory
that is in no account, so that estimates that are too low correct themselves.
"""

from __future__ import annotations

import gc
import logging
import os
from collections.abc import Callable
from time import perf_counter_ns

from bridgesaddle.api import MS, SECOND

from .events import event
from .memory import MIN_BUDGET_BYTES, MemoryBudget, MemoryKind, return_free_memory
from .timers import now_ns

log = logging.getLogger("gateway.memory")

RESERVE_SHARE = 0.1
"""Share of the room that is left for what comes between two checks, at least `MIN_RESERVE_BYTES`: above it connections
are closed."""
MIN_RESERVE_BYTES = 1280 * 1024
ADMIT_SHARE = 0.82
"""Share of the rest of the room up to which messages are admitted."""
RECLAIM_SHARE = 0.45
"""Share of the rest of the room above which free memory is returned to the kernel."""
MIN_BUDGET_SHARE = 0.25
"""Share of the room that messages and requests may hold whatever is resident: the allocator's free memory is used
again."""
UNFILLED_SHARE = 0.5
"""Share of what is held and not resident that may be held by others: the rest may be reserved for bytes to come."""
CHECK_SHARE = 1 / 32
"""Share of the room that is taken in between two checks, at most `MAX_CHECK_BYTES`."""
MAX_CHECK_BYTES = 256 * 1024
MIN_ROOM_BYTES = 2 << 20
"""The room if the limit leaves less: two processes of a hand-over may have a base of more than half of it each."""
RECLAIM_INTERVAL_NS = 250 * MS
"""Time between two returns of free memory, unless resident memory has grown by `CHECK_SHARE` since the last one."""
COLLECT_INTERVAL_NS = 2 * SECOND
"""Time between two garbage collections, which only run above the second mark."""

_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def read_resident_bytes() -> int:
    """Return the resident memory of this process (proc(5), statm); 0 if it can't be read."""
    try:
        with open("/proc/self/statm", "rb", buffering=0) as file:
            return int(file.read(200).split()[1]) * _PAGE_BYTES
    except (OSError, IndexError, ValueError):
        return 0


class MemoryPressure:
    """Keeps resident memory under the limit, and sets the budget by it."""

    def __init__(self, budget: MemoryBudget, read_resident: Callable[[], int] = read_resident_bytes) -> None:
        self._budget = budget
        self.read_resident = read_resident   # 0: unknown; then only the accounts bound what is held
        self.release: Callable[[int], int] = lambda size: 0   # closes what holds most; returns the bytes given up
        self.reclaims = 0
        self.reclaim_ns = 0   # total time of returning free memory
        self.collections = 0
        self.released_bytes = 0
        self._taken_bytes = 0   # since the last check
        self._last_reclaim_at = self._last_collect_at = 0
        self._after_reclaim_bytes = 0   # resident after the last return of free memory
        self._base_bytes = 0
        self._room_bytes = 0   # 0 until the limit is set
        self._check_bytes = MAX_CHECK_BYTES
        self._is_releasing = False
        self.close_mark = self.admit_mark = self._reclaim_mark = 0   # used bytes, above the base

    def set_limit(self, limit_bytes: int, base_bytes: int) -> None:
        """Set the limit of this process and its resident memory before it serves."""
        self._base_bytes = base_bytes
        self._room_bytes = max(MIN_ROOM_BYTES, limit_bytes - base_bytes)
        self._check_bytes = min(MAX_CHECK_BYTES, int(self._room_bytes * CHECK_SHARE))
        self.close_mark = self._room_bytes - max(MIN_RESERVE_BYTES, int(self._room_bytes * RESERVE_SHARE))
        self.admit_mark = int(self.close_mark * ADMIT_SHARE)
        self._reclaim_mark = int(self.close_mark * RECLAIM_SHARE)

    def note_taken(self, size: int) -> None:
        """So many bytes have been taken in: check the resident memory after enough of them."""
        self._taken_bytes += size
        if self._taken_bytes >= self._check_bytes:
            self.check()

    def check(self) -> None:
        """Compare the resident memory with the marks."""
        self._taken_bytes = 0
        used_bytes = self._read_used()
        if used_bytes is None or not self._room_bytes or self._is_releasing:
            return
        if used_bytes > min(self._reclaim_mark, self._budget.held_bytes + self._room_bytes - self.close_mark):
            used_bytes = self._reclaim(used_bytes)
        if used_bytes > self.close_mark:
            self._is_releasing = True   # what is closed may have other requests sent, which take memory in
            used_bytes = self._release(used_bytes)
            self._is_releasing = False
        excess_bytes = used_bytes - self._budget.held_bytes   # below 0: estimates too high, or reserved and not filled
        if excess_bytes < 0:
            excess_bytes = int(excess_bytes * UNFILLED_SHARE)
        self._budget.max_bytes = max(self._least_budget(), self.admit_mark - excess_bytes)

    def metrics(self) -> dict[str, int]:
        """What has been done to stay under the limit, for the operators."""
        return {"memory_reclaims": self.reclaims, "memory_reclaim_ms": self.reclaim_ns // MS,
                "memory_collections": self.collections, "memory_released_kb": self.released_bytes >> 10}

    def _read_used(self) -> int | None:
        resident_bytes = self.read_resident()
        return resident_bytes - self._base_bytes if resident_bytes else None

    def _reclaim(self, used_bytes: int) -> int:
        """Return free memory to the kernel, if it is time for that; returns what is used then."""
        now = now_ns()
        if now - self._last_reclaim_at < RECLAIM_INTERVAL_NS \
                and used_bytes < self._after_reclaim_bytes + int(self._room_bytes * CHECK_SHARE):
            return used_bytes
        used_bytes = self._return_free(used_bytes)
        if used_bytes > self.admit_mark and now - self._last_collect_at > COLLECT_INTERVAL_NS:
            self._last_collect_at = now
            self.collections += 1
            gc.collect()
            used_bytes = self._return_free(used_bytes)
        return used_bytes

    def _return_free(self, used_bytes: int) -> int:
        started_ns = perf_counter_ns()
        return_free_memory()
        self._last_reclaim_at = now_ns()
        self.reclaims += 1
        self.reclaim_ns += perf_counter_ns() - started_ns
        self._after_reclaim_bytes = used_bytes if (after := self._read_used()) is None else after
        return self._after_reclaim_bytes

    def _release(self, used_bytes: int) -> int:
        """Have connections closed; returns what is used then.

        Closing more than is held beyond the least budget would not help: the rest is free memory of the allocator.
        """
        excess_bytes = min(used_bytes - self.admit_mark, self._budget.held_bytes - self._least_budget())
        released_bytes = self.release(excess_bytes) if excess_bytes > 0 else 0
        if not released_bytes:
            return used_bytes
        self.released_bytes += released_bytes
        event(log, "memory_released", used_kb=used_bytes >> 10, room_kb=self._room_bytes >> 10,
              released_kb=released_bytes >> 10, held_kb=self._budget.held_bytes >> 10)
        return self._return_free(used_bytes)

    def _least_budget(self) -> int:
        held_by_kind = self._budget.held_by_kind
        connections_bytes = held_by_kind[MemoryKind.CONNECTIONS] + held_by_kind[MemoryKind.HOSTS]
        return connections_bytes + max(MIN_BUDGET_BYTES, int(self._room_bytes * MIN_BUDGET_SHARE))
