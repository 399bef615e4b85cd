"""Transient errors of system calls: which errors are transient, and calls that are retried."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
import time
from collections.abc import Awaitable, Callable, Iterator
from typing import TypeVar

from .events import event

log = logging.getLogger("gateway.transient")

LOCAL_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN, errno.EINTR,
                          errno.EADDRNOTAVAIL))
"""Local errors: this machine temporarily lacks a resource; the remote side is not the cause."""
ACCEPT_ERRNOS = frozenset((errno.ECONNABORTED, errno.EINTR, errno.EPROTO, errno.EPERM, errno.ENETDOWN,
                           errno.ENOPROTOOPT, errno.EHOSTDOWN, errno.ENONET, errno.EHOSTUNREACH, errno.EOPNOTSUPP,
                           errno.ENETUNREACH))
"""Errors of `accept` that concern one connection only; the next connection may be intact (accept(2))."""
DISK_ERRNOS = frozenset((errno.ENOSPC, errno.EIO, errno.EDQUOT))
MIN_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.2
MAX_STARTUP_RETRY_S = 8.0
"""Maximum total delay of the retries of one startup call: the process has to be ready within 10 s.  The wait for the
first list (program.FIRST_LIST_WAIT_NS) is not part of it."""
MAX_ADDRESS_IN_USE_S = 2.0
"""Maximum total delay of retries while an address is in use: a process that is ending may still hold it."""
MAX_ACCEPT_FAILURES = 256
"""Failures of `accept` after which no more pending connections are accepted."""

Result = TypeVar("Result")


def backoff_delays(max_total_s: float) -> Iterator[float]:
    """Yield doubling backoff delays, in seconds, whose sum is at most `max_total_s`."""
    delay_s, left_s = MIN_BACKOFF_S, max_total_s
    while delay_s <= left_s:
        yield delay_s
        left_s -= delay_s
        delay_s = min(2 * delay_s, MAX_BACKOFF_S)


def is_retryable(error: OSError, waited_s: float) -> bool:
    """Return whether a startup call whose retries have taken `waited_s` so far is tried again."""
    if error.errno == errno.EADDRINUSE:
        return waited_s < MAX_ADDRESS_IN_USE_S
    return error.errno in LOCAL_ERRNOS or error.errno in DISK_ERRNOS


async def retry_at_startup(call: Callable[[], Awaitable[Result]], wanted: Callable[[], bool]) -> Result:
    """Retry a startup call until it succeeds.

    Raises OSError if the error is not transient, persists too long, or the result is no longer wanted.
    """
    waited_s = 0.0
    for delay_s in backoff_delays(MAX_STARTUP_RETRY_S):
        try:
            return await call()
        except OSError as error:
            if not wanted() or not is_retryable(error, waited_s):
                raise
            event(log, "call_failed", errno=error.errno, why=error.strerror)
        await asyncio.sleep(delay_s)
        waited_s += delay_s
    return await call()


def retry_before_loop(call: Callable[[], Result], max_total_s: float = MAX_STARTUP_RETRY_S) -> Result:
    """Like `retry_at_startup`, for calls made before an event loop runs."""
    waited_s = 0.0
    for delay_s in backoff_delays(max_total_s):
        try:
            return call()
        except OSError as error:
            if not is_retryable(error, waited_s):
                raise
        time.sleep(delay_s)
        waited_s += delay_s
    return call()


def bind_socket(address: tuple[str, int], shared: bool) -> socket.socket:
    """Bind a socket without listening yet; if `shared`, another process of this gateway may use the same address."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


def accept_pending(listener: socket.socket) -> list[socket.socket]:
    """Accept all pending connections of a listener; connections that were lost before that are skipped."""
    connections = []
    failures = 0
    while failures < MAX_ACCEPT_FAILURES:
        try:
            connections.append(listener.accept()[0])
        except BlockingIOError:
            break
        except OSError as error:
            if error.errno not in ACCEPT_ERRNOS and error.errno not in LOCAL_ERRNOS:
                break
            failures += 1
    return connections
