"""One attempt at a host: what is sent, by when, and who hears what came of it."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple, Protocol

from bridgesaddle.api import MS, HostId, Outcome

from .body import Body
from .timers import NO_DEADLINE_NS

if TYPE_CHECKING:
    from .upstream import Connection

Header = tuple[bytes, bytes]


class Response(NamedTuple):
    """A whole answer of a host."""

    status: int
    headers: list[Header]
    body: bytes


class Receiver(Protocol):
    """Who takes a long answer, piece by piece."""

    def begin_response(self, attempt: Attempt, answer: Response, length: int | None) -> bool:
        """It begins; `length` is None where only its end tells.  False: nobody wants it any more."""

    def write_body(self, attempt: Attempt, data: bytes) -> None:
        """Some more of its body; `attempt.pause` holds the next back."""


class Attempt:
    """One attempt at one host, or a probe.

    `on_end` is called once, with the answer if it was served whole.  A long answer goes to `receiver` first.
    """

    __slots__ = ("begin_by", "begun", "body", "checked", "conn", "done", "expires_at", "held_before", "host", "load",
                 "number", "on_end", "payload", "probe", "receiver", "started", "unwanted")

    def __init__(self, host: HostId, number: int, payload: tuple[bytes, bytes], started: int, expires_at: int,
                 on_end: Callable[[Attempt, Outcome, Response | None], None], probe: bool = False,
                 receiver: Receiver | None = None, body: Body | None = None, begin_by: int = NO_DEADLINE_NS,
                 unwanted: Callable[[], bool] = lambda: False) -> None:
        self.host = host
        self.unwanted = unwanted   # whether its client has left, asked before it is written
        self.held_before = 0       # how long the loop had stood still before it
        self.begin_by = begin_by   # its last byte is written by then, or never
        self.probe = probe
        self.receiver = receiver
        self.body = body     # where it is still coming
        self.begun = 0       # when the first of a long answer was passed on
        self.number = number
        self.payload = payload   # the head without its last lines, and the body
        self.started = started
        self.checked = started   # when it was last asked whether it may go out
        self.expires_at = expires_at
        self.on_end = on_end
        self.conn: Connection | None = None
        self.done = False
        self.load = b""   # the load report that came with the answer, as it was worded

    def message(self, now: int) -> bytes:
        """What goes on the wire; the host is told how long the gateway will wait from now."""
        head, body = self.payload
        return b"%bX-Timeout-Ms: %d\r\n\r\n%b" % (head, max(1, (self.expires_at - now) // MS), body)

    def pause(self, wanted: bool) -> None:
        """Read no more of the answer for now, or again."""
        if self.conn is not None:
            self.conn.pause(wanted)

    def connected(self) -> bool:
        """Whether it has a connection that is up."""
        return self.conn is not None and self.conn.transport is not None

    def written(self) -> bool:
        """Whether the request's last byte is on the socket."""
        return self.conn is not None and self.conn.written()

    def end(self, outcome: Outcome, answer: Response | None = None) -> None:
        """Report the outcome, once."""
        if not self.done:
            self.done = True
            self.conn = None
            self.payload = (b"", b"")   # timers refer to it until they ring: bodies must not pile up
            self.on_end(self, outcome, answer)
