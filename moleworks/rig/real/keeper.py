"""Child process that competes for a duty and writes under it; records what it assumed and did."""

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
from .odd import disable_safeguard

DUTY = "lead"


class Keeper:
    """Commands: `hand_over` (to another keeper), `over`."""

    def __init__(self, config: dict[str, Any], clock: Clock, writer: history.Writer) -> None:
        self._name: str = config["name"]
        self._ttl_ms: int = config["ttl_ms"]
        self._give_up_probability: float = config["tires"]
        self._addresses: dict[str, tuple[str, int]] = dict(config["addresses"])
        self._clock, self._writer = clock, writer
        self._rng = random.Random(f"{self._name} {config['seed']}")
        self._hand_over_to = ""
        self._stopping = False
        self._tasks: set[asyncio.Task[None]] = set()
        disable_safeguard(config["without"])
        logs.setup("console", "error")   # standard output is reserved for reports

    async def start(self) -> dict[str, Any]:
        """Start the task; this process does not listen."""
        task = asyncio.get_running_loop().create_task(self._run())
        self._tasks.add(task)
        return {}

    def command(self, name: str, message: dict[str, Any]) -> None:
        """Handle a command."""
        if name == "hand_over":
            self._hand_over_to = message["to"]
        elif name == "over":
            self._stopping = True

    def finish(self) -> dict[str, Any]:
        """Cancel the task."""
        for task in self._tasks:
            task.cancel()
        return {}

    def _client(self, timeout_s: float) -> Client:
        return Client(self._addresses, "rig", timeout_s)

    def _run_time(self, monotonic: int) -> int:
        return monotonic - self._clock.epoch

    async def _run(self) -> None:
        while not self._clock.epoch:
            await asyncio.sleep(0.01)
        while not self._stopping:
            async with self._client(1.5) as client:
                holder = Holder(client, DUTY, self._name, self._ttl_ms)
                held = await holder.acquire()
                self._writer.add(Granted(self._clock.now(), self._name, held.token, self._run_time(held.expires_at)))
                self._writer.flush()
                report("holds", token=held.token)
                renewal = asyncio.create_task(
                    holder.renew_until_lost(lambda: self._stopping or bool(self._hand_over_to)))
                try:
                    why = await self._work(holder, renewal)
                finally:
                    renewal.cancel()
                token = held.token
                self._writer.add(GrantReleased(self._clock.now(), self._name, token, why))
                self._writer.flush()
                report("lets", token=token)
                if why == "handed":
                    successor, self._hand_over_to = self._hand_over_to, ""
                    await holder.release(successor)
            if why != "handed" and not self._stopping:
                await asyncio.sleep(self._rng.uniform(0.0, 0.6))
                await self._write(token, 0, True)   # a late write: another keeper may hold the duty by now

    async def _work(self, holder: Holder, renewal: asyncio.Task[str]) -> str:
        held = holder.held
        assert held is not None
        while not self._stopping:
            if self._hand_over_to:
                return "handed"
            if renewal.done():
                return renewal.result()
            if not holder.holds():
                return "out"
            if self._rng.random() < self._give_up_probability:
                return "tired"
            await self._write(held.token, held.expires_at, False)
        return "over"

    async def _write(self, token: int, expires_at: int, late: bool) -> None:
        """Write under the duty some time after the check: a process that is stopped in between writes late."""
        checked_at = self._clock.now()
        await asyncio.sleep(self._rng.uniform(0.005, 0.06))
        sent_at, ended_at, done, why = self._clock.now(), -1, False, "no answer"
        try:
            async with asyncio.timeout(max(0.1, self._ttl_ms / 1000)), self._client(0.6) as client:
                result = await client.change((Put("guarded", f"{self._name}-{token}".encode()),), (),
                                             Guard(DUTY, token))
                ended_at, done, why = self._clock.now(), result.done, result.why
        except (Unavailable, TimeoutError):
            pass
        self._writer.add(Act(checked_at, sent_at, ended_at, self._name, token,
                             self._run_time(expires_at) if expires_at else 0, done, why, late))


if __name__ == "__main__":
    main(Keeper)
