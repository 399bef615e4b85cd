"""One member as a process: sockets, disk and clock round a `Replica`.

Disk writes are made in a thread of their own; while one is under way everything else goes on, and gathers for the next.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
import sqlite3
import time
from collections import deque
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import msgspec

from moleworks import logs, wire

from . import identity
from .core import Core, Write
from .disk import CorruptStore, Disk
from .messages import Config
from .protocol import (
    ENCODE,
    FRAME,
    Answer,
    Call,
    Compact,
    Get,
    GrantRow,
    Hello,
    Image,
    List,
    Members,
    Peer,
    Row,
    Status,
    StatusRow,
    Transfer,
    Watch,
    WatchDuty,
)
from .replica import Redirect, Replica
from .state import Change, Event, Grant, Open, Put, Result, State

log = logs.get("store")

QUEUE = 1024
"""Messages that wait for a peer; past it the oldest go, as consensus bears the loss of any."""
CONNECTIONS = 2048
BUFFER = 1 << 20
"""Bytes that a client's connection may have unsent: past it its watches wait."""
ADDRESSES = "_members/"
"""Where members listen is a record under this prefix."""
LIST_MOST = 10_000
WATCH_BYTES = 400_000
"""Changes that a watch is told in one frame."""
BEAT_S = 1.0
"""A watch hears so often that nothing is new; a client that hears nothing for WATCH_S asks another member."""
IMAGE_PIECE = 256 * 1024
IMAGE_S = 10.0
"""A backup that asks for no piece for so long has been given up."""


class MemberStopped(Exception):
    """This member can't go on; its line says why."""


class _Out:
    """The connection to one peer: messages that wait for it, dropped where it is away."""

    def __init__(self, member: Member, name: str) -> None:
        self._member = member
        self._name = name
        self._queue: deque[bytes] = deque(maxlen=QUEUE)
        self._more = asyncio.Event()
        self.task = asyncio.create_task(self._run())

    def put(self, payload: bytes) -> None:
        """One more."""
        self._queue.append(payload)
        self._more.set()

    async def _run(self) -> None:
        pause = 0.05
        while True:
            writer = None
            try:
                async with asyncio.timeout(2.0):
                    reader, writer = await asyncio.open_connection(*self._member.address_of(self._name))
                writer.write(wire.frame(self._member.cluster, ENCODE(self._member.hello)))
                hears = asyncio.create_task(self._hear(reader))
                pause = 0.05
                while not hears.done():
                    while self._queue:
                        writer.write(wire.frame(self._member.cluster, self._queue.popleft()))
                    self._more.clear()
                    async with asyncio.timeout(5.0):
                        await writer.drain()
                    waits = asyncio.create_task(self._more.wait())
                    await asyncio.wait((hears, waits), return_when=asyncio.FIRST_COMPLETED)
                    waits.cancel()
            except (OSError, TimeoutError, LookupError, ValueError):
                pass
            finally:
                if writer is not None:
                    writer.close()
            await asyncio.sleep(pause * random.uniform(0.5, 1.5))
            pause = min(1.0, pause * 2)

    async def _hear(self, reader: asyncio.StreamReader) -> None:
        """The other side speaks here only to refuse this member."""
        with contextlib.suppress(wire.WireError, msgspec.DecodeError):
            payload = await wire.read(reader, self._member.cluster)
            if payload is not None:
                answer: Answer = msgspec.msgpack.decode(payload, type=Answer)
                self._member.stop(f"{self._name} refuses this member: {answer.error}")


class _Client:
    """A client's connection, with its watches."""

    def __init__(self, writer: asyncio.StreamWriter, cluster: int) -> None:
        self.writer = writer
        self._cluster = cluster
        self.watches: dict[int, tuple[str, int]] = {}
        self.duties: dict[int, tuple[str, int, str]] = {}    # what was told last: token, successor

    def say(self, answer: Answer) -> None:
        """An answer; one too long for a frame is an error."""
        if self.writer.is_closing():
            return
        try:
            data = wire.frame(self._cluster, ENCODE(answer))
        except wire.WireError:
            data = wire.frame(self._cluster, ENCODE(Answer(answer.id, error="the answer is too long: ask for less")))
        self.writer.write(data)

    def full(self) -> bool:
        """Whether it reads too slowly to be told more."""
        return self.writer.transport.get_write_buffer_size() > BUFFER


class Member:
    """The process's one object."""

    def __init__(self, name: str, listen: tuple[str, int], cluster: str, folder: Path,
                 peers: dict[str, tuple[str, int]], first: tuple[str, ...]) -> None:
        """`peers`: where others are reached; `first`: the first members, none where others will add this one.

        Raises CorruptStore.
        """
        self.name, self.listen = name, listen
        self.cluster = wire.cluster_id(cluster)
        self._peers = peers
        self.disk = Disk(folder, cluster, name)
        loaded, term, vote = self.disk.load(Config(tuple(sorted(first))))
        identity = self.disk.identity
        self.hello = Hello(name, "{}:{}".format(*listen), identity.disk, identity.boot, identity.life, identity.before)
        core = Core(name, loaded, term, vote, random.Random(), time.monotonic_ns())
        self.replica = Replica(core, State.from_image(loaded.snapshot.data), time.monotonic_ns())
        self._outs: dict[str, _Out] = {}
        try:
            self._known: dict[str, Hello] = {other: msgspec.msgpack.decode(met, type=Hello)
                                              for other, met in self.disk.met().items()}
        except (sqlite3.Error, msgspec.DecodeError) as error:
            raise CorruptStore(f"{self.disk.path}: {error}") from None
        self._image: tuple[str, bytes, float] = ("", b"", 0.0)
        self._refused: dict[str, str] = {}
        self._clients: set[_Client] = set()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._thread = ThreadPoolExecutor(1, "disk")
        self._pumping = False
        self._timer: asyncio.TimerHandle | None = None
        self._role = ("", "")

    # ---- Running ----------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Until it is stopped.  Raises MemberStopped with the reason."""
        self._loop = asyncio.get_running_loop()
        self._end: asyncio.Future[str] = self._loop.create_future()
        server = await asyncio.start_server(self._serve, *self.listen, limit=2 * wire.MAX_FRAME)
        self.listen = server.sockets[0].getsockname()[:2]
        log.info("store_serves", member=self.name, address="{}:{}".format(*self.listen), boot=self.hello.boot)
        config = self.replica.core.config
        for peer in (*config.voters, *config.learners):     # at once: whoever knows better than this disk says so
            if peer != self.name:
                self._outs[peer] = _Out(self, peer)
        self._pump()
        beats = asyncio.create_task(self._beat())
        self._tasks.add(beats)
        try:
            raise MemberStopped(await self._end)
        finally:
            server.close()
            for task in [*self._tasks, *(out.task for out in self._outs.values())]:
                task.cancel()
            self._thread.shutdown()
            self.disk.close()

    def stop(self, why: str) -> None:
        """End the process, for this reason."""
        if not self._end.done():
            self._end.set_result(why)

    def address_of(self, name: str) -> tuple[str, int]:
        """Where a member listens: as this process was told, else as the records or the member itself say.

        Raises LookupError, ValueError.
        """
        if name in self._peers:
            return self._peers[name]
        record = self.replica.state.get(ADDRESSES + name)
        if record is not None:
            return wire.address(record.value.decode())
        return wire.address(self._known[name].address)

    # ---- The mind ---------------------------------------------------------------------------------------

    def _soon(self) -> None:
        """Pump once for all that has come in this turn of the loop."""
        if not self._pumping:
            self._pumping = True
            self._loop.call_soon(self._pump)

    def _pump(self) -> None:
        self._pumping = False
        now = time.monotonic_ns()
        done = self.replica.pump(now)
        if done.write is not None:
            future = self._loop.run_in_executor(self._thread, self.disk.sync, done.write)
            future.add_done_callback(lambda future, write=done.write: self._written(future, write))   # type: ignore[misc]
        for to, message in done.send:
            if to not in self._outs:
                self._outs[to] = _Out(self, to)
            self._outs[to].put(ENCODE(Peer(message)))
        for (client, number, _), result in done.answers:
            if isinstance(result, Result):
                client.say(Answer(number, result))
            else:
                client.say(Answer(number, elsewhere=result, address=self._told(result.leader)))
        for client, number, what in done.reads:
            self._answer_read(client, number, what)
        if done.applied:
            self._tell_watches()
        core = self.replica.core
        if (core.role, core.leader) != self._role:
            self._role = (core.role, core.leader)
            log.info("store_role", member=self.name, role=core.role, leader=core.leader, term=core.term)
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(max(0, core.next_tick_at - time.monotonic_ns()) / 1e9, self._tick)

    def _tick(self) -> None:
        self.replica.tick(time.monotonic_ns())
        self._pump()

    def _written(self, future: asyncio.Future[None], write: Write) -> None:
        error = future.exception()
        if error is not None:
            why = f"{self.disk.path}: {error}" if isinstance(error, sqlite3.Error | OSError) else repr(error)
            self.stop(why)   # a member that can't write must not promise
            return
        self.replica.core.on_written(time.monotonic_ns(), write)
        self._pump()

    def _told(self, name: str) -> str:
        try:
            return "{}:{}".format(*self.address_of(name)) if name else ""
        except (LookupError, ValueError):
            return ""

    # ---- Connections ------------------------------------------------------------------------------------

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        client = _Client(writer, self.cluster)
        try:
            if len(self._tasks) > CONNECTIONS:
                return
            async with asyncio.timeout(5.0):
                hello = await self._frame(reader)
            if not isinstance(hello, Hello):
                return
            if hello.member:
                await self._peer(hello, reader, client)
            else:
                self._clients.add(client)
                await self._client(reader, client)
        except (wire.WireError, msgspec.DecodeError) as error:
            log.warning("store_connection_refused", member=self.name, why=str(error))
        except (TimeoutError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._clients.discard(client)
            self._tasks.discard(task)
            writer.close()

    async def _frame(self, reader: asyncio.StreamReader) -> Any:
        payload = await wire.read(reader, self.cluster)
        return None if payload is None else FRAME.decode(payload)

    async def _peer(self, hello: Hello, reader: asyncio.StreamReader, client: _Client) -> None:
        """Messages of another member, if it is who it was before."""
        why = self._doubt(hello)
        if why:
            self._refused[hello.member] = why
            log.error("store_member_refused", member=self.name, other=hello.member, why=why)
            client.say(Answer(0, error=why))
            await client.writer.drain()
            return
        self._refused.pop(hello.member, None)
        if hello != self._known.get(hello.member):
            if hello.member not in self._known and len(self._known) >= identity.MOST:
                raise wire.WireError(f"more than {identity.MOST} members were met")
            self._known[hello.member] = hello
            try:   # before it is heard: after a start of all members somebody must still know
                await self._loop.run_in_executor(self._thread, self.disk.remember, hello.member, ENCODE(hello))
            except sqlite3.Error as error:
                self.stop(f"{self.disk.path}: {error}")
                return
        while (frame := await self._frame(reader)) is not None:
            if not isinstance(frame, Peer):
                raise wire.WireError("a member may send messages only")
            self.replica.core.on_message(time.monotonic_ns(), hello.member, frame.message)
            self._soon()

    def _doubt(self, hello: Hello) -> str:
        """A disk that was put back to an earlier time, or another one, may have forgotten what it voted."""
        if hello.member == self.name:
            return f"it calls itself {self.name}, as this member does"
        return identity.rejection_reason(self._known.get(hello.member), hello)

    async def _client(self, reader: asyncio.StreamReader, client: _Client) -> None:
        while (frame := await self._frame(reader)) is not None:
            if not isinstance(frame, Call):
                raise wire.WireError("a client may send calls only")
            self._call(client, frame)
            if client.full():
                await client.writer.drain()

    def _call(self, client: _Client, call: Call) -> None:
        what, now = call.what, time.monotonic_ns()
        whose = (client, call.id, what)
        if isinstance(what, Get | List):
            if what.stale:
                self._answer_read(client, call.id, what)
            else:
                self.replica.read(now, whose)
        elif isinstance(what, Watch | WatchDuty) and not self.replica.core.leader:
            client.say(self._elsewhere(call.id))   # it would tell of nothing new
        elif isinstance(what, Watch):
            if len(client.watches) >= 100:
                client.say(Answer(call.id, error="too many watches on one connection"))
            else:
                client.watches[call.id] = (what.prefix, what.after)
                self._tell_watch(client, call.id)
        elif isinstance(what, WatchDuty):
            if len(client.duties) >= 100:
                client.say(Answer(call.id, error="too many watches on one connection"))
            else:
                client.duties[call.id] = (what.duty, -1, "")
                self._tell_duty(client, call.id)
        elif isinstance(what, Image):
            if what.image:
                self._answer_image(client, call.id, what)
            else:
                self.replica.read(now, whose)
        elif isinstance(what, Compact):
            self.replica.compact()
            client.say(Answer(call.id, Result(True, self.replica.state.revision)))
        elif isinstance(what, Status):
            client.say(Answer(call.id, status=self._status()))
        elif isinstance(what, Members):
            self._members(client, call.id, what)
        elif isinstance(what, Transfer):
            done = self.replica.core.transfer(now, what.to)
            client.say(Answer(call.id, Result(True, 0)) if done else self._elsewhere(call.id))
        else:
            self.replica.submit(now, whose, what)
        self._soon()

    def _elsewhere(self, number: int) -> Answer:
        leader = self.replica.core.leader
        return Answer(number, elsewhere=Redirect(leader, False, leader == self.name), address=self._told(leader))

    def _members(self, client: _Client, number: int, what: Members) -> None:
        """One step.  Where a new one listens is recorded first, so that every member can reach it."""
        core, now = self.replica.core, time.monotonic_ns()
        config = core.config
        if core.role != "leader":
            client.say(self._elsewhere(number))
            return
        if what.add:
            if config.has(what.add):
                client.say(Answer(number, error=f"{what.add} is a member already"))
                return
            own = f"_{self.name}-{self.hello.boot}-{now}"
            self.replica.submit(now, (_Nobody(), 0, None), Open(own))
            self.replica.submit(now, (_Nobody(), 0, None),
                                Change(own, 1, (Put(ADDRESSES + what.add, what.address.encode()),)))
            wanted = Config(config.voters, (*config.learners, what.add))
        else:
            wanted = Config(tuple(name for name in config.voters if name != what.remove),
                            tuple(name for name in config.learners if name != what.remove))
            if wanted == config or not wanted.voters:
                client.say(Answer(number, error=f"{what.remove} can't be taken out"))
                return
        if self.replica.reconfigure(now, wanted):
            client.say(Answer(number, Result(True, self.replica.state.revision)))
        else:
            client.say(self._elsewhere(number))

    def _answer_image(self, client: _Client, number: int, what: Image) -> None:
        """A piece of an image; one image is kept at a time, as it may be large."""
        name, data, used = self._image
        now = time.monotonic()
        if not what.image:
            if name and now - used < IMAGE_S:
                client.say(Answer(number, error="another backup is under way: come again in 10 s"))
                return
            name, data = secrets.token_hex(8), self.replica.state.image()
        elif what.image != name:
            client.say(Answer(number, error="this backup is gone: begin again"))
            return
        end = what.offset + IMAGE_PIECE
        self._image = (name, data, now) if end < len(data) else ("", b"", 0.0)
        client.say(Answer(number, data=data[what.offset:end], image=name, size=len(data),
                          revision=self.replica.state.revision))

    def _answer_read(self, client: _Client, number: int, what: Get | List | Image) -> None:
        if isinstance(what, Image):
            self._answer_image(client, number, what)
            return
        state = self.replica.state
        if isinstance(what, Get):
            record = state.get(what.key)
            found = [] if record is None else [(what.key, record)]
            grants = None
        else:
            found = state.prefix(what.prefix, min(what.most, LIST_MOST), what.after)
            grants = [_grant_row(duty, grant) for duty, grant in sorted(state.grants.items())]
        client.say(Answer(number, rows=[Row(key, record.value, record.created, record.revision)
                                        for key, record in found], grants=grants, revision=state.revision))

    def _tell_watches(self) -> None:
        for client in self._clients:
            for number in list(client.watches):
                self._tell_watch(client, number)
            for number in client.duties:
                self._tell_duty(client, number)

    async def _beat(self) -> None:
        """Watches hear that they are up to date; from a member that hears of no leader they hear nothing, and leave."""
        while True:
            await asyncio.sleep(BEAT_S)
            if self.replica.core.leader:
                for client in self._clients:
                    for number in list(client.watches):
                        self._tell_watch(client, number)   # what it was too slow for
                        if number in client.watches and not client.full():
                            client.say(Answer(number, events=[], revision=client.watches[number][1]))
                    for number in client.duties:
                        if not client.full():
                            client.say(Answer(number))

    def _tell_duty(self, client: _Client, number: int) -> None:
        """Who holds it, if that has changed since it was last told."""
        duty, token, to = client.duties[number]
        grant = self.replica.state.grants.get(duty)
        here = (grant.token, grant.to) if grant is not None else (0, "")
        if here != (token, to) and not client.full():
            client.duties[number] = (duty, *here)
            client.say(Answer(number, grants=[] if grant is None else [_grant_row(duty, grant)],
                              revision=self.replica.state.revision))

    def _tell_watch(self, client: _Client, number: int) -> None:
        """What it has not been told yet; a slow reader is told later, in one piece."""
        prefix, after = client.watches[number]
        state = self.replica.state
        if client.full() or after == state.revision:
            return
        found = state.events(after, prefix)
        if found is None:
            del client.watches[number]
            client.say(Answer(number, compacted=True, revision=state.revision))
            return
        events: list[Event] = []
        size = 0
        for event in found:     # a revision is never torn apart
            if size > WATCH_BYTES and event.revision > events[-1].revision:
                client.say(Answer(number, events=events, revision=events[-1].revision))
                client.watches[number] = (prefix, events[-1].revision)
                if client.full():
                    return      # the rest once it has read this
                events, size = [], 0
            events.append(event)
            size += len(event.key) + len(event.value or b"") + 32
        client.watches[number] = (prefix, state.revision)
        if events:
            client.say(Answer(number, events=events, revision=state.revision))

    def _status(self) -> StatusRow:
        core = self.replica.core
        return StatusRow(self.name, core.role, core.leader, core.term, core.commit, core.applied,
                         core.log.snapshot.index + 1, core.log.last_index, self.replica.state.revision, core.config,
                         self.hello.boot, self.disk.size(), self._refused)


def _grant_row(duty: str, grant: Grant) -> GrantRow:
    return GrantRow(duty, grant.holder, grant.token, grant.ttl_ms, grant.to)


class _Nobody(_Client):
    """Who asks when a member itself does."""

    def __init__(self) -> None:
        pass

    def say(self, answer: Answer) -> None:
        """Nobody hears it."""


def check(folder: Path, cluster: str, member: str) -> str:
    """Read a member's whole disk and say what is on it.  Raises CorruptStore, OSError."""
    disk = Disk(folder, cluster, member, create=False)
    try:
        loaded, term, vote = disk.load(Config())
        State.from_image(loaded.snapshot.data)
    except msgspec.DecodeError as error:
        raise CorruptStore(f"{disk.path}: the snapshot can't be read: {error}") from None
    finally:
        disk.close()
    return (f"{disk.path}: {member} of {cluster}, term {term}, vote {vote or 'none'}, snapshot up to "
            f"{loaded.snapshot.index}, entries up to {loaded.last_index}")
