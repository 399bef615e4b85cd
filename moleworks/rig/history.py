"""The record of a run, seen from outside the program: one JSON object a line, `e` naming its kind, `t` in ns.

`t` counts from the run's start, on the machine's one monotonic clock or in virtual time.  Judges read the lines on
their own; nothing here is shared with them.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

FLUSH_LINES = 4096


class World(Struct, tag_field="e", tag="world"):
    """The first line: who is there, and the rules' figures.  Times in ns."""

    t: int
    driver: str
    duration: int
    warmup: int
    classes: list[dict[str, Any]]
    hosts: list[dict[str, Any]]
    gateways: list[dict[str, Any]]
    rules: dict[str, Any]
    v: int = 1


class Ask(Struct, tag_field="e", tag="ask"):
    """A client has written a request's last byte.  `o`: the first try's id; `ttl`: how long it waits."""

    t: int
    r: int
    o: int
    g: str
    c: int
    ttl: int


class Answer(Struct, tag_field="e", tag="answer"):
    """What the client saw: served, refused, failed, cut (ended without a whole answer), none, unreachable, left.

    `by`: the token that the body carried, for a served one.
    """

    t: int
    r: int
    how: str
    by: int = 0


class Begin(Struct, tag_field="e", tag="begin"):
    """A host has got a request's last byte; `k` is a token of this arrival alone.

    `c` and `n`: the link's connection and the request's number on it.  `s`: when it was sent, where a link held it,
    and `x`: when the gateway had given it up by then, both -1 where it is not so.
    """

    t: int
    h: str
    r: int
    g: str
    k: int
    c: int = 0
    n: int = 0
    s: int = -1
    x: int = -1


class Sent(Struct, tag_field="e", tag="sent"):
    """A link has held request `n` of connection `c` for a while; it had come from the gateway at `t`."""

    t: int
    c: int
    n: int


class Shut(Struct, tag_field="e", tag="shut"):
    """The gateway's side of a link's connection is closed, by whichever side."""

    t: int
    c: int


class End(Struct, tag_field="e", tag="end"):
    """How that arrival ended at the host: served, error, full (never ran), died."""

    t: int
    h: str
    k: int
    how: str


class Left(Struct, tag_field="e", tag="left"):
    """The gateway has given up that attempt before its end."""

    t: int
    h: str
    k: int


class Listed(Struct, tag_field="e", tag="list"):
    """A list, or its changes, has been written to a gateway: rows of host, state, start (ns or 0)."""

    t: int
    g: str
    full: bool
    rows: Sequence[tuple[str, str]]


class HostEvent(Struct, tag_field="e", tag="host"):
    """up, down, silent, drain or topple."""

    t: int
    h: str
    what: str


class GatewayEvent(Struct, tag_field="e", tag="gateway"):
    """up, down, drain, stop, go, and hidden and seen: a fault stands between it and its clients."""

    t: int
    g: str
    what: str


class FaultEvent(Struct, tag_field="e", tag="fault"):
    """A fault begins or ends."""

    t: int
    i: int
    what: str
    kind: str
    on: str
    to: str = ""
    size: float = 0.0


class Note(Struct, tag_field="e", tag="note"):
    """What the rig has to say of itself: how late it was, what it could not do."""

    t: int
    what: str
    figures: dict[str, float] = {}


class Writer:
    """Appends records to a file; each part of a run has its own, merged at the end."""

    def __init__(self, path: Path) -> None:
        self._encode = msgspec.json.Encoder().encode
        self._file = open(path, "wb")   # noqa: SIM115  closed by close()
        self._lines: list[bytes] = []

    def add(self, record: Struct) -> None:
        """One record."""
        self._lines.append(self._encode(record))
        if len(self._lines) >= FLUSH_LINES:
            self.flush()

    def flush(self) -> None:
        """Hand what has gathered to the file."""
        if self._lines:
            self._lines.append(b"")
            self._file.write(b"\n".join(self._lines))
            self._lines = []
        self._file.flush()

    def close(self) -> None:
        """The part is over."""
        self.flush()
        self._file.close()


class _Time(Struct):
    t: int


def merge(parts: Iterable[Path], into: Path) -> int:
    """One history from several parts, in the order of time; a last line cut by a kill is left out.

    Returns the number of lines.  Parts are sorted one by one: a part's own lines may be a little out of order.
    """
    decoder: msgspec.json.Decoder[_Time] = msgspec.json.Decoder(_Time)

    def timed(path: Path) -> list[tuple[int, bytes]]:
        lines = path.read_bytes().split(b"\n")
        kept = []
        for line in lines:
            if line:
                try:
                    kept.append((decoder.decode(line).t, line))
                except msgspec.DecodeError:
                    continue
        kept.sort(key=lambda pair: pair[0])
        return kept
    count = 0
    with open(into, "wb") as file:
        for _, line in heapq.merge(*(timed(path) for path in parts), key=lambda pair: pair[0]):
            file.write(line + b"\n")
            count += 1
    return count
