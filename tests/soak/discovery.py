"""Discovery of a play: a list with versions, one door for each gateway and address, and faults on each door."""

from __future__ import annotations

import asyncio
import json
import socket
from collections import deque
from contextlib import suppress
from typing import Any

from .addresses import free_address
from .hosts import Clock, Host
from .journal import Change, Journal, Spell, Watch
from .plan import CallPlan

BEAT_S = 2.0
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


MOST_WAIT_S = 3.0
"""A call that would wait longer for its turn is turned away."""


class Turns:
    """The one queue of all gateways' calls: they are served in turn, so many a second."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self.capacity = 0.0        # calls a second; 0: no limit
        self.lines_wait = False    # lines of changes take a turn as calls do
        self.keeps = False         # a call that has no turn in time is kept until its time is over
        self.turned_away = 0
        self._free_at = 0.0

    def take(self) -> float | None:
        """Take a turn: how far off it is, seconds; None where there is none in time."""
        if not self.capacity:
            return 0.0
        now = self._loop.time()
        begins = max(now, self._free_at)
        if begins - now > MOST_WAIT_S:
            self.turned_away += 1
            return None
        self._free_at = begins + 1 / self.capacity
        return self._free_at - now

    async def wait(self) -> bool:
        """Wait for a turn; false where there is none in time: at once where the queue is that long already."""
        waits = self.take()
        if waits is None:
            if self.keeps:
                await asyncio.sleep(MOST_WAIT_S)
            return False
        if waits:
            await asyncio.sleep(waits)
        return True


class Door:
    """The address at which one gateway finds discovery."""

    def __init__(self, service: Discovery, gateway: str) -> None:
        self._service = service
        self.gateway = gateway
        self._loop = asyncio.get_running_loop()
        self._fill: list[socket.socket] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._watches: set[asyncio.StreamWriter] = set()
        self.call_s = 0.0
        self.order: deque[CallPlan] = deque()   # what becomes of the next calls
        self.busy = False           # 503 at once
        self.hangs = False          # calls come and are not answered
        self.silent: set[asyncio.StreamWriter] = set()   # watches that get nothing any more
        self.ends = False           # watches end rather than tell
        self.ends_late_s = 0.0      # the same, but so long after the change: their lines wait for a turn, beats do not
        self.cuts = 0               # so many lines are cut short
        self.repeats = False        # behind each line the one before it comes once more
        self.whole = False          # calls are answered with the whole list, which leaves out what drains
        self.resets = False         # calls are reset as soon as they have come
        self._listen(free_address())
        self.address = "{}:{}".format(*self._socket.getsockname())

    def _listen(self, address: tuple[str, int]) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(address)
        self._socket.setblocking(False)
        self._socket.listen(512)
        self._loop.add_reader(self._socket, self._accept)

    def refuse(self, active: bool) -> None:
        """New connections are refused, as nobody listens; all calls end."""
        if active:
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self.reset()
        else:
            host, _, port = self.address.partition(":")
            self._listen((host, int(port)))

    def _accept(self) -> None:
        while True:
            try:
                sock, peer = self._socket.accept()
            except OSError:
                return
            if any(peer == own.getsockname() for own in self._fill):
                sock.close()
                continue
            task = self._loop.create_task(self._serve(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def drop(self, active: bool) -> None:
        """New connections never come up: the queue of the listener is full, and nobody takes from it."""
        if active and not self._fill:
            self._loop.remove_reader(self._socket)
            self._socket.listen(0)
            for _ in range(2):
                sock = socket.socket()
                sock.setblocking(False)
                sock.connect_ex(self._socket.getsockname())
                self._fill.append(sock)
        elif not active and self._fill:
            self._socket.listen(512)
            self._loop.add_reader(self._socket, self._accept)
            self._accept()
            for sock in self._fill:
                sock.close()
            self._fill = []

    def reset_calls(self, active: bool) -> None:
        """Calls are reset as soon as they have come."""
        self.resets = active

    def reset(self) -> None:
        """Every open call is reset."""
        for task in list(self._tasks):
            task.cancel()

    def fall_silent(self, behind_a_beat: bool = False) -> None:
        """The watches that are open now get nothing any more; `behind_a_beat`: after one more empty line."""
        for writer in self._watches - self.silent if behind_a_beat else ():
            writer.write(b"1\r\n\n\r\n")
        self.silent |= self._watches

    @property
    def watched(self) -> bool:
        """Whether a watch is open that has not fallen silent."""
        return bool(self._watches - self.silent)

    async def _serve(self, sock: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=sock)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            ended = self._loop.create_task(self._end_with(reader, asyncio.current_task()))
            try:
                await self._answer(head, writer)
            finally:
                ended.cancel()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._watches.discard(writer)
            self.silent.discard(writer)
            writer.close()

    @staticmethod
    async def _end_with(reader: asyncio.StreamReader, call: asyncio.Task[None] | None) -> None:
        """What is written to a connection that the gateway has closed tells nothing."""
        with suppress(OSError):
            await reader.read()
        if call is not None:
            call.cancel()

    async def _answer(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        service = self._service
        service.calls += 1
        call = self.order.popleft() if self.order else CallPlan(self.call_s, "busy" if self.busy else "list")
        if call.waits:
            await asyncio.sleep(call.waits)
        while self.hangs or call.how == "lost":
            await asyncio.sleep(0.02)
        if call.how == "reset" or self.resets:
            raise ConnectionResetError
        if call.how == "busy" or not await service.turns.wait():
            writer.write(BUSY)
            await writer.drain()
            return
        self.cuts += call.how == "cut"
        if b"watch=1" not in head:
            generation = service.generation
            body = service.line(self.gateway, -1, True)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b" % (len(body), body))
            await writer.drain()
            service.told(self.gateway, generation)
            return
        since = int(head.split(b"from=")[1].split(b" ")[0].split(b"&")[0])
        writer.write(HEAD)
        self._watches.add(writer)
        watch = Watch(self.gateway, service.clock())
        service.journal.watches.append(watch)
        try:
            await self._keep_telling(writer, since)
        finally:
            watch.end = service.clock()

    async def _keep_telling(self, writer: asyncio.StreamWriter, since: int) -> None:
        service = self._service
        first = True
        last = b""
        while True:
            changed = service.changed
            if first or since < service.generation:
                if not first and (self.ends or self.ends_late_s):
                    await self._beat_for(writer, self.ends_late_s)
                    return
                if not first and service.turns.lines_wait and not await self._beat_until_turn(writer):
                    return
                generation = service.generation
                text = service.line(self.gateway, since, not 0 < since <= generation or (first and self.whole)) + b"\n"
                if await self._say(writer, text):
                    service.told(self.gateway, generation)
                if self.repeats and last:   # an older line comes once more
                    await self._say(writer, last)
                since, first, last = generation, False, text
            try:
                async with asyncio.timeout(BEAT_S):
                    await changed.wait()
            except TimeoutError:
                await self._say(writer, b"\n")

    async def _beat_for(self, writer: asyncio.StreamWriter, seconds: float) -> None:
        """Empty lines, and nothing else, for so long."""
        until = self._loop.time() + seconds
        while (left := until - self._loop.time()) > 0:
            await self._say(writer, b"\n")
            await asyncio.sleep(min(left, BEAT_S))

    async def _beat_until_turn(self, writer: asyncio.StreamWriter) -> bool:
        """Empty lines while a change's line waits for its turn; false where it had none in time."""
        waits = self._service.turns.take()
        await self._beat_for(writer, MOST_WAIT_S if waits is None else waits)
        return waits is not None

    async def _say(self, writer: asyncio.StreamWriter, data: bytes) -> bool:
        """Write one chunk; whether it has left whole."""
        if writer in self.silent:
            return False
        if writer.transport.is_closing():
            raise ConnectionResetError
        if self.cuts and len(data) > 1:
            self.cuts -= 1
            data = data[:len(data) // 2]
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            return True   # it was written, and counts as told
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        await writer.drain()
        return True

    async def close(self) -> None:
        """It ends."""
        self.drop(False)
        self._loop.remove_reader(self._socket)
        self._socket.close()
        self.reset()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class Discovery:
    """The list, its versions, and the doors."""

    def __init__(self, books: Journal, clock: Clock, hosts: dict[str, Host], gateways: list[str]) -> None:
        self.journal = books
        self.clock = clock
        self._hosts = hosts
        self.states = {name: "in_service" for name in hosts}
        self._changed_at = dict.fromkeys(hosts, 1)
        self.generation = 1
        self.calls = 0
        self.turns = Turns()
        self.changed = asyncio.Event()
        self.doors = {name: [Door(self, name), Door(self, name)] for name in gateways}

    def change(self, host: str, state: str) -> None:
        """A host drains (`terminating`), is gone (`terminated`) or serves (`in_service`)."""
        self.generation += 1
        self.states[host] = state
        self._changed_at[host] = self.generation
        self.journal.changes.append(Change(self.clock(), self.generation, host, state == "in_service"))
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, gateway: str, name: str) -> dict[str, Any]:
        """A host's entry as this gateway is told it."""
        host = self._hosts[name]
        return {"instanceId": name, "hostPort": host.addresses[gateway], "zone": "a", "machineType": "m", "cell": 0,
                "lifecycle": self.states[name], "weight": 1.0, "startedAtMs": host.started_ms}

    def line(self, gateway: str, since: int, whole: bool) -> bytes:
        """The list, or what has changed after a version."""
        rows = [self.row(gateway, name) for name, state in self.states.items()
                if (whole and state == "in_service") or (not whole and self._changed_at[name] > since)]
        return json.dumps({"generation": self.generation, "reset": whole, "instances": rows}).encode()

    def told(self, gateway: str, generation: int) -> None:
        """A list has left for a gateway: its watch speaks again, if it was silent."""
        self.silence_ended(gateway)
        for life in reversed(self.journal.lives):
            if life.gateway == gateway:
                life.written.append((self.clock(), generation))
                return

    def silence_ended(self, gateway: str) -> None:
        """A gateway has no silent watch any more."""
        for spell in self.journal.spells:
            if spell.gateway == gateway and spell.kind == "silent":
                spell.end = min(spell.end, self.clock())

    def spell(self, gateway: str, kind: str) -> Spell:
        """A stretch without discovery, or with a silent watch, begins."""
        spell = Spell(gateway, kind, self.clock())
        self.journal.spells.append(spell)
        return spell

    async def close(self) -> None:
        """It ends."""
        for doors in self.doors.values():
            for door in doors:
                await door.close()
