"""The log in memory: entries after a snapshot, by index.  No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from .messages import Config, Entry


class Snapshot:
    """The state up to an index, with the members as they were then."""

    __slots__ = ("config", "data", "index", "term")

    def __init__(self, index: int, term: int, config: Config, data: bytes) -> None:
        self.index, self.term, self.config, self.data = index, term, config, data


class Log:
    """Entries from `snapshot.index + 1` on, without a gap."""

    def __init__(self, snapshot: Snapshot, entries: Sequence[Entry] = ()) -> None:
        self.snapshot = snapshot
        self._entries = list(entries)

    @property
    def last_index(self) -> int:
        """The newest entry's index."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """And its term."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    def term(self, index: int) -> int | None:
        """The term of an entry; None where it is not known here."""
        if index == self.snapshot.index:
            return self.snapshot.term
        at = index - self.snapshot.index - 1
        return self._entries[at].term if 0 <= at < len(self._entries) else None

    def get(self, index: int) -> Entry:
        """The entry at an index that is here."""
        return self._entries[index - self.snapshot.index - 1]

    def after(self, index: int, most: int, most_bytes: int) -> tuple[Entry, ...]:
        """Entries that follow an index: at least one if there is one, else bounded in number and bytes."""
        at = index - self.snapshot.index
        found: list[Entry] = []
        size = 0
        for entry in self._entries[at:at + most]:
            size += len(entry.data) + 64
            if found and size > most_bytes:
                break
            found.append(entry)
        return tuple(found)

    def append(self, entry: Entry) -> None:
        """One more at the end."""
        self._entries.append(entry)

    def truncate(self, index: int) -> None:
        """Drop this entry and all that follow."""
        del self._entries[index - self.snapshot.index - 1:]

    def compact(self, snapshot: Snapshot) -> None:
        """A snapshot takes the place of all up to its index."""
        if snapshot.index <= self.snapshot.index:
            return
        known = self.term(snapshot.index) == snapshot.term
        self._entries = self._entries[snapshot.index - self.snapshot.index:] if known else []
        self.snapshot = snapshot

    def config(self, before: int = 1 << 62) -> tuple[Config, int]:
        """The newest configuration in it, committed or not, and its index; or the newest below an index."""
        for entry in reversed(self._entries):
            if entry.config is not None and entry.index < before:
                return entry.config, entry.index
        return self.snapshot.config, self.snapshot.index
