"""Listeners for clients and operators.

They call `accept` themselves: on EMFILE and ENFILE the event loop's library accepts and closes all pending
connections, so that those clients would be disconnected without a response.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from .events import event
from .transient import ACCEPT_ERRNOS, accept_pending, bind_socket, retry_at_startup

log = logging.getLogger("gateway.listener")

ACCEPT_BACKLOG = 1024
"""Length of the kernel's queue of pending connections."""
ACCEPTS_PER_TURN = 32
"""Connections accepted in one turn of the event loop, so that open ones are not delayed by many new ones."""
ACCEPT_RETRY_DELAY_S = 0.01
"""Delay after an `accept` that failed with a local error."""


class Listener:
    """Listens at an address and creates a protocol for each connection."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: tuple[str, int],
                 protocol: Callable[[], asyncio.BaseProtocol], shared: bool) -> None:
        """Listen at `address`; if `shared`, another process of this gateway may do so too.

        Raises OSError if the address can't be bound.
        """
        self._loop = loop
        self._protocol = protocol
        self._pending: set[asyncio.Task[object]] = set()   # accepted, transports not yet created
        self._resume_timer: asyncio.TimerHandle | None = None
        self._socket = bind_socket(address, shared)
        try:
            self._socket.listen(ACCEPT_BACKLOG)
            loop.add_reader(self._socket, self._accept)
        except OSError:
            self._socket.close()
            raise

    @property
    def address(self) -> tuple[str, int]:
        """The bound address."""
        host, port = self._socket.getsockname()[:2]
        return host, port

    @property
    def has_pending(self) -> bool:
        """Whether accepted connections are still without a protocol."""
        return bool(self._pending)

    def close(self) -> None:
        """Stop listening; pending connections are accepted first, as the close would reset them."""
        if self._resume_timer is not None:
            self._resume_timer.cancel()
        self._loop.remove_reader(self._socket)
        for connection in accept_pending(self._socket):
            self._open(connection)
        self._socket.close()

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno not in ACCEPT_ERRNOS:   # otherwise one connection was lost; the next may be usable
                    self._pause(error)
                    return
            else:
                self._open(connection)

    def _pause(self, error: OSError) -> None:
        """Stop accepting for a while; otherwise the event loop would call `_accept` again immediately."""
        event(log, "accept_failed", errno=error.errno, why=error.strerror)
        self._loop.remove_reader(self._socket)
        self._resume_timer = self._loop.call_later(ACCEPT_RETRY_DELAY_S, self._resume)

    def _resume(self) -> None:
        self._resume_timer = None
        self._loop.add_reader(self._socket, self._accept)

    def _open(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        task: asyncio.Task[object] = self._loop.create_task(
            self._loop.connect_accepted_socket(self._protocol, connection))
        self._pending.add(task)
        task.add_done_callback(self._on_opened)

    def _on_opened(self, task: asyncio.Task[object]) -> None:
        self._pending.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            event(log, "connection_failed", why=repr(error))


async def listen_with_retry(loop: asyncio.AbstractEventLoop, address: tuple[str, int],
                            protocol: Callable[[], asyncio.BaseProtocol], shared: bool,
                            wanted: Callable[[], bool]) -> Listener:
    """Create a listener, with retries while `wanted()` is true; raises OSError if it stays impossible."""
    async def create() -> Listener:
        return Listener(loop, address, protocol, shared)
    return await retry_at_startup(create, wanted)
