"""Runs a plan: starts all parts, injects the faults at their times, and judges the journal.

`SoakRun._inject` looks up the method of a fault by its kind, so methods such as `_stop` are named after fault kinds.
"""

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

from .clients import Client, FrontEnd
from .discovery import Discovery, DiscoveryEndpoint
from .hosts import Host
from .journal import HostStart, Journal, Outage, RunSettings
from .plan import ALL_GATEWAYS, MAX_DEADLINE_S, SIGKILL_MARGIN_S, Fault, Plan
from .processes import ROOT, GatewayProcess, build_shim, temporary_folder

MEAN_WORK_S = 0.008
"""Mean processing time of a request at a host."""
IDEMPOTENCY_WINDOW_S = 3.0
COLD_CAPACITY = 250.0
"""Capacity of a warm host in requests per second, as the journal assumes it."""
ROUTING_DELAY_S = 0.3
"""The front end still sends new connections for this long after SIGTERM."""
MIN_RECORDED_LAG_S = 0.01
"""Lags of the test's own event loop up to this are not recorded."""
FAILING_OPERATIONS = ("accept", "connect", "socket", "read", "write", "epoll", "fsync", "disk")


@dataclass
class SoakResult:
    """The result of a run."""

    broken: dict[str, list[str]]
    figures: dict[str, float]
    journal: Journal
    began: float = 0.0   # start of the run, Unix time, by the wall clock of the gateways' logs


def settings(plan: Plan) -> dict[str, Any]:
    """The settings that the gateways get."""
    classes: list[dict[str, Any]] = [
        {"name": "read", "effect": "read_like"},
        {"name": "keyed", "effect": "idempotency_key", "group": "all", "window-ns": int(IDEMPOTENCY_WINDOW_S * 1e9)},
        {"name": "once", "effect": "non_idempotent"}]
    return {"az": 0, "zones": ["a"], "flavors": ["m"], "round-ns": 5_000_000,
            "replicas-of-me": plan.told_gateways or plan.gateways,
            "discovery": "pushed" if plan.pushed else "on_request",
            "caps": {"cancel": True, "max-attempts": 4, "may-duplicate": False, "dial-timeout-ns": 250_000_000,
                     "conn-idle-ns": 15_000_000_000},
            "rules": {"ask-within-ns": 6_000_000_000, "drain-grace-ns": int(plan.grace * 1e9), "cold-from": 0.12,
                      "warm-within-ns": 24_000_000_000, "overload-factor": 3.0, "fall-ns": 1_500_000_000},
            "request-classes": [{"give-up-ns": int(MAX_DEADLINE_S * 1e9), "slo-ns": 400_000_000, "credit": 1.0,
                                 "late-value": 0.3, **cls} for cls in classes]}


class SoakRun:
    """One run of a plan."""

    def __init__(self, plan: Plan, folder: Path, shim: Path | None, root: Path = ROOT) -> None:
        self.plan = plan
        self._rng = random.Random(plan.seed ^ 0x50A4)
        self._started_at = time.monotonic()
        self.journal = Journal(RunSettings(plan.pushed, plan.grace, IDEMPOTENCY_WINDOW_S,
                                           unread=any(fault.kind == "crowd" for fault in plan.faults)))
        names = [f"n{number}" for number in range(plan.gateways)]
        self.hosts = {f"h{number}": Host(f"h{number}", self.journal, self.clock, self._rng, MEAN_WORK_S)
                      for number in range(plan.hosts)}
        self._gateway_names, self._folder, self._shim, self._root = names, folder, shim, root
        self.gateways: dict[str, GatewayProcess] = {}
        self.front_ends: dict[str, FrontEnd] = {}
        self.discovery: Discovery
        self._endpoint_index: dict[str, int] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._clients: list[asyncio.Task[None]] = []
        self._idle_sockets: list[socket.socket] = []
        self._wall_step_s = 0.0   # offset of the hosts' wall clock

    def clock(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self._started_at

    async def run(self) -> SoakResult:
        """Run the whole plan and judge it."""
        async with self.environment():
            await self._start()
            lag_task = asyncio.create_task(self._record_loop_lag())
            await self._inject_faults()
            for task in self._clients:
                task.cancel()
            await asyncio.gather(*self._clients, return_exceptions=True)
            await asyncio.gather(*self._tasks, return_exceptions=True)
            lag_task.cancel()
            self.journal.stalled_writes = {name: [at - self._started_at for at in gateway.control.stalled_writes()]
                                           for name, gateway in self.gateways.items()}
            return SoakResult(self.journal.verdict(), self.journal.figures() | {"calls": self.discovery.calls},
                              self.journal, time.time() - self.clock())

    @asynccontextmanager
    async def environment(self) -> AsyncIterator[None]:
        """Provide hosts, discovery and the gateways' folders; no gateway runs yet, and all are closed at the end."""
        for host in self.hosts.values():
            await host.listen(self._gateway_names)
        self.discovery = Discovery(self.journal, self.clock, self.hosts, self._gateway_names)
        self._prepare()
        try:
            yield
        finally:
            for gateway in self.gateways.values():
                await gateway.close()
            await self.discovery.close()
            for host in self.hosts.values():
                host.close()
            for sock in self._idle_sockets:
                sock.close()

    def _prepare(self) -> None:
        plan = self.plan
        for name in self._gateway_names:
            entries = [self.discovery.host_entry(name, host) for host in self.hosts]
            known = {"generation": 1, "reset": True, "instances": entries}
            config = {"discovery": self.discovery.endpoints[name][0].address, "known": known,
                      "settings": settings(plan), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": plan.sockets}}
            if plan.kept:
                config["list_folder"] = str(self._folder / name / "lists")
            self._endpoint_index[name] = 0
            self.gateways[name] = GatewayProcess(name, self._folder / name, config, self.journal, self.clock,
                                                 self._shim, self._root)
            (self._folder / name / "lists").mkdir()   # the platform creates the folder; lists are cached in no other
            self.front_ends[name] = FrontEnd(name, self.gateways[name].address, patience=plan.patience)

    async def _start(self) -> None:
        plan = self.plan
        await asyncio.gather(*(self._launch(name) for name in self._gateway_names))
        self._started_at = time.monotonic()
        for lifetime in self.journal.lifetimes:   # the time of the run begins now
            lifetime.start = 0.0
            lifetime.written = [(0.0, generation) for _, generation in lifetime.written]
        for watch in self.journal.watches:
            watch.begin, watch.end = 0.0, min(watch.end, 0.0) if watch.end < inf else inf
        for name, front_end in self.front_ends.items():
            for number in range(plan.clients):
                client = Client(front_end, self.journal, self.clock, self._rng, plan.pause, plan.leaves,
                                f"{name}.{number}")
                self._clients.append(asyncio.create_task(client.run()))

    async def _launch(self, name: str) -> None:
        gateway = self.gateways[name]
        await gateway.start()
        if await gateway.wait_ready():
            self.front_ends[name].accepts_connections = True
        elif gateway.lifetime is not None and not gateway.lifetime.exit_reason:
            gateway.lifetime.exit_reason = f"not ready in time: {gateway.last_log_line()}"

    async def _record_loop_lag(self) -> None:
        while True:
            started_at = self.clock()
            await asyncio.sleep(0.01)
            lag = self.clock() - started_at - 0.01
            if lag > MIN_RECORDED_LAG_S:
                self.journal.loop_lags.append((self.clock(), lag))

    # ---- Faults ------------------------------------------------------------------------------------------

    async def _inject_faults(self) -> None:
        for fault in self.plan.faults:
            await asyncio.sleep(max(0.0, fault.at - self.clock()))
            task = asyncio.create_task(self._inject(fault))
            self._tasks.add(task)
        await asyncio.sleep(max(0.0, self.plan.lasts - self.clock()))

    async def _inject(self, fault: Fault) -> None:
        if fault.kind in ("drain", "gone", "ready", "cold") and fault.on in self.hosts:
            self._change_host(fault)
            return
        names = self._gateway_names if fault.on == ALL_GATEWAYS else [fault.on]
        if fault.kind in ("cold", "host_hang", "host_reset"):
            await self._random_host_fault(fault)
            return
        action: Callable[[str, Fault], Any] = getattr(self, f"_{fault.kind}")
        await asyncio.gather(*(action(name, fault) for name in names))

    def _change_host(self, fault: Fault) -> None:
        state = {"drain": "terminating", "gone": "terminated", "ready": "in_service", "cold": "in_service"}[fault.kind]
        if fault.kind == "cold":
            self._restart_host(fault.on)
        else:
            self.discovery.set_host_state(fault.on, state)

    def _restart_host(self, name: str) -> None:
        host = self.hosts[name]
        host.reset_all()
        host.started_ms = time.time_ns() // 1_000_000 + int(self._wall_step_s * 1000)
        self.journal.host_starts = [host_start for host_start in self.journal.host_starts if host_start.host != name]
        self.journal.host_starts.append(HostStart(name, self.clock(), COLD_CAPACITY))
        self.discovery.set_host_state(name, "in_service")

    async def _random_host_fault(self, fault: Fault) -> None:
        name = self._rng.choice(list(self.hosts))
        if fault.kind == "cold":
            self._restart_host(name)
        elif fault.kind == "host_reset":
            self.hosts[name].reset_all()
        else:
            self.hosts[name].hanging = True
            await asyncio.sleep(fault.lasts)
            self.hosts[name].hanging = False

    def _endpoint(self, name: str) -> DiscoveryEndpoint:
        return self.discovery.endpoints[name][self._endpoint_index[name]]

    async def _wait_out_outage(self, name: str, kind: str, duration_s: float) -> Outage:
        outage = self.discovery.begin_outage(name, kind)
        await asyncio.sleep(duration_s)
        outage.end = self.clock()
        return outage

    async def _stop(self, name: str, fault: Fault) -> None:
        self.gateways[name].signal(signal.SIGSTOP)
        await asyncio.sleep(fault.lasts)
        self.gateways[name].signal(signal.SIGCONT)

    async def _drop(self, name: str, fault: Fault) -> None:
        endpoint = self._endpoint(name)
        endpoint.drop(True)
        await self._wait_out_outage(name, "away", fault.lasts)
        endpoint.drop(False)

    async def _refuse(self, name: str, fault: Fault) -> None:
        endpoint = self._endpoint(name)
        endpoint.refuse(True)
        await self._wait_out_outage(name, "away", fault.lasts)
        endpoint.refuse(False)

    async def _resets(self, name: str, fault: Fault) -> None:
        endpoint = self._endpoint(name)
        endpoint.resets_calls = True
        await self._wait_out_outage(name, "away", fault.lasts)
        endpoint.resets_calls = False

    async def _hang(self, name: str, fault: Fault) -> None:
        """Calls are accepted and get no response: discovery is reachable, so its changes take effect."""
        await self._set_flag(name, "hangs", fault.lasts)

    async def _order(self, name: str, fault: Fault) -> None:
        self._endpoint(name).call_plans.extend(fault.calls)

    async def _crowded(self, name: str, fault: Fault) -> None:
        """Discovery is overloaded: it serves `size` calls per second, in order, for all gateways together."""
        self.discovery.call_queue.capacity = fault.size
        await asyncio.sleep(fault.lasts)
        self.discovery.call_queue.capacity = 0.0

    async def _busy(self, name: str, fault: Fault) -> None:
        """Calls are rejected at once, as by a full queue: discovery is reachable, so its changes take effect."""
        await self._set_flag(name, "busy", fault.lasts)

    async def _slow(self, name: str, fault: Fault) -> None:
        """Each response is delayed by `size` seconds: discovery is reachable, so its changes take effect."""
        endpoint = self._endpoint(name)
        endpoint.call_delay_s = fault.size
        await asyncio.sleep(fault.lasts)
        endpoint.call_delay_s = 0.0

    async def _reset(self, name: str, fault: Fault) -> None:
        self._endpoint(name).reset()

    async def _silent(self, name: str, fault: Fault) -> None:
        self._endpoint(name).silence_watches(bool(fault.size))
        self.discovery.begin_outage(name, "silent")   # ends when a list is sent to this gateway

    async def _watch_silent(self, name: str, fault: Fault) -> None:
        """The open watch falls silent, if there is one: a queued call is not an open watch."""
        if self._endpoint(name).has_active_watch:
            await self._silent(name, fault)

    async def _jammed(self, name: str, fault: Fault) -> None:
        """As `crowded`, and updates are queued too: discovery is reachable, so its changes take effect."""
        self.discovery.call_queue.updates_queued = True
        await self._crowded(name, fault)
        self.discovery.call_queue.updates_queued = False

    async def _jammed_keeps(self, name: str, fault: Fault) -> None:
        """As `jammed`, and a call that has no turn in time is rejected only after the longest queueing time."""
        self.discovery.call_queue.holds_rejected_calls = True
        await self._jammed(name, fault)
        self.discovery.call_queue.holds_rejected_calls = False

    async def _take_discovery_down(self, name: str, fault: Fault,
                                   block: Callable[[DiscoveryEndpoint, bool], None]) -> None:
        """Discovery goes down at both addresses: all calls and watches end, and `block` prevents new ones."""
        endpoints = self.discovery.endpoints[name]
        for endpoint in endpoints:
            block(endpoint, True)
            endpoint.reset()
        self.discovery.end_silence(name)
        await self._wait_out_outage(name, "away", fault.lasts)
        for endpoint in endpoints:
            block(endpoint, False)

    async def _down_refuse(self, name: str, fault: Fault) -> None:
        await self._take_discovery_down(name, fault, DiscoveryEndpoint.refuse)

    async def _down_drop(self, name: str, fault: Fault) -> None:
        await self._take_discovery_down(name, fault, DiscoveryEndpoint.drop)

    async def _down_resets(self, name: str, fault: Fault) -> None:
        await self._take_discovery_down(name, fault, DiscoveryEndpoint.reset_calls)

    async def _ends(self, name: str, fault: Fault) -> None:
        await self._set_flag(name, "ends", fault.lasts)

    async def _ends_late(self, name: str, fault: Fault) -> None:
        """Updates are queued for `size` seconds at an overloaded service; then the watch ends without sending them."""
        endpoint = self._endpoint(name)
        endpoint.end_delay_s = fault.size
        await asyncio.sleep(fault.lasts)
        endpoint.end_delay_s = 0.0

    async def _repeats(self, name: str, fault: Fault) -> None:
        await self._set_flag(name, "repeats", fault.lasts)

    async def _whole(self, name: str, fault: Fault) -> None:
        await self._set_flag(name, "whole", fault.lasts)

    async def _set_flag(self, name: str, flag: str, duration_s: float) -> None:
        endpoint = self._endpoint(name)
        setattr(endpoint, flag, True)
        await asyncio.sleep(duration_s)
        setattr(endpoint, flag, False)

    async def _cuts(self, name: str, fault: Fault) -> None:
        self._endpoint(name).truncations_left = int(fault.size)
        await asyncio.sleep(fault.lasts)
        self._endpoint(name).truncations_left = 0

    async def _reload(self, name: str, fault: Fault) -> None:
        if self.gateways[name].may_reload():
            self.gateways[name].signal(signal.SIGHUP)

    async def _move(self, name: str, fault: Fault) -> None:
        self._endpoint_index[name] = 1 - self._endpoint_index[name]
        gateway = self.gateways[name]
        gateway.config["discovery"] = self._endpoint(name).address
        gateway.write()
        # A process that has just started may have read the old file.
        while not gateway.may_reload() and self.clock() < self.plan.lasts:
            await asyncio.sleep(0.1)
        if gateway.may_reload():
            gateway.signal(signal.SIGHUP)

    async def _signal(self, name: str, fault: Fault) -> None:
        number = signal.Signals(int(fault.size))
        if number is not signal.SIGHUP or self.gateways[name].may_reload():
            self.gateways[name].signal(number)

    async def _term(self, name: str, fault: Fault) -> None:
        gateway, front_end = self.gateways[name], self.front_ends[name]
        gateway.signal(signal.SIGTERM)
        await asyncio.sleep(ROUTING_DELAY_S)
        front_end.accepts_connections = False
        await asyncio.sleep(max(0.0, MAX_DEADLINE_S + SIGKILL_MARGIN_S - ROUTING_DELAY_S))
        gateway.signal(signal.SIGCONT)
        gateway.signal(signal.SIGKILL)
        await gateway.wait_ended()
        await self._launch(name)

    async def _kill(self, name: str, fault: Fault) -> None:
        gateway, front_end = self.gateways[name], self.front_ends[name]
        gateway.signal(signal.SIGKILL)
        await gateway.wait_ended()
        front_end.accepts_connections = False
        await asyncio.sleep(fault.size or fault.lasts * self._rng.random())
        await self._launch(name)

    async def _clock(self, name: str, fault: Fault) -> None:
        """The wall clock steps on one machine, or on all and then for the hosts too, which read the same clock."""
        if fault.on == ALL_GATEWAYS:
            self._wall_step_s = fault.size
        self.gateways[name].control.step_clock(fault.size)

    async def _calls(self, name: str, fault: Fault) -> None:
        control = self.gateways[name].control
        for operation in FAILING_OPERATIONS:
            control.set_failure_rate(operation, int(fault.size))
        await asyncio.sleep(fault.lasts)
        for operation in FAILING_OPERATIONS:
            control.set_failure_rate(operation, 0)

    async def _open_idle_connections(self, name: str, count: int) -> None:
        for _ in range(count):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.gateways[name].address)
            self._idle_sockets.append(sock)

    async def _crowd(self, name: str, fault: Fault) -> None:
        await self._open_idle_connections(name, int(fault.size))


async def run_plan(plan: Plan, shim: Path | None, root: Path = ROOT, log_folder: Path | None = None) -> SoakResult:
    """Run a plan in a temporary folder; the gateways' logs are copied to `log_folder`."""
    with temporary_folder() as name:
        folder = Path(name)
        try:
            return await SoakRun(plan, folder, shim, root).run()
        finally:
            if log_folder is not None:
                log_folder.mkdir(parents=True, exist_ok=True)
                for log in folder.glob("*/log"):
                    with suppress(OSError):
                        (log_folder / f"{log.parent.name}.log").write_bytes(log.read_bytes())


__all__ = ["SoakResult", "SoakRun", "build_shim", "run_plan", "settings"]
