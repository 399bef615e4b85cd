"""Decides which silent hosts expire and which are doubtful.  No I/O; `now` is the caller's monotonic time, ns."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from msgspec import Struct

from .mirror import Host

MAX_MIRROR_AGE_NS = 1_000_000_000
"""A mirror older than this may have missed heartbeats."""


class Limits(Struct, frozen=True):
    """Limits for expiry within a zone.

    If more than `share` of a zone's registered hosts (and more than `least`) are missing at the same time, no host of
    the zone expires: the silent ones are doubtful and stay in the list.

    A host counts as missing once it has been silent for half of its TTL, and for one TTL after it expired.  Without
    this a zone that loses all its heartbeats would expire two hosts at a time.

    With a share of 0.25 a zone of 8 may lose one or two machines within a TTL, but not three.  A zone that loses the
    heartbeats of half of its hosts keeps them.
    """

    share: float = 0.25
    least: int = 1


class Expiry:
    """Last heartbeats of all sessions as seen since this process acquired the duty; earlier silence is ignored."""

    def __init__(self, now: int, hosts: Mapping[str, Host], limits: Limits) -> None:
        self._limits = limits
        self._view_outdated = False
        self._doubted_at: dict[str, int] = {}     # by zone: when it last exceeded its limit
        self._recently_expired: dict[str, tuple[str, int, int]] = {}     # by name: zone, time, TTL
        self._last_seen: dict[str, int] = {host.session: now for host in hosts.values() if host.session}

    def has_current_view(self, now: int, age: int) -> bool:
        """Whether the mirror is current.  After an outage of the store all hosts' silence is counted from scratch."""
        if age > MAX_MIRROR_AGE_NS:
            self._view_outdated = True
        elif self._view_outdated:
            self._view_outdated = False
            self._last_seen = dict.fromkeys(self._last_seen, now)
        return not self._view_outdated

    def on_heartbeats(self, now: int, sessions: Iterable[str]) -> None:
        """Record the heartbeats of these sessions as of `now`."""
        for session in sessions:
            self._last_seen[session] = now

    def decide(self, now: int, hosts: Mapping[str, Host]) -> tuple[list[str], list[str]]:
        """Names of the hosts that expire and of those that are doubtful."""
        silent: dict[str, list[str]] = {}
        zones: dict[str, int] = {}
        missing: dict[str, set[str]] = {}      # by zone: silent for half of the TTL, or recently expired
        for name, (zone, at, ttl) in list(self._recently_expired.items()):
            if now - at > ttl:
                del self._recently_expired[name]
            else:
                missing.setdefault(zone, set()).add(name)
        current = set()
        for name, host in hosts.items():
            if not host.session:
                continue
            zones[host.row.zone] = zones.get(host.row.zone, 0) + 1     # only hosts with a session can fall silent
            current.add(host.session)
            silence, ttl = now - self._last_seen.setdefault(host.session, now), host.ttl_ms * 1_000_000
            if silence > ttl // 2:
                missing.setdefault(host.row.zone, set()).add(name)
            if silence > ttl:
                silent.setdefault(host.row.zone, []).append(name)
        for session in [session for session in self._last_seen if session not in current]:
            del self._last_seen[session]
        expired: list[str] = []
        doubtful: list[str] = []
        for zone, names in silent.items():
            max_missing = max(self._limits.least, int(zones[zone] * self._limits.share))
            if len(missing[zone]) > max_missing:
                self._doubted_at[zone] = now
                doubtful += names
                continue
            for name in names:     # while a zone recovers, its last silent hosts may still return
                if now - self._doubted_at.get(zone, -(1 << 62)) <= hosts[name].ttl_ms * 1_000_000:
                    doubtful.append(name)
                    continue
                expired.append(name)
                self._recently_expired.setdefault(name, (zone, now, hosts[name].ttl_ms * 1_000_000))
        return expired, sorted(doubtful)
