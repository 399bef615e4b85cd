"""What probes of a zone's hosts say in the end.  No I/O, no clock.

A host is bad after `BAD` failures in a row and good after `GOOD` answers.  Where more than half of the hosts fail in
one round the prober's own network is the likelier cause: nothing turns bad by such a round.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

BAD, GOOD = 3, 2


class Verdict(Struct, frozen=True):
    """As it stands in the store under `verdicts/ZONE/HOST`."""

    state: str           # good or bad
    why: str
    round: int           # of this prober, when it turned


class _Host(Struct):
    failures: int = 0
    successes: int = 0
    verdict: Verdict | None = None


class Verdicts:
    """One zone's hosts."""

    def __init__(self) -> None:
        self._hosts: dict[str, _Host] = {}
        self.round = 0
        self.doubted = 0     # rounds that were not believed

    def known(self, host: str, verdict: Verdict) -> None:
        """What the store had when this prober took over."""
        self._hosts[host] = _Host(verdict=verdict)

    def end_round(self, answers: dict[str, str]) -> list[tuple[str, Verdict]]:
        """Each host that was probed with its fault, empty if it answered well; verdicts that have changed."""
        self.round += 1
        failing = sum(bool(why) for why in answers.values())
        if len(answers) > 2 and failing * 2 > len(answers):
            self.doubted += 1
            answers = {host: why for host, why in answers.items() if not why}
        turned = []
        for host, why in answers.items():
            row = self._hosts.setdefault(host, _Host())
            row.failures, row.successes = (row.failures + 1, 0) if why else (0, row.successes + 1)
            state = "bad" if row.failures >= BAD else "good" if row.successes >= GOOD else ""
            if state and (row.verdict is None or row.verdict.state != state):
                row.verdict = Verdict(state, why, self.round)
                turned.append((host, row.verdict))
        return turned

    def forget(self, listed: Iterable[str]) -> list[str]:
        """Hosts that the list no longer names, of which there was a verdict."""
        wanted = set(listed)
        left = [host for host in self._hosts if host not in wanted]
        return [host for host in left if self._hosts.pop(host).verdict is not None]
