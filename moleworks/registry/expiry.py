"""Which hosts have fallen silent, and whether that may be believed.  No I/O; the caller's monotonic `now`, ns."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from msgspec import Struct

from .mirror import Host


class Limits(Struct, frozen=True):
    """Past `share` of a zone's hosts silent at once (and more than `least`) nobody leaves: they are doubtful.

    A quarter: a zone of 8 may lose one or two machines in a lease, not three; the half of all whose beats are lost
    stays.
    """

    share: float = 0.25
    least: int = 1


class Expiry:
    """What one process has seen of sessions since it took the duty; nothing of before counts."""

    def __init__(self, now: int, hosts: Mapping[str, Host], limits: Limits) -> None:
        self._limits = limits
        self._seen: dict[str, int] = {host.session: now for host in hosts.values() if host.session}

    def beat(self, now: int, sessions: Iterable[str]) -> None:
        """Sessions that were renewed, as seen now."""
        for session in sessions:
            self._seen[session] = now

    def decide(self, now: int, hosts: Mapping[str, Host]) -> tuple[list[str], list[str]]:
        """Who leaves the list, and who is doubtful, by name."""
        silent: dict[str, list[str]] = {}
        zones: dict[str, int] = {}
        current = set()
        for name, host in hosts.items():
            zones[host.row.zone] = zones.get(host.row.zone, 0) + 1
            if not host.session:
                continue
            current.add(host.session)
            if now - self._seen.setdefault(host.session, now) > host.ttl_ms * 1_000_000:
                silent.setdefault(host.row.zone, []).append(name)
        for session in [session for session in self._seen if session not in current]:
            del self._seen[session]
        leave: list[str] = []
        doubtful: list[str] = []
        for zone, names in silent.items():
            most = max(self._limits.least, int(zones[zone] * self._limits.share))
            (leave if len(names) <= most else doubtful).extend(names)
        return leave, sorted(doubtful)
