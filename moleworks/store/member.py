"""A member process: connects a `Replica` to sockets, the disk and the clock.

Disk writes run in a separate thread.  The event loop keeps running, and changes accumulate for the next write.
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

MAX_QUEUED_MESSAGES = 1024
"""Messages queued for one peer.  When full, the oldest are dropped: consensus tolerates the loss of any message."""
MAX_CONNECTIONS = 2048
MAX_UNSENT_BYTES = 1 << 20
"""Unsent bytes on a client's connection beyond which its watches receive no more events."""
ADDRESS_PREFIX = "_members/"
"""Key prefix of the records that hold the members' addresses."""
MAX_LIST_ROWS = 10_000
WATCH_FRAME_BYTES = 400_000
"""Bytes of events per frame of a watch; exceeded only to keep the events of one revision together."""
WATCH_HEARTBEAT_S = 1.0
"""Interval of empty replies to an idle watch.  A client without any for WATCH_TIMEOUT_S reopens it elsewhere."""
IMAGE_CHUNK_BYTES = 256 * 1024
IMAGE_TIMEOUT_S = 10.0
"""A backup that requests no chunk for this long is considered abandoned."""


class MemberStopped(Exception):
    """This member has stopped; the message gives the reason, empty for a regular stop."""


class _PeerConnection:
    """The outgoing connection to one peer, with a bounded queue of messages."""

    def __init__(self, member: Member, name: str) -> None:
        self._member = member
        self._name = name
        self._queue: deque[bytes] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self._queued = asyncio.Event()
        self.task = asyncio.create_task(self._run())

    def put(self, payload: bytes) -> None:
        self._queue.append(payload)
        self._queued.set()

    async def _run(self) -> None:
        backoff_s = 0.05
        while True:
            writer = None
            try:
                async with asyncio.timeout(2.0):
                    reader, writer = await asyncio.open_connection(*self._member.address_of(self._name))
                writer.write(wire.encode_frame(self._member.cluster, ENCODE(self._member.hello)))
                rejection = asyncio.create_task(self._read_rejection(reader))
                backoff_s = 0.05
                while not rejection.done():
                    while self._queue:
                        writer.write(wire.encode_frame(self._member.cluster, self._queue.popleft()))
                    self._queued.clear()
                    async with asyncio.timeout(5.0):
                        await writer.drain()
                    waiting = asyncio.create_task(self._queued.wait())
                    await asyncio.wait((rejection, waiting), return_when=asyncio.FIRST_COMPLETED)
                    waiting.cancel()
            except (OSError, TimeoutError, LookupError, ValueError):
                pass
            finally:
                if writer is not None:
                    writer.close()
            await asyncio.sleep(backoff_s * random.uniform(0.5, 1.5))
            backoff_s = min(1.0, backoff_s * 2)

    async def _read_rejection(self, reader: asyncio.StreamReader) -> None:
        """Waits for a rejection: a peer sends nothing else on this connection."""
        with contextlib.suppress(wire.WireError, msgspec.DecodeError):
            payload = await wire.read_frame(reader, self._member.cluster)
            if payload is not None:
                answer: Answer = msgspec.msgpack.decode(payload, type=Answer)
                self._member.stop(f"{self._name} rejected this member: {answer.error}")


class _Client:
    """A client's connection and its watches."""

    def __init__(self, writer: asyncio.StreamWriter, cluster: int) -> None:
        self.writer = writer
        self._cluster = cluster
        self.watches: dict[int, tuple[str, int]] = {}
        self.duties: dict[int, tuple[str, int, str]] = {}    # duty, and the token and successor last sent

    def send(self, answer: Answer) -> None:
        """Sends an answer, or an error if it does not fit into a frame."""
        if self.writer.is_closing():
            return
        try:
            data = wire.encode_frame(self._cluster, ENCODE(answer))
        except wire.WireError:
            data = wire.encode_frame(
                self._cluster, ENCODE(Answer(answer.id, error="the answer is too long: ask for less")))
        self.writer.write(data)

    def is_backlogged(self) -> bool:
        """Whether too many bytes are unsent because the client reads slowly."""
        return self.writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES


class Member:
    """The server of one member of the store."""

    def __init__(self, name: str, listen: tuple[str, int], cluster: str, folder: Path,
                 peers: dict[str, tuple[str, int]], first: tuple[str, ...]) -> None:
        """`peers`: addresses of other members; `first`: the initial voters, empty if this member joins a cluster.

        Raises CorruptStore.
        """
        self.name, self.listen = name, listen
        self.cluster = wire.cluster_id(cluster)
        self._peers = peers
        self.disk = Disk(folder, cluster, name)
        raft_log, term, vote = self.disk.load(Config(tuple(sorted(first))))
        disk_identity = self.disk.identity
        self.hello = Hello(name, "{}:{}".format(*listen), disk_identity.disk, disk_identity.boot,
                           disk_identity.life, disk_identity.before)
        core = Core(name, raft_log, term, vote, random.Random(), time.monotonic_ns())
        self.replica = Replica(core, State.from_image(raft_log.snapshot.data), time.monotonic_ns())
        self._peer_connections: dict[str, _PeerConnection] = {}
        try:
            self._last_hellos: dict[str, Hello] = {other: msgspec.msgpack.decode(hello, type=Hello)
                                                   for other, hello in self.disk.load_hellos().items()}
        except (sqlite3.Error, msgspec.DecodeError) as error:
            raise CorruptStore(f"{self.disk.path}: {error}") from None
        self._backup_image: tuple[str, bytes, float] = ("", b"", 0.0)
        self._refused: dict[str, str] = {}
        self._clients: set[_Client] = set()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._disk_thread = ThreadPoolExecutor(1, "disk")
        self._pumping = False
        self._timer: asyncio.TimerHandle | None = None
        self._logged_role = ("", "")

    # ---- Running ----------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Serves until stopped.  Raises MemberStopped with the reason."""
        self._loop = asyncio.get_running_loop()
        self._stop_reason: asyncio.Future[str] = self._loop.create_future()
        server = await asyncio.start_server(self._serve_connection, *self.listen, limit=2 * wire.MAX_FRAME)
        self.listen = server.sockets[0].getsockname()[:2]
        log.info("store_serves", member=self.name, address="{}:{}".format(*self.listen), boot=self.hello.boot)
        config = self.replica.core.config
        for peer in (*config.voters, *config.learners):     # now: a peer rejects this member if its disk is outdated
            if peer != self.name:
                self._peer_connections[peer] = _PeerConnection(self, peer)
        self._pump()
        heartbeats = asyncio.create_task(self._send_watch_heartbeats())
        self._tasks.add(heartbeats)
        try:
            raise MemberStopped(await self._stop_reason)
        finally:
            server.close()
            for task in [*self._tasks, *(connection.task for connection in self._peer_connections.values())]:
                task.cancel()
            self._disk_thread.shutdown()
            self.disk.close()

    def stop(self, reason: str) -> None:
        """Ends `run` with this reason."""
        if not self._stop_reason.done():
            self._stop_reason.set_result(reason)

    def address_of(self, name: str) -> tuple[str, int]:
        """A member's address: from the command line, else from its record, else from its last `Hello`.

        Raises LookupError, ValueError.
        """
        if name in self._peers:
            return self._peers[name]
        record = self.replica.state.get(ADDRESS_PREFIX + name)
        if record is not None:
            return wire.parse_address(record.value.decode())
        return wire.parse_address(self._last_hellos[name].address)

    # ---- Event processing -------------------------------------------------------------------------------

    def _schedule_pump(self) -> None:
        """Schedules one `_pump` for all events of this event-loop iteration."""
        if not self._pumping:
            self._pumping = True
            self._loop.call_soon(self._pump)

    def _pump(self) -> None:
        self._pumping = False
        now = time.monotonic_ns()
        done = self.replica.pump(now)
        if done.write is not None:
            future = self._loop.run_in_executor(self._disk_thread, self.disk.sync, done.write)
            future.add_done_callback(lambda future, write=done.write: self._written(future, write))   # type: ignore[misc]
        for to, message in done.send:
            if to not in self._peer_connections:
                self._peer_connections[to] = _PeerConnection(self, to)
            self._peer_connections[to].put(ENCODE(Peer(message)))
        for (client, call_id, _), result in done.answers:
            if isinstance(result, Result):
                client.send(Answer(call_id, result))
            else:
                client.send(Answer(call_id, elsewhere=result, address=self._address_text(result.leader)))
        for client, call_id, request in done.reads:
            self._serve_read(client, call_id, request)
        if done.applied:
            self._notify_watches()
        core = self.replica.core
        if (core.role, core.leader) != self._logged_role:
            self._logged_role = (core.role, core.leader)
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
            reason = f"{self.disk.path}: {error}" if isinstance(error, sqlite3.Error | OSError) else repr(error)
            self.stop(reason)   # a member that cannot write must not acknowledge anything
            return
        self.replica.core.on_written(time.monotonic_ns(), write)
        self._pump()

    def _address_text(self, name: str) -> str:
        try:
            return "{}:{}".format(*self.address_of(name)) if name else ""
        except (LookupError, ValueError):
            return ""

    # ---- Connections ------------------------------------------------------------------------------------

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        client = _Client(writer, self.cluster)
        try:
            if len(self._tasks) > MAX_CONNECTIONS:
                return
            async with asyncio.timeout(5.0):
                hello = await self._read_frame(reader)
            if not isinstance(hello, Hello):
                return
            if hello.member:
                await self._serve_peer(hello, reader, client)
            else:
                self._clients.add(client)
                await self._serve_client(reader, client)
        except (wire.WireError, msgspec.DecodeError) as error:
            log.warning("store_connection_refused", member=self.name, why=str(error))
        except (TimeoutError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._clients.discard(client)
            self._tasks.discard(task)
            writer.close()

    async def _read_frame(self, reader: asyncio.StreamReader) -> Any:
        payload = await wire.read_frame(reader, self.cluster)
        return None if payload is None else FRAME.decode(payload)

    async def _serve_peer(self, hello: Hello, reader: asyncio.StreamReader, client: _Client) -> None:
        """Receives another member's messages, after a check that it still has the same disk."""
        reason = self._rejection_reason(hello)
        if reason:
            self._refused[hello.member] = reason
            log.error("store_member_refused", member=self.name, other=hello.member, why=reason)
            client.send(Answer(0, error=reason))
            await client.writer.drain()
            return
        self._refused.pop(hello.member, None)
        if hello != self._last_hellos.get(hello.member):
            if hello.member not in self._last_hellos and len(self._last_hellos) >= identity.MAX_REMEMBERED_MEMBERS:
                raise wire.WireError(f"more than {identity.MAX_REMEMBERED_MEMBERS} members have connected")
            self._last_hellos[hello.member] = hello
            try:   # durable before its first message: must survive a restart of all members
                await self._loop.run_in_executor(self._disk_thread, self.disk.store_hello, hello.member,
                                                 ENCODE(hello))
            except sqlite3.Error as error:
                self.stop(f"{self.disk.path}: {error}")
                return
        while (frame := await self._read_frame(reader)) is not None:
            if not isinstance(frame, Peer):
                raise wire.WireError("a member must send nothing but Peer frames")
            self.replica.core.on_message(time.monotonic_ns(), hello.member, frame.message)
            self._schedule_pump()

    def _rejection_reason(self, hello: Hello) -> str:
        """Why a member is rejected: its disk was replaced or restored to an earlier state, and may lack votes."""
        if hello.member == self.name:
            return f"it calls itself {self.name}, as this member does"
        return identity.rejection_reason(self._last_hellos.get(hello.member), hello)

    async def _serve_client(self, reader: asyncio.StreamReader, client: _Client) -> None:
        while (frame := await self._read_frame(reader)) is not None:
            if not isinstance(frame, Call):
                raise wire.WireError("a client must send nothing but Call frames")
            self._handle_call(client, frame)
            if client.is_backlogged():
                await client.writer.drain()

    def _handle_call(self, client: _Client, call: Call) -> None:
        request, now = call.what, time.monotonic_ns()
        caller = (client, call.id, request)
        if isinstance(request, Get | List):
            if request.stale:
                self._serve_read(client, call.id, request)
            else:
                self.replica.read(now, caller)
        elif isinstance(request, Watch | WatchDuty) and not self.replica.core.leader:
            client.send(self._redirect(call.id))   # without a leader there are no new events
        elif isinstance(request, Watch):
            if len(client.watches) >= 100:
                client.send(Answer(call.id, error="too many watches on one connection"))
            else:
                client.watches[call.id] = (request.prefix, request.after)
                self._notify_watch(client, call.id)
        elif isinstance(request, WatchDuty):
            if len(client.duties) >= 100:
                client.send(Answer(call.id, error="too many watches on one connection"))
            else:
                client.duties[call.id] = (request.duty, -1, "")
                self._notify_duty_watch(client, call.id)
        elif isinstance(request, Image):
            if request.image:
                self._send_image_chunk(client, call.id, request)
            else:
                self.replica.read(now, caller)
        elif isinstance(request, Compact):
            self.replica.compact()
            client.send(Answer(call.id, Result(True, self.replica.state.revision)))
        elif isinstance(request, Status):
            client.send(Answer(call.id, status=self._status()))
        elif isinstance(request, Members):
            self._change_members(client, call.id, request)
        elif isinstance(request, Transfer):
            done = self.replica.core.transfer(now, request.to)
            client.send(Answer(call.id, Result(True, 0)) if done else self._redirect(call.id))
        else:
            self.replica.submit(now, caller, request)
        self._schedule_pump()

    def _redirect(self, call_id: int) -> Answer:
        leader = self.replica.core.leader
        return Answer(call_id, elsewhere=Redirect(leader, False, leader == self.name),
                      address=self._address_text(leader))

    def _change_members(self, client: _Client, call_id: int, request: Members) -> None:
        """Adds or removes one member.  A new member's address is recorded first, so that every member can reach it."""
        core, now = self.replica.core, time.monotonic_ns()
        config = core.config
        if core.role != "leader":
            client.send(self._redirect(call_id))
            return
        if request.add:
            if config.has(request.add):
                client.send(Answer(call_id, error=f"{request.add} is a member already"))
                return
            client_name = f"_{self.name}-{self.hello.boot}-{now}"
            self.replica.submit(now, (_NullClient(), 0, None), Open(client_name))
            self.replica.submit(now, (_NullClient(), 0, None),
                                Change(client_name, 1, (Put(ADDRESS_PREFIX + request.add, request.address.encode()),)))
            wanted = Config(config.voters, (*config.learners, request.add))
        else:
            wanted = Config(tuple(name for name in config.voters if name != request.remove),
                            tuple(name for name in config.learners if name != request.remove))
            if wanted == config or not wanted.voters:
                client.send(Answer(call_id, error=f"{request.remove} can't be taken out"))
                return
        if self.replica.reconfigure(now, wanted):
            client.send(Answer(call_id, Result(True, self.replica.state.revision)))
        else:
            client.send(self._redirect(call_id))

    def _send_image_chunk(self, client: _Client, call_id: int, request: Image) -> None:
        """Sends a chunk of a state image.  Only one image is kept at a time, as it may be large."""
        name, data, used = self._backup_image
        now = time.monotonic()
        if not request.image:
            if name and now - used < IMAGE_TIMEOUT_S:
                client.send(Answer(call_id, error="another backup is under way: come again in 10 s"))
                return
            name, data = secrets.token_hex(8), self.replica.state.image()
        elif request.image != name:
            client.send(Answer(call_id, error="this backup is gone: begin again"))
            return
        end = request.offset + IMAGE_CHUNK_BYTES
        self._backup_image = (name, data, now) if end < len(data) else ("", b"", 0.0)
        client.send(Answer(call_id, data=data[request.offset:end], image=name, size=len(data),
                           revision=self.replica.state.revision))

    def _serve_read(self, client: _Client, call_id: int, request: Get | List | Image) -> None:
        if isinstance(request, Image):
            self._send_image_chunk(client, call_id, request)
            return
        state = self.replica.state
        if isinstance(request, Get):
            record = state.get(request.key)
            found = [] if record is None else [(request.key, record)]
            grants = None
        else:
            found = state.list_prefix(request.prefix, min(request.most, MAX_LIST_ROWS), request.after)
            grants = [_grant_row(duty, grant) for duty, grant in sorted(state.grants.items())]
        client.send(Answer(call_id, rows=[Row(key, record.value, record.created, record.revision)
                                          for key, record in found], grants=grants, revision=state.revision))

    def _notify_watches(self) -> None:
        for client in self._clients:
            for call_id in list(client.watches):
                self._notify_watch(client, call_id)
            for call_id in client.duties:
                self._notify_duty_watch(client, call_id)

    async def _send_watch_heartbeats(self) -> None:
        """Sends heartbeats to watches while a leader is known; without them clients move to another member."""
        while True:
            await asyncio.sleep(WATCH_HEARTBEAT_S)
            if self.replica.core.leader:
                for client in self._clients:
                    for call_id in list(client.watches):
                        self._notify_watch(client, call_id)   # events held back while the client read slowly
                        if call_id in client.watches and not client.is_backlogged():
                            client.send(Answer(call_id, events=[], revision=client.watches[call_id][1]))
                    for call_id in client.duties:
                        if not client.is_backlogged():
                            client.send(Answer(call_id))

    def _notify_duty_watch(self, client: _Client, call_id: int) -> None:
        """Sends the duty's grant if token or successor have changed since the last time."""
        duty, token, to = client.duties[call_id]
        grant = self.replica.state.grants.get(duty)
        current = (grant.token, grant.to) if grant is not None else (0, "")
        if current != (token, to) and not client.is_backlogged():
            client.duties[call_id] = (duty, *current)
            client.send(Answer(call_id, grants=[] if grant is None else [_grant_row(duty, grant)],
                               revision=self.replica.state.revision))

    def _notify_watch(self, client: _Client, call_id: int) -> None:
        """Sends the events that the watch lacks; for a client that reads slowly they are held back."""
        prefix, after = client.watches[call_id]
        state = self.replica.state
        if client.is_backlogged() or after == state.revision:
            return
        found = state.events(after, prefix)
        if found is None:
            del client.watches[call_id]
            client.send(Answer(call_id, compacted=True, revision=state.revision))
            return
        events: list[Event] = []
        size = 0
        for event in found:     # the events of one revision stay in one frame
            if size > WATCH_FRAME_BYTES and event.revision > events[-1].revision:
                client.send(Answer(call_id, events=events, revision=events[-1].revision))
                client.watches[call_id] = (prefix, events[-1].revision)
                if client.is_backlogged():
                    return      # the rest follows once the client has read this
                events, size = [], 0
            events.append(event)
            size += len(event.key) + len(event.value or b"") + 32
        client.watches[call_id] = (prefix, state.revision)
        if events:
            client.send(Answer(call_id, events=events, revision=state.revision))

    def _status(self) -> StatusRow:
        core = self.replica.core
        return StatusRow(self.name, core.role, core.leader, core.term, core.commit, core.applied,
                         core.log.snapshot.index + 1, core.log.last_index, self.replica.state.revision, core.config,
                         self.hello.boot, self.disk.size(), self._refused)


def _grant_row(duty: str, grant: Grant) -> GrantRow:
    return GrantRow(duty, grant.holder, grant.token, grant.ttl_ms, grant.to)


class _NullClient(_Client):
    """The client of commands that a member submits itself."""

    def __init__(self) -> None:
        pass

    def send(self, answer: Answer) -> None:
        """Discards the answer."""


def check(folder: Path, cluster: str, member: str) -> str:
    """Reads and verifies a member's disk and returns a summary.  Raises CorruptStore, OSError."""
    disk = Disk(folder, cluster, member, create=False)
    try:
        raft_log, term, vote = disk.load(Config())
        State.from_image(raft_log.snapshot.data)
    except msgspec.DecodeError as error:
        raise CorruptStore(f"{disk.path}: the snapshot is malformed: {error}") from None
    finally:
        disk.close()
    return (f"{disk.path}: {member} of {cluster}, term {term}, vote {vote or 'none'}, snapshot up to "
            f"{raft_log.snapshot.index}, entries up to {raft_log.last_index}")
