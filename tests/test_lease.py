"""The lease of the list, event by event."""

from __future__ import annotations

import pytest

from bridgesaddle.api import MS, SECOND
from bridgesaddle.lease import (
    HELD_UP,
    LINE_WAITS,
    MOST_CUTOFFS,
    MOST_RELOADS,
    TOLD,
    TOLD_RELOAD,
    ListLease,
    Proof,
    Told,
    Unreachable,
)

GRACE = 300 * MS
SPARE = GRACE - HELD_UP
NOW = 100 * SECOND


def a_lease(pushed: bool = False) -> ListLease:
    """One whose watch has just told its list, long after its start."""
    lease = ListLease(NOW - 20 * SECOND, pushed, GRACE)
    lease.on_reached(NOW - 20 * SECOND)
    lease.on_opened()
    lease.extend(Told(NOW))
    return lease


@pytest.mark.parametrize("pushed", [False, True])
def test_what_is_told_later_renews_it_and_silence_ends_it(pushed: bool) -> None:
    lease = a_lease(pushed)
    assert lease.until_ns == NOW + TOLD + SPARE
    lease.extend(Told(NOW + 2 * SECOND))
    assert lease.until_ns == NOW + 2 * SECOND + TOLD + SPARE
    lease.extend(Told(NOW + SECOND))
    assert lease.until_ns == NOW + 2 * SECOND + TOLD + SPARE


@pytest.mark.parametrize("pushed", [False, True])
def test_a_start_proves_nothing(pushed: bool) -> None:
    lease = ListLease(NOW, pushed, GRACE)
    assert lease.until_ns < NOW
    lease.on_reached(NOW + 100 * MS)
    assert lease.until_ns < NOW


@pytest.mark.parametrize("pushed", [False, True])
def test_only_proofs_lengthen_it(pushed: bool) -> None:
    lease = a_lease(pushed)
    for number, shorten in enumerate((lease.on_reached, lambda at: lease.on_reload(at, at), lease.on_unanswered,
                                      lambda at: lease.on_settings(not pushed, GRACE), lease.on_unread)):
        until = lease.until_ns
        shorten(NOW + number * 500 * MS)
        assert lease.until_ns <= until, shorten


def test_a_service_that_could_not_be_reached_has_what_it_has_count_from_its_return_on() -> None:
    asked, pushed = a_lease(), a_lease(True)
    for lease in (asked, pushed):
        lease.on_watch_lost(NOW + SECOND, NOW + SECOND)
        for number in range(1, 40):
            lease.extend(Unreachable(NOW + SECOND + number * GRACE))
    assert asked.until_ns == NOW + SECOND + 39 * GRACE + TOLD + SPARE
    assert pushed.until_ns == NOW + SECOND + 39 * GRACE + SPARE


@pytest.mark.parametrize("pushed", [False, True])
def test_what_counted_before_a_service_could_not_be_reached_goes_on_to_count(pushed: bool) -> None:
    lease = a_lease(pushed)
    lease.on_watch_lost(NOW + SECOND, NOW + SECOND)
    until = lease.until_ns
    over = until - SPARE + (GRACE if pushed else 0)
    for after in (MS, SECOND, 60 * SECOND):
        lease.extend(Unreachable(over + after))
        assert lease.until_ns == until


def test_sighups_time_is_put_off_while_the_service_can_not_be_reached() -> None:
    lease = a_lease()
    lease.on_watch_lost(NOW + SECOND, NOW + SECOND)
    lease.extend(Unreachable(NOW + 2 * SECOND))
    lease.on_reload(NOW + 2 * SECOND, NOW + 2 * SECOND)
    lease.extend(Unreachable(NOW + 2 * SECOND + TOLD_RELOAD - MS))
    assert lease.until_ns == NOW + 2 * SECOND + TOLD_RELOAD + SPARE
    lease.extend(Unreachable(NOW + 2 * SECOND + TOLD_RELOAD + SECOND))
    assert lease.until_ns == NOW + 3 * SECOND + TOLD_RELOAD + TOLD + SPARE


def test_a_pushed_start_may_go_on_where_the_service_was_gone_within_the_grace() -> None:
    for late, goes_on in ((GRACE, True), (GRACE + MS, False)):
        lease = ListLease(NOW, True, GRACE)
        for after in (late, late + 100 * MS):
            lease.extend(Unreachable(NOW + after))
        assert (lease.until_ns == NOW + late + 100 * MS + SPARE) is goes_on, late


def test_what_a_pushed_service_had_when_it_was_there_counts_though_it_went_again() -> None:
    lease = a_lease(True)
    lease.on_watch_lost(NOW + SECOND, NOW + SECOND)
    lease.extend(Unreachable(NOW + SECOND + 200 * MS))
    lease.on_unanswered(NOW + SECOND + 400 * MS)
    lease.extend(Unreachable(NOW + SECOND + 600 * MS))
    assert lease.until_ns == NOW + SECOND + 200 * MS + SPARE


def test_what_a_service_had_when_it_did_not_answer_counts_though_it_went_then() -> None:
    lease = a_lease()
    lease.on_watch_lost(NOW + SECOND, NOW + SECOND)
    lease.on_unanswered(NOW + 2 * SECOND)
    lease.extend(Unreachable(NOW + 5 * SECOND))
    assert lease.until_ns == NOW + TOLD + SPARE


def test_the_end_of_a_watch_counts_at_once_where_lists_are_pushed() -> None:
    pushed, asked = a_lease(True), a_lease(False)
    for lease in (pushed, asked):
        lease.on_watch_lost(NOW + SECOND, NOW + SECOND)
    assert pushed.until_ns == NOW + SECOND + SPARE
    assert asked.until_ns == NOW + TOLD + SPARE


@pytest.mark.parametrize("pushed", [False, True])
def test_what_could_not_be_read_needs_another_list(pushed: bool) -> None:
    lease = a_lease(pushed)
    lease.on_unread(NOW + SECOND)
    lease.on_unread(NOW + 2 * SECOND)
    proofs: tuple[Proof, ...] = (Told(NOW + 3 * SECOND), Unreachable(NOW + 4 * SECOND), Unreachable(NOW + 60 * SECOND))
    for proof in proofs:
        lease.extend(proof)
        assert lease.until_ns == NOW + SECOND + SPARE
    lease.on_list()
    lease.extend(Told(NOW + 60 * SECOND))
    assert lease.until_ns == NOW + 60 * SECOND + TOLD + SPARE


def test_sighup_shortens_it() -> None:
    lease = a_lease()
    lease.on_reload(NOW, NOW)
    assert lease.until_ns == NOW + TOLD_RELOAD + SPARE


@pytest.mark.parametrize("pushed", [False, True])
def test_only_a_proof_of_its_end_or_later_puts_sighups_time_off(pushed: bool) -> None:
    lease = a_lease(pushed)
    lease.on_reload(NOW, NOW)
    lease.on_reload(NOW + SECOND, NOW + SECOND)
    early: tuple[Proof, ...] = (Told(NOW + TOLD_RELOAD - MS), Unreachable(NOW + TOLD_RELOAD - MS))
    for proof in early:
        lease.extend(proof)
        assert lease.until_ns == NOW + TOLD_RELOAD + SPARE
        assert not lease.wants_list(NOW + TOLD_RELOAD - MS)
        assert lease.wants_list(NOW + TOLD_RELOAD)
    lease.extend(Told(NOW + TOLD_RELOAD))
    assert lease.until_ns == NOW + SECOND + TOLD_RELOAD + SPARE
    lease.extend(Told(NOW + SECOND + TOLD_RELOAD))
    assert lease.until_ns == NOW + SECOND + TOLD_RELOAD + TOLD + SPARE


def test_signals_without_end_are_bounded_and_the_first_of_them_holds() -> None:
    lease = a_lease()
    for number in range(10 * MOST_RELOADS):
        lease.on_reload(NOW + number * MS, NOW + number * MS)
    assert lease.until_ns == NOW + TOLD_RELOAD + SPARE
    lease.extend(Told(NOW + TOLD_RELOAD + SECOND))
    assert lease.until_ns == NOW + TOLD_RELOAD + SECOND + TOLD + SPARE


def test_watches_that_end_without_end_are_bounded_and_the_first_of_them_holds() -> None:
    lease = a_lease()
    for number in range(10 * MOST_CUTOFFS):
        lease.on_watch_lost(NOW + number * MS, NOW + number * MS)
        lease.on_reached(NOW + number * MS)
    assert len(lease._cutoffs) <= MOST_CUTOFFS
    assert lease.until_ns == NOW + TOLD + SPARE
    lease.extend(Told(NOW + TOLD + SECOND))
    assert lease.until_ns == NOW + SECOND + 2 * TOLD + SPARE


def test_a_watch_that_ends_soon_after_a_return_may_not_have_told_what_counts_by_then() -> None:
    for gone in (False, True):
        lease = a_lease()
        lease.extend(Told(NOW + 8 * SECOND))
        lease.on_watch_lost(NOW + 9 * SECOND, NOW + 9 * SECOND)
        if gone:
            lease.extend(Unreachable(NOW + 10 * SECOND))
        lease.on_reached(NOW + 11 * SECOND)
        lease.on_opened()
        lease.extend(Told(NOW + 12 * SECOND))
        lease.extend(Told(NOW + 14 * SECOND))
        assert lease.until_ns == NOW + 14 * SECOND + TOLD + SPARE
        lease.on_watch_lost(NOW + 15 * SECOND, NOW + 15 * SECOND)
        # It counts from the loss on, not from the later call, or from when discovery was last seen to be gone.
        assert lease.until_ns == NOW + (10 if gone else 9) * SECOND + TOLD + SPARE


def test_a_watch_that_ends_after_its_lines_may_have_waited_takes_the_lease_with_it() -> None:
    for after, over in ((TOLD - MS, True), (TOLD, False)):
        lease = a_lease()
        lease.extend(Unreachable(NOW))
        lease.on_reached(NOW + SECOND)
        lease.on_opened()
        lease.extend(Told(NOW + 2 * SECOND))
        lost = NOW + SECOND + after + LINE_WAITS
        lease.extend(Told(lost - LINE_WAITS))
        lease.on_watch_lost(lost, lost)
        assert (lease.until_ns < lost) is over


def test_a_grace_shorter_than_a_hold_up_lengthens_nothing() -> None:
    lease = ListLease(NOW, True, 100 * MS)
    lease.extend(Unreachable(NOW + 50 * MS))
    assert lease.until_ns == NOW + 50 * MS


def test_a_signal_that_came_in_a_stop_is_put_off_only_by_what_is_told_after_the_latest_time_it_may_have_come() -> None:
    lease = a_lease()
    lease.on_reload(NOW, NOW + 5 * SECOND)
    lease.extend(Told(NOW + 5 * SECOND + TOLD_RELOAD - MS))
    assert lease.until_ns == NOW + TOLD_RELOAD + SPARE
    lease.extend(Told(NOW + 5 * SECOND + TOLD_RELOAD))
    assert lease.until_ns == NOW + 5 * SECOND + TOLD_RELOAD + TOLD + SPARE


def test_settings_that_change_from_pushed_to_asked_lengthen_nothing() -> None:
    lease = a_lease(True)
    lease.on_watch_lost(NOW + SECOND, NOW + SECOND)
    lease.on_settings(False, GRACE)
    assert lease.until_ns == NOW + SECOND + SPARE
