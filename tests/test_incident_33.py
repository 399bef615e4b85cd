"""The lease of the list on real processes: calls that come up prove nothing, and neither does a start."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

import pytest
import uvloop

from tests.soak.journal import Journal
from tests.soak.plan import CallPlan, Fault, Plan, draw
from tests.soak.runner import build_shim, run_plan

STRIKES_AT = 4.0
TURNED_AWAY_FOR = 40.0
SERVES_AGAIN = 2.5
"""So long before its end each play is free of faults, s."""
IN_VAIN = CallPlan(2.9, "busy")
"""A call that waits its turn and is turned away."""


@pytest.fixture(scope="module")
def shim(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The shim, built once."""
    return build_shim(tmp_path_factory.mktemp("shim"))


def played(shim: Path, keep: Path, lasts: float, scenes: dict[str, list[Fault]]) -> tuple[Counter[str], Journal]:
    """One play, a gateway for each scene: the late requests by scene, and the books."""
    names = {f"n{number}": scene for number, scene in enumerate(scenes)}
    faults = [Fault(STRIKES_AT + 0.05, "drain", "h0")]
    for name, scene in names.items():
        faults += [Fault(fault.at, fault.kind, name, fault.lasts, fault.size, fault.calls) for fault in scenes[scene]]
    faults.sort(key=lambda fault: fault.at)
    plan = Plan(seed=33, gateways=len(names), hosts=4, clients=10, pause=0.06, pushed=False, grace=0.3, patience=1.0,
                leaves=0.0, lasts=lasts, told_gateways=1, faults=faults)
    result = uvloop.run(run_plan(plan, shim, keep=keep))
    assert set(result.broken) <= {"drain"}, result.broken
    senders = [case.split(" from ")[1].split(" ")[0] for case in result.broken.get("drain", [])]
    return Counter(names[sender] for sender in senders), result.journal


def assert_none_is_late_and_all_serve_again(late: Counter[str], books: Journal, lasts: float) -> None:
    """No request was late, and each gateway serves at the end."""
    assert not late, late
    for life in books.lives:
        if life.end > lasts - 0.5:
            answered = [ask for ask in books.asks if ask.gateway == life.gateway and ask.status == 200]
            assert any(lasts - SERVES_AGAIN < ask.answered for ask in answered), (life.gateway, "does not serve again")


def silent(*more: Fault) -> list[Fault]:
    """A watch that falls silent, and what comes with it."""
    return [Fault(STRIKES_AT, "silent", "", size=1), *more]


def order(*calls: CallPlan, at: float = STRIKES_AT - 0.5) -> Fault:
    """What becomes of the next calls."""
    return Fault(at, "order", "", calls=calls)


def test_calls_that_wait_or_are_turned_away_do_not_show_a_service_that_is_down(shim: Path, tmp_path: Path) -> None:
    lasts = STRIKES_AT + TURNED_AWAY_FOR + 5.0
    late, books = played(shim, tmp_path, lasts, {
        "four calls wait in vain": silent(order(*4 * [IN_VAIN])),
        "turned away at once for long": silent(Fault(STRIKES_AT, "busy", "", TURNED_AWAY_FOR)),
        "SIGHUP, four calls wait in vain": silent(Fault(STRIKES_AT + 0.1, "reload", ""), order(*4 * [IN_VAIN])),
    })
    assert_none_is_late_and_all_serve_again(late, books, lasts)


def test_an_empty_line_does_not_confirm_a_change_that_waits_for_its_turn(shim: Path, tmp_path: Path) -> None:
    lasts = STRIKES_AT + 19.0
    waits = Fault(STRIKES_AT - 0.1, "ends_late", "", 4.0, 2.9)
    late, books = played(shim, tmp_path, lasts, {
        "two calls wait in vain": [waits, order(*2 * [IN_VAIN])],
        "three calls wait in vain": [waits, order(*3 * [IN_VAIN])],
        "four calls wait in vain": [waits, order(*4 * [IN_VAIN])],
    })
    assert_none_is_late_and_all_serve_again(late, books, lasts)
def test_a_start_proves_nothing_of_the_list_it_begins_with(shim: Path, tmp_path: Path) -> None:
    lasts = STRIKES_AT + 25.0
    killed = Fault(STRIKES_AT, "kill", "", size=6.0)
    late, books = played(shim, tmp_path, lasts, {
        "two calls wait in vain": [killed, order(*2 * [IN_VAIN])],
        "four calls wait in vain": [killed, order(*4 * [IN_VAIN])],
    })
    assert_none_is_late_and_all_serve_again(late, books, lasts)


def test_a_service_that_went_down_after_a_start_had_changes_for_the_new_process(shim: Path, tmp_path: Path) -> None:
    plan = draw(8123)
    assert uvloop.run(run_plan(plan, shim, keep=tmp_path)).broken == {}
