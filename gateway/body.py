"""Streaming of a request body from a client to a host."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

MAX_BODY_BYTES = 32 * 1024 * 1024
"""Longest request body, and largest Content-Length of a response; a response without one has no maximum."""
MAX_REPLAY_BYTES = 64 * 1024
"""Size up to which the start of a body is kept while an attempt sends it, so that it can be sent again; see `Body`.
Bodies up to this length are never streamed, as `upstream.MAX_BUFFERED_BODY_BYTES` is equal."""


class Sink(Protocol):
    """Destination of a body: a connection to a host."""

    def write_body(self, data: bytes) -> None:
        """Send a part of the body."""

    def finish_body(self) -> None:
        """The body is complete."""

    @property
    def write_blocked(self) -> bool:
        """Whether the host's socket takes no more data."""


def _no_op() -> None:
    """A callback that does nothing."""


def _not_complete(now: int) -> int:
    """The default of `Body.may_be_complete_since`: nothing of the body waits unread."""
    return now


class Body:
    """A streamed body.

    Its start is kept for a retry until data arrives during an attempt that makes it longer than `MAX_REPLAY_BYTES`;
    from then on it is committed to that attempt.  Until then, data that arrives between attempts is always kept.
    """

    def __init__(self, length: int | None, start: bytes, update_reading: Callable[[], None]) -> None:
        self.length = length   # None: chunked
        self.replay_buffer = bytearray(start)   # all data so far, until committed
        self.committed = False
        self.complete = False
        self.dropped = False   # further data is discarded
        self.on_committed: Callable[[], None] = _no_op
        # The earliest time at which the client may have written the last byte, given the current time, ns.
        self.may_be_complete_since: Callable[[int], int] = _not_complete
        self._sink: Sink | None = None
        self._update_reading = update_reading   # called when reading from the client may pause or resume

    @property
    def full(self) -> bool:
        """Whether reading from the client must pause."""
        if self.dropped:
            return False
        return self._sink.write_blocked if self._sink is not None else len(self.replay_buffer) >= MAX_REPLAY_BYTES

    def feed(self, data: bytes) -> None:
        """Handle a part of the body."""
        if self.dropped:
            return
        sink = self._sink
        if self.committed and sink is None:
            return   # its attempt has just ended, and the request is about to
        if sink is None or (not self.committed and len(self.replay_buffer) + len(data) <= MAX_REPLAY_BYTES):
            self.replay_buffer += data
        elif not self.committed:
            self.committed = True
            self.replay_buffer.clear()
            self.on_committed()
        if sink is not None:
            sink.write_body(data)

    def finish(self) -> None:
        """The last byte has arrived."""
        self.complete = True
        if self._sink is not None and not self.dropped:
            self._sink.finish_body()

    def attach(self, sink: Sink) -> bytes:
        """An attempt begins; returns the data that it must send first."""
        self._sink = sink
        return bytes(self.replay_buffer)

    def detach(self, sink: Sink) -> None:
        """An attempt has ended."""
        if self._sink is sink:
            self._sink = None
            self._update_reading()

    def update_reading(self) -> None:
        """The host's socket takes data again, or no longer."""
        self._update_reading()

    def drop(self) -> None:
        """The request has ended: discard the body."""
        if not self.dropped:
            self.dropped = True
            self.on_committed = _no_op
            self.may_be_complete_since = _not_complete
            self.replay_buffer.clear()
            self._sink = None
            self._update_reading()
            self._update_reading = _no_op   # refers to the client's connection, as `may_be_complete_since` did
