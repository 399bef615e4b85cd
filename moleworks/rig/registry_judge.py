"""Judges what watchers and readers of the list were told.  Reads plain lines; shares nothing with the list service.

The truth is what the store's records were, revision by revision; the writers' acknowledged changes must stand in it.  A
watcher's list at each version that it took must be the truth's at that version, so that a change which is missed, told
twice after a newer one, or put in another order shows.
"""

from __future__ import annotations

import bisect
import itertools
from collections.abc import Iterable
from typing import Any

FIGURES = ("versions", "told", "reads", "reads_refused", "writes", "refusals", "spread_p50_ms", "spread_p99_ms",
           "age_p99_ms", "left", "expired_s", "settle_s", "longest_gap_s", "service_mb", "cpu_ms_a_version")

Rows = dict[str, tuple[str, str]]


def _share(values: list[float], share: float) -> float:
    return round(sorted(values)[min(len(values) - 1, int(len(values) * share))], 2) if values else 0.0


class _Truth:
    """The list at each version."""

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
        """The newest list that is not newer than a version."""
        index = bisect.bisect_right(self.versions, version) - 1
        return self._lists[index] if index >= 0 else {}


def _watchers(truth: _Truth, lines: list[dict[str, Any]], told: list[str]) -> dict[int, list[tuple[int, int]]]:
    """Each watcher's own books; returns when it came to which version."""
    lists: dict[int, Rows] = {}
    versions: dict[int, list[tuple[int, int]]] = {}
    for line in lines:
        who = line["w"]
        before = versions.setdefault(who, [])
        if before and line["gen"] < before[-1][1]:
            told.append(f"watcher {who} took version {line['gen']} after {before[-1][1]}")
        rows = {} if line["reset"] else dict(lists.get(who, {}))
        for name, state, where in line["rows"]:
            if state == "terminated":
                rows.pop(name, None)
            else:
                rows[name] = (state, where)
        lists[who] = rows
        if rows != (true := truth.at(line["gen"])):
            names = sorted(name for name in {*rows, *true} if rows.get(name) != true.get(name))
            told.append(f"watcher {who} has another list at version {line['gen']}: {', '.join(names[:4])}")
        before.append((line["t"], line["gen"]))
    return versions


def _reads(truth: _Truth, lines: list[dict[str, Any]], written: list[dict[str, Any]], bound_ms: float,
           told: list[str]) -> list[float]:
    """Each answer holds whatever was acknowledged before it was asked for, less the age that it tells of."""
    acks = sorted((line["end"], line["gen"]) for line in written if line["end"] >= 0 and line["status"] == 200)
    times = [at for at, _ in acks]
    newest = []
    best = 0
    for _, gen in acks:
        best = max(best, gen)
        newest.append(best)
    ages = []
    for line in lines:
        if line["end"] < 0 or line["age"] < 0:
            continue
        ages.append(float(line["age"]))
        if line["age"] > bound_ms:
            told.append(f"a list of {line['age']} ms was given out")
        index = bisect.bisect_right(times, line["t"] - (line["age"] + 1) * 1_000_000) - 1
        if index >= 0 and line["gen"] < newest[index]:
            told.append(f"a list of version {line['gen']} said to be {line['age']} ms old lacks {newest[index]}")
        rows = {name: (state, where) for name, state, where in line["rows"]}
        if rows != truth.at(line["gen"]):
            told.append(f"a reader has another list at version {line['gen']}")
    return ages


def judge(story: dict[str, list[dict[str, Any]]], told: list[str], bound_ms: float,
          records: bool) -> dict[str, float]:
    """Adds what is broken to `told`; returns figures."""
    truth = _Truth(story.get("truth", []))
    written = story.get("written", [])
    for line in written:
        if line["end"] < 0 or line["status"] != 200:
            continue
        changed = dict(truth.events.get(line["gen"], []))
        for name, state, where in line["changes"]:
            row = changed.get(name, ("", ""))
            known = row is None if state == "terminated" else (
                row is not None and row[0] == state and where in ("", row[1]))
            if not known and not (state == "terminated" and name not in changed):   # what is not there can't be removed
                told.append(f"version {line['gen']} does not hold what was acknowledged of {name}")
    versions = _watchers(truth, story.get("told", []), told) if records else {}
    if not records:
        for line in story.get("told", []):
            versions.setdefault(line["w"], []).append((line["t"], line["gen"]))
    end = story["calm"][-1]["t"] if story.get("calm") else 0
    settle = 0.0
    for who, found in versions.items():
        came = next((t for t, gen in found if gen >= truth.last), None)
        if came is None:
            told.append(f"watcher {who} ended at version {found[-1][1]}, the last is {truth.last}")
        else:
            settle = max(settle, (came - end) / 1e9)
    ages = _reads(truth, story.get("read", []), written, bound_ms, told)
    spread = []
    for line in written:
        if line["end"] >= 0 and line["status"] == 200:
            for found in versions.values():
                at = bisect.bisect_left([gen for _, gen in found], line["gen"])
                if at < len(found) and found[0][0] < line["t"]:
                    spread.append((found[at][0] - line["t"]) / 1e6)
    left, expired = _lives(truth, story, told)
    load = story["store"][0]["end"]
    gaps = [other - one for found in versions.values()
            for one, other in itertools.pairwise(t for t, _ in found if t <= load)]
    usage: dict[str, list[dict[str, Any]]] = {}
    for line in story.get("usage", []):
        usage.setdefault(line["who"], []).append(line)
    cpu = sum(rows[-1]["cpu"] - rows[0]["cpu"] for rows in usage.values())
    return {"versions": len(truth.versions), "told": len(story.get("told", [])), "reads": len(ages),
            "reads_refused": sum(line["age"] < 0 for line in story.get("read", [])), "writes": len(written),
            "refusals": len(story.get("refusal", [])), "spread_p50_ms": _share(spread, 0.5),
            "spread_p99_ms": _share(spread, 0.99), "age_p99_ms": _share(ages, 0.99), "left": left,
            "expired_s": round(expired, 2), "settle_s": round(settle, 2),
            "longest_gap_s": round(max(gaps, default=0) / 1e9, 2),
            "service_mb": round(max((line["mb"] for line in story.get("usage", [])), default=0.0), 1),
            "cpu_ms_a_version": round(cpu * 1000 / max(1, len(truth.versions)), 2)}


def _lives(truth: _Truth, story: dict[str, list[dict[str, Any]]], told: list[str]) -> tuple[int, float]:
    """Hosts that left though they lived, and how long a dead one stayed: watchers' clocks tell when."""
    dead = {line["who"]: line["t"] for line in story.get("host", []) if line["what"] == "dead"}
    first: dict[int, int] = {}
    for line in story.get("told", []):
        first.setdefault(line["gen"], line["t"])
    seen = sorted(first)
    left, longest = 0, 0.0
    for version in truth.versions:
        for name, row in truth.events[version]:
            if row is None and name.startswith("h"):
                if name not in dead:
                    left += 1
                    told.append(f"{name} left the list at version {version} though it lived")
                    continue
                at = bisect.bisect_left(seen, version)
                if at < len(seen):
                    longest = max(longest, (first[seen[at]] - dead[name]) / 1e9)
    return left, longest
