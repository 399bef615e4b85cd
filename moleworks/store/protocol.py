"""Frames between members, and between clients and members; encoded as MessagePack by msgspec."""

from __future__ import annotations

import msgspec
from msgspec import Struct

from .messages import Config, Message
from .replica import Redirect
from .state import Command, Event, Result


class Hello(Struct, frozen=True, tag="hello"):
    """The first frame of a connection.  Identifies a member by its name, address, disk and starts."""

    member: str = ""              # empty: the sender is a client
    address: str = ""
    disk: str = ""
    boot: int = 0
    life: str = ""                # random identifier of this start
    before: str = ""              # and of the start before


class Call(Struct, frozen=True, tag="call"):
    """A client's call; the answers carry the same `id`."""

    id: int
    what: Command | Get | List | Watch | WatchDuty | Status | Members | Transfer | Compact | Image


class Get(Struct, frozen=True, tag=True):
    """Reads a record, linearizably; with `stale`, from this member's state as it is."""

    key: str
    stale: bool = False


class List(Struct, frozen=True, tag=True):
    """Reads at most `most` records by prefix, and all grants; `stale` as in `Get`."""

    prefix: str = ""
    most: int = 1000
    stale: bool = False
    after: str = ""               # only keys greater than this one, for pagination


class Watch(Struct, frozen=True, tag=True):
    """Streams the changes after a revision until the connection ends."""

    prefix: str
    after: int


class WatchDuty(Struct, frozen=True, tag=True):
    """Streams a duty's grant, now and after changes of holder; intermediate grants may be skipped."""

    duty: str


class Compact(Struct, frozen=True, tag=True):
    """Replaces this member's log with a snapshot now."""


class Image(Struct, frozen=True, tag=True):
    """Reads a chunk of a state image, for a backup.  An empty `image` creates one, whose name the answer contains."""

    image: str = ""
    offset: int = 0


class Status(Struct, frozen=True, tag=True):
    """Requests this member's status."""


class Members(Struct, frozen=True, tag=True):
    """Adds a member under a name and an address, or removes one."""

    add: str = ""
    address: str = ""
    remove: str = ""


class Transfer(Struct, frozen=True, tag=True):
    """Transfers leadership to this member."""

    to: str


class Row(Struct, frozen=True):
    """A record, in an answer."""

    key: str
    value: bytes
    created: int
    revision: int


class GrantRow(Struct, frozen=True):
    """A duty's grant, in an answer."""

    duty: str
    holder: str
    token: int
    ttl_ms: int
    to: str


class Answer(Struct, frozen=True, tag="answer", omit_defaults=True):
    """The answer to a call, with one kind of content.  A watch receives many, with `events`.

    `compacted` ends a watch: the client must list the records again and watch from `revision`.
    """

    id: int
    result: Result | None = None
    elsewhere: Redirect | None = None
    address: str = ""                     # of the leader that `elsewhere` names
    rows: list[Row] | None = None
    grants: list[GrantRow] | None = None
    events: list[Event] | None = None
    compacted: bool = False
    revision: int = 0
    status: StatusRow | None = None
    error: str = ""
    data: bytes = b""                     # a chunk of an image
    image: str = ""                       # the image's name
    size: int = 0                         # the image's total size in bytes


class StatusRow(Struct, frozen=True):
    """A member's status."""

    member: str
    role: str
    leader: str
    term: int
    commit: int
    applied: int
    first: int                            # index of the first log entry, after the snapshot
    last: int                             # index of the last log entry
    revision: int
    config: Config
    boot: int
    bytes: int
    refused: dict[str, str]


class Peer(Struct, frozen=True, tag="peer"):
    """A frame with a message between members."""

    message: Message


Frame = Hello | Call | Peer
ENCODE = msgspec.msgpack.Encoder().encode
FRAME: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)
ANSWER: msgspec.msgpack.Decoder[Answer] = msgspec.msgpack.Decoder(Answer)
