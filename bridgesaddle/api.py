"""The interface of the decision module: its settings, the events it handles, the actions it requests.

A caller creates `Settings`, implements `Actions` for its gateway and passes every event to a `Decisions`;
decide.py has the only implementation, `Balancer`.  The module never reads a clock: each event carries
`now_ns`, in nanoseconds.
"""

from __future__ import annotations

from collections.abc import Hashable, Sequence
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import NamedTuple, Protocol

HostId = Hashable
"""The identity of a host, which decide.py calls a server.  Opaque: the module only compares it and passes it back."""

MS = 1_000_000
"""Nanoseconds in a millisecond."""
SECOND = 1_000_000_000
"""Nanoseconds in a second."""


class Effect(Enum):
    """Whether a request that may have run may be sent again: SAFE always, KEYED within its group and window."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which servers recognize and drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt or a probe ended.

    FULL: the host rejected it unprocessed.  CONNECT_FAILED: it did not run, as there was no connection for it or it
    ended before its last byte was written.  RESET: after the request was written, the connection was lost or the
    response was malformed.  CANCELLED: the gateway stopped waiting for it.  MOOT: it did not run, for a reason that is
    not the host's.
    """

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"
    REJECTED = "rejected"
    """The host has found the request itself invalid: no evidence against the host, and no other would accept it."""


NEVER_RAN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT))
"""Outcomes which prove that the attempt did not run on the server."""
NO_EVIDENCE = frozenset((Outcome.CANCELLED, Outcome.MOOT, Outcome.REJECTED))
"""Outcomes that are no evidence against the server."""


class HostState(IntEnum):
    """The state of a server in discovery."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """The kind of a discovery event.

    DELTA: an update with the changed entries.  FULL: a full list.  CACHED: the list that the gateway starts with, also
    a full list.  A host that is missing from a full list is GONE.  FAILED: a call to discovery has failed.
    """

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class HostEntry(NamedTuple):
    """One entry of the server list.  `started_ns` is 0 where the last start is long past."""

    host: HostId
    zone: int
    kind: int
    cell: int
    state: HostState
    weight: float = 1.0
    started_ns: int = 0


def _require_positive(owner: str, **values: float) -> None:
    for name, value in values.items():
        if not value > 0:
            raise ValueError(f"{owner}.{name} must be above zero, not {value!r}")


def _require_not_negative(owner: str, **values: float) -> None:
    for name, value in values.items():
        if not value >= 0:
            raise ValueError(f"{owner}.{name} must not be negative, not {value!r}")


def _require_share(owner: str, **values: float) -> None:
    for name, value in values.items():
        if not 0 <= value <= 1:
            raise ValueError(f"{owner}.{name} must lie between 0 and 1, not {value!r}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A request class: its worth, target latency (`aim_ns`) and deadline, and whether it may be sent again.

    The hosts of `group` drop repeats of a keyed request for `window_ns` after its first attempt that may have run.
    `late_worth` is the share of its worth that a response after the aim has.  `stream`: responses are streamed.
    """

    name: str
    aim_ns: int
    deadline_ns: int
    effect: Effect
    group: Group = Group.ALL
    window_ns: int = 0
    worth: float = 1.0
    late_worth: float = 0.0
    stream: bool = False
    aim_stretch: float = 0.0
    """The aim grows by this multiple of a request's work (its hint), up to the deadline."""

    def __post_init__(self) -> None:
        _require_positive(f"class {self.name!r}", aim_ns=self.aim_ns, deadline_ns=self.deadline_ns)
        _require_not_negative(f"class {self.name!r}", worth=self.worth, late_worth=self.late_worth,
                              aim_stretch=self.aim_stretch)
        if self.effect is Effect.KEYED:
            _require_positive(f"class {self.name!r}", window_ns=self.window_ns)


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its allowance: the requests per second, over all gateways, that have full worth.

    `Balancer` does not read `share`.
    """

    name: str
    quota_per_s: float = 0.0
    share: float = 0.0

    def __post_init__(self) -> None:
        _require_not_negative(f"tenant {self.name!r}", quota_per_s=self.quota_per_s, share=self.share)


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment allows or supports.

    wire.py has other defaults: what the received settings do not name (as `cancel` and `allows_concurrent_attempts`)
    is not supported.  `Balancer` reads only `max_attempts`, `cancel`, `allows_concurrent_attempts`, `retry_after` and
    `max_client_requests`.
    """

    max_attempts: int = 3
    cancel: bool = True
    allows_concurrent_attempts: bool = True
    probes: bool = False
    peers: bool = False
    retry_after: bool = False
    max_retry_after_ns: int = 0
    connect_timeout_ns: int = 250 * MS
    conn_idle_ns: int = 0        # hosts close idle connections after this; 0: not configured
    streams_per_conn: int = 1
    max_open_requests: int = 0    # the gateway rejects requests beyond this before the module sees them
    max_client_requests: int = 0  # open requests that the clients' connections allow, set by the gateway; 0: no limit
    cpu_us_per_s: float = 0.0    # 0: not configured
    cpu_us_per_request: float = 0.0

    def __post_init__(self) -> None:
        _require_positive("limits", max_attempts=self.max_attempts, streams_per_conn=self.streams_per_conn)
        _require_not_negative("limits", max_retry_after_ns=self.max_retry_after_ns, conn_idle_ns=self.conn_idle_ns,
                              connect_timeout_ns=self.connect_timeout_ns, max_open_requests=self.max_open_requests,
                              max_client_requests=self.max_client_requests, cpu_us_per_s=self.cpu_us_per_s,
                              cpu_us_per_request=self.cpu_us_per_request)


@dataclass(frozen=True, slots=True)
class Rules:
    """The parameters of the four rules.

    Every request gets one final response by its deadline, at most `answer_slack_ns` late.  Hosts are chosen only from a
    valid list: a change is followed within `drain_grace_ns`, and discovery is called within `ask_within_ns`.  A request
    that may have run is sent again only where its `Effect` allows that.  A cold host, whose capacity grows from
    `cold_share` to 1 in `warm_within_ns`, gets at most `fall_multiple` times its capacity in any `fall_ns`: more may
    make it fail.  `Balancer` does not read `fall_ns`, as it limits the rate at all times.
    """

    answer_slack_ns: int = 5 * MS
    drain_grace_ns: int = SECOND
    ask_within_ns: int = 10 * SECOND
    cold_share: float = 0.33
    warm_within_ns: int = 10 * SECOND
    fall_multiple: float = 3.0
    fall_ns: int = SECOND

    def __post_init__(self) -> None:
        _require_share("rules", cold_share=self.cold_share)
        _require_positive("rules", ask_within_ns=self.ask_within_ns, fall_multiple=self.fall_multiple,
                          fall_ns=self.fall_ns, cold_share=self.cold_share)


@dataclass(frozen=True, slots=True)
class Goal:
    """The weights of the parts of the operator's objective; all 0 where none is configured.

    `Balancer` reads only `whole`, `worst_window` and `worst_class`.
    """

    whole: float = 0.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0
    nines: float = 0.0
    top_nines: float = 3.0

    def __post_init__(self) -> None:
        _require_not_negative("goal", whole=self.whole, worst_window=self.worst_window, nines=self.nines,
                              worst_class=self.worst_class, worst_tenant=self.worst_tenant)
        _require_positive("goal", top_nines=self.top_nines)


@dataclass(frozen=True, slots=True)
class Prices:
    """Costs in the operator's objective, in mean worths; 0 where none is configured.  `Balancer` does not read them."""

    cross_zone: float = 0.0   # an attempt that crosses zones
    waste: float = 0.0        # work without a served response, as a share of all work
    probe: float = 0.0        # a probe
    handshake: float = 0.0    # a new connection
    connection: float = 0.0   # a hundred open connections per server
    late_fail: float = 0.0    # a request that ends unserved after its aim

    def __post_init__(self) -> None:
        _require_not_negative("prices", cross_zone=self.cross_zone, waste=self.waste, probe=self.probe,
                              handshake=self.handshake, connection=self.connection, late_fail=self.late_fail)


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a balancer.

    `Balancer` does not read `prices`, `report_inline`, `warm_keys`, `weights`, `kinds` and `marks_retry`.
    """

    zone: int
    zones: int
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    prices: Prices = field(default_factory=Prices)
    goal: Goal = field(default_factory=Goal)
    replica_index: int = 0   # the number of this gateway
    replicas: int = 1        # the number of gateways
    tick_ns: int = MS        # decisions keep this margin before each deadline and end of a window; the shortest T1
    ask_discovery: bool = False
    report_fields: tuple[str, ...] = ()   # the names of the numbers in a load report, in their order
    report_inline: bool = False
    over_share_worth: float = 1.0   # from 1 on, requests beyond a tenant's allowance are treated as all others
    warm_keys: bool = False
    worth_by_work: bool = False     # the worth of a class is per unit of work, not per request
    weights: str = "off"
    """What a host's weight means: "off" (always 1), "nominal", "rough" or "live".  `Balancer` uses each entry's
    weight, whatever this says."""
    kinds: int = 0
    marks_retry: bool = False

    def __post_init__(self) -> None:
        if self.weights not in ("off", "nominal", "rough", "live"):
            raise ValueError(f"settings.weights must be off, nominal, rough or live, not {self.weights!r}")
        _require_not_negative("settings", replica_index=self.replica_index, over_share_worth=self.over_share_worth)
        _require_positive("settings", zones=self.zones, replicas=self.replicas, tick_ns=self.tick_ns)
        if not 0 <= self.zone < self.zones:
            raise ValueError(f"settings.zone {self.zone} is not one of {self.zones} zones")
        if not self.classes:
            raise ValueError("settings.classes must name at least one class")


class Actions(Protocol):
    """What a balancer may request from its gateway.  Calls take effect in the order in which they are made."""

    def send(self, rid: int, host: HostId, timeout_ns: int, write_within_ns: int = 0) -> None:
        """Start an attempt; the attempts of a request are numbered from 0.  Timeout 0: until the deadline.

        Its last byte must be written within `write_within_ns`, or the attempt must not run; 0: within its timeout.
        """

    def fail(self, rid: int) -> None:
        """Final response: failed; the request may or may not have taken effect."""

    def refuse(self, rid: int, retry_after_ns: int) -> None:
        """Final response: refused, a retry is harmless.  0: no advice when to retry."""

    def cancel(self, rid: int, attempt: int) -> None:
        """Stop waiting for an attempt in flight."""

    def wake(self, token: int, after_ns: int) -> None:
        """Request a call of `on_timer(token)` after this time."""

    def cancel_wake(self, token: int) -> None:
        """The call of `on_timer(token)` is not needed any more; it may still be made."""

    def watch(self, active: bool) -> None:
        """Subscribe to updates of the server list, or end the subscription."""

    def fetch(self) -> None:
        """Request the full server list once."""

    def probe(self, host: HostId) -> None:
        """Probe a server."""

    def close(self, host: HostId) -> None:
        """Close the idle connections to a server."""

    def send_peer_message(self, peer: int | None, content: bytes) -> None:
        """Send a short message to one peer, or to all with None."""

    def log(self, text: str) -> None:
        """Log a line for the operators."""


class Decisions(Protocol):
    """The decisions of one gateway.  A `now_ns` earlier than the latest one counts as the latest one."""

    def on_list(self, now_ns: int, kind: ListKind, entries: Sequence[HostEntry]) -> None:
        """Discovery has sent an update or a full list, or a call to it has failed (no entries)."""

    def on_request(self, now_ns: int, rid: int, cls: int, tenant: int, key: int, ttl_ns: int,
                   hint_ns: int, repeat: bool, write: bool = False) -> None:
        """A request of a client has arrived; it must get exactly one final response within `ttl_ns`.

        `key`: the route key, 0 for none.  `hint_ns`: the estimate of its work that came with it, 0 for none.  `repeat`:
        the client has sent it before.  `write`: the client marked it as a write.  Of these `Balancer` reads only
        `hint_ns`.

        Raises ValueError for a class or tenant that the settings do not contain and for the id of an open request.
        """

    def on_body_streaming(self, now_ns: int, rid: int, attempt: int) -> None:
        """A long body that is still arriving is streamed and not kept: this attempt is the last one.

        Neither its timeout nor the deadline applies until `on_body_complete`.
        """

    def on_body_complete(self, now_ns: int, rid: int, ttl_ns: int) -> None:
        """The last byte of a long body has arrived: the request's time starts now, with `ttl_ns` left."""

    def on_response_started(self, now_ns: int, rid: int, attempt: int) -> None:
        """A streamed response has started: the request depends on this attempt and has no deadline any more."""

    def on_outcome(self, now_ns: int, rid: int, attempt: int, host: HostId, outcome: Outcome,
                   spent_ns: int, request_ended: bool, load: Sequence[float]) -> None:
        """An attempt has ended.  `request_ended`: the request has its final response."""

    def on_client_disconnected(self, now_ns: int, rid: int) -> None:
        """The client has disconnected; the request needs no response any more."""

    def on_timer(self, now_ns: int, token: int) -> None:
        """A timer that was requested with `wake` has expired."""

    def on_lease(self, now_ns: int, valid: bool) -> None:
        """Whether hosts may be chosen from the list from now on: not once its lease has ended."""

    def on_probe_result(self, now_ns: int, host: HostId, outcome: Outcome, spent_ns: int,
                  load: Sequence[float]) -> None:
        """A probe has ended."""

    def on_peer_message(self, now_ns: int, peer: int, content: bytes) -> None:
        """Another gateway has sent a message."""

    def on_settings(self, now_ns: int, settings: Settings) -> None:
        """New settings for requests from now on; open requests keep their class and attempt limit."""

    def members_unavailable(self, now_ns: int) -> int:
        """The number of listed servers that are avoided now.  Changes no state."""
