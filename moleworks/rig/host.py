"""Model of a host: processor sharing, a bounded queue, cold starts and collapse under overload.  No I/O, no clock.

Work is measured in nanoseconds on one core of speed 1.  Running requests share the cores evenly, none faster than
one core.  With one slot per core this is an M/M/c queue with `cores` servers, whose waiting times are known.
With more than `thrash_at` requests per core each core loses efficiency, as the site's `thrash` is interpreted here.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from typing import Any, NamedTuple

from .spec import Hosts

SECOND = 1_000_000_000
WARM_UP_STEP_NS = 20_000_000
"""Interval over which the speed of a cold host is taken as constant."""
COLD_BUDGET_SLACK_REQUESTS = 2.0
"""Mean requests that the cold-start budget allows on top, so that random variation alone does not topple a host."""


class Done(NamedTuple):
    """A completed request."""

    job: Any
    ok: bool
    spent_ns: int


class Host:
    """One host.  `now` must never decrease, and `advance` must be called no later than `due`."""

    __slots__ = (
        "_attained_work",
        "_cold_arrivals",
        "_cold_work",
        "_cores",
        "_error_share",
        "_jobs",
        "_max_queue",
        "_now",
        "_pause_at",
        "_paused_until",
        "_queue",
        "_rate",
        "_report",
        "_report_at",
        "_rng",
        "_run_heap",
        "_running",
        "_seq",
        "_service_ns",
        "_slots",
        "_speed",
        "_started_at",
        "draining",
        "fall_multiple",
        "fall_ns",
        "mean_work",
        "slow",
        "spec",
        "toppled",
        "up",
        "warm_at",
    )

    def __init__(self, spec: Hosts, rng: random.Random, now: int, fall_multiple: float = 3.0,
                 fall_ns: int = 1_500_000_000) -> None:
        self.spec = spec
        self._rng = rng
        self._cores = spec.cores
        self._slots = max(1, int(spec.cores * spec.slots_per_core))
        self._max_queue = int(spec.cores * spec.queue_per_core)
        self.fall_multiple, self.fall_ns = fall_multiple, fall_ns
        self.slow = 1.0
        self._error_share = spec.error_rate
        self.toppled = False
        self.mean_work = 50e6
        self._seq = 0
        self.start(now, spec.cold)

    def start(self, now: int, cold: bool = True) -> None:
        """Start the process again; a toppled host stays down."""
        self.up = not self.toppled
        self.draining = False
        self._run_heap: list[tuple[float, int, Any, int]] = []   # (attained work at its end, number, job, start time)
        self._queue: deque[tuple[Any, float, int]] = deque()
        self._jobs: dict[Any, bool] = {}   # all open requests; true: queued
        self._running = 0
        self._attained_work = 0.0          # work attained by each running request since the start
        self._now = now
        self._paused_until = 0
        self._pause_at = now + int(self.spec.pause_every_s * SECOND) if self.spec.pause_every_s else 1 << 62
        self._started_at = now
        self.warm_at = now + int(self.spec.cold_s * SECOND) if cold else now
        self._cold_arrivals: deque[tuple[int, float]] = deque()
        self._cold_work = 0.0
        self._service_ns = 1e6 * 1.0
        self._report = (0.0, 0.0)
        self._report_at = 0
        self._set_rate(now)

    def crash(self, now: int) -> list[Any]:
        """End the process; return the requests that it held."""
        open_jobs = list(self._jobs)
        self.start(now)
        self.up = False
        return open_jobs

    # ---- Speed -------------------------------------------------------------------------------------

    def capacity(self, now: int) -> float:
        """Current capacity in cores of speed 1, for the cold-start budget."""
        warm = 1.0
        if now < self.warm_at:
            done = 1.0 - (self.warm_at - now) / (self.spec.cold_s * SECOND)
            warm = self.spec.cold_from + (1.0 - self.spec.cold_from) * max(0.0, done)
        return self._cores * self.spec.speed * warm

    def _set_rate(self, now: int) -> None:
        """Set the work that each running request attains per nanosecond."""
        running = self._running
        if not running:
            self._rate = 0.0
            return
        speed = self.capacity(now) / self._cores / self.slow
        if self.spec.leak_per_s:
            speed /= 1.0 + self.spec.leak_per_s * (now - self._started_at) / SECOND
        per_core = running / self._cores
        if per_core > self.spec.thrash_at:
            speed /= 1.0 + self.spec.thrash * (per_core - self.spec.thrash_at)
        self._rate = speed if per_core <= 1.0 else speed / per_core

    def due(self) -> int:
        """Time by which `advance` must be called next; `1 << 62` if no request is running."""
        if not self._running:
            return 1 << 62
        at = self._now + int((self._run_heap[0][0] - self._attained_work) / self._rate) + 1
        at = max(at, self._paused_until)
        if self._now < self.warm_at:
            at = min(at, self._now + WARM_UP_STEP_NS)
        return at

    def advance(self, now: int) -> list[Done]:
        """Advance to `now`; return the requests completed since, in order."""
        done: list[Done] = []
        while self._now < now:
            if self._pause_at <= self._now:
                self._paused_until = self._now + int(self.spec.pause_ms * 1e6)
                self._pause_at = self._now + int(self.spec.pause_every_s * SECOND)
            if self._paused_until > self._now:
                self._now = min(now, self._paused_until)
                continue
            if not self._running:
                self._now = min(now, max(self._pause_at, self._now + 1)) if self._pause_at < now else now
                continue
            until = min(now, self._pause_at)
            if self._now < self.warm_at:
                until = min(until, self._now + WARM_UP_STEP_NS)
                self._set_rate(self._now)
            elif self.spec.leak_per_s:
                self._set_rate(self._now)
            end, _, job, started = self._run_heap[0]
            at = self._now + (end - self._attained_work) / self._rate
            if at > until:
                self._attained_work += (until - self._now) * self._rate
                self._now = until
                continue
            self._attained_work = end
            self._now = max(self._now, int(at) + 1)
            heapq.heappop(self._run_heap)
            del self._jobs[job]
            self._running -= 1
            spent = self._now - started
            self._service_ns += 0.1 * (spent - self._service_ns)
            done.append(Done(job, self._rng.random() >= self._error_share, spent))
            self._start_queued()
        return done

    def pause(self, now: int, length_ns: int) -> None:
        """Stop all work for this time."""
        self._paused_until = max(self._paused_until, now + length_ns)

    def set_errors(self, share: float | None) -> None:
        """Set the share of requests that fail; None: as in the specification."""
        self._error_share = self.spec.error_rate if share is None else share

    def set_slow(self, now: int, factor: float) -> None:
        """Make the host slower by this factor from now on."""
        self.slow = factor
        self._set_rate(now)

    # ---- Requests ----------------------------------------------------------------------------------

    def offer(self, now: int, job: Any, work_ns: float) -> bool:
        """Accept a request; false: rejected, though it still counts as cold-start load.  Call `advance(now)` first."""
        self.mean_work += 0.01 * (work_ns - self.mean_work)
        if now < self.warm_at:
            self._count_cold_work(now, work_ns)
        if not self.up or self.draining or self.toppled:
            return False
        if self._running >= self._slots:
            if len(self._queue) >= self._max_queue:
                return False
            self._queue.append((job, work_ns, now))
            self._jobs[job] = True
            return True
        self._begin(now, job, work_ns)
        self._set_rate(now)
        return True

    def _begin(self, now: int, job: Any, work_ns: float) -> None:
        self._seq += 1
        self._running += 1
        self._jobs[job] = False
        heapq.heappush(self._run_heap, (self._attained_work + work_ns, self._seq, job, now))

    def _start_queued(self) -> None:
        """A slot has become free: start the next queued request."""
        if self._queue:
            job, work, _ = self._queue.popleft()
            self._begin(self._now, job, work)
        self._set_rate(self._now)

    def _count_cold_work(self, now: int, work_ns: float) -> None:
        """Count the work sent to a cold host: more than its budget within `fall_ns` topples it, and it stays down."""
        self._cold_arrivals.append((now, work_ns))
        self._cold_work += work_ns
        while self._cold_arrivals[0][0] <= now - self.fall_ns:
            self._cold_work -= self._cold_arrivals.popleft()[1]
        budget = self.fall_multiple * self.capacity(now) * self.fall_ns + COLD_BUDGET_SLACK_REQUESTS * self.mean_work
        if self._cold_work > budget:
            self.toppled = True

    def withdraw(self, job: Any) -> bool:
        """The caller no longer waits: drop the request if it is still queued and the host drops cancelled requests."""
        if self._jobs.get(job) and self.spec.drops_cancelled:
            for item in self._queue:
                if item[0] == job:
                    self._queue.remove(item)
                    break
            del self._jobs[job]
            return True
        return False

    @property
    def held(self) -> int:
        """Number of running and queued requests."""
        return len(self._jobs)

    def report(self, now: int) -> tuple[float, float]:
        """Load report, refreshed every `report_ms`: queued requests and the recent service time in ms."""
        if now >= self._report_at:
            self._report = (float(len(self._queue)), self._service_ns / 1e6)
            self._report_at = now + int(self.spec.report_ms * 1e6)
        return self._report
