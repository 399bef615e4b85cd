"""Builds the settings of a gateway in the form of the platform's configuration.

Names and units are those of the platform's wire format; both drivers read them with `parse_settings`.
"""

from __future__ import annotations

from typing import Any

from .places import Places
from .spec import Class, Experiment

_EFFECTS = {"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}
MACHINE = "orta"


def _ns(ms: float) -> int:
    return round(ms * 1e6)


def _class_settings(item: Class) -> dict[str, Any]:
    return {"name": item.name, "credit": item.worth, "late-value": item.late_worth,
            "slo-ns": _ns(item.aim_ms),
            "give-up-ns": _ns(item.deadline_ms), "effect": _EFFECTS[item.effect], "group": item.group,
            "window-ns": _ns(item.window_ms), "stream": False}


def settings(experiment: Experiment, places: Places, number: int) -> dict[str, Any]:
    """Return the settings of gateway `number`."""
    world = experiment.world
    hosts = [place.spec for place in places.hosts.values()]
    return {
        "az": places.gateways[f"n{number}"].zone, "zones": list(world.zones), "flavors": [MACHINE],
        "my-number": number, "replicas-of-me": world.gateways.count, "round-ns": 1_000_000,
        "discovery": "on_request" if world.discovery.mode == "ask" else "pushed",
        "caps": {"cancel": True, "may-duplicate": False, "max-attempts": world.gateways.max_attempts,
                 "probes": world.gateways.probes, "peers": world.gateways.peers,
                 "retry-after": world.gateways.retry_after, "max-retry-after-ns": 2_000_000_000,
                 "dial-timeout-ns": _ns(world.network.connect_timeout_ms),
                 "conn-idle-ns": round(world.network.idle_s * 1e9), "streams-per-conn": 1, "open-cap": 20000,
                 "cpu-us-per-s": 500000, "cpu-us-per-request": 0.0},
        "rules": {"answer-slack-ns": 20_000_000, "ask-within-ns": 10_000_000_000,
                  "cold-from": min(spec.cold_from for spec in hosts),
                  "warm-within-ns": max(1, round(max(spec.cold_s for spec in hosts) * 1e9)),
                  "drain-grace-ns": _ns(world.drain_grace_ms), "fall-ns": _ns(world.fall_ms),
                  "overload-factor": world.fall_multiple},
        "load-report": {"columns": ["backlog", "recent_ms"], "source": "inline"},
        "goal": {"whole": 0.55, "worst-window": 0.15, "worst-class": 0.3, "worst-tenant": 0.0},
        "prices": {"cross-zone": 0.085, "waste": 0.036, "probe": 0.015, "late-fail": 0.021},
        "request-classes": [_class_settings(item) for item in world.classes],
        "callers": {"marks-retry": False}, "realms": [], "weights": "off", "value-by": "request",
        "over-share-worth": 0.1, "family": "proxy", "family-info": {"warm-keys": False},
    }
