"""One HTTP call to discovery: its connection, established by several attempts, and its response split into updates."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

import httptools

from .discovery_timeouts import CONNECT_TIMEOUT_NS, RESPONSE_TIMEOUT_NS, WATCH_SILENCE_TIMEOUT_NS
from .syscalls import read_available
from .timers import now_ns
from .update_parser import MAX_UPDATE_BYTES, MalformedUpdate, UpdateSplitter

MAX_HEAD_BYTES = 16 * 1024
LIST_PATH = "/registry/instances"


class Owner(Protocol):
    """The object that makes calls and receives their results."""

    authority: str
    last_received_ns: int

    @property
    def resume_generation(self) -> int:
        """The generation from which a watch resumes."""

    def on_connected(self, call: DiscoveryCall) -> None:
        """The connection is established."""

    def on_watch_data(self, call: DiscoveryCall) -> None:
        """A watch whose first list was accepted has received data."""

    def on_update(self, call: DiscoveryCall, text: bytes) -> None:
        """A complete update has been received."""

    def on_malformed(self, call: DiscoveryCall, error: Exception) -> None:
        """The received data is malformed."""

    def on_incomplete(self, call: DiscoveryCall) -> None:
        """Part of an update has been received."""

    def end_call(self, call: DiscoveryCall, why: str, failed: bool = True) -> None:
        """The call has ended."""


class ConnectAttempt(asyncio.Protocol):
    """One connection attempt of a call; the first that is established carries the call, any other is closed."""

    def __init__(self, call: DiscoveryCall) -> None:
        self._call = call
        self._is_used = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The cast is needed because uvloop's transport is not a subclass of asyncio.Transport.
        self._is_used = self._call.attach(cast(asyncio.Transport, transport))
        if not self._is_used:
            cast(asyncio.Transport, transport).abort()

    def data_received(self, data: bytes) -> None:
        if self._is_used:
            self._call.data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._is_used:
            self._call.connection_lost(exc)


class DiscoveryCall:
    """A watch, which stays open, or a single request for the full list."""

    def __init__(self, owner: Owner, watch: bool) -> None:
        self._owner = owner
        self._watch = watch
        self._parser = httptools.HttpResponseParser(self)
        self._splitter = UpdateSplitter()
        self._body = bytearray()    # a watch: not yet split into updates; a single request: the entire body
        self._is_complete = False
        self._status = 0     # 0 until the response head is complete
        self._received_bytes = 0
        self.transport: asyncio.Transport | None = None
        self.connect_tasks: dict[int, asyncio.Task[None]] = {}   # attempts that have not failed, by number
        self.connect_count = 0
        self.closed = False
        self.local_error = False   # the connection failed for want of local resources
        self.started_at = now_ns()
        self.connected_at = 0
        self.last_connect_at = 0    # start of the newest connection attempt
        self.renew_at = 0    # when a backup watch is opened if this one stays silent
        self.was_disconnected = False   # the connection has ended; not used after `close`, which ends it too
        self.received_at = 0   # when data was last received, from the head of a 200 response on; 0: never
        self.first_list_ns = 0     # when its first update was accepted: a full list, or changes if it resumes

    def attach(self, transport: asyncio.Transport) -> bool:
        """Sends the request on an established connection; returns whether the connection is used."""
        if self.closed or self.transport is not None:
            return False
        self.transport = transport
        self.connected_at = now_ns()
        query = f"?watch=1&from={self._owner.resume_generation}" if self._watch else ""
        transport.write(f"GET {LIST_PATH}{query} HTTP/1.1\r\nHost: {self._owner.authority}\r\n\r\n".encode())
        self._owner.on_connected(self)
        return True

    def read_pending(self) -> None:
        """Processes data that has arrived but has not yet been read by the event loop."""
        while self.transport is not None and not self.closed and not self.transport.is_closing():
            data = read_available(self.transport)
            if not data:
                return
            self.data_received(data)

    def data_received(self, data: bytes) -> None:
        """Processes a part of the response."""
        if self.closed:
            return
        malformed = self._parse(data)   # what has been received before it is used all the same
        self._received_bytes += len(data)
        if not self._status:   # the head may arrive in parts
            if malformed:
                self._owner.end_call(self, malformed)
            elif self._received_bytes > MAX_HEAD_BYTES:
                self._owner.end_call(self, "response head too long")
            return
        if self._status != 200:
            self._owner.end_call(self, f"answer {self._status}")
            return
        self.received_at = self._owner.last_received_ns = now_ns()
        if self.first_list_ns:
            self._owner.on_watch_data(self)
        try:
            self._process_body()
        except MalformedUpdate as error:
            self._owner.on_malformed(self, error)
        if self._is_complete:
            self._owner.end_call(self, "the response has ended", failed=self._watch)
        elif malformed:
            self._owner.end_call(self, malformed)
        elif self._splitter.is_incomplete and not self.closed:
            self._owner.on_incomplete(self)

    def _parse(self, data: bytes) -> str:
        """Parses a part of the response; returns why it is malformed, else an empty string."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            return f"malformed response: {error}"
        return ""

    def _process_body(self) -> None:
        """Passes complete updates to the owner."""
        if self._watch:
            texts, self._body = self._splitter.feed(bytes(self._body)), bytearray()
        else:
            if len(self._body) > MAX_UPDATE_BYTES:
                raise MalformedUpdate("the list is too long")
            texts = [bytes(self._body)] if self._is_complete else []
        for text in texts:
            if not self.closed:
                self._owner.on_update(self, text)

    # Callbacks of the parser, which also parses bytes behind the response: they are ignored.

    def on_headers_complete(self) -> None:
        if not self._is_complete:
            self._status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        if not self._is_complete:
            self._body += body

    def on_message_complete(self) -> None:
        self._is_complete = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the call, as its connection was lost."""
        self.was_disconnected = True
        self._owner.end_call(self, f"connection lost: {exc}")

    @property
    def status(self) -> int:
        """The status of the response; 0 if none has been received."""
        return self._status

    def timeout_at(self) -> int:
        """When the call counts as silent, ns: the other side may have vanished without closing the connection."""
        if self.received_at:
            return self.received_at + WATCH_SILENCE_TIMEOUT_NS
        return self.started_at + (CONNECT_TIMEOUT_NS if self.transport is None else RESPONSE_TIMEOUT_NS)

    def close(self) -> None:
        """Closes the connection and cancels pending connection attempts."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()
        for task in self.connect_tasks.values():
            task.cancel()
        self.connect_tasks.clear()
