"""Judges the lists that watchers and readers received; it shares no code with the list service.

The reference is the state of the store's records at each revision; it must contain all acknowledged changes.  At each
version that a watcher accepts, its list must equal the reference at that version.  This detects changes that are lost,
repeated after a newer one, or delivered out of order.
"""

from __future__ import annotations

import bisect
import itertools
from collections.abc import Iterable
from typing import Any

FIGURES = ("versions", "told", "reads", "reads_refused", "writes", "refusals", "spread_p50_ms", "spread_p99_ms",
           "age_p99_ms", "left", "expired_s", "settle_s", "longest_gap_s", "service_mb", "cpu_ms_a_version")

Rows = dict[str, tuple[str, str]]


def _quantile(values: list[float], share: float) -> float:
    return round(sorted(values)[min(len(values) - 1, int(len(values) * share))], 2) if values else 0.0


class _Reference:
    """The reference list at each version."""

    def __init__(self, lines: Iterable[dict[str, Any]]) -> None:
        self.events: dict[int, list[tuple[str, tuple[str, str] | None]]] = {}
        for line in lines:
            row = line["row"]
            self.events.setdefault(line["rev"], []).append((line["name"], (row[0], row[1]) if row else None))
        self.versions = sorted(self.events)
        self.last = self.versions[-1] if self.versions else 0
        self._lists: list[Rows] = []
        rows: Rows = {}
        for version in self.versions:
            rows = dict(rows)
            for name, row in self.events[version]:
                if row is None:
                    rows.pop(name, None)
                else:
                    rows[name] = row
            self._lists.append(rows)

    def at(self, version: int) -> Rows:
        """The newest list at or before `version`."""
        index = bisect.bisect_right(self.versions, version) - 1
        return self._lists[index] if index >= 0 else {}


def _check_watchers(reference: _Reference, lines: list[dict[str, Any]],
                    violations: list[str]) -> dict[int, list[tuple[int, int]]]:
    """Check each watcher's list; return the (time, version) pairs of each watcher."""
    lists: dict[int, Rows] = {}
    versions: dict[int, list[tuple[int, int]]] = {}
    for line in lines:
        who = line["w"]
        received = versions.setdefault(who, [])
        if received and line["gen"] < received[-1][1]:
            violations.append(f"watcher {who} took version {line['gen']} after {received[-1][1]}")
        rows = {} if line["reset"] else dict(lists.get(who, {}))
        for name, state, address in line["rows"]:
            if state == "terminated":
                rows.pop(name, None)
            else:
                rows[name] = (state, address)
        lists[who] = rows
        if rows != (expected := reference.at(line["gen"])):
            names = sorted(name for name in {*rows, *expected} if rows.get(name) != expected.get(name))
            violations.append(f"watcher {who} has another list at version {line['gen']}: {', '.join(names[:4])}")
        received.append((line["t"], line["gen"]))
    return versions


def _check_reads(reference: _Reference, lines: list[dict[str, Any]], written: list[dict[str, Any]], bound_ms: float,
                 violations: list[str]) -> list[float]:
    """Check that each list contains all changes acknowledged before its read minus its age; return the ages in ms."""
    acknowledged = sorted((line["end"], line["gen"]) for line in written if line["end"] >= 0 and line["status"] == 200)
    times = [at for at, _ in acknowledged]
    newest = []
    best = 0
    for _, gen in acknowledged:
        best = max(best, gen)
        newest.append(best)
    ages = []
    for line in lines:
        if line["end"] < 0 or line["age"] < 0:
            continue
        ages.append(float(line["age"]))
        if line["age"] > bound_ms:
            violations.append(f"a list of {line['age']} ms was given out")
        index = bisect.bisect_right(times, line["t"] - (line["age"] + 1) * 1_000_000) - 1
        if index >= 0 and line["gen"] < newest[index]:
            violations.append(f"a list of version {line['gen']} said to be {line['age']} ms old lacks {newest[index]}")
        rows = {name: (state, address) for name, state, address in line["rows"]}
        if rows != reference.at(line["gen"]):
            violations.append(f"a reader has another list at version {line['gen']}")
    return ages


def judge(history: dict[str, list[dict[str, Any]]], violations: list[str], bound_ms: float,
          records: bool) -> dict[str, float]:
    """Append the violations to `violations`; return the figures."""
    reference = _Reference(history.get("truth", []))
    written = history.get("written", [])
    for line in written:
        if line["end"] < 0 or line["status"] != 200:
            continue
        changed = dict(reference.events.get(line["gen"], []))
        for name, state, address in line["changes"]:
            row = changed.get(name, ("", ""))
            applied = row is None if state == "terminated" else (
                row is not None and row[0] == state and address in ("", row[1]))
            # Removing a host that is not in the list changes nothing.
            if not applied and not (state == "terminated" and name not in changed):
                violations.append(f"version {line['gen']} does not hold what was acknowledged of {name}")
    versions = _check_watchers(reference, history.get("told", []), violations) if records else {}
    if not records:
        for line in history.get("told", []):
            versions.setdefault(line["w"], []).append((line["t"], line["gen"]))
    end = history["calm"][-1]["t"] if history.get("calm") else 0
    settle = 0.0
    for who, updates in versions.items():
        settled_at = next((t for t, gen in updates if gen >= reference.last), None)
        if settled_at is None:
            violations.append(f"watcher {who} ended at version {updates[-1][1]}, the last is {reference.last}")
        else:
            settle = max(settle, (settled_at - end) / 1e9)
    ages = _check_reads(reference, history.get("read", []), written, bound_ms, violations)
    delays_ms = []
    for line in written:
        if line["end"] >= 0 and line["status"] == 200:
            for updates in versions.values():
                at = bisect.bisect_left([gen for _, gen in updates], line["gen"])
                if at < len(updates) and updates[0][0] < line["t"]:
                    delays_ms.append((updates[at][0] - line["t"]) / 1e6)
    left, expired = _check_hosts(reference, history, violations)
    load = history["store"][0]["end"]
    gaps = [other - one for updates in versions.values()
            for one, other in itertools.pairwise(t for t, _ in updates if t <= load)]
    usage: dict[str, list[dict[str, Any]]] = {}
    for line in history.get("usage", []):
        usage.setdefault(line["who"], []).append(line)
    cpu = sum(rows[-1]["cpu"] - rows[0]["cpu"] for rows in usage.values())
    return {"versions": len(reference.versions), "told": len(history.get("told", [])), "reads": len(ages),
            "reads_refused": sum(line["age"] < 0 for line in history.get("read", [])), "writes": len(written),
            "refusals": len(history.get("refusal", [])), "spread_p50_ms": _quantile(delays_ms, 0.5),
            "spread_p99_ms": _quantile(delays_ms, 0.99), "age_p99_ms": _quantile(ages, 0.99), "left": left,
            "expired_s": round(expired, 2), "settle_s": round(settle, 2),
            "longest_gap_s": round(max(gaps, default=0) / 1e9, 2),
            "service_mb": round(max((line["mb"] for line in history.get("usage", [])), default=0.0), 1),
            "cpu_ms_a_version": round(cpu * 1000 / max(1, len(reference.versions)), 2)}


def _check_hosts(reference: _Reference, history: dict[str, list[dict[str, Any]]],
                 violations: list[str]) -> tuple[int, float]:
    """Return the number of live hosts that left the list, and how long a dead host stayed in it, by watchers' times."""
    dead = {line["who"]: line["t"] for line in history.get("host", []) if line["what"] == "dead"}
    first: dict[int, int] = {}
    for line in history.get("told", []):
        first.setdefault(line["gen"], line["t"])
    seen = sorted(first)
    left, longest = 0, 0.0
    for version in reference.versions:
        for name, row in reference.events[version]:
            if row is None and name.startswith("h"):
                if name not in dead:
                    left += 1
                    violations.append(f"{name} left the list at version {version} though it lived")
                    continue
                at = bisect.bisect_left(seen, version)
                if at < len(seen):
                    longest = max(longest, (first[seen[at]] - dead[name]) / 1e9)
    return left, longest
