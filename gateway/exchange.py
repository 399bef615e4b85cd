"""Responses to clients: one per request, written in the order of the requests on a connection."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from bridgesaddle.api import SECOND

from .attempt import Attempt, Header, Response
from .core import Request
from .timers import now_ns
from .upstream import HOP_BY_HOP, LOAD_HEADER

if TYPE_CHECKING:
    from .client_connection import ClientConnection

log = logging.getLogger("gateway.exchange")

_REASONS = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 408: b"Request Timeout",
            413: b"Content Too Large", 431: b"Request Header Fields Too Large", 502: b"Bad Gateway",
            503: b"Service Unavailable"}


class Exchange:
    """One request and its response on a client connection; implements `Exchange` of core.py."""

    __slots__ = ("chunked", "class_name", "close", "connection", "created_at", "done", "id", "is_http_1_0",
                 "request", "source", "started", "unsent_parts")

    def __init__(self, connection: ClientConnection, close: bool, is_http_1_0: bool = False) -> None:
        self.connection = connection
        self.close = close
        self.is_http_1_0 = is_http_1_0   # HTTP/1.0: no chunked encoding
        self.started = False   # the head of the response has been generated
        self.done = False   # the response is complete
        self.unsent_parts: list[bytes] = []   # not yet written, as earlier responses go first
        self.chunked = False
        self.source: Attempt | None = None   # the attempt that streams the response
        self.request: Request | None = None
        self.id = b""
        self.created_at = now_ns()
        self.class_name = ""   # empty until the request has passed the checks; only then is it counted

    def take_unsent(self, max_bytes: int) -> bytes:
        """Remove and return the next bytes to write, at most so many."""
        data = b"".join(self.unsent_parts)
        self.unsent_parts = [data[max_bytes:]] if len(data) > max_bytes else []
        return data[:max_bytes]

    def respond(self, status: int, headers: list[Header], body: bytes) -> None:
        """Generate a complete response; it is written once all earlier responses have been written."""
        if self.started:   # never send two responses to one request, whatever goes wrong elsewhere
            log.error("second response to one request; dropped")
            return
        self._begin(status, headers, b"Content-Length: %d\r\n" % len(body))
        self.unsent_parts.append(body)
        self._end_response()

    def _begin(self, status: int, headers: list[Header], framing: bytes) -> None:
        self.started = True
        self.close = self.close or (self.connection.server.draining and self.connection.is_last(self))
        self.connection.on_response_begin(self)
        lines = [b"HTTP/1.1 %d %b\r\n" % (status, _REASONS[status]), framing]
        lines += [b"%b: %b\r\n" % item for item in headers]
        if self.close:
            lines.append(b"Connection: close\r\n")
        lines.append(b"\r\n")
        self.unsent_parts.append(b"".join(lines))

    def _end_response(self) -> None:
        self.done = True
        self.source = None
        self.release_id()
        self.connection.flush()

    def release_id(self) -> None:
        """The request has ended, or its client has left: its id may be used again, unless it may run for nobody."""
        server = self.connection.server
        if self.connection.has_left and self.request is not None and self.request.attempts:
            server.keep_departed_id(self.id)
        server.release_id(self.id)

    def begin_response(self, attempt: Attempt, response: Response, length: int | None) -> None:
        """Begin a streamed response; the parts that are forwarded can't be taken back."""
        self.source = attempt
        framing = b""
        if length is not None:
            framing = b"Content-Length: %d\r\n" % length
        elif self.is_http_1_0:
            self.close = True   # the close marks the end of the body
        else:
            self.chunked = True
            framing = b"Transfer-Encoding: chunked\r\n"
        self._begin(200, _end_to_end(response), framing)
        self.connection.flush()

    def write_body(self, data: bytes) -> None:
        """Send a part of the streamed response's body."""
        if data:
            self.unsent_parts.append(b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)
            self.connection.flush()

    def finish(self) -> None:
        """Complete the streamed response."""
        if self.chunked:
            self.unsent_parts.append(b"0\r\n\r\n")
        self._end_response()
        self._count_request("completed")

    def abort(self) -> None:
        """Abort the streamed response: the connection is reset before the response is complete."""
        self._end_with_reset()
        self._count_request("failed")

    def _end_with_reset(self) -> None:
        self.source = None
        self.release_id()
        self.connection.reset()

    def served(self, response: Response) -> None:
        """Send a host's complete response, with its body unchanged."""
        self.respond(200, _end_to_end(response), response.body)
        self._count_request("completed")

    def failed(self) -> None:
        """Send 502: the request may or may not have had an effect."""
        self.respond(502, [], b"failed\n")
        self._count_request("failed")

    def refused(self, retry_after_ns: int) -> None:
        """Send 503: a retry is harmless (see `Exchange` of core.py).  The module decides on the Retry-After header."""
        headers = [(b"Retry-After", b"%.3f" % (retry_after_ns / SECOND))] if retry_after_ns > 0 else []
        self.respond(503, headers, b"refused\n")
        self._count_request("rejected")

    def client_half_closed(self) -> bool:
        """Whether the client has shut down its sending side, according to the kernel."""
        return self.connection.is_half_closed()

    def may_write(self) -> bool:
        """Whether a response would be written now: it is the next one, and the client reads."""
        return self.connection.may_write(self)

    def _count_request(self, result: str) -> None:
        if self.class_name:
            self.connection.server.stats.count_request(self.class_name, result)


def _end_to_end(response: Response) -> list[Header]:
    return [item for item in response.headers if item[0].lower() not in HOP_BY_HOP and item[0].lower() != LOAD_HEADER]
