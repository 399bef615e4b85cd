"""What the kernel holds of a connection that the loop has not read yet.

A close over unread bytes is a reset, and what is written to a connection whose other side has ended is lost: both
are asked about in the very moment that decides.
"""

from __future__ import annotations

import asyncio
import select

LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR
"""The other side has ended its sending, behind whatever is still unread."""
BROKEN = select.POLLHUP | select.POLLERR
"""The connection is gone both ways."""


def waiting(transport: asyncio.BaseTransport) -> int:
    """What `poll` says of an open connection: 0 where nothing waits, neither bytes nor an end."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
    return sum(events for _, events in poll.poll(0))
