"""The granter's side of a lease.  No I/O.

A granter counts from when it *applied* a grant or its renewal, a holder from before it *sent* the request; clock rates
may differ by 1 in 100.  So a holder has stopped, by any clock, before the granter lets go.
"""

from __future__ import annotations

from .state import Expire, State

GRANT_TIMEOUT_FACTOR = 1.03
"""A granter waits so many times the lease: a clock that is 1 in 100 slow against one as much fast leaves room."""


class Granter:
    """What a member saw of each grant, and when; a new leader, or one that was restarted, counts anew."""

    def __init__(self) -> None:
        self._seen: dict[str, tuple[int, int, int]] = {}   # token, renewals, since

    def applied(self, now: int, state: State, duty: str) -> None:
        """A change of this duty has been applied."""
        grant = state.grants.get(duty)
        if grant is None:
            self._seen.pop(duty, None)
        elif self._seen.get(duty, (0, 0, 0))[:2] != (grant.token, grant.renewals):
            self._seen[duty] = (grant.token, grant.renewals, now)

    def restart_timers(self, now: int, state: State) -> None:
        """The state came from a snapshot, or this member leads from now on: nothing is known of what was before."""
        self._seen = {duty: (grant.token, grant.renewals, now) for duty, grant in state.grants.items()}

    def expired(self, now: int, state: State) -> list[Expire]:
        """Grants whose time is out by this clock."""
        found = []
        for duty, (token, renewals, since) in self._seen.items():
            grant = state.grants.get(duty)
            if grant is not None and now - since > grant.ttl_ms * 1e6 * GRANT_TIMEOUT_FACTOR:
                found.append(Expire(duty, token, renewals))
        return found
