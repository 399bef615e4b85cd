"""One run with real processes, from the first port to the last; an interrupted one leaves what it has seen."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path
from typing import Any

import uvloop

from moleworks import logs

from .. import history
from ..places import Places, timeline
from ..spec import Experiment
from .faults import Faults
from .fleet import ROOT, Fleet
from .procs import Trouble

log = logs.get("rig.run")


def play(experiment: Experiment, places: Places, out: Path, root: Path = ROOT) -> list[dict[str, Any]]:
    """Play it and leave `history.jsonl` in `out`; returns what the rig has to say of itself.

    Raises Trouble where the fleet can't be started.
    """
    return uvloop.run(_play(experiment, places, out, root))


async def _play(experiment: Experiment, places: Places, out: Path, root: Path) -> list[dict[str, Any]]:
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    assert task is not None
    caught: list[int] = []

    def interrupt(number: int) -> None:
        if not caught:
            task.cancel()
        caught.append(number)
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, interrupt, number)
    fleet = Fleet(experiment, places, out, root)
    begun = time.monotonic()
    try:
        async with fleet:
            fleet.notes.append({"what": "start", "seconds": round(time.monotonic() - begun, 2),
                                "slowest_gateway_s": round(max(fleet.ready_s.values()), 3)})
            try:
                await _through(fleet, experiment)
            except asyncio.CancelledError:
                task.uncancel()
                fleet.record(history.Note(fleet.now(), "interrupted", {"signal": float(caught[0])}))
            fleet.merge()
    except asyncio.CancelledError:
        task.uncancel()
        raise Trouble("interrupted before the run began") from None
    return fleet.notes


async def _through(fleet: Fleet, experiment: Experiment) -> None:
    faults = Faults(fleet, timeline(experiment, fleet.places))
    used = {name: gateway.usage()[0] for name, gateway in fleet.gateways.items()}
    fleet.go()
    await asyncio.sleep(0.2)
    faults.start()
    longest = max(item.deadline_ms for item in experiment.world.classes) / 1000
    tail = min(longest, 6.0) + 0.7
    await asyncio.sleep(experiment.duration_s)
    figures: dict[str, float] = {}
    for name, gateway in fleet.gateways.items():
        seconds, megabytes = gateway.usage()
        figures[f"{name}_cpu_s"], figures[f"{name}_mb"] = round(seconds - used[name], 2), round(megabytes, 1)
    fleet.notes.append({"what": "gateways", **figures})
    await asyncio.sleep(tail)
    faults.stop()
    await fleet.finish()
    for text in faults.trouble:
        fleet.record(history.Note(fleet.now(), "trouble", {}))
        fleet.notes.append({"what": "trouble", "text": text})
    for name, gateway in fleet.gateways.items():
        process = gateway.process
        if process is not None and process.over and process.code not in (0, -signal.SIGKILL):
            fleet.notes.append({"what": "ended", "gateway": name, "code": process.code})
            fleet.record(history.Note(fleet.now(), "ended", {"code": float(process.code or 0)}))
