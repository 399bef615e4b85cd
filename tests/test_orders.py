"""Sequences of faults of discovery in virtual time, against a world that knows when each change counts as told."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.orders import rows
from tests.orders.draw import Steps
from tests.orders.play import play, virtual_time
from tests.orders.world import Strictness


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
