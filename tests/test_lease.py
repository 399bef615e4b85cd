"""The lease of the list, event by event."""

from __future__ import annotations

import pytest

from bridgesaddle.api import MS, SECOND
from bridgesaddle.lease import HELD_UP, LINE_WAITS, MOST_RELOADS, STARTING, TOLD, TOLD_RELOAD, ListLease

GRACE = 300 * MS
SPARE = GRACE - HELD_UP
NOW = 100 * SECOND


def a_lease(pushed: bool = False) -> ListLease:
    """One whose list has just been taken."""
    lease = ListLease(NOW - 20 * SECOND, pushed, GRACE)
    lease.on_list(NOW - 10 * SECOND)
    lease.on_list(NOW)
    return lease


@pytest.mark.parametrize("pushed", [False, True])
def test_a_word_of_a_watch_renews_it_and_silence_ends_it(pushed: bool) -> None:
    lease = a_lease(pushed)
    assert lease.until_ns == NOW + TOLD + SPARE
    behind = 0 if pushed else LINE_WAITS   # a change's line may wait for so long
    for said in (lease.on_word, lease.on_line):
        said(NOW + 2 * SECOND)
        assert lease.until_ns == NOW + TOLD + SPARE + max(0, 2 * SECOND - behind)
    lease.on_word(NOW + 4 * SECOND)
    assert lease.until_ns == NOW + 4 * SECOND - behind + TOLD + SPARE


def test_a_started_process_has_what_the_rules_give_it_from_its_start() -> None:
    assert ListLease(NOW, False, GRACE).until_ns == NOW - STARTING + TOLD + SPARE
    assert ListLease(NOW, True, GRACE).until_ns < NOW


def test_the_end_of_a_watch_counts_at_once_where_lists_are_pushed() -> None:
    pushed, asked = a_lease(True), a_lease(False)
    for lease in (pushed, asked):
        lease.on_watch_ended(NOW + SECOND)
    assert pushed.until_ns == NOW + SECOND + SPARE
    assert asked.until_ns == NOW + TOLD + SPARE


@pytest.mark.parametrize("pushed", [False, True])
def test_what_could_not_be_read_needs_another_list(pushed: bool) -> None:
    lease = a_lease(pushed)
    lease.on_unread(NOW + SECOND)
    lease.on_unread(NOW + 2 * SECOND)
    lease.on_word(NOW + 3 * SECOND)
    lease.on_unreachable(NOW + 4 * SECOND)
    assert lease.until_ns == NOW + SECOND + SPARE
    lease.on_list(NOW + 5 * SECOND)
    assert lease.until_ns == NOW + 5 * SECOND + TOLD + SPARE


def test_what_could_not_be_read_does_not_outlast_a_service_that_is_down() -> None:
    lease = a_lease()
    lease.on_unread(NOW)
    lease.on_unreachable(NOW + TOLD)
    assert lease.until_ns == NOW + 2 * TOLD + SPARE


def test_sighup_shortens_it() -> None:
    lease = a_lease()
    lease.on_reload(NOW)
    assert lease.until_ns == NOW + TOLD_RELOAD + SPARE


@pytest.mark.parametrize("pushed", [False, True])
def test_only_a_word_of_its_end_or_later_puts_sighups_time_off(pushed: bool) -> None:
    lease = a_lease(pushed)
    lease.on_reload(NOW)
    lease.on_reload(NOW + SECOND)
    for early in (lease.on_word, lease.on_list, lease.on_unreachable):
        early(NOW + TOLD_RELOAD - MS)
        assert lease.until_ns == NOW + TOLD_RELOAD + SPARE
    assert not lease.wants_word(NOW + TOLD_RELOAD - MS)
    assert lease.wants_word(NOW + TOLD_RELOAD)
    lease.on_word(NOW + TOLD_RELOAD)   # a line may wait for its turn meanwhile
    assert lease.until_ns == NOW + TOLD_RELOAD + SPARE
    lease.on_list(NOW + TOLD_RELOAD)
    assert lease.until_ns == NOW + SECOND + TOLD_RELOAD + SPARE
    lease.on_list(NOW + SECOND + TOLD_RELOAD)
    assert lease.until_ns == NOW + SECOND + TOLD_RELOAD + TOLD + SPARE


def test_signals_without_end_are_bounded_and_the_first_of_them_holds() -> None:
    lease = a_lease()
    for number in range(10 * MOST_RELOADS):
        lease.on_reload(NOW + number * MS)
    assert lease.until_ns == NOW + TOLD_RELOAD + SPARE
    lease.on_list(NOW + TOLD_RELOAD + SECOND)
    assert lease.until_ns == NOW + TOLD_RELOAD + SECOND + TOLD + SPARE


def test_a_watch_that_ends_soon_after_a_return_may_not_have_told_what_counts_by_then() -> None:
    for lost in (ListLease.on_unreachable, ListLease.on_watch_ended):
        lease = a_lease()
        lost(lease, NOW + 10 * SECOND)
        lease.on_list(NOW + 12 * SECOND, NOW + 11 * SECOND)
        lease.on_word(NOW + 14 * SECOND)
        assert lease.until_ns == NOW + 12 * SECOND + TOLD + SPARE
        lease.on_watch_ended(NOW + 15 * SECOND)
        back = 10 if lost is ListLease.on_unreachable else 11   # seen to be gone, or back by the time of the call
        assert lease.until_ns == NOW + back * SECOND + TOLD + SPARE


def test_a_watch_that_ends_after_its_lines_may_have_waited_takes_the_lease_with_it() -> None:
    for after, over in ((TOLD + LINE_WAITS - MS, True), (TOLD + LINE_WAITS, False)):
        lease = a_lease()
        lease.on_unreachable(NOW)
        lease.on_list(NOW + 2 * SECOND, NOW + SECOND)
        lease.on_word(NOW + after)
        lease.on_watch_ended(NOW + after)
        assert (lease.until_ns < NOW + after) is over


def test_a_grace_shorter_than_a_hold_up_lengthens_nothing() -> None:
    lease = ListLease(NOW, True, 100 * MS)
    assert lease.until_ns == NOW - STARTING
