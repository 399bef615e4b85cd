"""What the kernel holds of a connection that the loop has not read yet.

A close over unread bytes is a reset, and what is written to a connection whose other side has ended is lost: both
are asked about in the very moment that decides.
"""

from __future__ import annotations

import asyncio
import os
import select

from .timers import now_ns

LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR
"""The other side has ended its sending, behind whatever is still unread."""
BROKEN = select.POLLHUP | select.POLLERR
"""The connection is gone both ways."""


def waiting(transport: asyncio.BaseTransport) -> int:
    """What `poll` says of an open connection: 0 where nothing waits, neither bytes nor an end."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
    return sum(events for _, events in poll.poll(0))


AT_ONCE = 256 * 1024
"""Most that is read ahead of the loop in one call, bytes."""


def read_now(transport: asyncio.BaseTransport) -> bytes:
    """What waits at an open connection, ahead of the loop's turn; nothing where nothing does or it has ended.

    An end or an error is left to the loop, which sees an end in either case.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return b""
    try:
        return os.read(sock.fileno(), AT_ONCE)
    except OSError:
        return b""


def write_within(fd: int, data: bytes, until_ns: int) -> int:
    """Write to a connection of which nothing is buffered, unless the time is over; how many bytes were taken.

    -1 where it is over.  0 where the connection takes none now or is broken: its transport meets the same and tells.
    Nothing stands between the look at the clock and the call.
    """
    try:
        return os.write(fd, data) if now_ns() <= until_ns else -1
    except OSError:
        return 0
