"""A member's disk: vote, log and snapshot in one SQLite file, synced in full with each write, each row checksummed.

What SQLite had not finished is not there after a crash; a row that does not fit its checksum stops the member.
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
PIECE = 8 << 20
"""A snapshot is kept in rows of so many bytes."""


class CorruptStore(Exception):
    """The file is not what this member wrote; it must not serve from it."""


class Identity(Struct, frozen=True):
    """Whose disk it is.  `disk` is drawn when it is made, `boot` grows with each start."""

    cluster: str
    member: str
    disk: str
    boot: int
    format: int = FORMAT
    life: str = ""       # drawn at this start
    before: str = ""     # and at the one before


class _Vote(Struct, array_like=True):
    term: int
    vote: str


class _Head(Struct, array_like=True):
    """A snapshot's head; its data is in `pieces` rows beside it."""

    index: int
    term: int
    config: Config
    pieces: int


_ENCODE = msgspec.msgpack.Encoder().encode
_ENTRY: msgspec.msgpack.Decoder[Entry] = msgspec.msgpack.Decoder(Entry)


def _checksum(name: str, body: bytes) -> int:
    return xxhash.xxh3_64_intdigest(name.encode() + b"\0" + body) >> 1   # SQLite's integers have a sign


class Disk:
    """One file.  Calls block: a member makes them in a thread of their own."""

    def __init__(self, folder: Path, cluster: str, member: str, create: bool = True) -> None:
        """Raises CorruptStore where the file is another's or does not fit its checksums, OSError where there is
        none."""
        self.path = folder / "store.db"
        if create:
            folder.mkdir(parents=True, exist_ok=True)
        elif not self.path.exists():
            raise FileNotFoundError(f"{self.path}: there is no store")
        try:
            self._db = sqlite3.connect(self.path, isolation_level=None, check_same_thread=False)
            self._db.execute("pragma locking_mode = exclusive")
            self._db.execute("pragma journal_mode = wal")
            self._db.execute("pragma synchronous = full")
            self._db.executescript(SCHEMA)
            self.identity = self._identify(cluster, member)
        except sqlite3.Error as error:
            raise CorruptStore(f"{self.path}: {error}") from None

    def _identify(self, cluster: str, member: str) -> Identity:
        body = self._meta("identity")
        if body is None:
            identity = Identity(cluster, member, secrets.token_hex(8), 1, life=secrets.token_hex(4))
        else:
            old: Identity = msgspec.msgpack.decode(body, type=Identity)
            if old.format > FORMAT:
                raise CorruptStore(f"{self.path}: is of a newer version, {old.format}")
            if (old.cluster, old.member) != (cluster, member):
                raise CorruptStore(f"{self.path}: is {old.member}'s of {old.cluster}, not {member}'s of {cluster}")
            identity = msgspec.structs.replace(old, boot=old.boot + 1, life=secrets.token_hex(4), before=old.life)
        with self._transaction():
            self._put("identity", _ENCODE(identity))
        return identity

    # ---- Rows -------------------------------------------------------------------------------------------

    def _transaction(self) -> _Transaction:
        return _Transaction(self._db)

    def _put(self, name: str, body: bytes) -> None:
        self._db.execute("insert or replace into meta values (?, ?, ?)", (name, body, _checksum(name, body)))

    def _meta(self, name: str) -> bytes | None:
        row = self._db.execute("select value, checksum from meta where name = ?", (name,)).fetchone()
        if row is None:
            return None
        if _checksum(name, row[0]) != row[1]:
            raise CorruptStore(f"{self.path}: {name} does not fit its checksum")
        body: bytes = row[0]
        return body

    def load(self, first: Config) -> tuple[Log, int, str]:
        """Log, term and vote; an empty disk begins with these members.  Raises CorruptStore."""
        try:
            vote = self._meta("vote")
            term, whom = (0, "") if vote is None else msgspec.structs.astuple(msgspec.msgpack.decode(vote, type=_Vote))
            snapshot = self._snapshot() or Snapshot(0, 0, first, b"")
            return Log(snapshot, list(self._entries(snapshot.index))), term, whom
        except (sqlite3.Error, msgspec.DecodeError) as error:
            raise CorruptStore(f"{self.path}: {error}") from None

    def _snapshot(self) -> Snapshot | None:
        body = self._meta("snapshot")
        if body is None:
            return None
        head: _Head = msgspec.msgpack.decode(body, type=_Head)
        pieces = [self._meta(f"snapshot {head.index} {number}") for number in range(head.pieces)]
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

    def remember(self, member: str, met: bytes) -> None:
        """Whom this member has met, on disk when this returns.  Raises sqlite3.Error."""
        with self._transaction():
            self._put(f"met {member}", met)

    def met(self) -> dict[str, bytes]:
        """Everybody it has met.  Raises CorruptStore."""
        rows = self._db.execute("select name from meta where name like 'met %'").fetchall()
        return {name.removeprefix("met "): self._meta(name) or b"" for (name,) in rows}

    def sync(self, write: Write) -> None:
        """All of a write, on disk when this returns, or none of it.  Raises sqlite3.Error (a full disk)."""
        with self._transaction():
            self._put("vote", _ENCODE(_Vote(write.term, write.vote)))
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
        pieces = [data[at:at + PIECE] for at in range(0, len(data), PIECE)]
        self._db.execute("delete from meta where name like 'snapshot %'")
        for number, piece in enumerate(pieces):
            self._put(f"snapshot {snapshot.index} {number}", piece)
        self._put("snapshot", _ENCODE(_Head(snapshot.index, snapshot.term, snapshot.config, len(pieces))))
        self._db.execute("delete from log where idx <= ?", (snapshot.index,))

    def size(self) -> int:
        """Bytes of the file."""
        return os.stat(self.path).st_size

    def close(self) -> None:
        """The end."""
        self._db.close()


class _Transaction:
    """begin, and commit or roll back."""

    def __init__(self, db: sqlite3.Connection) -> None:
        self._db = db

    def __enter__(self) -> None:
        self._db.execute("begin immediate")

    def __exit__(self, kind: object, *_: object) -> None:
        if kind is None:
            self._db.execute("commit")
        elif self._db.in_transaction:     # on a full disk SQLite has rolled back by itself; its own words must be told
            self._db.execute("rollback")
