"""Checks a history of the store (cluster.py), and plays many histories in parallel processes."""

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

SEEDS_PER_TASK = 50


class Verdict(Struct):
    """The result of one seed."""

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
    """Play one seed and check what its clients and members have observed."""
    cluster = Cluster(seed, settings, parts)
    try:
        cluster.run()
    except (AssertionError, LookupError, ValueError) as error:   # a faulty part may raise
        cluster.broken.append(f"raised {type(error).__name__}: {error}")
    violations = list(dict.fromkeys(cluster.broken))
    undecided = 0
    for key, ops in sorted(cluster.ops.items()):
        try:
            if not linearizable(ops):
                violations.append(f"{key} is not linearizable")
        except TooLong:
            undecided += 1
    violations += overlapping_holdings(cluster.holdings) \
        + stale_token_writes(cluster.granted_tokens, cluster.guarded_writes)
    last = max((op.returned or 0 for ops in cluster.ops.values() for op in ops), default=0)
    if not violations and last < cluster.end - SECOND:
        violations.append("no result in the phase without faults at the end")
    return Verdict(seed, violations, sum(map(len, cluster.ops.values())), cluster.acknowledged, cluster.elections,
                   cluster.reconfigurations, cluster.grants, cluster.refused_tokens, undecided,
                   max(cluster.state_hashes, default=0))


def _chunk(seeds: list[int]) -> list[Verdict]:
    return [judge(seed) for seed in seeds]


def play(seeds: list[int], workers: int | None = None,
         on_progress: Callable[[int], None] = lambda _: None) -> tuple[list[Verdict], float]:
    """Play all seeds in `workers` processes (None: one per core); returns the verdicts in order and the seconds."""
    started_at = time.perf_counter()
    chunks = [seeds[start:start + SEEDS_PER_TASK] for start in range(0, len(seeds), SEEDS_PER_TASK)]
    results: list[Verdict] = []
    with ProcessPoolExecutor(workers or len(os.sched_getaffinity(0))) as pool:
        for verdicts in pool.map(_chunk, chunks):
            results += verdicts
            on_progress(len(verdicts))
    return results, time.perf_counter() - started_at


def row(verdict: Verdict) -> dict[str, Any]:
    """A verdict as a row of the result table."""
    return {**msgspec.to_builtins(verdict), "broken": "; ".join(verdict.broken)}


def hunt_all(max_histories: int, first_seed: int, workers: int | None = None) -> list[dict[str, Any]]:
    """Search histories for every known error of mutants.py, one error at a time in each process."""
    from .mutants import MUTANTS
    with ProcessPoolExecutor(workers or len(os.sched_getaffinity(0))) as pool:
        results = list(pool.map(_hunt_named, MUTANTS, [max_histories] * len(MUTANTS), [first_seed] * len(MUTANTS)))
    return [{"mutant": name, "histories": count, "seen": seen}
            for name, (count, seen) in zip(MUTANTS, results, strict=True)]


def _hunt_named(name: str, max_histories: int, first_seed: int) -> tuple[int, str]:
    from .mutants import MUTANTS
    return hunt(MUTANTS[name], max_histories, first_seed)


def hunt(parts: Parts, max_histories: int, first_seed: int = 0) -> tuple[int, str]:
    """The number of histories until the error in these parts is found, and its violation; 0: not found."""
    for seed in range(first_seed, first_seed + max_histories):
        verdict = judge(seed, parts)
        if verdict.broken:
            return seed - first_seed + 1, verdict.broken[0]
    return 0, ""
