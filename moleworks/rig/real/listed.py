"""Hosts that keep themselves in the list, and an operator who changes it, as a part of the rig."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import aiohttp

from moleworks import logs
from moleworks.registry.registration import Registration, Replaced

from .. import history
from ..store_history import HostLife, Written
from .child import Clock, main


class _Lossy(Registration):
    """Heartbeats of which a share is lost on the way, or all."""

    loss = 0.0
    rng: random.Random

    async def _renew(self, http: aiohttp.ClientSession) -> None:
        if self.rng.random() >= self.loss:
            await super()._renew(http)


class Listed:
    """The process.  Commands: `lose` (share of the hosts' heartbeats), `die` (hosts that fall silent), `flap`."""

    def __init__(self, told: dict[str, Any], clock: Clock, writer: history.Writer) -> None:
        logs.setup("console", "error")
        self.clock, self.writer = clock, writer
        self._addresses: list[tuple[str, int]] = list(told["addresses"])
        self._rng = random.Random(told["seed"])
        self._ttl: int = told["ttl_ms"]
        self._every: float = told["operator_every_s"]
        self._hosts: dict[str, tuple[_Lossy, asyncio.Task[None]]] = {}
        self._names = [f"h{number}" for number in range(told["hosts"])]
        self._zones = ("za", "zb", "zc")
        self._tasks: list[asyncio.Task[None]] = []
        self._starts = 0
        self._over = False

    async def start(self) -> dict[str, Any]:
        """Nothing listens here."""
        self._tasks.append(asyncio.get_running_loop().create_task(self._begin()))
        return {}

    async def _begin(self) -> None:
        while not self.clock.epoch:
            await asyncio.sleep(0.01)
        for name in self._names:
            self._start(name)
        await self._operate()

    def _start(self, name: str) -> None:
        self._starts += 1
        one = _Lossy(self._addresses, name, {"hostPort": f"127.0.0.1:{10_000 + self._starts % 50_000}",
                                             "zone": self._zones[int(name[1:]) % 3]}, self._ttl)
        one.rng = self._rng
        self.writer.add(HostLife(self.clock.now(), name, "start"))
        self._hosts[name] = (one, asyncio.get_running_loop().create_task(self._run(name, one)))

    async def _run(self, name: str, one: _Lossy) -> None:
        try:
            await one.run(asyncio.Event())
        except Replaced:
            self.writer.add(HostLife(self.clock.now(), name, "replaced"))

    def command(self, name: str, told: dict[str, Any]) -> None:
        """What the rig asks."""
        if name == "over":
            self._over = True
        elif name == "lose":
            for host in told["hosts"]:
                if host in self._hosts:
                    self._hosts[host][0].loss = told["share"]
        elif name == "die":
            for host in told["hosts"]:
                if host in self._hosts:
                    self.writer.add(HostLife(self.clock.now(), host, "dead"))
                    self._hosts.pop(host)[1].cancel()
        elif name == "come":
            for host in told["hosts"]:
                if host in self._hosts:
                    self._hosts[host][1].cancel()
                self._start(host)

    def finish(self) -> dict[str, Any]:
        """The end."""
        for task in (*self._tasks, *(task for _, task in self._hosts.values())):
            task.cancel()
        return {}

    async def _operate(self) -> None:
        """Some hosts that an operator puts, drains and removes, at times several in one version."""
        number = 0
        live: dict[str, str] = {}
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=4.0)) as session:
            while not self._over:
                await asyncio.sleep(self._every * self._rng.uniform(0.3, 1.7))
                number += 1
                told: dict[str, list[Any]] = {"put": [], "drain": [], "remove": []}
                for _ in range(self._rng.choice((1, 1, 1, 3, 8))):
                    name = f"o{self._rng.randrange(40)}"
                    if any(name == (row["instanceId"] if isinstance(row, dict) else row)
                           for rows in told.values() for row in rows):
                        continue
                    if name not in live or self._rng.random() < 0.3:
                        told["put"].append({"instanceId": name, "hostPort": f"127.0.0.1:{1000 + number % 60_000}",
                                            "zone": "za"})
                    else:
                        told["drain" if self._rng.random() < 0.5 and live[name] == "in_service" else "remove"].append(
                            name)
                await self._write(session, told, live)

    async def _write(self, session: aiohttp.ClientSession, told: dict[str, list[Any]], live: dict[str, str]) -> None:
        host, port = self._rng.choice(self._addresses)
        changes = [[row["instanceId"], "in_service", row["hostPort"]] for row in told["put"]]
        changes += [[name, "terminating", ""] for name in told["drain"]]
        changes += [[name, "terminated", ""] for name in told["remove"]]
        sent = self.clock.now()
        try:
            async with session.post(f"http://{host}:{port}/registry/changes", json=told) as answer:
                found = await answer.json()
                done = answer.status == 200
                self.writer.add(Written(sent, self.clock.now(), found["generation"] if done else 0, answer.status,
                                        changes))
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            self.writer.add(Written(sent, -1, 0, 0, changes))
            live.clear()       # nobody knows
            return
        if done:
            for name, state, _ in changes:
                if state == "terminated":
                    live.pop(name, None)
                else:
                    live[name] = state
        else:
            live.clear()


if __name__ == "__main__":
    main(Listed)
