"""The decisions of bridgesaddle.  The types, events and actions are defined in api.py: read that first.

Queue-gated retries, after Hong, Huang and Yan, "Impact of Retransmission Mechanism on SIP Overload":
a failed attempt is retried on doubling timers, and each retry is sent only with a probability p, which
falls linearly while the server's smoothed queueing delay q_avg rises from 0.2 T1 to T1.

Order of the file: server list, queueing delay of each server, placement, retry gate, rules (every attempt
passes one method), outcomes of attempts, additions to the paper's method.
"""

from __future__ import annotations

from collections.abc import Sequence
from heapq import heapify, heappop, heappush
from math import ceil, exp, inf, sqrt
from random import Random
from zlib import crc32

from .api import (
    NEVER_RAN,
    NO_EVIDENCE,
    SECOND,
    Actions,
    Effect,
    Group,
    HostEntry,
    HostId,
    HostState,
    ListKind,
    Outcome,
    Settings,
)
from .module_timers import ModuleTimers

# Units: a name that ends in _T1 is a multiple of T1.  "Aim" is the target latency of a request class.

# The retry gate, as in the paper (its equations 18 to 21).
Q_MIN = 0.2          # q_avg below which every retry is sent, in T1
W_Q = 0.1            # weight of one step's delay in q_avg, which depends on time, not on the response rate
STEP_T1 = 0.1        # length of a step in the paper: 50 ms where T1 is 0.5 s
MIN_STEPS = 0.05     # min weight of a sample, in steps: samples in quick succession would hardly count
MAX_STEPS = 10       # max weight of a sample after a long time without any, in steps
MAX_POOL_STEPS = 1.0  # the same for a response in a pool: one slow response of few is chance, not overload
MAX_DOUBLINGS = 6    # how often the paper's timers double

# T1 is well above the typical latency and below the typical time left.
MIN_T1_AIM_SHARE = 0.75  # T1 is at least this share of the aim, so that a retry can still be in time
T1_DEVIATIONS = 3.0  # T1 is at least this many mean deviations above the mean latency
MAX_T1_TIME_LEFT_SHARE = 0.9  # T1 is at most this share of the time left of a request
LATENCY_WEIGHT = 0.05  # weight of a response in the mean latency of its class and in the mean deviation
TYPICAL_WEIGHT = 0.005  # weight w of a response in the typical latency of its class, after 1 / w responses
OVERLOAD_WEIGHT_FACTOR = 0.1  # reduces that weight while the pool is overloaded
OVERLOAD_DELAY_SHARE = 0.5  # share of TARGET_DELAY_T1 above which that weight is reduced

# Placement.
MAX_DRAWS = 6        # max pairs drawn for a first attempt, to find one not ejected and with none in flight
MAX_SCANNED_SERVERS = 8  # other candidates that a gated retry considers: limits the cost of a retry
EJECT_Q_AVG_T1 = 0.6  # q_avg at which p is 0.5: first attempts avoid the server
RATIO_WEIGHT = 0.1   # weight of a response in a server's latency relative to its class
MAX_RATIO = 8.0      # max value of one response in that mean, as a multiple of the mean latency of its class

# Pools: the servers of the own zone and those of the other zones, each pool with its own q_avg.
POOL_T1_NS = SECOND // 2  # the paper's T1, the unit of a pool's delay
SPILL_START_T1 = 0.2  # difference between the delays of near and far pool at which spilling starts
SPILL_RANGE_T1 = 0.2  # further difference at which all requests spill
MAX_POOL_DELAY_T1 = 1.0  # max delay that one response adds to a pool

INITIAL_LIMIT = 1.0  # initial limit of each pool, in requests per server of the gateway's fair share
MIN_LIMIT = 0.1      # min limit of a pool: a few requests still show that an overload is over
MIN_LIMIT_BY_DELAY = 0.5  # min limit by delay alone, for each server of the gateway's fair share
LIMIT_STEP = 0.05    # max growth of a pool's limit per response, in requests: this share of it per round trip
MAX_LIMIT_FALL_STEPS = 8.0  # max fall of the limit at once, in multiples of LIMIT_STEP
TARGET_DELAY_T1 = 0.14  # pool delay at which the limit is stable: below the lower threshold of the gate
MIN_LIMIT_USE = 0.75  # share of the limit that must be in use for the limit to grow
SUBSET_FAIR_SHARES = 3.0  # size of a subset in fair shares: keeps the number of gateways for each server even
MIN_SUBSET_SERVERS = 2  # min size of a subset: a choice of two needs servers to choose from
MAX_WAIT_AIM_SHARE = 0.5  # max share of its aim for which a request waits for capacity
MAX_WAITING_SHARE = 0.5  # max share of the clients' connections that waiting requests may occupy
MAX_ENDED_IN_QUEUE = 32  # ended requests that the queue may hold before it is rebuilt
SHED_PROBE_AIMS = 8  # aims without an attempt of a class, after which a late request is sent anyway
SHED_START_SHARE = 0.05  # share of missed aims, within allowances, at which shedding starts
SHED_ALL_SHARE = 0.25  # share of missed aims at which all of the excess is shed
BURST_S = 2          # seconds of its allowance that a tenant may use at once
BURST_REQUESTS = 4   # added to the burst, for random arrivals at a gateway with a request every few seconds
GOLDEN_RATIO = 0.6180339887498949  # fractional part; spreads any number of gateways evenly over a ring

# Health.
EVIDENCE_HOLD_T1 = 1.0  # time before q_avg decays; doubles with each consecutive failure
MAX_HOLD_DOUBLINGS = 4  # limits that time to 16 T1, so that a server that has recovered is used again
DECAY_TIME_T1 = 2.0  # time constant of the decay of q_avg without samples
FAILURE_WEIGHT = 0.2  # weight of an outcome in a server's failure share
MAX_FAILURE_SHARE = 0.15  # failure share above which first attempts avoid a server: one recent failure
ERROR_DELAY_T1 = 2.0  # delay that an error counts as: fast errors must outweigh fast responses between them

# Cold servers.
COLD_BUDGET_SHARE = 0.5  # share of a cold server's budget that is used: clients and zones are uneven
SERVED_RATE_TIME_S = 2.0  # time constant of the rate of responses
WARM_COUNT_VALID_NS = SECOND // 10  # how long a count of warm servers is used

# Discovery: shares of the setting ask_within_ns.
FIRST_CALL_JITTER = 0.25  # the first call is made at a random time within this, so that gateways do not queue
MAX_BACKOFF = 0.2    # max backoff delay, before jitter of 50 %; PROPAGATION_BOUND_NS is 0.6 of the default
FIRST_BACKOFF = 0.1  # first backoff delay, before jitter


class _Estimate:
    """The smoothed queueing delay of a server or of a pool of servers."""

    __slots__ = ("consecutive_failures", "failure_share", "q_avg", "q_updated_at")

    def __init__(self) -> None:
        self.q_avg = 0.0
        self.q_updated_at = 0
        self.consecutive_failures = 0
        self.failure_share = 0.0


class _Pool(_Estimate):
    """The servers of the own or the other zones that are drawn from; `inflight` counts all attempts there."""

    __slots__ = ("inflight", "limit", "servers")

    def __init__(self) -> None:
        super().__init__()
        self.servers: list[_Server] = []
        self.inflight = 0
        self.limit = 0.0   # set when the first list is received


class _Server(_Estimate):
    """What this gateway knows of one server."""

    __slots__ = ("cell", "cold_at", "cold_credit", "cold_from", "cold_until", "host", "inflight", "latency",
                 "latency_ratio", "outstanding", "state", "weight", "zone")

    def __init__(self, entry: HostEntry) -> None:
        self.host = entry.host
        self.zone = entry.zone
        self.cell = entry.cell
        self.weight = 1.0
        self.state = HostState.GONE
        self.cold_from = 0
        self.inflight = 0
        self.reset()

    def reset(self) -> None:
        """Discard the estimates: those of the process before a restart do not apply to the new one."""
        _Estimate.__init__(self)
        self.latency_ratio = 1.0
        self.latency = 0.0
        self.outstanding = 0.0
        self.cold_until = 0
        self.cold_at = 0
        self.cold_credit = 0.0


class _Class:
    """The rules of a request class and what this gateway has observed of it."""

    __slots__ = ("aim", "aim_stretch", "deviation", "effect", "group", "late_worth", "mean", "missed_share",
                 "request_count", "samples", "sent_at", "stream", "typical", "window", "worth")

    def __init__(self, effect: Effect, group: Group, window: int, aim: int, stream: bool,
                 worth: float, late_worth: float, aim_stretch: float) -> None:
        self.effect = effect
        self.group = group
        self.window = window
        self.aim = aim
        self.aim_stretch = aim_stretch
        self.stream = stream
        self.worth = worth
        self.late_worth = late_worth
        self.missed_share = 0.0   # share of requests that miss their aim, smoothed
        self.request_count = 0
        self.mean = 0.0           # latency per unit of the hint: mean, mean deviation and typical value
        self.deviation = 0.0
        self.typical = 0.0
        self.samples = 1
        self.sent_at = 0

    def copy_statistics(self, other: _Class) -> None:
        """Take over what was observed of the class with this name under older settings, not its rules."""
        self.missed_share, self.request_count, self.sent_at = (
            other.missed_share, other.request_count, other.sent_at)
        self.mean, self.deviation, self.typical, self.samples = (
            other.mean, other.deviation, other.typical, other.samples)


class _Tenant:
    """A tenant's credit: this gateway's part of its allowance."""

    __slots__ = ("credit", "max_credit", "rate", "updated_at")

    def __init__(self, rate: float) -> None:
        self.rate = rate                        # requests per second
        self.max_credit = self.credit = BURST_S * rate + BURST_REQUESTS
        self.updated_at = 0


class _Request:
    """A request of a client that has had no final response yet."""

    __slots__ = ("aim", "anchor", "anchor_at", "arrived_at", "attempts", "base_t1", "cls", "deadline", "done",
                 "doublings", "due", "hint", "in_flight", "last", "max_attempts", "over_allowance",
                 "response_started_at", "rid", "sent_at", "streaming", "t1", "tenant", "waiting")

    def __init__(self, rid: int, cls: _Class, arrived_at: int, ttl: int, hint: int, tenant: _Tenant | None,
                 max_attempts: int) -> None:
        self.rid = rid
        self.max_attempts = max_attempts   # by the settings at its arrival
        self.cls = cls
        self.aim = cls.aim + int(cls.aim_stretch * hint)
        self.start_clock(arrived_at, ttl)
        self.response_started_at = 0   # of a streamed response
        self.hint = hint
        self.tenant = tenant
        self.over_allowance = False
        self.t1 = 0
        self.base_t1 = 0    # T1 before it is limited by the time left
        self.attempts = 0
        self.doublings = 0  # of the retry timer
        self.due = 0        # time of the next retry, or when waiting for capacity ends
        self.sent_at = 0
        self.last: _Server | None = None
        self.anchor: _Server | None = None   # server of the first attempt that may have run
        self.anchor_at = 0
        self.in_flight: set[int] = set()   # numbers of the attempts in flight
        self.streaming = False
        self.waiting = False
        self.done = False

    def start_clock(self, arrived_at: int, ttl: int) -> None:
        """Set the arrival time and the deadline."""
        self.arrived_at = arrived_at
        # Where a response after the aim has no worth, work after the aim is wasted: the aim is the deadline.
        self.deadline = arrived_at + (ttl if self.cls.late_worth or self.cls.stream else min(ttl, self.aim))

    def expected_latency(self, deviations: float) -> float:
        """Mean latency with this hint plus a multiple of the deviation, ns; 0 before the first response."""
        return (self.cls.mean + deviations * self.cls.deviation) * (self.hint or 1)


class _Attempt:
    """An attempt in flight.  It outlives its request, as its outcome is still evidence on its server."""

    __slots__ = ("number", "overdue", "pool", "request", "server", "uncounted")

    def __init__(self, request: _Request, number: int, server: _Server, pool: _Pool) -> None:
        self.request = request
        self.number = number
        self.server = server
        self.pool = pool
        self.overdue = False
        self.uncounted = False   # does not count against the pool's limit


class Balancer:
    """The decisions of one gateway: implements the `Decisions` of api.py."""

    def __init__(self, settings: Settings, salt: int, actions: Actions) -> None:
        self._actions = actions
        self._random = Random(salt).random
        self._now = 0
        self._timers: ModuleTimers[_Request | _Attempt] = ModuleTimers(actions)
        self._attempts: dict[tuple[int, int], _Attempt] = {}
        self._requests: dict[int, _Request] = {}
        self._classes: list[_Class] = []
        self._tenants: list[_Tenant | None] = []
        self._servers: dict[HostId, _Server] = {}
        self._remote: list[_Server] = []
        self._cells: dict[int, list[_Server]] = {}
        self._near = _Pool()
        self._far = _Pool()
        self._waiting: list[tuple[float, int, _Request]] = []   # a heap, the most valuable work first
        self._waiting_count = 0   # entries of the heap that are still waiting
        self._watching = False
        self._list_valid = True   # hosts may be chosen from the list
        self._discovery_backoff = 0.0
        self._served_rate = 0.0   # this gateway's responses per second and warm server, smoothed
        self._served_rate_at = 0
        self._fair_share = 1.0    # servers for each gateway
        self._typical_latency = 0.0   # of all classes, smoothed
        self._warm_count = 1.0
        self._warm_count_until = 0
        self._missed_share = 0.0  # share of requests within allowances that miss their aim, smoothed
        self._apply_settings(settings, {}, {})

    def _apply_settings(self, settings: Settings, classes: dict[str, _Class],
                        tenants: dict[str, _Tenant | None]) -> None:
        """Apply settings; classes and tenants that stay under their name keep what was observed of them."""
        self._settings = settings
        self._classes = []
        for config in settings.classes:
            cls = _Class(config.effect, config.group, config.window_ns, config.aim_ns, config.stream,
                         config.worth, config.late_worth, config.aim_stretch)
            if config.name in classes:   # a new object: open requests keep the rules of their arrival
                cls.copy_statistics(classes[config.name])
            self._classes.append(cls)
        self._tenants = []
        for tenant in settings.tenants:
            rate = tenant.quota_per_s / settings.replicas
            known = tenants.get(tenant.name)
            self._tenants.append(known if known is not None and known.rate == rate
                                 else _Tenant(rate) if rate else None)
        self._ready: list[list[_Server]] = [[] for _ in range(settings.zones)]
        self._gateways_per_server = [1.0] * settings.zones   # by zone
        # Factor of the square root of a gateway's number in flight: that root less its part of the fleet's.
        self._chance_factor = 1.0 - 1.0 / sqrt(settings.replicas)
        self._report_index = {name: index for index, name in enumerate(settings.report_fields)}

    def on_settings(self, now_ns: int, settings: Settings) -> None:
        """New settings, for requests from now on; what is known of the servers is kept."""
        now = self._advance_clock(now_ns)
        old, asked_before = self._settings, self._settings.ask_discovery
        self._apply_settings(
            settings, {config.name: cls for config, cls in zip(old.classes, self._classes, strict=True)},
            {config.name: tenant for config, tenant in zip(old.tenants, self._tenants, strict=True)})
        self._rebuild_lists()
        if settings.ask_discovery and not asked_before and not self._watching:
            self._schedule_discovery_call(now)
        self._send_waiting(now)

    # ---- 1. Server list and calls to discovery -----------------------------------------------------

    def on_list(self, now_ns: int, kind: ListKind, entries: Sequence[HostEntry]) -> None:
        """A list, an update or the failure of a call to discovery."""
        now = self._advance_clock(now_ns)
        if kind is ListKind.FAILED:
            self._watching = False
            self._schedule_discovery_call(now)
            return
        is_full = kind is not ListKind.DELTA
        listed_hosts = set()
        for entry in entries:
            self._update_server(entry, now)
            if is_full:
                listed_hosts.add(entry.host)
        if is_full:
            for server in self._servers.values():
                if server.host not in listed_hosts:
                    server.state = HostState.GONE
        # Keeps memory bounded: the servers of each release have other names than those that they replace.
        self._servers = {host: server for host, server in self._servers.items()
                         if server.state is not HostState.GONE}
        self._rebuild_lists()
        self._send_waiting(now)
        if kind is ListKind.CACHED:
            if self._settings.ask_discovery:
                jitter = FIRST_CALL_JITTER * self._settings.rules.ask_within_ns
                self._timers.set(None, int(self._random() * jitter))
        else:
            self._watching = True
            self._discovery_backoff = 0.0

    def on_lease(self, now_ns: int, valid: bool) -> None:
        """Whether hosts may be chosen from the list; else requests wait as for capacity, or are refused."""
        now = self._advance_clock(now_ns)
        self._list_valid = valid
        self._send_waiting(now)

    def _update_server(self, entry: HostEntry, now: int) -> None:
        server = self._servers.get(entry.host)
        if server is None:
            server = self._servers[entry.host] = _Server(entry)
        server.state = entry.state
        server.zone = entry.zone
        server.cell = entry.cell
        server.weight = entry.weight if entry.weight > 0 else 1.0
        if entry.started_ns and entry.started_ns != server.cold_from:
            server.reset()
            server.cold_from = entry.started_ns
            server.cold_until = entry.started_ns + self._settings.rules.warm_within_ns
            server.cold_at, server.cold_credit = now, self._random()

    def _rebuild_lists(self) -> None:
        """Rebuild the lists that placement draws from: at new lists and settings, never at a request."""
        for pool in self._ready:
            pool.clear()
        self._remote.clear()
        self._cells.clear()
        for server in self._servers.values():
            if server.zone >= len(self._ready):
                continue
            if server.state is HostState.READY:
                self._ready[server.zone].append(server)
                self._cells.setdefault(server.cell, []).append(server)
                if server.zone != self._settings.zone:
                    self._remote.append(server)
        self._warm_count_until = 0
        self._count_gateways()
        near = self._ready[self._settings.zone]
        fair = self._fair_share = (len(near) + len(self._remote)) / self._settings.replicas
        for side, servers in ((self._near, near), (self._far, self._remote)):
            side.servers = self._subset(servers, fair)
            # A limit starts at the share, or below one at twice it, up to one: hundreds of gateways with one
            # request each would overload a small fleet.  Not set by an empty list: it would stay minimal.
            if servers and not side.limit:
                side.limit = max(MIN_LIMIT, INITIAL_LIMIT * max(fair, min(2 * fair, 1.0)))

    def _count_gateways(self) -> None:
        """Gateways that send to a server of each zone, if gateways are spread evenly over the zones."""
        total = sum(len(ready) for ready in self._ready)
        gateways_per_zone = self._settings.replicas / self._settings.zones
        size = self._subset_size(total / self._settings.replicas)
        near = [min(1.0, size / max(1, len(ready))) for ready in self._ready]
        far = [min(1.0, size / max(1, total - len(ready))) for ready in self._ready]
        self._gateways_per_server = [gateways_per_zone * (near[zone] + sum(far) - far[zone])
                                     for zone in range(len(near))]

    def _schedule_discovery_call(self, now: int) -> None:
        """Call again after a backoff delay that doubles, with jitter so that gateways do not call in step."""
        if not self._settings.ask_discovery:
            return
        within = self._settings.rules.ask_within_ns
        self._discovery_backoff = min(max(2 * self._discovery_backoff, FIRST_BACKOFF * within),
                                      MAX_BACKOFF * within)
        self._timers.set(None, int(self._discovery_backoff * (0.5 + self._random())))

    def _call_discovery(self) -> None:
        if not self._watching:
            self._actions.watch(True)

    # ---- 2. Queueing delay of each server ----------------------------------------------------------

    def _q_avg(self, server: _Estimate, t1: int, now: int) -> float:
        """The current q_avg: it is constant for a while, then decays to zero.  Computed when it is read."""
        if not server.q_avg:
            return 0.0
        # At least the paper's T1: otherwise short requests forget failures that long ones have observed.
        t1 = max(t1, POOL_T1_NS)
        idle = now - server.q_updated_at - EVIDENCE_HOLD_T1 * t1 * (
            1 << min(server.consecutive_failures, MAX_HOLD_DOUBLINGS))
        return server.q_avg if idle <= 0 else server.q_avg * exp(-idle / (DECAY_TIME_T1 * t1))

    def _observe(self, server: _Estimate, delay: float, t1: int, now: int, failed: bool,
                 max_steps: float = MAX_STEPS) -> None:
        """q_avg <- (1 - w) q_avg + w q, where w applies W_Q once for each step since the last sample."""
        q = self._q_avg(server, t1, now)
        steps = min(max(MIN_STEPS, (now - server.q_updated_at) / (STEP_T1 * t1)), max_steps)
        server.q_avg = q + (1.0 - (1.0 - W_Q) ** steps) * (delay - q)
        server.q_updated_at = now
        server.consecutive_failures = server.consecutive_failures + 1 if failed else 0
        server.failure_share += FAILURE_WEIGHT * (failed - server.failure_share)

    def _record(self, server: _Server, delay: float, request: _Request, now: int, failed: bool,
                full: bool = False, queued: bool = True) -> None:
        """Record a delay for the server, and for its pool if the delay shows queueing."""
        self._observe(server, delay, request.t1, now, failed)
        if not queued:
            return
        pool = self._pool_of(server)
        # Relative to the class's T1: by one that a client's timeout cuts, any response looks like overload.
        share = max(-MAX_POOL_DELAY_T1, min(delay / request.base_t1, MAX_POOL_DELAY_T1))
        self._observe(pool, share * POOL_T1_NS, POOL_T1_NS, now, failed,
                      MAX_STEPS if failed else MAX_POOL_STEPS)
        self._adapt_limit(pool, full, now)

    def _pool_of(self, server: _Server) -> _Pool:
        return self._near if server.zone == self._settings.zone else self._far

    def _on_success(self, request: _Request, server: _Server, spent: int, load: Sequence[float],
                    now: int) -> None:
        cls = request.cls
        unit = request.hint or 1
        sample = spent / unit
        if not cls.mean:
            cls.mean, cls.deviation, cls.typical = sample, sample / 2, sample
        else:
            error = sample - cls.mean
            cls.mean += LATENCY_WEIGHT * error
            cls.deviation += LATENCY_WEIGHT * (abs(error) - cls.deviation)
            cls.samples += 1
            weight = max(TYPICAL_WEIGHT, 1.0 / cls.samples)
            # The latency under overload must not become typical; limits are stable at TARGET_DELAY_T1, so
            # overload starts below that.  The weight is reduced for fast and slow responses alike: otherwise
            # the fast ones alone would count and all others would look late.
            if self._q_avg(self._pool_of(server), POOL_T1_NS, now) > (
                    OVERLOAD_DELAY_SHARE * TARGET_DELAY_T1 * POOL_T1_NS):
                weight *= OVERLOAD_WEIGHT_FACTOR
            cls.typical += weight * (sample - cls.typical)
        server.latency_ratio += RATIO_WEIGHT * (min(sample / cls.mean, MAX_RATIO) - server.latency_ratio)
        delay = self._reported_delay(server, spent, load)
        if delay <= 0:
            # An empty queue says little of a server that works on many requests concurrently: the queue is
            # empty until all slots are taken, and by then each request is slow.  Not limited to zero: work
            # varies as much as delay does, so that only the mean over both signs shows no delay.
            delay = (sample - cls.typical) * unit
        self._record(server, delay, request, now, failed=False)

    def _reported_delay(self, server: _Server, spent: int, load: Sequence[float]) -> float:
        """The queueing delay by a load report, in ns; negative where the report does not contain it."""
        index = self._report_index
        if not load or len(load) < len(index) or inf in load:
            return -1.0
        server.latency += RATIO_WEIGHT * (spent - server.latency) if server.latency else spent
        if "inflight" not in index:
            has_both = "queue" in index and "service_ms" in index
            return load[index["queue"]] * load[index["service_ms"]] * 1e6 if has_both else -1.0
        inflight = load[index["inflight"]]
        server.outstanding += (
            RATIO_WEIGHT * (inflight - server.outstanding) if server.outstanding else inflight)
        if "queue" in index:
            # The service rate by Little's law: requests in the server, over the time that each takes.
            return load[index["queue"]] * server.latency / max(1.0, server.outstanding)
        if "service_ms" in index:
            return inflight * load[index["service_ms"]] * 1e6
        return -1.0

    # ---- 3. Placement -----------------------------------------------------------------------------

    def on_request(self, now_ns: int, rid: int, cls: int, tenant: int, key: int, ttl_ns: int,
                   hint_ns: int, repeat: bool, write: bool = False) -> None:
        """A request of a client has arrived."""
        now = self._advance_clock(now_ns)
        if not 0 <= cls < len(self._classes):
            raise ValueError(f"cls {cls} is not one of the {len(self._classes)} classes")
        if tenant and not 0 <= tenant < len(self._settings.tenants):
            raise ValueError(f"tenant {tenant} is not one of the {len(self._settings.tenants)} tenants")
        if rid in self._requests:
            raise ValueError(f"rid {rid} is already held")
        request = _Request(rid, self._classes[cls], now, ttl_ns, hint_ns,
                           self._tenants[tenant] if self._tenants else None,
                           self._settings.limits.max_attempts)
        request.t1 = self._t1(request)
        request.over_allowance = self._exceeds_allowance(request, now)
        self._requests[rid] = request
        request.cls.request_count += 1
        self._send_waiting(now)
        self._timers.set(request, request.deadline - now - self._settings.tick_ns)   # final response
        too_late = self._sheds(request, now)
        # A new request does not overtake those that wait.
        server = None if too_late or self._waiting_count else self._choose_server(request, now)
        if too_late or (server is None and request.over_allowance):
            self._end(request, now)
        elif server is None:
            self._enqueue(request, now)
        else:
            self._send(request, server, now)

    def _choose_server(self, request: _Request, now: int) -> _Server | None:
        """The server of a first attempt, of the near pool or else the far pool; far first while it spills."""
        if not self._list_valid:
            return None
        near, far = self._near, self._far
        pools = (far, near) if self._spills(now) else (near, far)
        for pool in pools[:1] if request.over_allowance else pools:
            if request.over_allowance and self._random() >= self._excess_p(pool, now):
                continue
            if pool.servers and self._has_capacity(pool):
                server = self._best_of_pairs(request, pool.servers, now, MAX_DRAWS)
                # Nothing is sent to a failing server: full or silent servers would never recover while the
                # gateways whose subset has no others keep sending to them.  After a fault of all servers this
                # can cost time: q_avg decays later with each consecutive failure.
                if server is not None and not self._ejected(server, request.t1, now):
                    return server
        return None

    def _best_of_pairs(self, request: _Request, pool: list[_Server], now: int, draws: int) -> _Server | None:
        """The best server of up to `draws` random pairs; stops at one not ejected and with none in flight."""
        best: _Server | None = None
        best_key: tuple[bool, float] | None = None
        size = len(pool)
        for _ in range(draws if size else 0):
            first = int(self._random() * size)
            second = int(self._random() * (size - 1)) if size > 1 else first
            if second >= first and size > 1:
                second += 1
            for server in (pool[first], pool[second]):
                if server is request.last or not self._may_send(request, server, now):
                    continue
                if server.cold_until > now and not self._drawn_while_cold(server, now):
                    continue
                # Fewest requests of this gateway in flight, relative to the configured weight and the
                # latency: of two idle servers the faster one is better, and the latency shows an overloaded
                # large one.
                load = (server.inflight + 1) * server.latency_ratio / server.weight
                key = (self._ejected(server, request.t1, now), load)
                if best_key is None or key < best_key:
                    best, best_key = server, key
            if best is not None and best_key is not None and not best_key[0] and not best.inflight:
                break
        return best

    # ---- 4. Retry gate, retry timer, T1 ------------------------------------------------------------

    def _t1(self, request: _Request) -> int:
        left = MAX_T1_TIME_LEFT_SHARE * (request.deadline - request.arrived_at)
        request.base_t1 = self._base_t1(request.expected_latency(T1_DEVIATIONS), request.aim)
        return max(self._settings.tick_ns, min(request.base_t1, int(left)))

    def _base_t1(self, expected_latency: float, aim: int) -> int:
        """T1 without a limit by the time left.  The aim is its floor, as a few fast responses say little."""
        return max(self._settings.tick_ns, int(max(expected_latency, MIN_T1_AIM_SHARE * aim)))

    def _p(self, server: _Estimate, t1: int, now: int) -> float:
        """The paper's retransmission probability."""
        return min(max((t1 - self._q_avg(server, t1, now)) / (t1 - Q_MIN * t1), 0.0), 1.0)

    def _gate_closed(self, request: _Request, server: _Server, now: int) -> bool:
        return (not self._has_capacity(self._pool_of(server))
                or self._random() >= self._p(server, request.t1, now))

    def _retry(self, request: _Request, now: int) -> None:
        """Send a retry to a server whose gate lets it pass, or wait for another retry interval."""
        pool = self._retry_candidates(request)
        first = self._best_of_pairs(request, pool, now, 1)
        if first is not None and not self._gate_closed(request, first, now):
            self._send(request, first, now)
            return
        size = len(pool)
        start = int(self._random() * size)
        for step in range(min(size, MAX_SCANNED_SERVERS)):
            server = pool[(start + step) % size]
            if server is first or server is request.last or server.cold_until > now:
                continue
            if self._may_send(request, server, now) and not self._gate_closed(request, server, now):
                self._send(request, server, now)
                return
        if self._remote and self._spills(now):
            server_far = self._best_of_pairs(request, self._far.servers, now, 1)
            if server_far is not None and not self._gate_closed(request, server_far, now):
                self._send(request, server_far, now)
                return
        self._wait_retry_interval(request, now)

    def _wait_retry_interval(self, request: _Request, now: int) -> None:
        """Wait for the retry interval, or end the request where its time left is shorter."""
        interval = request.t1 << min(request.doublings, MAX_DOUBLINGS)
        request.doublings += 1
        self._retry_at(request, now + interval, now)

    def _retry_at(self, request: _Request, due: int, now: int) -> None:
        if due >= request.deadline - self._settings.tick_ns or request.attempts >= request.max_attempts \
                or self._repeat_forbidden(request, now):
            self._end(request, now)
            return
        request.due = due
        if due <= now:
            self._retry(request, now)
        else:
            self._timers.set(request, due - now)

    def _attempt_timeout(self, request: _Request, now: int) -> int:
        """The timeout of an attempt: the doubling timer where a retry can follow, else 0: the time left."""
        left = request.deadline - now
        timer = request.t1 << min(request.doublings, MAX_DOUBLINGS)
        cls = request.cls
        # A retry that by the mean latency cannot be in time does the same work twice: servers that are slow
        # but healthy would get more work.  `_on_overdue` still notices silent servers.  This can cost
        # responses where servers are silent and a late response has a high worth.
        to_aim = request.arrived_at + request.aim - now
        if (cls.effect is Effect.UNSAFE or cls.stream or 2 * timer > left
                or timer + request.expected_latency(0.0) > to_aim
                or request.attempts >= request.max_attempts):
            return 0
        if cls.effect is Effect.KEYED and now + timer >= (request.anchor_at or now) + cls.window:
            return 0
        return timer

    # ---- 5. Rules: every attempt, refusal and failure passes through these methods -------------------

    def _may_send(self, request: _Request, server: _Server, now: int) -> bool:
        """Whether the rules (see `Rules`) allow an attempt of this request at this server now."""
        if request.done or request.streaming or server.state is not HostState.READY or not self._list_valid:
            return False
        if (request.attempts >= request.max_attempts or now >= request.deadline
                or self._repeat_forbidden(request, now)):
            return False
        if request.in_flight and not self._settings.limits.allows_concurrent_attempts:
            return False
        anchor, cls = request.anchor, request.cls
        if anchor is not None and cls.effect is Effect.KEYED:
            if cls.group is not Group.ALL and server.zone != anchor.zone:
                return False
            if cls.group is Group.CELL and server.cell != anchor.cell:
                return False
        return server.cold_until <= now or self._has_cold_credit(server, now)

    def _repeat_forbidden(self, request: _Request, now: int) -> bool:
        """Whether no host may get another attempt, so that waiting would only delay the same end."""
        cls = request.cls
        if request.anchor is None or cls.effect is Effect.SAFE:
            return False
        return cls.effect is Effect.UNSAFE or now >= self._window_end(request)

    def _window_end(self, request: _Request) -> int:
        """When the last attempt of a keyed request that may have run must have reached its host."""
        return request.anchor_at + request.cls.window - self._settings.tick_ns

    def _write_within(self, request: _Request, now: int) -> int:
        """Time within which a repeat of a keyed request that may have run must be written; 0 for no limit.

        Otherwise a connection that is established late could start the attempt after the window.
        """
        if request.anchor_at == now or request.anchor is None or request.cls.effect is not Effect.KEYED:
            return 0
        return self._window_end(request) - now

    def _may_refuse(self, request: _Request) -> bool:
        """Whether the client may be told that a retry is harmless."""
        cls = request.cls
        if cls.effect is Effect.SAFE or request.anchor is None:
            return True
        return cls.effect is Effect.KEYED and cls.group is Group.ALL

    def _send(self, request: _Request, server: _Server, now: int) -> None:
        if not self._may_send(request, server, now):
            self._end(request, now)
            return
        number = request.attempts
        request.attempts += 1
        request.in_flight.add(number)
        pool = self._pool_of(server)
        attempt = self._attempts[request.rid, number] = _Attempt(request, number, server, pool)
        request.last = server
        request.sent_at = request.cls.sent_at = now
        if request.anchor is None:
            request.anchor, request.anchor_at = server, now
        server.inflight += 1
        pool.inflight += 1
        if not number and request.tenant is not None and not request.over_allowance:
            request.tenant.credit -= 1.0
        if server.cold_until > now:
            server.cold_credit -= 1.0
        timer = self._attempt_timeout(request, now)
        self._actions.send(request.rid, server.host, timer or request.deadline - now,
                           self._write_within(request, now))
        if not timer and request.deadline - now > request.t1:
            self._timers.set(attempt, request.t1)

    def _end(self, request: _Request, now: int, harmless: bool = True) -> None:
        """Give the final response, once."""
        if request.done or request.streaming:
            return
        self._close(request)
        if self._settings.limits.cancel:
            for number in request.in_flight:
                self._actions.cancel(request.rid, number)
        if harmless and self._may_refuse(request):
            self._actions.refuse(request.rid, request.t1 if self._settings.limits.retry_after else 0)
        else:
            self._actions.fail(request.rid)

    def _close(self, request: _Request, missed: bool = True) -> None:
        request.done = True
        request.cls.missed_share += LATENCY_WEIGHT * (missed - request.cls.missed_share)
        if not request.over_allowance:
            self._missed_share += LATENCY_WEIGHT * (missed - self._missed_share)
        self._dequeue(request)
        self._requests.pop(request.rid, None)
        self._timers.drop(request)

    # ---- 6. Outcomes of attempts --------------------------------------------------------------------

    def on_response_started(self, now_ns: int, rid: int, attempt: int) -> None:
        """A streamed response has started: its host has done the work, however slowly the client reads."""
        now = self._advance_clock(now_ns)
        request = self._requests.get(rid)
        if request is not None and attempt in request.in_flight:
            request.streaming = True
            request.response_started_at = now
            self._set_counted(self._attempts[rid, attempt], False)
            self._send_waiting(now)

    def on_body_streaming(self, now_ns: int, rid: int, attempt: int) -> None:
        """A long body is streamed to this attempt, the last; its host starts when the body is complete."""
        now = self._advance_clock(now_ns)
        request = self._requests.get(rid)
        if request is not None and attempt in request.in_flight:
            request.streaming = True
            request.max_attempts = request.attempts
            self._set_counted(self._attempts[rid, attempt], False)
            self._send_waiting(now)

    def on_body_complete(self, now_ns: int, rid: int, ttl_ns: int) -> None:
        """A long body is complete: from now on an ordinary request, except that it has no more attempts."""
        now = self._advance_clock(now_ns)
        request = self._requests.get(rid)
        if request is None or request.response_started_at:
            return
        request.streaming = False
        request.start_clock(now, ttl_ns)
        if request.in_flight:
            request.sent_at = request.anchor_at = now
        self._timers.set(request, request.deadline - now - self._settings.tick_ns)
        for number in request.in_flight:
            attempt = self._attempts[rid, number]
            self._set_counted(attempt, True)
            if request.deadline - now > request.t1:
                self._timers.set(attempt, request.t1)

    def _set_counted(self, attempt: _Attempt, counted: bool) -> None:
        """Set whether an attempt counts against its pool's limit: not while its host only streams a body."""
        if attempt.uncounted is counted:
            attempt.uncounted = not counted
            attempt.pool.inflight += 1 if counted else -1

    def on_outcome(self, now_ns: int, rid: int, attempt: int, host: HostId, outcome: Outcome,
                   spent_ns: int, request_ended: bool, load: Sequence[float]) -> None:
        """An attempt has ended."""
        now = self._advance_clock(now_ns)
        ended = self._attempts.pop((rid, attempt), None)
        if ended is None:
            return
        self._timers.drop(ended)
        ended.server.inflight -= 1
        self._set_counted(ended, False)
        ended.request.in_flight.discard(attempt)
        self._on_attempt_end(ended, outcome, spent_ns, request_ended, load, now)
        self._send_waiting(now)

    def _on_attempt_end(self, attempt: _Attempt, outcome: Outcome, spent_ns: int, request_ended: bool,
                        load: Sequence[float], now: int) -> None:
        request, server = attempt.request, attempt.server
        silence = min(request.t1, request.expected_latency(1.0)) if request.cls.mean else request.t1
        if outcome is Outcome.CANCELLED and spent_ns >= silence and not request.streaming:
            # The client disconnected or the time ran out, but the server was silent.  Without this, a failing
            # server is not noticed by requests that waited for capacity or arrived with less time than T1.
            outcome = Outcome.TIMEOUT
        if outcome is Outcome.OK:
            self._update_served_rate(now)
            self._on_success(request, server, spent_ns, load, now)
            typical = request.cls.typical * (request.hint or 1)
            self._typical_latency += (
                LATENCY_WEIGHT * (typical - self._typical_latency) if self._typical_latency else typical)
        elif outcome not in NO_EVIDENCE and not attempt.overdue:
            self._on_failure(request, server, outcome, spent_ns, now)
        if request_ended:
            at = request.response_started_at or now   # a streamed response counts by its start
            self._close(request, outcome is not Outcome.OK or at > request.arrived_at + request.aim)
        if request.done:
            return
        if outcome is Outcome.REJECTED:
            self._end(request, now, harmless=False)
            return
        if outcome in NEVER_RAN and not request.in_flight and request.anchor is server \
                and request.anchor_at == request.sent_at:
            request.anchor = None
        if request.in_flight:
            return
        request.streaming = False   # the streamed body is lost with this attempt: the end follows
        interval = request.t1 << min(request.doublings, MAX_DOUBLINGS)
        request.doublings += 1
        self._retry_at(request, request.sent_at + interval, now)

    def _on_failure(self, request: _Request, server: _Server, outcome: Outcome, spent: int,
                    now: int) -> None:
        t1 = request.t1
        if outcome is Outcome.TIMEOUT:
            delay = float(max(spent, t1))
        elif outcome is Outcome.ERROR or outcome is Outcome.RESET:
            delay = ERROR_DELAY_T1 * t1
        else:
            delay = float(t1)
        full = outcome is Outcome.FULL
        # A failed response or connection counts against its server but shows no queueing: the pool's limit
        # would fall in front of idle servers if each reset counted as one T1 of delay.
        self._record(server, delay, request, now, failed=True, full=full,
                     queued=full or outcome is Outcome.TIMEOUT)

    def on_client_disconnected(self, now_ns: int, rid: int) -> None:
        """The client has disconnected."""
        self._advance_clock(now_ns)
        request = self._requests.get(rid)
        if request is not None:
            self._close(request)
            if self._settings.limits.cancel:
                for number in request.in_flight:
                    self._actions.cancel(rid, number)

    def on_timer(self, now_ns: int, token: int) -> None:
        """A timer has expired: discovery call, attempt overdue, retry, end of waiting, or deadline."""
        now = self._advance_clock(now_ns)
        if token not in self._timers:
            return
        target = self._timers.take(token)
        if target is None:
            self._call_discovery()
        elif isinstance(target, _Attempt):
            self._on_overdue(target, now)
        elif target.done or target.streaming:
            return
        elif now >= target.deadline - self._settings.tick_ns or (target.waiting and now >= target.due):
            self._end(target, now)
        elif not target.in_flight and not target.waiting and now >= target.due:
            self._retry(target, now)

    def on_probe_result(self, now_ns: int, host: HostId, outcome: Outcome, spent_ns: int,
                        load: Sequence[float]) -> None:
        """A probe has ended."""
        self._advance_clock(now_ns)

    def on_peer_message(self, now_ns: int, peer: int, content: bytes) -> None:
        """Another gateway has sent a message; none is used."""
        self._advance_clock(now_ns)

    def members_unavailable(self, now_ns: int) -> int:
        """Listed servers that first attempts of all classes avoid now: they drain or fail too often."""
        now = max(now_ns, self._now)
        max_t1 = max([POOL_T1_NS, *(self._base_t1(cls.mean + T1_DEVIATIONS * cls.deviation, cls.aim)
                               for cls in self._classes)])
        return sum(server.state is not HostState.READY or self._ejected(server, max_t1, now)
                   for server in self._servers.values())

    def _advance_clock(self, now_ns: int) -> int:
        """The current time, which never goes back, even if the clock of the caller does."""
        if now_ns > self._now:
            self._now = now_ns
        return self._now

    # ---- 7. Additions to the paper's method --------------------------------------------------------

    def _adapt_limit(self, pool: _Pool, full: bool, now: int) -> None:
        """Adapt the limit in flight: stable where the pool's delay is TARGET_DELAY_T1, grows only while used.

        It keeps servers from accepting more than they can serve.  An outcome FULL counts by itself: it
        arrives so fast that the smoothed delay hardly changes.  Delay alone lowers the limit only to a
        floor: behind a slow shared dependency every response is late at any limit.
        """
        change = 1.0 - self._q_avg(pool, POOL_T1_NS, now) / (TARGET_DELAY_T1 * POOL_T1_NS)
        change = -MAX_LIMIT_FALL_STEPS if full else max(-MAX_LIMIT_FALL_STEPS, change)
        if change < 0 or pool.inflight + 1 >= MIN_LIMIT_USE * pool.limit:
            step = LIMIT_STEP * (min(change, 1.0) if change > 0 else change * min(pool.limit, 1.0))
            floor = MIN_LIMIT if full else min(
                pool.limit, max(MIN_LIMIT, MIN_LIMIT_BY_DELAY * self._fair_share))
            pool.limit = max(floor, pool.limit + step)

    def _has_capacity(self, pool: _Pool) -> bool:
        """Whether the limit leaves capacity; the fraction of a limit is a probability.

        The number in flight varies by its square root (below one, the square is allowed for, which is less).
        Without this, gateways with limits of one or two would let requests wait at random while the fleet has
        capacity, as others have less than their share.
        """
        allowance = self._chance_factor * min(pool.limit * pool.limit, sqrt(pool.limit))
        return pool.inflight + self._random() < pool.limit + allowance

    def _enqueue(self, request: _Request, now: int) -> None:
        """Let a request wait for capacity, while it can be in time; the highest worth per work goes first."""
        cls = request.cls
        time_left = min(request.aim, request.deadline - request.arrived_at)
        request.due = request.arrived_at + int(MAX_WAIT_AIM_SHARE * time_left)
        work = max(cls.typical * (request.hint or 1), 1.0)
        heappush(self._waiting, (
            -(cls.worth if self._settings.worth_by_work else self._marginal_worth(cls) * SECOND / work),
            request.rid, request))
        request.waiting = True
        self._waiting_count += 1
        if len(self._waiting) > 2 * self._waiting_count + MAX_ENDED_IN_QUEUE:   # removes ended requests
            self._waiting = [entry for entry in self._waiting if entry[2].waiting]
            heapify(self._waiting)
        self._timers.set(request, request.due - now)
        # Leaves clients connections for new requests: they would otherwise all be taken by waiting ones.
        max_waiting = MAX_WAITING_SHARE * (self._settings.limits.max_client_requests or inf)
        while self._waiting_count > max_waiting:
            self._end(max(entry for entry in self._waiting if entry[2].waiting)[2], now)

    def _marginal_worth(self, cls: _Class) -> float:
        """The worth that a response in time adds to the configured goal; the worst class weighs more."""
        goal = self._settings.goal
        missed = [other.missed_share for other in self._classes]
        difference = max(missed) - min(missed)
        if not difference or not goal.worst_class:
            return cls.worth
        worst = ((cls.missed_share - min(missed)) / difference) ** 2
        total = sum(other.request_count * other.worth for other in self._classes)
        return ((goal.whole + goal.worst_window) * cls.worth
                + goal.worst_class * worst * total / cls.request_count)

    def _dequeue(self, request: _Request) -> None:
        if request.waiting:
            request.waiting = False
            self._waiting_count -= 1

    def _send_waiting(self, now: int) -> None:
        """Send waiting requests while there is capacity."""
        queue = self._waiting
        while queue:
            request = queue[0][2]
            if not request.waiting:
                heappop(queue)
                continue
            too_late = self._sheds(request, now)
            server = None if too_late else self._choose_server(request, now)
            if server is None and not too_late:
                return
            heappop(queue)
            self._dequeue(request)
            if server is None:
                self._end(request, now)
            else:
                self._send(request, server, now)

    def _subset(self, servers: list[_Server], fair: float) -> list[_Server]:
        """Subsetting: a gateway uses a few fair shares of the servers: its own counts then say more."""
        size = self._subset_size(fair)
        if size >= len(servers):
            return list(servers)
        ring = sorted(servers, key=lambda server: (crc32(repr(server.host).encode()), repr(server.host)))
        start = int((self._settings.replica_index * GOLDEN_RATIO) % 1.0 * len(ring))
        return [ring[(start + step) % len(ring)] for step in range(size)]

    @staticmethod
    def _subset_size(fair: float) -> int:
        return max(MIN_SUBSET_SERVERS, ceil(SUBSET_FAIR_SHARES * fair))

    def _retry_candidates(self, request: _Request) -> list[_Server]:
        """Servers for a retry: the near pool, or the group that drops repeats of what may have run."""
        anchor, cls = request.anchor, request.cls
        if anchor is None or cls.effect is not Effect.KEYED or cls.group is Group.ALL:
            return self._near.servers
        if cls.group is Group.CELL:
            return self._cells.get(anchor.cell, [])
        # There may be fewer zones since new settings.
        return self._ready[anchor.zone] if anchor.zone < len(self._ready) else []

    def _on_overdue(self, attempt: _Attempt, now: int) -> None:
        """An attempt without a timeout before the deadline has taken longer than T1: count it as a failure.

        Without this, a silent server keeps getting requests that may not be retried.  The attempt no longer
        counts as load, as this failure alone puts the share above MAX_FAILURE_SHARE: otherwise a few silent
        servers would use up a small limit.
        """
        if attempt.number in attempt.request.in_flight and not attempt.request.streaming:
            t1 = attempt.request.t1
            self._observe(attempt.server, t1, t1, now, failed=True)
            attempt.overdue = True
            if attempt.server.failure_share > MAX_FAILURE_SHARE:
                self._set_counted(attempt, False)
                self._send_waiting(now)

    def _sheds(self, request: _Request, now: int) -> bool:
        """Load shedding: the time left to the aim or deadline is less than even a fast response takes.

        Requests that arrive with little time left, or have waited, would cost work for nothing and delay
        others; the same goes for a class that a slow fleet cannot serve in time.  The limit is one mean
        deviation below the mean, which spares classes with long tails.  Such a request is shed with the
        probability `_shedding_level`.  As latency is only known from what is sent, one request is sent every
        SHED_PROBE_AIMS: otherwise a recovery after overload would not be noticed.
        """
        cls = request.cls
        if now - cls.sent_at > SHED_PROBE_AIMS * cls.aim or self._random() >= self._shedding_level():
            return False
        return min(request.deadline, request.arrived_at + request.aim) - now < request.expected_latency(-1.0)

    def _exceeds_allowance(self, request: _Request, now: int) -> bool:
        """Fairness: whether a request exceeds this gateway's part of its tenant's allowance.

        It limits a tenant that sends too much or whose clients retry too often: its excess has little worth,
        passes only a gate that is closed where the limits are stable, and is refused rather than queued.  The
        part is the allowance divided by the number of gateways.  If some of those fail, the others count too
        much as excess, which matters only while the pool is busy.
        """
        tenant = request.tenant
        if tenant is None or self._settings.over_share_worth >= 1.0:
            return False
        credit = tenant.credit + tenant.rate * (now - tenant.updated_at) / SECOND
        tenant.credit, tenant.updated_at = min(credit, tenant.max_credit), now
        return tenant.credit < 1.0

    def _excess_p(self, pool: _Pool, now: int) -> float:
        """Probability for excess: falls with the pool's delay and with missed aims within allowances."""
        return min(1.0 - self._shedding_level(),
                   1.0 - self._q_avg(pool, POOL_T1_NS, now) / (TARGET_DELAY_T1 * POOL_T1_NS))

    def _shedding_level(self) -> float:
        """Probability of shedding late requests and excess: 0 while requests are in time, 1 if many miss."""
        return min(max(
            (self._missed_share - SHED_START_SHARE) / (SHED_ALL_SHARE - SHED_START_SHARE), 0.0), 1.0)

    def _spills(self, now: int) -> bool:
        """Spill to other zones: near q_avg exceeds far by SPILL_START_T1 and a random part of the range.

        The condition "every candidate above T1" would come too late: with few responses from each server, no
        single q_avg gets there before the zone has long been full.
        """
        excess = self._q_avg(self._near, POOL_T1_NS, now) - max(0.0, self._q_avg(self._far, POOL_T1_NS, now))
        return (SPILL_START_T1 + self._random() * SPILL_RANGE_T1) * POOL_T1_NS < excess

    def _ejected(self, server: _Server, t1: int, now: int) -> bool:
        """Outlier ejection: first attempts avoid a server that fails and would get less than half of retries.

        Delay alone does not eject: long work delays healthy servers too, and avoiding them overloads the
        rest.
        """
        return server.failure_share > MAX_FAILURE_SHARE and self._q_avg(server, t1, now) > EJECT_Q_AVG_T1 * t1

    def _warmth(self, server: _Server, now: int) -> float:
        """The share of its capacity that a server has at least during slow start."""
        rules = self._settings.rules
        age = max(0, now - server.cold_from) / rules.warm_within_ns
        return min(1.0, rules.cold_share + (1.0 - rules.cold_share) * age)

    def _drawn_while_cold(self, server: _Server, now: int) -> bool:
        """Slow start: a cold server is drawn with a probability of its warmth.

        This needs no rate and no number of gateways: each sends that share of what it would send otherwise.
        """
        return self._random() < self._warmth(server, now)

    def _has_cold_credit(self, server: _Server, now: int) -> bool:
        """The credit for a cold server grows at this gateway's part of the server's budget (see `Rules`).

        The random initial credit keeps many gateways from each sending one request at once.  The credit is at
        most 1, which limits the rate at all times, on average also below one request per `fall_ns`.
        """
        rules, replicas = self._settings.rules, self._settings.replicas
        gateways = max(1.0, self._gateways_per_server[server.zone])
        # A server serves at least one request at a time, and about as much as each warm one.  The typical
        # values are used, not those under overload: where most servers of a fleet are replaced at once, the
        # low rate would limit the cold ones and so keep the rate low.
        one_at_a_time = SECOND / self._typical_latency if self._typical_latency else 0.0
        rate = max(self._served_rate * replicas, one_at_a_time)
        pace = COLD_BUDGET_SHARE * rules.fall_multiple * self._warmth(server, now) * rate / gateways
        server.cold_credit = min(server.cold_credit + pace * (now - server.cold_at) / SECOND, 1.0)
        server.cold_at = now
        return server.cold_credit >= 1.0

    def _warm_equivalents(self, now: int) -> float:
        """Capacity of the ready servers in warm servers; kept for WARM_COUNT_VALID_NS or until a new list."""
        if now >= self._warm_count_until:
            self._warm_count_until = now + WARM_COUNT_VALID_NS
            self._warm_count = max(1.0, sum(self._warmth(server, now) if server.cold_until > now else 1.0
                                            for ready in self._ready for server in ready))
        return self._warm_count

    def _update_served_rate(self, now: int) -> None:
        since = (now - self._served_rate_at) / SECOND
        self._served_rate_at = now
        self._served_rate = (self._served_rate * exp(-since / SERVED_RATE_TIME_S)
                             + 1.0 / (SERVED_RATE_TIME_S * self._warm_equivalents(now)))
