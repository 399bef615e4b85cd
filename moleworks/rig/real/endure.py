"""Endurance run of the store: three members under load, their memory use, and the recovery time of a killed member."""

from __future__ import annotations

import asyncio
import os
import shutil
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from moleworks.store.client import Client, Refused, Unavailable
from moleworks.store.state import Put

from .procs import AddressBlock, Process

ROOT = Path(__file__).resolve().parents[3]
NAMES = ("a", "b", "c")
KEYS = 1000


class Members:
    """Three members that are connected directly, without links."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.block = AddressBlock()
        self.at = {name: self.block.at(2, 7000 + index) for index, name in enumerate(NAMES)}
        self.processes: dict[str, Process] = {}

    async def start(self, name: str) -> None:
        """Start a member."""
        peers = ",".join("{}={}:{}".format(peer, *where) for peer, where in self.at.items())
        self.processes[name] = await Process.start(
            name, [sys.executable, "-B", "-m", "moleworks", "--log-level", "error", "store", "serve", "--name", name,
                   "--listen", "{}:{}".format(*self.at[name]), "--folder", str(self.folder / name), "--peers", peers,
                   "--cluster", "rig"], ROOT, dict(os.environ), self.folder / f"{name}.log")

    def megabytes(self) -> dict[str, float]:
        """Resident memory of each member in megabytes."""
        return {name: round(int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
                            * os.sysconf("SC_PAGE_SIZE") / 1e6, 1) for name, process in self.processes.items()}

    async def close(self) -> None:
        """End all members."""
        await asyncio.gather(*(process.end() for process in self.processes.values()))
        self.block.close()


async def _changes(store: Members, changes: int, clients: int, report: Callable[[dict[str, Any]], None]) -> None:
    """Change records with clients that each wait for the reply; report memory use ten times meanwhile."""
    done = 0
    started_at = time.monotonic()
    step = changes // 10

    async def run_client(number: int) -> None:
        nonlocal done
        async with Client(store.at, "rig") as client:
            while done < changes:
                done += 1
                if done % step == 0:
                    report({"changes": done, "s": round(time.monotonic() - started_at, 1), **store.megabytes()})
                await client.change((Put(f"k{(done * 7919 + number) % KEYS}", b"v" * 64),))
    await asyncio.gather(*(run_client(number) for number in range(clients)))


async def _measure_recovery(store: Members, name: str) -> tuple[float, int, int]:
    """Kill and restart a member; returns the seconds until it has all committed changes, and the first and last index
    of its log."""
    await store.processes[name].end()
    async with Client({other: at for other, at in store.at.items() if other != name}, "rig") as client:
        committed_revision = (await client.change((Put("mark", b""),))).revision
    started_at = time.monotonic()
    await store.start(name)
    while True:
        try:
            async with Client([store.at[name]], "rig", 0.3) as client:
                status = await client.status()
                if status.revision >= committed_revision:
                    return time.monotonic() - started_at, status.first, status.last
        except (Unavailable, Refused):
            pass
        await asyncio.sleep(0.01)


async def endure(changes: int, clients: int, report: Callable[[dict[str, Any]], None]) -> dict[str, Any]:
    """Perform the run; `report` is called with a row after each tenth of the changes."""
    folder = Path(tempfile.mkdtemp(prefix="moleworks-endure-"))
    store = Members(folder)
    try:
        for name in NAMES:
            await store.start(name)
        await _changes(store, changes, clients, report)
        recovery_s = {}
        for name in NAMES:
            recovery_s[name], first, last = await _measure_recovery(store, name)
        return {"changes": changes, "back_s": {name: round(value, 2) for name, value in recovery_s.items()},
                "log": [first, last], "bytes": {name: sum(path.stat().st_size for path in (folder / name).iterdir())
                                                for name in NAMES}}
    finally:
        await store.close()
        shutil.rmtree(folder)
