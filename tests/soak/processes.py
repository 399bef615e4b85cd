"""Gateway processes of a play, started as in service, with the shim and its control file where the play wants them."""

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
from .journal import Journal, Life

ROOT = Path(__file__).resolve().parents[2]
OPERATIONS = ("accept", "connect", "socket", "read", "write", "epoll", "fsync", "bind", "disk")
HELD_WRITES = 1 + 2 * len(OPERATIONS)
HELD_KEPT = 32
WORDS = HELD_WRITES + 1 + HELD_KEPT
STARTS_S = 10.0
NO_SIGHUP_S = 1.0
"""SIGHUP is not sent in a program's first second, nor before it is ready (the page of terms)."""


def build_shim(folder: Path) -> Path:
    """Build the shim; raises CalledProcessError where the compiler turns it down."""
    path = folder / "shim.so"
    subprocess.run(["cc", "-O2", "-shared", "-fPIC", "-o", str(path), str(Path(__file__).with_name("shim.c")), "-ldl"],
                   check=True)
    return path


class Control:
    """The page by which a shim is told what to do."""

    def __init__(self, path: Path) -> None:
        self.path = path
        path.write_bytes(bytes(8 * WORDS))
        with open(path, "r+b") as file:
            self._page = mmap.mmap(file.fileno(), 8 * WORDS)

    def _set(self, word: int, value: int) -> None:
        struct.pack_into("<q", self._page, 8 * word, value)

    def step_clock(self, by_s: float) -> None:
        """The wall clock is off by this from now on."""
        self._set(0, int(by_s * 1e9))

    def rate(self, operation: str, in_10000: int) -> None:
        """So many calls in 10,000 fail."""
        self._set(1 + 2 * OPERATIONS.index(operation), in_10000)

    def fail_next(self, operation: str, count: int) -> None:
        """The next calls fail."""
        self._set(2 + 2 * OPERATIONS.index(operation), count)

    def _get(self, word: int) -> int:
        value: int = struct.unpack_from("<q", self._page, 8 * word)[0]
        return value

    def held_writes(self) -> list[float]:
        """When requests were written though the process had stood still since its last look at the clock: the newest,
        by the monotonic clock, seconds.
        """
        count = self._get(HELD_WRITES)
        return [self._get(HELD_WRITES + 1 + number % HELD_KEPT) / 1e9
                for number in range(max(0, count - HELD_KEPT), count)]

    def left(self, operation: str) -> int:
        """How many of the next calls are still to fail."""
        return max(0, self._get(2 + 2 * OPERATIONS.index(operation)))


class GatewayProcess:
    """One name: its configuration, its process now, and its entry in the books."""

    def __init__(self, name: str, folder: Path, config: dict[str, Any], books: Journal, clock: Clock,
                 shim: Path | None, root: Path = ROOT) -> None:
        self.name = name
        self._folder = folder
        self.config = config
        self._books, self._clock, self._shim, self._root = books, clock, shim, root
        self.address = free_address()
        self.operator = free_address()
        config.update(name=name, listen="{}:{}".format(*self.address), operator="{}:{}".format(*self.operator))
        folder.mkdir(parents=True)
        self.control = Control(folder / "control")
        self._path = folder / "config.json"
        self.log = folder / "log"
        self._process: asyncio.subprocess.Process | None = None
        self._watcher: asyncio.Task[None] | None = None
        self.life: Life | None = None
        self._starts = 0
        self._ending = False

    def write(self) -> None:
        """The configuration, whole or not at all."""
        fresh = self._path.with_suffix(".new")
        fresh.write_text(json.dumps(self.config))
        os.replace(fresh, self._path)

    async def start(self) -> None:
        """Start the process; the clients' side may ask `ready`."""
        self._starts += 1
        self.config["seed"] = f"{self._starts:x}"
        self.write()
        temporary = self._folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environ = {"PATH": os.environ["PATH"], "TMPDIR": str(temporary), "EDGE_CONFIG": str(self._path),
                   "PYTHONPATH": str(self._root), "PYTHONFAULTHANDLER": "1"}
        if self._shim is not None:
            environ |= {"LD_PRELOAD": str(self._shim), "SHIM_CONTROL": str(self.control.path),
                        "SHIM_SEED": str(self._starts)}
        sockets = int(self.config["limits"]["sockets"])

        def prepare() -> None:
            die_with_parent()
            resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))
        self._ending = False
        with open(self.log, "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, "-B", "-m", "gateway", cwd=self._root, env=environ, stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL, stderr=log, preexec_fn=prepare)
        self.life = Life(self.name, self._clock())
        self._books.lives.append(self.life)
        self._watcher = asyncio.create_task(self._watch(self._process, self.life))

    async def _watch(self, process: asyncio.subprocess.Process, life: Life) -> None:
        code = await process.wait()
        life.end = self._clock()
        if life.term == inf and not life.killed:
            life.died = f"ended by itself with {code}: {self.last_log_line()}"

    def last_log_line(self) -> str:
        """The last line of its log."""
        lines = self.log.read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else ""

    async def wait_ready(self, within: float = STARTS_S) -> bool:
        """Wait until it takes clients."""
        try:
            async with asyncio.timeout(within):
                while not await self._asks_ready():
                    if self.life is None or self.life.end < inf:
                        return False
                    await asyncio.sleep(0.02)
        except TimeoutError:
            return False
        if self.life is not None:
            self.life.ready = self._clock()
        return True

    async def _asks_ready(self) -> bool:
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

    async def figures(self) -> dict[str, int]:
        """What the operators' address tells."""
        reader, writer = await asyncio.open_connection(*self.operator)
        writer.write(b"GET /_vars HTTP/1.1\r\nHost: x\r\n\r\n")
        text = (await reader.read()).partition(b"\r\n\r\n")[2].decode()
        writer.close()
        return {name: int(value) for name, _, value in (row.partition("=") for row in text.splitlines())}

    def may_reload(self) -> bool:
        """Whether SIGHUP may be sent by now."""
        life = self.life
        return life is not None and life.ready < inf and self._clock() - life.start >= NO_SIGHUP_S

    def signal(self, number: int) -> None:
        """Send a signal, and note what it means for the books."""
        life, process = self.life, self._process
        if life is None or process is None or process.returncode is not None:
            return
        now = self._clock()
        if number == signal.SIGHUP:
            life.reloads.append(now)
        elif number == signal.SIGTERM:
            life.term = min(life.term, now)
        elif number == signal.SIGKILL and life.term == inf:
            life.killed = True
        elif number == signal.SIGSTOP:
            life.stops.append((now, inf))
        elif number == signal.SIGCONT and life.stops and life.stops[-1][1] == inf:
            life.stops[-1] = (life.stops[-1][0], now)
        process.send_signal(number)

    async def ended(self) -> None:
        """Wait for its end."""
        if self._watcher is not None:
            await self._watcher

    async def close(self) -> None:
        """The play is over."""
        process, life = self._process, self.life
        if process is not None and process.returncode is None and life is not None:
            life.killed = True
            process.kill()
        await self.ended()


def temporary_folder() -> tempfile.TemporaryDirectory[str]:
    """A folder for one play."""
    return tempfile.TemporaryDirectory(prefix="moleworks-soak-")
