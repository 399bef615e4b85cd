"""Holding a duty: acquire it, renew it, and stop by one's own clock before it can pass on."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import time
from collections.abc import Callable, Sequence

from moleworks import logs
from moleworks.children import die_with_parent
from moleworks.store.client import Client, Refused, Unavailable

from .held import Held

log = logs.get("duty")

RENEW = 3.0
"""A lease is renewed so many times in its length."""
STOP = 0.25
"""The last part of a lease in which what runs under it must already end."""


class Holder:
    """One process that wants one duty."""

    def __init__(self, client: Client, duty: str, name: str, ttl_ms: int) -> None:
        self._client, self.duty, self.name, self.ttl_ms = client, duty, name, ttl_ms
        self.held: Held | None = None

    def holds(self) -> bool:
        """Whether it may act now; look before each act."""
        return self.held is not None and self.held.holds(time.monotonic_ns())

    async def acquire(self) -> Held:
        """Ask until it is granted: at once when the grant changes, and now and then."""
        changed = asyncio.Event()
        watching = asyncio.create_task(self._watch(changed))
        try:
            return await self._ask(changed)
        finally:
            watching.cancel()

    async def _watch(self, changed: asyncio.Event) -> None:
        """On a connection of its own, so that its loss disturbs no call."""
        with contextlib.suppress(Refused):
            async with self._client.clone() as client:
                async for row in client.watch_duty(self.duty):
                    if row is None or row.to == self.name:
                        changed.set()

    async def _ask(self, changed: asyncio.Event) -> Held:
        while True:
            changed.clear()
            sent = time.monotonic_ns()
            try:
                result = await self._client.acquire(self.duty, self.name, self.ttl_ms)
                if result.done:
                    held = Held(self.duty, result.token, self.ttl_ms, sent)
                    if held.holds(time.monotonic_ns()):
                        self.held = held
                        log.info("duty_held", duty=self.duty, holder=self.name, token=held.token)
                        return held
            except Unavailable:
                pass
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.ttl_ms / 1000 / 10 * random.uniform(0.5, 1.0)):
                    await changed.wait()

    async def renew_until_lost(self, until: Callable[[], bool] = lambda: False) -> str:
        """Renew until it is lost, its time is nearly out, or `until` says so; returns why it ended."""
        held = self.held
        assert held is not None
        while not until():
            left = (held.expires_at - time.monotonic_ns()) / 1e9
            if left < self.ttl_ms / 1000 * STOP:
                return "no renewal in time"
            sent = time.monotonic_ns()
            try:
                async with asyncio.timeout(left - self.ttl_ms / 1000 * STOP + 0.001):
                    result = await self._client.renew(self.duty, held.token)
                if not result.done:
                    return result.why
                held.on_renewed(sent)
            except (Unavailable, TimeoutError):
                continue
            await asyncio.sleep(self.ttl_ms / 1000 / RENEW)
        return "done"

    async def release(self, to: str = "") -> None:
        """Stop first, then say so; with `to` only that successor may have it within the lease."""
        held, self.held = self.held, None
        if held is not None:
            try:
                await self._client.renew(self.duty, held.token, not to, to)
            except Unavailable:
                log.warning("duty_release_unheard", duty=self.duty)


async def run(holder: Holder, command: Sequence[str]) -> int:
    """Hold the duty, run the command under it, and end it before the duty can pass on; its exit code, or 75.

    A keeper that is killed takes its command along: nobody would end that in time any more.
    """
    held = await holder.acquire()
    process = await asyncio.create_subprocess_exec(*command, start_new_session=True, preexec_fn=die_with_parent,
                                                   env=_environ(holder, held.token))
    keeping = asyncio.create_task(holder.renew_until_lost())
    waiting = asyncio.create_task(process.wait())
    try:
        await asyncio.wait((keeping, waiting), return_when=asyncio.FIRST_COMPLETED)
        if not waiting.done():
            log.error("duty_lost", duty=holder.duty, why=keeping.result())
            await _end(process, (held.expires_at - time.monotonic_ns()) / 1e9)
            return 75
        return await waiting
    finally:
        keeping.cancel()
        if process.returncode is None:
            await _end(process, 1.0)
        await holder.release()


def _environ(holder: Holder, token: int) -> dict[str, str]:
    return {**os.environ, "MOLEWORKS_DUTY": holder.duty, "MOLEWORKS_TOKEN": str(token)}


async def _end(process: asyncio.subprocess.Process, left_s: float) -> None:
    """SIGTERM, and SIGKILL in time, to all that the command has started."""
    for number, wait in ((signal.SIGTERM, max(0.01, left_s * 0.5)), (signal.SIGKILL, 5.0)):
        try:
            os.killpg(process.pid, number)
            async with asyncio.timeout(wait):
                await process.wait()
                return
        except ProcessLookupError:
            return
        except TimeoutError:
            continue
