"""A request's place in the order of answers on its client's connection, and the wording of its one answer."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from bridgesaddle.api import SECOND

from .attempt import Attempt, Header, Response
from .core import Request
from .timers import now_ns
from .upstream import HOP_BY_HOP, LOAD

if TYPE_CHECKING:
    from .server import ClientConnection

log = logging.getLogger("gateway.exchange")

_REASONS = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 408: b"Request Timeout",
            413: b"Content Too Large", 431: b"Request Header Fields Too Large", 502: b"Bad Gateway",
            503: b"Service Unavailable"}


class Exchange:
    """A request's place in the order of answers on its connection: the `Exchange` of core.py."""

    __slots__ = ("begun", "chunked", "close", "cls", "conn", "done", "id", "old", "parts", "request", "since",
                 "source")

    def __init__(self, conn: ClientConnection, close: bool, old: bool = False) -> None:
        self.conn = conn
        self.close = close
        self.old = old           # HTTP/1.0: knows no chunks
        self.begun = False       # an answer is worded, at least its head
        self.done = False        # and whole
        self.parts: list[bytes] = []   # what has not left: answers before it come first
        self.chunked = False
        self.source: Attempt | None = None   # where a long answer comes from
        self.request: Request | None = None
        self.id = b""
        self.since = now_ns()
        self.cls = ""   # named once the request has passed the checks: only then does it count

    def respond(self, status: int, headers: list[Header], body: bytes) -> None:
        """Word the answer; it leaves as soon as those before it have left."""
        if self.begun:   # guards against a second answer, whatever goes wrong elsewhere
            log.error("a second answer to one request")
            return
        self._head(status, headers, b"Content-Length: %d\r\n" % len(body))
        self.parts.append(body)
        self._end()

    def _head(self, status: int, headers: list[Header], framing: bytes) -> None:
        self.begun = True
        self.close = self.close or (self.conn.server.draining and self.conn.last(self))
        self.conn.answering(self)
        lines = [b"HTTP/1.1 %d %b\r\n" % (status, _REASONS[status]), framing]
        lines += [b"%b: %b\r\n" % item for item in headers]
        if self.close:
            lines.append(b"Connection: close\r\n")
        lines.append(b"\r\n")
        self.parts.append(b"".join(lines))

    def _end(self) -> None:
        self.done = True
        self.source = None
        self.conn.server.forget(self.id)
        self.conn.flush()

    def begin_response(self, attempt: Attempt, answer: Response, length: int | None) -> None:
        """A host's long answer begins: what is passed on can't be taken back."""
        self.source = attempt
        framing = b""
        if length is not None:
            framing = b"Content-Length: %d\r\n" % length
        elif self.old:
            self.close = True   # its end is told by the close
        else:
            self.chunked = True
            framing = b"Transfer-Encoding: chunked\r\n"
        self._head(200, _end_to_end(answer), framing)
        self.conn.flush()

    def write_body(self, data: bytes) -> None:
        """Some more of it."""
        if data:
            self.parts.append(b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)
            self.conn.flush()

    def finish(self) -> None:
        """It has come whole."""
        if self.chunked:
            self.parts.append(b"0\r\n\r\n")
        self._end()
        self._count("completed")

    def abort(self) -> None:
        """It will not come whole: the connection ends before the answer does."""
        self._end_nothing()
        self._count("failed")

    def _end_nothing(self) -> None:
        self.source = None
        self.conn.server.forget(self.id)
        self.conn.cut()

    def served(self, answer: Response) -> None:
        """Pass on a host's answer, its body unchanged."""
        self.respond(200, _end_to_end(answer), answer.body)
        self._count("completed")

    def failed(self) -> None:
        """No promise about the effect."""
        self.respond(502, [], b"failed\n")
        self._count("failed")

    def refused(self, retry_after_ns: int) -> None:
        """Trying again is harmless; when, is the module's to say."""
        headers = [(b"Retry-After", b"%.3f" % (retry_after_ns / SECOND))] if retry_after_ns > 0 else []
        self.respond(503, headers, b"refused\n")
        self._count("rejected")

    def client_half_closed(self) -> bool:
        """Whether the client has ended its sending, asked of the kernel."""
        return self.conn.has_left()

    def _count(self, how: str) -> None:
        if self.cls:
            self.conn.server.stats.count_request(self.cls, how)


def _end_to_end(answer: Response) -> list[Header]:
    return [item for item in answer.headers if item[0].lower() not in HOP_BY_HOP and item[0].lower() != LOAD]
