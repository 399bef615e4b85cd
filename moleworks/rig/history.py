"""The history of a run as observed from outside the gateway: one JSON object per line.

Field `e` is the kind of the line, `t` its time in ns since the run's start, on the machine's monotonic clock or in
virtual time.  Judges parse the lines themselves and share no code with this module.
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
    """The first line: the hosts, gateways and classes, and the limits of the rules.  Times in ns."""

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
    """A client has written the last byte of a request.

    `r`: request id; `o`: id of the client's first try; `g`: gateway; `c`: class; `ttl`: the client's timeout.
    """

    t: int
    r: int
    o: int
    g: str
    c: int
    ttl: int


class Answer(Struct, tag_field="e", tag="answer"):
    """The outcome that the client saw.

    `how`: served, refused, failed, cut (connection ended before the response was complete), none (no response),
    unreachable or left (the client disconnected); `by`: the arrival token in the body of a served response.
    """

    t: int
    r: int
    how: str
    by: int = 0


class Begin(Struct, tag_field="e", tag="begin"):
    """A host has received the last byte of a request; `k` is the unique token of this arrival.

    `c` and `n`: the link's connection and the number of the request on it.  `s`: when the request was sent, if a link
    delayed it; `x`: when the gateway cancelled the attempt, if it did so before the arrival; otherwise -1.
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
    """A link delayed request `n` of connection `c`; the gateway sent it at `t`."""

    t: int
    c: int
    n: int


class Shut(Struct, tag_field="e", tag="shut"):
    """A link's connection to the gateway has been closed, by either side."""

    t: int
    c: int


class End(Struct, tag_field="e", tag="end"):
    """How an arrival ended at the host: served, error, full (never ran) or died."""

    t: int
    h: str
    k: int
    how: str


class Left(Struct, tag_field="e", tag="left"):
    """The gateway has cancelled the attempt before it ended."""

    t: int
    h: str
    k: int


class Listed(Struct, tag_field="e", tag="list"):
    """A full list, or changes to it, has been written to a gateway: rows of host, state, start time (ns or 0)."""

    t: int
    g: str
    full: bool
    rows: Sequence[tuple[str, str]]


class HostEvent(Struct, tag_field="e", tag="host"):
    """An event of a host: up, down, silent, drain or topple (collapse under overload)."""

    t: int
    h: str
    what: str


class GatewayEvent(Struct, tag_field="e", tag="gateway"):
    """An event of a gateway: up, down, drain, stop, go, hidden or seen.

    hidden and seen: a fault that separates the gateway from its clients has begun or ended.
    """

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
    """A remark about the rig itself, such as how late it was or what it could not do."""

    t: int
    what: str
    figures: dict[str, float] = {}


class Writer:
    """Appends records to a file; each process of a run writes its own file, and the files are merged at the end."""

    def __init__(self, path: Path) -> None:
        self._encode = msgspec.json.Encoder().encode
        self._file = open(path, "wb")   # noqa: SIM115  closed by close()
        self._lines: list[bytes] = []

    def add(self, record: Struct) -> None:
        """Append one record."""
        self._lines.append(self._encode(record))
        if len(self._lines) >= FLUSH_LINES:
            self.flush()

    def flush(self) -> None:
        """Write the buffered lines to the file."""
        if self._lines:
            self._lines.append(b"")
            self._file.write(b"\n".join(self._lines))
            self._lines = []
        self._file.flush()

    def close(self) -> None:
        """Flush and close the file."""
        self.flush()
        self._file.close()


class _Timestamp(Struct):
    t: int


def merge(parts: Iterable[Path], into: Path) -> int:
    """Merge the files of several processes into one history ordered by time; return the number of lines.

    A last line that was truncated when a process was killed is dropped.  Each file is sorted first, as its lines may
    be slightly out of order.
    """
    decoder: msgspec.json.Decoder[_Timestamp] = msgspec.json.Decoder(_Timestamp)

    def timed_lines(path: Path) -> list[tuple[int, bytes]]:
        lines = path.read_bytes().split(b"\n")
        parsed = []
        for line in lines:
            if line:
                try:
                    parsed.append((decoder.decode(line).t, line))
                except msgspec.DecodeError:
                    continue
        parsed.sort(key=lambda pair: pair[0])
        return parsed
    count = 0
    with open(into, "wb") as file:
        for _, line in heapq.merge(*(timed_lines(path) for path in parts), key=lambda pair: pair[0]):
            file.write(line + b"\n")
            count += 1
    return count
