"""Listeners, for clients and for operators.

They accept by themselves: the event loop's library gets out of EMFILE and ENFILE by accepting and closing all that
wait, and each of those clients would be cut off without a word.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from .events import event
from .transient import ACCEPT_ERRNOS, accept_pending, bind_socket, retry_at_startup

log = logging.getLogger("gateway.listener")

BACKLOG = 1024
"""Connections that may wait to be accepted."""
AT_ONCE = 32
"""Connections taken in one turn of the loop: what is open must not wait for a crowd of new ones."""
PAUSE_S = 0.01
"""After a call that failed for want of something on this machine the next one is made so long later."""


class Listener:
    """Listens at an address and hands each connection to a protocol of its own."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: tuple[str, int],
                 protocol: Callable[[], asyncio.BaseProtocol], shared: bool) -> None:
        """`shared`: another process of this gateway may listen there too.  Raises OSError: the address can't be had."""
        self._loop = loop
        self._protocol = protocol
        self._opening: set[asyncio.Task[object]] = set()   # accepted, their transports not yet made
        self._paused: asyncio.TimerHandle | None = None
        self._socket = bind_socket(address, shared)
        try:
            self._socket.listen(BACKLOG)
            loop.add_reader(self._socket, self._accept)
        except OSError:
            self._socket.close()
            raise

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        host, port = self._socket.getsockname()[:2]
        return host, port

    @property
    def has_pending(self) -> bool:
        """Whether connections have been accepted that no protocol has yet."""
        return bool(self._opening)

    def close(self) -> None:
        """Listen no longer; what waits is accepted first, as the close would reset it unheard."""
        if self._paused is not None:
            self._paused.cancel()
        self._loop.remove_reader(self._socket)
        for connection in accept_pending(self._socket):
            self._open(connection)
        self._socket.close()

    def _accept(self) -> None:
        for _ in range(AT_ONCE):
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno not in ACCEPT_ERRNOS:   # else one connection was lost, and the next may be whole
                    self._pause(error)
                    return
            else:
                self._open(connection)

    def _pause(self, error: OSError) -> None:
        """What waits goes on waiting: the loop would ring at once again."""
        event(log, "accept_failed", errno=error.errno, why=error.strerror)
        self._loop.remove_reader(self._socket)
        self._paused = self._loop.call_later(PAUSE_S, self._resume)

    def _resume(self) -> None:
        self._paused = None
        self._loop.add_reader(self._socket, self._accept)

    def _open(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        task: asyncio.Task[object] = self._loop.create_task(
            self._loop.connect_accepted_socket(self._protocol, connection))
        self._opening.add(task)
        task.add_done_callback(self._opened)

    def _opened(self, task: asyncio.Task[object]) -> None:
        self._opening.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            event(log, "connection_failed", why=repr(error))


async def listen_with_retry(loop: asyncio.AbstractEventLoop, address: tuple[str, int],
                    protocol: Callable[[], asyncio.BaseProtocol], shared: bool,
                    wanted: Callable[[], bool]) -> Listener:
    """A listener, tried for again while that is `wanted`; raises OSError where it stays impossible."""
    async def begin() -> Listener:
        return Listener(loop, address, protocol, shared)
    return await retry_at_startup(begin, wanted)
