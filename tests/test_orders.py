"""Sequences of faults of discovery in virtual time, against a world that knows when each change counts as told."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import pytest

from tests.orders import rows
from tests.orders.draw import Steps, enumerated, sampled, walk
from tests.orders.play import play, virtual_time
from tests.orders.shrink import shortest
from tests.orders.world import Strictness

SEED = 33
SHOWN = 3
"""So many sequences that break something are shortened and shown."""


@pytest.fixture(autouse=True, scope="module")
def _virtual_time() -> Iterator[None]:
    with virtual_time():
        yield


def assert_holds(steps: Steps, pushed: bool, seed: int) -> None:
    for strictness in Strictness:
        verdict = play(steps, pushed, strictness, seed)
        said = [str(late) for late in verdict.late] + verdict.held
        assert not said, (strictness.value, list(map(str, steps)), seed, said)


@pytest.mark.parametrize("name", rows.ASKED)
def test_no_request_goes_out_late_in_the_orders_that_were_seen_where_lists_are_asked_for(name: str) -> None:
    for seed in range(5):
        assert_holds(rows.ASKED[name], False, seed)


@pytest.mark.parametrize("name", rows.PUSHED)
def test_no_request_goes_out_late_in_the_orders_that_were_seen_where_lists_are_pushed(name: str) -> None:
    for seed in range(5):
        assert_holds(rows.PUSHED[name], True, seed)


def assert_all_hold(sequences: Iterable[Steps], pushed: bool) -> None:
    """By the reading in which an open watch vouches for its list; by the other one: tests/orders, by hand."""
    strictness = Strictness.LAST
    broken, played = [], 0
    for seed, steps in enumerate(sequences):
        played += 1
        verdict = play(steps, pushed, strictness, seed)
        if verdict.kinds:
            broken.append((steps, seed, min(verdict.kinds)))
    shown = []
    for steps, seed, kind in broken[:SHOWN]:
        fewest, verdict = shortest(steps, pushed, strictness, seed, kind)
        shown.append((" | ".join(map(str, fewest)), seed, [*map(str, verdict.late), *verdict.held]))
    assert not broken, (f"{len(broken)} of {played}", *shown)


@pytest.mark.parametrize("pushed", [False, True])
def test_no_request_goes_out_late_and_none_is_held_back_in_any_order_of_two_events(pushed: bool) -> None:
    assert_all_hold([*enumerated(1, pushed, SEED), *enumerated(2, pushed, SEED)], pushed)


@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize("depth", [3, 4])
def test_no_request_goes_out_late_and_none_is_held_back_in_longer_orders(depth: int, pushed: bool) -> None:
    assert_all_hold(sampled(depth, pushed, SEED, 700), pushed)


@pytest.mark.parametrize("pushed", [False, True])
def test_no_request_goes_out_late_and_none_is_held_back_in_random_walks(pushed: bool) -> None:
    assert_all_hold((walk(pushed, seed) for seed in range(60)), pushed)
