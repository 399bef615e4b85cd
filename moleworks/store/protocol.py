"""What goes through the wire between members, and between a client and a member.  MessagePack by msgspec."""

from __future__ import annotations

import msgspec
from msgspec import Struct

from .messages import Config, Message
from .replica import Redirect
from .state import Command, Event, Result


class Hello(Struct, frozen=True, tag="hello"):
    """The first frame of a connection.  A member tells who it is, where it listens, and how often it has started."""

    member: str = ""              # empty: a client
    address: str = ""
    disk: str = ""
    boot: int = 0
    life: str = ""                # drawn at this start
    before: str = ""              # and at the one before


class Call(Struct, frozen=True, tag="call"):
    """A client's call; the answer carries its number."""

    id: int
    what: Command | Get | List | Watch | WatchDuty | Status | Members | Transfer | Compact | Image


class Get(Struct, frozen=True, tag=True):
    """A record, linearizably; `stale`: whatever this member has."""

    key: str
    stale: bool = False


class List(Struct, frozen=True, tag=True):
    """Records by prefix, at most so many, and the grants of duties with `duties`."""

    prefix: str = ""
    most: int = 1000
    stale: bool = False
    after: str = ""               # only keys beyond this one: the next page


class Watch(Struct, frozen=True, tag=True):
    """Changes after a revision, then more as they come, until the connection ends."""

    prefix: str
    after: int


class WatchDuty(Struct, frozen=True, tag=True):
    """A duty's grant, now and whenever another holds it; what lies between may be left out."""

    duty: str


class Compact(Struct, frozen=True, tag=True):
    """Let this member's image take the place of its log now."""


class Image(Struct, frozen=True, tag=True):
    """A piece of the state's image, for a backup: without an `image` a new one as of now, of which the answer names."""

    image: str = ""
    offset: int = 0


class Status(Struct, frozen=True, tag=True):
    """How this member sees things."""


class Members(Struct, frozen=True, tag=True):
    """Add a member under a name and an address, or take one out."""

    add: str = ""
    address: str = ""
    remove: str = ""


class Transfer(Struct, frozen=True, tag=True):
    """Let this member lead."""

    to: str


class Row(Struct, frozen=True):
    """A record in an answer."""

    key: str
    value: bytes
    created: int
    revision: int


class GrantRow(Struct, frozen=True):
    """A duty's grant in an answer."""

    duty: str
    holder: str
    token: int
    ttl_ms: int
    to: str


class Answer(Struct, frozen=True, tag="answer", omit_defaults=True):
    """To a call: one of these.  A watch gets many, with `events`; `compacted` ends it: list anew from `revision`."""

    id: int
    result: Result | None = None
    elsewhere: Redirect | None = None
    address: str = ""                     # of whom `elsewhere` names
    rows: list[Row] | None = None
    grants: list[GrantRow] | None = None
    events: list[Event] | None = None
    compacted: bool = False
    revision: int = 0
    status: StatusRow | None = None
    error: str = ""
    data: bytes = b""                     # a piece of an image
    image: str = ""                       # its name
    size: int = 0                         # and how long it is in all


class StatusRow(Struct, frozen=True):
    """A member's view."""

    member: str
    role: str
    leader: str
    term: int
    commit: int
    applied: int
    first: int                            # of the log, after its snapshot
    last: int
    revision: int
    config: Config
    boot: int
    bytes: int
    refused: dict[str, str]


class Peer(Struct, frozen=True, tag="peer"):
    """A message between members."""

    message: Message


Frame = Hello | Call | Peer
ENCODE = msgspec.msgpack.Encoder().encode
FRAME: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)
ANSWER: msgspec.msgpack.Decoder[Answer] = msgspec.msgpack.Decoder(Answer)
