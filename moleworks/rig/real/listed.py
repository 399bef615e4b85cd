"""Child process with hosts that register themselves in the list, and with an operator who changes the list."""

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


class _LossyRegistration(Registration):
    """A registration that loses a share of its heartbeats."""

    loss = 0.0
    rng: random.Random

    async def _renew(self, http: aiohttp.ClientSession) -> None:
        if self.rng.random() >= self.loss:
            await super()._renew(http)


class RegisteredHosts:
    """The process.  Commands: `lose` (drop a share of the hosts' heartbeats), `die` (hosts stop without notice), `come`
    (hosts start), `over` (the operator stops)."""

    def __init__(self, config: dict[str, Any], clock: Clock, writer: history.Writer) -> None:
        logs.setup("console", "error")
        self.clock, self.writer = clock, writer
        self._addresses: list[tuple[str, int]] = list(config["addresses"])
        self._rng = random.Random(config["seed"])
        self._ttl: int = config["ttl_ms"]
        self._operator_interval_s: float = config["operator_every_s"]
        self._hosts: dict[str, tuple[_LossyRegistration, asyncio.Task[None]]] = {}
        self._names = [f"h{number}" for number in range(config["hosts"])]
        self._zones = ("za", "zb", "zc")
        self._tasks: list[asyncio.Task[None]] = []
        self._starts = 0
        self._operator_stopped = False

    async def start(self) -> dict[str, Any]:
        """Start the hosts and the operator; this process does not listen."""
        self._tasks.append(asyncio.get_running_loop().create_task(self._run_all()))
        return {}

    async def _run_all(self) -> None:
        while not self.clock.epoch:
            await asyncio.sleep(0.01)
        for name in self._names:
            self._start(name)
        await self._operate()

    def _start(self, name: str) -> None:
        self._starts += 1
        registration = _LossyRegistration(self._addresses, name, {
            "hostPort": f"127.0.0.1:{10_000 + self._starts % 50_000}",
            "zone": self._zones[int(name[1:]) % 3]}, self._ttl)
        registration.rng = self._rng
        self.writer.add(HostLife(self.clock.now(), name, "start"))
        self._hosts[name] = (registration, asyncio.get_running_loop().create_task(self._run(name, registration)))

    async def _run(self, name: str, registration: _LossyRegistration) -> None:
        try:
            await registration.run(asyncio.Event())
        except Replaced:
            self.writer.add(HostLife(self.clock.now(), name, "replaced"))

    def command(self, name: str, message: dict[str, Any]) -> None:
        """Handle a command."""
        if name == "over":
            self._operator_stopped = True
        elif name == "lose":
            for host in message["hosts"]:
                if host in self._hosts:
                    self._hosts[host][0].loss = message["share"]
        elif name == "die":
            for host in message["hosts"]:
                if host in self._hosts:
                    self.writer.add(HostLife(self.clock.now(), host, "dead"))
                    self._hosts.pop(host)[1].cancel()
        elif name == "come":
            for host in message["hosts"]:
                if host in self._hosts:
                    self._hosts[host][1].cancel()
                self._start(host)

    def finish(self) -> dict[str, Any]:
        """Cancel all tasks."""
        for task in (*self._tasks, *(task for _, task in self._hosts.values())):
            task.cancel()
        return {}

    async def _operate(self) -> None:
        """Put, drain and remove hosts as an operator, sometimes several in one change."""
        number = 0
        states: dict[str, str] = {}
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=4.0)) as session:
            while not self._operator_stopped:
                await asyncio.sleep(self._operator_interval_s * self._rng.uniform(0.3, 1.7))
                number += 1
                change: dict[str, list[Any]] = {"put": [], "drain": [], "remove": []}
                for _ in range(self._rng.choice((1, 1, 1, 3, 8))):
                    name = f"o{self._rng.randrange(40)}"
                    if any(name == (row["instanceId"] if isinstance(row, dict) else row)
                           for rows in change.values() for row in rows):
                        continue
                    if name not in states or self._rng.random() < 0.3:
                        change["put"].append({"instanceId": name, "hostPort": f"127.0.0.1:{1000 + number % 60_000}",
                                              "zone": "za"})
                    else:
                        change["drain" if self._rng.random() < 0.5 and states[name] == "in_service"
                               else "remove"].append(name)
                await self._send_change(session, change, states)

    async def _send_change(self, session: aiohttp.ClientSession, change: dict[str, list[Any]],
                           states: dict[str, str]) -> None:
        host, port = self._rng.choice(self._addresses)
        changes = [[row["instanceId"], "in_service", row["hostPort"]] for row in change["put"]]
        changes += [[name, "terminating", ""] for name in change["drain"]]
        changes += [[name, "terminated", ""] for name in change["remove"]]
        sent_at = self.clock.now()
        try:
            async with session.post(f"http://{host}:{port}/registry/changes", json=change) as response:
                result = await response.json()
                accepted = response.status == 200
                self.writer.add(Written(sent_at, self.clock.now(), result["generation"] if accepted else 0,
                                        response.status, changes))
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            self.writer.add(Written(sent_at, -1, 0, 0, changes))
            states.clear()       # the result is unknown
            return
        if accepted:
            for name, state, _ in changes:
                if state == "terminated":
                    states.pop(name, None)
                else:
                    states[name] = state
        else:
            states.clear()


if __name__ == "__main__":
    main(RegisteredHosts)
