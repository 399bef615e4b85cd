"""Whether discovery can't be reached at all, as calls have shown.

Only what a service that is there can't do shows that it is gone: nothing listens, no connection comes up, or it is
reset before anything was answered.  A call that waits, is turned away or is cut short shows a service that is there.
"""

from __future__ import annotations

CONFIRMED = 2
"""So many calls in a row that could not reach discovery show that it is down: one may have met a passing fault."""


Address = tuple[str, int]


class Reachability:
    """Whether discovery is down, by the calls in a row that could not reach it."""

    def __init__(self, services: int = 1) -> None:
        """`services`: how many there are, all of which have to be missed."""
        self.services = services
        self.down = False
        self._missed = 0
        self._addresses: set[Address] = set()   # of the services that were missed

    @property
    def doubtful(self) -> bool:
        """Whether calls have missed it, and more of them would show that it is down."""
        return self._missed > 0 and not self._is_confirmed

    @property
    def _is_confirmed(self) -> bool:
        return self._missed >= CONFIRMED and len(self._addresses) >= self.services

    def record_failure(self, address: Address) -> bool:
        """A call could not reach the service at this address; whether discovery is down by that."""
        self._missed += 1
        self._addresses.add(address)
        self.down = self._is_confirmed
        return self.down

    def record_success(self) -> None:
        """A call has come up and was not reset at once, or other services are asked from now on."""
        self.down = False
        self._missed = 0
        self._addresses.clear()
