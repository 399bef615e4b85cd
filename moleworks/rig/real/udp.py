"""Links for datagrams: what is cut or lost is gone; copies, late ones and changes of order happen."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any


class Datagrams(asyncio.DatagramProtocol):
    """One socket of a datagram link."""

    def __init__(self, take: Callable[[bytes, Any], None]) -> None:
        self.take = take

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.take(data, addr)


class UdpLink:
    """Datagrams between two names: cut or lost is gone; copies, delays and changes of order happen.

    Each end has an address of its own here, `near` and `far`: what it sends there reaches the other one, and comes
    from the address by which that one answers.  `targets` are where the two ends listen.
    """

    def __init__(self, near: tuple[str, int], far: tuple[str, int], targets: tuple[tuple[str, int], tuple[str, int]],
                 rng: random.Random) -> None:
        self._at, self._targets, self._rng = (near, far), targets, rng
        self.cut = [0, 0]             # faults that cut the way from near to far, and back
        self.loss = self.duplicate = self.reorder = self.rate = 0.0
        self.delay_s = 0.0
        self._free_at = 0.0
        self._sockets: list[asyncio.DatagramTransport] = []
        self.dropped = 0

    async def start(self) -> list[tuple[str, int]]:
        """Take datagrams; returns both addresses."""
        self._loop = asyncio.get_running_loop()
        for side, where in enumerate(self._at):
            transport, _ = await self._loop.create_datagram_endpoint(
                lambda side=side: Datagrams(lambda data, _: self.forward(data, side)), where)  # type: ignore[misc]
            self._sockets.append(transport)
        return [transport.get_extra_info("sockname") for transport in self._sockets]

    def forward(self, data: bytes, side: int) -> None:
        """A datagram from the near end (0) or the far one (1)."""
        if self.cut[side] or self._rng.random() < self.loss:
            self.dropped += 1
            return
        delay = self.delay_s
        if self.rate:
            now = self._loop.time()
            self._free_at = max(self._free_at, now) + len(data) / self.rate
            delay += self._free_at - now
        if self._rng.random() < self.reorder:
            delay += self._rng.uniform(0.001, 0.02) + self.delay_s
        for _ in range(2 if self._rng.random() < self.duplicate else 1):
            if delay:
                self._loop.call_later(delay, self._send, data, 1 - side)
            else:
                self._send(data, 1 - side)

    def _send(self, data: bytes, to: int) -> None:
        if not self._sockets[to].is_closing():
            self._sockets[to].sendto(data, self._targets[to])

    def fault(self, kind: str, begins: bool, size: float, forth: bool, back: bool) -> None:
        """A fault begins or ends; all but a cut are on both ways."""
        if kind == "cut":
            self.cut[0] += (1 if begins else -1) * forth
            self.cut[1] += (1 if begins else -1) * back
        elif kind == "delay":
            self.delay_s = max(0.0, self.delay_s + (size if begins else -size) / 1000)
        elif kind in ("loss", "duplicate", "reorder", "rate"):
            setattr(self, kind, size if begins else 0.0)

    def refuse(self, active: bool) -> None:
        """Where nobody listens a datagram is gone anyway."""

    def close(self) -> None:
        """The link is over."""
        for transport in self._sockets:
            transport.close()
