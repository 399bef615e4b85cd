"""The granter's side of a lease.  No I/O.

A granter measures a lease from the time at which it *applied* the grant or its renewal, a holder from before it *sent*
the request.  Clock rates may differ by 1 in 100.  A holder therefore stops before the granter expires the grant.
"""

from __future__ import annotations

from .state import Expire, State

GRANT_TIMEOUT_FACTOR = 1.03
"""A grant expires after its lease times this.  It covers a holder's clock that is 1 in 100 slow and a granter's
that is as much fast."""


class Granter:
    """Tracks when each grant was last applied on this member.  A restarted member starts with full leases."""

    def __init__(self) -> None:
        self._seen: dict[str, tuple[int, int, int]] = {}   # by duty: token, renewals, time applied

    def applied(self, now: int, state: State, duty: str) -> None:
        """Handles an applied command on this duty."""
        grant = state.grants.get(duty)
        if grant is None:
            self._seen.pop(duty, None)
        elif self._seen.get(duty, (0, 0, 0))[:2] != (grant.token, grant.renewals):
            self._seen[duty] = (grant.token, grant.renewals, now)

    def restart_timers(self, now: int, state: State) -> None:
        """Measures all leases from now on: the state comes from a snapshot, without the times of renewals."""
        self._seen = {duty: (grant.token, grant.renewals, now) for duty, grant in state.grants.items()}

    def expired(self, now: int, state: State) -> list[Expire]:
        """Commands that expire the grants whose lease has passed by this member's clock."""
        found = []
        for duty, (token, renewals, since) in self._seen.items():
            grant = state.grants.get(duty)
            if grant is not None and now - since > grant.ttl_ms * 1e6 * GRANT_TIMEOUT_FACTOR:
                found.append(Expire(duty, token, renewals))
        return found
