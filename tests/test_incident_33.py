"""The lease of the list on real processes: neither an established call nor a process start renews it."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

import pytest
import uvloop

from tests.soak.journal import Journal
from tests.soak.plan import CallPlan, Fault, Plan, draw
from tests.soak.runner import build_shim, run_plan

FAULT_AT_S = 4.0
REJECTION_S = 40.0
RECOVERY_S = 2.5
"""Each run has no faults for this long before its end."""
REJECTED_CALL = CallPlan(2.9, "busy")
"""A call that is queued and then rejected."""


@pytest.fixture(scope="module")
def shim(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The shim, built once per module."""
    return build_shim(tmp_path_factory.mktemp("shim"))


def run_scenarios(shim: Path, log_folder: Path, duration_s: float,
                  scenarios: dict[str, list[Fault]]) -> tuple[Counter[str], Journal]:
    """Run all scenarios at once, one gateway for each; returns the late requests by scenario, and the journal."""
    names = {f"n{number}": scenario for number, scenario in enumerate(scenarios)}
    faults = [Fault(FAULT_AT_S + 0.05, "drain", "h0")]
    for name, scenario in names.items():
        faults += [Fault(fault.at, fault.kind, name, fault.lasts, fault.size, fault.calls)
                   for fault in scenarios[scenario]]
    faults.sort(key=lambda fault: fault.at)
    plan = Plan(seed=33, gateways=len(names), hosts=4, clients=10, pause=0.06, pushed=False, grace=0.3, patience=1.0,
                leaves=0.0, lasts=duration_s, told_gateways=1, faults=faults)
    result = uvloop.run(run_plan(plan, shim, log_folder=log_folder))
    assert set(result.broken) <= {"drain"}, result.broken
    senders = [case.split(" from ")[1].split(" ")[0] for case in result.broken.get("drain", [])]
    return Counter(names[sender] for sender in senders), result.journal


def assert_no_late_request_and_all_serve(late: Counter[str], journal: Journal, duration_s: float) -> None:
    """Check that no request was late and that each gateway serves at the end of the run."""
    assert not late, late
    for lifetime in journal.lifetimes:
        if lifetime.end > duration_s - 0.5:
            answered = [request for request in journal.requests
                        if request.gateway == lifetime.gateway and request.status == 200]
            assert any(duration_s - RECOVERY_S < request.answered for request in answered
                       ), (lifetime.gateway, "does not serve again")


def silent_watch(*faults: Fault) -> list[Fault]:
    """A watch that falls silent, and further faults."""
    return [Fault(FAULT_AT_S, "silent", "", size=1), *faults]


def call_order(*calls: CallPlan, at: float = FAULT_AT_S - 0.5) -> Fault:
    """A fault that sets the fate of the next calls."""
    return Fault(at, "order", "", calls=calls)


def test_queued_or_rejected_calls_do_not_prove_that_discovery_is_down(shim: Path, tmp_path: Path) -> None:
    duration_s = FAULT_AT_S + REJECTION_S + 5.0
    late, journal = run_scenarios(shim, tmp_path, duration_s, {
        "four calls queued and rejected": silent_watch(call_order(*4 * [REJECTED_CALL])),
        "calls rejected at once for 40 s": silent_watch(Fault(FAULT_AT_S, "busy", "", REJECTION_S)),
        "SIGHUP, four calls queued and rejected": silent_watch(Fault(FAULT_AT_S + 0.1, "reload", ""),
                                                               call_order(*4 * [REJECTED_CALL])),
    })
    assert_no_late_request_and_all_serve(late, journal, duration_s)


def test_a_heartbeat_does_not_prove_that_no_change_is_queued(shim: Path, tmp_path: Path) -> None:
    duration_s = FAULT_AT_S + 19.0
    late_end = Fault(FAULT_AT_S - 0.1, "ends_late", "", 4.0, 2.9)
    late, journal = run_scenarios(shim, tmp_path, duration_s, {
        "two calls queued and rejected": [late_end, call_order(*2 * [REJECTED_CALL])],
        "three calls queued and rejected": [late_end, call_order(*3 * [REJECTED_CALL])],
        "four calls queued and rejected": [late_end, call_order(*4 * [REJECTED_CALL])],
    })
    assert_no_late_request_and_all_serve(late, journal, duration_s)


def test_a_process_start_does_not_renew_the_lease_of_its_first_list(shim: Path, tmp_path: Path) -> None:
    duration_s = FAULT_AT_S + 25.0
    killed = Fault(FAULT_AT_S, "kill", "", size=6.0)
    late, journal = run_scenarios(shim, tmp_path, duration_s, {
        "two calls queued and rejected": [killed, call_order(*2 * [REJECTED_CALL])],
        "four calls queued and rejected": [killed, call_order(*4 * [REJECTED_CALL])],
    })
    assert_no_late_request_and_all_serve(late, journal, duration_s)


def test_discovery_that_goes_down_after_a_process_start_may_have_had_changes_for_it(shim: Path, tmp_path: Path) -> None:
    plan = draw(8123)
    assert uvloop.run(run_plan(plan, shim, log_folder=tmp_path)).broken == {}
