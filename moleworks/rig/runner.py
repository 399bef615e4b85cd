"""Plays one experiment: loads its file, drives the run, judges the history and writes the report."""

from __future__ import annotations

import gc
import shlex
from pathlib import Path
from typing import Any

import msgspec

from moleworks import config

from . import judge, places, spec, store_spec

HELD, BROKEN = 0, 1


def load(path: str, seed: int | None = None) -> tuple[spec.Experiment, places.Places]:
    """Load an experiment for the virtual or real driver, and its places.  Raises ConfigError."""
    experiment = config.load(path, spec.Experiment)
    if seed is not None:
        experiment.seed = seed
    return experiment, places.check(experiment, path)


def load_any(path: str, seed: int | None = None) -> spec.Experiment | store_spec.StoreExperiment:
    """Load an experiment for any driver.  Raises ConfigError."""
    if config.read(path).get("driver") != "members":
        return load(path, seed)[0]
    experiment = config.load(path, store_spec.StoreExperiment)
    if seed is not None:
        experiment.seed = seed
    return store_spec.check(experiment, path)


def prepare(out: Path) -> None:
    """Create the folder for a run's files.  Raises ConfigError if that fails."""
    try:
        out.mkdir(parents=True, exist_ok=True)
        for name in ("result.json", "report.html", "history.jsonl"):
            (out / name).unlink(missing_ok=True)   # files of an earlier run must not be taken for this run's
    except OSError as error:
        raise config.ConfigError([f"{out}: {error.strerror or error}"]) from None


def virtual(experiment: spec.Experiment, world: places.Places, out: Path, make_decisions: Any = None) -> None:
    """Play an experiment in virtual time; `make_decisions` replaces the constructor of the decision module."""
    from bridgesaddle import Balancer

    from .virtual.fleet import Fleet
    thresholds = gc.get_threshold()
    gc.set_threshold(100_000, 50, 1000)   # nearly all objects are freed with their request, without cycles
    try:
        Fleet(experiment, world, out, make_decisions or Balancer).run()
    finally:
        gc.set_threshold(*thresholds)


def conclude(experiment: spec.Experiment, out: Path, replay: str, report: bool = True,
             notes: list[dict[str, Any]] | None = None, trouble: str = "") -> dict[str, Any]:
    """Judge the history in `out` and write `result.json`, `report.html` and `seconds.csv` next to it.

    `trouble` is the reason for which the run could not be carried out: the verdict is then "broken", whatever the
    history contains.
    """
    hold = msgspec.to_builtins(experiment.hold)
    result, seconds = judge.judge(out / "history.jsonl", hold)
    if trouble:
        result["verdict"], result["broken"] = "broken", [trouble]
    result = {"verdict": result["verdict"], "figures": result["figures"], "seed": experiment.seed,
              "faults": result["faults"], "broken": result["broken"], "notes": result["notes"] + (notes or []),
              "title": experiment.title, "driver": experiment.driver, "replay": replay}
    (out / "result.json").write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=2) + b"\n")
    if report:
        from .report import run_report
        run_report(out, experiment.title, replay, result, seconds)
    return result


def run(path: str, out: Path, seed: int | None = None, report: bool = True) -> dict[str, Any]:
    """Play an experiment file and return its result."""
    store = load_any(path, seed)
    if isinstance(store, store_spec.StoreExperiment):
        return run_store(store, path, out)
    experiment, world = load(path, seed)
    prepare(out)
    replay = f"moleworks rig run {shlex.quote(path)} --seed {experiment.seed} --out {shlex.quote(str(out))}"
    if experiment.driver == "virtual":
        virtual(experiment, world, out)
        return conclude(experiment, out, replay, report)
    from .real.procs import RigError
    from .real.run import play
    try:
        notes = play(experiment, world, out)
    except RigError as error:
        (out / "history.jsonl").touch()
        return conclude(experiment, out, replay, report, trouble=f"trouble: {error}")
    return conclude(experiment, out, replay, report, notes)


def run_store(experiment: store_spec.StoreExperiment, path: str, out: Path) -> dict[str, Any]:
    """The same as `run` for an experiment on the store."""
    from .real import members
    from .real.procs import RigError
    from .report import store_report
    prepare(out)
    replay = f"moleworks rig run {shlex.quote(path)} --seed {experiment.seed} --out {shlex.quote(str(out))}"
    try:
        judged = members.play(experiment, out)
    except RigError as error:
        (out / "history.jsonl").touch()
        judged = {"verdict": "broken", "figures": {}, "faults": [], "broken": [f"trouble: {error}"]}
    result = {**judged, "seed": experiment.seed, "title": experiment.title, "driver": "members", "notes": [],
              "replay": replay}
    (out / "result.json").write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=2) + b"\n")
    store_report(out, result)
    return result
