"""Performs one run with real processes; an interrupted run keeps the history recorded so far."""

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
from .procs import RigError

log = logs.get("rig.run")


def play(experiment: Experiment, places: Places, out: Path, root: Path = ROOT) -> list[dict[str, Any]]:
    """Perform the run and write `history.jsonl` to `out`; returns notes on the test bench itself.

    Raises RigError if the fleet can't be started.
    """
    return uvloop.run(_play(experiment, places, out, root))


async def _play(experiment: Experiment, places: Places, out: Path, root: Path) -> list[dict[str, Any]]:
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    assert task is not None
    received_signals: list[int] = []

    def interrupt(number: int) -> None:
        if not received_signals:
            task.cancel()
        received_signals.append(number)
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, interrupt, number)
    fleet = Fleet(experiment, places, out, root)
    started_at = time.monotonic()
    try:
        async with fleet:
            fleet.notes.append({"what": "start", "seconds": round(time.monotonic() - started_at, 2),
                                "slowest_gateway_s": round(max(fleet.ready_s.values()), 3)})
            try:
                await _perform(fleet, experiment)
            except asyncio.CancelledError:
                task.uncancel()
                fleet.record(history.Note(fleet.now(), "interrupted", {"signal": float(received_signals[0])}))
            fleet.merge()
    except asyncio.CancelledError:
        task.uncancel()
        raise RigError("interrupted before the run started") from None
    return fleet.notes


async def _perform(fleet: Fleet, experiment: Experiment) -> None:
    faults = Faults(fleet, timeline(experiment, fleet.places))
    cpu_before = {name: gateway.usage()[0] for name, gateway in fleet.gateways.items()}
    fleet.go()
    await asyncio.sleep(0.2)
    faults.start()
    max_deadline_s = max(item.deadline_ms for item in experiment.world.classes) / 1000
    grace_s = min(max_deadline_s, 6.0) + 0.7
    await asyncio.sleep(experiment.duration_s)
    figures: dict[str, float] = {}
    for name, gateway in fleet.gateways.items():
        seconds, megabytes = gateway.usage()
        figures[f"{name}_cpu_s"], figures[f"{name}_mb"] = round(seconds - cpu_before[name], 2), round(megabytes, 1)
    fleet.notes.append({"what": "gateways", **figures})
    await asyncio.sleep(grace_s)
    faults.stop()
    await fleet.finish()
    for text in faults.trouble:
        fleet.record(history.Note(fleet.now(), "trouble", {}))
        fleet.notes.append({"what": "trouble", "text": text})
    for name, gateway in fleet.gateways.items():
        process = gateway.process
        if process is not None and process.ended and process.code not in (0, -signal.SIGKILL):
            fleet.notes.append({"what": "ended", "gateway": name, "code": process.code})
            fleet.record(history.Note(fleet.now(), "ended", {"code": float(process.code or 0)}))
