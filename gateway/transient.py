"""System calls that fail for a moment: which errors pass by themselves, and the calls that are made again."""

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
"""This machine lacks something for the moment; nobody else is to blame."""
ACCEPT_ERRNOS = frozenset((errno.ECONNABORTED, errno.EINTR, errno.EPROTO, errno.EPERM, errno.ENETDOWN,
                           errno.ENOPROTOOPT, errno.EHOSTDOWN, errno.ENONET, errno.EHOSTUNREACH, errno.EOPNOTSUPP,
                           errno.ENETUNREACH))
"""`accept` lost one connection; the next may be whole (accept(2))."""
DISK = frozenset((errno.ENOSPC, errno.EIO, errno.EDQUOT))
FIRST_S = 0.02
LONGEST_S = 0.2
START_S = 8.0
"""A start goes on trying for so long: it is to be ready within 10 s."""
TAKEN_S = 2.0
"""An address that is taken may be that of a process that is just ending; for so long it is waited for."""
MOST_LOST = 256
"""Failures of `accept` after which nothing more is taken."""

Result = TypeVar("Result")


def pauses(most_s: float) -> Iterator[float]:
    """Doubling pauses, seconds, so many of them as fit into `most_s`."""
    pause, left = FIRST_S, most_s
    while pause <= left:
        yield pause
        left -= pause
        pause = min(2 * pause, LONGEST_S)


def passes(error: OSError, waited_s: float) -> bool:
    """Whether a start that has waited so long tries once more."""
    if error.errno == errno.EADDRINUSE:
        return waited_s < TAKEN_S
    return error.errno in LOCAL_ERRNOS or error.errno in DISK


async def retry_at_startup(call: Callable[[], Awaitable[Result]], wanted: Callable[[], bool]) -> Result:
    """Make a call of the start until it succeeds.

    Raises OSError: what does not pass, does not pass in time, or is wanted no longer.
    """
    waited = 0.0
    for pause in pauses(START_S):
        try:
            return await call()
        except OSError as error:
            if not wanted() or not passes(error, waited):
                raise
            event(log, "call_failed", errno=error.errno, why=error.strerror)
        await asyncio.sleep(pause)
        waited += pause
    return await call()


def persistently_at_once(call: Callable[[], Result], most_s: float = START_S) -> Result:
    """The same where no loop runs yet."""
    waited = 0.0
    for pause in pauses(most_s):
        try:
            return call()
        except OSError as error:
            if not passes(error, waited):
                raise
        time.sleep(pause)
        waited += pause
    return call()


def bind_socket(address: tuple[str, int], shared: bool) -> socket.socket:
    """A socket that listens nowhere yet; `shared`: another process of this gateway may listen there too."""
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
    """All connections that wait at a listener; those that were lost on the way are passed over."""
    found = []
    lost = 0
    while lost < MOST_LOST:
        try:
            found.append(listener.accept()[0])
        except BlockingIOError:
            break
        except OSError as error:
            if error.errno not in ACCEPT_ERRNOS and error.errno not in LOCAL_ERRNOS:
                break
            lost += 1
    return found
