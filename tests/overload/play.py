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
PLAIN_INTERVAL_S = 0.05
PLAIN_TIMEOUT_S = 4.0
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

    @property
    def lost(self) -> int:
        """Plain requests without a response in time."""
        return self.statuses["none"] + sum(wait > ANSWER_WITHIN_S for wait in self.waits_s)

    def __str__(self) -> str:
        waits = sorted(self.waits_s) or [0.0]
        p50_s, p99_s = waits[len(waits) // 2], waits[len(waits) * 99 // 100]
        return (f"peak {self.peak_kb / 1024:.1f} MB, exit {self.exit_code}, plain {dict(self.statuses)}, "
                f"lost {self.lost}, p50 {p50_s:.3f}, p99 {p99_s:.3f}, max {waits[-1]:.3f} s")


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

    def __init__(self, folder: Path, discovery: Discovery, hosts: list[Host], memory_mb: int, sockets: int) -> None:
        self._folder = folder
        self._sockets = sockets
        self.address = free_address()
        self._operator = free_address()
        self.config: dict[str, Any] = {
            "name": "n0", "listen": "{}:{}".format(*self.address), "discovery": discovery.address, "seed": "7",
            "operator": "{}:{}".format(*self._operator),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": {"generation": 41, "reset": True, "instances": [host.instance() for host in hosts]},
            "settings": SETTINGS}
        self.process: asyncio.subprocess.Process

    async def start(self) -> None:
        """Start the process and wait until it accepts clients."""
        path = self._folder / "config.json"
        path.write_text(json.dumps(self.config))

        def prepare() -> None:
            die_with_parent()
            resource.setrlimit(resource.RLIMIT_NOFILE, (self._sockets, self._sockets))
        with open(self._folder / "log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-B", "-m", "gateway", cwd=ROOT, stderr=log, preexec_fn=prepare,
                env={"PATH": os.environ["PATH"], "EDGE_CONFIG": str(path), "TMPDIR": str(self._folder)})
        async with asyncio.timeout(10.0):
            while True:
                try:
                    _, writer = await asyncio.open_connection(*self.address)
                    writer.close()
                    return
                except OSError:
                    await asyncio.sleep(0.05)

    def peak_kb(self) -> int:
        """Most resident memory so far, KiB; 0 once the process has ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        return next((int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM:")), 0)

    async def read_metrics(self) -> dict[str, int]:
        """The metrics from the operators' address."""
        reader, writer = await asyncio.open_connection(*self._operator)
        writer.write(b"GET /_vars HTTP/1.1\r\nHost: x\r\n\r\n")
        text = (await reader.read()).partition(b"\r\n\r\n")[2].decode()
        writer.close()
        return {name: int(value) for name, _, value in (row.partition("=") for row in text.splitlines())}


async def start_bad_clients(address: tuple[str, int], kinds: str, count: int) -> asyncio.subprocess.Process:
    """Start the process of bad clients."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-B", "-m", "tests.overload.bad_clients", address[0], str(address[1]), str(count), kinds,
        cwd=ROOT, stdout=asyncio.subprocess.PIPE, preexec_fn=die_with_parent)
    assert process.stdout is not None
    await process.stdout.readline()
    return process


async def play(folder: Path, kinds: str, clients: int, memory_mb: int, sockets: int, duration_s: float) -> Result:
    """Run bad clients of these kinds beside plain ones for this long."""
    result = Result()
    hosts = [await Host(f"h{number}").start() for number in range(4)]
    discovery = Discovery()
    await discovery.start()
    gateway = Gateway(folder, discovery, hosts, memory_mb, sockets)
    await gateway.start()
    bad = await start_bad_clients(gateway.address, kinds, clients) if clients else None
    try:
        await PlainClients(gateway.address, result).run(duration_s)
        assert bad is None or bad.returncode is None, "the bad clients have ended"
        result.peak_kb = gateway.peak_kb()
        result.exit_code = gateway.process.returncode
        result.metrics = await gateway.read_metrics() if result.exit_code is None else {}
    finally:
        for process in (bad, gateway.process):
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
    for host in hosts:
        result.runs.update(host.runs)
    return result
