"""The prober: one process for each zone checks the health of its hosts and writes verdicts to the store.

It holds the duty `probe/ZONE`.  The duty's token guards each write, so that a process that was suspended and has lost
the duty can't overwrite newer verdicts.
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

from .lists import ListClient
from .rows import DRAINING, Row
from .verdicts import Verdict, Verdicts

log = logs.get("prober")

MAX_CONCURRENT_PROBES = 64
MAX_OPS_PER_WRITE = 64
PREFIX = "verdicts/"


class DutyLost(Exception):
    """The duty was lost, and another process may hold it."""


class Prober:
    """Probes the hosts of one zone."""

    def __init__(self, client: Client, list_client: ListClient, zone: str, name: str, interval_s: float = 1.0,
                 timeout_s: float = 0.3, ttl_ms: int = 3000) -> None:
        self._client, self._list_client, self._zone = client, list_client, zone
        self._holder = Holder(client, f"probe/{zone}", name, ttl_ms)
        self._interval_s, self._timeout_s = interval_s, timeout_s
        self._prefix = f"{PREFIX}{zone}/"

    async def run(self) -> None:
        """Acquire the duty, probe while it is held, and start over when it is lost; runs until cancelled."""
        following = asyncio.create_task(self._follow_list())
        try:
            while True:
                held = await self._holder.acquire()
                renewing = asyncio.create_task(self._holder.renew_until_lost())
                probing = asyncio.create_task(self._probe_zone(held.token))
                tasks: tuple[asyncio.Task[Any], ...] = (renewing, probing, following)
                done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
                for task in (renewing, probing):
                    task.cancel()
                await asyncio.gather(renewing, probing, return_exceptions=True)
                for error in [task.exception() for task in done]:
                    if error is not None and not isinstance(error, DutyLost | Unavailable):
                        raise error
                log.warning("prober_lost", zone=self._zone, token=held.token)
        finally:
            following.cancel()
            await self._holder.release()

    async def _follow_list(self) -> None:
        async for _ in self._list_client.watch():
            pass

    async def _probe_zone(self, token: int) -> None:
        verdicts = Verdicts()
        for row in (await self._client.list(self._prefix)).rows or []:
            verdicts.load(row.key.removeprefix(self._prefix), msgspec.json.decode(row.value, type=Verdict))
        slots = asyncio.Semaphore(MAX_CONCURRENT_PROBES)
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        connector = aiohttp.TCPConnector(limit=MAX_CONCURRENT_PROBES, force_close=True)   # a new connection per probe
        async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
            while True:
                started_at = time.monotonic()
                rows = [row for row in self._list_client.rows.values()
                        if row.zone == self._zone and row.lifecycle != DRAINING]
                results = await asyncio.gather(*(self._probe_host(session, slots, row) for row in rows))
                changed = verdicts.end_round({row.instance_id: why for row, why in zip(rows, results, strict=True)})
                removed = (verdicts.forget(row.instance_id for row in self._list_client.rows.values())
                           if self._list_client.rows else [])
                await self._write(token, changed, removed)
                await asyncio.sleep(max(0.0, started_at + self._interval_s - time.monotonic()))

    async def _probe_host(self, session: aiohttp.ClientSession, slots: asyncio.Semaphore, row: Row) -> str:
        """The failure, or an empty string for a healthy host.  Probes are spread over the first half of a round."""
        await asyncio.sleep(random.uniform(0, self._interval_s / 2))
        async with slots:
            if not self._holder.holds():
                raise DutyLost
            try:
                async with session.get(f"http://{row.host_port}/health/live") as response:
                    return "" if response.status == 200 else f"answer {response.status}"
            except TimeoutError:
                return "no answer in time"
            except (aiohttp.ClientError, OSError, ValueError) as error:
                return f"{type(error).__name__}"

    async def _write(self, token: int, changed: Sequence[tuple[str, Verdict]], removed: Sequence[str]) -> None:
        ops: list[Put | Delete] = [Put(self._prefix + host, msgspec.json.encode(verdict)) for host, verdict in changed]
        ops += [Delete(self._prefix + host) for host in removed]
        for start in range(0, len(ops), MAX_OPS_PER_WRITE):
            result = await self._client.change(tuple(ops[start:start + MAX_OPS_PER_WRITE]), (),
                                               Guard(f"probe/{self._zone}", token))
            if not result.done:
                raise DutyLost
            for host, verdict in changed[start:start + MAX_OPS_PER_WRITE]:
                log.info("verdict", zone=self._zone, host=host, state=verdict.state, why=verdict.why)
