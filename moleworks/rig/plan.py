"""The clients' requests, planned ahead from the seed: an open loop that slow responses do not delay."""

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
"""Requests are planned in chunks, so that a long run needs no more memory than a short one."""


class PlannedRequest(NamedTuple):
    """A first try: its time, zone, class and work, and the timeout of its client."""

    at_ns: int
    zone: int
    cls: int
    work_ns: float
    ttl_ns: int
    abandons_after_ns: int   # the client disconnects after this time; 0: it waits


def _draw_work(rng: np.random.Generator, item: Class, count: int) -> np.ndarray:
    """Draw from a lognormal distribution (exponential if cv is 1) with the mean of the class."""
    mean = item.work_ms * 1e6
    if not item.cv:
        return np.full(count, mean)
    if item.cv == 1.0:
        return rng.exponential(mean, count)
    sigma = math.sqrt(math.log(1 + item.cv ** 2))
    return rng.lognormal(math.log(mean) - sigma * sigma / 2, sigma, count)


def planned_requests(experiment: Experiment, places: Places) -> Iterator[PlannedRequest]:
    """Yield every first try of the run in order of time."""
    world, load = experiment.world, experiment.load
    rng = np.random.default_rng([experiment.seed, 1])
    shares = np.array([item.share for item in world.classes])
    shares = np.cumsum(shares / shares.sum())
    zone_indexes = sorted({place.zone for place in places.gateways.values()})
    weights = np.array([(load.zone_weights or [1.0] * len(world.zones))[zone] for zone in zone_indexes])
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
            yield from _poisson_arrivals(rng, experiment, rate, at, stop, shares, zones, zone_indexes)
            at = stop


def _poisson_arrivals(rng: np.random.Generator, experiment: Experiment, rate: float, begin: float, end: float,
                      shares: np.ndarray, zones: np.ndarray, zone_indexes: list[int]) -> Iterator[PlannedRequest]:
    """Poisson arrivals of a constant rate: draws their number first, then their times."""
    world, load = experiment.world, experiment.load
    count = int(rng.poisson(rate * (end - begin)))
    times = np.sort(rng.uniform(begin * 1e9, end * 1e9, count)).astype(np.int64).tolist()
    class_draws = np.searchsorted(shares, rng.random(count)).tolist()
    zone_draws = np.searchsorted(zones, rng.random(count)).tolist()
    work_draws = [_draw_work(rng, item, count).tolist() for item in world.classes]
    abandon_draws = rng.random(count).tolist()
    abandon_shares = rng.uniform(0.1, 0.9, count).tolist()
    for index in range(count):
        cls = min(class_draws[index], len(world.classes) - 1)
        ttl = int(world.classes[cls].deadline_ms * 1e6 * load.try_share)
        abandons_after = int(ttl * abandon_shares[index]) if abandon_draws[index] < load.impatient else 0
        yield PlannedRequest(times[index], zone_indexes[min(zone_draws[index], len(zone_indexes) - 1)], cls,
                             work_draws[cls][index], ttl, abandons_after)


class RetryPolicy:
    """Decides whether and when a client retries, as the platform specifies for clients."""

    def __init__(self, experiment: Experiment) -> None:
        self._rng = random.Random(f"callers {experiment.seed}")
        self._load = experiment.load
        self._classes = experiment.world.classes
        self._retries_failed = [item.effect == "safe" or (item.effect == "keyed" and item.group == "all")
                                for item in self._classes]

    def retry_delay_ns(self, cls: int, tries: int, how: str, retry_after_ns: int, spent_ns: int) -> int:
        """Return the delay before the next try in ns, or -1 for no retry.  `how` is refused, failed or unreachable.

        After a failure only repeatable classes are retried; after a refusal, or if the gateway was unreachable,
        all classes are.
        """
        load = self._load
        if tries > load.retries or (how == "failed" and not self._retries_failed[cls]):
            return -1
        wait = int(load.backoff_ms * 1e6 * self._rng.uniform(0.5, 1.5))
        if retry_after_ns and self._rng.random() < load.honour:
            wait = max(wait, min(retry_after_ns, 2_000_000_000))
        item = self._classes[cls]
        return wait if spent_ns + wait < item.deadline_ms * 1e6 * 0.9 else -1
