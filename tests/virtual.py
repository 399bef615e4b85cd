"""Virtual time for the coroutines, timers and connections of `gateway.discovery`."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Generator
from contextlib import suppress
from heapq import heappop, heappush
from itertools import count
from types import CoroutineType
from typing import Any

from bridgesaddle.api import SECOND

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SERVICE_UNAVAILABLE = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"


def update(generation: int, full: bool = True) -> bytes:
    """A full list or an update of a watch, as a chunk."""
    text = json.dumps({"generation": generation, "reset": full, "instances": []}).encode() + b"\n"
    return b"%x\r\n%b\r\n" % (len(text), text)


class Clock:
    """The gateway's clock and `Timers`; time advances from one event to the next."""

    def __init__(self) -> None:
        self.now = 1_000 * SECOND
        self._heap: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self._sequence = count()

    def at(self, due: int, callback: Callable[[Any], None], argument: Any) -> None:
        """Call back at this time, or now if it has passed."""
        heappush(self._heap, (max(due, self.now), next(self._sequence), callback, argument))

    def after(self, delay: int, callback: Callable[[Any], None], argument: Any) -> None:
        """Call back after this delay, ns."""
        self.at(self.now + delay, callback, argument)

    @property
    def next_due(self) -> int | None:
        """When the next event is due, or None if there is none."""
        return self._heap[0][0] if self._heap else None

    def step(self) -> None:
        """Run the next event."""
        self.now, _, callback, argument = heappop(self._heap)
        callback(argument)

    def run(self, until: int, done: Callable[[], bool]) -> None:
        """Run all events up to this time, or until `done()`."""
        while self._heap and self._heap[0][0] <= until and not done():
            self.step()


class Wire:
    """The transport of one call to discovery; its methods also act for the service."""

    def __init__(self, clock: Clock, protocol: Any) -> None:
        self.clock = clock
        self.protocol = protocol
        self.open = True

    def write(self, data: bytes) -> None:
        """Accept the request; its content is not needed."""

    def get_extra_info(self, _: str) -> Any:
        """There is no socket, so that no unread bytes can be found."""
        return None

    def is_closing(self) -> bool:
        """Whether the connection is closed."""
        return not self.open

    def abort(self) -> None:
        """Close the connection."""
        if self.open:
            self.open = False
            self.clock.after(0, self.protocol.connection_lost, None)

    def send_later(self, data: bytes, delay: int = 0) -> None:
        """Send data to the gateway after this delay, ns."""
        self.clock.after(delay, self._deliver, data)

    def _deliver(self, data: bytes) -> None:
        if self.open:
            self.protocol.data_received(data)

    def close_later(self, delay: int = 0) -> None:
        """Close the connection after this delay, ns."""
        self.clock.after(delay, lambda _: self.abort(), None)


class _Never:
    def __await__(self) -> Generator[None, None, None]:
        while True:
            yield


async def never() -> None:
    """Wait until the task is cancelled."""
    await _Never()


class Task:
    """Runs a coroutine up to the point at which it waits."""

    def __init__(self, clock: Clock, coroutine: CoroutineType[Any, Any, None], start_delay: int = 0) -> None:
        self._clock = clock
        self._coroutine = coroutine
        clock.after(start_delay, self._start, None)

    def _start(self, _: None) -> None:
        if self._coroutine.cr_frame is not None:   # None if the task was cancelled before it started
            with suppress(StopIteration):
                self._coroutine.send(None)

    def cancel(self) -> None:
        """Raise CancelledError at the point at which the coroutine waits."""
        self._clock.after(0, self._throw, None)

    def _throw(self, _: None) -> None:
        if self._coroutine.cr_frame is not None:
            with suppress(StopIteration, asyncio.CancelledError):
                self._coroutine.throw(asyncio.CancelledError())
