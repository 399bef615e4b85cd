"""Judges the history of a store experiment.  It parses the lines itself and shares no code with the store."""

from __future__ import annotations

import itertools
import json
from pathlib import Path
from typing import Any

from . import registry_judge
from .linear import Holding, Op, TooLong, linearizable, overlapping_holdings, stale_token_writes

FIGURES = ("operations", "unknown", "grants", "acts", "refused", "events", "write_p50_ms", "write_p99_ms",
           "write_gap_s", "takeover_ms", "handover_ms", "member_ends", "undecided")


def _hashable(value: Any) -> Any:
    return tuple(value) if isinstance(value, list) else value


def _quantile(values: list[float], share: float) -> float:
    return round(sorted(values)[min(len(values) - 1, int(len(values) * share))], 2) if values else 0.0


class _History:
    """The lines of a history, grouped by kind."""

    def __init__(self, path: Path) -> None:
        self.lines: list[dict[str, Any]] = []
        with open(path, "rb") as file:
            self.lines = [json.loads(line) for line in file]
        self.by_kind: dict[str, list[dict[str, Any]]] = {}
        for line in self.lines:
            self.by_kind.setdefault(line["e"], []).append(line)

    def all(self, kind: str) -> list[dict[str, Any]]:
        return self.by_kind.get(kind, [])


def _check_linearizable(history: _History, violations: list[str]) -> int:
    """Check each record's operations; return the number of records that could not be decided."""
    ops: dict[str, list[Op]] = {}
    for line in history.all("op"):
        ops.setdefault(line["key"], []).append(Op(
            line["t"], line["end"] if line["end"] >= 0 else None, line["kind"], _hashable(line["arg"]), line["result"],
            line["rev"]))
    undecided = 0
    for key, operations in sorted(ops.items()):
        try:
            if not linearizable(operations):
                violations.append(f"{key} is not linearizable")
        except TooLong:
            undecided += 1
    return undecided


def _check_watch(history: _History, violations: list[str]) -> None:
    """Check the watch for gaps, repeats and reordering: revisions grow, and every acknowledged write is among them."""
    events = history.all("event")
    for one, other in itertools.pairwise(events):
        if other["rev"] <= one["rev"]:
            violations.append(f"the watch told revision {other['rev']} after {one['rev']}")
    seen = {(event["rev"], event["key"]): event["value"] for event in events}
    for line in history.all("op"):
        if line["kind"] == "get" or line["end"] < 0 or not line["result"]:
            continue
        wanted = line["arg"][1] if line["kind"] == "cas" else line["arg"]
        if seen.get((line["rev"], line["key"])) != wanted:
            violations.append(f"the watch told nothing of {line['key']} = {wanted} at revision {line['rev']}")


def _check_duties(history: _History, violations: list[str]) -> None:
    """Check for one holder at a time, growing tokens, and guarded writes only under the newest token."""
    releases = {(line["who"], line["token"]): line["t"] for line in history.all("let")}
    held_until: dict[tuple[str, int], int] = {}
    for line in (*history.all("grant"), *history.all("act")):
        if not line.get("late"):
            key = (line["who"], line["token"])
            held_until[key] = max(held_until.get(key, 0), line["until"])
    kills = [(line["who"], line["t"]) for line in history.all("process") if line["what"] == "killed"]
    holdings = []
    for line in history.all("grant"):
        key = (line["who"], line["token"])
        end = min([held_until[key], releases.get(key, 1 << 62)]
                  + [t for who, t in kills if who == line["who"] and t >= line["t"]])
        holdings.append(Holding("lead", line["who"], line["token"], line["t"], max(end, line["t"])))
    violations += overlapping_holdings(holdings)
    violations += stale_token_writes([(line["t"], line["token"]) for line in history.all("grant")],
                                     [(line["sent"], line["token"], line["who"])
                                      for line in history.all("act") if line["done"]])
    grants = sorted(history.all("grant"), key=lambda line: line["t"])
    for act in history.all("act"):
        if not act["late"]:
            newer = [line for line in grants if line["t"] < act["t"] and line["token"] > act["token"]]
            if newer:
                violations.append(f"{act['who']} acted under token {act['token']} after {newer[0]['who']} had "
                                  f"{newer[0]['token']}")


def _gaps(history: _History) -> tuple[float, float, float]:
    """Return the longest interval without an acknowledged write in s, and the longest times in ms until the next
    holder after a holder was killed or stopped, and after a handover."""
    end = history.all("store")[0]["end"]
    times = sorted(line["end"] for line in history.all("op")
                   if line["kind"] != "get" and 0 <= line["end"] <= end and line["result"])
    gap = max((other - one for one, other in itertools.pairwise(times)), default=0)
    grants = sorted((line["t"], line["who"]) for line in history.all("grant"))

    def takeover_ms(t: int, who: str) -> float:
        after = next((at for at, holder in grants if at > t and holder != who), None)
        return (after - t) / 1e6 if after is not None else 0.0
    takeover = [takeover_ms(line["t"], line["on"]) for line in history.all("fault")
                if line["what"] == "begin" and line["kind"] in ("kill", "stop") and line["on"].startswith("d")
                and line["to"] == "holds"]
    handover = [takeover_ms(line["t"], line["who"]) for line in history.all("let") if line["why"] == "handed"]
    return gap / 1e9, max(takeover, default=0.0), max(handover, default=0.0)


def judge(path: Path, least: dict[str, float], most: dict[str, float]) -> dict[str, Any]:
    """Return the verdict, figures and faults of a history."""
    history = _History(path)
    violations: list[str] = []
    if not history.all("store"):
        return {"verdict": "broken", "figures": {}, "faults": [], "broken": ["the history has no beginning"]}
    first = history.all("store")[0]
    undecided = _check_linearizable(history, violations)
    _check_watch(history, violations)
    _check_duties(history, violations)
    if not any(line["answered"] for line in history.all("calm")):
        violations.append("no answer after the faults were over")
    writes = [line for line in history.all("op") if line["kind"] != "get" and line["end"] >= 0]
    times = [(line["end"] - line["t"]) / 1e6 for line in writes]
    gap, takeover, handover = _gaps(history)
    figures: dict[str, float] = {
        "operations": len(history.all("op")), "unknown": sum(line["end"] < 0 for line in history.all("op")),
        "grants": len(history.all("grant")), "acts": len(history.all("act")),
        "refused": sum(line["why"] == "token" for line in history.all("act")), "events": len(history.all("event")),
        "write_p50_ms": _quantile(times, 0.5), "write_p99_ms": _quantile(times, 0.99), "write_gap_s": round(gap, 3),
        "takeover_ms": round(takeover, 1), "handover_ms": round(handover, 1),
        "member_ends": sum(line["what"] == "ended" for line in history.all("process")), "undecided": undecided}
    assert set(figures) == set(FIGURES)
    if first["services"]:
        figures.update(registry_judge.judge(history.by_kind, violations, first["bound"], first["records"]))
    violations += [f"{name} is {figures[name]}, must be at least {bound:g}"
                   for name, bound in least.items() if figures[name] < bound]
    violations += [f"{name} is {figures[name]}, must be at most {bound:g}"
                   for name, bound in most.items() if figures[name] > bound]
    return {"verdict": "broken" if violations else "held", "figures": figures, "faults": history.all("fault"),
            "broken": list(dict.fromkeys(violations))[:100]}
