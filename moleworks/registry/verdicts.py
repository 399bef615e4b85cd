"""Health verdicts from the results of a zone's health checks.  No I/O, no clock.

A host turns bad after `FAILURES_TO_BAD` consecutive failures and good after `SUCCESSES_TO_GOOD` consecutive successes.
If more than half of the hosts fail in one round, the prober's own network is the likelier cause: the failures of that
round are ignored.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

FAILURES_TO_BAD, SUCCESSES_TO_GOOD = 3, 2


class Verdict(Struct, frozen=True):
    """The record in the store under `verdicts/ZONE/HOST`."""

    state: str           # good or bad
    why: str
    round: int           # the prober's round in which the state changed


class _HostHealth(Struct):
    failures: int = 0
    successes: int = 0
    verdict: Verdict | None = None


class Verdicts:
    """Health check counters and verdicts of one zone's hosts."""

    def __init__(self) -> None:
        self._hosts: dict[str, _HostHealth] = {}
        self.round = 0
        self.ignored_rounds = 0     # rounds whose failures were ignored

    def load(self, host: str, verdict: Verdict) -> None:
        """Load a verdict that the store had when this prober took over."""
        self._hosts[host] = _HostHealth(verdict=verdict)

    def end_round(self, results: dict[str, str]) -> list[tuple[str, Verdict]]:
        """Add one round: the failure of each probed host, empty if healthy.  Returns the verdicts that have changed."""
        self.round += 1
        failing = sum(bool(why) for why in results.values())
        if len(results) > 2 and failing * 2 > len(results):
            self.ignored_rounds += 1
            results = {host: why for host, why in results.items() if not why}
        turned = []
        for host, why in results.items():
            row = self._hosts.setdefault(host, _HostHealth())
            row.failures, row.successes = (row.failures + 1, 0) if why else (0, row.successes + 1)
            state = "bad" if row.failures >= FAILURES_TO_BAD else "good" if row.successes >= SUCCESSES_TO_GOOD else ""
            if state and (row.verdict is None or row.verdict.state != state):
                row.verdict = Verdict(state, why, self.round)
                turned.append((host, row.verdict))
        return turned

    def forget(self, listed_hosts: Iterable[str]) -> list[str]:
        """Drop hosts that are no longer listed; returns those that had a verdict."""
        current = set(listed_hosts)
        removed = [host for host in self._hosts if host not in current]
        return [host for host in removed if self._hosts.pop(host).verdict is not None]
