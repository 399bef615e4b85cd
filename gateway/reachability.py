"""Whether discovery can't be reached at all, as calls have shown.

Only what a service that is there can't do shows that it is gone: nothing listens, no connection comes up, or it is
reset before anything was answered.  A call that waits, is turned away or is cut short shows a service that is there.
"""

from __future__ import annotations

CONFIRMED = 2
"""So many calls in a row that could not reach discovery show that it is down: one may have met a passing fault."""


class Reachability:
    """Whether discovery is down, by the calls in a row that could not reach it."""

    def __init__(self, services: int = 1) -> None:
        """`services`: how many there are, all of which have to be missed."""
        self.services = services
        self.down = False
        self._missed = 0

    @property
    def doubtful(self) -> bool:
        """Whether calls have missed it, and more of them would show that it is down."""
        return 0 < self._missed < self._needed

    @property
    def _needed(self) -> int:
        return max(CONFIRMED, self.services)

    def missed(self) -> bool:
        """A call could not reach it; whether it is down by that."""
        self._missed += 1
        self.down = self._missed >= self._needed
        return self.down

    def reached(self) -> None:
        """A call has come up and was not reset at once."""
        self.down = False
        self._missed = 0
