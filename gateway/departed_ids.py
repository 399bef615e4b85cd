"""Ids of requests whose client has left while they may still run at a host.

A host goes on with a request that it has begun, also when the gateway gives it up.  The same id must not run again
meanwhile, so it is rejected for a while.
"""

from __future__ import annotations

from bridgesaddle.api import SECOND

from .memory import Account, MemoryBudget, MemoryKind
from .timers import now_ns

KEPT_NS = 15 * SECOND
"""How long an id is kept: hosts may work on a request for longer than its client waits."""
ID_BYTES = 160
"""Cost of an id beside its bytes."""
MAX_IDS = 4096
"""Most ids that are kept; beyond it the oldest is dropped."""


class DepartedIds:
    """The ids, oldest first, with the times at which their clients left."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._left_at: dict[bytes, int] = {}
        self._account = Account(budget, MemoryKind.DEPARTED)

    def add(self, request_id: bytes) -> None:
        """The client of a request that may have run has left."""
        self._remove(request_id)
        self._left_at[request_id] = now_ns()
        self._account.update(self._account.held_bytes + ID_BYTES + len(request_id))
        if len(self._left_at) > MAX_IDS:
            self._remove(next(iter(self._left_at)))

    def _remove(self, request_id: bytes) -> None:
        if self._left_at.pop(request_id, None) is not None:
            self._account.update(self._account.held_bytes - ID_BYTES - len(request_id))

    def __contains__(self, request_id: bytes) -> bool:
        left_at = self._left_at.get(request_id)
        return left_at is not None and now_ns() - left_at < KEPT_NS

    def sweep(self, now: int) -> None:
        """Drop the ids that need not be kept any more."""
        while self._left_at:
            oldest = next(iter(self._left_at))
            if now - self._left_at[oldest] < KEPT_NS:
                return
            self._remove(oldest)
