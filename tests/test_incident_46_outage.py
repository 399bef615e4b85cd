"""The orders of an outage of discovery on real processes: a change counts 6 s after discovery had it (incident 46)."""

from __future__ import annotations

from pathlib import Path

import pytest
import uvloop

from tests.soak.plan import Fault, Plan
from tests.soak.runner import build_shim, run_plan

FAULT_AT_S = 3.0
DRAIN_AT_S = FAULT_AT_S + 0.05
GRACE_S = 0.3
TOLD_WITHIN_S = 6.0
TOLERANCE_S = 0.05
DURATION_S = 16.0
ORDERS = {
    "the watch is silent": Fault(FAULT_AT_S, "silent", "n0", size=1),
    "the change waits behind empty lines": Fault(FAULT_AT_S - 0.1, "ends_late", "n0", 4.0, 2.9),
}


@pytest.fixture(scope="module")
def shim(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The shim, built once per module."""
    return build_shim(tmp_path_factory.mktemp("shim"))


@pytest.mark.parametrize("order", ORDERS)
def test_a_change_before_an_outage_counts_six_seconds_after_discovery_had_it(order: str, shim: Path,
                                                                             tmp_path: Path) -> None:
    """Guards against an outage that puts off what discovery had, and could be asked for, before it."""
    faults = sorted([ORDERS[order], Fault(DRAIN_AT_S, "drain", "h0"),
                     Fault(DRAIN_AT_S + 1.5, "refuse", "n0", DURATION_S)], key=lambda fault: fault.at)
    plan = Plan(seed=46, gateways=1, hosts=4, clients=20, pause=0.05, pushed=False, grace=GRACE_S, patience=1.0,
                leaves=0.0, lasts=DURATION_S, faults=faults)
    journal = uvloop.run(run_plan(plan, shim, log_folder=tmp_path)).journal
    told_at = DRAIN_AT_S + TOLD_WITHIN_S
    late = [attempt.at - told_at for attempt in journal.attempts
            if attempt.host == "h0" and attempt.at > told_at + GRACE_S + TOLERANCE_S]
    assert not late, f"{len(late)} late, the last {max(late):.1f} s after the change counts"
