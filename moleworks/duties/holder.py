"""Acquires and renews a duty, and stops by the local clock before another process can acquire it."""

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

RENEWALS_PER_LEASE = 3.0
STOP_FRACTION = 0.25
"""Last fraction of a lease, reserved for ending the work that depends on it."""


class Holder:
    """A process's candidacy for one duty."""

    def __init__(self, client: Client, duty: str, name: str, ttl_ms: int) -> None:
        self._client, self.duty, self.name, self.ttl_ms = client, duty, name, ttl_ms
        self.held: Held | None = None

    def holds(self) -> bool:
        """Whether the duty is held now; must be checked before each action."""
        return self.held is not None and self.held.holds(time.monotonic_ns())

    async def acquire(self) -> Held:
        """Tries until the duty is granted: immediately when the grant changes, and periodically."""
        changed = asyncio.Event()
        watching = asyncio.create_task(self._watch_grant(changed))
        try:
            return await self._try_until_granted(changed)
        finally:
            watching.cancel()

    async def _watch_grant(self, changed: asyncio.Event) -> None:
        """Watches the grant on a separate connection, so that a lost watch does not disturb calls."""
        with contextlib.suppress(Refused):
            async with self._client.clone() as client:
                async for row in client.watch_duty(self.duty):
                    if row is None or row.to == self.name:
                        changed.set()

    async def _try_until_granted(self, changed: asyncio.Event) -> Held:
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
        """Renews until the grant is lost, its lease nearly expired, or `until` returns true; returns the reason."""
        held = self.held
        assert held is not None
        while not until():
            left_s = (held.expires_at - time.monotonic_ns()) / 1e9
            if left_s < self.ttl_ms / 1000 * STOP_FRACTION:
                return "no renewal in time"
            sent = time.monotonic_ns()
            try:
                async with asyncio.timeout(left_s - self.ttl_ms / 1000 * STOP_FRACTION + 0.001):
                    result = await self._client.renew(self.duty, held.token)
                if not result.done:
                    return result.why
                held.on_renewed(sent)
            except (Unavailable, TimeoutError):
                continue
            await asyncio.sleep(self.ttl_ms / 1000 / RENEWALS_PER_LEASE)
        return "done"

    async def release(self, to: str = "") -> None:
        """Stops acting, then releases the duty; with `to`, only that successor may acquire it within the lease."""
        held, self.held = self.held, None
        if held is not None:
            try:
                await self._client.renew(self.duty, held.token, not to, to)
            except Unavailable:
                log.warning("duty_release_unheard", duty=self.duty)


async def run(holder: Holder, command: Sequence[str]) -> int:
    """Acquires the duty and runs the command while it is held.  Returns its exit code, or 75 if the duty is lost.

    The command is ended before another process can acquire the duty.  It is killed along with this process, because
    nothing else could end it in time.
    """
    held = await holder.acquire()
    process = await asyncio.create_subprocess_exec(*command, start_new_session=True, preexec_fn=die_with_parent,
                                                   env=_environment(holder, held.token))
    renewing = asyncio.create_task(holder.renew_until_lost())
    waiting = asyncio.create_task(process.wait())
    try:
        await asyncio.wait((renewing, waiting), return_when=asyncio.FIRST_COMPLETED)
        if not waiting.done():
            log.error("duty_lost", duty=holder.duty, why=renewing.result())
            await _terminate(process, (held.expires_at - time.monotonic_ns()) / 1e9)
            return 75
        return await waiting
    finally:
        renewing.cancel()
        if process.returncode is None:
            await _terminate(process, 1.0)
        await holder.release()


def _environment(holder: Holder, token: int) -> dict[str, str]:
    return {**os.environ, "MOLEWORKS_DUTY": holder.duty, "MOLEWORKS_TOKEN": str(token)}


async def _terminate(process: asyncio.subprocess.Process, left_s: float) -> None:
    """Sends SIGTERM to the command's process group, then SIGKILL after half of the time left."""
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
