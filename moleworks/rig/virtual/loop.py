"""Virtual time: an event loop on a heap, and network links between named endpoints with injected faults."""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol


class Completable(Protocol):
    """Something with a deadline that may be done before the deadline passes."""

    done: bool


class DeadlineQueue:
    """A queue of deadlines that are set in the order in which they pass; only the first is in the heap of the loop.

    Most of them are done before their deadline, and a heap that held them all would slow down every other event.
    """

    def __init__(self, loop: Loop, call: Callable[[Any], Any]) -> None:
        self._loop = loop
        self._call = call
        self._items: deque[tuple[int, Completable]] = deque()

    def add(self, when: int, item: Completable) -> None:
        """Call with this item at the given time, unless it is done by then."""
        if self._items and when < self._items[-1][0]:
            self._loop.call_at(when, self._expire, item)
            return
        self._items.append((when, item))
        if len(self._items) == 1:
            self._loop.call_at(when, self._on_next_deadline)

    def _expire(self, item: Completable) -> None:
        if not item.done:
            self._call(item)

    def _on_next_deadline(self) -> None:
        items = self._items
        _, item = items.popleft()
        while items and items[0][1].done:
            items.popleft()
        if items:
            self._loop.call_at(items[0][0], self._on_next_deadline)
        self._expire(item)


MIN_RETRANSMISSION_TIMEOUT_NS = 200_000_000
"""The delay that a lost packet adds to a stream: the minimum retransmission timeout of TCP."""


class Loop:
    """Runs events in the order of their times, and equal times in the order of scheduling: a seed repeats its run."""

    def __init__(self) -> None:
        self.now = 0
        self._heap: list[tuple[int, int, Callable[..., Any], tuple[Any, ...]]] = []
        self._sequence = 0
        self.events_handled = 0

    def call_at(self, when: int, call: Callable[..., Any], *args: Any) -> None:
        """Schedule a call at this time, or now if the time has passed."""
        self._sequence += 1
        heapq.heappush(self._heap, (when if when > self.now else self.now, self._sequence, call, args))

    def run(self, until: int, max_events: int = 1 << 62) -> None:
        """Handle every event up to this time, until `max_events` have been handled in total."""
        heap, pop = self._heap, heapq.heappop
        while heap and heap[0][0] <= until and self.events_handled < max_events:
            when, _, call, args = pop(heap)
            self.now = when
            self.events_handled += 1
            call(*args)
        self.now = until


class Link:
    """The faults in one direction between two endpoints."""

    __slots__ = ("cut", "delay_ns", "duplicate", "half_open", "loss", "rate", "reorder")

    def __init__(self) -> None:
        self.cut = 0            # number of faults that cut the link now
        self.half_open = 0
        self.delay_ns = 0
        self.loss = 0.0
        self.duplicate = 0.0
        self.reorder = 0.0
        self.rate = 0.0

    def is_clear(self) -> bool:
        """Whether the link has no fault."""
        return not (self.cut or self.half_open or self.delay_ns or self.loss or self.duplicate or self.reorder
                    or self.rate)


class Links:
    """The links between all endpoints, one for each direction; only links with a fault have an entry.

    `send_stream` is for connections: data sent during a cut is delivered when the cut ends, and a loss delays data by
    a retransmission.  `send_datagram` is for datagrams: a cut or a loss drops them, and they may be duplicated or late.
    """

    def __init__(self, loop: Loop, rng: random.Random) -> None:
        self._loop = loop
        self._rng = rng
        self._links: dict[tuple[str, str], Link] = {}
        self._blocked: dict[tuple[str, str], list[tuple[int, Callable[..., Any], tuple[Any, ...]]]] = {}

    def link(self, source: str, target: str) -> Link:
        """The link from source to target, to set faults on; call `on_faults_changed` afterwards."""
        return self._links.setdefault((source, target), Link())

    def on_faults_changed(self, source: str, target: str) -> None:
        """Deliver the data that waited for the end of a cut, and forget a link without faults."""
        link = self._links.get((source, target))
        if link is None or link.cut or link.half_open:
            return
        for delay, call, args in self._blocked.pop((source, target), []):
            self._loop.call_at(self._loop.now + delay + link.delay_ns, call, *args)
        if link.is_clear():
            del self._links[source, target]

    def can_connect(self, source: str, target: str) -> bool:
        """Whether a new connection can be opened, which takes both directions."""
        if not self._links:
            return True
        forward, reverse = self._links.get((source, target)), self._links.get((target, source))
        return not ((forward and (forward.cut or forward.half_open))
                    or (reverse and (reverse.cut or reverse.half_open)))

    def send_stream(self, source: str, target: str, delay: int, call: Callable[..., Any], *args: Any) -> None:
        """Send data on a connection; it is delivered late if the link is cut, unless the cut never ends."""
        if self._links and (link := self._links.get((source, target))) is not None:
            if link.cut or link.half_open:
                self._blocked.setdefault((source, target), []).append((delay, call, args))
                return
            delay += link.delay_ns
            if link.loss:
                while self._rng.random() < link.loss:
                    delay += MIN_RETRANSMISSION_TIMEOUT_NS
        self._loop.call_at(self._loop.now + delay, call, *args)

    def send_datagram(self, source: str, target: str, delay: int, size: int, call: Callable[..., Any],
                      *args: Any) -> None:
        """Send a datagram of `size` bytes."""
        copies = 1
        if self._links and (link := self._links.get((source, target))) is not None:
            if link.cut or link.half_open or self._rng.random() < link.loss:
                return
            delay += link.delay_ns + (int(size / link.rate * 1e9) if link.rate else 0)
            if self._rng.random() < link.duplicate:
                copies = 2
            if self._rng.random() < link.reorder:
                delay += int(self._rng.uniform(0, 4) * max(delay, 1_000_000))
        for _ in range(copies):
            self._loop.call_at(self._loop.now + delay, call, *args)
            delay += self._rng.randrange(1_000_000) if copies > 1 else 0
