"""The server for clients: all connections, their limits, and the handling of parsed requests."""

from __future__ import annotations

import logging
from collections.abc import Callable
from itertools import islice

from bridgesaddle.api import MS, Settings

from .attempt import Header
from .body import Body
from .checks import BadRequest, RequestValidator
from .client_connection import LINGER_TIMEOUT_NS, NEW_CONNECTION_GRACE_NS, ClientConnection
from .core import Core
from .departed_ids import DepartedIds
from .events import event
from .exchange import Exchange
from .memory import (
    CONNECTION_BYTES,
    MIN_READ_BYTES,
    READ_BUFFER_BYTES,
    REQUEST_BYTES,
    SMALL_BYTES,
    MemoryBudget,
)
from .stats import Stats
from .timers import Timer, Timers, now_ns
from .turns import TurnScheduler

log = logging.getLogger("gateway.server")

SPARE_CONNECTIONS = 16
"""Connections accepted above the limit so that their requests get a refusal instead of a close; also the number of
lingering connections that are kept open while the limit is exceeded."""
UNREAD_POLL_INTERVAL_NS = 30 * MS
"""Interval of the check whether a client has gone while its connection is not read.

Detection takes up to this long in addition to `HALF_CLOSED_GRACE_NS` of core.py.
"""
MIN_STALL_NS = 500 * MS
"""A connection in the middle of a message may be closed in favour of others after this long without data."""
MIN_BLOCKED_NS = 1000 * MS
"""A connection whose client reads nothing of its responses may be closed in favour of others after this long."""
MIN_CLOSED_BYTES = 2 * (CONNECTION_BYTES + REQUEST_BYTES + SMALL_BYTES)
"""A connection that holds no more than this is not closed for its memory alone: one with a small request holds half."""
MAX_STALLED_LOOKED_AT = 64
"""Connections that are looked at to find one that may be closed."""
READY_PATH = b"/health/ready"


class Server:
    """All client connections."""

    def __init__(self, core: Core, timers: Timers, settings: Settings, max_connections: int, stats: Stats,
                 memory_budget: MemoryBudget, turns: TurnScheduler) -> None:
        self.core = core
        self._timers = timers
        self._paused: dict[ClientConnection, None] = {}   # reading is paused
        self._polling = False
        self._lingering: dict[ClientConnection, Timer] = {}   # with the timer that ends it
        self._shutting_down = False
        self.memory_budget = memory_budget
        self.memory_refused = 0   # messages that were refused for want of memory
        self.memory_closed = 0   # connections that were closed in the middle of a message, as their memory was needed
        self.turns = turns
        self.stats = stats
        self.on_settings(settings)
        self.max_connections = max_connections
        self._connections: dict[ClientConnection, None] = {}
        self.set_write_buffer(memory_budget.max_bytes)
        self.on_taken: Callable[[int], None] = lambda size: None   # bytes have been taken in
        self._receiving: dict[ClientConnection, None] = {}   # in the middle of a message, longest without data first
        self._blocked: dict[ClientConnection, None] = {}   # with unsent responses, longest without progress first
        self._half_closed: dict[ClientConnection, None] = {}   # whose clients have ended their sending, in this order
        self._open_ids: set[bytes] = set()   # of open requests
        self._departed_ids = DepartedIds(memory_budget)
        self.draining = False   # connections are closed after their responses
        self.taken_over = False   # by another process at the same address, which accepts new clients

    def on_settings(self, settings: Settings) -> None:
        """Apply new settings to requests from now on."""
        self.stats.register_classes(item.name for item in settings.classes)
        self._validator = RequestValidator(settings)

    def new_connection(self) -> ClientConnection:
        """Create the protocol of a new connection."""
        return ClientConnection(self)

    def add_connection(self, connection: ClientConnection) -> None:
        """Add a connection; above the limit, close one that is between requests."""
        self._connections[connection] = None
        self.on_taken(CONNECTION_BYTES)
        connection.refuses_requests = self._shutting_down
        if len(self._connections) - len(self._lingering) > self.max_connections:
            now = now_ns()
            for other in self._connections:   # oldest first; a new one is about to send a request
                if other is not connection and now - other.state_since > NEW_CONNECTION_GRACE_NS \
                        and other.close_if_idle():
                    return
            if not self._close_half_closed() and not self._close_longest_stalled(connection, 0):
                connection.refuses_requests = True
            if len(self._connections) > self.max_connections + SPARE_CONNECTIONS:
                connection.close_now()

    def set_write_buffer(self, budget_bytes: int) -> None:
        """Set the size of the blocks that are written: a quarter of a connection's share of the memory."""
        share = budget_bytes // max(1, self.max_connections)
        self.write_buffer_bytes = max(MIN_READ_BYTES, min(READ_BUFFER_BYTES // 2, share // 4))

    def note_receiving(self, connection: ClientConnection) -> None:
        """Data has arrived on a connection: note whether it is in the middle of a message."""
        self._receiving.pop(connection, None)
        if connection.receiving:
            self._receiving[connection] = None

    def note_blocked(self, connection: ClientConnection, is_blocked: bool) -> None:
        """A connection's client has read a block of its responses, or all of them: note whether more are unsent."""
        self._blocked.pop(connection, None)
        if is_blocked:
            self._blocked[connection] = None

    def make_room(self, size: int, more_bytes: int, connection: ClientConnection) -> bool:
        """Make room for a message of this cost, of which so many bytes are not charged yet; false if there is none.

        Connections that have stalled longest are closed for it, in the middle of a message or of its response.
        """
        has_progressed = connection.has_progressed
        while not self.memory_budget.admits(size, more_bytes, has_progressed):
            if not self._close_longest_stalled(connection, SMALL_BYTES):
                self.memory_refused += 1
                return False
        return True

    def release_memory(self, size: int) -> int:
        """Close connections until they have given up so many bytes.

        First those whose clients may have left, then the longest stalled, then those that hold most.

        Returns how many bytes they held.
        """
        released_bytes = 0
        while released_bytes < size and (
                stalled_bytes := self._close_half_closed() or self._close_longest_stalled(None, SMALL_BYTES)):
            released_bytes += stalled_bytes
        if released_bytes < size:
            for other in sorted(self._connections, key=lambda item: item.held_bytes(), reverse=True):
                held_bytes = other.held_bytes()
                if held_bytes <= MIN_CLOSED_BYTES or released_bytes >= size:
                    break
                released_bytes += held_bytes
                self._close_for_memory(other)
        return released_bytes

    def _close_longest_stalled(self, requester: ClientConnection | None, min_bytes: int) -> int:
        """Close the connection that has stalled longest in a message or its response, of those that hold so much.

        Returns how many bytes it held, at least 1; 0 if there is none.
        """
        now = now_ns()
        for other in islice(self._receiving, MAX_STALLED_LOOKED_AT):
            if now - other.last_data_at < MIN_STALL_NS:
                break
            if other is not requester and not other.reading_paused and other.message_bytes >= min_bytes:
                return self._close_for_memory(other)
        for other in islice(self._blocked, MAX_STALLED_LOOKED_AT):
            if now - other.write_blocked_since < MIN_BLOCKED_NS:
                break
            if other is not requester:
                return self._close_for_memory(other)
        return 0

    def note_half_closed(self, connection: ClientConnection) -> None:
        """A connection's client has ended its sending: it may wait for responses, or have gone."""
        self._half_closed[connection] = None

    def _close_half_closed(self) -> int:
        """Close the connection whose client ended its sending first; returns how many bytes it held, at least 1."""
        return self._close_for_memory(next(iter(self._half_closed))) if self._half_closed else 0

    def _close_for_memory(self, connection: ClientConnection) -> int:
        """Refuse the message that a connection is in the middle of, or reset it; returns the bytes that it held."""
        held_bytes = connection.held_bytes()
        self._receiving.pop(connection, None)
        self._blocked.pop(connection, None)
        self._half_closed.pop(connection, None)
        self.memory_closed += 1
        if connection.close_for_memory():
            self._connections.pop(connection, None)   # its place is free now, before the loop reports its close
        return max(1, held_bytes)

    def on_reading_paused(self, connection: ClientConnection) -> None:
        """Reading from a connection has been paused: start to poll it."""
        self._paused[connection] = None
        if not self._polling:
            self._polling = True
            self._timers.after(UNREAD_POLL_INTERVAL_NS, self._poll_unread, None)

    def _poll_unread(self, _: None) -> None:
        for connection in list(self._paused):
            if not connection.poll_unread():
                self._paused.pop(connection, None)
        self._polling = bool(self._paused)
        if self._polling:
            self._timers.after(UNREAD_POLL_INTERVAL_NS, self._poll_unread, None)

    def remove_connection(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""
        self.turns.discard(connection)
        self._paused.pop(connection, None)
        self._connections.pop(connection, None)
        timer = self._lingering.pop(connection, None)
        if timer is not None:
            self._timers.discard(timer)
        self._receiving.pop(connection, None)
        self._blocked.pop(connection, None)
        self._half_closed.pop(connection, None)

    def on_linger(self, connection: ClientConnection) -> None:
        """Track a connection that waits for its client to close; their number is limited, as each uses a descriptor."""
        # A drain can't wait for the next regular sweep.
        self._lingering[connection] = self.sweep_after(LINGER_TIMEOUT_NS + MS, connection)
        if len(self._lingering) > SPARE_CONNECTIONS and len(self._connections) > self.max_connections:
            oldest = next(iter(self._lingering))
            self._timers.discard(self._lingering.pop(oldest))
            oldest.close_now()

    def shut_down(self) -> None:
        """The process is about to exit: handle no more requests; called repeatedly until no connection is open."""
        self._shutting_down = True
        for connection in list(self._connections):
            connection.shut_down()

    @property
    def ready(self) -> bool:
        """Whether clients should connect: a host has been listed once, and the gateway does not drain."""
        return self.core.has_hosts and not self.draining

    def handle_request(self, exchange: Exchange, method: bytes, target: bytes, headers: list[Header],
                       body: bytes, streamed_body: Body | None = None) -> None:
        """Handle a request, complete or with a body that is being streamed."""
        if target.split(b"?", 1)[0] == READY_PATH and method == b"GET":
            ready = self.ready or self.taken_over
            exchange.respond(200 if ready else 503, [], b"ready\n" if ready else b"not ready\n")
            return
        try:
            checked_request = self._validator.validate(method, target, headers, body, streamed_body)
        except BadRequest as error:
            event(log, "request_rejected", status=error.status, why=error.why)
            if streamed_body is not None:
                exchange.close = True
            exchange.respond(error.status, [], error.why.encode() + b"\n")
            return
        # Two requests with one id would have separate attempts.
        if checked_request.id in self._open_ids or checked_request.id in self._departed_ids:
            exchange.respond(400, [], b"a request with this id is open\n")
            return
        exchange.class_name = checked_request.class_name.decode()
        if exchange.connection.half_closed:
            event(log, "failed", request=checked_request.id, why="read after its client had ended its sending")
            exchange.failed()   # no attempt is made for a client that may have gone
            return
        if exchange.connection.refuses_requests:
            exchange.close = True
            event(log, "refused", request=checked_request.id, why="no room for its connection")
            exchange.refused(0)   # no attempt was made
            return
        if not self._admits_request(exchange, streamed_body is not None):
            event(log, "refused", request=checked_request.id, why="no room for another request")
            exchange.refused(0)   # no attempt was made
            return
        exchange.id = checked_request.id
        checked_request.unread_since = exchange.connection.request_unread_since()
        self._open_ids.add(checked_request.id)
        exchange.request = self.core.on_request(exchange, checked_request)

    def _admits_request(self, exchange: Exchange, is_streamed: bool) -> bool:
        """Whether there is room for a request.

        The last places are for short requests of clients with no other open one, as uploads and clients with several
        requests hold connections to hosts for long.
        """
        is_first = exchange.connection.is_first(exchange)
        if (is_streamed or not is_first) and self.core.is_crowded:
            return False
        if is_first:
            return self.make_room(SMALL_BYTES, REQUEST_BYTES, exchange.connection)
        return self.memory_budget.admits(SMALL_BYTES + 1, REQUEST_BYTES)

    def release_id(self, request_id: bytes) -> None:
        """A request has ended; its id may be used again."""
        self._open_ids.discard(request_id)

    def keep_departed_id(self, request_id: bytes) -> None:
        """The client of a request that may have run, or may still run, has left: its id must not run again."""
        self._departed_ids.add(request_id)

    def sweep(self, now: int) -> None:
        """Check the timeouts of all connections."""
        for connection in list(self._connections):
            connection.sweep(now)
        self._departed_ids.sweep(now)
        self.memory_budget.streams = sum(connection.streams for connection in self._connections
                                         if not connection.between_requests())

    def sweep_after(self, delay_ns: int, connection: ClientConnection) -> Timer:
        """Check the timeouts of one connection ahead of the next regular sweep."""
        return self._timers.after(delay_ns, lambda _: connection.sweep(now_ns()), None)

    @property
    def pending(self) -> int:
        """Number of open requests."""
        return len(self._open_ids)

    @property
    def receiving(self) -> int:
        """Number of connections with an open or partly received request."""
        return sum(1 for connection in self._connections if not connection.between_requests())

    @property
    def responses_in_progress(self) -> int:
        """Number of connections with a response that has begun and that the client's machine does not have whole."""
        return sum(1 for connection in self._connections if connection.is_responding())

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)
