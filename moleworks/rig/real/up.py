"""`rig up`: the fleet live, with a table that is redrawn."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from pathlib import Path
from typing import Any

import uvloop
from rich import box
from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from ..places import Places, timeline
from ..spec import Experiment
from .faults import Faults
from .fleet import Fleet


class Screen:
    """What the table shows."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.counts: dict[str, float] = {}
        self._before: dict[str, float] = {}
        self._rates: dict[str, float] = {}
        self._at = time.monotonic()
        self._cpu: dict[str, float] = {}
        self._vars: dict[str, dict[str, float]] = {}
        self._use: dict[str, tuple[float, float]] = {}

    def heard(self, told: dict[str, Any]) -> None:
        """The clients' counts."""
        self.counts = {key: value for key, value in told.items() if key != "what"}

    async def look(self) -> None:
        """Ask every gateway once."""
        now = time.monotonic()
        passed = max(0.001, now - self._at)
        self._rates = {key: (value - self._before.get(key, 0)) / passed for key, value in self.counts.items()}
        self._before, self._at = dict(self.counts), now
        names = list(self._fleet.gateways)
        found = await asyncio.gather(*(self._fleet.gateways[name].figures() for name in names))
        for name, figures in zip(names, found, strict=True):
            seconds, megabytes = self._fleet.gateways[name].usage()
            self._use[name] = ((seconds - self._cpu.get(name, seconds)) / passed, megabytes)
            self._cpu[name] = seconds
            self._vars[name] = figures

    def draw(self) -> Group:
        """The whole screen."""
        fleet = self._fleet
        table = Table(box=box.SIMPLE_HEAD, pad_edge=False, padding=(0, 1, 0, 0),
                      title=f"{len(fleet.places.hosts)} hosts, {len(fleet.gateways)} gateways, "
                            f"{fleet.now() / 1e9:.0f} s; Ctrl-C ends it")
        for column in ("", "clients call", "state", "cpu", "MB", "hosts", "shun", "open", "done", "refused", "failed"):
            table.add_column(column, justify="left" if column in ("", "clients call", "state") else "right",
                             no_wrap=column == "clients call", min_width=19 if column == "clients call" else None)
        for name, gateway in fleet.gateways.items():
            figures, (share, megabytes) = self._vars.get(name, {}), self._use.get(name, (0.0, 0.0))
            state = "up" if figures else "ended" if gateway.process is None or gateway.process.over else "no answer"
            sums = {end: sum(value for key, value in figures.items()
                             if key.startswith("svc.downstream_requests.") and key.endswith(end))
                    for end in (".completed", ".rejected", ".failed")}
            table.add_row(name,
                          "{}:{}".format(*fleet.front[name]), Text(state, "green" if state == "up" else "red"),
                          f"{share:.0%}", f"{megabytes:.0f}", *(f"{figures.get(key, 0):.0f}" for key in
                          ("svc.members", "svc.members_unavailable", "svc.pending")),
                          *(f"{value:.0f}" for value in sums.values()))
        words = "  ".join(f"{key} {self._rates.get(key, 0):.0f}/s" for key in
                          ("asked", "served", "refused", "failed", "other"))
        return Group(table, Text(f"clients: {words}"))


async def _up(experiment: Experiment, places: Places, out: Path) -> None:
    screen: Screen | None = None
    fleet = Fleet(experiment, places, out, counts=lambda told: screen.heard(told) if screen else None)
    console = Console()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    with console.status(f"starting {experiment.world.gateways.count} gateways and {len(places.hosts)} hosts"):
        await fleet.__aenter__()
    try:
        screen = Screen(fleet)
        faults = Faults(fleet, timeline(experiment, places))
        fleet.go()
        await asyncio.sleep(0.2)
        faults.start()
        ends = time.monotonic() + experiment.duration_s
        with Live(console=console, auto_refresh=False, transient=False) as live:
            while not stop.is_set() and time.monotonic() < ends:
                await screen.look()
                live.update(screen.draw(), refresh=True)
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(stop.wait(), 1.0)
        faults.stop()
    finally:
        await fleet.close()


def up(experiment: Experiment, places: Places, out: Path) -> None:
    """Run it until its time is over or somebody says stop."""
    uvloop.run(_up(experiment, places, out))
