"""A gateway as a process, started by the `run` line of the deploy file, as in service."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import time
from pathlib import Path
from typing import Any

import msgspec

from .procs import Process, Trouble

READY_S = 20.0


class RealGateway:
    """One name: the process that has it now, and the one before while it still ends."""

    def __init__(self, name: str, command: str, root: Path, folder: Path, config: dict[str, Any], err: Path,
                 operators: list[tuple[str, int]]) -> None:
        self.name = name
        self._command = command
        self._root = root
        self._folder = folder
        self.config = config
        self.err = err
        self._operators = operators
        self._starts = 0
        self.process: Process | None = None
        self.leaving: list[Process] = []
        (folder / "tmp").mkdir(parents=True)
        self._path = folder / "config.json"

    def write(self) -> None:
        """The configuration file, whole or not at all."""
        fresh = self._path.with_suffix(".new")
        fresh.write_bytes(msgspec.json.encode(self.config))
        os.replace(fresh, self._path)

    async def start(self, known: dict[str, Any]) -> None:
        """Start a process; call `ready` to wait for it."""
        self._starts += 1
        self._operator = self._operators[self._starts % 2]
        self.config["known"] = known
        self.config["seed"] = f"{self._starts:x}{self.config['seed'][-8:]}"
        self.write()
        env = {"PATH": os.environ["PATH"], "TMPDIR": str(self._folder / "tmp"), "EDGE_CONFIG": str(self._path),
               "EDGE_NAME": self.name, "EDGE_LISTEN": self.config["listen"],
               "EDGE_DISCOVERY": self.config["discovery"], "EDGE_OPERATOR": "{}:{}".format(*self._operator)}
        if self.process is not None and not self.process.over:
            self.leaving.append(self.process)
        self.process = await Process.start(self.name, ["/bin/sh", "-c", self._command], self._root, env, self.err)

    async def ready(self) -> float:
        """Wait until operators are told that it takes clients; seconds it took.  Raises Trouble."""
        assert self.process is not None
        begun = time.monotonic()
        while time.monotonic() - begun < READY_S:
            if self.process.over:
                words = self.err.read_text(errors="replace").strip().splitlines()
                raise Trouble(f"{self.name} ended with {self.process.code} as it started: {words[-1:]}")
            if await self._yes():
                return time.monotonic() - begun
            await asyncio.sleep(0.02)
        raise Trouble(f"{self.name} was not ready in {READY_S:g} s")

    async def _yes(self) -> bool:
        writer = None
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self._operator)
                writer.write(b"GET /_ready HTTP/1.1\r\nHost: rig\r\n\r\n")
                return b" 200 " in await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.close()

    async def figures(self) -> dict[str, float]:
        """What `/_vars` tells; empty where nobody answers."""
        writer = None
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self._operator)
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
        """Processor seconds and resident megabytes of the process now."""
        if self.process is None or self.process.over:
            return 0.0, 0.0
        return self.process.usage()

    def lose_folder(self) -> None:
        """Its temporary folder is emptied, as on a machine that came back without its disk."""
        shutil.rmtree(self._folder / "tmp")
        (self._folder / "tmp").mkdir()

    async def end(self) -> None:
        """All its processes, at once."""
        for process in [*self.leaving, *([self.process] if self.process is not None else [])]:
            await process.end()

    async def leave(self, process: Process) -> None:
        """SIGTERM, and its end."""
        process.signal(signal.SIGTERM)
        await process.wait()
