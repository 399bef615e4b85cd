"""Plays a plan: starts everything, lets the faults happen at their times, and judges what was seen."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from math import inf
from pathlib import Path
from typing import Any

from .clients import Client, Front
from .discovery import Discovery, Door
from .hosts import Host
from .journal import Cold, Journal, Spell, Terms
from .plan import AFTER_TERM_S, ALL, LONGEST_S, Fault, Plan
from .processes import ROOT, GatewayProcess, build_shim, temporary_folder

WORK_S = 0.008
"""Mean time that a host takes for a request."""
WINDOW_S = 3.0
COLD_CAPACITY = 250.0
"""Requests a second that a warm host is said to be able to do."""
CROSSING_S = 0.3
"""So long after SIGTERM the front still sends new connections."""
LAG_S = 0.01
"""The test's own loop is late by as much without a note."""
FAILING = ("accept", "connect", "socket", "read", "write", "epoll", "fsync", "disk")


@dataclass
class SoakResult:
    """What came of a play."""

    broken: dict[str, list[str]]
    figures: dict[str, float]
    journal: Journal
    began: float = 0.0   # by the wall clock of the gateways' logs, Unix time


def settings(plan: Plan) -> dict[str, Any]:
    """The settings of the gateways."""
    classes: list[dict[str, Any]] = [
        {"name": "read", "effect": "read_like"},
        {"name": "keyed", "effect": "idempotency_key", "group": "all", "window-ns": int(WINDOW_S * 1e9)},
        {"name": "once", "effect": "non_idempotent"}]
    return {"az": 0, "zones": ["a"], "flavors": ["m"], "round-ns": 5_000_000,
            "replicas-of-me": plan.told_gateways or plan.gateways,
            "discovery": "pushed" if plan.pushed else "on_request",
            "caps": {"cancel": True, "max-attempts": 4, "may-duplicate": False, "dial-timeout-ns": 250_000_000,
                     "conn-idle-ns": 15_000_000_000},
            "rules": {"ask-within-ns": 6_000_000_000, "drain-grace-ns": int(plan.grace * 1e9), "cold-from": 0.12,
                      "warm-within-ns": 24_000_000_000, "overload-factor": 3.0, "fall-ns": 1_500_000_000},
            "request-classes": [{"give-up-ns": int(LONGEST_S * 1e9), "slo-ns": 400_000_000, "credit": 1.0,
                                 "late-value": 0.3, **cls} for cls in classes]}


class SoakRun:
    """One play."""

    def __init__(self, plan: Plan, folder: Path, shim: Path | None, root: Path = ROOT) -> None:
        self.plan = plan
        self._rng = random.Random(plan.seed ^ 0x50A4)
        self._begun = time.monotonic()
        self.journal = Journal(Terms(plan.pushed, plan.grace, WINDOW_S,
                                     unread=any(fault.kind == "crowd" for fault in plan.faults)))
        names = [f"n{number}" for number in range(plan.gateways)]
        self.hosts = {f"h{number}": Host(f"h{number}", self.journal, self.clock, self._rng, WORK_S)
                      for number in range(plan.hosts)}
        self._names, self._folder, self._shim, self._root = names, folder, shim, root
        self.gateways: dict[str, GatewayProcess] = {}
        self.fronts: dict[str, Front] = {}
        self.discovery: Discovery
        self._door: dict[str, int] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._clients: list[asyncio.Task[None]] = []
        self._idle: list[socket.socket] = []
        self._wall_step_s = 0.0   # of the hosts' clock

    def clock(self) -> float:
        """Seconds since the start of the play."""
        return time.monotonic() - self._begun

    async def run(self) -> SoakResult:
        """Play it whole."""
        async with self.environment():
            await self._start()
            lag = asyncio.create_task(self._watch_lag())
            await self._faults()
            for task in self._clients:
                task.cancel()
            await asyncio.gather(*self._clients, return_exceptions=True)
            await asyncio.gather(*self._tasks, return_exceptions=True)
            lag.cancel()
            self.journal.held_writes = {name: [at - self._begun for at in gateway.control.held_writes()]
                                        for name, gateway in self.gateways.items()}
            return SoakResult(self.journal.verdict(), self.journal.figures() | {"calls": self.discovery.calls},
                              self.journal, time.time() - self.clock())

    @asynccontextmanager
    async def environment(self) -> AsyncIterator[None]:
        """Hosts, discovery and the gateways' folders; no gateway runs yet, and none does afterwards."""
        for host in self.hosts.values():
            await host.listen(self._names)
        self.discovery = Discovery(self.journal, self.clock, self.hosts, self._names)
        self._prepare()
        try:
            yield
        finally:
            for gateway in self.gateways.values():
                await gateway.close()
            await self.discovery.close()
            for host in self.hosts.values():
                host.close()
            for sock in self._idle:
                sock.close()

    def _prepare(self) -> None:
        plan = self.plan
        for name in self._names:
            rows = [self.discovery.row(name, host) for host in self.hosts]
            known = {"generation": 1, "reset": True, "instances": rows}
            config = {"discovery": self.discovery.doors[name][0].address, "known": known, "settings": settings(plan),
                      "limits": {"cores": 1.0, "memory_mb": 192, "sockets": plan.sockets}}
            if plan.kept:
                config["list_folder"] = str(self._folder / name / "lists")
            self._door[name] = 0
            self.gateways[name] = GatewayProcess(name, self._folder / name, config, self.journal, self.clock,
                                                 self._shim, self._root)
            (self._folder / name / "lists").mkdir()   # the platform gives the folder; a list is kept in no other
            self.fronts[name] = Front(name, self.gateways[name].address, patience=plan.patience)

    async def _start(self) -> None:
        plan = self.plan
        await asyncio.gather(*(self._launch(name) for name in self._names))
        self._begun = time.monotonic()
        for life in self.journal.lives:   # the play begins now
            life.start = 0.0
            life.written = [(0.0, generation) for _, generation in life.written]
        for watch in self.journal.watches:
            watch.begin, watch.end = 0.0, min(watch.end, 0.0) if watch.end < inf else inf
        for name, front in self.fronts.items():
            for number in range(plan.clients):
                client = Client(front, self.journal, self.clock, self._rng, plan.pause, plan.leaves, f"{name}.{number}")
                self._clients.append(asyncio.create_task(client.run()))

    async def _launch(self, name: str) -> None:
        gateway = self.gateways[name]
        await gateway.start()
        if await gateway.wait_ready():
            self.fronts[name].takes = True
        elif gateway.life is not None and not gateway.life.died:
            gateway.life.died = f"not ready in time: {gateway.last_log_line()}"

    async def _watch_lag(self) -> None:
        while True:
            begun = self.clock()
            await asyncio.sleep(0.01)
            lag = self.clock() - begun - 0.01
            if lag > LAG_S:
                self.journal.lags.append((self.clock(), lag))

    # ---- Faults ------------------------------------------------------------------------------------------

    async def _faults(self) -> None:
        for fault in self.plan.faults:
            await asyncio.sleep(max(0.0, fault.at - self.clock()))
            task = asyncio.create_task(self._strike(fault))
            self._tasks.add(task)
        await asyncio.sleep(max(0.0, self.plan.lasts - self.clock()))

    async def _strike(self, fault: Fault) -> None:
        if fault.kind in ("drain", "gone", "ready", "cold") and fault.on in self.hosts:
            self._host_fault(fault)
            return
        names = self._names if fault.on == ALL else [fault.on]
        if fault.kind in ("cold", "host_hang", "host_reset"):
            await self._at_a_host(fault)
            return
        action: Callable[[str, Fault], Any] = getattr(self, f"_{fault.kind}")
        await asyncio.gather(*(action(name, fault) for name in names))

    def _host_fault(self, fault: Fault) -> None:
        state = {"drain": "terminating", "gone": "terminated", "ready": "in_service", "cold": "in_service"}[fault.kind]
        if fault.kind == "cold":
            self._restart_host(fault.on)
        else:
            self.discovery.change(fault.on, state)

    def _restart_host(self, name: str) -> None:
        host = self.hosts[name]
        host.reset_all()
        host.started_ms = time.time_ns() // 1_000_000 + int(self._wall_step_s * 1000)
        self.journal.colds = [cold for cold in self.journal.colds if cold.host != name]
        self.journal.colds.append(Cold(name, self.clock(), COLD_CAPACITY))
        self.discovery.change(name, "in_service")

    async def _at_a_host(self, fault: Fault) -> None:
        name = self._rng.choice(list(self.hosts))
        if fault.kind == "cold":
            self._restart_host(name)
        elif fault.kind == "host_reset":
            self.hosts[name].reset_all()
        else:
            self.hosts[name].hanging = True
            await asyncio.sleep(fault.lasts)
            self.hosts[name].hanging = False

    def _at(self, name: str) -> Door:
        return self.discovery.doors[name][self._door[name]]

    async def _spell(self, name: str, kind: str, lasts: float) -> Spell:
        spell = self.discovery.spell(name, kind)
        await asyncio.sleep(lasts)
        spell.end = self.clock()
        return spell

    async def _stop(self, name: str, fault: Fault) -> None:
        self.gateways[name].signal(signal.SIGSTOP)
        await asyncio.sleep(fault.lasts)
        self.gateways[name].signal(signal.SIGCONT)

    async def _drop(self, name: str, fault: Fault) -> None:
        door = self._at(name)
        door.drop(True)
        await self._spell(name, "away", fault.lasts)
        door.drop(False)

    async def _refuse(self, name: str, fault: Fault) -> None:
        door = self._at(name)
        door.refuse(True)
        await self._spell(name, "away", fault.lasts)
        door.refuse(False)

    async def _resets(self, name: str, fault: Fault) -> None:
        door = self._at(name)
        door.resets = True
        await self._spell(name, "away", fault.lasts)
        door.resets = False

    async def _hang(self, name: str, fault: Fault) -> None:
        """Calls are taken and wait: discovery can be reached, and what it has counts."""
        await self._switch(name, "hangs", fault.lasts)

    async def _order(self, name: str, fault: Fault) -> None:
        self._at(name).order.extend(fault.calls)

    async def _crowded(self, name: str, fault: Fault) -> None:
        """So many calls a second are served, in turn, for all gateways together."""
        self.discovery.turns.capacity = fault.size
        await asyncio.sleep(fault.lasts)
        self.discovery.turns.capacity = 0.0

    async def _busy(self, name: str, fault: Fault) -> None:
        """Calls are turned away at once, as by a full queue: discovery can be reached, and what it has counts."""
        await self._switch(name, "busy", fault.lasts)

    async def _slow(self, name: str, fault: Fault) -> None:
        """Each call waits so long for its answer: discovery can be reached, and what it has counts."""
        door = self._at(name)
        door.call_s = fault.size
        await asyncio.sleep(fault.lasts)
        door.call_s = 0.0

    async def _reset(self, name: str, fault: Fault) -> None:
        self._at(name).reset()

    async def _silent(self, name: str, fault: Fault) -> None:
        self._at(name).fall_silent(bool(fault.size))
        self.discovery.spell(name, "silent")   # until a list leaves for it

    async def _watch_silent(self, name: str, fault: Fault) -> None:
        """The open watch falls silent, if there is one: a call that waits for its turn is none."""
        if self._at(name).watched:
            await self._silent(name, fault)

    async def _jammed(self, name: str, fault: Fault) -> None:
        """As `crowded`, and lines of changes wait for their turn too: discovery can be reached, and all counts."""
        self.discovery.turns.lines_wait = True
        await self._crowded(name, fault)
        self.discovery.turns.lines_wait = False

    async def _jammed_keeps(self, name: str, fault: Fault) -> None:
        """The same, and a call that has no turn in time is kept for its whole time and turned away then."""
        self.discovery.turns.keeps = True
        await self._jammed(name, fault)
        self.discovery.turns.keeps = False

    async def _down(self, name: str, fault: Fault, way: Callable[[Door, bool], None]) -> None:
        """Discovery goes down at both of its addresses: all calls and watches end, and none can be begun."""
        doors = self.discovery.doors[name]
        for door in doors:
            way(door, True)
            door.reset()
        self.discovery.silence_ended(name)
        await self._spell(name, "away", fault.lasts)
        for door in doors:
            way(door, False)

    async def _down_refuse(self, name: str, fault: Fault) -> None:
        await self._down(name, fault, Door.refuse)

    async def _down_drop(self, name: str, fault: Fault) -> None:
        await self._down(name, fault, Door.drop)

    async def _down_resets(self, name: str, fault: Fault) -> None:
        await self._down(name, fault, Door.reset_calls)

    async def _ends(self, name: str, fault: Fault) -> None:
        await self._switch(name, "ends", fault.lasts)

    async def _ends_late(self, name: str, fault: Fault) -> None:
        """Changes wait for their turn at a crowded service for so long; then the watch ends instead of telling."""
        door = self._at(name)
        door.ends_late_s = fault.size
        await asyncio.sleep(fault.lasts)
        door.ends_late_s = 0.0

    async def _repeats(self, name: str, fault: Fault) -> None:
        await self._switch(name, "repeats", fault.lasts)

    async def _whole(self, name: str, fault: Fault) -> None:
        await self._switch(name, "whole", fault.lasts)

    async def _switch(self, name: str, what: str, lasts: float) -> None:
        door = self._at(name)
        setattr(door, what, True)
        await asyncio.sleep(lasts)
        setattr(door, what, False)

    async def _cuts(self, name: str, fault: Fault) -> None:
        self._at(name).cuts = int(fault.size)
        await asyncio.sleep(fault.lasts)
        self._at(name).cuts = 0

    async def _reload(self, name: str, fault: Fault) -> None:
        if self.gateways[name].may_reload():
            self.gateways[name].signal(signal.SIGHUP)

    async def _move(self, name: str, fault: Fault) -> None:
        self._door[name] = 1 - self._door[name]
        gateway = self.gateways[name]
        gateway.config["discovery"] = self._at(name).address
        gateway.write()
        while not gateway.may_reload() and self.clock() < self.plan.lasts:   # a new one may have read the old file
            await asyncio.sleep(0.1)
        if gateway.may_reload():
            gateway.signal(signal.SIGHUP)

    async def _signal(self, name: str, fault: Fault) -> None:
        number = signal.Signals(int(fault.size))
        if number is not signal.SIGHUP or self.gateways[name].may_reload():
            self.gateways[name].signal(number)

    async def _term(self, name: str, fault: Fault) -> None:
        gateway, front = self.gateways[name], self.fronts[name]
        gateway.signal(signal.SIGTERM)
        await asyncio.sleep(CROSSING_S)
        front.takes = False
        await asyncio.sleep(max(0.0, LONGEST_S + AFTER_TERM_S - CROSSING_S))
        gateway.signal(signal.SIGCONT)
        gateway.signal(signal.SIGKILL)
        await gateway.ended()
        await self._launch(name)

    async def _kill(self, name: str, fault: Fault) -> None:
        gateway, front = self.gateways[name], self.fronts[name]
        gateway.signal(signal.SIGKILL)
        await gateway.ended()
        front.takes = False
        await asyncio.sleep(fault.size or fault.lasts * self._rng.random())
        await self._launch(name)

    async def _clock(self, name: str, fault: Fault) -> None:
        """The wall clock steps: on one machine, or on all and at the hosts too, which read the same one."""
        if fault.on == ALL:
            self._wall_step_s = fault.size
        self.gateways[name].control.step_clock(fault.size)

    async def _calls(self, name: str, fault: Fault) -> None:
        control = self.gateways[name].control
        for operation in FAILING:
            control.rate(operation, int(fault.size))
        await asyncio.sleep(fault.lasts)
        for operation in FAILING:
            control.rate(operation, 0)

    async def _crowd_comes(self, name: str, count: int) -> None:
        for _ in range(count):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.gateways[name].address)
            self._idle.append(sock)

    async def _crowd(self, name: str, fault: Fault) -> None:
        await self._crowd_comes(name, int(fault.size))


async def run_plan(plan: Plan, shim: Path | None, root: Path = ROOT, keep: Path | None = None) -> SoakResult:
    """Play a plan in a folder of its own; `keep` gets the gateways' logs."""
    with temporary_folder() as name:
        folder = Path(name)
        try:
            return await SoakRun(plan, folder, shim, root).run()
        finally:
            if keep is not None:
                keep.mkdir(parents=True, exist_ok=True)
                for log in folder.glob("*/log"):
                    with suppress(OSError):
                        (keep / f"{log.parent.name}.log").write_bytes(log.read_bytes())


__all__ = ["SoakResult", "SoakRun", "build_shim", "run_plan", "settings"]
