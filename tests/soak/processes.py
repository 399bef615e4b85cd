"""Gateway processes of a soak run, started as in production, optionally with the shim and its control file."""

from __future__ import annotations

import asyncio
import json
import mmap
import os
import resource
import signal
import struct
import subprocess
import sys
import tempfile
from math import inf
from pathlib import Path
from typing import Any

from moleworks.children import die_with_parent

from .addresses import free_address
from .hosts import Clock
from .journal import Journal, ProcessLifetime

ROOT = Path(__file__).resolve().parents[2]
OPERATIONS = ("accept", "connect", "socket", "read", "write", "epoll", "fsync", "bind", "disk")
"""In the order of the enumeration in shim.c; the names of the words below are those of shim.c too."""
HELD_WRITES = 1 + 2 * len(OPERATIONS)
HELD_KEPT = 32
WORDS = HELD_WRITES + 1 + HELD_KEPT
START_TIMEOUT_S = 10.0
MIN_SIGHUP_AGE_S = 1.0
"""SIGHUP is not sent in a process's first second, nor before it is ready (the page of terms)."""


def build_shim(folder: Path) -> Path:
    """Build the shim; raises CalledProcessError if the compiler rejects it."""
    path = folder / "shim.so"
    subprocess.run(["cc", "-O2", "-shared", "-fPIC", "-o", str(path), str(Path(__file__).with_name("shim.c")), "-ldl"],
                   check=True)
    return path


class ShimControl:
    """The memory-mapped control page of a shim; shim.c describes its layout."""

    def __init__(self, path: Path) -> None:
        self.path = path
        path.write_bytes(bytes(8 * WORDS))
        with open(path, "r+b") as file:
            self._page = mmap.mmap(file.fileno(), 8 * WORDS)

    def _set(self, word: int, value: int) -> None:
        struct.pack_into("<q", self._page, 8 * word, value)

    def step_clock(self, offset_s: float) -> None:
        """Set the offset of the wall clock."""
        self._set(0, int(offset_s * 1e9))

    def set_failure_rate(self, operation: str, per_10000: int) -> None:
        """Set how many calls in 10,000 fail."""
        self._set(1 + 2 * OPERATIONS.index(operation), per_10000)

    def fail_next(self, operation: str, count: int) -> None:
        """Make the next `count` calls fail."""
        self._set(2 + 2 * OPERATIONS.index(operation), count)

    def _get(self, word: int) -> int:
        value: int = struct.unpack_from("<q", self._page, 8 * word)[0]
        return value

    def stalled_writes(self) -> list[float]:
        """The latest times (monotonic clock, seconds) at which requests were written although the process had been
        stopped since it last read the clock.
        """
        count = self._get(HELD_WRITES)
        return [self._get(HELD_WRITES + 1 + number % HELD_KEPT) / 1e9
                for number in range(max(0, count - HELD_KEPT), count)]

    def failures_left(self, operation: str) -> int:
        """How many of the calls requested by `fail_next` are still to fail."""
        return max(0, self._get(2 + 2 * OPERATIONS.index(operation)))


class GatewayProcess:
    """One gateway name: its configuration, its current process, and that process's entry in the journal."""

    def __init__(self, name: str, folder: Path, config: dict[str, Any], journal: Journal, clock: Clock,
                 shim: Path | None, root: Path = ROOT) -> None:
        self.name = name
        self._folder = folder
        self.config = config
        self._journal, self._clock, self._shim, self._root = journal, clock, shim, root
        self.address = free_address()
        self.operator_address = free_address()
        config.update(name=name, listen="{}:{}".format(*self.address), operator="{}:{}".format(*self.operator_address))
        folder.mkdir(parents=True)
        self.control = ShimControl(folder / "control")
        self._path = folder / "config.json"
        self.log = folder / "log"
        self._process: asyncio.subprocess.Process | None = None
        self._watcher: asyncio.Task[None] | None = None
        self.lifetime: ProcessLifetime | None = None
        self._start_count = 0
        self._ending = False

    def write(self) -> None:
        """Write the configuration file atomically."""
        new_path = self._path.with_suffix(".new")
        new_path.write_text(json.dumps(self.config))
        os.replace(new_path, self._path)

    async def start(self) -> None:
        """Start the process; `wait_ready` tells when it accepts clients."""
        self._start_count += 1
        self.config["seed"] = f"{self._start_count:x}"
        self.write()
        temporary = self._folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environment = {"PATH": os.environ["PATH"], "TMPDIR": str(temporary), "EDGE_CONFIG": str(self._path),
                       "PYTHONPATH": str(self._root), "PYTHONFAULTHANDLER": "1"}
        if self._shim is not None:
            environment |= {"LD_PRELOAD": str(self._shim), "SHIM_CONTROL": str(self.control.path),
                            "SHIM_SEED": str(self._start_count)}
        sockets = int(self.config["limits"]["sockets"])

        def prepare() -> None:
            die_with_parent()
            resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))
        self._ending = False
        with open(self.log, "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, "-B", "-m", "gateway", cwd=self._root, env=environment, stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL, stderr=log, preexec_fn=prepare)
        self.lifetime = ProcessLifetime(self.name, self._clock())
        self._journal.lifetimes.append(self.lifetime)
        self._watcher = asyncio.create_task(self._record_exit(self._process, self.lifetime))

    async def _record_exit(self, process: asyncio.subprocess.Process, lifetime: ProcessLifetime) -> None:
        code = await process.wait()
        lifetime.end = self._clock()
        if lifetime.term == inf and not lifetime.killed:
            lifetime.exit_reason = f"exited unexpectedly with {code}: {self.last_log_line()}"

    def last_log_line(self) -> str:
        """The last line of the process's log."""
        lines = self.log.read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else ""

    async def wait_ready(self, timeout_s: float = START_TIMEOUT_S) -> bool:
        """Wait until the process accepts clients; false if it has ended or does not become ready in time."""
        try:
            async with asyncio.timeout(timeout_s):
                while not await self._is_ready():
                    if self.lifetime is None or self.lifetime.end < inf:
                        return False
                    await asyncio.sleep(0.02)
        except TimeoutError:
            return False
        if self.lifetime is not None:
            self.lifetime.ready = self._clock()
        return True

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return False
        try:
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")
            return b" 200 " in await reader.readline()
        except OSError:
            return False
        finally:
            writer.close()

    async def read_metrics(self) -> dict[str, int]:
        """The metrics from the operators' address."""
        reader, writer = await asyncio.open_connection(*self.operator_address)
        writer.write(b"GET /_vars HTTP/1.1\r\nHost: x\r\n\r\n")
        text = (await reader.read()).partition(b"\r\n\r\n")[2].decode()
        writer.close()
        return {name: int(value) for name, _, value in (row.partition("=") for row in text.splitlines())}

    def may_reload(self) -> bool:
        """Whether SIGHUP may be sent now."""
        lifetime = self.lifetime
        return lifetime is not None and lifetime.ready < inf and self._clock() - lifetime.start >= MIN_SIGHUP_AGE_S

    def signal(self, number: int) -> None:
        """Send a signal and record it in the journal."""
        lifetime, process = self.lifetime, self._process
        if lifetime is None or process is None or process.returncode is not None:
            return
        now = self._clock()
        if number == signal.SIGHUP:
            lifetime.reloads.append(now)
        elif number == signal.SIGTERM:
            lifetime.term = min(lifetime.term, now)
        elif number == signal.SIGKILL and lifetime.term == inf:
            lifetime.killed = True
        elif number == signal.SIGSTOP:
            lifetime.stops.append((now, inf))
        elif number == signal.SIGCONT and lifetime.stops and lifetime.stops[-1][1] == inf:
            lifetime.stops[-1] = (lifetime.stops[-1][0], now)
        process.send_signal(number)

    async def wait_ended(self) -> None:
        """Wait until the process has ended."""
        if self._watcher is not None:
            await self._watcher

    async def close(self) -> None:
        """Kill the process at the end of the run."""
        process, lifetime = self._process, self.lifetime
        if process is not None and process.returncode is None and lifetime is not None:
            lifetime.killed = True
            process.kill()
        await self.wait_ended()


def temporary_folder() -> tempfile.TemporaryDirectory[str]:
    """A folder for one run."""
    return tempfile.TemporaryDirectory(prefix="moleworks-soak-")
