"""A process that wants a duty and writes under it, as a part of the rig: what it believed and did is its history."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from moleworks import logs
from moleworks.duties.holder import Holder
from moleworks.store.client import Client, Unavailable
from moleworks.store.state import Guard, Put

from .. import history
from ..store_history import Act, Granted, GrantReleased
from .child import Clock, main, report
from .odd import leave_out

DUTY = "lead"


class Keeper:
    """Commands: `hand_over` (to whom), `over`."""

    def __init__(self, told: dict[str, Any], clock: Clock, writer: history.Writer) -> None:
        self._name: str = told["name"]
        self._ttl: int = told["ttl_ms"]
        self._tires: float = told["tires"]
        self._addresses: dict[str, tuple[str, int]] = dict(told["addresses"])
        self._clock, self._writer = clock, writer
        self._rng = random.Random(f"{self._name} {told['seed']}")
        self._to = ""
        self._over = False
        self._tasks: set[asyncio.Task[None]] = set()
        leave_out(told["without"])
        logs.setup("console", "error")   # standard output is the rig's

    async def start(self) -> dict[str, Any]:
        """Nothing listens here."""
        task = asyncio.get_running_loop().create_task(self._run())
        self._tasks.add(task)
        return {}

    def command(self, name: str, told: dict[str, Any]) -> None:
        """What the rig asks."""
        if name == "hand_over":
            self._to = told["to"]
        elif name == "over":
            self._over = True

    def finish(self) -> dict[str, Any]:
        """The end."""
        for task in self._tasks:
            task.cancel()
        return {}

    def _client(self, timeout_s: float) -> Client:
        return Client(self._addresses, "rig", timeout_s)

    def _at(self, monotonic: int) -> int:
        return monotonic - self._clock.epoch

    async def _run(self) -> None:
        while not self._clock.epoch:
            await asyncio.sleep(0.01)
        while not self._over:
            async with self._client(1.5) as client:
                holder = Holder(client, DUTY, self._name, self._ttl)
                held = await holder.acquire()
                self._writer.add(Granted(self._clock.now(), self._name, held.token, self._at(held.expires_at)))
                self._writer.flush()
                report("holds", token=held.token)
                keeping = asyncio.create_task(holder.renew_until_lost(lambda: self._over or bool(self._to)))
                try:
                    why = await self._work(holder, keeping)
                finally:
                    keeping.cancel()
                token = held.token
                self._writer.add(GrantReleased(self._clock.now(), self._name, token, why))
                self._writer.flush()
                report("lets", token=token)
                if why == "handed":
                    to, self._to = self._to, ""
                    await holder.release(to)
            if why != "handed" and not self._over:
                await asyncio.sleep(self._rng.uniform(0.0, 0.6))
                await self._act(token, 0, True)   # others may hold it by now

    async def _work(self, holder: Holder, keeping: asyncio.Task[str]) -> str:
        held = holder.held
        assert held is not None
        while not self._over:
            if self._to:
                return "handed"
            if keeping.done():
                return keeping.result()
            if not holder.holds():
                return "out"
            if self._rng.random() < self._tires:
                return "tired"
            await self._act(held.token, held.expires_at, False)
        return "over"

    async def _act(self, token: int, until: int, late: bool) -> None:
        """Between the look and the write lies work: a process that is stopped there writes late."""
        looked = self._clock.now()
        await asyncio.sleep(self._rng.uniform(0.005, 0.06))
        sent, end, done, why = self._clock.now(), -1, False, "no answer"
        try:
            async with asyncio.timeout(max(0.1, self._ttl / 1000)), self._client(0.6) as client:
                result = await client.change((Put("guarded", f"{self._name}-{token}".encode()),), (),
                                             Guard(DUTY, token))
                end, done, why = self._clock.now(), result.done, result.why
        except (Unavailable, TimeoutError):
            pass
        self._writer.add(Act(looked, sent, end, self._name, token, self._at(until) if until else 0, done, why, late))


if __name__ == "__main__":
    main(Keeper)
