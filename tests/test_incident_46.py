"""Memory and fairness of a gateway process under clients that flood it, stall or hold its memory (incident 46)."""

from __future__ import annotations

from pathlib import Path

import pytest
import uvloop

from tests.overload.bad_clients import KINDS
from tests.overload.play import faults, play

DURATION_S = 7.0


def run(folder: Path, kinds: str, memory_mb: int, sockets: int, clients: int) -> str:
    """Run clients of these kinds; returns what is wrong and what was seen, empty if all is well."""
    folder.mkdir()
    result = uvloop.run(play(folder, kinds, clients, memory_mb, sockets, DURATION_S))
    wrong = faults(result, memory_mb)
    return f"{', '.join(wrong)}: {result}" if wrong else ""


def test_clients_of_each_kind_leave_memory_and_time_to_others_at_the_least_limit(tmp_path: Path) -> None:
    """Guards against a process over its memory limit, and against clients that starve others."""
    broken = {kind: seen for kind in KINDS if (seen := run(tmp_path / kind, kind, 32, 1024, 330))}
    assert not broken, broken


@pytest.mark.parametrize(("memory_mb", "sockets", "clients"), [(32, 256, 120), (64, 1024, 330), (192, 1024, 330)])
def test_clients_of_all_kinds_together_leave_memory_and_time_to_others(memory_mb: int, sockets: int, clients: int,
                                                                       tmp_path: Path) -> None:
    """Guards against a bound for each kind of client that does not hold for their sum."""
    assert not run(tmp_path / "play", ",".join(KINDS), memory_mb, sockets, clients)


def test_many_more_clients_than_there_is_room_for_do_not_make_memory_grow(tmp_path: Path) -> None:
    """Guards against memory that grows with the rate of refused connections, and against starved clients."""
    assert not run(tmp_path / "play", "half_body", 32, 1024, 800)
