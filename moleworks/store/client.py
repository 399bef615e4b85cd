"""A client of the store.  It finds the leader and retries calls; a retried change is applied at most once."""

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

TRY_TIMEOUT_S = 1.0
"""Timeout of one try, after which the call is retried on a random member."""
WATCH_TIMEOUT_S = 3.5
"""A watch without a frame for this long is reopened elsewhere: its member is partitioned, removed or down."""


class Unavailable(Exception):
    """No answer within the timeout.  A change may have been applied, or may still be."""


class Refused(Exception):
    """The store has rejected the call; the message gives the reason."""


class Client:
    """A client session, used as a context manager.  Changes are sent one at a time, so that each is applied once.

    If `addresses` is a mapping by member name, redirects are resolved with it, not with the address in the redirect.
    """

    def __init__(self, addresses: Mapping[str, tuple[str, int]] | Sequence[tuple[str, int]], cluster: str,
                 timeout_s: float = 10.0) -> None:
        self._addresses_by_name = dict(addresses) if isinstance(addresses, Mapping) else {}
        self._addresses = list(addresses.values() if isinstance(addresses, Mapping) else addresses)
        self._cluster = wire.cluster_id(cluster)
        self._timeout_s = timeout_s
        self._session_id = secrets.token_hex(8)
        self._last_change_number = 0
        self._session_open = False
        self._last_call_id = 0
        self._answer_queues: dict[int, asyncio.Queue[Answer]] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._read_task: asyncio.Task[None] | None = None
        self._current_address: tuple[str, int] | None = None
        self._lock = asyncio.Lock()
        self._connect_lock = asyncio.Lock()

    def clone(self) -> Client:
        """Returns a client of the same members with a separate session and separate connections."""
        clone = Client(self._addresses_by_name or self._addresses, "", self._timeout_s)
        clone._cluster = self._cluster
        return clone

    async def __aenter__(self) -> Client:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._disconnect()

    # ---- Connections ------------------------------------------------------------------------------------

    async def _disconnect(self) -> None:
        writer, self._writer = self._writer, None
        if self._read_task is not None:
            self._read_task.cancel()
            self._read_task = None
        if writer is not None:
            writer.close()

    async def _connect(self) -> asyncio.StreamWriter:
        async with self._connect_lock:
            if self._writer is not None and not self._writer.is_closing():
                return self._writer
            await self._disconnect()
            address = self._current_address or random.choice(self._addresses)
            async with asyncio.timeout(TRY_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*address, limit=2 * wire.MAX_FRAME)
            writer.write(wire.encode_frame(self._cluster, ENCODE(Hello())))
            self._writer = writer
            self._read_task = asyncio.create_task(self._read(reader))
            return writer

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while (payload := await wire.read_frame(reader, self._cluster)) is not None:
                answer = ANSWER.decode(payload)
                queue = self._answer_queues.get(answer.id)
                if queue is not None:
                    queue.put_nowait(answer)
        except (wire.WireError, msgspec.DecodeError):
            pass
        finally:
            if self._writer is not None:
                self._writer.close()
            for number, queue in self._answer_queues.items():
                queue.put_nowait(Answer(number, error="gone"))

    async def _try_once(self, request: Any) -> Answer:
        """Makes one try.  Raises OSError or TimeoutError if there is no answer."""
        writer = await self._connect()
        self._last_call_id += 1
        number = self._last_call_id
        queue = self._answer_queues[number] = asyncio.Queue(4)
        try:
            writer.write(wire.encode_frame(self._cluster, ENCODE(Call(number, request))))
            async with asyncio.timeout(TRY_TIMEOUT_S):
                answer = await queue.get()
        finally:
            del self._answer_queues[number]
        if answer.error == "gone":
            raise ConnectionResetError
        return answer

    async def call(self, request: Any) -> Answer:
        """Retries until a member has handled the call.  Raises Unavailable, Refused."""
        deadline = time.monotonic() + self._timeout_s
        backoff_s = 0.02
        while True:
            try:
                answer = await self._try_once(request)
            except (OSError, TimeoutError, wire.WireError):
                await self._disconnect()
                self._current_address = None
            else:
                if answer.error:
                    raise Refused(answer.error)
                if answer.elsewhere is None:
                    return answer
                self._follow_redirect(answer)
            if time.monotonic() + backoff_s > deadline:
                raise Unavailable(f"no answer within {self._timeout_s:g} s")
            await asyncio.sleep(backoff_s * random.uniform(0.5, 1.5))
            backoff_s = min(0.2, backoff_s * 1.7)

    def _follow_redirect(self, answer: Answer) -> None:
        """Selects the leader that the redirect names, or any member if its address is unknown."""
        assert answer.elsewhere is not None
        if answer.elsewhere.busy:
            return
        address = self._addresses_by_name.get(answer.elsewhere.leader)
        if address is None and not self._addresses_by_name:
            try:
                address = wire.parse_address(answer.address)
            except ValueError:   # no leader is known
                address = None
        if address != self._current_address or address is None:
            self._current_address = address
            if self._writer is not None:
                self._writer.close()

    # ---- Changes ----------------------------------------------------------------------------------------

    async def submit(self, make: Any) -> Result:
        """Submits the numbered command that `make(client, number)` returns.  Raises Unavailable."""
        async with self._lock:
            if not self._session_open:
                await self.call(Open(self._session_id))
                self._session_open = True
            self._last_change_number += 1
            answer = await self.call(make(self._session_id, self._last_change_number))
            assert answer.result is not None
            if answer.result.why == "session":
                self._session_open = False
                raise Unavailable("the store has dropped the session: the change may have been applied")
            return answer.result

    async def change(self, ops: tuple[Put | Delete, ...], conditions: tuple[Condition, ...] = (),
                     guard: Guard | None = None) -> Result:
        """Applies all operations atomically, if the conditions hold and the guard's token is current."""
        return await self.submit(lambda client, number: Change(client, number, ops, conditions, guard))

    async def acquire(self, duty: str, holder: str, ttl_ms: int) -> Result:
        """Tries once to acquire a duty."""
        return await self.submit(lambda client, number: Acquire(client, number, duty, holder, ttl_ms))

    async def renew(self, duty: str, token: int, release: bool = False, to: str = "") -> Result:
        """Renews a grant, releases it, or hands it over to the holder `to`."""
        return await self.submit(lambda client, number: Renew(client, number, duty, token, release, to))

    # ---- Reads ------------------------------------------------------------------------------------------

    async def get(self, key: str) -> Row | None:
        """Reads a record, linearizably."""
        rows = (await self.call(Get(key))).rows
        return rows[0] if rows else None

    async def list(self, prefix: str = "", most: int = 1000, after: str = "") -> Answer:
        """Reads records by prefix, linearizably, and all grants; `after` is the last key of the previous page."""
        return await self.call(List(prefix, most, False, after))

    async def status(self) -> StatusRow:
        """The status of the member that responds."""
        status = (await self.call(Status())).status
        assert status is not None
        return status

    async def members(self, add: str = "", address: str = "", remove: str = "") -> Result:
        """Adds or removes one member."""
        result = (await self.call(Members(add, address, remove))).result
        assert result is not None
        return result

    async def transfer(self, to: str) -> None:
        """Transfers leadership to another member."""
        await self.call(Transfer(to))

    async def compact(self) -> Result:
        """Replaces the log of the member that responds with a snapshot."""
        result = (await self.call(Compact())).result
        assert result is not None
        return result

    async def image(self) -> bytes:
        """Reads an image of the complete state, linearizably, for a backup.  Raises Unavailable, Refused."""
        image = bytearray()
        answer = await self.call(Image())
        while True:
            image += answer.data
            if len(image) >= answer.size:
                return bytes(image)
            answer = await self.call(Image(answer.image, len(image)))

    async def watch_duty(self, duty: str) -> AsyncIterator[GrantRow | None]:
        """Yields a duty's grant, now and after each change; never an older grant after a newer one."""
        newest_token = 0
        last_row: GrantRow | None | bool = False
        while True:
            try:
                async for answer in self._stream(WatchDuty(duty)):
                    if answer.error:
                        raise Refused(answer.error)
                    if answer.grants is None:
                        continue
                    row = answer.grants[0] if answer.grants else None
                    if row == last_row or (row is not None and row.token < newest_token):
                        continue   # from a member that lags behind
                    newest_token = row.token if row is not None else newest_token
                    last_row = row
                    yield row
            except (OSError, TimeoutError):
                await self._lost()

    async def _stream(self, request: Watch | WatchDuty) -> AsyncIterator[Answer]:
        """Yields the answers to one call.  Raises OSError when the connection ends, TimeoutError when it is silent."""
        self._last_call_id += 1
        number = self._last_call_id
        queue = self._answer_queues[number] = asyncio.Queue(10_000)
        try:
            writer = await self._connect()
            writer.write(wire.encode_frame(self._cluster, ENCODE(Call(number, request))))
            while True:
                async with asyncio.timeout(WATCH_TIMEOUT_S):
                    answer = await queue.get()
                if answer.error == "gone" or answer.elsewhere is not None:
                    raise ConnectionResetError
                yield answer
        finally:
            self._answer_queues.pop(number, None)

    async def _lost(self) -> None:
        await self._disconnect()
        self._current_address = None
        await asyncio.sleep(random.uniform(0.05, 0.3))

    async def watch(self, prefix: str, after: int) -> AsyncIterator[Event]:
        """Yields the changes after a revision one at a time; see `watch_batches`."""
        async for events, _ in self.watch_batches(prefix, after):
            for event in events:
                yield event

    async def watch_batches(self, prefix: str, after: int) -> AsyncIterator[tuple[Sequence[Event], int]]:
        """Yields batches of changes after a revision, without gaps or repeats, each with the revision that it reaches.

        This holds across reconnections.  Changes of one revision are yielded together.  Raises Refused if the revision
        is compacted: the caller must list the records again and watch from that list's revision.
        """
        while True:
            try:
                async for answer in self._stream(Watch(prefix, after)):
                    if answer.compacted:
                        raise Refused(f"revision {after} is compacted; the latest is {answer.revision}")
                    if answer.error:
                        raise Refused(answer.error)
                    new_events = [event for event in answer.events or () if event.revision > after]
                    after = max(after, answer.revision)
                    yield new_events, after
            except (OSError, TimeoutError):
                await self._lost()
