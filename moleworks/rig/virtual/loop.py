"""Virtual time: a heap of events, and links between names with faults on them."""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol


class Over(Protocol):
    """Something that may be over before its time comes."""

    over: bool


class Lane:
    """Deadlines that come in the order they were set: only the first that is not over stands in the heap.

    Most never come to pass, and a heap full of them would slow everything else.
    """

    def __init__(self, loop: Loop, call: Callable[[Any], Any]) -> None:
        self._loop = loop
        self._call = call
        self._items: deque[tuple[int, Over]] = deque()

    def add(self, when: int, item: Over) -> None:
        """Call with this item then, unless it is over."""
        if self._items and when < self._items[-1][0]:
            self._loop.at(when, self._due, item)
            return
        self._items.append((when, item))
        if len(self._items) == 1:
            self._loop.at(when, self._turn)

    def _due(self, item: Over) -> None:
        if not item.over:
            self._call(item)

    def _turn(self) -> None:
        items = self._items
        _, item = items.popleft()
        while items and items[0][1].over:
            items.popleft()
        if items:
            self._loop.at(items[0][0], self._turn)
        self._due(item)


RTO_NS = 200_000_000
"""A lost packet of a stream comes so much later (the least retransmission time of TCP)."""


class Loop:
    """Events in the order of their times, ties in the order made: the same seed gives the same run."""

    def __init__(self) -> None:
        self.now = 0
        self._heap: list[tuple[int, int, Callable[..., Any], tuple[Any, ...]]] = []
        self._seq = 0
        self.count = 0

    def at(self, when: int, call: Callable[..., Any], *args: Any) -> None:
        """Call then; a time that is past means now."""
        self._seq += 1
        heapq.heappush(self._heap, (when if when > self.now else self.now, self._seq, call, args))

    def run(self, until: int, most: int = 1 << 62) -> None:
        """Handle every event up to this time, but for those past `most` in all."""
        heap, pop = self._heap, heapq.heappop
        while heap and heap[0][0] <= until and self.count < most:
            when, _, call, args = pop(heap)
            self.now = when
            self.count += 1
            call(*args)
        self.now = until


class Link:
    """The faults on one way between two names."""

    __slots__ = ("cut", "delay_ns", "duplicate", "half_open", "loss", "rate", "reorder")

    def __init__(self) -> None:
        self.cut = 0            # how many faults cut it now
        self.half_open = 0
        self.delay_ns = 0
        self.loss = 0.0
        self.duplicate = 0.0
        self.reorder = 0.0
        self.rate = 0.0

    def calm(self) -> bool:
        """Whether there is no fault on it."""
        return not (self.cut or self.half_open or self.delay_ns or self.loss or self.duplicate or self.reorder
                    or self.rate)


class Links:
    """Every way between two names; only those with a fault have an entry.

    `stream` is for connections: what is cut off waits and comes when the cut heals, what is lost comes a
    retransmission later.  `packets` is for datagrams: cut or lost is gone, and copies and late ones happen.
    """

    def __init__(self, loop: Loop, rng: random.Random) -> None:
        self._loop = loop
        self._rng = rng
        self._ways: dict[tuple[str, str], Link] = {}
        self._held: dict[tuple[str, str], list[tuple[int, Callable[..., Any], tuple[Any, ...]]]] = {}

    def way(self, source: str, target: str) -> Link:
        """The way from one to the other, to set faults on; call `settle` afterwards."""
        return self._ways.setdefault((source, target), Link())

    def settle(self, source: str, target: str) -> None:
        """A fault has changed: let go of what waited for the end of a cut."""
        link = self._ways.get((source, target))
        if link is None or link.cut or link.half_open:
            return
        for delay, call, args in self._held.pop((source, target), []):
            self._loop.at(self._loop.now + delay + link.delay_ns, call, *args)
        if link.calm():
            del self._ways[source, target]

    def open(self, source: str, target: str) -> bool:
        """Whether a new connection can come up: both ways are there."""
        if not self._ways:
            return True
        there, back = self._ways.get((source, target)), self._ways.get((target, source))
        return not ((there and (there.cut or there.half_open)) or (back and (back.cut or back.half_open)))

    def stream(self, source: str, target: str, delay: int, call: Callable[..., Any], *args: Any) -> None:
        """Something on a connection: it comes in the end, if the cut heals."""
        if self._ways and (link := self._ways.get((source, target))) is not None:
            if link.cut or link.half_open:
                self._held.setdefault((source, target), []).append((delay, call, args))
                return
            delay += link.delay_ns
            if link.loss:
                while self._rng.random() < link.loss:
                    delay += RTO_NS
        self._loop.at(self._loop.now + delay, call, *args)

    def packets(self, source: str, target: str, delay: int, size: int, call: Callable[..., Any],
                *args: Any) -> None:
        """A datagram of this many bytes."""
        copies = 1
        if self._ways and (link := self._ways.get((source, target))) is not None:
            if link.cut or link.half_open or self._rng.random() < link.loss:
                return
            delay += link.delay_ns + (int(size / link.rate * 1e9) if link.rate else 0)
            if self._rng.random() < link.duplicate:
                copies = 2
            if self._rng.random() < link.reorder:
                delay += int(self._rng.uniform(0, 4) * max(delay, 1_000_000))
        for _ in range(copies):
            self._loop.at(self._loop.now + delay, call, *args)
            delay += self._rng.randrange(1_000_000) if copies > 1 else 0
