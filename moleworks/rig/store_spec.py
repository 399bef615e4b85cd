"""Schema of an experiment on the store and its duties (`driver = "members"`): real members, writers and keepers."""

from __future__ import annotations

import random
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from moleworks.config import ConfigError

from .spec import Above, NotNegative

MEMBERS = ("a", "b", "c", "d", "e")
SPARES = ("f", "g", "h")

Kind = Literal["kill", "stop", "cut", "alone", "reset", "slow_disk", "full_disk", "old_disk", "empty_disk", "torn_tail",
               "add", "remove", "transfer", "garbage", "hand_over", "twin", "lose_beats", "die", "come", "liar"]
ON_MEMBERS = ("alone", "slow_disk", "full_disk", "old_disk", "empty_disk", "torn_tail", "add", "remove", "transfer",
              "garbage")
ON_HOSTS = ("lose_beats", "die", "come")
RANDOM_KINDS: tuple[Kind, ...] = ("kill", "kill", "stop", "cut", "cut", "alone", "reset", "slow_disk")


LIST_ERRORS = ("a change after a change of leader", "the age of a list", "a list without hosts refused",
               "more silent than the limit doubted")
"""Safeguards of the list service that an experiment can leave out."""


class MemberFault(Struct, forbid_unknown_fields=True, omit_defaults=True):
    """A fault.  A killed process is started again after `for_s`."""

    kind: Kind
    at_s: NotNegative
    for_s: NotNegative = 1.0
    on: Annotated[str, Meta(min_length=1, max_length=16)] = "any"
    """The target: a name, `leader`, `follower`, `any` (member), `all` (members), `holder` (the keeper with the duty),
    `service` (any), `services` (all); for hosts a name, `half`, `zone` (one) or `hosts` (all)."""
    to: Annotated[str, Meta(max_length=16)] = "any"     # cut, hand_over, transfer: the other endpoint
    one_way: bool = False                               # cut: only data that `on` sends
    with_holder: bool = False                           # alone: the holder is on the same side of the partition
    size: NotNegative = 200.0                           # slow_disk: ms per write; full_disk: KiB per file;
                                                        # lose_beats: the share of lost heartbeats


class StoreHold(Struct, forbid_unknown_fields=True):
    """Bounds of figures: minimum (`least`) and maximum (`most`).  The judge's rules always apply."""

    least: dict[str, float] = {}
    most: dict[str, float] = {}


class StoreExperiment(Struct, forbid_unknown_fields=True):
    """An experiment file of `experiments/` on the store."""

    title: Annotated[str, Meta(min_length=1, max_length=200)]
    driver: Literal["members"]
    seed: Annotated[int, Meta(ge=0, lt=1 << 62)] = 1
    duration_s: Annotated[float, Meta(gt=0, le=600)] = 10.0
    members: Literal[3, 5] = 3
    writers: Annotated[int, Meta(ge=0, le=64)] = 3
    keepers: Annotated[int, Meta(ge=0, le=16)] = 2
    pause_ms: Above = 40.0               # a writer's mean pause between operations
    ttl_ms: Annotated[int, Meta(ge=100, le=60_000)] = 700
    tires: Annotated[float, Meta(ge=0, le=1)] = 0.02     # probability that a holder abandons the duty after an act
    services: Annotated[int, Meta(ge=0, le=5)] = 0       # number of list services
    bound_s: Above = 3.0                                 # maximum age of a list
    hosts: Annotated[int, Meta(ge=0, le=2000)] = 0       # hosts that keep themselves listed
    host_ttl_ms: Annotated[int, Meta(ge=500, le=60_000)] = 3000
    operator_every_s: Above = 0.1                        # mean time between an operator's changes
    watchers: Annotated[int, Meta(ge=0, le=5000)] = 0
    readers: Annotated[int, Meta(ge=0, le=100)] = 2
    records: bool = True                                 # record every row that watchers receive
    without: str = ""                    # safeguard to leave out, one of the known errors of `rig histories`
    faults: Annotated[list[MemberFault], Meta(max_length=200)] = []
    drawn: Annotated[int, Meta(ge=0, le=200)] = 0        # number of random faults, drawn from the seed, in sequence
    hold: StoreHold = msgspec.field(default_factory=StoreHold)


def check(experiment: StoreExperiment, file: str) -> StoreExperiment:
    """Check what the types can't express.  Raises ConfigError with all errors."""
    from .registry_judge import FIGURES as LIST_FIGURES
    from .store_judge import FIGURES
    from .virtual.mutants import MUTANTS
    services = [f"r{number}" for number in range(experiment.services)]
    member_names = [*MEMBERS[:experiment.members], *SPARES]
    keepers = [f"d{number}" for number in range(experiment.keepers)]
    errors = []
    if experiment.without and experiment.without not in (*MUTANTS, *LIST_ERRORS):
        errors.append(f"without: must be one of: {', '.join((*MUTANTS, *LIST_ERRORS))}")
    figures = (*FIGURES, *(LIST_FIGURES if services else ()))
    for index, fault in enumerate(experiment.faults):
        path = f"faults[{index}]"
        allowed_targets = ["leader", "follower", "any", "all", *member_names]
        if fault.kind in ON_HOSTS:
            allowed_targets = ["half", "zone", "hosts", *(f"h{number}" for number in range(experiment.hosts))]
        elif fault.kind == "liar":
            allowed_targets = ["service", *services]
        elif fault.kind not in ON_MEMBERS:
            allowed_targets += ["holder", *keepers, *(["service", "services", *services] if services else [])]
        if fault.on not in allowed_targets:
            errors.append(f"{path}.on: must be one of: {', '.join(allowed_targets)}")
        if fault.kind in ("add", "remove") and fault.on not in member_names:
            errors.append(f"{path}.on: must name a member or one of {', '.join(SPARES)}")
        if fault.kind in ("hand_over", "twin") and not experiment.keepers:
            errors.append(f"{path}: there are no keepers")
        if fault.kind == "hand_over" and fault.to not in ("any", *keepers):
            errors.append(f"{path}.to: must be any or one of: {', '.join(keepers)}")
        if fault.at_s > experiment.duration_s:
            errors.append(f"{path}.at_s: is after the end")
    for part, bounds in (("least", experiment.hold.least), ("most", experiment.hold.most)):
        errors += [f"hold.{part}.{name}: no such figure, must be one of: {', '.join(figures)}"
                   for name in bounds if name not in figures]
    if errors:
        raise ConfigError([f"{file}: {line}" for line in errors])
    return experiment


def _target(rng: random.Random, experiment: StoreExperiment, kind: Kind) -> str:
    if experiment.services and kind in ("kill", "stop", "cut") and rng.random() < 0.5:
        return "service"
    if kind == "kill" and rng.random() < 0.15:
        return "all"
    holder = ["holder"] if experiment.keepers and kind in ("kill", "stop") else []
    return rng.choice(["any", "leader", *holder])


def schedule(experiment: StoreExperiment) -> list[MemberFault]:
    """Return the faults of the file and those drawn from the seed, in order of time."""
    rng = random.Random(f"faults {experiment.seed}")
    drawn, at = [], rng.uniform(0.3, 1.0)
    for _ in range(experiment.drawn):
        kind = rng.choice(RANDOM_KINDS)
        drawn.append(MemberFault(kind, round(at, 3), round(rng.uniform(0.2, 2.0), 3), _target(rng, experiment, kind),
                                 one_way=rng.random() < 0.5, with_holder=rng.random() < 0.5))
        at += rng.uniform(0.3, 1.6)
    return sorted([*experiment.faults, *(fault for fault in drawn if fault.at_s < experiment.duration_s)],
                  key=lambda fault: fault.at_s)
