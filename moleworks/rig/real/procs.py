"""Child processes of the test bench: each runs in its own process group and ends with the test bench."""

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

EXIT_TIMEOUT_S = 5.0
"""A process that does not exit within this time is killed with SIGKILL."""


class RigError(Exception):
    """The test bench could not perform the experiment; not a failure of the program under test."""


class Process:
    """One process group."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self._process = process
        self.pid = process.pid

    @classmethod
    async def start(cls, name: str, command: Sequence[str], cwd: Path, env: Mapping[str, str], err: Path,
                    piped: bool = False) -> Process:
        """Start the process; its standard error is appended to a file."""
        pipe = asyncio.subprocess.PIPE if piped else asyncio.subprocess.DEVNULL
        with open(err, "ab") as file:
            process = await asyncio.create_subprocess_exec(
                *command, cwd=cwd, env=dict(env), stdin=pipe, stdout=pipe, stderr=file, start_new_session=True,
                preexec_fn=die_with_parent, limit=64 << 20)
        return cls(name, process)

    @property
    def ended(self) -> bool:
        """Whether the process has exited."""
        return self._process.returncode is not None

    @property
    def code(self) -> int | None:
        """The exit status."""
        return self._process.returncode

    def usage(self) -> tuple[float, float]:
        """CPU seconds and resident megabytes now; zeros once the process has exited."""
        try:
            stat = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            return 0.0, 0.0
        ticks = os.sysconf("SC_CLK_TCK")
        return ((int(stat[11]) + int(stat[12])) / ticks, int(stat[21]) * os.sysconf("SC_PAGE_SIZE") / 1e6)

    def signal(self, number: int) -> None:
        """Send a signal to the process group; does nothing once the process has exited."""
        if not self.ended:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.pid, number)

    async def wait(self) -> int:
        """Wait for the process to exit."""
        return await self._process.wait()

    async def end(self) -> None:
        """Kill the process group with SIGKILL and wait for the process."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.wait()

    async def read_report(self) -> dict[str, Any] | None:
        """Read the next report; None at the end of the output."""
        assert self._process.stdout is not None
        text = await self._process.stdout.readline()
        message: dict[str, Any] | None = msgspec.json.decode(text) if text.endswith(b"\n") else None
        return message

    def tell(self, do: str, **arguments: Any) -> None:
        """Send a command."""
        if not self.ended and self._process.stdin is not None:
            self._process.stdin.write(msgspec.json.encode({"do": do, **arguments}) + b"\n")


class Child:
    """A child process that runs a program of the test bench (child.py), with its reports."""

    def __init__(self, process: Process, on_report: Callable[[dict[str, Any]], None]) -> None:
        self.process = process
        self._on_report = on_report
        self.finished: asyncio.Future[dict[str, Any]] = asyncio.get_running_loop().create_future()
        self._task: asyncio.Task[None] | None = None

    @classmethod
    async def start(cls, name: str, module: str, config: dict[str, Any], folder: Path,
                    on_report: Callable[[dict[str, Any]], None] = lambda _: None) -> Child:
        """Start the process and wait until it is ready.  Raises RigError with its last error line if it fails."""
        path, err = folder / f"{name}.json", folder / f"{name}.log"
        path.write_bytes(msgspec.json.encode(config))
        process = await Process.start(name, [sys.executable, "-B", "-m", module, str(path)], folder,
                                      {**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, sys.path))}, err, True)
        child = cls(process, on_report)
        try:
            async with asyncio.timeout(30):
                first_report = await process.read_report()
        except TimeoutError:
            first_report = None
        if first_report is None:
            await process.end()
            error_lines = err.read_text(errors="replace").strip().splitlines()
            raise RigError(f"{name} did not start: {error_lines[-1] if error_lines else 'no error output'}")
        child._task = asyncio.create_task(child._read())
        return child

    async def _read(self) -> None:
        while message := await self.process.read_report():
            if message["what"] == "finished":
                self.finished.set_result(message["figures"])
            else:
                self._on_report(message)
        if not self.finished.done():
            self.finished.set_result({})

    def tell(self, do: str, **arguments: Any) -> None:
        """Send a command."""
        self.process.tell(do, **arguments)

    async def finish(self) -> dict[str, Any]:
        """Stop the process and return its figures."""
        self.tell("finish")
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                figures = await asyncio.shield(self.finished)
                await self.process.wait()
                return figures
        await self.process.end()
        return {}


class AddressBlock:
    """A block of loopback addresses for one run; a bound socket reserves it against other runs on this machine."""

    LOCK_PORT = 19999

    def __init__(self) -> None:
        for offset in range(2000):
            number = (os.getpid() * 7 + offset) % (200 * 250)
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
        raise RigError("no free block of loopback addresses: the lock ports are in use")

    def at(self, last: int, port: int) -> tuple[str, int]:
        """Return an address of the block."""
        return f"{self.prefix}.{last}", port

    def close(self) -> None:
        """Release the block."""
        self._lock.close()
