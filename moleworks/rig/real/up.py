"""`rig up`: runs the fleet with a live status table."""

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
    """The state and rendering of the table."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.counts: dict[str, float] = {}
        self._previous_counts: dict[str, float] = {}
        self._rates: dict[str, float] = {}
        self._updated_at = time.monotonic()
        self._cpu_s: dict[str, float] = {}
        self._vars: dict[str, dict[str, float]] = {}
        self._usage: dict[str, tuple[float, float]] = {}

    def on_counts(self, message: dict[str, Any]) -> None:
        """Store the clients' counts."""
        self.counts = {key: value for key, value in message.items() if key != "what"}

    async def update(self) -> None:
        """Update the figures of every gateway."""
        now = time.monotonic()
        elapsed_s = max(0.001, now - self._updated_at)
        self._rates = {key: (value - self._previous_counts.get(key, 0)) / elapsed_s
                       for key, value in self.counts.items()}
        self._previous_counts, self._updated_at = dict(self.counts), now
        names = list(self._fleet.gateways)
        results = await asyncio.gather(*(self._fleet.gateways[name].figures() for name in names))
        for name, figures in zip(names, results, strict=True):
            seconds, megabytes = self._fleet.gateways[name].usage()
            self._usage[name] = ((seconds - self._cpu_s.get(name, seconds)) / elapsed_s, megabytes)
            self._cpu_s[name] = seconds
            self._vars[name] = figures

    def render(self) -> Group:
        """Render the screen."""
        fleet = self._fleet
        table = Table(box=box.SIMPLE_HEAD, pad_edge=False, padding=(0, 1, 0, 0),
                      title=f"{len(fleet.places.hosts)} hosts, {len(fleet.gateways)} gateways, "
                            f"{fleet.now() / 1e9:.0f} s; Ctrl-C ends it")
        for column in ("", "clients call", "state", "cpu", "MB", "hosts", "shun", "open", "done", "refused", "failed"):
            table.add_column(column, justify="left" if column in ("", "clients call", "state") else "right",
                             no_wrap=column == "clients call", min_width=19 if column == "clients call" else None)
        for name, gateway in fleet.gateways.items():
            figures, (share, megabytes) = self._vars.get(name, {}), self._usage.get(name, (0.0, 0.0))
            state = "up" if figures else "ended" if gateway.process is None or gateway.process.ended else "no answer"
            sums = {end: sum(value for key, value in figures.items()
                             if key.startswith("svc.downstream_requests.") and key.endswith(end))
                    for end in (".completed", ".rejected", ".failed")}
            table.add_row(name,
                          "{}:{}".format(*fleet.client_addresses[name]),
                          Text(state, "green" if state == "up" else "red"),
                          f"{share:.0%}", f"{megabytes:.0f}", *(f"{figures.get(key, 0):.0f}" for key in
                          ("svc.members", "svc.members_unavailable", "svc.pending")),
                          *(f"{value:.0f}" for value in sums.values()))
        rates = "  ".join(f"{key} {self._rates.get(key, 0):.0f}/s" for key in
                          ("asked", "served", "refused", "failed", "other"))
        return Group(table, Text(f"clients: {rates}"))


async def _up(experiment: Experiment, places: Places, out: Path) -> None:
    screen: Screen | None = None
    fleet = Fleet(experiment, places, out, on_counts=lambda message: screen.on_counts(message) if screen else None)
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
        end_at = time.monotonic() + experiment.duration_s
        with Live(console=console, auto_refresh=False, transient=False) as live:
            while not stop.is_set() and time.monotonic() < end_at:
                await screen.update()
                live.update(screen.render(), refresh=True)
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(stop.wait(), 1.0)
        faults.stop()
    finally:
        await fleet.close()


def up(experiment: Experiment, places: Places, out: Path) -> None:
    """Run the fleet until its duration is over or a signal arrives."""
    uvloop.run(_up(experiment, places, out))
