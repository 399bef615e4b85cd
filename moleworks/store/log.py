"""The in-memory Raft log: a snapshot and the entries after it.  No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from .messages import Config, Entry


class Snapshot:
    """The state machine's image up to an index, with the configuration as of that index."""

    __slots__ = ("config", "data", "index", "term")

    def __init__(self, index: int, term: int, config: Config, data: bytes) -> None:
        self.index, self.term, self.config, self.data = index, term, config, data


class Log:
    """A snapshot and the contiguous entries from `snapshot.index + 1` on."""

    def __init__(self, snapshot: Snapshot, entries: Sequence[Entry] = ()) -> None:
        self.snapshot = snapshot
        self._entries = list(entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot if there is none."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot if there is none."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    def term(self, index: int) -> int | None:
        """Term of the entry at an index; None if the log does not contain it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.snapshot.index - 1
        return self._entries[position].term if 0 <= position < len(self._entries) else None

    def get(self, index: int) -> Entry:
        """The entry at an index, which must be in the log."""
        return self._entries[index - self.snapshot.index - 1]

    def entries_after(self, index: int, limit: int, max_bytes: int) -> tuple[Entry, ...]:
        """Entries after an index, within both limits; the first one is returned even if it exceeds `max_bytes`."""
        position = index - self.snapshot.index
        found: list[Entry] = []
        size = 0
        for entry in self._entries[position:position + limit]:
            size += len(entry.data) + 64
            if found and size > max_bytes:
                break
            found.append(entry)
        return tuple(found)

    def append(self, entry: Entry) -> None:
        self._entries.append(entry)

    def truncate(self, index: int) -> None:
        """Removes the entry at this index and all later ones."""
        del self._entries[index - self.snapshot.index - 1:]

    def compact(self, snapshot: Snapshot) -> None:
        """Replaces the log up to the snapshot's index; all of it if its entry there has another term."""
        if snapshot.index <= self.snapshot.index:
            return
        matches = self.term(snapshot.index) == snapshot.term
        self._entries = self._entries[snapshot.index - self.snapshot.index:] if matches else []
        self.snapshot = snapshot

    def config(self, before: int = 1 << 62) -> tuple[Config, int]:
        """The latest configuration below index `before`, committed or not, and its index."""
        for entry in reversed(self._entries):
            if entry.config is not None and entry.index < before:
                return entry.config, entry.index
        return self.snapshot.config, self.snapshot.index
