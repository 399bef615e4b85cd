"""Judges a history of the store (cluster.py), and plays many on all cores."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import msgspec
from msgspec import Struct

from ..linear import TooLong, linearizable, overlapping_holdings, stale_token_writes
from .cluster import Cluster, Settings
from .members import SECOND, Parts

CHUNK = 50


class Verdict(Struct):
    """What came of one seed."""

    seed: int
    broken: list[str] = []
    operations: int = 0
    acknowledged: int = 0
    elections: int = 0
    moves: int = 0
    grants: int = 0
    refused: int = 0
    undecided: int = 0
    entries: int = 0


def judge(seed: int, parts: Parts | None = None, settings: Settings | None = None) -> Verdict:
    """Play one seed and look at it from outside."""
    cluster = Cluster(seed, settings, parts)
    try:
        cluster.run()
    except (AssertionError, LookupError, ValueError) as error:   # a broken part may trip over itself
        cluster.broken.append(f"stumbled: {type(error).__name__}: {error}")
    told = list(dict.fromkeys(cluster.broken))
    undecided = 0
    for key, ops in sorted(cluster.ops.items()):
        try:
            if not linearizable(ops):
                told.append(f"{key} is not linearizable")
        except TooLong:
            undecided += 1
    told += overlapping_holdings(cluster.holdings) + stale_token_writes(cluster.granted, cluster.guarded)
    last = max((op.returned or 0 for ops in cluster.ops.values() for op in ops), default=0)
    if not told and last < cluster.end - SECOND:
        told.append("no answer in the calm at the end")
    return Verdict(seed, told, sum(map(len, cluster.ops.values())), cluster.acknowledged, cluster.elections,
                   cluster.moves, cluster.grants, cluster.refused_tokens, undecided, max(cluster.hashes, default=0))


def _chunk(seeds: list[int]) -> list[Verdict]:
    return [judge(seed) for seed in seeds]


def play(seeds: list[int], workers: int | None = None,
         tell: Callable[[int], None] = lambda _: None) -> tuple[list[Verdict], float]:
    """All of them on so many cores; the verdicts in order, and the seconds it took."""
    begun = time.perf_counter()
    chunks = [seeds[at:at + CHUNK] for at in range(0, len(seeds), CHUNK)]
    found: list[Verdict] = []
    with ProcessPoolExecutor(workers or len(os.sched_getaffinity(0))) as pool:
        for verdicts in pool.map(_chunk, chunks):
            found += verdicts
            tell(len(verdicts))
    return found, time.perf_counter() - begun


def row(verdict: Verdict) -> dict[str, Any]:
    """A verdict as a row of a table."""
    return {**msgspec.to_builtins(verdict), "broken": "; ".join(verdict.broken)}


def hunt_all(most: int, first: int, workers: int | None = None) -> list[dict[str, Any]]:
    """Every known error of mutants.py, one after the other in each process."""
    from .mutants import MUTANTS
    with ProcessPoolExecutor(workers or len(os.sched_getaffinity(0))) as pool:
        found = list(pool.map(_hunt_named, MUTANTS, [most] * len(MUTANTS), [first] * len(MUTANTS)))
    return [{"mutant": name, "histories": count, "seen": seen}
            for name, (count, seen) in zip(MUTANTS, found, strict=True)]


def _hunt_named(name: str, most: int, first: int) -> tuple[int, str]:
    from .mutants import MUTANTS
    return hunt(MUTANTS[name], most, first)


def hunt(parts: Parts, most: int, first: int = 0) -> tuple[int, str]:
    """How many histories it takes to find what is broken in these parts, and what was seen; 0: not found."""
    for seed in range(first, first + most):
        verdict = judge(seed, parts)
        if verdict.broken:
            return seed - first + 1, verdict.broken[0]
    return 0, ""
