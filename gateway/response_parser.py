"""Parses a host's response; its result does not depend on what follows the response in the same read."""

from __future__ import annotations

from typing import Any

import httptools

from .attempt import Header
from .body import MAX_BODY_BYTES

MAX_HEAD_BYTES = 16 * 1024
"""Longest head of a response."""
FIRST_FINAL_STATUS = 200
"""Responses with a lower status are interim ones: the final response follows."""
LINE_END = b"\r\n"


class ResponseParser:
    """The parser of one connection's responses, one at a time.

    Everything about a response is recorded while it is parsed and is final once the response is complete.  Bytes behind
    it only set `has_surplus`.  Errors are recorded too, as the library would swallow an exception raised in a callback.
    """

    __slots__ = ("_header_bytes", "_parser", "_raw_head_bytes", "body", "chunked", "complete", "error", "has_surplus",
                 "head_done", "headers", "keep_alive", "length", "status")

    def __init__(self) -> None:
        self._parser: Any = httptools.HttpResponseParser(self)
        self.reset()

    def reset(self) -> None:
        """Begin the next response."""
        self.status = 0
        self.headers: list[Header] = []
        self.length: int | None = None   # None: chunked, ended by the close, or not known yet
        self.chunked = False
        self.body = bytearray()   # the part that has not been taken
        self.head_done = False
        self.complete = False
        self.keep_alive = False
        self.error = ""   # why the response is malformed
        self.has_surplus = False   # bytes have followed the complete response
        self._header_bytes = 0
        self._raw_head_bytes = 0

    def close(self) -> None:
        """Drop what is held.  This breaks a reference cycle, which would last until a garbage collection."""
        self._parser = None
        self.body.clear()

    @property
    def ends_with_stream(self) -> bool:
        """Whether the host's close marks the end of the response."""
        return self.head_done and self.length is None and not self.chunked

    def feed(self, data: memoryview) -> None:
        """Parse the next bytes."""
        # Line ends behind a response are skipped without a callback: a last one is fed by itself to detect that.
        if len(data) > 1 and data[-1] in LINE_END:
            self._feed(data[:-1])
            if not self.complete:
                self._feed(data[-1:])
            else:
                self.has_surplus = True
        else:
            self._feed(data)
        if not self.head_done:
            self._raw_head_bytes += len(data)   # limits a head that never ends, which yields no header
            if self._raw_head_bytes > 2 * MAX_HEAD_BYTES:
                self.error = "head too long"

    def _feed(self, data: memoryview) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._on_malformed("upgrade")
        except httptools.HttpParserError as error:
            self._on_malformed(str(error) or "malformed")

    def _on_malformed(self, why: str) -> None:
        if self.complete:
            self.has_surplus = True
        else:
            self.error = self.error or why

    def end_of_stream(self) -> bool:
        """The host has closed its sending side; returns whether that completes the response."""
        if not self.ends_with_stream or self.error or self.complete:
            return False
        self.complete = True
        return True

    def take_body(self) -> bytes:
        """Remove and return the part of the body that has arrived."""
        data = bytes(self.body)
        self.body.clear()
        return data

    # Callbacks of the library.

    def on_message_begin(self) -> None:
        if self.complete:
            self.has_surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.complete:
            return
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEAD_BYTES:
            self.error = "head too long"
        elif not self.head_done:   # trailers are ignored
            self.headers.append((name, value.strip(b" \t")))   # the library keeps trailing whitespace

    def on_headers_complete(self) -> None:
        if self.complete:
            return
        self.head_done = True
        self.status = self._parser.get_status_code()
        for name, value in self.headers:
            lower = name.lower()
            if lower == b"transfer-encoding":
                self.chunked = True
            elif lower == b"content-length":
                if not value.isdigit() or int(value[:20]) > MAX_BODY_BYTES:
                    self.error = "body too long"
                else:
                    self.length = int(value)

    def on_body(self, body: bytes) -> None:
        if not self.complete:
            self.body += body

    def on_message_complete(self) -> None:
        if self.complete:
            return
        if self.status < FIRST_FINAL_STATUS:
            self.headers.clear()
            self.head_done = False
            self.length, self.chunked = None, False
        elif not self.error:   # never forward a response that is complete but malformed
            self.complete = True
            # Read here, as the library resets it after this callback, and connections would never be reused.
            self.keep_alive = self._parser.should_keep_alive()
