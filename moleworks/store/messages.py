"""What members say to each other.  Each message carries its sender's term; MessagePack by msgspec (wire.py)."""

from __future__ import annotations

from msgspec import Struct


class Config(Struct, frozen=True):
    """Who votes and who only learns, by name."""

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()

    def has(self, name: str) -> bool:
        """Whether it is a member of any kind."""
        return name in self.voters or name in self.learners


class Entry(Struct, frozen=True, array_like=True):
    """One entry of the log: `data` for the state machine, or a new `config`, or neither (a leader's first)."""

    index: int
    term: int
    data: bytes = b""
    config: Config | None = None


class Ask(Struct, frozen=True, tag=True, array_like=True):
    """A vote is asked for; with `pre` only whether it would be given.  `transfer`: the leader itself wishes it."""

    term: int
    last_index: int
    last_term: int
    pre: bool = False
    transfer: bool = False


class Vote(Struct, frozen=True, tag=True, array_like=True):
    """The answer to `Ask`."""

    term: int
    granted: bool
    pre: bool = False


class Append(Struct, frozen=True, tag=True, array_like=True):
    """Entries that follow `prev_index`, or none: then only that the leader leads.  `round` numbers its heartbeats."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


class Appended(Struct, frozen=True, tag=True, array_like=True):
    """The answer to `Append`: what matches, on disk; or, not `ok`, where the leader should look next."""

    term: int
    ok: bool
    index: int
    round: int


class Piece(Struct, frozen=True, tag=True, array_like=True):
    """A piece of a snapshot up to `index`; `last` with the final one."""

    term: int
    index: int
    index_term: int
    config: Config
    offset: int
    data: bytes
    last: bool
    round: int


class Taken(Struct, frozen=True, tag=True, array_like=True):
    """The answer to `Piece`: how many bytes of the snapshot up to `index` are there."""

    term: int
    index: int
    offset: int
    round: int


class TimeoutNow(Struct, frozen=True, tag=True, array_like=True):
    """The leader asks this member to follow it at once."""

    term: int


Message = Ask | Vote | Append | Appended | Piece | Taken | TimeoutNow
