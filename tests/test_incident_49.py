"""Memory of a gateway process beside clients that hold it in ways that nobody listed (incident 49)."""

from __future__ import annotations

from pathlib import Path

import pytest
import uvloop

from tests.overload.behaviour import draw_plan
from tests.overload.play import faults, play

DURATION_S = 45.0
DRAWN_DURATION_S = 15.0
MIN_SERVED_SHARE = 0.9


@pytest.mark.parametrize(("mix", "memory_mb", "sockets", "clients"), [
    ("heads after uploads, stopped and reset uploads, slow readers", 64, 1024, 330),
    ("slow readers of long responses", 64, 1024, 330),
    ("waves", 32, 1024, 330)])
def test_memory_stays_under_its_limit_for_as_long_as_a_crowd_lasts(mix: str, memory_mb: int, sockets: int, clients: int,
                                                                   tmp_path: Path) -> None:
    """Guards against memory that grows with the time that a crowd lasts, and against a crowd that starves others."""
    result = uvloop.run(play(tmp_path, mix, clients, memory_mb, sockets, DURATION_S, "mixed_clients"))
    assert not faults(result, memory_mb, MIN_SERVED_SHARE), str(result)


@pytest.mark.parametrize("seed", [49003, 49004, 49036, 49116])
def test_memory_stays_under_its_limit_beside_clients_drawn_from_a_seed(seed: int, tmp_path: Path) -> None:
    """Guards against kinds of clients that nobody thought of."""
    plan = draw_plan(seed)
    result = uvloop.run(play(tmp_path, str(seed), plan.clients, plan.memory_mb, plan.sockets, DRAWN_DURATION_S,
                             "mixed_clients", plan.replaced_at_s))
    assert not faults(result, plan.memory_mb, MIN_SERVED_SHARE), str(result)
