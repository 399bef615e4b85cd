"""One attempt at a host: its message, deadlines and the receivers of its result."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple, Protocol

from bridgesaddle.api import MS, HostId, Outcome

from .body import Body
from .memory import SMALL_BYTES
from .timers import NO_DEADLINE_NS, Timer

if TYPE_CHECKING:
    from .upstream import Connection

Header = tuple[bytes, bytes]


class Response(NamedTuple):
    """A complete response of a host, or the head of a streamed one with an empty body."""

    status: int
    headers: list[Header]
    body: bytes


class Receiver(Protocol):
    """Receives a streamed response in parts."""

    def begin_response(self, attempt: Attempt, response: Response, length: int | None) -> bool:
        """The response begins; `length` is None if it is unknown.  Returns False if it is no longer wanted."""

    def write_body(self, attempt: Attempt, data: bytes) -> None:
        """Handle a part of the body; `attempt.pause` pauses reading."""

    def may_write(self) -> bool:
        """Whether the response would be written now: it is the next one of its client, and the client reads."""

    def on_response_delayed(self, attempt: Attempt) -> None:
        """The host has answered, but there is no memory to read its response."""


class Attempt:
    """One attempt at one host, or a probe.

    `on_end` is called once, with the response if the outcome is OK and it was not streamed.  A streamed response goes
    to `receiver`.
    """

    __slots__ = ("answered_at", "begin_by", "body", "checked_at", "client_left", "connection", "done", "expires_at",
                 "host", "load_report", "number", "on_end", "payload", "probe", "receiver", "response_started_at",
                 "stall_before_ns", "started_at", "timers")

    def __init__(self, host: HostId, number: int, payload: tuple[bytes, bytes], started_at: int, expires_at: int,
                 on_end: Callable[[Attempt, Outcome, Response | None], None], probe: bool = False,
                 receiver: Receiver | None = None, body: Body | None = None, begin_by: int = NO_DEADLINE_NS,
                 client_left: Callable[[], bool] = lambda: False) -> None:
        self.host = host
        self.client_left = client_left   # whether its client has left; called before it is written
        self.stall_before_ns = 0   # total time of event-loop stalls before it
        self.begin_by = begin_by   # end of `write_within_ns`: it is stopped if its last byte is not written
        self.probe = probe
        self.receiver = receiver
        self.body = body   # set if it is streamed
        self.response_started_at = 0   # when its streamed response began
        self.answered_at = 0   # when its response had to wait for memory
        self.number = number
        self.payload = payload   # the head without its timeout header and empty line, and the body
        self.started_at = started_at
        self.checked_at = started_at   # last check whether it may be sent
        self.expires_at = expires_at
        self.on_end = on_end
        self.connection: Connection | None = None
        self.done = False
        self.timers: list[Timer] = []   # discarded when it ends
        self.load_report = b""   # the load report in its response, unparsed

    def message(self, now: int) -> bytes:
        """The bytes to send; the timeout header has the time that the gateway waits from `now` on."""
        head, body = self.payload
        return b"%bX-Timeout-Ms: %d\r\n\r\n%b" % (head, max(1, (self.expires_at - now) // MS), body)

    def is_long(self) -> bool:
        """Whether its request is longer than a small one, so that the kernel may hold its end for long."""
        return self.body is not None or len(self.payload[1]) > SMALL_BYTES

    def pause(self, paused: bool) -> None:
        """Pause or resume reading the response."""
        if self.connection is not None:
            self.connection.pause(paused)

    def may_have_run(self) -> bool:
        """Whether its host may have the request's last byte: it has been written to the socket."""
        return self.connection is not None and self.connection.written

    def has_arrived(self) -> bool:
        """Whether its host's machine surely has the request's last byte: it has confirmed it."""
        return self.connection is not None and self.connection.has_arrived()

    def end(self, outcome: Outcome, response: Response | None = None) -> None:
        """Report the outcome, once."""
        if not self.done:
            self.done = True
            self.connection = None
            self.payload = (b"", b"")   # the end may be handled later: free the body
            self.on_end(self, outcome, response)
