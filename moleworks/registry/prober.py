"""The prober: one process for each zone asks its hosts whether they are well, and writes verdicts to the store.

It holds the duty `probe/ZONE`; each verdict is guarded by its token, so that one that was stopped writes nothing late.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence
from typing import Any

import aiohttp
import msgspec

from moleworks import logs
from moleworks.duties.holder import Holder
from moleworks.store.client import Client, Unavailable
from moleworks.store.state import Delete, Guard, Put

from .lists import Lists
from .rows import DRAINING, Row
from .verdicts import Verdict, Verdicts

log = logs.get("prober")

AT_ONCE = 64
OPS = 64
PREFIX = "verdicts/"


class Lost(Exception):
    """The duty is another's now."""


class Prober:
    """One zone."""

    def __init__(self, client: Client, lists: Lists, zone: str, name: str, every_s: float = 1.0,
                 timeout_s: float = 0.3, ttl_ms: int = 3000) -> None:
        self._client, self._lists, self._zone = client, lists, zone
        self._holder = Holder(client, f"probe/{zone}", name, ttl_ms)
        self._every_s, self._timeout_s = every_s, timeout_s
        self._prefix = f"{PREFIX}{zone}/"

    async def run(self) -> None:
        """For ever: wait for the duty, probe while it is held, begin anew."""
        listening = asyncio.create_task(self._listen())
        try:
            while True:
                held = await self._holder.acquire()
                keeping = asyncio.create_task(self._holder.renew_until_lost())
                probing = asyncio.create_task(self._probe(held.token))
                tasks: tuple[asyncio.Task[Any], ...] = (keeping, probing, listening)
                done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
                for task in (keeping, probing):
                    task.cancel()
                await asyncio.gather(keeping, probing, return_exceptions=True)
                for error in [task.exception() for task in done]:
                    if error is not None and not isinstance(error, Lost | Unavailable):
                        raise error
                log.warning("prober_lost", zone=self._zone, token=held.token)
        finally:
            listening.cancel()
            await self._holder.release()

    async def _listen(self) -> None:
        async for _ in self._lists.watch():
            pass

    async def _probe(self, token: int) -> None:
        verdicts = Verdicts()
        for row in (await self._client.list(self._prefix)).rows or []:
            verdicts.known(row.key.removeprefix(self._prefix), msgspec.json.decode(row.value, type=Verdict))
        limit = asyncio.Semaphore(AT_ONCE)
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        connector = aiohttp.TCPConnector(limit=AT_ONCE, force_close=True)   # each one new
        async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
            while True:
                begun = time.monotonic()
                rows = [row for row in self._lists.rows.values()
                        if row.zone == self._zone and row.lifecycle != DRAINING]
                found = await asyncio.gather(*(self._ask(session, limit, row) for row in rows))
                turned = verdicts.end_round({row.instance_id: why for row, why in zip(rows, found, strict=True)})
                gone = verdicts.forget(row.instance_id for row in self._lists.rows.values()) if self._lists.rows else []
                await self._write(token, turned, gone)
                await asyncio.sleep(max(0.0, begun + self._every_s - time.monotonic()))

    async def _ask(self, session: aiohttp.ClientSession, limit: asyncio.Semaphore, row: Row) -> str:
        """Empty if it is well.  Asked at some point of the first half of a round, so that not all are asked at once."""
        await asyncio.sleep(random.uniform(0, self._every_s / 2))
        async with limit:
            if not self._holder.holds():
                raise Lost
            try:
                async with session.get(f"http://{row.host_port}/health/live") as answer:
                    return "" if answer.status == 200 else f"answer {answer.status}"
            except TimeoutError:
                return "no answer in time"
            except (aiohttp.ClientError, OSError, ValueError) as error:
                return f"{type(error).__name__}"

    async def _write(self, token: int, turned: Sequence[tuple[str, Verdict]], gone: Sequence[str]) -> None:
        ops: list[Put | Delete] = [Put(self._prefix + host, msgspec.json.encode(verdict)) for host, verdict in turned]
        ops += [Delete(self._prefix + host) for host in gone]
        for at in range(0, len(ops), OPS):
            result = await self._client.change(tuple(ops[at:at + OPS]), (), Guard(f"probe/{self._zone}", token))
            if not result.done:
                raise Lost
            for host, verdict in turned[at:at + OPS]:
                log.info("verdict", zone=self._zone, host=host, state=verdict.state, why=verdict.why)
