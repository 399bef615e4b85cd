"""What goes between members, one message a datagram.  MessagePack by msgspec behind version and fleet."""

from __future__ import annotations

import struct

import msgspec
from msgspec import Struct

VERSION = 1
MAX_DATAGRAM_BYTES = 1400
"""Bytes of a datagram."""
_HEAD = struct.Struct(">BQ")

ALIVE, SUSPECT, DEAD, LEFT = 0, 1, 2, 3


class Rumor(Struct, frozen=True, array_like=True):
    """What is said of a member: its address, incarnation and state."""

    name: str
    address: str
    incarnation: int
    state: int


class Ping(Struct, frozen=True, tag=1, array_like=True):
    """Are you there?  `by`: whom the answer is for, where another one asks on its behalf (with its number)."""

    number: int
    source: str
    target: str
    rumors: tuple[Rumor, ...] = ()
    by: str = ""
    by_number: int = 0


class Ack(Struct, frozen=True, tag=2, array_like=True):
    """Yes.  `whose`: who is there, where that was asked on somebody's behalf."""

    number: int
    source: str
    whose: str
    rumors: tuple[Rumor, ...] = ()


class PingRequest(Struct, frozen=True, tag=3, array_like=True):
    """Ask that one for me."""

    number: int
    source: str
    target: str
    rumors: tuple[Rumor, ...] = ()


class DigestRequest(Struct, frozen=True, tag=4, array_like=True):
    """What do you know, and how old is it?"""

    number: int
    source: str


class State(Struct, frozen=True, array_like=True):
    """An owner's version (incarnation of its life, count) and how old knowledge of it may be, ms."""

    owner: str
    life: int
    count: int
    age: int


class Digest(Struct, frozen=True, tag=5, array_like=True):
    """The answer to `DigestRequest`, in parts that each stand alone."""

    number: int
    source: str
    states: tuple[State, ...]


class DeltaRequest(Struct, frozen=True, tag=6, array_like=True):
    """Entries of these owners beyond what I have: owner, life, count."""

    number: int
    source: str
    known: tuple[tuple[str, int, int], ...]


class Entry(Struct, frozen=True, array_like=True):
    """A key of its owner; `value` None: removed."""

    count: int
    key: str
    value: bytes | None
    time: int = 0        # hybrid, for keys that many write


class Delta(Struct, frozen=True, tag=7, array_like=True):
    """Of one owner: all that is beyond `after`, up to the last one here; `whole`: in place of all that was known."""

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
    """A datagram of another fleet or version, or none of ours."""


def pack(fleet: int, message: Message) -> bytes:
    """One datagram."""
    return _HEAD.pack(VERSION, fleet) + _ENCODE(message)


def unpack(fleet: int, data: bytes) -> Message:
    """Raises ForeignDatagram."""
    if len(data) > MAX_DATAGRAM_BYTES or len(data) < _HEAD.size:
        raise ForeignDatagram("of no size that is sent")
    version, whose = _HEAD.unpack_from(data)
    if version != VERSION or whose != fleet:
        raise ForeignDatagram("of another fleet or version")
    try:
        return _DECODE.decode(data[_HEAD.size:])
    except msgspec.DecodeError as error:
        raise ForeignDatagram(str(error)) from None
