"""The body of a long request on its way from a client to a host."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

MAX_REPLAY_BYTES = 64 * 1024
"""So much of a body is held to be sent again; bytes.  Shorter ones are never streamed."""


PIECE = 64 * 1024
"""Most that is read in one call, bytes."""
LEAST = 8 * 1024
"""And where many streams share the room."""
HOLDS = 4
"""Pieces that a stream holds at most: one that is read, one to be written, and their copies on the way."""


class StreamBudget:
    """What long messages on their way may hold together, in bytes."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.streams = 0

    def read_bytes(self) -> int:
        """Most that a stream may read in one call: the more there are, the less."""
        return max(LEAST, min(PIECE, self.max_bytes // (HOLDS * max(1, self.streams))))

    @property
    def full(self) -> bool:
        """Whether there is no room for one more long body, nor for its start, which is held."""
        return (MAX_REPLAY_BYTES + HOLDS * LEAST) * (self.streams + 1) > self.max_bytes


class Sink(Protocol):
    """Where a body goes: a connection to a host."""

    def write_body(self, data: bytes) -> None:
        """Some more of the body."""

    def finish_body(self) -> None:
        """The body is whole."""

    @property
    def write_blocked(self) -> bool:
        """Whether the host does not take what it is given."""


def _nothing() -> None:
    """Nobody is to be told."""


class Body:
    """Holds the start until more has come than is kept: from then on it is bound to one attempt."""

    def __init__(self, length: int | None, start: bytes, steer: Callable[[], None]) -> None:
        self.length = length          # None: told by chunks
        self.replay_buffer = bytearray(start)  # all that has come, as long as it may be sent again
        self.committed = False
        self.complete = False
        self.over = False             # nobody wants it any more: what still comes is thrown away
        self.on_committed: Callable[[], None] = _nothing
        self._sink: Sink | None = None
        self._steer = steer           # the client may be read again, or no longer

    @property
    def full(self) -> bool:
        """Whether no more is wanted now."""
        if self.over:
            return False
        return self._sink.write_blocked if self._sink is not None else len(self.replay_buffer) >= MAX_REPLAY_BYTES

    def feed(self, data: bytes) -> None:
        """Some more has come."""
        if self.over:
            return
        sink = self._sink
        if self.committed and sink is None:
            return   # its attempt has just ended: so will the request
        if sink is None or (not self.committed and len(self.replay_buffer) + len(data) <= MAX_REPLAY_BYTES):
            self.replay_buffer += data
        elif not self.committed:
            self.committed = True
            self.replay_buffer.clear()
            self.on_committed()
        if sink is not None:
            sink.write_body(data)

    def finish(self) -> None:
        """It has come whole."""
        self.complete = True
        if self._sink is not None and not self.over:
            self._sink.finish_body()

    def attach(self, sink: Sink) -> bytes:
        """An attempt begins; returns what it has to send first."""
        self._sink = sink
        return bytes(self.replay_buffer)

    def detach(self, sink: Sink) -> None:
        """An attempt has ended."""
        if self._sink is sink:
            self._sink = None
            self._steer()

    def steer(self) -> None:
        """The host takes more again, or no longer."""
        self._steer()

    def drop(self) -> None:
        """The request is over."""
        if not self.over:
            self.over = True
            self.on_committed = _nothing
            self.replay_buffer.clear()
            self._sink = None
            self._steer()
