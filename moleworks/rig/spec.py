"""Schema of an experiment file.  The comment of a default names its source.

Sources: BRIEF is the operators' page on the platform, PROTOCOL their page on the sockets, DEPLOY the limits of the
deployment, SITE the middle of the range given in their site file `ortak-arsiv-ankara.toml`.  All times have their
unit in their name.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

Above = Annotated[float, Meta(gt=0, le=1e9)]
NotNegative = Annotated[float, Meta(ge=0, le=1e9)]
Share = Annotated[float, Meta(ge=0, le=1)]
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z][A-Za-z0-9_-]*$")]
Pattern = Annotated[str, Meta(min_length=1, max_length=256)]


class Hosts(Struct, forbid_unknown_fields=True):
    """A group of identical hosts, named `NAME0`, `NAME1` ...; groups with the same name share one numbering."""

    count: Annotated[int, Meta(ge=1, le=2000)] = 1
    name: Name = "h"
    zone: str = ""                      # empty: distributed over the zones in turn
    cell_size: Annotated[int, Meta(ge=1, le=1000)] = 8     # SITE cell_size 6 to 10
    listed: bool = True                 # false: runs, but is in no list
    cores: Above = 2.0                  # BRIEF: 2 of every machine
    speed: Above = 1.2                  # BRIEF: `orta`, 1 to 1.4
    slots_per_core: Above = 16.0        # SITE 8 to 24
    queue_per_core: NotNegative = 12.0  # SITE 9.7 to 15
    thrash: NotNegative = 0.11          # SITE 0.081 to 0.14
    thrash_at: NotNegative = 6.0        # SITE 3.6 to 8.1, requests per core
    cold: bool = False                  # the host is cold when the run starts
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.24   # SITE 0.12 to 0.36
    cold_s: NotNegative = 16.0          # SITE 10 to 23
    error_rate: Share = 0.0003          # SITE 0 to 0.0005
    bad_class: str = ""                 # requests of this class always fail on these hosts
    pause_every_s: NotNegative = 0.0    # 0: never
    pause_ms: NotNegative = 0.0
    leak_per_s: NotNegative = 0.0       # slowdown per second since its start, as a share of its speed
    drops_cancelled: bool = True        # SITE cancel: none or queued
    report_ms: Above = 860.0            # SITE 420 to 1300
    connections_per_core: Above = 700.0 # SITE cap_per_core 600 to 900
    handshake_us: NotNegative = 2900.0  # SITE 810 to 5000, CPU time of a new connection


class Class(Struct, forbid_unknown_fields=True):
    """A request class."""

    name: Name
    share: Above = 1.0
    work_ms: Above = 36.0
    cv: NotNegative = 1.0               # SITE 0.73 to 1.5, coefficient of variation; 0: constant work
    aim_ms: Above = 200.0
    deadline_ms: Above = 800.0
    worth: Above = 1.0
    late_worth: Share = 0.5
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    group: Literal["all", "zone", "cell"] = "all"
    window_ms: Above = 5000.0


def _classes() -> list[Class]:
    """Return the classes of BRIEF's table, each with the middle of its range of work."""
    return [Class("dinle", 0.4, 37, 1.0, 200, 800, 2, 0.5),
            Class("yazi-kaydet", 0.3, 56, 1.2, 400, 1200, 10, 0.2, "keyed", "cell", 750),
            Class("hizala", 0.3, 123, 1.1, 1000, 5000, 10, 0.5, "keyed", "zone", 5000)]


class Gateways(Struct, forbid_unknown_fields=True):
    """The gateways `n0`, `n1` ..., distributed over the zones in turn."""

    count: Annotated[int, Meta(ge=1, le=2000)] = 3         # BRIEF: 3
    max_attempts: Annotated[int, Meta(ge=1, le=100)] = 5   # BRIEF: 5
    probes: bool = True                                    # SITE allow.probes
    peers: bool = False                                    # SITE allow.peers
    retry_after: bool = True                               # SITE allow.retry_after
    memory_mb: Annotated[int, Meta(ge=16, le=65536)] = 192 # DEPLOY: at most 192 on scored days
    sockets: Annotated[int, Meta(ge=64, le=65536)] = 1024  # DEPLOY: at most 1,024


class Network(Struct, forbid_unknown_fields=True):
    """One-way delays of a network without faults, ms.  The real driver adds them only if `real_delays` is set."""

    same_ms: NotNegative = 0.2          # SITE same_ms 0.097 to 0.34
    cross_ms: NotNegative = 0.6         # SITE cross_ms 0.42 to 0.78
    client_ms: NotNegative = 0.8        # SITE client_ms 0.49 to 1.2
    jitter: Share = 0.18                # SITE jitter 0.054 to 0.31
    connect_timeout_ms: Above = 100.0   # SITE connect_timeout_ms
    idle_s: Above = 30.0                # SITE idle_s
    real_delays: bool = False


class Discovery(Struct, forbid_unknown_fields=True):
    """The rig's emulation of the discovery service."""

    mode: Literal["ask", "push"] = "ask"        # SITE mode
    notice_ms: NotNegative = 1500.0     # SITE notice_s 0.63 to 4.4, delay until an ended process is unlisted
    add_ms: NotNegative = 1200.0        # SITE add_s 0.73 to 2, delay before a started process is listed
    call_ms: NotNegative = 5.0          # duration of a call when the service is idle
    timeout_ms: Above = 3000.0          # SITE timeout_ms


class World(Struct, forbid_unknown_fields=True):
    """The hosts, gateways, zones, classes and network at the start of a run."""

    hosts: Annotated[list[Hosts], Meta(min_length=1, max_length=200)] = msgspec.field(
        default_factory=lambda: [Hosts(count=12)])         # BRIEF: 9 to 12
    zones: Annotated[list[Name], Meta(min_length=1, max_length=64)] = msgspec.field(
        default_factory=lambda: ["salon-a", "salon-b", "salon-c"])
    classes: Annotated[list[Class], Meta(min_length=1, max_length=32)] = msgspec.field(
        default_factory=_classes)
    gateways: Gateways = msgspec.field(default_factory=Gateways)
    network: Network = msgspec.field(default_factory=Network)
    discovery: Discovery = msgspec.field(default_factory=Discovery)
    drain_grace_ms: NotNegative = 300.0  # BRIEF
    fall_multiple: Above = 3.0           # BRIEF
    fall_ms: Above = 1500.0              # BRIEF


class Burst(Struct, forbid_unknown_fields=True):
    """A temporary increase of the request rate."""

    at_s: NotNegative
    for_s: Above
    factor: Above


class Load(Struct, forbid_unknown_fields=True):
    """The clients' requests: an open loop, planned ahead, that does not wait for responses."""

    rps: Annotated[float, Meta(gt=0, le=1e6)] = 250.0      # BRIEF: about 330 first tries per second in total
    zone_weights: list[Above] = []       # one per zone; empty: all equal
    bursts: Annotated[list[Burst], Meta(max_length=100)] = []
    try_share: Annotated[float, Meta(gt=0, le=1)] = 0.85   # SITE try_share 0.7 to 1: timeout of a try / deadline
    retries: Annotated[int, Meta(ge=0, le=20)] = 1         # BRIEF: at most once
    backoff_ms: NotNegative = 40.0       # SITE backoff_ms 9.2 to 73
    honour: Share = 0.7                  # SITE honour 0.56 to 0.83: share of clients that obey Retry-After
    impatient: Share = 0.0               # SITE impatient 0 to 0.03: share of clients that disconnect early


HOST_FAULTS = ("crash", "vanish", "slow", "drain", "errors", "pause")
GATEWAY_FAULTS = ("kill", "term", "stop", "upgrade", "hup")
LINK_FAULTS = ("cut", "half_open", "delay", "loss", "duplicate", "reorder", "rate", "reset")
SERVICE_FAULTS = ("discovery_down", "discovery_silent", "discovery_reset")
TAMPERING_FAULTS = ("misroute", "replay", "swallow")
Kind = Literal["crash", "vanish", "slow", "drain", "errors", "pause",
               "kill", "term", "stop", "upgrade", "hup",
               "cut", "half_open", "delay", "loss", "duplicate", "reorder", "rate", "reset",
               "discovery_down", "discovery_silent", "discovery_reset", "misroute", "replay", "swallow"]


class Fault(Struct, forbid_unknown_fields=True, omit_defaults=True):
    """A fault at a given time.  `on` and `to` are patterns (see places.py)."""

    kind: Kind
    at_s: NotNegative = 0.0
    for_s: NotNegative = 0.0            # 0: until the end of the run
    on: Pattern = "*"
    to: Pattern = "*"                   # links: the other endpoint
    one_way: bool = False               # links: only in the direction from `on` to `to`
    size: NotNegative = 0.0             # slow: factor; errors, loss, duplicate, reorder, swallow: share;
                                        # delay, pause: ms; rate: bytes per second
    folder: Literal["kept", "lost"] = "kept"   # kill, term: whether the temporary folder survives
    most: Annotated[int, Meta(ge=0, le=10000)] = 0   # maximum number of targets, drawn from the seed; 0: all


class Draws(Struct, forbid_unknown_fields=True):
    """Random faults, drawn from the seed alone."""

    count: Annotated[int, Meta(ge=1, le=1000)]
    kinds: Annotated[list[Kind], Meta(min_length=1)]
    from_s: NotNegative = 1.0
    to_s: Above = 10.0
    least_s: Above = 0.5
    longest_s: Above = 5.0
    on: Pattern = "*"
    to: Pattern = "*"
    size: NotNegative = 0.0


class Window(Struct, forbid_unknown_fields=True):
    """An interval of the run and the required share of first tries that are served in time in it."""

    from_s: NotNegative
    to_s: Above
    in_time: Share


class Hold(Struct, forbid_unknown_fields=True):
    """Required figures.  The four rules of the protocol are always required."""

    served: Share = 0.0                 # share of first tries that are served
    in_time: Share = 0.0                # share of first tries that are served within their aim
    windows: Annotated[list[Window], Meta(max_length=100)] = []


class Experiment(Struct, forbid_unknown_fields=True):
    """An experiment file of `experiments/`."""

    title: Annotated[str, Meta(min_length=1, max_length=200)]
    driver: Literal["virtual", "real"] = "virtual"
    seed: Annotated[int, Meta(ge=0, lt=1 << 62)] = 1
    duration_s: Annotated[float, Meta(gt=0, le=86400)] = 20.0
    warmup_s: NotNegative = 1.0         # excluded from shares; the rules apply from the start
    world: World = msgspec.field(default_factory=World)
    load: Load = msgspec.field(default_factory=Load)
    faults: Annotated[list[Fault], Meta(max_length=1000)] = []
    draws: Annotated[list[Draws], Meta(max_length=100)] = []
    hold: Hold = msgspec.field(default_factory=Hold)
