"""Names and zones of all hosts and gateways of a world, and the patterns by which faults select them.

A pattern is a comma-separated list of terms; `!` before a term excludes what it matches.  A term is `hosts`,
`gateways`, `clients`, `discovery`, `zone:NAME` (hosts and gateways of that zone) or a name with `*` and `?`.
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
SHARE_FAULTS = ("errors", "loss", "duplicate", "reorder", "swallow")


class HostPlace(Struct):
    """Name, zone and cell of a host."""

    name: str
    zone: int
    cell: int
    spec: Hosts


class GatewayPlace(Struct):
    """Name and zone of a gateway."""

    name: str
    zone: int


class Places:
    """All names of a world with their zones and cells."""

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
                position = members[zone] = members.get(zone, -1) + 1
                cell = cells.setdefault((zone, position // group.cell_size), len(cells))
                name = f"{group.name}{first + index}"
                self.hosts[name] = HostPlace(name, zone, cell, group)
        self.gateways = {f"n{index}": GatewayPlace(f"n{index}", index % len(world.zones))
                         for index in range(world.gateways.count)}
        self._all = [*self.hosts, *self.gateways, CLIENTS, DISCOVERY]

    def zone_of(self, name: str) -> int:
        """The zone index of a host or gateway; -1 for clients and discovery."""
        place = self.hosts.get(name) or self.gateways.get(name)
        return place.zone if place is not None else -1

    def select(self, pattern: str) -> list[str]:
        """Return the names that a pattern matches, in the order of the world."""
        selected: set[str] = set()
        terms = [term.strip() for term in pattern.split(",") if term.strip()]
        if terms and terms[0].startswith("!"):
            selected = set(self._all)
        for term in terms:
            exclude, term = term.startswith("!"), term.removeprefix("!")
            names = set(self._term(term))
            selected = selected - names if exclude else selected | names
        return [name for name in self._all if name in selected]

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
    """Check what the schema can't express, such as names that must exist.  Raises ConfigError with all errors."""
    errors: list[str] = []
    world = experiment.world
    for index, group in enumerate(world.hosts):
        if group.zone and group.zone not in world.zones:
            errors.append(f"world.hosts[{index}].zone: no such zone: {group.zone}")
        if group.bad_class and group.bad_class not in [item.name for item in world.classes]:
            errors.append(f"world.hosts[{index}].bad_class: no such class: {group.bad_class}")
    for what, names in (("zones", world.zones), ("classes", [item.name for item in world.classes])):
        if len(set(names)) < len(names):
            errors.append(f"world.{what}: duplicate name")
    if experiment.load.zone_weights and len(experiment.load.zone_weights) != len(world.zones):
        errors.append(f"load.zone_weights: must have {len(world.zones)} numbers, one per zone")
    if experiment.warmup_s >= experiment.duration_s:
        errors.append("warmup_s: must be below duration_s")
    for index, window in enumerate(experiment.hold.windows):
        if window.to_s <= window.from_s:
            errors.append(f"hold.windows[{index}].to_s: must be above from_s")
    for index, draw in enumerate(experiment.draws):
        if draw.longest_s < draw.least_s:
            errors.append(f"draws[{index}].longest_s: must be at least least_s")
        if draw.to_s <= draw.from_s:
            errors.append(f"draws[{index}].to_s: must be above from_s")
    if errors:
        raise ConfigError([f"{file}: {line}" for line in errors])
    places = Places(experiment)
    if len(places.hosts) < sum(group.count for group in world.hosts):
        raise ConfigError([f"{file}: world.hosts: duplicate host name"])
    for index, fault in enumerate(experiment.faults):
        errors += [f"{file}: faults[{index}].{line}" for line in _fault_errors(places, fault, experiment.driver)]
    if errors:
        raise ConfigError(errors)
    return places


def _targets(places: Places, kind: str) -> dict[str, HostPlace] | dict[str, GatewayPlace] | None:
    """Possible targets of a fault of this kind; None: the links between any two places."""
    return places.hosts if kind in HOST_FAULTS else places.gateways if kind in GATEWAY_FAULTS else None


def _fault_errors(places: Places, fault: Fault, driver: str) -> list[str]:
    targets = _targets(places, fault.kind)
    errors = []
    if targets is not None and not set(places.select(fault.on)) & set(targets):
        errors.append(f"on: names no {'host' if targets is places.hosts else 'gateway'}: {fault.on}")
    elif fault.kind in LINK_FAULTS + TAMPERING_FAULTS:
        errors += [f"{key}: matches no place: {pattern}" for key, pattern in (("on", fault.on), ("to", fault.to))
                   if not places.select(pattern)]
    if fault.kind in (*SHARE_FAULTS, "slow", "delay", "rate") and not fault.size:
        errors.append(f"size: must be above 0 for {fault.kind}")
    if fault.kind in SHARE_FAULTS and fault.size > 1:
        errors.append(f"size: must be at most 1 for {fault.kind}")
    if driver == "virtual" and fault.kind in ("misroute", "replay", "swallow", "hup"):
        errors.append(f"kind: {fault.kind} is for the real driver only")
    return errors


def timeline(experiment: Experiment, places: Places) -> list[Fault]:
    """Return all faults in order of time; random ones are drawn from the seed alone."""
    rng = random.Random(f"faults {experiment.seed}")
    faults = []
    for fault in experiment.faults:
        if fault.most:
            targets = _targets(places, fault.kind)
            names = [name for name in places.select(fault.on) if targets is None or name in targets]
            sampled = rng.sample(names, min(fault.most, len(names)))
            faults += [msgspec.structs.replace(fault, on=name, most=0) for name in sampled]
        else:
            faults.append(fault)
    for draw in experiment.draws:
        for _ in range(draw.count):
            kind = rng.choice(draw.kinds)
            targets = _targets(places, kind)
            names = [name for name in places.select(draw.on) if targets is None or name in targets]
            others = places.select(draw.to)
            faults.append(Fault(kind, round(rng.uniform(draw.from_s, draw.to_s), 3),
                                round(rng.uniform(draw.least_s, draw.longest_s), 3),
                                rng.choice(names) if names else draw.on,
                                rng.choice(others) if others else draw.to, rng.random() < 0.5, draw.size))
    return sorted(faults, key=lambda fault: fault.at_s)
