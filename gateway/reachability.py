"""Detects from the results of calls whether discovery is unreachable.

Only failures that a running service cannot cause show that it is down: nothing listens, no connection is established,
or the connection is reset before any response.  A call that waits, is rejected or is truncated shows a running service.
"""

from __future__ import annotations

FAILURES_UNTIL_DOWN = 2
"""Failures in a row after which discovery counts as down: a single one may be a transient fault.

A failure is a connection attempt that failed or is overdue, or a call that was reset at once; one call may have
several.
"""


Address = tuple[str, int]


class Reachability:
    """Whether discovery is down, judged by the number of failures to reach it in a row."""

    def __init__(self, services: int = 1) -> None:
        """`services`: number of discovery services, all of which have to be unreachable."""
        self.services = services
        self.down = False
        self._failures = 0
        self._failed_addresses: set[Address] = set()

    @property
    def may_be_down(self) -> bool:
        """Whether there have been failures to reach discovery, but too few to show that it is down."""
        return self._failures > 0 and not self._is_confirmed

    @property
    def _is_confirmed(self) -> bool:
        return self._failures >= FAILURES_UNTIL_DOWN and len(self._failed_addresses) >= self.services

    def record_failure(self, address: Address) -> bool:
        """Records a failure to reach the service at this address; returns whether discovery is down."""
        self._failures += 1
        self._failed_addresses.add(address)
        self.down = self._is_confirmed
        return self.down

    def record_success(self) -> None:
        """Records a connection that was not reset immediately, or a switch to other services."""
        self.down = False
        self._failures = 0
        self._failed_addresses.clear()
