"""The judge finds each violation in hand-written histories, and none in valid ones."""

from __future__ import annotations

from typing import Any

import pytest

from moleworks.rig.judge import judge_lines

MS = 1_000_000
WORLD = {
    "t": 0, "e": "world", "driver": "hand", "duration": 10_000 * MS, "warmup": 0,
    "classes": [
        {"name": "read", "aim": 200 * MS, "deadline": 800 * MS, "effect": "safe", "group": "all", "window": 0,
         "worth": 1, "late_worth": 0.5},
        {"name": "keyed", "aim": 200 * MS, "deadline": 800 * MS, "effect": "keyed", "group": "zone",
         "window": 300 * MS, "worth": 1, "late_worth": 0.5},
        {"name": "once", "aim": 200 * MS, "deadline": 800 * MS, "effect": "unsafe", "group": "all", "window": 0,
         "worth": 1, "late_worth": 0.5}],
    "hosts": [{"name": name, "zone": zone, "cell": zone, "listed": True}
              for name, zone in (("a", 0), ("b", 0), ("c", 1), ("x", 1))],
    "gateways": [{"name": "n0", "zone": 0}], "rules": {"max_attempts": 3, "drain_grace": 300 * MS}}
LISTED = {"t": 0, "e": "list", "g": "n0", "full": True, "rows": [[name, "in_service"] for name in "abc"]}


def ask(at: int, cls: int = 0, rid: int = 1) -> dict[str, Any]:
    return {"t": at * MS, "e": "ask", "r": rid, "o": rid, "g": "n0", "c": cls, "ttl": 800 * MS}


def answer(at: int, how: str, by: int = 0, rid: int = 1) -> dict[str, Any]:
    return {"t": at * MS, "e": "answer", "r": rid, "how": how, "by": by}


def begin(at: int, host: str, key: int, rid: int = 1, **more: int) -> dict[str, Any]:
    return {"t": at * MS, "e": "begin", "h": host, "r": rid, "g": "n0", "k": key, "c": 0, "n": 0, "s": -1, "x": -1,
            **more}


def end(at: int, host: str, key: int, how: str) -> dict[str, Any]:
    return {"t": at * MS, "e": "end", "h": host, "k": key, "how": how}


def left(at: int, host: str, key: int) -> dict[str, Any]:
    return {"t": at * MS, "e": "left", "h": host, "k": key}


def gateway(at: int, what: str) -> dict[str, Any]:
    return {"t": at * MS, "e": "gateway", "g": "n0", "what": what}


def host(at: int, name: str, what: str) -> dict[str, Any]:
    return {"t": at * MS, "e": "host", "h": name, "what": what}


def listed(at: int, *rows: tuple[str, str], full: bool = False) -> dict[str, Any]:
    return {"t": at * MS, "e": "list", "g": "n0", "full": full, "rows": [list(row) for row in rows]}


SERVED = [ask(0), begin(1, "a", 7), end(40, "a", 7, "served"), answer(41, "served", 7)]
VALID = {
    "served": SERVED,
    "refused": [ask(0), answer(5, "refused")],
    "failed, tried twice in its zone": [
        ask(0, 1), begin(1, "a", 7), left(100, "a", 7), begin(101, "b", 8), end(140, "b", 8, "error"),
        answer(141, "failed")],
    "tried in another zone as the first was full": [
        ask(0, 1), begin(1, "a", 7), end(2, "a", 7, "full"), begin(5, "c", 8), end(40, "c", 8, "served"),
        answer(41, "served", 8)],
    "refused as all were full": [ask(0, 2), begin(1, "a", 7), end(2, "a", 7, "full"), answer(3, "refused")],
    "cut off by a dying gateway": [ask(0), gateway(50, "down"), answer(51, "cut"), gateway(900, "up")],
    "silent while stopped": [ask(0), gateway(10, "stop"), answer(1300, "none"), gateway(1400, "go")],
    "sent within the grace": [listed(0, ("a", "terminating")), ask(290), begin(300, "a", 7),
                              end(350, "a", 7, "served"), answer(351, "served", 7)],
    "sent before the drain, held by a link": [
        ask(100), listed(150, ("a", "terminating")), begin(900, "a", 7, s=110 * MS), end(901, "a", 7, "served"),
        answer(902, "served", 7)],
    "back in the list": [listed(0, ("a", "terminated")), listed(500, ("a", "in_service")), ask(600),
                         begin(601, "a", 7), end(602, "a", 7, "served"), answer(603, "served", 7)],
    "cancelled in time, arrived late at the host": [
        ask(0), left(0, "b", 6), begin(200, "b", 8), begin(300, "a", 7, s=1 * MS, x=150 * MS),
        end(301, "a", 7, "served"), end(320, "b", 8, "served"), answer(321, "served", 8)],
}
VIOLATIONS = {
    "1 lost": {
        "never answered": [ask(0), answer(1300, "none")],
        "no response recorded": [ask(0)],
        "cut off by a living gateway": [ask(0), answer(40, "cut")],
        "served without a host": [ask(0), answer(41, "served", 99)],
        "served by what was made for another": [
            *SERVED, ask(50, rid=2), begin(51, "a", 8, 2), end(60, "a", 8, "error"), answer(70, "served", 7, 2)],
        "served though the host failed": [ask(0), begin(1, "a", 7), end(40, "a", 7, "error"), answer(41, "served", 7)],
        "answered twice": [*SERVED, answer(50, "failed")],
        "killed long before": [gateway(0, "down"), gateway(100, "up"), ask(500), answer(1900, "none")]},
    "2 repeats": {
        "two at once": [ask(0), begin(1, "a", 7), begin(100, "b", 8), end(200, "a", 7, "served"),
                        end(201, "b", 8, "served"), answer(202, "served", 7)],
        "unsafe, twice": [ask(0, 2), begin(1, "a", 7), end(40, "a", 7, "error"), begin(50, "b", 8),
                          end(90, "b", 8, "served"), answer(91, "served", 8)],
        "keyed, in another zone": [ask(0, 1), begin(1, "a", 7), left(100, "a", 7), begin(101, "c", 8),
                                   end(140, "c", 8, "served"), answer(141, "served", 8)],
        "keyed, past its window": [ask(0, 1), begin(1, "a", 7), left(390, "a", 7), begin(400, "b", 8),
                                   end(440, "b", 8, "served"), answer(441, "served", 8)],
        "refused though it may have run": [ask(0, 1), begin(1, "a", 7), left(100, "a", 7), answer(101, "refused")],
        "four attempts": [ask(0), *(line for key in range(4) for line in (
            begin(key * 10, "a", key + 1), end(key * 10 + 5, "a", key + 1, "error"))), answer(60, "failed")],
        "of an unknown request": [*SERVED, begin(50, "a", 9, 44), end(60, "a", 9, "served")]},
    "3 drains": {
        "after the grace": [listed(0, ("a", "terminating")), ask(600), begin(601, "a", 7),
                            end(640, "a", 7, "served"), answer(641, "served", 7)],
        "missing from a full list": [listed(0, ("b", "in_service"), full=True), ask(600), begin(601, "a", 7),
                                     end(640, "a", 7, "served"), answer(641, "served", 7)],
        "never named": [ask(0), begin(1, "x", 7), end(40, "x", 7, "served"), answer(41, "served", 7)]},
    "4 topples": {"one": [*SERVED, host(50, "a", "topple")]},
}


def verdict(lines: list[dict[str, Any]], hold: dict[str, Any] | None = None) -> dict[str, Any]:
    return judge_lines([WORLD, LISTED, *sorted(lines, key=lambda line: line["t"])], hold or {})[0]


@pytest.mark.parametrize("name", VALID)
def test_a_valid_history_passes(name: str) -> None:
    assert verdict(VALID[name])["broken"] == []


@pytest.mark.parametrize(("rule", "name"), [(rule, name) for rule, cases in VIOLATIONS.items() for name in cases])
def test_each_violation_is_reported_under_its_rule(rule: str, name: str) -> None:
    result = verdict(VIOLATIONS[rule][name])
    assert result["verdict"] == "broken"
    assert {text.split(":")[0] for text in result["broken"]} == {rule}


def test_required_figures_count_first_tries() -> None:
    lines = []
    for rid in range(1, 11):
        done = 900 if rid == 1 else 300 if rid == 2 else 50
        lines += [ask(rid * 1000, rid=rid), begin(rid * 1000 + 1, "a", rid, rid),
                  end(rid * 1000 + done - 1, "a", rid, "served"), answer(rid * 1000 + done, "served", rid, rid)]
    result = verdict(lines, {"served": 0.95, "in_time": 0.8, "windows": [
        {"from_s": 0, "to_s": 3, "in_time": 0.5}, {"from_s": 3, "to_s": 20, "in_time": 0.9}]})
    assert (result["figures"]["asked"], result["figures"]["served"], result["figures"]["in_time"]) == (10, 0.9, 0.8)
    assert result["broken"] == ["hold: served 0.9000 is below 0.95", "hold: in_time 0.0000 from 0 to 3 s is below 0.5"]


def test_a_run_with_a_late_or_interrupted_rig_never_passes() -> None:
    note = {"t": 60 * MS, "e": "note", "what": "late", "figures": {"p_ms": 300.0}}
    assert verdict([*SERVED, note])["broken"] == ["late: the rig itself fell behind, this run does not count"]
    note["what"] = "interrupted"
    assert verdict([*SERVED, note])["verdict"] == "broken"
    assert verdict([])["verdict"] == "broken"   # a run without requests shows nothing
