"""The list as a service has it: rows with versions, what changed between two, and its greatest age.  No I/O."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable

import msgspec
from msgspec import Struct

from .rows import ENCODE, Line, Row, gone

HOSTS, BEATS, DOUBT = "reg/hosts/", "reg/beats/", "reg/doubt"
KEPT = 4096
"""Changes that a watch can start from; one that is further back gets the whole list."""
CACHED = 64
"""Lines that are kept for others who ask the same."""


class Host(Struct, frozen=True):
    """A record under `reg/hosts/`.  Without a session an operator has put it, and it does not expire."""

    row: Row
    session: str = ""
    ttl_ms: int = 0
    v: int = 1


class Beats(Struct, frozen=True):
    """A record under `reg/beats/`: sessions that were renewed with this service since its last one."""

    number: int
    sessions: list[str]
    v: int = 1


class Doubt(Struct, frozen=True):
    """The record `reg/doubt`: hosts that are silent and stay, as too many are."""

    hosts: list[str]
    v: int = 1


HOST: msgspec.json.Decoder[Host] = msgspec.json.Decoder(Host)
BEATS_OF: msgspec.json.Decoder[Beats] = msgspec.json.Decoder(Beats)
DOUBT_OF: msgspec.json.Decoder[Doubt] = msgspec.json.Decoder(Doubt)


class Mirror:
    """Rows as of a version."""

    def __init__(self) -> None:
        self.generation = 0
        self.hosts: dict[str, Host] = {}
        self.revisions: dict[str, int] = {}
        self.doubtful: list[str] = []
        self._changes: deque[tuple[int, Row]] = deque()
        self._first = 0          # a watch from an older version than this gets everything
        self._lines: OrderedDict[tuple[int, bool], bytes] = OrderedDict()
        self.joined = 0          # lines that were made; the others were sent again
        self._fresh = -(1 << 62)
        self._asked: tuple[int, int] | None = None     # when it was sent, and the revision that it must come to

    # ---- What the store tells ----------------------------------------------------------------------------

    def begin(self, hosts: dict[str, tuple[int, Host]], revision: int) -> None:
        """All records as of a revision.  Where there was a list before, watches go on with the difference."""
        if self.generation > revision:      # a store that has gone back: versions must not
            raise ValueError(f"the store is at revision {revision}, the list is at version {self.generation}")
        old = {name: host.row for name, host in self.hosts.items()}
        fresh = {name: host.row for name, (_, host) in hosts.items()}
        for name, row in old.items():
            if name not in fresh:
                self._note(revision, gone(row))
        for name, row in fresh.items():
            if old.get(name) != row:
                self._note(revision, row)
        if not self.generation:
            self._changes.clear()
            self._first = revision
        self.hosts = {name: host for name, (_, host) in hosts.items()}
        self.revisions = {name: at for name, (at, _) in hosts.items()}
        self._moved(revision)

    def change(self, revision: int, changes: Iterable[tuple[str, Host | None]]) -> None:
        """One version: all changes of one revision."""
        for name, host in changes:
            old = self.hosts.pop(name, None)
            self.revisions.pop(name, None)
            if host is not None:
                self.hosts[name], self.revisions[name] = host, revision
                if old is None or old.row != host.row:
                    self._note(revision, host.row)
            elif old is not None:
                self._note(revision, gone(old.row))
        self._moved(revision)

    def _note(self, revision: int, row: Row) -> None:
        self._changes.append((revision, row))

    def _moved(self, revision: int) -> None:
        self.generation = revision
        self._lines.clear()
        while len(self._changes) > KEPT:
            self._first = self._changes.popleft()[0]
            while self._changes and self._changes[0][0] == self._first:
                self._changes.popleft()

    # ---- What readers are told ---------------------------------------------------------------------------

    def since(self, version: int) -> Line:
        """What changed after a version, the last word on each host; or everything, where that is not known any more."""
        if not self._first <= version <= self.generation or not version:
            return Line(self.generation, True, [host.row for host in self.hosts.values()])
        last: dict[str, Row] = {}
        for revision, row in reversed(self._changes):
            if revision <= version:
                break
            last.setdefault(row.instance_id, row)
        return Line(self.generation, False, list(reversed(last.values())))

    def versions(self, after: int) -> tuple[int, list[dict[str, object]]]:
        """From which version on all are known, and what each after one changed."""
        found: dict[int, list[Row]] = {}
        for revision, row in self._changes:
            if revision > after:
                found.setdefault(revision, []).append(row)
        return self._first, [{"generation": revision, "instances": rows} for revision, rows in found.items()]

    def line(self, version: int, whole: bool = False) -> bytes:
        """The same as bytes, joined once for all who ask from there."""
        key = (0 if whole else version, whole)
        found = self._lines.get(key)
        if found is None:
            found = self._lines[key] = ENCODE(self.since(0 if whole else version))
            self.joined += 1
            if len(self._lines) > CACHED:
                self._lines.popitem(last=False)
        return found

    # ---- Its age -----------------------------------------------------------------------------------------

    def asked(self, sent: int, revision: int, here: int) -> None:
        """The store was asked at `sent` and was at `revision`; the mirror has heard all up to `here`."""
        if here >= revision:
            self._fresh, self._asked = max(self._fresh, sent), None
        elif self._asked is None:       # the first that is waited for: a later one would put it off for ever
            self._asked = (sent, revision)

    def reached(self, here: int) -> None:
        """All up to this revision has been heard."""
        if self._asked is not None and here >= self._asked[1]:
            self._fresh, self._asked = max(self._fresh, self._asked[0]), None

    def age(self, now: int) -> int:
        """At most so old, ns: whatever was changed earlier is in it."""
        return now - self._fresh
