"""Who is in a world, by name, and the patterns by which faults name them.

A pattern is terms joined by commas; `!` before a term takes away.  A term is `hosts`, `gateways`, `clients`,
`discovery`, `zone:NAME` (hosts and gateways there) or a name with `*` and `?`.
"""

from __future__ import annotations

import fnmatch
import random

import msgspec
from msgspec import Struct

from moleworks.config import ConfigError

from .spec import (
    GATEWAY_FAULTS,
    HOST_FAULTS,
    LINK_FAULTS,
    TAMPERING_FAULTS,
    Experiment,
    Fault,
    Hosts,
)

CLIENTS, DISCOVERY = "clients", "discovery"
SHARES = ("errors", "loss", "duplicate", "reorder", "swallow")


class HostPlace(Struct):
    """A host of the world."""

    name: str
    zone: int
    cell: int
    spec: Hosts


class GatewayPlace(Struct):
    """A gateway of the world."""

    name: str
    zone: int


class Places:
    """All names of a world, and where they are."""

    def __init__(self, experiment: Experiment) -> None:
        world = experiment.world
        self.zones = world.zones
        self.hosts: dict[str, HostPlace] = {}
        members: dict[int, int] = {}
        cells: dict[tuple[int, int], int] = {}
        for group in world.hosts:
            first = sum(place.spec.name == group.name for place in self.hosts.values())
            for index in range(group.count):
                zone = world.zones.index(group.zone) if group.zone else index % len(world.zones)
                place = members[zone] = members.get(zone, -1) + 1
                cell = cells.setdefault((zone, place // group.cell_size), len(cells))
                name = f"{group.name}{first + index}"
                self.hosts[name] = HostPlace(name, zone, cell, group)
        self.gateways = {f"n{index}": GatewayPlace(f"n{index}", index % len(world.zones))
                         for index in range(world.gateways.count)}
        self._all = [*self.hosts, *self.gateways, CLIENTS, DISCOVERY]

    def zone_of(self, name: str) -> int:
        """The zone of a host or gateway; -1 for what is in none."""
        place = self.hosts.get(name) or self.gateways.get(name)
        return place.zone if place is not None else -1

    def select(self, pattern: str) -> list[str]:
        """The names that a pattern means, in the world's order."""
        chosen: set[str] = set()
        terms = [term.strip() for term in pattern.split(",") if term.strip()]
        if terms and terms[0].startswith("!"):
            chosen = set(self._all)
        for term in terms:
            away, term = term.startswith("!"), term.removeprefix("!")
            names = set(self._term(term))
            chosen = chosen - names if away else chosen | names
        return [name for name in self._all if name in chosen]

    def _term(self, term: str) -> list[str]:
        if term == "hosts":
            return list(self.hosts)
        if term == "gateways":
            return list(self.gateways)
        if term.startswith("zone:"):
            zone = term.removeprefix("zone:")
            if zone not in self.zones:
                return []
            return [name for name in self._all if self.zone_of(name) == self.zones.index(zone)]
        return fnmatch.filter(self._all, term)


def check(experiment: Experiment, file: str) -> Places:
    """What the schema can't see: names that must exist.  Raises ConfigError with all faults."""
    told: list[str] = []
    world = experiment.world
    for index, group in enumerate(world.hosts):
        if group.zone and group.zone not in world.zones:
            told.append(f"world.hosts[{index}].zone: no such zone: {group.zone}")
        if group.bad_class and group.bad_class not in [item.name for item in world.classes]:
            told.append(f"world.hosts[{index}].bad_class: no such class: {group.bad_class}")
    for what, names in (("zones", world.zones), ("classes", [item.name for item in world.classes])):
        if len(set(names)) < len(names):
            told.append(f"world.{what}: a name stands twice")
    if experiment.load.zone_weights and len(experiment.load.zone_weights) != len(world.zones):
        told.append(f"load.zone_weights: must have {len(world.zones)} numbers, one a zone")
    if experiment.warmup_s >= experiment.duration_s:
        told.append("warmup_s: must be below duration_s")
    for index, window in enumerate(experiment.hold.windows):
        if window.to_s <= window.from_s:
            told.append(f"hold.windows[{index}].to_s: must be above from_s")
    for index, draw in enumerate(experiment.draws):
        if draw.longest_s < draw.least_s:
            told.append(f"draws[{index}].longest_s: must be at least least_s")
        if draw.to_s <= draw.from_s:
            told.append(f"draws[{index}].to_s: must be above from_s")
    if told:
        raise ConfigError([f"{file}: {line}" for line in told])
    places = Places(experiment)
    if len(places.hosts) < sum(group.count for group in world.hosts):
        raise ConfigError([f"{file}: world.hosts: two hosts of one name"])
    for index, fault in enumerate(experiment.faults):
        told += [f"{file}: faults[{index}].{line}" for line in _fault(places, fault, experiment.driver)]
    if told:
        raise ConfigError(told)
    return places


def _wanted(places: Places, kind: str) -> dict[str, HostPlace] | dict[str, GatewayPlace] | None:
    """What a fault of this kind can befall; None: the links between any two."""
    return places.hosts if kind in HOST_FAULTS else places.gateways if kind in GATEWAY_FAULTS else None


def _fault(places: Places, fault: Fault, driver: str) -> list[str]:
    wanted = _wanted(places, fault.kind)
    told = []
    if wanted is not None and not set(places.select(fault.on)) & set(wanted):
        told.append(f"on: names no {'host' if wanted is places.hosts else 'gateway'}: {fault.on}")
    elif fault.kind in LINK_FAULTS + TAMPERING_FAULTS:
        told += [f"{key}: names nobody: {pattern}" for key, pattern in (("on", fault.on), ("to", fault.to))
                 if not places.select(pattern)]
    if fault.kind in (*SHARES, "slow", "delay", "rate") and not fault.size:
        told.append(f"size: must be above 0 for {fault.kind}")
    if fault.kind in SHARES and fault.size > 1:
        told.append(f"size: must be at most 1 for {fault.kind}")
    if driver == "virtual" and fault.kind in ("misroute", "replay", "swallow", "hup"):
        told.append(f"kind: {fault.kind} is for the real driver only")
    return told


def timeline(experiment: Experiment, places: Places) -> list[Fault]:
    """All faults in the order of their times, those at random drawn from the seed alone."""
    rng = random.Random(f"faults {experiment.seed}")
    faults = []
    for fault in experiment.faults:
        if fault.most:
            wanted = _wanted(places, fault.kind)
            names = [name for name in places.select(fault.on) if wanted is None or name in wanted]
            picked = rng.sample(names, min(fault.most, len(names)))
            faults += [msgspec.structs.replace(fault, on=name, most=0) for name in picked]
        else:
            faults.append(fault)
    for draw in experiment.draws:
        for _ in range(draw.count):
            kind = rng.choice(draw.kinds)
            wanted = _wanted(places, kind)
            names = [name for name in places.select(draw.on) if wanted is None or name in wanted]
            others = places.select(draw.to)
            faults.append(Fault(kind, round(rng.uniform(draw.from_s, draw.to_s), 3),
                                round(rng.uniform(draw.least_s, draw.longest_s), 3),
                                rng.choice(names) if names else draw.on,
                                rng.choice(others) if others else draw.to, rng.random() < 0.5, draw.size))
    return sorted(faults, key=lambda fault: fault.at_s)
