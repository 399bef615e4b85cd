"""Runs a gateway as a process, started by the `run` command of the deploy file, as in production."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import time
from pathlib import Path
from typing import Any

import msgspec

from .procs import Process, RigError

READY_TIMEOUT_S = 20.0


class RealGateway:
    """One gateway: its current process, and earlier ones that have not exited yet."""

    def __init__(self, name: str, command: str, root: Path, folder: Path, config: dict[str, Any], log_path: Path,
                 operator_addresses: list[tuple[str, int]]) -> None:
        self.name = name
        self._command = command
        self._root = root
        self._folder = folder
        self.config = config
        self.log_path = log_path
        self._operator_addresses = operator_addresses
        self._starts = 0
        self.process: Process | None = None
        self.leaving: list[Process] = []
        (folder / "tmp").mkdir(parents=True)
        self._path = folder / "config.json"

    def write(self) -> None:
        """Write the configuration file atomically."""
        new_path = self._path.with_suffix(".new")
        new_path.write_bytes(msgspec.json.encode(self.config))
        os.replace(new_path, self._path)

    async def start(self, known_list: dict[str, Any]) -> None:
        """Start a process; `ready` waits until it serves."""
        self._starts += 1
        self._operator_address = self._operator_addresses[self._starts % 2]
        self.config["known"] = known_list
        self.config["seed"] = f"{self._starts:x}{self.config['seed'][-8:]}"
        self.write()
        env = {"PATH": os.environ["PATH"], "TMPDIR": str(self._folder / "tmp"), "EDGE_CONFIG": str(self._path),
               "EDGE_NAME": self.name, "EDGE_LISTEN": self.config["listen"],
               "EDGE_DISCOVERY": self.config["discovery"], "EDGE_OPERATOR": "{}:{}".format(*self._operator_address)}
        if self.process is not None and not self.process.ended:
            self.leaving.append(self.process)
        self.process = await Process.start(self.name, ["/bin/sh", "-c", self._command], self._root, env, self.log_path)

    async def ready(self) -> float:
        """Wait until the operators' endpoint reports ready; returns the seconds it took.  Raises RigError."""
        assert self.process is not None
        started_at = time.monotonic()
        while time.monotonic() - started_at < READY_TIMEOUT_S:
            if self.process.ended:
                error_lines = self.log_path.read_text(errors="replace").strip().splitlines()
                raise RigError(f"{self.name} ended with {self.process.code} as it started: {error_lines[-1:]}")
            if await self._is_ready():
                return time.monotonic() - started_at
            await asyncio.sleep(0.02)
        raise RigError(f"{self.name} was not ready in {READY_TIMEOUT_S:g} s")

    async def _is_ready(self) -> bool:
        writer = None
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self._operator_address)
                writer.write(b"GET /_ready HTTP/1.1\r\nHost: rig\r\n\r\n")
                return b" 200 " in await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.close()

    async def figures(self) -> dict[str, float]:
        """The metrics of `/_vars`; empty without a response."""
        writer = None
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self._operator_address)
                writer.write(b"GET /_vars HTTP/1.1\r\nHost: rig\r\n\r\n")
                text = (await reader.read()).decode(errors="replace")
        except (OSError, TimeoutError):
            return {}
        finally:
            if writer is not None:
                writer.close()
        pairs = (row.split("=", 1) for row in text.splitlines() if "=" in row)
        return {name: float(value) for name, value in pairs if value.replace(".", "", 1).isdigit()}

    def usage(self) -> tuple[float, float]:
        """CPU seconds and resident megabytes of the process now."""
        if self.process is None or self.process.ended:
            return 0.0, 0.0
        return self.process.usage()

    def clear_temporary_folder(self) -> None:
        """Empty its temporary directory, as after a restart on a machine that has lost its disk."""
        shutil.rmtree(self._folder / "tmp")
        (self._folder / "tmp").mkdir()

    async def end(self) -> None:
        """Kill all its processes."""
        for process in [*self.leaving, *([self.process] if self.process is not None else [])]:
            await process.end()

    async def terminate(self, process: Process) -> None:
        """Send SIGTERM to a process and wait for it to exit."""
        process.signal(signal.SIGTERM)
        await process.wait()
