"""Plans of soak runs, drawn from a seed alone: fault scenarios, most of them with a host that drains meanwhile.

The fields of the dataclasses are written to play.json, so their names are part of its format.
"""

from __future__ import annotations

import random
import signal
from dataclasses import asdict, dataclass, field
from typing import Any

DURATION_S = 14.0
MAX_DEADLINE_S = 2.5
"""The longest deadline of a request class."""
SIGKILL_MARGIN_S = 0.7
"""SIGKILL is sent `MAX_DEADLINE_S` plus this after SIGTERM."""
ALL_GATEWAYS = "*"


@dataclass(frozen=True)
class CallPlan:
    """The fate of one call to discovery: how long it is queued, in seconds, and how it ends."""

    waits: float
    how: str = "list"   # or busy (503), reset, cut (half a list, the connection stays open), lost (no response at all)


@dataclass(frozen=True)
class Fault:
    """One fault: time, kind, target (`*`: every gateway), duration, size; `calls`: the fate of the next calls."""

    at: float
    kind: str
    on: str
    lasts: float = 0.0
    size: float = 0.0
    calls: tuple[CallPlan, ...] = ()


@dataclass
class Plan:
    """The plan of one run."""

    seed: int
    gateways: int
    hosts: int
    clients: int          # of each gateway
    pause: float          # of a client between two requests, seconds
    pushed: bool
    grace: float
    patience: float       # factor on the usual timeouts of clients
    leaves: float         # share of the requests whose client disconnects early
    lasts: float = DURATION_S
    sockets: int = 1024
    told_gateways: int = 0   # number of gateways in the settings; 0: the actual number
    kept: bool = False       # each gateway writes its cached list to a folder that outlasts the process
    faults: list[Fault] = field(default_factory=list)

    def to_record(self) -> dict[str, Any]:
        """The plan as JSON data, to be run again."""
        return asdict(self)

    @classmethod
    def from_record(cls, record: dict[str, Any]) -> Plan:
        """A plan that was recorded."""
        faults = [Fault(**{**fault, "calls": tuple(CallPlan(**call) for call in fault.get("calls", ()))})
                  for fault in record["faults"]]
        return cls(**{**record, "faults": faults})


SCENARIOS = ("stop", "stops", "drop", "refuse", "resets", "reset", "silent", "silents", "hang", "busy", "slow",
             "crowded", "order", "ends", "cuts", "repeats", "reload", "reloads", "move", "term", "series", "kill",
             "clock", "calls", "cold", "host_hang", "host_reset", "whole")
SCENARIOS_WITHOUT_DRAIN = frozenset(("cold", "host_hang"))
EXCLUSIVE_SCENARIOS = (frozenset(("drop", "refuse", "move")), frozenset(("term", "series", "kill", "reloads", "move")),
                       frozenset(("stop", "stops")), frozenset(("hang", "busy", "slow", "crowded", "order")))
"""Only one of each group runs at a time: two would undo each other."""
CONCURRENT_SCENARIOS = (1, 1, 2, 2, 3)
"""The numbers of scenarios that begin at about the same time."""
CALL_OUTCOMES = ("list", "busy", "reset", "cut", "lost")


class _FaultGenerator:
    """Draws the scenarios one after another and adds their faults to the plan."""

    def __init__(self, rng: random.Random, plan: Plan) -> None:
        self._rng = rng
        self._plan = plan
        self._faults = plan.faults
        self._host_index = 0

    def add_scenarios(self, at: float) -> float:
        """Add scenarios that overlap; returns the time at which all have ended."""
        kinds: list[str] = []
        for _ in range(self._rng.choice(CONCURRENT_SCENARIOS)):
            kind = self._rng.choice(SCENARIOS)
            if kind not in kinds and not any(kind in group and group & set(kinds) for group in EXCLUSIVE_SCENARIOS):
                kinds.append(kind)
        return max(self.add_scenario(kind, at + (self._rng.uniform(0.0, 1.5) if kinds[0] != kind else 0.0))
                   for kind in kinds)

    def add_scenario(self, kind: str, at: float) -> float:
        """Add a scenario; returns the time at which it has ended."""
        rng, plan = self._rng, self._plan
        target = ALL_GATEWAYS if rng.random() < 0.5 else f"n{rng.randrange(plan.gateways)}"
        duration_s = self._add_scenario_faults(kind, at, target)
        if kind not in SCENARIOS_WITHOUT_DRAIN:
            for _ in range(1 if plan.hosts < 5 or rng.random() < 0.6 else 2):
                self._add_drain(at + rng.uniform(0.0, duration_s + 0.4))
        return at + duration_s

    def _add_scenario_faults(self, kind: str, at: float, target: str) -> float:
        rng = self._rng
        if kind == "stop":
            duration_s = rng.choice((rng.uniform(0.05, 0.4), rng.uniform(0.8, 2.8), rng.uniform(2.5, 5.0)))
            self._faults.append(Fault(at, "stop", target, duration_s))
            return duration_s
        if kind == "stops":
            for number in range(12):
                self._faults.append(Fault(at + 0.16 * number, "stop", target, rng.uniform(0.05, 0.14)))
            return 2.0
        if kind in ("reload", "reloads"):
            for number in range(1 if kind == "reload" else rng.randint(3, 6)):
                self._faults.append(Fault(at + 0.05 + 0.3 * number * rng.random(), "reload", target))
            if rng.random() < 0.6:
                self._faults.append(Fault(at, rng.choice(("silent", "reset")), target, 1.0))
            return 1.5
        if kind == "silents":   # each watch that is opened again falls silent too
            for number in range(rng.randint(2, 4)):
                self._faults.append(Fault(at + number * rng.uniform(2.3, 3.2), "silent", target))
            return 3.0
        if kind == "order":
            calls = tuple(CallPlan(round(rng.choice((0.0, rng.uniform(0.0, 3.0), 2.9)), 2), rng.choice(CALL_OUTCOMES))
                          for _ in range(rng.randint(1, 4)))
            self._faults.append(Fault(at, "order", target, calls=calls))
            self._faults.append(Fault(at + 0.02, rng.choice(("silent", "silent", "reset")), target))
            return 3.0
        if kind == "series":
            for number in range(rng.randint(1, 4)):
                signal_number = rng.choice((signal.SIGHUP, signal.SIGTERM))
                self._faults.append(Fault(at + 0.05 + number * rng.uniform(0.0, 0.4), "signal", target, 0.0,
                                          signal_number))
            kind = "term"
        duration_s, size = {
            "refuse": (rng.uniform(0.3, 4.0), 0.0), "resets": (rng.uniform(0.3, 4.0), 0.0),
            "crowded": (rng.uniform(3.0, 8.0), rng.uniform(1.0, 6.0)),
            "drop": (rng.uniform(0.3, 2.5), 0.0), "hang": (rng.uniform(0.3, 2.5), 0.0),
            "busy": (rng.uniform(0.3, 3.0), 0.0), "slow": (rng.uniform(1.0, 3.0), rng.uniform(0.2, 2.0)),
            "ends": (2.0, 0.0), "cuts": (1.0, rng.randint(1, 3)),
            "repeats": (2.0, 0.0), "whole": (2.0, 0.0), "silent": (1.0, 0.0), "reset": (0.2, 0.0), "move": (1.0, 0.0),
            "term": (MAX_DEADLINE_S + SIGKILL_MARGIN_S, 0.0), "kill": (0.5, 0.0),
            "clock": (0.5, rng.choice((-1, 1)) * rng.choice((rng.uniform(2, 30), 3600.0))),
            "calls": (rng.uniform(1.0, 4.0), rng.choice((200.0, 500.0, 1000.0))), "cold": (1.5, 0.0),
            "host_hang": (rng.uniform(0.5, 2.0), 0.0), "host_reset": (0.2, 0.0)}[kind]
        self._faults.append(Fault(at, kind, target, duration_s, size))
        if kind in ("slow", "ends", "whole", "cuts", "repeats", "drop", "busy", "hang", "crowded", "resets") \
                and rng.random() < 0.8:
            self._faults.append(Fault(at + 0.02, rng.choice(("reset", "reset", "silent")), target))
        if kind == "clock":
            self._add_host_start(at + rng.uniform(0.0, 1.0))
        if kind == "term" and rng.random() < 0.5:
            self._faults.append(Fault(at + rng.uniform(0, 2.0), rng.choice(("stop", "reload", "host_hang")), target,
                                      0.8))
        return duration_s

    def _next_host(self) -> str:
        self._host_index = (self._host_index + 1) % self._plan.hosts
        return f"h{self._host_index}"

    def _add_drain(self, at: float) -> None:
        """A host drains, may leave the list, and serves again some seconds later."""
        rng, host = self._rng, self._next_host()
        self._faults.append(Fault(at, "drain", host))
        if rng.random() < 0.3:
            self._faults.append(Fault(at + rng.uniform(0.1, 1.0), "gone", host))
        self._faults.append(Fault(at + rng.uniform(2.5, 4.0), "ready", host))

    def _add_host_start(self, at: float) -> None:
        self._faults.append(Fault(at, "cold", self._next_host()))


def draw(seed: int, duration_s: float = DURATION_S, quiet_s: float = 0.0) -> Plan:
    """The plan of a seed; `quiet_s` delays the first fault and makes the run longer by as much."""
    rng = random.Random(seed)
    gateways = rng.choice((1, 1, 2, 3, 6, 6, 12, 30))
    pushed = rng.random() < 0.5
    plan = Plan(seed, gateways, rng.choice((4, 6, 8)), max(2, 40 // gateways), rng.choice((0.04, 0.08, 0.15)),
                pushed, rng.choice((0.3, 0.3, 0.5, 1.0)), rng.choice((1.0, 1.0, 0.4)),
                rng.choice((0.0, 0.02, 0.1)), duration_s, rng.choice((1024, 1024, 256)))
    generator = _FaultGenerator(rng, plan)
    if rng.random() < 0.3:
        plan.faults.append(Fault(0.5, "crowd", ALL_GATEWAYS, duration_s - 2.0, 300.0))
    plan.lasts += quiet_s
    at = quiet_s + (1.5 if rng.random() < 0.7 else 4.0)
    while at < plan.lasts - 4.0:
        at = generator.add_scenarios(at) + rng.uniform(0.3, 1.5)
    plan.faults.sort(key=lambda fault: fault.at)
    plan.kept = random.Random(f"kept {seed}").random() < 0.4   # own generator: the other draws of a seed stay the same
    return plan
