"""Datagrams between gateways, if the settings allow them."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Any, cast

log = logging.getLogger("gateway.peers")

MAX_MESSAGE_BYTES = 256

Address = tuple[str, int]


class PeerSocket(asyncio.DatagramProtocol):
    """The UDP socket for messages between gateways.  Senders are identified by address; other datagrams are dropped."""

    def __init__(self, peers: Sequence[Address], broadcast_address: Address | None,
                 on_message: Callable[[int, bytes], None]) -> None:
        self._peers = peers
        self._numbers = {address: number for number, address in enumerate(peers)}
        self._broadcast_address = broadcast_address
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None
        self._closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)   # uvloop's transport is not a subclass

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        number = self._numbers.get(addr[:2])
        if number is not None and len(data) <= MAX_MESSAGE_BYTES:
            self._on_message(number, data)

    def error_received(self, exc: Exception) -> None:
        log.info("a message to a peer was lost: %s", exc)

    def send(self, peer: int | None, content: bytes) -> None:
        """Sends to one peer, or to all if None.  A message that is too long or has no recipient is logged and dropped.

        After `close` nothing is sent.
        """
        if self._closed:
            return
        to = self._broadcast_address if peer is None else (
            self._peers[peer] if 0 <= peer < len(self._peers) else None)
        if self._transport is None or to is None or len(content) > MAX_MESSAGE_BYTES:
            log.error("cannot send a message to peer %s", peer)
        else:
            self._transport.sendto(content, to)

    def close(self) -> None:
        """Closes the socket at shutdown."""
        self._closed = True
        if self._transport is not None:
            self._transport.close()
