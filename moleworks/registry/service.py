"""One process of the list service: a mirror of the store's records, writers, heartbeats, and the duty to expire."""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections.abc import Callable, Sequence

import msgspec

from moleworks import logs
from moleworks.duties.holder import Holder
from moleworks.store.client import Client, Refused, Unavailable
from moleworks.store.protocol import Row as Record
from moleworks.store.state import Condition, Delete, Event, Guard, Put

from .expiry import Expiry, Limits
from .mirror import BEATS, BEATS_OF, DOUBT, DOUBT_OF, HOST, HOSTS, Beats, Doubt, Host, Mirror
from .rows import DRAINING, ENCODE, GONE

log = logs.get("registry")

PREFIX = "reg/"
DUTY = "registry/expire"
ASK_S = 0.5
BEAT_S = 0.5
SESSIONS = 4000
"""Of one record of heartbeats; more go into the next."""
PENDING = 100_000
"""Sessions that may wait for it: beyond that heartbeats are refused."""
DUTY_MS = 3000
OPS = 100
PAGE = 1000


class Conflict(Exception):
    """Somebody else has changed it meanwhile, or another session has the name."""


class Service:
    """Without sockets of its own but those to the store."""

    def __init__(self, client: Client, name: str, limits: Limits, changed: Callable[[], None]) -> None:
        self._client, self.name, self._limits = client, name, limits
        self._own = client.clone()           # for heartbeats and the duty: no writer's call stands before them
        self._changed = changed
        self.mirror = Mirror()
        self._here = 0                      # the revision up to which the store's watch has told all
        self._beats: dict[str, None] = {}
        self._life = secrets.token_hex(4)
        self._expiry: Expiry | None = None

    def age_ms(self) -> float:
        """At most so old is what this process says, ms."""
        return min(1e12, self.mirror.age(time.monotonic_ns()) / 1e6)

    def expires(self) -> bool:
        """Whether this process has the duty now."""
        return self._expiry is not None

    async def run(self) -> None:
        """For ever."""
        async with asyncio.TaskGroup() as group:
            for part in (self._follow, self._ask, self._beat, self._expire):
                group.create_task(part())

    # ---- The mirror --------------------------------------------------------------------------------------

    async def _follow(self) -> None:
        """All records, then every change; all of them again where the store has forgotten some, or was restored."""
        while True:
            try:
                async with self._client.clone() as client:
                    hosts, first, last = await self._read(client)
                    begun = first == last
                    if begun:
                        self._begin(hosts, last)
                    async for events, here in client.watch_batches(PREFIX, first):
                        if begun:
                            self._apply(events, here)
                            continue
                        for event in events:        # pages were of several revisions: first come as far as the last one
                            self._fold(hosts, event)
                        if begun := here >= last:
                            self._begin(hosts, here)
            except (Refused, Unavailable, ValueError) as error:
                log.warning("registry_begins_anew", service=self.name, why=str(error))
                await asyncio.sleep(random.uniform(0.1, 0.5))

    async def _read(self, client: Client) -> tuple[dict[str, tuple[int, Host]], int, int]:
        """All hosts, page by page, and the revisions of the first page and of the last."""
        records: list[Record] = []
        first, after = 0, ""
        while True:
            answer = await client.list(PREFIX, PAGE, after)
            rows = answer.rows or []
            first = first or answer.revision
            records += rows
            if len(rows) < PAGE:
                break
            after = rows[-1].key
        for row in records:
            if row.key == DOUBT:
                self.mirror.doubtful = DOUBT_OF.decode(row.value).hosts
        return ({row.key.removeprefix(HOSTS): (row.revision, HOST.decode(row.value))
                 for row in records if row.key.startswith(HOSTS)}, first, answer.revision)

    @staticmethod
    def _fold(hosts: dict[str, tuple[int, Host]], event: Event) -> None:
        name = event.key.removeprefix(HOSTS)
        if event.key.startswith(HOSTS) and event.revision > hosts.get(name, (0, None))[0]:
            hosts.pop(name, None)
            if event.value is not None:
                hosts[name] = (event.revision, HOST.decode(event.value))

    def _begin(self, hosts: dict[str, tuple[int, Host]], here: int) -> None:
        self.mirror.begin(hosts, here)
        self._here = here
        self.mirror.reached(here)
        self._changed()

    def _apply(self, events: Sequence[Event], here: int) -> None:
        """Events of one or more revisions, in order; a revision's are never torn apart."""
        versions: dict[int, list[tuple[str, Host | None]]] = {}
        now = time.monotonic_ns()
        for event in events:
            if event.key.startswith(HOSTS):
                name = event.key.removeprefix(HOSTS)
                versions.setdefault(event.revision, []).append(
                    (name, None if event.value is None else HOST.decode(event.value)))
            elif event.key.startswith(BEATS) and event.value is not None:
                if self._expiry is not None:
                    self._expiry.beat(now, BEATS_OF.decode(event.value).sessions)
            elif event.key == DOUBT:
                self.mirror.doubtful = [] if event.value is None else DOUBT_OF.decode(event.value).hosts
        for revision, changes in versions.items():
            if revision > self.mirror.generation:
                self.mirror.change(revision, changes)
        self._here = max(self._here, here)
        self.mirror.reached(self._here)
        if versions:
            self._changed()

    async def _ask(self) -> None:
        """How far the store is: the mirror is as new as this was sent, once it has come so far."""
        async with self._client.clone() as client:
            while True:
                sent = time.monotonic_ns()
                try:
                    async with asyncio.timeout(2.0):
                        revision = (await client.list("\0", 0)).revision
                    self.mirror.asked(sent, revision, self._here)
                except (Unavailable, Refused, TimeoutError):
                    pass
                await asyncio.sleep(ASK_S * random.uniform(0.8, 1.2))

    # ---- Heartbeats and expiry ---------------------------------------------------------------------------

    def renew(self, name: str, session: str) -> bool:
        """A host lives.  Raises Conflict where another session has its name; false where too many wait."""
        host = self.mirror.hosts.get(name)
        if host is None and session in self._beats:
            return True              # it has just registered here
        if host is None or host.session != session:
            raise Conflict(f"{name} is not this session's")
        if len(self._beats) >= PENDING and session not in self._beats:
            return False
        self._beats[session] = None
        return True

    async def _beat(self) -> None:
        number = 0
        while True:
            await asyncio.sleep(BEAT_S)
            sessions = list(self._beats)[:SESSIONS]
            if not sessions:
                continue
            number += 1
            try:
                await self._own.change((Put(f"{BEATS}{self.name}", ENCODE(Beats(number, sessions))),))
                for session in sessions:
                    self._beats.pop(session, None)
            except Unavailable:
                self._beats.clear()     # they would be told as if of now

    async def _expire(self) -> None:
        """The duty: who holds it removes hosts that fell silent."""
        holder = Holder(self._own, DUTY, f"{self.name}-{self._life}", DUTY_MS)
        while True:
            held = await holder.acquire()
            self._expiry = Expiry(time.monotonic_ns(), self.mirror.hosts, self._limits)
            keeping = asyncio.create_task(holder.renew_until_lost())
            try:
                while not keeping.done():
                    await asyncio.sleep(0.5)
                    await self._round(held.token, holder)
            except (Unavailable, Refused):
                pass
            finally:
                self._expiry = None
                keeping.cancel()

    async def _round(self, token: int, holder: Holder) -> None:
        assert self._expiry is not None
        now = time.monotonic_ns()
        if not self._expiry.sees(now, self.mirror.age(now)):
            return
        leave, doubtful = self._expiry.decide(now, self.mirror.hosts)
        guard = Guard(DUTY, token)
        if doubtful != self.mirror.doubtful and holder.holds():
            if len(doubtful) > len(self.mirror.doubtful):
                log.warning("registry_doubts", hosts=len(doubtful))
            await self._own.change((Put(DOUBT, ENCODE(Doubt(doubtful))),), (), guard)
        for name in leave:
            revision = self.mirror.revisions.get(name)
            if revision is None or not holder.holds():
                continue
            result = await self._own.change((Delete(HOSTS + name),), (Condition(HOSTS + name, revision),), guard)
            log.info("registry_expired", host=name, done=result.done, why=result.why)

    # ---- Writers -----------------------------------------------------------------------------------------

    async def put(self, hosts: Sequence[Host], drain: Sequence[str], gone: Sequence[str]) -> int:
        """An operator's changes, all in one version; its number.  Raises Conflict, Unavailable, ValueError."""
        if len(hosts) + len(drain) + len(gone) > OPS:
            raise ValueError(f"at most {OPS} changes in one version")
        ops: list[Put | Delete] = [Put(HOSTS + host.row.instance_id, ENCODE(host)) for host in hosts]
        conditions = []
        for name in drain:
            old, at = await self._record(name)
            if old is None:
                raise Conflict(f"{name} is not in the list")
            ops.append(Put(HOSTS + name, ENCODE(_with(old, DRAINING))))
            conditions.append(Condition(HOSTS + name, at))
        ops += [Delete(HOSTS + name) for name in gone]
        return await self._write(ops, conditions)

    async def register(self, host: Host) -> int:
        """A host comes, or comes anew with another session; asked again, it changes nothing.  Raises as `put`."""
        name = host.row.instance_id
        old, at = await self._record(name)
        if old is not None and old.session == host.session:
            return at                # it may be draining since: that stays
        self._beats[host.session] = None
        return await self._write([Put(HOSTS + name, ENCODE(host))], [Condition(HOSTS + name, at)])

    async def alter(self, name: str, session: str, lifecycle: str) -> int:
        """A host drains or ends, by its own word.  Raises as `put`."""
        old, at = await self._record(name)
        if old is None or old.session != session:
            if old is None and lifecycle == GONE:
                return self.mirror.generation       # asked again
            raise Conflict(f"{name} is not this session's")
        op = Delete(HOSTS + name) if lifecycle == GONE else Put(HOSTS + name, ENCODE(_with(old, lifecycle)))
        return await self._write([op], [Condition(HOSTS + name, at)])

    async def _record(self, name: str) -> tuple[Host | None, int]:
        record = await self._client.get(HOSTS + name)
        return (None, 0) if record is None else (HOST.decode(record.value), record.revision)

    async def _write(self, ops: Sequence[Put | Delete], conditions: Sequence[Condition]) -> int:
        result = await self._client.change(tuple(ops), tuple(conditions))
        if not result.done:
            raise Conflict("it has changed meanwhile" if result.why == "condition" else result.why)
        return result.revision


def _with(host: Host, lifecycle: str) -> Host:
    return msgspec.structs.replace(host, row=msgspec.structs.replace(host.row, lifecycle=lifecycle))
