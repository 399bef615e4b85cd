"""A member's disk: vote, log and snapshot in one SQLite file.  Every write is fully synced, every row has a checksum.

After a crash SQLite rolls back an incomplete transaction.  A row that does not match its checksum stops the member.
"""

from __future__ import annotations

import os
import secrets
import sqlite3
from collections.abc import Iterator
from pathlib import Path

import msgspec
import xxhash
from msgspec import Struct

from .core import Write
from .log import Log, Snapshot
from .messages import Config, Entry

SCHEMA = """
create table if not exists meta (name text primary key, value blob not null, checksum integer not null);
create table if not exists log (idx integer primary key, body blob not null, checksum integer not null);
"""
FORMAT = 1
SNAPSHOT_ROW_BYTES = 8 << 20
"""Maximum bytes of snapshot data per row."""


class CorruptStore(Exception):
    """The file is not what this member wrote, so the member must not use it."""


class Identity(Struct, frozen=True):
    """Identifies a disk.  `disk` is drawn at random when the file is created; `boot` counts the starts."""

    cluster: str
    member: str
    disk: str
    boot: int
    format: int = FORMAT
    life: str = ""       # random identifier of this start
    before: str = ""     # and of the start before


class _Vote(Struct, array_like=True):
    term: int
    vote: str


class _SnapshotHead(Struct, array_like=True):
    """A snapshot's metadata; its data is in `pieces` separate rows."""

    index: int
    term: int
    config: Config
    pieces: int


_ENCODE = msgspec.msgpack.Encoder().encode
_ENTRY: msgspec.msgpack.Decoder[Entry] = msgspec.msgpack.Decoder(Entry)


def _checksum(name: str, body: bytes) -> int:
    return xxhash.xxh3_64_intdigest(name.encode() + b"\0" + body) >> 1   # SQLite's integers are signed


class Disk:
    """The database file.  All calls block; a member makes its writes in a separate thread."""

    def __init__(self, folder: Path, cluster: str, member: str, create: bool = True) -> None:
        """Opens or creates the file.

        Raises CorruptStore if it belongs to another member or does not match its checksums, OSError if it is missing.
        """
        self.path = folder / "store.db"
        if create:
            folder.mkdir(parents=True, exist_ok=True)
        elif not self.path.exists():
            raise FileNotFoundError(f"{self.path}: no store exists here")
        try:
            self._db = sqlite3.connect(self.path, isolation_level=None, check_same_thread=False)
            self._db.execute("pragma locking_mode = exclusive")
            self._db.execute("pragma journal_mode = wal")
            self._db.execute("pragma synchronous = full")
            self._db.executescript(SCHEMA)
            self.identity = self._read_identity(cluster, member)
        except sqlite3.Error as error:
            raise CorruptStore(f"{self.path}: {error}") from None

    def _read_identity(self, cluster: str, member: str) -> Identity:
        body = self._get_meta("identity")
        if body is None:
            identity = Identity(cluster, member, secrets.token_hex(8), 1, life=secrets.token_hex(4))
        else:
            previous: Identity = msgspec.msgpack.decode(body, type=Identity)
            if previous.format > FORMAT:
                raise CorruptStore(f"{self.path}: unsupported newer format version {previous.format}")
            if (previous.cluster, previous.member) != (cluster, member):
                raise CorruptStore(f"{self.path}: belongs to {previous.member} of {previous.cluster}, "
                                   f"not {member} of {cluster}")
            identity = msgspec.structs.replace(previous, boot=previous.boot + 1, life=secrets.token_hex(4),
                                               before=previous.life)
        with self._transaction():
            self._put_meta("identity", _ENCODE(identity))
        return identity

    # ---- Rows -------------------------------------------------------------------------------------------

    def _transaction(self) -> _Transaction:
        return _Transaction(self._db)

    def _put_meta(self, name: str, body: bytes) -> None:
        self._db.execute("insert or replace into meta values (?, ?, ?)", (name, body, _checksum(name, body)))

    def _get_meta(self, name: str) -> bytes | None:
        row = self._db.execute("select value, checksum from meta where name = ?", (name,)).fetchone()
        if row is None:
            return None
        if _checksum(name, row[0]) != row[1]:
            raise CorruptStore(f"{self.path}: {name} does not fit its checksum")
        body: bytes = row[0]
        return body

    def load(self, first: Config) -> tuple[Log, int, str]:
        """Reads log, term and vote; an empty disk has the initial configuration `first`.  Raises CorruptStore."""
        try:
            vote = self._get_meta("vote")
            term, voted = (0, "") if vote is None else msgspec.structs.astuple(msgspec.msgpack.decode(vote, type=_Vote))
            snapshot = self._snapshot() or Snapshot(0, 0, first, b"")
            return Log(snapshot, list(self._entries(snapshot.index))), term, voted
        except (sqlite3.Error, msgspec.DecodeError) as error:
            raise CorruptStore(f"{self.path}: {error}") from None

    def _snapshot(self) -> Snapshot | None:
        body = self._get_meta("snapshot")
        if body is None:
            return None
        head: _SnapshotHead = msgspec.msgpack.decode(body, type=_SnapshotHead)
        pieces = [self._get_meta(f"snapshot {head.index} {number}") for number in range(head.pieces)]
        if None in pieces:
            raise CorruptStore(f"{self.path}: a piece of snapshot {head.index} is missing")
        return Snapshot(head.index, head.term, head.config, b"".join(piece for piece in pieces if piece is not None))

    def _entries(self, after: int) -> Iterator[Entry]:
        expected = after + 1
        for index, body, checksum in self._db.execute(
                "select idx, body, checksum from log where idx > ? order by idx", (after,)):
            if index != expected:
                raise CorruptStore(f"{self.path}: entry {expected} is missing")
            if _checksum(f"entry {index}", body) != checksum:
                raise CorruptStore(f"{self.path}: entry {index} does not fit its checksum")
            yield _ENTRY.decode(body)
            expected += 1

    def store_hello(self, member: str, hello: bytes) -> None:
        """Stores another member's last `Hello`, durable when this returns.  Raises sqlite3.Error."""
        with self._transaction():
            self._put_meta(f"met {member}", hello)

    def load_hellos(self) -> dict[str, bytes]:
        """The last `Hello` of each other member that has connected.  Raises CorruptStore."""
        rows = self._db.execute("select name from meta where name like 'met %'").fetchall()
        return {name.removeprefix("met "): self._get_meta(name) or b"" for (name,) in rows}

    def sync(self, write: Write) -> None:
        """Applies a write atomically, durable when this returns.  Raises sqlite3.Error, as on a full disk."""
        with self._transaction():
            self._put_meta("vote", _ENCODE(_Vote(write.term, write.vote)))
            if write.cut:
                self._db.execute("delete from log where idx >= ?", (write.cut,))
            if write.snapshot is not None:
                self._put_snapshot(write.snapshot)
            if write.entries:
                rows = ((entry.index, body, _checksum(f"entry {entry.index}", body))
                        for entry in write.entries for body in [_ENCODE(entry)])
                self._db.executemany("insert or replace into log values (?, ?, ?)", rows)

    def _put_snapshot(self, snapshot: Snapshot) -> None:
        data = snapshot.data
        pieces = [data[at:at + SNAPSHOT_ROW_BYTES] for at in range(0, len(data), SNAPSHOT_ROW_BYTES)]
        self._db.execute("delete from meta where name like 'snapshot %'")
        for number, piece in enumerate(pieces):
            self._put_meta(f"snapshot {snapshot.index} {number}", piece)
        self._put_meta("snapshot", _ENCODE(_SnapshotHead(snapshot.index, snapshot.term, snapshot.config, len(pieces))))
        self._db.execute("delete from log where idx <= ?", (snapshot.index,))

    def size(self) -> int:
        """Size of the file in bytes."""
        return os.stat(self.path).st_size

    def close(self) -> None:
        self._db.close()


class _Transaction:
    """Context manager for a transaction: commits, or rolls back after an exception."""

    def __init__(self, db: sqlite3.Connection) -> None:
        self._db = db

    def __enter__(self) -> None:
        self._db.execute("begin immediate")

    def __exit__(self, kind: object, *_: object) -> None:
        if kind is None:
            self._db.execute("commit")
        elif self._db.in_transaction:     # on a full disk SQLite rolls back itself; its error must be raised
            self._db.execute("rollback")
