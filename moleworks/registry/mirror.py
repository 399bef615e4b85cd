"""A service's copy of the list: rows, the changes between versions, and an upper bound of its age.  No I/O."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable

import msgspec
from msgspec import Struct

from .rows import ENCODE, Line, Row, terminated_row

HOSTS_PREFIX, HEARTBEATS_PREFIX, DOUBTFUL_KEY = "reg/hosts/", "reg/beats/", "reg/doubt"
MAX_CHANGES = 4096
"""Changes that are retained; a watch that resumes from an older version gets the full list."""
MAX_CACHED_LINES = 64
"""Encoded updates that are cached for readers at the same version."""


class Host(Struct, frozen=True):
    """A record under `reg/hosts/`.  A host without a session was added by an operator and does not expire."""

    row: Row
    session: str = ""
    ttl_ms: int = 0
    v: int = 1


class Heartbeats(Struct, frozen=True):
    """A record under `reg/beats/`: sessions that one service has renewed since its previous record."""

    number: int
    sessions: list[str]
    v: int = 1


class DoubtfulHosts(Struct, frozen=True):
    """The record `reg/doubt`: silent hosts that stay in the list because too many are silent at the same time."""

    hosts: list[str]
    v: int = 1


HOST_DECODER: msgspec.json.Decoder[Host] = msgspec.json.Decoder(Host)
HEARTBEATS_DECODER: msgspec.json.Decoder[Heartbeats] = msgspec.json.Decoder(Heartbeats)
DOUBTFUL_DECODER: msgspec.json.Decoder[DoubtfulHosts] = msgspec.json.Decoder(DoubtfulHosts)


class Mirror:
    """The hosts of one version and the recent changes that led to it."""

    def __init__(self) -> None:
        self.generation = 0
        self.hosts: dict[str, Host] = {}
        self.revisions: dict[str, int] = {}
        self.doubtful: list[str] = []
        self._changes: deque[tuple[int, Row]] = deque()
        self._first_version = 0     # a watch from an older version gets the full list
        self._line_cache: OrderedDict[tuple[int, bool], bytes] = OrderedDict()
        self.lines_encoded = 0      # updates that were encoded; all others came from the cache
        self._fresh_at = -(1 << 62)
        self._pending_query: tuple[int, int] | None = None     # (time sent, revision to reach)

    # ---- Changes from the store --------------------------------------------------------------------------

    def begin(self, hosts: dict[str, tuple[int, Host]], revision: int) -> None:
        """Load all records as of a revision.  Watches of an earlier list continue with the difference."""
        if self.generation > revision:      # versions must not decrease, even if the store was reset
            raise ValueError(f"the store went back to revision {revision}; the list is at version {self.generation}")
        old = {name: host.row for name, host in self.hosts.items()}
        new = {name: host.row for name, (_, host) in hosts.items()}
        for name, row in old.items():
            if name not in new:
                self._record_change(revision, terminated_row(row))
        for name, row in new.items():
            if old.get(name) != row:
                self._record_change(revision, row)
        if not self.generation:
            self._changes.clear()
            self._first_version = revision
        self.hosts = {name: host for name, (_, host) in hosts.items()}
        self.revisions = {name: host_revision for name, (host_revision, _) in hosts.items()}
        self._finish_version(revision)

    def change(self, revision: int, changes: Iterable[tuple[str, Host | None]]) -> None:
        """Apply all changes of one revision as one version."""
        for name, host in changes:
            old = self.hosts.pop(name, None)
            self.revisions.pop(name, None)
            if host is not None:
                self.hosts[name], self.revisions[name] = host, revision
                if old is None or old.row != host.row:
                    self._record_change(revision, host.row)
            elif old is not None:
                self._record_change(revision, terminated_row(old.row))
        self._finish_version(revision)

    def _record_change(self, revision: int, row: Row) -> None:
        self._changes.append((revision, row))

    def _finish_version(self, revision: int) -> None:
        self.generation = revision
        self._line_cache.clear()
        while len(self._changes) > MAX_CHANGES:
            self._first_version = self._changes.popleft()[0]
            while self._changes and self._changes[0][0] == self._first_version:
                self._changes.popleft()

    # ---- Updates for readers -----------------------------------------------------------------------------

    def changes_since(self, version: int) -> Line:
        """The latest change of each host after a version, or the full list if those changes are no longer retained."""
        if not self._first_version <= version <= self.generation or not version:
            return Line(self.generation, True, [host.row for host in self.hosts.values()])
        last: dict[str, Row] = {}
        for revision, row in reversed(self._changes):
            if revision <= version:
                break
            last.setdefault(row.instance_id, row)
        return Line(self.generation, False, list(reversed(last.values())))

    def versions(self, after: int) -> tuple[int, list[dict[str, object]]]:
        """The version after which all changes are retained, and the changes of each version later than `after`."""
        found: dict[int, list[Row]] = {}
        for revision, row in self._changes:
            if revision > after:
                found.setdefault(revision, []).append(row)
        return self._first_version, [{"generation": revision, "instances": rows} for revision, rows in found.items()]

    def line(self, version: int, full: bool = False) -> bytes:
        """The encoded update for a reader at this version; encoded once for all readers there."""
        key = (0 if full else version, full)
        found = self._line_cache.get(key)
        if found is None:
            found = self._line_cache[key] = ENCODE(self.changes_since(0 if full else version))
            self.lines_encoded += 1
            if len(self._line_cache) > MAX_CACHED_LINES:
                self._line_cache.popitem(last=False)
        return found

    # ---- Age ---------------------------------------------------------------------------------------------

    def on_revision_queried(self, sent: int, revision: int, applied_revision: int) -> None:
        """A query sent at `sent` found the store at `revision`; the mirror is complete up to `applied_revision`."""
        if applied_revision >= revision:
            self._fresh_at, self._pending_query = max(self._fresh_at, sent), None
        elif self._pending_query is None:       # replacing an earlier query could postpone the confirmation for ever
            self._pending_query = (sent, revision)

    def on_revision_reached(self, applied_revision: int) -> None:
        """Everything up to this revision has been applied."""
        if self._pending_query is not None and applied_revision >= self._pending_query[1]:
            self._fresh_at, self._pending_query = max(self._fresh_at, self._pending_query[0]), None

    def age(self, now: int) -> int:
        """Upper bound of the age, ns: every change made earlier than that is included."""
        return now - self._fresh_at
