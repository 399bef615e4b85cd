"""Which hosts have fallen silent, and whether that may be believed.  No I/O; the caller's monotonic `now`, ns."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from msgspec import Struct

from .mirror import Host

BLIND = 1_000_000_000
"""ns: a mirror older than this has missed heartbeats."""


class Limits(Struct, frozen=True):
    """Past `share` of a zone's registered hosts silent at once (and more than `least`) nobody leaves: they are doubted.

    At once: for half of their lease, or gone within one.  Else a zone whose beats are all lost would leave by twos.

    A quarter: a zone of 8 may lose one or two machines in a lease, not three; the half of all whose beats are lost
    stays.
    """

    share: float = 0.25
    least: int = 1


class Expiry:
    """What one process has seen of sessions since it took the duty; nothing of before counts."""

    def __init__(self, now: int, hosts: Mapping[str, Host], limits: Limits) -> None:
        self._limits = limits
        self._blind = False
        self._doubted: dict[str, int] = {}     # zones, when they last were
        self._gone: dict[str, tuple[str, int, int]] = {}     # zone, when, lease
        self._seen: dict[str, int] = {host.session: now for host in hosts.values() if host.session}

    def sees(self, now: int, age: int) -> bool:
        """Whether the store is heard of; what it did not tell meanwhile is no host's silence, so all begin anew."""
        if age > BLIND:
            self._blind = True
        elif self._blind:
            self._blind = False
            self._seen = dict.fromkeys(self._seen, now)
        return not self._blind

    def beat(self, now: int, sessions: Iterable[str]) -> None:
        """Sessions that were renewed, as seen now."""
        for session in sessions:
            self._seen[session] = now

    def decide(self, now: int, hosts: Mapping[str, Host]) -> tuple[list[str], list[str]]:
        """Who leaves the list, and who is doubtful, by name."""
        silent: dict[str, list[str]] = {}
        zones: dict[str, int] = {}
        falling: dict[str, set[str]] = {}      # silent for half of it, or gone a short while ago
        for name, (zone, at, ttl) in list(self._gone.items()):
            if now - at > ttl:
                del self._gone[name]
            else:
                falling.setdefault(zone, set()).add(name)
        current = set()
        for name, host in hosts.items():
            if not host.session:
                continue
            zones[host.row.zone] = zones.get(host.row.zone, 0) + 1     # of those that can fall silent
            current.add(host.session)
            quiet, ttl = now - self._seen.setdefault(host.session, now), host.ttl_ms * 1_000_000
            if quiet > ttl // 2:
                falling.setdefault(host.row.zone, set()).add(name)
            if quiet > ttl:
                silent.setdefault(host.row.zone, []).append(name)
        for session in [session for session in self._seen if session not in current]:
            del self._seen[session]
        leave: list[str] = []
        doubtful: list[str] = []
        for zone, names in silent.items():
            most = max(self._limits.least, int(zones[zone] * self._limits.share))
            if len(falling[zone]) > most:
                self._doubted[zone] = now
                doubtful += names
                continue
            for name in names:     # where many come back, the last of them are not dead yet
                if now - self._doubted.get(zone, -(1 << 62)) <= hosts[name].ttl_ms * 1_000_000:
                    doubtful.append(name)
                    continue
                leave.append(name)
                self._gone.setdefault(name, (zone, now, hosts[name].ttl_ms * 1_000_000))
        return leave, sorted(doubtful)
