"""Messages between members, one per datagram: version, fleet, then MessagePack by msgspec."""

from __future__ import annotations

import struct

import msgspec
from msgspec import Struct

VERSION = 1
MAX_DATAGRAM_BYTES = 1400
"""Maximum size of a datagram."""
_HEAD = struct.Struct(">BQ")

ALIVE, SUSPECT, DEAD, LEFT = 0, 1, 2, 3


class Rumor(Struct, frozen=True, array_like=True):
    """An update on a member's address, incarnation and state."""

    name: str
    address: str
    incarnation: int
    state: int


class Ping(Struct, frozen=True, tag=1, array_like=True):
    """A probe of `target`.  `by`, `by_number`: sender and number of the `PingRequest` that caused it, if any."""

    number: int
    source: str
    target: str
    rumors: tuple[Rumor, ...] = ()
    by: str = ""
    by_number: int = 0


class Ack(Struct, frozen=True, tag=2, array_like=True):
    """The reply to `Ping`.  `whose`: the member on whose behalf `source` was probed, if any."""

    number: int
    source: str
    whose: str
    rumors: tuple[Rumor, ...] = ()


class PingRequest(Struct, frozen=True, tag=3, array_like=True):
    """An indirect probe: requests the receiver to ping `target` on behalf of `source`."""

    number: int
    source: str
    target: str
    rumors: tuple[Rumor, ...] = ()


class DigestRequest(Struct, frozen=True, tag=4, array_like=True):
    """Requests a `Digest` for anti-entropy."""

    number: int
    source: str


class State(Struct, frozen=True, array_like=True):
    """An owner's version (`life`, `count`) and the maximum age of what is known of it, ms."""

    owner: str
    life: int
    count: int
    age: int


class Digest(Struct, frozen=True, tag=5, array_like=True):
    """The reply to `DigestRequest`, in parts that can be processed independently."""

    number: int
    source: str
    states: tuple[State, ...]


class DeltaRequest(Struct, frozen=True, tag=6, array_like=True):
    """Requests the entries of these owners that are newer than the sender's: owner, life, count."""

    number: int
    source: str
    known: tuple[tuple[str, int, int], ...]


class Entry(Struct, frozen=True, array_like=True):
    """The value of an owner's key; None if it was removed (a tombstone)."""

    count: int
    key: str
    value: bytes | None
    time: int = 0        # hybrid logical time, for keys with several writers


class Delta(Struct, frozen=True, tag=7, array_like=True):
    """An owner's entries with counts from `after` (excluded) to `upto`; `whole`: they replace all earlier entries."""

    number: int
    source: str
    owner: str
    life: int
    after: int
    entries: tuple[Entry, ...]
    upto: int
    whole: bool = False


Message = Ping | Ack | PingRequest | DigestRequest | Digest | DeltaRequest | Delta
_ENCODE = msgspec.msgpack.Encoder().encode
_DECODE: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


class ForeignDatagram(Exception):
    """A datagram of another fleet or version, or a malformed one."""


def pack(fleet: int, message: Message) -> bytes:
    """Encodes a message as a datagram."""
    return _HEAD.pack(VERSION, fleet) + _ENCODE(message)


def unpack(fleet: int, data: bytes) -> Message:
    """Decodes a datagram.  Raises ForeignDatagram."""
    if len(data) > MAX_DATAGRAM_BYTES or len(data) < _HEAD.size:
        raise ForeignDatagram("datagram size out of range")
    version, sender_fleet = _HEAD.unpack_from(data)
    if version != VERSION or sender_fleet != fleet:
        raise ForeignDatagram("wrong fleet or version")
    try:
        return _DECODE.decode(data[_HEAD.size:])
    except msgspec.DecodeError as error:
        raise ForeignDatagram(str(error)) from None
