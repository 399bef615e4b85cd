"""What clients ask and when, planned ahead from the seed: an open loop that no slow answer holds up."""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Iterator
from typing import NamedTuple

import numpy as np

from .places import Places
from .spec import Class, Experiment

CHUNK_S = 5.0
"""Planned in stretches of so many seconds, so that a long run needs no more memory than a short one."""


class PlannedRequest(NamedTuple):
    """One first try: when, in which zone, of which class, how much work, how long its client waits."""

    at_ns: int
    zone: int
    cls: int
    work_ns: float
    ttl_ns: int
    abandons_after_ns: int   # the client leaves after so long, 0: it stays


def _work(rng: np.random.Generator, item: Class, count: int) -> np.ndarray:
    """Drawn from a lognormal (an exponential where cv is 1) with the class's mean."""
    mean = item.work_ms * 1e6
    if not item.cv:
        return np.full(count, mean)
    if item.cv == 1.0:
        return rng.exponential(mean, count)
    sigma = math.sqrt(math.log(1 + item.cv ** 2))
    return rng.lognormal(math.log(mean) - sigma * sigma / 2, sigma, count)


def planned_requests(experiment: Experiment, places: Places) -> Iterator[PlannedRequest]:
    """Every first try of the run in the order of time."""
    world, load = experiment.world, experiment.load
    rng = np.random.default_rng([experiment.seed, 1])
    shares = np.array([item.share for item in world.classes])
    shares = np.cumsum(shares / shares.sum())
    used = sorted({place.zone for place in places.gateways.values()})
    weights = np.array([(load.zone_weights or [1.0] * len(world.zones))[zone] for zone in used])
    zones = np.cumsum(weights / weights.sum())
    edges = sorted({0.0, experiment.duration_s, *(burst.at_s for burst in load.bursts),
                    *(burst.at_s + burst.for_s for burst in load.bursts)})
    for begin, end in itertools.pairwise(edges):
        if begin >= experiment.duration_s:
            break
        rate = load.rps * math.prod(burst.factor for burst in load.bursts
                                    if burst.at_s <= begin < burst.at_s + burst.for_s)
        at = begin
        while at < min(end, experiment.duration_s):
            stop = min(at + CHUNK_S, end, experiment.duration_s)
            yield from _stretch(rng, experiment, rate, at, stop, shares, zones, used)
            at = stop


def _stretch(rng: np.random.Generator, experiment: Experiment, rate: float, begin: float, end: float,
             shares: np.ndarray, zones: np.ndarray, used: list[int]) -> Iterator[PlannedRequest]:
    """Poisson arrivals of one rate: their number first, then their times in order."""
    world, load = experiment.world, experiment.load
    count = int(rng.poisson(rate * (end - begin)))
    times = np.sort(rng.uniform(begin * 1e9, end * 1e9, count)).astype(np.int64).tolist()
    kinds = np.searchsorted(shares, rng.random(count)).tolist()
    where = np.searchsorted(zones, rng.random(count)).tolist()
    works = [_work(rng, item, count).tolist() for item in world.classes]
    early = rng.random(count).tolist()
    parts = rng.uniform(0.1, 0.9, count).tolist()
    for index in range(count):
        cls = min(kinds[index], len(world.classes) - 1)
        ttl = int(world.classes[cls].deadline_ms * 1e6 * load.try_share)
        leaves = int(ttl * parts[index]) if early[index] < load.impatient else 0
        yield PlannedRequest(times[index], used[min(where[index], len(used) - 1)], cls, works[cls][index], ttl, leaves)


class RetryPolicy:
    """Whether and when a client tries again, by the platform's words on the other side of the gateway."""

    def __init__(self, experiment: Experiment) -> None:
        self._rng = random.Random(f"callers {experiment.seed}")
        self._load = experiment.load
        self._classes = experiment.world.classes
        self._again = [item.effect == "safe" or (item.effect == "keyed" and item.group == "all")
                       for item in self._classes]

    def retry_delay_ns(self, cls: int, tries: int, how: str, retry_after_ns: int, spent_ns: int) -> int:
        """The wait before the next try, ns, or -1 for none.  `how` is refused, failed or unreachable.

        After a failure only what may be repeated is tried again; after a refusal, or where the gateway was
        not reached, everything is.
        """
        load = self._load
        if tries > load.retries or (how == "failed" and not self._again[cls]):
            return -1
        wait = int(load.backoff_ms * 1e6 * self._rng.uniform(0.5, 1.5))
        if retry_after_ns and self._rng.random() < load.honour:
            wait = max(wait, min(retry_after_ns, 2_000_000_000))
        item = self._classes[cls]
        return wait if spent_ns + wait < item.deadline_ms * 1e6 * 0.9 else -1
