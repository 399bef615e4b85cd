"""Compares versions and baselines on the same worlds and seeds, with paired differences and their intervals."""

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
    """Return the mean and half the width of its 95% interval, by Student's t; infinite for a single pair."""
    count = len(differences)
    mean = statistics.fmean(differences)
    if count < 2:
        return mean, math.inf
    t = next((value for degrees, value in sorted(T95.items()) if degrees >= count - 1), 1.96)
    return mean, t * statistics.stdev(differences) / math.sqrt(count)


@contextlib.contextmanager
def checkouts(names: list[str], real: bool) -> Iterator[dict[str, tuple[str, str, str]]]:
    """Yield the version id, policy and folder of each name.

    `worktree` is the current working tree; a baseline has no folder; any other name is a git revision, extracted into
    a temporary folder for the duration of the context.  Raises ConfigError.
    """
    with tempfile.TemporaryDirectory(prefix="moleworks-versions-") as top:
        versions: dict[str, tuple[str, str, str]] = {}
        for name in names:
            if name in BASELINES:
                if real:
                    raise config.ConfigError([f"--versions: {name} plays in virtual time only"])
                versions[name] = (name, name, "")
            elif name == "worktree":
                versions[name] = (f"worktree {_git('rev-parse', '--short', 'HEAD')}", "module", "")
            else:
                commit = _git("rev-parse", "--verify", "--short", f"{name}^{{commit}}")
                folder = Path(top) / commit
                if not folder.exists():
                    _extract(commit, folder, real)
                versions[name] = (commit, "module", str(folder))
        yield versions


def _git(*arguments: str) -> str:
    process = subprocess.run(["git", *arguments], cwd=ROOT, capture_output=True, text=True, check=False)
    if process.returncode:
        raise config.ConfigError([f"--versions: {process.stderr.strip() or arguments[-1]}"])
    return process.stdout.strip()


def _extract(commit: str, folder: Path, real: bool) -> None:
    """Extract a revision into a folder.  Its build command is not run: in older revisions it clears a folder that is
    a symbolic link here.
    """
    folder.mkdir()
    paths = ["bridgesaddle", "gateway", "deploy"] if real else ["bridgesaddle"]
    archive = subprocess.run(["git", "archive", commit, *paths], cwd=ROOT, capture_output=True, check=False)
    if archive.returncode:
        raise config.ConfigError([f"--versions: {commit}: {archive.stderr.decode().strip()}"])
    subprocess.run(["tar", "-x", "-C", str(folder)], input=archive.stdout, check=True)
    if real:
        (folder / ".venv" / "bin").mkdir(parents=True)
        for name in ("pyvenv.cfg", "lib", "bin/python"):
            (folder / ".venv" / name).symlink_to(ROOT / ".venv" / name)


def expand(planned: list[Job], versions: dict[str, tuple[str, str, str]]) -> list[Job]:
    """Return every job for every version, ordered by seed so that the runs of a pair are close in time."""
    return [msgspec.structs.replace(job, version=version, policy=policy, path=folder)
            for job in planned for version, policy, folder in versions.values()]


def table(played: list[tuple[Job, dict[str, Any]]], order: list[str]) -> list[dict[str, Any]]:
    """Return one row per version: means, and the paired difference of `in_time` from the first, with its interval."""
    by_version: dict[str, dict[tuple[str, int], dict[str, Any]]] = {}
    for job, result in played:
        by_version.setdefault(job.version, {})[job.params, job.seed] = result
    rows = []
    first = by_version.get(order[0], {})
    for version in order:
        completed = {key: result for key, result in by_version.get(version, {}).items()
                     if result["figures"].get("asked")}
        row: dict[str, Any] = {"version": version, "runs": len(completed),
                               "broken": sum(result["verdict"] != "held"
                                             for result in by_version.get(version, {}).values())}
        for figure in FIGURES:
            values = [result["figures"][figure] for result in completed.values()]
            row[figure] = round(statistics.fmean(values), 4) if values else 0.0
        pairs = [result["figures"]["in_time"] - first[key]["figures"]["in_time"]
                 for key, result in completed.items() if first.get(key, {}).get("figures", {}).get("asked")]
        if pairs and version != order[0]:
            mean, half_width = interval(pairs)
            row["difference"], row["half_width"] = round(mean, 4), round(half_width, 4)
        rows.append(row)
    return rows
