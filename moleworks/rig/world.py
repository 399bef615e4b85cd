"""The first line of a history: the hosts, gateways and classes, and the limits for the judge."""

from __future__ import annotations

from . import history
from .places import Places
from .spec import Experiment


def world_line(experiment: Experiment, places: Places, driver: str) -> history.World:
    """Build the first line of a history."""
    world = experiment.world
    return history.World(
        0, driver, int(experiment.duration_s * 1e9), int(experiment.warmup_s * 1e9),
        [{"name": item.name, "aim": int(item.aim_ms * 1e6), "deadline": int(item.deadline_ms * 1e6),
          "effect": item.effect, "group": item.group, "window": int(item.window_ms * 1e6), "worth": item.worth,
          "late_worth": item.late_worth} for item in world.classes],
        [{"name": place.name, "zone": place.zone, "cell": place.cell, "listed": place.spec.listed}
         for place in places.hosts.values()],
        [{"name": place.name, "zone": place.zone} for place in places.gateways.values()],
        {"max_attempts": world.gateways.max_attempts, "drain_grace": int(world.drain_grace_ms * 1e6)})
