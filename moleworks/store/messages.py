"""Raft messages between members.  Each carries its sender's term; encoded as MessagePack by msgspec (see wire.py).

Class names are tags on the wire.  They map to Raft's RPCs as each docstring says.
"""

from __future__ import annotations

from msgspec import Struct


class Config(Struct, frozen=True):
    """A cluster configuration: names of voters and of learners, which replicate the log without a vote."""

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()

    def has(self, name: str) -> bool:
        """Whether a voter or learner of this name exists."""
        return name in self.voters or name in self.learners


class Entry(Struct, frozen=True, array_like=True):
    """A log entry: `data` for the state machine, a new `config`, or neither (the no-op of a new leader)."""

    index: int
    term: int
    data: bytes = b""
    config: Config | None = None


class Ask(Struct, frozen=True, tag=True, array_like=True):
    """RequestVote; a pre-vote with `pre`.  `transfer`: the election was requested by the leader."""

    term: int
    last_index: int
    last_term: int
    pre: bool = False
    transfer: bool = False


class Vote(Struct, frozen=True, tag=True, array_like=True):
    """The reply to `Ask`."""

    term: int
    granted: bool
    pre: bool = False


class Append(Struct, frozen=True, tag=True, array_like=True):
    """AppendEntries: entries after `prev_index`, none in a heartbeat.  `round` numbers the heartbeats."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


class Appended(Struct, frozen=True, tag=True, array_like=True):
    """The reply to `Append`: up to which index the log matches, durably; if not `ok`, which index to try next."""

    term: int
    ok: bool
    index: int
    round: int


class Piece(Struct, frozen=True, tag=True, array_like=True):
    """InstallSnapshot: a chunk of the snapshot up to `index`; `last` marks the final chunk."""

    term: int
    index: int
    index_term: int
    config: Config
    offset: int
    data: bytes
    last: bool
    round: int


class Taken(Struct, frozen=True, tag=True, array_like=True):
    """The reply to `Piece`: how many bytes of the snapshot up to `index` have been received."""

    term: int
    index: int
    offset: int
    round: int


class TimeoutNow(Struct, frozen=True, tag=True, array_like=True):
    """Leadership transfer: the receiver starts an election immediately."""

    term: int


Message = Ask | Vote | Append | Appended | Piece | Taken | TimeoutNow
