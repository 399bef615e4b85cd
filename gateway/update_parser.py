"""Parses discovery's output: splits a watch's stream into updates, and converts updates to host entries."""

from __future__ import annotations

import logging
import math
import re
from collections.abc import Sequence
from typing import Any, NamedTuple

from bridgesaddle.api import HostEntry, HostId, HostState

from .start_times import StartTimes
from .timers import now_ns

log = logging.getLogger("gateway.lines")   # the name is part of the interface to operators

MAX_UPDATE_BYTES = 8 * 1024 * 1024
STATES = {"in_service": HostState.READY, "terminating": HostState.DRAINING, "terminated": HostState.GONE}


class ListedHost(NamedTuple):
    """A host of the list: its entry for the decision module, and the address on which it listens."""

    entry: HostEntry
    address: tuple[str, int]


class HostListUpdate(NamedTuple):
    """An update from discovery: its generation, whether it is a full list, and its hosts."""

    generation: int
    whole: bool
    listed: list[ListedHost]


class MalformedUpdate(Exception):
    """An update from discovery that cannot be used."""


class UpdateParser:
    """Converts discovery's JSON objects to updates; names of zones and machine types become indices of the settings."""

    def __init__(self, zones: Sequence[str], kinds: Sequence[str], starts: StartTimes) -> None:
        self.configured_names = (tuple(zones), tuple(kinds))
        self._zones = {name: index for index, name in enumerate(zones)}
        self._kinds = {name: index for index, name in enumerate(kinds)}
        self._accepted: dict[HostId, ListedHost] = {}   # the last accepted entry of each listed host
        self._starts = starts

    def parse(self, content: Any, not_before: int = 0) -> HostListUpdate:
        """Parses an update and accepts it."""
        update = self.read(content, not_before)
        self.accept(update)
        return update

    def read(self, content: Any, not_before: int = 0) -> HostListUpdate:
        """Parses an update without remembering it; a malformed entry is logged and repaired or dropped.

        `not_before`: when the previous list was received, which new starts cannot precede; 0 if there was none.
        """
        try:
            generation, rows = int(content["generation"]), content["instances"]
            is_full = content.get("reset", False)
            if not isinstance(rows, list) or not isinstance(is_full, bool):
                raise MalformedUpdate("instances or reset have the wrong type")
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise MalformedUpdate(repr(error)) from None
        hosts = []
        now = now_ns()
        self._starts.update_offsets()
        self._starts.observe_newest(max((_start_ms(row) for row in rows), default=0), now)
        for row in rows:
            try:
                hosts.append(self._parse_entry(row, now, not_before))
            except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
                log.warning("broken entry: %r: %.200r", error, row)
                if (repaired := self._repair(row)) is not None:
                    hosts.append(repaired)
        return HostListUpdate(generation, is_full, hosts)

    def accept(self, update: HostListUpdate) -> None:
        """Remembers the entries of an accepted update, which repair malformed entries of later ones."""
        if update.whole:
            self._accepted.clear()
        for item in update.listed:
            self._accepted[item.entry.host] = item
            if item.entry.state is HostState.GONE:
                del self._accepted[item.entry.host]
        self._starts.forget_unlisted(self._accepted.keys())

    def _repair(self, row: Any) -> ListedHost | None:
        """Replaces a malformed entry of a known host by its last accepted one, with the new state if that is readable.

        Otherwise an unreadable number would remove a host, or hide that it drains.
        """
        if not isinstance(row, dict) or not isinstance(row.get("instanceId"), str):
            return None
        known = self._accepted.get(row["instanceId"])
        state = STATES.get(row["lifecycle"]) if isinstance(row.get("lifecycle"), str) else None
        if known is None or state is None:
            return known
        return known._replace(entry=known.entry._replace(state=state))

    def _parse_entry(self, row: dict[str, Any], now: int, not_before: int) -> ListedHost:
        address, _, port = row["hostPort"].rpartition(":")
        started, weight = int(row.get("startedAtMs") or 0), float(row.get("weight", 1.0))
        if not address or not 0 < int(port) < 65536 or not math.isfinite(weight) or started < 0:
            raise ValueError("a value is out of range")
        host = row["instanceId"]
        if not isinstance(host, str) or not host:
            raise ValueError("no instanceId")
        entry = HostEntry(host, self._zones[row["zone"]], self._kinds.get(row.get("machineType", ""), 0),
                          int(row.get("cell", 0)), STATES[row["lifecycle"]], weight,
                          self._starts.convert(host, started, now, not_before))
        return ListedHost(entry, (address.strip("[]"), int(port)))


def _start_ms(row: Any) -> int:
    """Returns the start time of an entry, ms; 0 if it is unreadable."""
    started = row.get("startedAtMs") if isinstance(row, dict) else 0
    return started if isinstance(started, int) and started > 0 else 0


_STRINGS = re.compile(rb'"(?:[^"\\]|\\.)*"')
_UPDATE_START = re.compile(rb'\{\s*"generation"\s*:')
"""The start of each update.  It cannot occur within one: its quotes would be escaped in a string."""
_NON_BRACKETS = bytes(set(range(256)) - set(b"{}[]"))


class UpdateSplitter:
    """Splits a watch's stream into updates: JSON objects on one line each or, indented, on several.

    A truncated line must not lose a change.  By itself it cannot be told from the start of an indented object, but what
    follows shows it: a string that does not end on its line, an object where a key should be, an empty line within an
    object, or (detected by `Discovery`) silence for a while.  In each case the call is restarted.
    """

    def __init__(self) -> None:
        self._lines: list[bytes] = []      # of an incomplete object
        self._open_brackets = bytearray()  # of that object
        self._partial_line = b""
        self._size = 0

    @property
    def is_incomplete(self) -> bool:
        """Whether an object has been received in part."""
        return bool(self._lines or self._partial_line.strip())

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the objects that are now complete; raises MalformedUpdate if one cannot become complete any more."""
        *lines, rest = (self._partial_line + data).split(b"\n")
        self._partial_line = rest
        self._size += len(data)
        complete = []
        for line in lines:
            if self._add_line(line.strip()):
                complete.append(b"\n".join(self._lines))
                self._lines.clear()
                self._size = len(rest)
        if self._size > MAX_UPDATE_BYTES:
            raise MalformedUpdate("an update is too long")
        if not self._lines:
            self._size = len(rest)
        return complete

    def _add_line(self, line: bytes) -> bool:
        """Adds a line to the current object; returns whether the object is complete."""
        if not line:
            if self._lines:
                raise MalformedUpdate("an empty line within an object")
            return False
        if _UPDATE_START.search(line, 1) or (self._lines and _UPDATE_START.match(line)):
            raise MalformedUpdate("an object after a truncated one")
        bare = _STRINGS.sub(b"", line)
        if b'"' in bare:
            raise MalformedUpdate("an unterminated string")
        if not self._open_brackets and bare[:1] != b"{":
            raise MalformedUpdate("not an object")
        if self._open_brackets[-1:] == b"{" and bare[:1] in b"{[" and not self._lines[-1].endswith(b":"):
            raise MalformedUpdate("an object without a key within an object")
        for bracket in bare.translate(None, _NON_BRACKETS):
            if bracket in b"{[":
                self._open_brackets.append(bracket)
            elif not self._open_brackets or self._open_brackets.pop() != bracket - 2:
                raise MalformedUpdate("unbalanced brackets")
        self._lines.append(line)
        return not self._open_brackets
