"""Estimates when a client has written the last byte of a long body.

A request's time runs from its last byte, but the gateway sees only what it reads.  While a host takes no data, reading
pauses, and the rest of the body may have been in the buffers of the two kernels for long.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

MAX_CLIENT_SEND_BUFFER_BYTES = 4 * 1024 * 1024
"""Most bytes that a client's kernel holds back after the client has written them: Linux's default for tcp_wmem."""
SAMPLE_SPACING_BYTES = 256 * 1024
"""Least progress between two samples of a body of unknown length; bounds their number."""


class _Sample(NamedTuple):
    at: int
    arrived: int


class LastByteEstimate:
    """The earliest time at which the last byte of one body may have been written.

    A client that has bytes left to write fills its send buffer: the body was not complete at a time at which its length
    exceeds what had arrived by then and what the send buffer holds.
    """

    def __init__(self, length: int | None) -> None:
        self._length = length   # None: chunked
        self._samples: deque[_Sample] = deque()   # of a chunked body, oldest first
        self.not_before = 0
        """The last byte has not been written before this time, monotonic ns."""

    def observe(self, now: int, received: int, unread: int) -> None:
        """Record at `now` how many bytes of the body have been read, and how many wait unread, at most."""
        arrived = received + unread
        if self._length is not None:
            if arrived + MAX_CLIENT_SEND_BUFFER_BYTES < self._length:
                self.not_before = now
            return
        while self._samples and self._samples[0].arrived + MAX_CLIENT_SEND_BUFFER_BYTES < received:
            self.not_before = self._samples.popleft().at
        if not self._samples or arrived >= self._samples[-1].arrived + SAMPLE_SPACING_BYTES:
            self._samples.append(_Sample(now, arrived))
