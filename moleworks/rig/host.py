"""A host's model: cores shared by what is in work, a waiting room, cold starts, a topple.  No I/O, no clock.

Work is nanoseconds on one core of speed 1.  Requests in work share the cores evenly, none faster than one
core; with one slot a core that is a plain queue with `cores` servers, whose waiting times are known (M/M/c).
Past `thrash_at` requests a core each core loses efficiency: our reading of the site's `thrash`.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from typing import Any, NamedTuple

from .spec import Hosts

SECOND = 1_000_000_000
STEP = 20_000_000
"""While a host is cold its speed is taken as steady for so long, ns."""
SLACK_JOBS = 2.0
"""The topple's budget leaves room for so many mean requests: chance alone must not break a host."""


class Done(NamedTuple):
    """A request whose work is over."""

    job: Any
    ok: bool
    spent_ns: int


class Host:
    """One host.  Callers pass a `now` that never goes back, and call `advance` at `due` at the latest."""

    __slots__ = (
        "_blocked",
        "_born",
        "_cores",
        "_errors",
        "_heap",
        "_jobs",
        "_last",
        "_n",
        "_pause_at",
        "_queue_most",
        "_rate",
        "_report",
        "_report_at",
        "_rng",
        "_sent",
        "_sent_sum",
        "_seq",
        "_service",
        "_slots",
        "_speed",
        "_waiting",
        "_work",
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
        self._queue_most = int(spec.cores * spec.queue_per_core)
        self.fall_multiple, self.fall_ns = fall_multiple, fall_ns
        self.slow = 1.0
        self._errors = spec.error_rate
        self.toppled = False
        self.mean_work = 50e6
        self._seq = 0
        self.start(now, spec.cold)

    def start(self, now: int, cold: bool = True) -> None:
        """The process begins anew; a toppled host stays down."""
        self.up = not self.toppled
        self.draining = False
        self._heap: list[tuple[float, int, Any, int]] = []   # attained work at the end, number, job, begun
        self._waiting: deque[tuple[Any, float, int]] = deque()
        self._jobs: dict[Any, bool] = {}   # what is held: true while it waits
        self._n = 0
        self._work = 0.0                   # work attained by each request in work since the start
        self._last = now
        self._blocked = 0
        self._pause_at = now + int(self.spec.pause_every_s * SECOND) if self.spec.pause_every_s else 1 << 62
        self._born = now
        self.warm_at = now + int(self.spec.cold_s * SECOND) if cold else now
        self._sent: deque[tuple[int, float]] = deque()
        self._sent_sum = 0.0
        self._service = 1e6 * 1.0
        self._report = (0.0, 0.0)
        self._report_at = 0
        self._set_rate(now)

    def crash(self, now: int) -> list[Any]:
        """The process ends; returns what it held."""
        held = list(self._jobs)
        self.start(now)
        self.up = False
        return held

    # ---- Speed -------------------------------------------------------------------------------------

    def capacity(self, now: int) -> float:
        """Cores of speed 1 that it is worth now, for the budget of a cold start."""
        warm = 1.0
        if now < self.warm_at:
            done = 1.0 - (self.warm_at - now) / (self.spec.cold_s * SECOND)
            warm = self.spec.cold_from + (1.0 - self.spec.cold_from) * max(0.0, done)
        return self._cores * self.spec.speed * warm

    def _set_rate(self, now: int) -> None:
        """Work a nanosecond for each request in work."""
        n = self._n
        if not n:
            self._rate = 0.0
            return
        speed = self.capacity(now) / self._cores / self.slow
        if self.spec.leak_per_s:
            speed /= 1.0 + self.spec.leak_per_s * (now - self._born) / SECOND
        each = n / self._cores
        if each > self.spec.thrash_at:
            speed /= 1.0 + self.spec.thrash * (each - self.spec.thrash_at)
        self._rate = speed if each <= 1.0 else speed / each

    def due(self) -> int:
        """When `advance` is wanted next; a far time when nothing is in work."""
        if not self._n:
            return 1 << 62
        at = self._last + int((self._heap[0][0] - self._work) / self._rate) + 1
        at = max(at, self._blocked)
        if self._last < self.warm_at:
            at = min(at, self._last + STEP)
        return at

    def advance(self, now: int) -> list[Done]:
        """Let time pass; what has been done since, in order."""
        done: list[Done] = []
        while self._last < now:
            if self._pause_at <= self._last:
                self._blocked = self._last + int(self.spec.pause_ms * 1e6)
                self._pause_at = self._last + int(self.spec.pause_every_s * SECOND)
            if self._blocked > self._last:
                self._last = min(now, self._blocked)
                continue
            if not self._n:
                self._last = min(now, max(self._pause_at, self._last + 1)) if self._pause_at < now else now
                continue
            until = min(now, self._pause_at)
            if self._last < self.warm_at:
                until = min(until, self._last + STEP)
                self._set_rate(self._last)
            elif self.spec.leak_per_s:
                self._set_rate(self._last)
            end, _, job, begun = self._heap[0]
            at = self._last + (end - self._work) / self._rate
            if at > until:
                self._work += (until - self._last) * self._rate
                self._last = until
                continue
            self._work = end
            self._last = max(self._last, int(at) + 1)
            heapq.heappop(self._heap)
            del self._jobs[job]
            self._n -= 1
            spent = self._last - begun
            self._service += 0.1 * (spent - self._service)
            done.append(Done(job, self._rng.random() >= self._errors, spent))
            self._fill()
        return done

    def pause(self, now: int, length_ns: int) -> None:
        """Nothing moves for so long."""
        self._blocked = max(self._blocked, now + length_ns)

    def set_errors(self, share: float | None) -> None:
        """This share of requests fails; None: as the specification says."""
        self._errors = self.spec.error_rate if share is None else share

    def set_slow(self, now: int, factor: float) -> None:
        """So many times slower from now on."""
        self.slow = factor
        self._set_rate(now)

    # ---- Requests ----------------------------------------------------------------------------------

    def offer(self, now: int, job: Any, work_ns: float) -> bool:
        """Take a request in; false: turned away, though its work presses too.  Call `advance(now)` first."""
        self.mean_work += 0.01 * (work_ns - self.mean_work)
        if now < self.warm_at:
            self._press(now, work_ns)
        if not self.up or self.draining or self.toppled:
            return False
        if self._n >= self._slots:
            if len(self._waiting) >= self._queue_most:
                return False
            self._waiting.append((job, work_ns, now))
            self._jobs[job] = True
            return True
        self._begin(now, job, work_ns)
        self._set_rate(now)
        return True

    def _begin(self, now: int, job: Any, work_ns: float) -> None:
        self._seq += 1
        self._n += 1
        self._jobs[job] = False
        heapq.heappush(self._heap, (self._work + work_ns, self._seq, job, now))

    def _fill(self) -> None:
        """A slot is free."""
        if self._waiting:
            job, work, _ = self._waiting.popleft()
            self._begin(self._last, job, work)
        self._set_rate(self._last)

    def _press(self, now: int, work_ns: float) -> None:
        """The budget of a cold host: over it for `fall_ns`, it falls over and stays down."""
        self._sent.append((now, work_ns))
        self._sent_sum += work_ns
        while self._sent[0][0] <= now - self.fall_ns:
            self._sent_sum -= self._sent.popleft()[1]
        budget = self.fall_multiple * self.capacity(now) * self.fall_ns + SLACK_JOBS * self.mean_work
        if self._sent_sum > budget:
            self.toppled = True

    def withdraw(self, job: Any) -> bool:
        """The caller no longer waits: work that still queues is dropped where the host does so."""
        if self._jobs.get(job) and self.spec.drops_cancelled:
            for item in self._waiting:
                if item[0] == job:
                    self._waiting.remove(item)
                    break
            del self._jobs[job]
            return True
        return False

    @property
    def held(self) -> int:
        """Requests in work and waiting."""
        return len(self._jobs)

    def report(self, now: int) -> tuple[float, float]:
        """The load report: requests waiting and the recent service time in ms, refreshed now and then."""
        if now >= self._report_at:
            self._report = (float(len(self._waiting)), self._service / 1e6)
            self._report_at = now + int(self.spec.report_ms * 1e6)
        return self._report
