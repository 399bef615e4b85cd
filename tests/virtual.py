"""A virtual time in which the coroutines, timers and connections of `gateway.discovery` run."""

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
TURNED_AWAY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"


def line(generation: int, whole: bool = True) -> bytes:
    """An object of a watch, as a chunk."""
    text = json.dumps({"generation": generation, "reset": whole, "instances": []}).encode() + b"\n"
    return b"%x\r\n%b\r\n" % (len(text), text)


class Clock:
    """Time that passes from one event to the next: the `Timers` of the gateway and its clock."""

    def __init__(self) -> None:
        self.now = 1_000 * SECOND
        self._heap: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self._number = count()

    def at(self, due: int, call: Callable[[Any], None], argument: Any) -> None:
        """Call at this time, or now if it has passed."""
        heappush(self._heap, (max(due, self.now), next(self._number), call, argument))

    def after(self, delay: int, call: Callable[[Any], None], argument: Any) -> None:
        """Call after this delay, ns."""
        self.at(self.now + delay, call, argument)

    @property
    def next_due(self) -> int | None:
        """When the next event is due; None where there is none."""
        return self._heap[0][0] if self._heap else None

    def step(self) -> None:
        """Run the next event."""
        self.now, _, call, argument = heappop(self._heap)
        call(argument)

    def run(self, until: int, over: Callable[[], bool]) -> None:
        """Run all events up to this time, or until it is over."""
        while self._heap and self._heap[0][0] <= until and not over():
            self.step()


class Wire:
    """One call as the service sees it: the transport of its protocol."""

    def __init__(self, clock: Clock, protocol: Any) -> None:
        self.clock = clock
        self.protocol = protocol
        self.open = True

    def write(self, data: bytes) -> None:
        """The call itself; what it asks for does not matter here."""

    def get_extra_info(self, _: str) -> Any:
        """There is no socket: nothing can be read ahead."""
        return None

    def is_closing(self) -> bool:
        """Whether it is closed."""
        return not self.open

    def abort(self) -> None:
        """Close it."""
        if self.open:
            self.open = False
            self.clock.after(0, self.protocol.connection_lost, None)

    def say(self, data: bytes, after: int = 0) -> None:
        """Write to the gateway after this delay, ns."""
        self.clock.after(after, self._say, data)

    def _say(self, data: bytes) -> None:
        if self.open:
            self.protocol.data_received(data)

    def end(self, after: int = 0) -> None:
        """End the connection after this delay, ns."""
        self.clock.after(after, lambda _: self.abort(), None)


class _Never:
    def __await__(self) -> Generator[None, None, None]:
        while True:
            yield


async def never() -> None:
    """Wait until the task is cancelled."""
    await _Never()


class Task:
    """A coroutine that runs up to where it waits."""

    def __init__(self, clock: Clock, coroutine: CoroutineType[Any, Any, None], begins_after: int = 0) -> None:
        self._clock = clock
        self._coroutine = coroutine
        clock.after(begins_after, self._begin, None)

    def _begin(self, _: None) -> None:
        if self._coroutine.cr_frame is not None:   # else it was cancelled before it began
            with suppress(StopIteration):
                self._coroutine.send(None)

    def cancel(self) -> None:
        """Cancel it where it waits."""
        self._clock.after(0, self._end, None)

    def _end(self, _: None) -> None:
        if self._coroutine.cr_frame is not None:
            with suppress(StopIteration, asyncio.CancelledError):
                self._coroutine.throw(asyncio.CancelledError())
