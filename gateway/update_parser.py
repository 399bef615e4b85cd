"""Discovery's text turned into entries: the objects of a watch, and the hosts that an object names."""

from __future__ import annotations

import logging
import math
import re
from collections.abc import Sequence
from typing import Any, NamedTuple

from bridgesaddle.api import HostEntry, HostId, HostState

from .start_times import StartTimes
from .timers import now_ns

log = logging.getLogger("gateway.lines")

MAX_UPDATE_BYTES = 8 * 1024 * 1024
STATES = {"in_service": HostState.READY, "terminating": HostState.DRAINING, "terminated": HostState.GONE}


class ListedHost(NamedTuple):
    """A line of the list: what the module is told, and where the host listens."""

    entry: HostEntry
    address: tuple[str, int]


class HostListUpdate(NamedTuple):
    """An object of discovery: its version, whether it names all hosts, and its entries."""

    generation: int
    is_full: bool
    hosts: list[ListedHost]


class MalformedUpdate(Exception):
    """A line of discovery that can't be used."""


class UpdateParser:
    """Turns discovery's objects into entries; names become the numbers of the settings."""

    def __init__(self, zones: Sequence[str], kinds: Sequence[str], starts: StartTimes) -> None:
        self.names = (tuple(zones), tuple(kinds))
        self._zones = {name: index for index, name in enumerate(zones)}
        self._kinds = {name: index for index, name in enumerate(kinds)}
        self._last: dict[HostId, ListedHost] = {}   # each listed host as it was last told
        self._starts = starts

    def parse(self, line: Any, not_before: int = 0) -> HostListUpdate:
        """Read an object and take it in."""
        change = self.read(line, not_before)
        self.accept(change)
        return change

    def read(self, line: Any, not_before: int = 0) -> HostListUpdate:
        """What an object says; a broken entry is logged and dropped.  Nothing of it is remembered before `accept`.

        `not_before`: when the list before it was heard, which new starts can't precede; 0: there was none.
        """
        try:
            generation, rows = int(line["generation"]), line["instances"]
            whole = line.get("reset", False)
            if not isinstance(rows, list) or not isinstance(whole, bool):
                raise MalformedUpdate("instances or reset are of the wrong kind")
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise MalformedUpdate(repr(error)) from None
        listed = []
        now = now_ns()
        self._starts.update_offsets()
        self._starts.newest(max((_started(row) for row in rows), default=0), now)
        for row in rows:
            try:
                listed.append(self._entry(row, now, not_before))
            except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
                log.warning("broken entry: %r: %.200r", error, row)
                if (kept := self._mended(row)) is not None:
                    listed.append(kept)
        return HostListUpdate(generation, whole, listed)

    def accept(self, change: HostListUpdate) -> None:
        """The object is believed: broken entries of later ones are mended by it."""
        if change.is_full:
            self._last.clear()
        for item in change.hosts:
            self._last[item.entry.host] = item
            if item.entry.state is HostState.GONE:
                del self._last[item.entry.host]
        self._starts.forget(self._last.keys())

    def _mended(self, row: Any) -> ListedHost | None:
        """A broken entry of a host that is known: as it was, but for a state that can be read.

        Guards against a host that goes because of a figure that can't be read, and one that drains unheard.
        """
        if not isinstance(row, dict) or not isinstance(row.get("instanceId"), str):
            return None
        known = self._last.get(row["instanceId"])
        state = STATES.get(row["lifecycle"]) if isinstance(row.get("lifecycle"), str) else None
        if known is None or state is None:
            return known
        return known._replace(entry=known.entry._replace(state=state))

    def _entry(self, row: dict[str, Any], now: int, not_before: int) -> ListedHost:
        address, _, port = row["hostPort"].rpartition(":")
        started, weight = int(row.get("startedAtMs") or 0), float(row.get("weight", 1.0))
        if not address or not 0 < int(port) < 65536 or not math.isfinite(weight) or started < 0:
            raise ValueError("a figure out of range")
        host = row["instanceId"]
        if not isinstance(host, str) or not host:
            raise ValueError("no instanceId")
        entry = HostEntry(host, self._zones[row["zone"]], self._kinds.get(row.get("machineType", ""), 0),
                          int(row.get("cell", 0)), STATES[row["lifecycle"]], weight,
                          self._starts.of(host, started, now, not_before))
        return ListedHost(entry, (address.strip("[]"), int(port)))


def _started(row: Any) -> int:
    """The start of an entry that can be read, ms; else 0."""
    started = row.get("startedAtMs") if isinstance(row, dict) else 0
    return started if isinstance(started, int) and started > 0 else 0


_TEXTS = re.compile(rb'"(?:[^"\\]|\\.)*"')
_BEGIN = re.compile(rb'\{\s*"generation"\s*:')
"""What each object begins with, and nothing in it: its quotes would be escaped in a name."""
_NO_BRACKETS = bytes(set(range(256)) - set(b"{}[]"))


class Objects:
    """Cuts a watch's text into its objects, each on one line or, indented, on several.

    A line that is cut short must cost no change: it can't be told from the start of an indented object by itself, but
    by what follows.  A string that does not end on its line, an object where a name should stand, an empty line in
    the middle and, told by `Discovery`, nothing at all for a while: in each case the call is begun anew.
    """

    def __init__(self) -> None:
        self._lines: list[bytes] = []   # of an object that is not whole
        self._open = bytearray()        # its brackets that are open
        self._rest = b""                # a line that is not whole
        self._size = 0

    @property
    def partial(self) -> bool:
        """Whether an object has begun and is not whole."""
        return bool(self._lines or self._rest.strip())

    def feed(self, data: bytes) -> list[bytes]:
        """The objects that are whole now; raises BadLine where one can't become whole any more."""
        *lines, rest = (self._rest + data).split(b"\n")
        self._rest = rest
        self._size += len(data)
        whole = []
        for line in lines:
            if self._take(line.strip()):
                whole.append(b"\n".join(self._lines))
                self._lines.clear()
                self._size = len(rest)
        if self._size > MAX_UPDATE_BYTES:
            raise MalformedUpdate("an object without end")
        if not self._lines:
            self._size = len(rest)
        return whole

    def _take(self, line: bytes) -> bool:
        """One more line; whether it makes the object whole."""
        if not line:
            if self._lines:
                raise MalformedUpdate("an empty line in an object")
            return False
        if _BEGIN.search(line, 1) or (self._lines and _BEGIN.match(line)):
            raise MalformedUpdate("an object behind one that was cut short")
        bare = _TEXTS.sub(b"", line)
        if b'"' in bare:
            raise MalformedUpdate("a string without end")
        if not self._open and bare[:1] != b"{":
            raise MalformedUpdate("no object")
        if self._open[-1:] == b"{" and bare[:1] in b"{[" and not self._lines[-1].endswith(b":"):
            raise MalformedUpdate("an object in an object")
        for bracket in bare.translate(None, _NO_BRACKETS):
            if bracket in b"{[":
                self._open.append(bracket)
            elif not self._open or self._open.pop() != bracket - 2:
                raise MalformedUpdate("brackets that do not fit")
        self._lines.append(line)
        return not self._open
