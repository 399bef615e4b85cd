"""Sequences of discovery faults in virtual time: no request is sent after a change that had to be followed."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import pytest

from tests.orders import rows
from tests.orders.draw import Steps, enumerated, sampled, walk
from tests.orders.play import play, virtual_time
from tests.orders.shrink import shrink
from tests.orders.world import Strictness

SEED = 33
MAX_SHOWN = 3
"""How many of the sequences that violate a rule are reduced and shown."""


@pytest.fixture(autouse=True, scope="module")
def _virtual_time() -> Iterator[None]:
    with virtual_time():
        yield


def assert_no_violation(steps: Steps, pushed: bool, seed: int) -> None:
    for strictness in Strictness:
        verdict = play(steps, pushed, strictness, seed)
        violations = [str(late) for late in verdict.late] + verdict.held
        assert not violations, (strictness.value, list(map(str, steps)), seed, violations)


@pytest.mark.parametrize("name", rows.PULL)
def test_no_request_is_sent_late_in_known_sequences_in_pull_mode(name: str) -> None:
    for seed in range(5):
        assert_no_violation(rows.PULL[name], False, seed)


@pytest.mark.parametrize("name", rows.PUSH)
def test_no_request_is_sent_late_in_known_sequences_in_push_mode(name: str) -> None:
    for seed in range(5):
        assert_no_violation(rows.PUSH[name], True, seed)


def assert_no_violation_in_any(sequences: Iterable[Steps], pushed: bool) -> None:
    """Checked with `Strictness.LAST`; `python -m tests.orders` also checks with `Strictness.ANY`."""
    strictness = Strictness.LAST
    violating, played = [], 0
    for seed, steps in enumerate(sequences):
        played += 1
        verdict = play(steps, pushed, strictness, seed)
        if verdict.kinds:
            violating.append((steps, seed, min(verdict.kinds)))
    shown = []
    for steps, seed, kind in violating[:MAX_SHOWN]:
        reduced, verdict = shrink(steps, pushed, strictness, seed, kind)
        shown.append((" | ".join(map(str, reduced)), seed, [*map(str, verdict.late), *verdict.held]))
    assert not violating, (f"{len(violating)} of {played}", *shown)


@pytest.mark.parametrize("pushed", [False, True])
def test_requests_are_neither_late_nor_blocked_in_all_sequences_of_up_to_two_steps(pushed: bool) -> None:
    assert_no_violation_in_any([*enumerated(1, pushed, SEED), *enumerated(2, pushed, SEED)], pushed)


@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize("depth", [3, 4])
def test_requests_are_neither_late_nor_blocked_in_samples_of_longer_sequences(depth: int, pushed: bool) -> None:
    assert_no_violation_in_any(sampled(depth, pushed, SEED, 700), pushed)


@pytest.mark.parametrize("pushed", [False, True])
def test_requests_are_neither_late_nor_blocked_in_random_walks(pushed: bool) -> None:
    assert_no_violation_in_any((walk(pushed, seed) for seed in range(60)), pushed)
