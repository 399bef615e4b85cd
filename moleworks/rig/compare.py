"""Versions and baselines side by side: the same worlds and seeds for each, differences in pairs with their interval."""

from __future__ import annotations

import contextlib
import math
import statistics
import subprocess
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from moleworks import config

from .baselines import BASELINES
from .sweep import ROOT, Job

FIGURES = ("in_time", "served", "worth", "p99_ms", "attempts")
T95 = {1: 12.71, 2: 4.30, 3: 3.18, 4: 2.78, 5: 2.57, 6: 2.45, 7: 2.36, 8: 2.31, 9: 2.26, 10: 2.23, 14: 2.14, 19: 2.09,
       29: 2.05}


def interval(differences: list[float]) -> tuple[float, float]:
    """Mean and half the width of its 95% interval, by Student's t; infinite where there is one pair only."""
    count = len(differences)
    mean = statistics.fmean(differences)
    if count < 2:
        return mean, math.inf
    t = next((value for degrees, value in sorted(T95.items()) if degrees >= count - 1), 1.96)
    return mean, t * statistics.stdev(differences) / math.sqrt(count)


@contextlib.contextmanager
def checkouts(names: list[str], real: bool) -> Iterator[dict[str, tuple[str, str, str]]]:
    """For each name: its version's id, its policy and its folder.  `worktree` is what lies here; a baseline has no
    folder; anything else is a git revision, laid out in a folder of its own for as long as this lasts.

    Raises ConfigError.
    """
    with tempfile.TemporaryDirectory(prefix="moleworks-versions-") as top:
        found: dict[str, tuple[str, str, str]] = {}
        for name in names:
            if name in BASELINES:
                if real:
                    raise config.ConfigError([f"--versions: {name} plays in virtual time only"])
                found[name] = (name, name, "")
            elif name == "worktree":
                found[name] = (f"worktree {_git('rev-parse', '--short', 'HEAD')}", "module", "")
            else:
                commit = _git("rev-parse", "--verify", "--short", f"{name}^{{commit}}")
                folder = Path(top) / commit
                if not folder.exists():
                    _lay(commit, folder, real)
                found[name] = (commit, "module", str(folder))
        yield found


def _git(*words: str) -> str:
    done = subprocess.run(["git", *words], cwd=ROOT, capture_output=True, text=True, check=False)
    if done.returncode:
        raise config.ConfigError([f"--versions: {done.stderr.strip() or words[-1]}"])
    return done.stdout.strip()


def _lay(commit: str, folder: Path, real: bool) -> None:
    """A revision's program in a folder.  Its build line is never run: older ones clear a folder that is a link here."""
    folder.mkdir()
    wanted = ["bridgesaddle", "gateway", "deploy"] if real else ["bridgesaddle"]
    archive = subprocess.run(["git", "archive", commit, *wanted], cwd=ROOT, capture_output=True, check=False)
    if archive.returncode:
        raise config.ConfigError([f"--versions: {commit}: {archive.stderr.decode().strip()}"])
    subprocess.run(["tar", "-x", "-C", str(folder)], input=archive.stdout, check=True)
    if real:
        (folder / ".venv" / "bin").mkdir(parents=True)
        for name in ("pyvenv.cfg", "lib", "bin/python"):
            (folder / ".venv" / name).symlink_to(ROOT / ".venv" / name)


def expand(planned: list[Job], versions: dict[str, tuple[str, str, str]]) -> list[Job]:
    """Every job for every version, seeds together so that pairs are played near each other."""
    return [msgspec.structs.replace(job, version=version, policy=policy, path=folder)
            for job in planned for version, policy, folder in versions.values()]


def table(played: list[tuple[Job, dict[str, Any]]], order: list[str]) -> list[dict[str, Any]]:
    """One row a version: means, and the paired difference of `in_time` from the first, with its interval."""
    by: dict[str, dict[tuple[str, int], dict[str, Any]]] = {}
    for job, result in played:
        by.setdefault(job.version, {})[job.params, job.seed] = result
    rows = []
    first = by.get(order[0], {})
    for version in order:
        good = {key: result for key, result in by.get(version, {}).items() if result["figures"].get("asked")}
        row: dict[str, Any] = {"version": version, "runs": len(good),
                               "broken": sum(result["verdict"] != "held" for result in by.get(version, {}).values())}
        for figure in FIGURES:
            values = [result["figures"][figure] for result in good.values()]
            row[figure] = round(statistics.fmean(values), 4) if values else 0.0
        pairs = [result["figures"]["in_time"] - first[key]["figures"]["in_time"]
                 for key, result in good.items() if first.get(key, {}).get("figures", {}).get("asked")]
        if pairs and version != order[0]:
            mean, half = interval(pairs)
            row["difference"], row["half_width"] = round(mean, 4), round(half, 4)
        rows.append(row)
    return rows
