"""One call of discovery: its connection, of several tries, and its answer cut into objects."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

import httptools

from .discovery_timeouts import CALL, CONNECT, WATCH_SILENCE_TIMEOUT_NS
from .syscalls import read_available
from .timers import now_ns
from .update_parser import MAX_UPDATE_BYTES, MalformedUpdate, Objects

MAX_HEAD = 16 * 1024
PATH = "/registry/instances"


class Owner(Protocol):
    """Whose call it is."""

    authority: str
    last_received_ns: int

    @property
    def resume_generation(self) -> int:
        """The version that a watch goes on from."""

    def connected(self, call: DiscoveryCall) -> None:
        """Its connection is up."""

    def word(self, call: DiscoveryCall) -> None:
        """A watch that has told a list speaks."""

    def on_update(self, call: DiscoveryCall, text: bytes) -> None:
        """An object has come whole."""

    def broken(self, call: DiscoveryCall, error: Exception) -> None:
        """What has come can't be used."""

    def cut_short(self, call: DiscoveryCall) -> None:
        """An object has begun and is not whole."""

    def ended(self, call: DiscoveryCall, why: str, failed: bool = True) -> None:
        """It is over."""


class Try(asyncio.Protocol):
    """One try to connect for a call; the first that comes up carries it, any other is closed."""

    def __init__(self, call: DiscoveryCall) -> None:
        self._call = call
        self._carries = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._carries = self._call.take(cast(asyncio.Transport, transport))   # uvloop has its own kind
        if not self._carries:
            cast(asyncio.Transport, transport).abort()

    def data_received(self, data: bytes) -> None:
        if self._carries:
            self._call.data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._carries:
            self._call.connection_lost(exc)


class DiscoveryCall:
    """A watch, which stays open, or the whole list once."""

    def __init__(self, owner: Owner, watch: bool) -> None:
        self._owner = owner
        self._watch = watch
        self._parser = httptools.HttpResponseParser(self)
        self._objects = Objects()
        self._body = bytearray()    # not yet cut into objects; of a list that is asked for once, all of it
        self._done = False
        self._status = 0     # once its head is whole
        self._size = 0
        self.transport: asyncio.Transport | None = None
        self.tries: dict[int, asyncio.Task[None]] = {}   # that have not failed, by number
        self.tried = 0
        self.closed = False
        self.own_trouble = False   # its connection failed for a reason on this machine
        self.begun = now_ns()
        self.connected_at = 0
        self.tried_at = 0    # when its newest try began
        self.renew_at = 0    # when another one is begun beside it, if it stays silent
        self.cut_off = False   # its connection was lost, not closed from here
        self.heard = 0
        self.first_list_ns = 0     # when a list of it was first taken

    def take(self, transport: asyncio.Transport) -> bool:
        """A connection is up; whether it is wanted."""
        if self.closed or self.transport is not None:
            return False
        self.transport = transport
        self.connected_at = now_ns()
        query = f"?watch=1&from={self._owner.resume_generation}" if self._watch else ""
        transport.write(f"GET {PATH}{query} HTTP/1.1\r\nHost: {self._owner.authority}\r\n\r\n".encode())
        self._owner.connected(self)
        return True

    def read_waiting(self) -> None:
        """Take in what has come and the loop has not read yet."""
        while self.transport is not None and not self.closed and not self.transport.is_closing():
            data = read_available(self.transport)
            if not data:
                return
            self.data_received(data)

    def data_received(self, data: bytes) -> None:
        """Some of the answer has come."""
        if self.closed:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._owner.ended(self, f"malformed answer: {error}")
            return
        self._size += len(data)
        if not self._status:   # the head comes in pieces
            if self._size > MAX_HEAD:
                self._owner.ended(self, "a head without end")
            return
        if self._status != 200:
            self._owner.ended(self, f"answer {self._status}")
            return
        self.heard = self._owner.last_received_ns = now_ns()
        if self.first_list_ns:
            self._owner.word(self)
        try:
            self._cut()
        except MalformedUpdate as error:
            self._owner.broken(self, error)
        if self._done:
            self._owner.ended(self, "the answer has ended", failed=self._watch)
        elif self._objects.partial and not self.closed:
            self._owner.cut_short(self)

    def _cut(self) -> None:
        """Tell the objects that are whole."""
        if self._watch:
            texts, self._body = self._objects.feed(bytes(self._body)), bytearray()
        else:
            if len(self._body) > MAX_UPDATE_BYTES:
                raise MalformedUpdate("a list without end")
            texts = [bytes(self._body)] if self._done else []
        for text in texts:
            if not self.closed:
                self._owner.on_update(self, text)

    def on_headers_complete(self) -> None:
        self._status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        self._done = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Its connection has ended."""
        self.cut_off = True
        self._owner.ended(self, f"connection lost: {exc}")

    @property
    def status(self) -> int:
        """Of its answer; 0 where none has come."""
        return self._status

    def due(self) -> int:
        """From when on it counts as silent: the other side may have vanished without a word."""
        if self.heard:
            return self.heard + WATCH_SILENCE_TIMEOUT_NS
        return self.begun + (CONNECT if self.transport is None else CALL)

    def close(self) -> None:
        """It is wanted no longer."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()
        for task in self.tries.values():
            task.cancel()
        self.tries.clear()
