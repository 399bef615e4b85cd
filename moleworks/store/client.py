"""A client of the store: finds the leader, sends again what had no answer, and is applied once all the same."""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections.abc import AsyncIterator, Mapping, Sequence
from typing import Any

import msgspec

from moleworks import wire

from .protocol import (
    ANSWER,
    ENCODE,
    Answer,
    Call,
    Compact,
    Get,
    GrantRow,
    Hello,
    Image,
    List,
    Members,
    Row,
    Status,
    StatusRow,
    Transfer,
    Watch,
    WatchDuty,
)
from .state import Acquire, Change, Condition, Delete, Event, Guard, Open, Put, Renew, Result

TRY_S = 1.0
"""So long for one answer before it is asked again elsewhere."""


WATCH_S = 3.5
"""A watch that hears nothing for so long is on a member that is cut off, taken out or gone: it goes elsewhere."""


class Unavailable(Exception):
    """No answer in the time that was given; a change may have happened or may yet."""


class Refused(Exception):
    """The store has answered that it won't."""


class Client:
    """One session: changes go one after the other, so that each is applied once.  Use it as a context.

    With names beside the addresses a member that another one names is reached there, not where that one reaches it.
    """

    def __init__(self, addresses: Mapping[str, tuple[str, int]] | Sequence[tuple[str, int]], cluster: str,
                 timeout_s: float = 10.0) -> None:
        self._names = dict(addresses) if isinstance(addresses, Mapping) else {}
        self._addresses = list(addresses.values() if isinstance(addresses, Mapping) else addresses)
        self._cluster = wire.cluster_id(cluster)
        self._timeout_s = timeout_s
        self._name = secrets.token_hex(8)
        self._number = 0
        self._opened = False
        self._calls = 0
        self._waiting: dict[int, asyncio.Queue[Answer]] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task[None] | None = None
        self._at: tuple[str, int] | None = None
        self._lock = asyncio.Lock()
        self._connecting = asyncio.Lock()

    def clone(self) -> Client:
        """Another client of the same members, with a session and connections of its own."""
        clone = Client(self._names or self._addresses, "", self._timeout_s)
        clone._cluster = self._cluster
        return clone

    async def __aenter__(self) -> Client:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._drop()

    # ---- Connections ------------------------------------------------------------------------------------

    async def _drop(self) -> None:
        writer, self._writer = self._writer, None
        if self._reading is not None:
            self._reading.cancel()
            self._reading = None
        if writer is not None:
            writer.close()

    async def _connect(self) -> asyncio.StreamWriter:
        async with self._connecting:
            if self._writer is not None and not self._writer.is_closing():
                return self._writer
            await self._drop()
            where = self._at or random.choice(self._addresses)
            async with asyncio.timeout(TRY_S):
                reader, writer = await asyncio.open_connection(*where, limit=2 * wire.MAX_FRAME)
            writer.write(wire.frame(self._cluster, ENCODE(Hello())))
            self._writer = writer
            self._reading = asyncio.create_task(self._read(reader))
            return writer

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while (payload := await wire.read(reader, self._cluster)) is not None:
                answer = ANSWER.decode(payload)
                queue = self._waiting.get(answer.id)
                if queue is not None:
                    queue.put_nowait(answer)
        except (wire.WireError, msgspec.DecodeError):
            pass
        finally:
            if self._writer is not None:
                self._writer.close()
            for number, queue in self._waiting.items():
                queue.put_nowait(Answer(number, error="gone"))

    async def _once(self, what: Any) -> Answer:
        """One try.  Raises OSError or TimeoutError where there is no answer."""
        writer = await self._connect()
        self._calls += 1
        number = self._calls
        queue = self._waiting[number] = asyncio.Queue(4)
        try:
            writer.write(wire.frame(self._cluster, ENCODE(Call(number, what))))
            async with asyncio.timeout(TRY_S):
                answer = await queue.get()
        finally:
            del self._waiting[number]
        if answer.error == "gone":
            raise ConnectionResetError
        return answer

    async def call(self, what: Any) -> Answer:
        """Until there is an answer of substance.  Raises Unavailable, Refused."""
        ends = time.monotonic() + self._timeout_s
        pause = 0.02
        while True:
            try:
                answer = await self._once(what)
            except (OSError, TimeoutError, wire.WireError):
                await self._drop()
                self._at = None
            else:
                if answer.error:
                    raise Refused(answer.error)
                if answer.elsewhere is None:
                    return answer
                self._go(answer)
            if time.monotonic() + pause > ends:
                raise Unavailable(f"no answer in {self._timeout_s:g} s")
            await asyncio.sleep(pause * random.uniform(0.5, 1.5))
            pause = min(0.2, pause * 1.7)

    def _go(self, answer: Answer) -> None:
        """To the leader that was named, or to anybody."""
        assert answer.elsewhere is not None
        if answer.elsewhere.busy:
            return
        where = self._names.get(answer.elsewhere.leader)
        if where is None and not self._names:
            try:
                where = wire.address(answer.address)
            except ValueError:   # nobody knows one
                where = None
        if where != self._at or where is None:
            self._at = where
            if self._writer is not None:
                self._writer.close()

    # ---- Changes ----------------------------------------------------------------------------------------

    async def submit(self, make: Any) -> Result:
        """A numbered change; `make(client, number)` words it.  Raises Unavailable."""
        async with self._lock:
            if not self._opened:
                await self.call(Open(self._name))
                self._opened = True
            self._number += 1
            answer = await self.call(make(self._name, self._number))
            assert answer.result is not None
            if answer.result.why == "session":
                self._opened = False
                raise Unavailable("the session is forgotten: what was asked may have happened")
            return answer.result

    async def change(self, ops: tuple[Put | Delete, ...], conditions: tuple[Condition, ...] = (),
                     guard: Guard | None = None) -> Result:
        """All of it or none."""
        return await self.submit(lambda client, number: Change(client, number, ops, conditions, guard))

    async def acquire(self, duty: str, holder: str, ttl_ms: int) -> Result:
        """Ask for a duty once."""
        return await self.submit(lambda client, number: Acquire(client, number, duty, holder, ttl_ms))

    async def renew(self, duty: str, token: int, release: bool = False, to: str = "") -> Result:
        """Go on holding it, or let go, or hand it over."""
        return await self.submit(lambda client, number: Renew(client, number, duty, token, release, to))

    # ---- Reads ------------------------------------------------------------------------------------------

    async def get(self, key: str) -> Row | None:
        """A record, linearizably."""
        rows = (await self.call(Get(key))).rows
        return rows[0] if rows else None

    async def list(self, prefix: str = "", most: int = 1000, after: str = "") -> Answer:
        """Records by prefix, page by page with `after`, and grants."""
        return await self.call(List(prefix, most, False, after))

    async def status(self) -> StatusRow:
        """Of the member that answers."""
        status = (await self.call(Status())).status
        assert status is not None
        return status

    async def members(self, add: str = "", address: str = "", remove: str = "") -> Result:
        """One change of members."""
        result = (await self.call(Members(add, address, remove))).result
        assert result is not None
        return result

    async def transfer(self, to: str) -> None:
        """Let another member lead."""
        await self.call(Transfer(to))

    async def compact(self) -> Result:
        """Let the image of the member that answers take the place of its log."""
        result = (await self.call(Compact())).result
        assert result is not None
        return result

    async def image(self) -> bytes:
        """The state as of a linearizable read, for a backup.  Raises Unavailable, Refused."""
        got = bytearray()
        answer = await self.call(Image())
        while True:
            got += answer.data
            if len(got) >= answer.size:
                return bytes(got)
            answer = await self.call(Image(answer.image, len(got)))

    async def watch_duty(self, duty: str) -> AsyncIterator[GrantRow | None]:
        """Who holds a duty, now and whenever that changes; never an older grant after a newer one."""
        newest = 0
        told: GrantRow | None | bool = False
        while True:
            try:
                async for answer in self._stream(WatchDuty(duty)):
                    if answer.error:
                        raise Refused(answer.error)
                    if answer.grants is None:
                        continue
                    row = answer.grants[0] if answer.grants else None
                    if row == told or (row is not None and row.token < newest):
                        continue   # of a member that is behind
                    newest = row.token if row is not None else newest
                    told = row
                    yield row
            except (OSError, TimeoutError):
                await self._lost()

    async def _stream(self, what: Watch | WatchDuty) -> AsyncIterator[Answer]:
        """Answers to one call as they come.  Raises OSError where the connection ends."""
        self._calls += 1
        number = self._calls
        queue = self._waiting[number] = asyncio.Queue(10_000)
        try:
            writer = await self._connect()
            writer.write(wire.frame(self._cluster, ENCODE(Call(number, what))))
            while True:
                async with asyncio.timeout(WATCH_S):
                    answer = await queue.get()
                if answer.error == "gone" or answer.elsewhere is not None:
                    raise ConnectionResetError
                yield answer
        finally:
            self._waiting.pop(number, None)

    async def _lost(self) -> None:
        await self._drop()
        self._at = None
        await asyncio.sleep(random.uniform(0.05, 0.3))

    async def watch(self, prefix: str, after: int) -> AsyncIterator[Event]:
        """Changes after a revision, one by one; see `watch_batches`."""
        async for events, _ in self.watch_batches(prefix, after):
            for event in events:
                yield event

    async def watch_batches(self, prefix: str, after: int) -> AsyncIterator[tuple[Sequence[Event], int]]:
        """Changes after a revision, without gap or repeat, whichever member tells them; up to which one that is all.

        Changes of one revision come together.  Raises Refused where the revision is compacted: list anew, and watch
        from there.
        """
        while True:
            try:
                async for answer in self._stream(Watch(prefix, after)):
                    if answer.compacted:
                        raise Refused(f"revision {after} is compacted; the newest is {answer.revision}")
                    if answer.error:
                        raise Refused(answer.error)
                    fresh = [event for event in answer.events or () if event.revision > after]
                    after = max(after, answer.revision)
                    yield fresh, after
            except (OSError, TimeoutError):
                await self._lost()
