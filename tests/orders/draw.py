"""All kinds of steps, sequences of them at times from a grid, and random walks."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from itertools import product


class Kind(Enum):
    """What happens in a step; `Play` has a method `_on_<value>` for each."""

    CHANGE = "change"
    QUEUED = "queued"
    SILENT = "silent"
    END = "end"
    CALLS = "calls"
    REFUSED = "refused"
    HANGING = "hanging"
    RESETS = "resets"
    BACK = "back"
    RELOAD = "reload"
    STOP = "stop"
    KILL = "kill"
    LATE_HEARTBEATS = "late_beats"


@dataclass(frozen=True)
class Outcome:
    """The outcome of a call to discovery: list, 503, reset, cut (a truncated update) or never (no response)."""

    how: str
    delay_s: float = 0.0

    def __str__(self) -> str:
        return f"{self.how} after {self.delay_s:g} s"


IMMEDIATE_LIST = Outcome("list")


@dataclass(frozen=True)
class Step:
    """One step of a sequence."""

    kind: Kind
    after: float = 0.0     # seconds since the step before
    duration_s: float = 0.0
    how: Outcome = IMMEDIATE_LIST   # of calls, or of the watch when a queued update is due
    count: int = 1         # the number of calls
    whole: bool = False    # the change is delivered as a full list that lacks its host
    moved: bool = False    # SIGHUP changes the address of discovery
    startup_s: float = 0.0   # from the start of a process to its first call

    def __str__(self) -> str:
        parts = [f"+{self.after:g} s {self.kind.value}"]
        if self.duration_s:
            parts.append(f"for {self.duration_s:g} s")
        if self.kind in (Kind.CALLS, Kind.QUEUED):
            parts.append(f"{self.count} x {self.how}")
        parts += [name for name in ("whole", "moved") if getattr(self, name)]
        if self.startup_s:
            parts.append(f"startup {self.startup_s:g} s")
        return " ".join(parts)


Steps = tuple[Step, ...]

GRID_S = (0.05, 0.3, 1.0, 2.1, 2.3, 2.9, 3.1, 4.0, 6.0, 6.2)
"""Times between steps: below and above each time constant of the rules and of the gateway."""
RESPONSE_DELAYS_S = (0.0, 0.05, 0.5, 1.5, 2.9)


def _outcomes(delays_s: tuple[float, ...]) -> list[Outcome]:
    """All outcomes except an immediate reset, which a gateway cannot tell from unreachable discovery."""
    every = [Outcome(how, delay_s) for how in ("list", "503", "reset", "cut") for delay_s in delays_s]
    return [outcome for outcome in every if outcome != Outcome("reset")] + [Outcome("never")]


def alphabet(pushed: bool) -> list[Step]:
    """All steps, without their times."""
    steps = [Step(Kind.CHANGE), Step(Kind.CHANGE, whole=True), Step(Kind.SILENT), Step(Kind.END), Step(Kind.BACK),
             Step(Kind.RELOAD), Step(Kind.RELOAD, moved=True), Step(Kind.LATE_HEARTBEATS)]
    steps += [Step(Kind.CALLS, how=outcome, count=count) for outcome in _outcomes(RESPONSE_DELAYS_S)
              for count in (1, 4)]
    steps += [Step(Kind.CALLS, how=outcome, duration_s=35.0) for outcome in (Outcome("503"), Outcome("503", 0.05))]
    steps += [Step(kind, duration_s=seconds) for kind in (Kind.REFUSED, Kind.HANGING, Kind.RESETS)
              for seconds in (0.2, 1.0, 5.0, 20.0)]
    steps += [Step(Kind.STOP, duration_s=seconds) for seconds in (0.2, 1.0, 5.0)]
    steps += [Step(Kind.KILL, duration_s=seconds, startup_s=startup_s) for seconds in (0.1, 1.0, 6.0)
              for startup_s in (0.2, 1.0)]
    if not pushed:   # in push mode every change is effective at once, so that its updates are never queued
        steps += [Step(Kind.QUEUED, duration_s=seconds, how=outcome) for seconds in (0.5, 2.9)
                  for outcome in (Outcome("list"), Outcome("reset"))]
    return steps


def _has_change(steps: Steps) -> bool:
    """Whether a sequence has a change, without which no request can be late."""
    return any(step.kind in (Kind.CHANGE, Kind.QUEUED) for step in steps)


def count_sequences(depth: int, pushed: bool) -> int:
    """The number of sequences of this length with a change in them, without their times."""
    every = alphabet(pushed)
    no_change = sum(step.kind not in (Kind.CHANGE, Kind.QUEUED) for step in every)
    number: int = len(every) ** depth - no_change ** depth
    return number


def enumerated(depth: int, pushed: bool, seed: int) -> Iterator[Steps]:
    """All sequences of this length with a change in them, each with times drawn from the grid."""
    draw = random.Random(seed)
    for steps in product(alphabet(pushed), repeat=depth):
        if _has_change(steps):
            yield with_times(steps, draw)


def sampled(depth: int, pushed: bool, seed: int, number: int) -> Iterator[Steps]:
    """A random sample of `number` of these sequences."""
    draw, every = random.Random(seed), alphabet(pushed)
    while number:
        steps = tuple(draw.choice(every) for _ in range(depth))
        if _has_change(steps):
            number -= 1
            yield with_times(steps, draw)


def with_times(steps: Steps, draw: random.Random) -> Steps:
    """The same steps at times drawn from the grid."""
    return tuple(_with_time(step, draw.choice(GRID_S)) for step in steps)


def _with_time(step: Step, seconds: float) -> Step:
    return Step(step.kind, seconds, step.duration_s, step.how, step.count, step.whole, step.moved, step.startup_s)


def walk(pushed: bool, seed: int, seconds: float = 60.0) -> Steps:
    """Random steps for at least this time, at times near the grid; at least one in three is a change."""
    draw, every = random.Random(seed), alphabet(pushed)
    changes = [step for step in every if step.kind in (Kind.CHANGE, Kind.QUEUED)]
    steps: list[Step] = []
    elapsed = 0.0
    while elapsed < seconds:
        after = round(draw.choice(GRID_S) * draw.uniform(0.9, 1.1), 3)
        elapsed += after
        steps.append(_with_time(draw.choice(changes if draw.random() < 1 / 3 else every), after))
    return tuple(steps)


def reductions(steps: Steps) -> Iterator[Steps]:
    """The same sequence with one step less, or with fewer calls in one step."""
    for index, step in enumerate(steps):
        rest = steps[index + 1:]
        joined = (_with_time(rest[0], round(rest[0].after + step.after, 3)), *rest[1:]) if rest else ()
        yield steps[:index] + joined
        yield steps[:index] + rest
        for count in range(1, step.count):
            yield (*steps[:index], Step(step.kind, step.after, step.duration_s, step.how, count), *rest)
