"""A million changes: three members under load, their memory meanwhile, and how soon one that was killed is back."""

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

from .procs import Block, Process

ROOT = Path(__file__).resolve().parents[3]
NAMES = ("a", "b", "c")
KEYS = 1000


class Members:
    """Three members without links."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.block = Block()
        self.at = {name: self.block.at(2, 7000 + index) for index, name in enumerate(NAMES)}
        self.processes: dict[str, Process] = {}

    async def start(self, name: str) -> None:
        """A member's process."""
        peers = ",".join("{}={}:{}".format(peer, *where) for peer, where in self.at.items())
        self.processes[name] = await Process.start(
            name, [sys.executable, "-B", "-m", "moleworks", "--log-level", "error", "store", "serve", "--name", name,
                   "--listen", "{}:{}".format(*self.at[name]), "--folder", str(self.folder / name), "--peers", peers,
                   "--cluster", "rig"], ROOT, dict(os.environ), self.folder / f"{name}.log")

    def megabytes(self) -> dict[str, float]:
        """Resident memory of each."""
        return {name: round(int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
                            * os.sysconf("SC_PAGE_SIZE") / 1e6, 1) for name, process in self.processes.items()}

    async def close(self) -> None:
        """End all."""
        await asyncio.gather(*(process.end() for process in self.processes.values()))
        self.block.close()


async def _changes(store: Members, changes: int, clients: int, tell: Callable[[dict[str, Any]], None]) -> None:
    """So many changes of some records by clients that each wait for their answer; memory ten times meanwhile."""
    done = 0
    begun = time.monotonic()
    step = changes // 10

    async def one(number: int) -> None:
        nonlocal done
        async with Client(store.at, "rig") as client:
            while done < changes:
                done += 1
                if done % step == 0:
                    tell({"changes": done, "s": round(time.monotonic() - begun, 1), **store.megabytes()})
                await client.change((Put(f"k{(done * 7919 + number) % KEYS}", b"v" * 64),))
    await asyncio.gather(*(one(number) for number in range(clients)))


async def _back(store: Members, name: str) -> tuple[float, int, int]:
    """Kill a member and start it: seconds until it has all that was committed, the first entry of its log, the last."""
    await store.processes[name].end()
    async with Client({other: at for other, at in store.at.items() if other != name}, "rig") as client:
        wanted = (await client.change((Put("mark", b""),))).revision
    begun = time.monotonic()
    await store.start(name)
    while True:
        try:
            async with Client([store.at[name]], "rig", 0.3) as client:
                status = await client.status()
                if status.revision >= wanted:
                    return time.monotonic() - begun, status.first, status.last
        except (Unavailable, Refused):
            pass
        await asyncio.sleep(0.01)


async def endure(changes: int, clients: int, tell: Callable[[dict[str, Any]], None]) -> dict[str, Any]:
    """All of it; `tell` gets a row for each tenth."""
    folder = Path(tempfile.mkdtemp(prefix="moleworks-endure-"))
    store = Members(folder)
    try:
        for name in NAMES:
            await store.start(name)
        await _changes(store, changes, clients, tell)
        back = {}
        for name in NAMES:
            back[name], first, last = await _back(store, name)
        return {"changes": changes, "back_s": {name: round(value, 2) for name, value in back.items()},
                "log": [first, last], "bytes": {name: sum(path.stat().st_size for path in (folder / name).iterdir())
                                                for name in NAMES}}
    finally:
        await store.close()
        shutil.rmtree(folder)
