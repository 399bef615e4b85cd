"""Incident 27 on real processes: what the gateway does with a change that it could know of.

Each play has one kind of fault; the rules are judged from hosts, discovery and clients alone (`tests/soak/books.py`).
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
import uvloop

from tests.soak.plan import Fault, Plan
from tests.soak.play import Played, build_shim, play


@pytest.fixture(scope="session")
def shim(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The shim, built once."""
    return build_shim(tmp_path_factory.mktemp("shim"))


def played(shim: Path, faults: list[Fault], *, seed: int = 1, pushed: bool = True, **more: Any) -> Played:
    """A play of one gateway, four hosts and forty clients, with a grace of 1 s."""
    given: dict[str, Any] = {"gateways": 1, "hosts": 4, "clients": 40, "pause": 0.03, "grace": 1.0, "patience": 1.0,
                             "leaves": 0.0, "lasts": max(fault.at + fault.lasts for fault in faults) + 2.5}
    result: Played = uvloop.run(play(Plan(seed=seed, pushed=pushed, faults=faults, **(given | more)), shim))
    return result


STOPS = [(number * 4.0, lasts) for number, lasts in enumerate((1.2, 2.5, 2.5))]


def test_a_change_that_came_during_a_stop_is_followed_before_anything_is_sent(shim: Path) -> None:
    faults = []
    for number, (at, lasts) in enumerate(STOPS):
        faults += [Fault(1.5 + at, "stop", "n0", lasts), Fault(1.6 + at, "drain", f"h{number}"),
                   Fault(4.9 + at, "ready", f"h{number}")]
    for pushed in (True, False):
        assert played(shim, faults, pushed=pushed).broken == {}


def test_a_change_is_followed_though_connections_to_discovery_did_not_come_up_for_a_while(shim: Path) -> None:
    faults = []
    for number in range(3):
        at = 1.5 + 4.0 * number
        faults += [Fault(at, "drop", "n0", 1.35), Fault(at + 0.01, "reset", "n0"),
                   Fault(at + 1.3, "drain", f"h{number}"), Fault(at + 3.5, "ready", f"h{number}")]
    assert played(shim, faults).broken == {}


def test_after_a_stop_hosts_are_used_as_before(shim: Path) -> None:
    faults = [Fault(3.0 + 5.0 * number, "stop", "n0", 2.5) for number in range(4)]
    books = played(shim, faults).books
    for fault in faults:
        before = books.served(fault.at - 1.0, fault.at)
        after = books.served(fault.at + fault.lasts + 1.0, fault.at + fault.lasts + 2.0)
        assert after >= 0.9 * before, (fault.at, before, after)
