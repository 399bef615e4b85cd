"""Processes that the rig starts, and only those: each in a group of its own, none outlives the rig."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import sys
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec

from moleworks import logs
from moleworks.children import die_with_parent

log = logs.get("rig.procs")

END_S = 5.0
"""A process that does not end within this gets SIGKILL."""


class Trouble(Exception):
    """The rig could not do what an experiment asks; not a fault of the program under test."""


class Process:
    """One process group."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self._process = process
        self.pid = process.pid

    @classmethod
    async def start(cls, name: str, command: Sequence[str], cwd: Path, env: Mapping[str, str], err: Path,
                    piped: bool = False) -> Process:
        """Start it; its standard error goes to a file."""
        pipe = asyncio.subprocess.PIPE if piped else asyncio.subprocess.DEVNULL
        with open(err, "ab") as file:
            process = await asyncio.create_subprocess_exec(
                *command, cwd=cwd, env=dict(env), stdin=pipe, stdout=pipe, stderr=file, start_new_session=True,
                preexec_fn=die_with_parent, limit=64 << 20)
        return cls(name, process)

    @property
    def over(self) -> bool:
        """Whether it has ended."""
        return self._process.returncode is not None

    @property
    def code(self) -> int | None:
        """How it ended."""
        return self._process.returncode

    def usage(self) -> tuple[float, float]:
        """Processor seconds and resident megabytes now; zeros once it is over."""
        try:
            stat = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            return 0.0, 0.0
        ticks = os.sysconf("SC_CLK_TCK")
        return ((int(stat[11]) + int(stat[12])) / ticks, int(stat[21]) * os.sysconf("SC_PAGE_SIZE") / 1e6)

    def signal(self, number: int) -> None:
        """To the whole group; nothing if it is over."""
        if not self.over:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.pid, number)

    async def wait(self) -> int:
        """Until it ends."""
        return await self._process.wait()

    async def end(self) -> None:
        """SIGKILL, and wait: used where order no longer matters."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.wait()

    async def line(self) -> dict[str, Any] | None:
        """Its next report; None at the end."""
        assert self._process.stdout is not None
        text = await self._process.stdout.readline()
        told: dict[str, Any] | None = msgspec.json.decode(text) if text.endswith(b"\n") else None
        return told

    def tell(self, do: str, **told: Any) -> None:
        """A command."""
        if not self.over and self._process.stdin is not None:
            self._process.stdin.write(msgspec.json.encode({"do": do, **told}) + b"\n")


class Child:
    """A process of the rig's own (child.py), with its reports."""

    def __init__(self, process: Process, heard: Callable[[dict[str, Any]], None]) -> None:
        self.process = process
        self._heard = heard
        self.finished: asyncio.Future[dict[str, Any]] = asyncio.get_running_loop().create_future()
        self._task: asyncio.Task[None] | None = None

    @classmethod
    async def start(cls, name: str, module: str, told: dict[str, Any], folder: Path,
                    heard: Callable[[dict[str, Any]], None] = lambda _: None) -> Child:
        """Start it and wait until it is ready.  Raises Trouble with its last words if it can't."""
        path, err = folder / f"{name}.json", folder / f"{name}.log"
        path.write_bytes(msgspec.json.encode(told))
        process = await Process.start(name, [sys.executable, "-B", "-m", module, str(path)], folder,
                                      {**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, sys.path))}, err, True)
        child = cls(process, heard)
        try:
            async with asyncio.timeout(30):
                first = await process.line()
        except TimeoutError:
            first = None
        if first is None:
            await process.end()
            words = err.read_text(errors="replace").strip().splitlines()
            raise Trouble(f"{name} did not start: {words[-1] if words else 'no word from it'}")
        child._task = asyncio.create_task(child._read())
        return child

    async def _read(self) -> None:
        while told := await self.process.line():
            if told["what"] == "finished":
                self.finished.set_result(told["figures"])
            else:
                self._heard(told)
        if not self.finished.done():
            self.finished.set_result({})

    def tell(self, do: str, **told: Any) -> None:
        """A command."""
        self.process.tell(do, **told)

    async def finish(self) -> dict[str, Any]:
        """Its figures, and its end."""
        self.tell("finish")
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(END_S):
                figures = await asyncio.shield(self.finished)
                await self.process.wait()
                return figures
        await self.process.end()
        return {}


class Block:
    """A block of loopback addresses that no other run on this machine uses; a bound socket holds it."""

    LOCK_PORT = 19999

    def __init__(self) -> None:
        for step in range(2000):
            number = (os.getpid() * 7 + step) % (200 * 250)
            prefix = f"127.{20 + number // 250}.{1 + number % 250}"
            lock = socket.socket()
            try:
                lock.bind((f"{prefix}.1", self.LOCK_PORT))
                lock.listen(1)
            except OSError:
                lock.close()
                continue
            self.prefix, self._lock = prefix, lock
            return
        raise Trouble("no block of loopback addresses is free: ports are taken")

    def at(self, last: int, port: int) -> tuple[str, int]:
        """An address of the block."""
        return f"{self.prefix}.{last}", port

    def close(self) -> None:
        """Give it back."""
        self._lock.close()
