"""Discovery: the watch, the whole list, and their lines turned into `HostEntry`."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import random
import re
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, cast

import httptools

from bridgesaddle.api import MS, SECOND, HostEntry, HostId, HostState, ListKind

from .events import event
from .timers import Timers, now_ns

log = logging.getLogger("gateway.discovery")

HEARTBEAT = 2 * SECOND
"""An empty line comes so often while nothing changes."""
TOLD = 6 * SECOND
"""A change counts as told so long after discovery had it and could be reached, whatever became of calls meanwhile.

Nobody tells when discovery is back, and a call that began before may never be answered.  So from any moment on, what
is left of a call in vain, the rest after it and the turn of the next call must fit into this: `Discovery._rest` sees
to it.
"""
TURN = TOLD // 2
"""What a rest leaves to the next call for its turn, at a discovery that serves all gateways.

After the longest wait in vain 2 s are left.
"""
CALL = TURN + SECOND // 2
"""Longest wait for the first line: the answer to a call that was a whole turn in the queue is still under way."""
SILENT = 3 * SECOND
"""A watch that has been silent so long is dead: one heartbeat missed and half of one more."""
CONNECT = 2 * SECOND
"""Longest wait for the connection itself."""
CUT_SHORT = 150 * MS
"""An object that has begun and of which nothing comes for so long was cut short; doubles each time that it was so."""
MAX_LINE = 8 * 1024 * 1024
MAX_HEAD = 16 * 1024
BACKOFF_FIRST = 250 * MS
APART = 250 * MS
"""Watches that fall silent together are begun anew so far apart, at random."""
AT_ONCE = 100 * MS
"""A call that fails within this time has not waited its turn."""
PATH = "/registry/instances"
STATES = {"in_service": HostState.READY, "terminating": HostState.DRAINING, "terminated": HostState.GONE}


class Listed(NamedTuple):
    """A line of the list: what the module is told, and where the host listens."""

    entry: HostEntry
    address: tuple[str, int]


class BadLine(Exception):
    """A line of discovery that can't be used."""


class Lines:
    """Turns discovery's objects into entries; names become the numbers of the settings."""

    def __init__(self, zones: Sequence[str], kinds: Sequence[str], clock_offset_ns: int) -> None:
        self.names = (tuple(zones), tuple(kinds))
        self._zones = {name: index for index, name in enumerate(zones)}
        self._kinds = {name: index for index, name in enumerate(kinds)}
        self._last: dict[HostId, Listed] = {}   # each listed host as it was last told
        self._offset = clock_offset_ns   # monotonic less Unix time: fixed, so that a start keeps its time

    def parse(self, line: Any) -> tuple[int, bool, list[Listed]]:
        """Generation, whether the list is whole, and its entries; a broken one is logged and dropped."""
        try:
            generation, rows = int(line["generation"]), line["instances"]
            whole = line.get("reset", False)
            if not isinstance(rows, list) or not isinstance(whole, bool):
                raise BadLine("instances or reset are of the wrong kind")
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise BadLine(repr(error)) from None
        listed = []
        for row in rows:
            try:
                listed.append(self._entry(row))
            except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
                log.warning("broken entry: %r: %.200r", error, row)
                if (kept := self._mended(row)) is not None:
                    listed.append(kept)
        if whole:
            self._last.clear()
        for item in listed:
            self._last[item.entry.host] = item
            if item.entry.state is HostState.GONE:
                del self._last[item.entry.host]
        return generation, whole, listed

    def _mended(self, row: Any) -> Listed | None:
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

    def _entry(self, row: dict[str, Any]) -> Listed:
        address, _, port = row["hostPort"].rpartition(":")
        started, weight = int(row.get("startedAtMs") or 0), float(row.get("weight", 1.0))
        if not address or not 0 < int(port) < 65536 or not math.isfinite(weight) or started < 0:
            raise ValueError("a figure out of range")
        host = row["instanceId"]
        if not isinstance(host, str) or not host:
            raise ValueError("no instanceId")
        entry = HostEntry(host, self._zones[row["zone"]], self._kinds.get(row.get("machineType", ""), 0),
                          int(row.get("cell", 0)), STATES[row["lifecycle"]], weight,
                          max(1, started * MS + self._offset) if started else 0)
        return Listed(entry, (address.strip("[]"), int(port)))


_TEXTS = re.compile(rb'"(?:[^"\\]|\\.)*"')
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
        if self._size > MAX_LINE:
            raise BadLine("an object without end")
        if not self._lines:
            self._size = len(rest)
        return whole

    def _take(self, line: bytes) -> bool:
        """One more line; whether it makes the object whole."""
        if not line:
            if self._lines:
                raise BadLine("an empty line in an object")
            return False
        bare = _TEXTS.sub(b"", line)
        if b'"' in bare:
            raise BadLine("a string without end")
        if not self._open and bare[:1] != b"{":
            raise BadLine("no object")
        if self._open[-1:] == b"{" and bare[:1] in b"{[" and not self._lines[-1].endswith(b":"):
            raise BadLine("an object in an object")
        for bracket in bare.translate(None, _NO_BRACKETS):
            if bracket in b"{[":
                self._open.append(bracket)
            elif not self._open or self._open.pop() != bracket - 2:
                raise BadLine("brackets that do not fit")
        self._lines.append(line)
        return not self._open


class _Call(asyncio.Protocol):
    """One call of discovery: a watch, which stays open, or the whole list once."""

    def __init__(self, owner: Discovery, watch: bool) -> None:
        self._owner = owner
        self._watch = watch
        self._parser = httptools.HttpResponseParser(self)
        self._objects = Objects()
        self._body = bytearray()    # not yet cut into objects; of a list that is asked for once, all of it
        self._done = False
        self._status = 0     # once its head is whole
        self._size = 0
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None
        self.over = False
        self.begun = now_ns()
        self.heard = 0
        self.told = 0     # when a list of it was first taken

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)   # uvloop has its own kind
        if self.over:
            self.transport.abort()
            return
        query = f"?watch=1&from={self._owner.generation}" if self._watch else ""
        self.transport.write(f"GET {PATH}{query} HTTP/1.1\r\nHost: {self._owner.authority}\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        if self.over:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._owner.ended(self, f"malformed answer: {error}")
            return
        self._size += len(data)
        if not self._status:   # the head comes in pieces
            if self._size > MAX_HEAD:
                self._owner.ended(self, "a head without end")
            return
        if self._status != 200:
            self._owner.ended(self, f"answer {self._status}")
            return
        self.heard = self._owner.heard_at = now_ns()
        try:
            self._cut()
        except BadLine as error:
            self._owner.broken(self, error)
        if self._done:
            self._owner.ended(self, "the answer has ended", failed=self._watch)
        elif self._objects.partial and not self.over:
            self._owner.cut_short(self)

    def _cut(self) -> None:
        """Tell the objects that are whole."""
        if self._watch:
            texts, self._body = self._objects.feed(bytes(self._body)), bytearray()
        else:
            if len(self._body) > MAX_LINE:
                raise BadLine("a list without end")
            texts = [bytes(self._body)] if self._done else []
        for text in texts:
            if not self.over:
                self._owner.line(self, text)

    def on_headers_complete(self) -> None:
        self._status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        self._done = True

    def connection_lost(self, exc: Exception | None) -> None:
        self._owner.ended(self, f"connection lost: {exc}")

    def due(self) -> int:
        """From when on it counts as silent: the other side may have vanished without a word."""
        if self.heard:
            return self.heard + SILENT
        return self.begun + (CONNECT if self.transport is None else CALL)

    def close(self) -> None:
        self.over = True
        if self.transport is not None:
            self.transport.abort()
        elif self.task is not None:
            self.task.cancel()


class Discovery:
    """Keeps the watch that was asked for once, and tells what comes of it.

    The module chooses when to ask first; where lists are pushed it asks for nothing.  From then on a watch that ends is
    begun anew from here: the time until a change is heard has this one owner.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, timers: Timers, address: tuple[str, int],
                 lines: Lines, pushed: bool,
                 tell: Callable[[ListKind, list[Listed]], None], grace_ns: int = 0) -> None:
        self._loop = loop
        self.grace_ns = grace_ns   # in which a change has to be followed
        self._timers = timers
        self._address = address
        self._lines = lines
        self._pushed = pushed
        self._tell = tell
        self._wanted = False
        self.heard_at = 0        # when discovery last said anything; 0: not yet
        self._rests_until = 0    # 0: the watch does not rest
        self._watch: _Call | None = None
        self._fetch: _Call | None = None
        self._pause = BACKOFF_FIRST
        self._patience = CUT_SHORT
        self.authority = f"{address[0]}:{address[1]}"
        self.generation = 0

    def known(self, listed: Any) -> None:
        """The list that the configuration brings."""
        try:
            self.generation, _, entries = self._lines.parse(listed)
        except BadLine as error:
            log.warning("the known list is broken: %s", error)
            entries = []
        self._tell(ListKind.CACHED, entries)

    def watch(self, active: bool) -> None:
        """Subscribe, or no longer.  One watch at a time: a second call would cost lines and tell nothing."""
        self._wanted = active
        if active and self._watch is None and not self._rests_until:
            self._watch = self._call(True)
        elif not active and self._watch is not None:
            call, self._watch = self._watch, None
            call.close()

    def _watch_after(self, rest_ns: int) -> None:
        self._rests_until = now_ns() + rest_ns
        self._timers.at(self._rests_until, self._rested, self._rests_until)

    def _rested(self, until: int) -> None:
        if until == self._rests_until:   # else it ended before its time, as discovery has moved
            self._rests_until = 0
            if self._wanted:
                self.watch(True)

    def fetch(self) -> None:
        """The whole list, once."""
        if self._fetch is None:
            self._fetch = self._call(False)

    def move(self, address: tuple[str, int], lines: Lines, pushed: bool,
             others: Sequence[tuple[str, int]] = ()) -> None:
        """Discovery is elsewhere now: its calls end there and begin here, a watch at once and from the start.

        The module is told nothing: it would wait before it asks again, and versions may be counted anew.
        So it is where zones or kinds have other numbers: the whole list is wanted in the new ones.
        """
        self._pushed = pushed
        if address == self._address and lines.names == self._lines.names:
            return
        self._lines = lines
        self._address = address
        self.authority = f"{address[0]}:{address[1]}"
        self.generation = 0
        self._pause = BACKOFF_FIRST
        self._rests_until = 0
        self.watch(False)
        self.watch(True)
        if self._fetch is not None:
            self._fetch.close()
            self._fetch = self._call(False)

    def _call(self, watch: bool) -> _Call:
        event(log, "discovery_call", watch=watch, at=self.authority, since=self.generation)
        call = _Call(self, watch)
        call.task = self._loop.create_task(self._connect(call))
        self._timers.at(call.due(), self._look, call)
        return call

    def _look(self, call: _Call) -> None:
        """Give up a call that has gone silent, in the moment in which it has."""
        if call.over:
            return
        if now_ns() < call.due():
            self._timers.at(call.due(), self._look, call)
        elif call.told:
            self.fell_silent(call)
        else:
            self.ended(call, "silent")

    def fell_silent(self, call: _Call) -> None:
        """A watch that told something and tells no more is begun anew at once, whoever asked for it.

        What it misses counts as told 6 s after it fell silent: there is no time for the pause of a call that failed.
        """
        log.info("discovery: the watch has fallen silent")
        call.close()
        self._watch = None
        self._watch_after(int(random.random() * APART))

    async def _connect(self, call: _Call) -> None:
        try:
            await self._loop.create_connection(lambda: call, *self._address)
        except OSError as error:
            self.ended(call, f"no connection: {error}")
        except asyncio.CancelledError:
            pass

    def line(self, call: _Call, text: bytes) -> None:
        """A list or its changes have come."""
        try:
            told = json.loads(text)
            generation, whole, entries = self._lines.parse(told)
        except (BadLine, ValueError, RecursionError) as error:
            self.broken(call, error)
            return
        whole = whole or call is self._fetch
        if why := self._doubt(told, generation, whole, entries):
            self.ended(call, why)
            return
        self.generation = generation
        self._pause = BACKOFF_FIRST
        self._patience = CUT_SHORT
        call.told = call.told or now_ns()
        event(log, "list", generation=generation, whole=whole, entries=len(entries))
        self._tell(ListKind.FULL if whole else ListKind.DELTA, entries)

    def broken(self, call: _Call, error: Exception) -> None:
        """Guards against a lost change: the call is given up and begun anew from the last good version."""
        log.warning("broken line dropped: %s", error)
        self.ended(call, "a broken line")

    def cut_short(self, call: _Call) -> None:
        """An object has begun and is not whole: what was cut short shows only by nothing coming any more."""
        self._timers.after(self._patience, self._cut_short, (call, call.heard))

    def _cut_short(self, about: tuple[_Call, int]) -> None:
        call, heard = about
        if not call.over and call.heard == heard:
            self._patience *= 2   # a service that is slow with each list must not be asked for it for ever
            self.ended(call, "an object that was cut short")

    def _doubt(self, told: dict[str, Any], generation: int, whole: bool, entries: Sequence[Listed]) -> str:
        """Why a list is not taken; one service alone is believed."""
        return ""

    def ended(self, call: _Call, why: str, failed: bool = True) -> None:
        """A call is over; told once, and only if it failed."""
        if call.over:
            return
        call.close()
        if call is self._fetch:
            self._fetch = None
        elif call is self._watch:
            self._watch = None
        if not failed:
            return
        log.info("discovery: %s", why)
        self._tell(ListKind.FAILED, [])
        if self._wanted and self._watch is None:
            self._watch_after(self._rest(call))

    def _rest(self, call: _Call) -> int:
        """How long the watch rests after a call that has ended.

        It doubles with each call in vain, as each costs a service that has too many callers, up to what is left of
        TOLD.  A service that has told a list ends a watch rather than tell a change, and the change counts: the rest is
        a part of the time in which it has to be followed.  So it is where lists are pushed and the service is down,
        which is asked nothing by that, as what it has counts as told whether a watch is open or not; one with too many
        callers lets them wait before it turns them away.
        """
        now = now_ns()
        alive = call.told and now - call.told > SECOND
        waited = 0 if call.told else now - call.begun
        down = call.transport is None or (not call.heard and waited < AT_ONCE)
        if self.grace_ns and (alive or (self._pushed and down)):
            rest = min(BACKOFF_FIRST, self.grace_ns // 4)
        else:
            left = TOLD - TURN - waited
            rest = min(self._pause, max(BACKOFF_FIRST, left * 2 // 3))   # it is drawn up to half as long again
            self._pause = 2 * rest
        return int(rest * (0.5 + random.random()))

    def start(self) -> None:
        """Where lists are pushed nobody asks: the watch begins by itself."""
        if self._pushed:
            self.watch(True)

    def close(self) -> None:
        """End everything; the program is over."""
        self.watch(False)
        if self._fetch is not None:
            self._fetch.close()
