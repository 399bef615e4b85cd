"""Direct system calls on sockets, for data and state that the event loop has not read yet; the process's start time.

Closing a connection with unread bytes resets it, and data written to a connection that the peer has closed is lost:
the state of the connection is therefore queried immediately before each such decision.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import os
import select
import socket
import struct
import termios
import time

from .timers import now_ns

DEFAULT_AGE_NS = 250_000_000
"""Assumed age of the process at startup, if the kernel does not report it."""
MAX_AGE_NS = 60 * 1_000_000_000
"""A greater age of the process at startup is taken for an error in reading it."""


def process_started_ns() -> int:
    """Return when the kernel started this process, on the monotonic clock.

    Field 22 of /proc/self/stat (proc(5)) has the start in clock ticks since boot.
    """
    now = now_ns()
    try:
        with open("/proc/self/stat", "rb") as file:
            fields = file.read().rpartition(b")")[2].split()
        started_after_boot_ns = int(fields[19]) * 1_000_000_000 // os.sysconf("SC_CLK_TCK")
        age_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME) - started_after_boot_ns
    except (OSError, ValueError, IndexError):
        age_ns = DEFAULT_AGE_NS
    return now - (age_ns if 0 <= age_ns < MAX_AGE_NS else DEFAULT_AGE_NS)


PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
"""The peer has shut down its sending side; unread data may still precede the end."""
CONNECTION_LOST_EVENTS = select.POLLHUP | select.POLLERR
"""The connection is closed in both directions."""


def pending_events(transport: asyncio.BaseTransport) -> int:
    """Return the `poll` events of an open connection; 0 if neither bytes nor an end of the stream are pending."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
    return sum(events for _, events in poll.poll(0))


def unread_bytes(transport: asyncio.BaseTransport) -> int | None:
    """Return how many bytes of an open connection wait unread in the kernel (FIONREAD, tcp(7)); None if unknown."""
    return _queued_bytes(transport, termios.FIONREAD)


SIOCOUTQNSD = 0x894B
"""The request of `ioctl` for a socket's bytes that have not been sent yet (linux/sockios.h)."""


def unconfirmed_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how many written bytes of a connection its peer's machine has not confirmed (SIOCOUTQ, tcp(7)).

    They may have come, or may come yet, unless the connection is reset.  0 if it is closing, or the kernel does not
    tell.
    """
    return 0 if transport.is_closing() else _queued_bytes(transport, termios.TIOCOUTQ) or 0


def unsent_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how many written bytes of a connection the kernel has not sent; 0 if it is closing or not told."""
    return 0 if transport.is_closing() else _queued_bytes(transport, SIOCOUTQNSD) or 0


def _queued_bytes(transport: asyncio.BaseTransport, request: int) -> int | None:
    """Return the answer to an `ioctl` request for the bytes in a queue of an open connection; None if unknown."""
    try:
        answer = fcntl.ioctl(transport.get_extra_info("socket").fileno(), request, bytes(4))
    except OSError:
        return None
    return int(struct.unpack("i", answer)[0])


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Have the close of a connection reset it: the kernel drops what it has not sent (SO_LINGER, socket(7)).

    Nothing is done if it is closing already.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        with contextlib.suppress(OSError):   # the connection is closed all the same
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


MAX_READ_BYTES = 28 * 1024
"""Maximum that one call reads ahead of the event loop; memory for as much is allocated even if nothing is pending."""


def read_available(transport: asyncio.BaseTransport) -> bytes:
    """Read the pending bytes of an open connection ahead of the event loop; empty if there are none or it has ended.

    The end of the stream or an error is left to the event loop, which sees an end in either case.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return b""
    try:
        return os.read(sock.fileno(), MAX_READ_BYTES)
    except OSError:
        return b""


def write_before(fd: int, data: bytes, until_ns: int) -> int:
    """Write to a connection without buffered data, unless the time is past; return the number of bytes written.

    Returns -1 if the time is past.  Returns 0 if the connection accepts no data now or is broken: its transport gets
    the same error and reports it.  No other code runs between reading the clock and the system call.
    """
    try:
        return os.write(fd, data) if now_ns() <= until_ns else -1
    except OSError:
        return 0
