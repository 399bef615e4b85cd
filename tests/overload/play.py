"""One overload run: a gateway process, hosts, discovery, bad clients, and plain clients whose time is measured."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from moleworks.children import die_with_parent
from tests.soak.addresses import free_address
from tests.sockets import SETTINGS

from .standins import Discovery, Host

ROOT = Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 10.0
READY_MARGIN_S = 0.3
"""Time from a new process's readiness to the SIGTERM of the old one."""
SAMPLE_INTERVAL_S = 0.1
PLAIN_INTERVAL_S = 0.05
PLAIN_TIMEOUT_S = 4.0
UNACCOUNTED_ALLOWANCE_KB = 4096
"""Resident memory that may be in no account beside as much as the accounts had at their most: the allocator's free
memory after a burst, and pages that are used in part."""
MIN_SERVED_SHARE = 0.5
"""Share of the plain requests that has to be served; all of them have to be answered."""
ANSWER_WITHIN_S = PLAIN_TIMEOUT_S + 0.55
"""A later response is a lost request: half a second after the client's timeout, and the general tolerance."""


@dataclass
class Result:
    """What a run showed."""

    peak_kb: int = 0   # most resident memory of a gateway process (VmHWM)
    exit_code: int | None = None   # of the gateway, if it ended by itself
    statuses: Counter[str] = field(default_factory=Counter)
    waits_s: list[float] = field(default_factory=list)   # of the plain requests that got a response
    metrics: dict[str, int] = field(default_factory=dict)
    runs: Counter[str] = field(default_factory=Counter)   # of each request id, at the hosts
    most_held_kb: int = 0   # by the gateway's own accounts
    most_unaccounted_kb: int = 0   # most resident memory beyond the base and what the metrics account for

    def add_sample(self, peak_kb: int, metrics: dict[str, int]) -> None:
        """Add a sample of a gateway process."""
        self.peak_kb = max(self.peak_kb, peak_kb)
        self.most_held_kb = max(self.most_held_kb, metrics.get("svc.memory_held_kb", 0))
        self.most_unaccounted_kb = max(self.most_unaccounted_kb, metrics.get("svc.memory_rest_kb", 0))

    @property
    def lost(self) -> int:
        """Plain requests without a response in time, or whose new connection was closed without one."""
        return self.statuses["none"] + self.statuses["closed"] + sum(wait > ANSWER_WITHIN_S for wait in self.waits_s)

    def __str__(self) -> str:
        waits = sorted(self.waits_s) or [0.0]
        p50_s, p99_s = waits[len(waits) // 2], waits[len(waits) * 99 // 100]
        return (f"peak {self.peak_kb / 1024:.1f} MB, exit {self.exit_code}, plain {dict(self.statuses)}, "
                f"lost {self.lost}, held {self.most_held_kb / 1024:.1f}, "
                f"unaccounted {self.most_unaccounted_kb / 1024:.1f} MB, "
                f"p50 {p50_s:.3f}, p99 {p99_s:.3f}, max {waits[-1]:.3f} s")


def faults(result: Result, memory_mb: int, min_served_share: float = MIN_SERVED_SHARE) -> list[str]:
    """What is wrong with a run."""
    total = sum(result.statuses.values())
    checks = {"ended": result.exit_code is None, "memory": result.peak_kb <= memory_mb << 10, "lost": not result.lost,
              "unaccounted": result.most_unaccounted_kb <= result.most_held_kb + UNACCOUNTED_ALLOWANCE_KB,
              "served": result.statuses["200"] >= min_served_share * total}
    return [name for name, holds in checks.items() if not holds]


class PlainClients:
    """Clients that send one request each `PLAIN_INTERVAL_S` on an idle connection, or on a new one."""

    def __init__(self, address: tuple[str, int], result: Result) -> None:
        self._address = address
        self._result = result
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def run(self, duration_s: float) -> None:
        """Send requests for this long and wait for all responses."""
        tasks = []
        for number in range(int(duration_s / PLAIN_INTERVAL_S)):
            tasks.append(asyncio.create_task(self._request(number)))
            await asyncio.sleep(PLAIN_INTERVAL_S)
        await asyncio.gather(*tasks)
        for _, writer in self._idle:
            writer.close()

    async def _request(self, number: int) -> None:
        started_at = time.monotonic()
        status = "none"
        try:
            async with asyncio.timeout(ANSWER_WITHIN_S + 2.0):
                status = await self._exchange(number)
        except TimeoutError:
            pass
        except (OSError, asyncio.IncompleteReadError):
            status = "closed"
        self._result.statuses[status] += 1
        if status.isdigit():
            self._result.waits_s.append(time.monotonic() - started_at)

    async def _exchange(self, number: int) -> str:
        while self._idle and self._idle[-1][0].at_eof():
            self._idle.pop()[1].close()
        used = bool(self._idle)
        reader, writer = self._idle.pop() if used else await asyncio.open_connection(*self._address)
        cls = "once" if number % 3 == 0 else "read"
        body = b"b" * 300 if cls == "once" else b""
        method = "POST" if body else "GET"
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        writer.write(f"{method} /{cls}/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: plain{number}\r\n"
                     f"X-Priority-Class: {cls}\r\nX-Tenant-Id: acme\r\n{length}"
                     f"X-Timeout-Ms: {int(PLAIN_TIMEOUT_S * 1000)}\r\n\r\n".encode() + body)
        try:
            response_head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        except (OSError, asyncio.IncompleteReadError):
            writer.close()
            if used:   # the close of a resting connection crossed the request: sent once more
                return await self._exchange(number)
            raise
        length_text = response_head.split("content-length: ")[1].split("\r\n")[0]
        await reader.readexactly(int(length_text))
        if "connection: close" in response_head:
            writer.close()
        else:
            self._idle.append((reader, writer))
        return response_head.split()[1]


class Gateway:
    """A gateway process under limits, as the deploy file starts it."""

    def __init__(self, folder: Path, discovery: Discovery, hosts: list[Host], memory_mb: int, sockets: int,
                 address: tuple[str, int] | None = None) -> None:
        self._folder = folder
        self._sockets = sockets
        self.address = address or free_address()
        self._operator = free_address()
        self.config: dict[str, Any] = {
            "name": "n0", "listen": "{}:{}".format(*self.address), "discovery": discovery.address, "seed": "7",
            "operator": "{}:{}".format(*self._operator),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": {"generation": 41, "reset": True, "instances": [host.instance() for host in hosts]},
            "settings": SETTINGS}
        self.process: asyncio.subprocess.Process
        self._is_started = False

    async def start(self) -> None:
        """Start the process and wait until it accepts clients."""
        path = self._folder / f"config-{self._operator[0]}.json"
        path.write_text(json.dumps(self.config))

        def prepare() -> None:
            die_with_parent()
            resource.setrlimit(resource.RLIMIT_NOFILE, (self._sockets, self._sockets))
        with open(self._folder / "log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-B", "-m", "gateway", cwd=ROOT, stderr=log, preexec_fn=prepare,
                env={"PATH": os.environ["PATH"], "EDGE_CONFIG": str(path), "TMPDIR": str(self._folder)})
        self._is_started = True
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._is_ready():
                await asyncio.sleep(0.05)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self._operator)
            writer.write(b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n")
            is_ready = (await reader.read()).startswith(b"HTTP/1.1 200")
            writer.close()
            return is_ready
        except OSError:
            return False

    async def watch(self, result: Result) -> None:
        """Sample the memory until the process ends."""
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            if self._is_started:
                result.add_sample(self.peak_kb(), await self.read_metrics())

    def peak_kb(self) -> int:
        """Most resident memory so far, KiB; 0 once the process has ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        return next((int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM:")), 0)

    async def read_metrics(self) -> dict[str, int]:
        """The metrics from the operators' address; empty if it does not answer."""
        try:
            reader, writer = await asyncio.open_connection(*self._operator)
            writer.write(b"GET /_vars HTTP/1.1\r\nHost: x\r\n\r\n")
            text = (await reader.read()).partition(b"\r\n\r\n")[2].decode()
            writer.close()
        except OSError:
            return {}
        return {name: int(value) for name, _, value in (row.partition("=") for row in text.splitlines())}


async def start_bad_clients(address: tuple[str, int], kinds: str, count: int,
                            module: str = "bad_clients") -> asyncio.subprocess.Process:
    """Start the process of bad clients."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-B", "-m", f"tests.overload.{module}", address[0], str(address[1]), str(count), kinds,
        cwd=ROOT, stdout=asyncio.subprocess.PIPE, preexec_fn=die_with_parent)
    assert process.stdout is not None
    await process.stdout.readline()
    return process


async def replace(old: Gateway, new: Gateway, after_s: float) -> None:
    """Start a second process after this time and end the first one, as an upgrade does."""
    await asyncio.sleep(after_s)
    await new.start()
    await asyncio.sleep(READY_MARGIN_S)
    old.process.terminate()


async def play(folder: Path, kinds: str, clients: int, memory_mb: int, sockets: int, duration_s: float,
               module: str = "bad_clients", replaced_at_s: float = 0.0) -> Result:
    """Run bad clients of these kinds, or of this mix, beside plain ones for this long."""
    result = Result()
    hosts = [await Host(f"h{number}").start() for number in range(4)]
    discovery = Discovery()
    await discovery.start()
    gateways = [Gateway(folder, discovery, hosts, memory_mb, sockets)]
    await gateways[0].start()
    if replaced_at_s:
        gateways.append(Gateway(folder, discovery, hosts, memory_mb, sockets, gateways[0].address))
    tasks = [asyncio.create_task(gateway.watch(result)) for gateway in gateways]
    if replaced_at_s:
        tasks.append(asyncio.create_task(replace(gateways[0], gateways[1], replaced_at_s)))
    bad = await start_bad_clients(gateways[0].address, kinds, clients, module) if clients else None
    try:
        await PlainClients(gateways[0].address, result).run(duration_s)
        assert bad is None or bad.returncode is None, "the bad clients have ended"
        result.exit_code = gateways[-1].process.returncode
        result.metrics = await gateways[-1].read_metrics() if result.exit_code is None else {}
    finally:
        for task in tasks:
            task.cancel()
        for process in (bad, *(gateway.process for gateway in gateways)):
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
    for host in hosts:
        result.runs.update(host.runs)
    return result
