"""The journal of a soak run: what hosts, discovery and clients observed, and the rules judged from that alone.

Times are seconds since the start of the run.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf, sqrt

TIME_LIMIT_SLACK_S = 0.05
"""Allowance that the protocol page adds to each time limit where requests travel over sockets."""
LATE_RESPONSE_S = 0.5
"""A response that is late by up to this much has no value; after that the request counts as lost."""
DISCONNECT_SLACK_S = 0.1
"""An attempt that begins later than this after its client has disconnected breaks the rule "gone"."""
DEADLINE_SLACK_S = 0.15
"""The timeout sent to a host may exceed the time that the client has left by this much."""
PROPAGATION_BOUND_S = 6.0
"""A change takes effect at the latest this long after discovery had it and was reachable."""
RELOAD_PROPAGATION_BOUND_S = 4.0
"""The same bound after SIGHUP."""
LATE_AFTER_SIGTERM_S = 0.7
"""A request that arrives later than this after SIGTERM must be answered before SIGKILL."""
WRITE_MATCH_TOLERANCE_S = 0.01
"""Largest difference between the time at which a stalled write is recorded and the time at which a host reads it."""
LOOP_DELAY_S = 0.02
"""Time that a message may take through the test's own event loop."""


@dataclass
class HostChange:
    """A state of a host that discovery has learned."""

    at: float
    generation: int
    host: str
    ready: bool


@dataclass
class ProcessLifetime:
    """One gateway process, from its start to its end."""

    gateway: str
    start: float
    end: float = inf
    ready: float = inf
    term: float = inf
    killed: bool = False   # by SIGKILL without a SIGTERM before
    reloads: list[float] = field(default_factory=list)
    stops: list[tuple[float, float]] = field(default_factory=list)
    written: list[tuple[float, int]] = field(default_factory=list)   # when discovery sent a list, and its generation
    exit_reason: str = ""  # why it ended by itself


@dataclass
class Outage:
    """An interval in which a gateway can't reach discovery (`away`), or in which its open watch is silent."""

    gateway: str
    kind: str
    begin: float
    end: float = inf


@dataclass
class Watch:
    """A watch of a gateway, from the first list that was written to it to the end of its connection."""

    gateway: str
    begin: float
    end: float = inf


@dataclass
class Attempt:
    """A request that reached a host: when its first byte arrived, and its last one (`whole`) if it did."""

    at: float
    gateway: str
    host: str
    request_id: str
    timeout_ms: int = 0
    whole: float = inf
    processed: bool = True


@dataclass
class ClientRequest:
    """A request of a client."""

    at: float
    gateway: str
    request_id: str
    cls: str
    patience: float
    left: float = inf       # the client closed its connection
    answered: float = inf
    status: int = 0
    by: str = ""            # ID of the request to which the response belongs, from its body
    closed: float = inf     # the gateway closed the connection without a complete response
    first: bool = False     # it was the first on its connection


@dataclass(frozen=True)
class RunSettings:
    """The settings of the run on which the rules depend."""

    pushed: bool
    grace: float
    window: float
    unread: bool = False    # new connections may be closed unread, as idle clients use up the descriptors
    cold_share: float = 0.12
    warm_within: float = 24.0
    fall_multiple: float = 3.0
    fall_within: float = 1.5


@dataclass
class HostStart:
    """A start of a host: its capacity, in requests per second, grows from that time on."""

    host: str
    at: float
    capacity: float


class Journal:
    """All observations of one run."""

    def __init__(self, settings: RunSettings) -> None:
        self.settings = settings
        self.changes: list[HostChange] = []
        self.lifetimes: list[ProcessLifetime] = []
        self.outages: list[Outage] = []
        self.watches: list[Watch] = []
        self.attempts: list[Attempt] = []
        self.requests: list[ClientRequest] = []
        self.host_starts: list[HostStart] = []
        self.loop_lags: list[tuple[float, float]] = []   # when the test's own event loop was late, and by how much
        self.stalled_writes: dict[str, list[float]] = {}   # by gateway: writes with a stall since the clock was read

    # ---- Judging -----------------------------------------------------------------------------------------

    def verdict(self) -> dict[str, list[str]]:
        """The violated rules, each with its cases."""
        violations: dict[str, list[str]] = defaultdict(list)
        for rule, cases in (("drain", self._requests_to_draining_hosts()), ("lost", self._lost_requests()),
                            ("gone", self._attempts_after_disconnect()), ("deadline", self._excessive_timeouts()),
                            ("duplicate", self._duplicate_runs()), ("refusal", self._refused_after_processing()),
                            ("failback", self._cold_host_overloads()), ("crash", self._crashes())):
            for case in cases:
                violations[rule].append(case)
        return dict(violations)

    def _observation_delay(self, at: float) -> float:
        """How late an event of this time may have been recorded because the test's own event loop lagged."""
        return LOOP_DELAY_S + max((lag for end, lag in self.loop_lags if end - lag - 0.1 <= at <= end + 0.1),
                                  default=0.0)

    def _lifetime_at(self, gateway: str, at: float) -> ProcessLifetime | None:
        for lifetime in reversed(self.lifetimes):
            if lifetime.gateway == gateway and lifetime.start <= at < lifetime.end:
                return lifetime
        return None

    def reachable(self, gateway: str, since: float) -> float:
        """The earliest time, not before `since`, at which the gateway can reach discovery."""
        moved = True
        while moved:
            moved = False
            for outage in self.outages:
                if outage.gateway == gateway and outage.kind == "away" and outage.begin <= since < outage.end:
                    since, moved = outage.end, True
        return since

    def takes_effect_at(self, lifetime: ProcessLifetime, change: HostChange) -> float:
        """When a change takes effect for a process, whether or not it received it."""
        times = [at for at, generation in lifetime.written if generation >= change.generation and at >= change.at][:1]
        reachable_at = self.reachable(lifetime.gateway, max(change.at, lifetime.start))
        times.append(reachable_at + PROPAGATION_BOUND_S)
        silent = [outage for outage in self.outages if outage.gateway == lifetime.gateway and outage.kind == "silent"
                  and outage.begin <= reachable_at < outage.end]
        if silent:
            times.append(max(reachable_at, silent[0].begin + PROPAGATION_BOUND_S))
        elif self.settings.pushed:
            times.append(reachable_at)
        else:
            times += [max(change.at, at) for at in self._everything_effective_at(lifetime.gateway, change.at)
                      if change.at <= at]
            if (since := self._without_watch_since(lifetime.gateway, change.at)) is not None:
                times.append(max(change.at, self._bound_after(lifetime.gateway, since)))
        times += [max(reachable_at, reload + RELOAD_PROPAGATION_BOUND_S) for reload in lifetime.reloads
                  if reachable_at <= reload + RELOAD_PROPAGATION_BOUND_S]
        return min(times)

    def _bound_after(self, gateway: str, since: float) -> float:
        """`since` plus the propagation bound; the bound starts again if discovery becomes unreachable and returns."""
        since = self.reachable(gateway, since)
        for outage in sorted(self.outages, key=lambda outage: outage.begin):
            if (outage.gateway == gateway and outage.kind == "away"
                    and since <= outage.begin < since + PROPAGATION_BOUND_S):
                since = self.reachable(gateway, outage.begin)
        return since + PROPAGATION_BOUND_S

    def _everything_effective_at(self, gateway: str, by: float) -> list[float]:
        """When all changes that discovery has by then take effect: 6 s after each loss of a watch and each return.

        A watch that has been opened again meanwhile does not alter this: its updates may be queued while its heartbeats
        arrive, and it may end without sending them.
        """
        losses = [watch.end for watch in self.watches if watch.gateway == gateway and watch.end <= by]
        returns = [outage.end for outage in self.outages
                   if outage.gateway == gateway and outage.kind == "away" and outage.end <= by]
        return [self._bound_after(gateway, since) for since in losses + returns]

    def _without_watch_since(self, gateway: str, at: float) -> float | None:
        """Since when a gateway has had no watch at this time, across restarts of its process; None if one is open.

        All changes that discovery has take effect 6 s after that, or after its return, and not 6 s after each change.
        The recorded runs were judged in this way, also for processes that had started meanwhile.
        """
        watches = [watch for watch in self.watches if watch.gateway == gateway and watch.begin <= at]
        if any(at < watch.end for watch in watches):
            return None
        return max((watch.end for watch in watches), default=0.0)

    def _requests_to_draining_hosts(self) -> Iterable[str]:
        effective_at: dict[tuple[int, int], float] = {}
        changes_by_host: dict[str, list[tuple[int, HostChange]]] = defaultdict(list)
        for number, change in enumerate(self.changes):
            changes_by_host[change.host].append((number, change))
        for attempt in self.attempts:
            at_host = [(number, change) for number, change in changes_by_host[attempt.host] if change.at <= attempt.at]
            if not at_host or at_host[-1][1].ready:
                continue
            unavailable: list[tuple[int, HostChange]] = []   # the host's states since it was last ready, newest first
            for entry in reversed(at_host):
                if entry[1].ready:
                    break
                unavailable.append(entry)
            lifetime = self._lifetime_at(attempt.gateway, attempt.at)
            if lifetime is None:
                continue
            number, change = unavailable[-1]
            key = (id(lifetime), number)
            if key not in effective_at:
                effective_at[key] = self.takes_effect_at(lifetime, change)
            delay = attempt.at - effective_at[key] - self.settings.grace
            if delay > TIME_LIMIT_SLACK_S and delay > self._observation_delay(attempt.at):
                yield (f"{attempt.at:.3f} {attempt.request_id} from {attempt.gateway} to {attempt.host}, "
                       f"draining at {change.at:.3f}, effective at {effective_at[key]:.3f}: {delay:.3f} past the grace")

    def _lost_requests(self) -> Iterable[str]:
        reached_host = {attempt.request_id for attempt in self.attempts}
        for request in self.requests:
            lifetime = self._lifetime_at(request.gateway, request.at)
            if lifetime is None or request.answered < inf or request.left < inf:
                if request.answered < inf and request.status == 200 and request.by != request.request_id:
                    yield f"{request.at:.3f} {request.request_id} got the response of {request.by!r}"
                if request.answered == inf or lifetime is None:
                    continue
            due = request.at + request.patience
            for begin, end in lifetime.stops:
                if begin <= due and request.at <= end:
                    due = max(due, end)
            due += LATE_RESPONSE_S + TIME_LIMIT_SLACK_S
            if request.answered < inf:
                if request.answered > due:
                    yield (f"{request.at:.3f} {request.request_id} of {request.gateway} "
                           f"answered {request.answered - due:.3f} too late")
                continue
            if lifetime.end <= due and (lifetime.killed or request.at <= lifetime.term):
                continue
            if request.closed < lifetime.end:
                if self.settings.unread and request.first and request.request_id not in reached_host:
                    continue
                yield (f"{request.at:.3f} {request.request_id} of {request.gateway} "
                       f"closed without a response at {request.closed:.3f}")
            elif due < lifetime.end or (request.at > lifetime.term + LATE_AFTER_SIGTERM_S and lifetime.end < inf):
                yield (f"{request.at:.3f} {request.request_id} of {request.gateway} never answered "
                       f"(SIGTERM {lifetime.term:.3f}, end {lifetime.end:.3f})")

    def _attempts_after_disconnect(self) -> Iterable[str]:
        left = {request.request_id: request.left for request in self.requests if request.left < inf}
        for attempt in self.attempts:
            if attempt.at > (left.get(attempt.request_id, inf) + DISCONNECT_SLACK_S
                             + self._observation_delay(attempt.at)):
                yield (f"{attempt.at:.3f} {attempt.request_id} from {attempt.gateway}: "
                       f"{attempt.at - left[attempt.request_id]:.3f} after its client disconnected")

    def _excessive_timeouts(self) -> Iterable[str]:
        requests = {request.request_id: request for request in self.requests}
        for attempt in self.attempts:
            request = requests.get(attempt.request_id)
            if request is not None and attempt.timeout_ms:
                excess = attempt.timeout_ms / 1000 - (request.at + request.patience - attempt.at)
                if (excess > DEADLINE_SLACK_S + self._observation_delay(request.at)
                        and not self._stalled_before_write(attempt)):
                    yield (f"{attempt.at:.3f} {attempt.request_id} from {attempt.gateway}: "
                           f"timeout exceeds the client's time left by {excess:.3f} "
                           f"({attempt.timeout_ms} ms; sent at {request.at:.4f} with a timeout of {request.patience}; "
                           f"{self._describe_stops(attempt)}, stalled writes at "
                           f"{self.stalled_writes.get(attempt.gateway)})")

    def _stalled_before_write(self, attempt: Attempt) -> bool:
        """Whether the process was stopped between its last read of the clock and this write.

        The slack covers a stop of 0.15 s; no program can detect a longer one between the two.
        """
        return any(abs(attempt.at - at) <= WRITE_MATCH_TOLERANCE_S
                   for at in self.stalled_writes.get(attempt.gateway, ()))

    def _describe_stops(self, attempt: Attempt) -> str:
        lifetime = self._lifetime_at(attempt.gateway, attempt.at)
        stops = [stop for stop in lifetime.stops if abs(stop[1] - attempt.at) < 1.0] if lifetime is not None else []
        return "stopped " + (", ".join(f"from {at:.4f} to {end:.4f}" for at, end in stops) or "never")

    def _duplicate_runs(self) -> Iterable[str]:
        requests = {request.request_id: request for request in self.requests}
        seen: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in self.attempts:
            if attempt.whole < inf:
                seen[attempt.request_id].append(attempt)
        for request_id, attempts in seen.items():
            request = requests.get(request_id)
            if request is None:
                yield f"{attempts[0].at:.3f} {request_id}: no client sent it"
                continue
            processed = [attempt for attempt in attempts if attempt.processed]
            if request.cls == "once" and len(processed) > 1:
                yield f"{processed[1].at:.3f} {request_id}: an unsafe request ran {len(processed)} times"
            if (request.cls == "keyed" and processed
                    and attempts[-1].whole > processed[0].at + self.settings.window + TIME_LIMIT_SLACK_S):
                yield (f"{attempts[-1].whole:.3f} {request_id}: "
                       f"begun {attempts[-1].whole - processed[0].at:.3f} after the first")

    def _refused_after_processing(self) -> Iterable[str]:
        processed = {attempt.request_id for attempt in self.attempts if attempt.processed and attempt.whole < inf}
        for request in self.requests:
            if request.cls == "once" and request.status in (429, 503) and request.request_id in processed:
                yield f"{request.at:.3f} {request.request_id}: refused although a host processed it"

    def _cold_host_overloads(self) -> Iterable[str]:
        settings = self.settings
        for host_start in self.host_starts:
            times = sorted(attempt.at for attempt in self.attempts
                           if attempt.host == host_start.host and attempt.at >= host_start.at)
            first = 0
            for last, at in enumerate(times):
                while times[first] < at - settings.fall_within:
                    first += 1
                age = (at - host_start.at) / settings.warm_within
                if age >= 1.0:
                    break
                warm_share = settings.cold_share + (1.0 - settings.cold_share) * age
                allowed = settings.fall_multiple * warm_share * host_start.capacity * settings.fall_within
                budget = allowed + 2 * sqrt(allowed) + 2 if allowed >= 30 else allowed + 3 * sqrt(allowed) + 3
                if last - first + 1 > budget:
                    yield (f"{at:.3f} {host_start.host}: {last - first + 1} requests in {settings.fall_within} s, "
                           f"{at - host_start.at:.2f} s after its start, {budget:.0f} allowed")
                    break

    def _crashes(self) -> Iterable[str]:
        for lifetime in self.lifetimes:
            if lifetime.exit_reason:
                yield f"{lifetime.end:.3f} {lifetime.gateway}: {lifetime.exit_reason}"

    # ---- Figures -----------------------------------------------------------------------------------------

    def served(self, begin: float, end: float) -> int:
        """The number of requests served in this interval."""
        return sum(begin <= request.answered < end and request.status == 200 for request in self.requests)

    def in_time(self, begin: float, end: float, within: float) -> float:
        """The share of the requests sent in this interval that were served within `within` seconds."""
        requests = [request for request in self.requests if begin <= request.at < end]
        return (sum(request.status == 200 and request.answered - request.at <= within for request in requests)
                / max(1, len(requests)))

    def figures(self) -> dict[str, float]:
        """The counts for a report."""
        statuses = Counter(request.status for request in self.requests)
        return {"asked": len(self.requests), "served": statuses[200], "refused": statuses[503] + statuses[429],
                "failed": statuses[502], "left": sum(request.left < inf for request in self.requests),
                "attempts": len(self.attempts), "held_writes": sum(map(len, self.stalled_writes.values())),
                "lag": round(max((lag for _, lag in self.loop_lags), default=0.0), 3)}
