"""Judges the history of a store experiment.  Reads plain lines; shares nothing with the store or its duties."""

from __future__ import annotations

import itertools
import json
from pathlib import Path
from typing import Any

from . import registry_judge
from .linear import Holding, Op, TooLong, linearizable, overlapping_holdings, stale_token_writes

FIGURES = ("operations", "unknown", "grants", "acts", "refused", "events", "write_p50_ms", "write_p99_ms",
           "write_gap_s", "takeover_ms", "handover_ms", "member_ends", "undecided")


def _value(value: Any) -> Any:
    return tuple(value) if isinstance(value, list) else value


def _share(values: list[float], share: float) -> float:
    return round(sorted(values)[min(len(values) - 1, int(len(values) * share))], 2) if values else 0.0


class _Story:
    """What the lines tell, sorted by what they are about."""

    def __init__(self, path: Path) -> None:
        self.lines: list[dict[str, Any]] = []
        with open(path, "rb") as file:
            self.lines = [json.loads(line) for line in file]
        self.of: dict[str, list[dict[str, Any]]] = {}
        for line in self.lines:
            self.of.setdefault(line["e"], []).append(line)

    def all(self, kind: str) -> list[dict[str, Any]]:
        return self.of.get(kind, [])


def _linear(story: _Story, told: list[str]) -> int:
    """Each record's operations; returns how many records could not be decided."""
    ops: dict[str, list[Op]] = {}
    for line in story.all("op"):
        ops.setdefault(line["key"], []).append(Op(
            line["t"], line["end"] if line["end"] >= 0 else None, line["kind"], _value(line["arg"]), line["result"],
            line["rev"]))
    undecided = 0
    for key, found in sorted(ops.items()):
        try:
            if not linearizable(found):
                told.append(f"{key} is not linearizable")
        except TooLong:
            undecided += 1
    return undecided


def _watched(story: _Story, told: list[str]) -> None:
    """A watch without gap, repeat or another order: revisions grow, and every acknowledged write is among them."""
    events = story.all("event")
    for one, other in itertools.pairwise(events):
        if other["rev"] <= one["rev"]:
            told.append(f"the watch told revision {other['rev']} after {one['rev']}")
    seen = {(event["rev"], event["key"]): event["value"] for event in events}
    for line in story.all("op"):
        if line["kind"] == "get" or line["end"] < 0 or not line["result"]:
            continue
        wanted = line["arg"][1] if line["kind"] == "cas" else line["arg"]
        if seen.get((line["rev"], line["key"])) != wanted:
            told.append(f"the watch told nothing of {line['key']} = {wanted} at revision {line['rev']}")


def _duties(story: _Story, told: list[str]) -> None:
    """One holder at a time, tokens that grow, and guarded writes only under the newest."""
    lets = {(line["who"], line["token"]): line["t"] for line in story.all("let")}
    until: dict[tuple[str, int], int] = {}
    for line in (*story.all("grant"), *story.all("act")):
        if not line.get("late"):
            key = (line["who"], line["token"])
            until[key] = max(until.get(key, 0), line["until"])
    kills = [(line["who"], line["t"]) for line in story.all("process") if line["what"] == "killed"]
    holdings = []
    for line in story.all("grant"):
        key = (line["who"], line["token"])
        end = min([until[key], lets.get(key, 1 << 62)]
                  + [t for who, t in kills if who == line["who"] and t >= line["t"]])
        holdings.append(Holding("lead", line["who"], line["token"], line["t"], max(end, line["t"])))
    told += overlapping_holdings(holdings)
    told += stale_token_writes([(line["t"], line["token"]) for line in story.all("grant")],
                               [(line["sent"], line["token"], line["who"])
                                for line in story.all("act") if line["done"]])
    grants = sorted(story.all("grant"), key=lambda line: line["t"])
    for act in story.all("act"):
        if not act["late"]:
            newer = [line for line in grants if line["t"] < act["t"] and line["token"] > act["token"]]
            if newer:
                told.append(f"{act['who']} acted under token {act['token']} after {newer[0]['who']} had "
                            f"{newer[0]['token']}")


def _gaps(story: _Story) -> tuple[float, float, float]:
    """The longest stretch without an acknowledged write, s; from a holder's kill or stop, and from its hand-over, to
    the next holder, ms."""
    end = story.all("store")[0]["end"]
    times = sorted(line["end"] for line in story.all("op")
                   if line["kind"] != "get" and 0 <= line["end"] <= end and line["result"])
    gap = max((other - one for one, other in itertools.pairwise(times)), default=0)
    grants = sorted((line["t"], line["who"]) for line in story.all("grant"))

    def following(t: int, who: str) -> float:
        after = next((at for at, whose in grants if at > t and whose != who), None)
        return (after - t) / 1e6 if after is not None else 0.0
    taken = [following(line["t"], line["on"]) for line in story.all("fault")
             if line["what"] == "begin" and line["kind"] in ("kill", "stop") and line["on"].startswith("d")
             and line["to"] == "holds"]
    handed = [following(line["t"], line["who"]) for line in story.all("let") if line["why"] == "handed"]
    return gap / 1e9, max(taken, default=0.0), max(handed, default=0.0)


def judge(path: Path, least: dict[str, float], most: dict[str, float]) -> dict[str, Any]:
    """Verdict, figures and faults of a history."""
    story = _Story(path)
    told: list[str] = []
    if not story.all("store"):
        return {"verdict": "broken", "figures": {}, "faults": [], "broken": ["the history has no beginning"]}
    first = story.all("store")[0]
    undecided = _linear(story, told)
    _watched(story, told)
    _duties(story, told)
    if not any(line["answered"] for line in story.all("calm")):
        told.append("no answer after the faults were over")
    writes = [line for line in story.all("op") if line["kind"] != "get" and line["end"] >= 0]
    times = [(line["end"] - line["t"]) / 1e6 for line in writes]
    gap, taken, handed = _gaps(story)
    figures: dict[str, float] = {
        "operations": len(story.all("op")), "unknown": sum(line["end"] < 0 for line in story.all("op")),
        "grants": len(story.all("grant")), "acts": len(story.all("act")),
        "refused": sum(line["why"] == "token" for line in story.all("act")), "events": len(story.all("event")),
        "write_p50_ms": _share(times, 0.5), "write_p99_ms": _share(times, 0.99), "write_gap_s": round(gap, 3),
        "takeover_ms": round(taken, 1), "handover_ms": round(handed, 1),
        "member_ends": sum(line["what"] == "ended" for line in story.all("process")), "undecided": undecided}
    assert set(figures) == set(FIGURES)
    if first["services"]:
        figures.update(registry_judge.judge(story.of, told, first["bound"], first["records"]))
    told += [f"{name} is {figures[name]}, must be at least {bound:g}"
             for name, bound in least.items() if figures[name] < bound]
    told += [f"{name} is {figures[name]}, must be at most {bound:g}"
             for name, bound in most.items() if figures[name] > bound]
    return {"verdict": "broken" if told else "held", "figures": figures, "faults": story.all("fault"),
            "broken": list(dict.fromkeys(told))[:100]}
