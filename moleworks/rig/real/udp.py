"""Datagram links with injected partitions, loss, duplicates, delays and reordering."""

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
    """A datagram link between two processes: datagrams can be dropped, duplicated, delayed and reordered.

    During a partition all datagrams are dropped.

    The link has one address for each end, `near` and `far`.  What an end sends to its address is forwarded to the other
    end, with the other end's address as the source, so that replies pass the link too.  `targets` are the addresses
    on which the two ends listen.
    """

    def __init__(self, near: tuple[str, int], far: tuple[str, int], targets: tuple[tuple[str, int], tuple[str, int]],
                 rng: random.Random) -> None:
        self._addresses, self._targets, self._rng = (near, far), targets, rng
        self.cut = [0, 0]             # number of active partitions from near to far, and from far to near
        self.loss = self.duplicate = self.reorder = self.rate = 0.0
        self.delay_s = 0.0
        self._free_at = 0.0
        self._sockets: list[asyncio.DatagramTransport] = []
        self.dropped = 0

    async def start(self) -> list[tuple[str, int]]:
        """Open the sockets; returns both addresses."""
        self._loop = asyncio.get_running_loop()
        for side, address in enumerate(self._addresses):
            transport, _ = await self._loop.create_datagram_endpoint(
                lambda side=side: Datagrams(lambda data, _: self.forward(data, side)), address)  # type: ignore[misc]
            self._sockets.append(transport)
        return [transport.get_extra_info("sockname") for transport in self._sockets]

    def forward(self, data: bytes, side: int) -> None:
        """Forward a datagram from the near end (0) or the far end (1)."""
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
        """Begin or end a fault; all but partitions apply to both directions."""
        if kind == "cut":
            self.cut[0] += (1 if begins else -1) * forth
            self.cut[1] += (1 if begins else -1) * back
        elif kind == "delay":
            self.delay_s = max(0.0, self.delay_s + (size if begins else -size) / 1000)
        elif kind in ("loss", "duplicate", "reorder", "rate"):
            setattr(self, kind, size if begins else 0.0)

    def refuse(self, active: bool) -> None:
        """Do nothing: a datagram to a closed port is lost anyway."""

    def close(self) -> None:
        """Close the sockets."""
        for transport in self._sockets:
            transport.close()
