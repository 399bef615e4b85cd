"""One process of the list service: mirrors the store, writes changes and heartbeats, expires silent hosts."""

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
from .mirror import (
    DOUBTFUL_DECODER,
    DOUBTFUL_KEY,
    HEARTBEATS_DECODER,
    HEARTBEATS_PREFIX,
    HOST_DECODER,
    HOSTS_PREFIX,
    DoubtfulHosts,
    Heartbeats,
    Host,
    Mirror,
)
from .rows import DRAINING, ENCODE, TERMINATED

log = logs.get("registry")

PREFIX = "reg/"
DUTY = "registry/expire"
REVISION_QUERY_INTERVAL_S = 0.5
HEARTBEAT_WRITE_INTERVAL_S = 0.5
MAX_SESSIONS_PER_RECORD = 4000
"""Limit of one heartbeat record; further sessions go into the next one."""
MAX_PENDING_SESSIONS = 100_000
"""Limit of renewed sessions that wait to be written; beyond it heartbeats are refused."""
DUTY_TTL_MS = 3000
MAX_CHANGES_PER_VERSION = 100
PAGE_RECORDS = 1000


class Conflict(Exception):
    """The record was changed concurrently, or the name belongs to another session."""


class Service:
    """The state and the background tasks of one process.  Opens no sockets except to the store."""

    def __init__(self, client: Client, name: str, limits: Limits, on_change: Callable[[], None]) -> None:
        self._client, self.name, self._limits = client, name, limits
        self._duty_client = client.clone()     # heartbeats and the duty must not queue behind writes
        self._on_change = on_change
        self.mirror = Mirror()
        self._applied_revision = 0                  # the store's watch is complete up to this revision
        self._pending_sessions: dict[str, None] = {}
        self._process_token = secrets.token_hex(4)
        self._expiry: Expiry | None = None

    def age_ms(self) -> float:
        """Upper bound of the age of this process's list, ms."""
        return min(1e12, self.mirror.age(time.monotonic_ns()) / 1e6)

    def holds_expiry_duty(self) -> bool:
        """Whether this process currently holds the duty to expire hosts."""
        return self._expiry is not None

    async def run(self) -> None:
        """Run all background tasks until cancelled."""
        async with asyncio.TaskGroup() as group:
            for task in (self._watch_store, self._query_revision, self._write_heartbeats, self._run_expiry):
                group.create_task(task())

    # ---- The mirror --------------------------------------------------------------------------------------

    async def _watch_store(self) -> None:
        """Read all records, then watch for changes; start over if the store has compacted some or was restored."""
        while True:
            try:
                async with self._client.clone() as client:
                    hosts, first, last = await self._read_hosts(client)
                    loaded = first == last
                    if loaded:
                        self._load_mirror(hosts, last)
                    async for events, applied_revision in client.watch_batches(PREFIX, first):
                        if loaded:
                            self._apply(events, applied_revision)
                            continue
                        for event in events:        # the pages differ in revision: catch up to the last page first
                            self._merge_event(hosts, event)
                        if loaded := applied_revision >= last:
                            self._load_mirror(hosts, applied_revision)
            except (Refused, Unavailable, ValueError) as error:
                log.warning("registry_begins_anew", service=self.name, why=str(error))
                await asyncio.sleep(random.uniform(0.1, 0.5))

    async def _read_hosts(self, client: Client) -> tuple[dict[str, tuple[int, Host]], int, int]:
        """Read all hosts page by page; also returns the revisions of the first and the last page."""
        records: list[Record] = []
        first, after = 0, ""
        while True:
            page = await client.list(PREFIX, PAGE_RECORDS, after)
            rows = page.rows or []
            first = first or page.revision
            records += rows
            if len(rows) < PAGE_RECORDS:
                break
            after = rows[-1].key
        for row in records:
            if row.key == DOUBTFUL_KEY:
                self.mirror.doubtful = DOUBTFUL_DECODER.decode(row.value).hosts
        return ({row.key.removeprefix(HOSTS_PREFIX): (row.revision, HOST_DECODER.decode(row.value))
                 for row in records if row.key.startswith(HOSTS_PREFIX)}, first, page.revision)

    @staticmethod
    def _merge_event(hosts: dict[str, tuple[int, Host]], event: Event) -> None:
        name = event.key.removeprefix(HOSTS_PREFIX)
        if event.key.startswith(HOSTS_PREFIX) and event.revision > hosts.get(name, (0, None))[0]:
            hosts.pop(name, None)
            if event.value is not None:
                hosts[name] = (event.revision, HOST_DECODER.decode(event.value))

    def _load_mirror(self, hosts: dict[str, tuple[int, Host]], applied_revision: int) -> None:
        self.mirror.begin(hosts, applied_revision)
        self._applied_revision = applied_revision
        self.mirror.on_revision_reached(applied_revision)
        self._on_change()

    def _apply(self, events: Sequence[Event], revision: int) -> None:
        """Apply events of one or more complete revisions, in order."""
        versions: dict[int, list[tuple[str, Host | None]]] = {}
        now = time.monotonic_ns()
        for event in events:
            if event.key.startswith(HOSTS_PREFIX):
                name = event.key.removeprefix(HOSTS_PREFIX)
                versions.setdefault(event.revision, []).append(
                    (name, None if event.value is None else HOST_DECODER.decode(event.value)))
            elif event.key.startswith(HEARTBEATS_PREFIX) and event.value is not None:
                if self._expiry is not None:
                    self._expiry.on_heartbeats(now, HEARTBEATS_DECODER.decode(event.value).sessions)
            elif event.key == DOUBTFUL_KEY:
                self.mirror.doubtful = [] if event.value is None else DOUBTFUL_DECODER.decode(event.value).hosts
        for version, changes in versions.items():
            if version > self.mirror.generation:
                self.mirror.change(version, changes)
        self._applied_revision = max(self._applied_revision, revision)
        self.mirror.on_revision_reached(self._applied_revision)
        if versions:
            self._on_change()

    async def _query_revision(self) -> None:
        """Query the store's revision; a mirror that has reached it is as fresh as the time when the query was sent."""
        async with self._client.clone() as client:
            while True:
                sent = time.monotonic_ns()
                try:
                    async with asyncio.timeout(2.0):
                        revision = (await client.list("\0", 0)).revision
                    self.mirror.on_revision_queried(sent, revision, self._applied_revision)
                except (Unavailable, Refused, TimeoutError):
                    pass
                await asyncio.sleep(REVISION_QUERY_INTERVAL_S * random.uniform(0.8, 1.2))

    # ---- Heartbeats and expiry ---------------------------------------------------------------------------

    def renew(self, name: str, session: str) -> bool:
        """Record a heartbeat.  Raises Conflict if another session has the name; False if too many are pending."""
        host = self.mirror.hosts.get(name)
        if host is None and session in self._pending_sessions:
            return True              # registered here a moment ago; the mirror does not have it yet
        if host is None or host.session != session:
            raise Conflict(f"{name} is not this session's")
        if len(self._pending_sessions) >= MAX_PENDING_SESSIONS and session not in self._pending_sessions:
            return False
        self._pending_sessions[session] = None
        return True

    async def _write_heartbeats(self) -> None:
        number = 0
        while True:
            await asyncio.sleep(HEARTBEAT_WRITE_INTERVAL_S)
            sessions = list(self._pending_sessions)[:MAX_SESSIONS_PER_RECORD]
            if not sessions:
                continue
            number += 1
            try:
                await self._duty_client.change(
                    (Put(f"{HEARTBEATS_PREFIX}{self.name}", ENCODE(Heartbeats(number, sessions))),))
                for session in sessions:
                    self._pending_sessions.pop(session, None)
            except Unavailable:
                self._pending_sessions.clear()     # a later write would make them look as recent as that write

    async def _run_expiry(self) -> None:
        """Acquire the duty and, while it is held, remove hosts whose heartbeats have stopped."""
        holder = Holder(self._duty_client, DUTY, f"{self.name}-{self._process_token}", DUTY_TTL_MS)
        while True:
            held = await holder.acquire()
            self._expiry = Expiry(time.monotonic_ns(), self.mirror.hosts, self._limits)
            renewing = asyncio.create_task(holder.renew_until_lost())
            try:
                while not renewing.done():
                    await asyncio.sleep(0.5)
                    await self._expire_silent(held.token, holder)
            except (Unavailable, Refused):
                pass
            finally:
                self._expiry = None
                renewing.cancel()

    async def _expire_silent(self, token: int, holder: Holder) -> None:
        assert self._expiry is not None
        now = time.monotonic_ns()
        if not self._expiry.has_current_view(now, self.mirror.age(now)):
            return
        expired, doubtful = self._expiry.decide(now, self.mirror.hosts)
        guard = Guard(DUTY, token)
        if doubtful != self.mirror.doubtful and holder.holds():
            if len(doubtful) > len(self.mirror.doubtful):
                log.warning("registry_doubts", hosts=len(doubtful))
            await self._duty_client.change((Put(DOUBTFUL_KEY, ENCODE(DoubtfulHosts(doubtful))),), (), guard)
        for name in expired:
            revision = self.mirror.revisions.get(name)
            if revision is None or not holder.holds():
                continue
            result = await self._duty_client.change(
                (Delete(HOSTS_PREFIX + name),), (Condition(HOSTS_PREFIX + name, revision),), guard)
            log.info("registry_expired", host=name, done=result.done, why=result.why)

    # ---- Writers -----------------------------------------------------------------------------------------

    async def put(self, hosts: Sequence[Host], drain: Sequence[str], remove: Sequence[str]) -> int:
        """Write an operator's changes as one version; returns its number.  Raises Conflict, Unavailable, ValueError."""
        if len(hosts) + len(drain) + len(remove) > MAX_CHANGES_PER_VERSION:
            raise ValueError(f"at most {MAX_CHANGES_PER_VERSION} changes in one version")
        ops: list[Put | Delete] = [Put(HOSTS_PREFIX + host.row.instance_id, ENCODE(host)) for host in hosts]
        conditions = []
        for name in drain:
            old, revision = await self._read_host(name)
            if old is None:
                raise Conflict(f"{name} is not in the list")
            ops.append(Put(HOSTS_PREFIX + name, ENCODE(_with_lifecycle(old, DRAINING))))
            conditions.append(Condition(HOSTS_PREFIX + name, revision))
        ops += [Delete(HOSTS_PREFIX + name) for name in remove]
        return await self._write(ops, conditions)

    async def register(self, host: Host) -> int:
        """Register a host, or replace its session; idempotent for the same session.  Raises as `put`."""
        name = host.row.instance_id
        old, revision = await self._read_host(name)
        if old is not None and old.session == host.session:
            return revision                # keeps its lifecycle, which may be draining by now
        self._pending_sessions[host.session] = None
        return await self._write([Put(HOSTS_PREFIX + name, ENCODE(host))], [Condition(HOSTS_PREFIX + name, revision)])

    async def set_lifecycle(self, name: str, session: str, lifecycle: str) -> int:
        """Drain or remove a host on its own request.  Raises as `put`."""
        old, revision = await self._read_host(name)
        if old is None or old.session != session:
            if old is None and lifecycle == TERMINATED:
                return self.mirror.generation       # repeated request
            raise Conflict(f"{name} is not this session's")
        op = (Delete(HOSTS_PREFIX + name) if lifecycle == TERMINATED
              else Put(HOSTS_PREFIX + name, ENCODE(_with_lifecycle(old, lifecycle))))
        return await self._write([op], [Condition(HOSTS_PREFIX + name, revision)])

    async def _read_host(self, name: str) -> tuple[Host | None, int]:
        record = await self._client.get(HOSTS_PREFIX + name)
        return (None, 0) if record is None else (HOST_DECODER.decode(record.value), record.revision)

    async def _write(self, ops: Sequence[Put | Delete], conditions: Sequence[Condition]) -> int:
        result = await self._client.change(tuple(ops), tuple(conditions))
        if not result.done:
            raise Conflict("it has changed meanwhile" if result.why == "condition" else result.why)
        return result.revision


def _with_lifecycle(host: Host, lifecycle: str) -> Host:
    return msgspec.structs.replace(host, row=msgspec.structs.replace(host.row, lifecycle=lifecycle))
