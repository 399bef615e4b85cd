"""What the kernel holds of a connection that the loop has not read yet.

A close over unread bytes is a reset, and what is written to a connection whose other side has ended is lost: both
are asked about in the very moment that decides.
"""

from __future__ import annotations

import asyncio
import os
import select
import time

from .timers import now_ns

STARTING = 250_000_000
"""What a process may have needed to come so far, ns, where the kernel does not tell."""
STARTING_MOST = 60 * 1_000_000_000
"""A process that began to serve later than this after its start would be an error of reading, ns."""


def process_started_ns() -> int:
    """When the kernel started this process, by the monotonic clock (proc(5), field 22: in clock ticks since the boot).
    """
    now = now_ns()
    try:
        with open("/proc/self/stat", "rb") as file:
            fields = file.read().rpartition(b")")[2].split()
        since_boot = int(fields[19]) * 1_000_000_000 // os.sysconf("SC_CLK_TCK")
        age = time.clock_gettime_ns(time.CLOCK_BOOTTIME) - since_boot
    except (OSError, ValueError, IndexError):
        age = STARTING
    return now - (age if 0 <= age < STARTING_MOST else STARTING)


PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
"""The other side has ended its sending, behind whatever is still unread."""
CONNECTION_LOST_EVENTS = select.POLLHUP | select.POLLERR
"""The connection is gone both ways."""


def pending_events(transport: asyncio.BaseTransport) -> int:
    """What `poll` says of an open connection: 0 where nothing waits, neither bytes nor an end."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
    return sum(events for _, events in poll.poll(0))


AT_ONCE = 256 * 1024
"""Most that is read ahead of the loop in one call, bytes."""


def read_available(transport: asyncio.BaseTransport) -> bytes:
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


def write_before(fd: int, data: bytes, until_ns: int) -> int:
    """Write to a connection of which nothing is buffered, unless the time is over; how many bytes were taken.

    -1 where it is over.  0 where the connection takes none now or is broken: its transport meets the same and tells.
    Nothing stands between the look at the clock and the call.
    """
    try:
        return os.write(fd, data) if now_ns() <= until_ns else -1
    except OSError:
        return 0
