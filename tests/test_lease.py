"""The lease of the list, event by event."""

from __future__ import annotations

import pytest

from bridgesaddle.api import MS, SECOND
from bridgesaddle.lease import (
    MAX_CUTOFFS,
    MAX_PENDING_RELOADS,
    MAX_STALL_NS,
    MAX_UPDATE_DELAY_NS,
    PROPAGATION_BOUND_NS,
    RELOAD_PROPAGATION_BOUND_NS,
    ListLease,
    Proof,
    Unreachable,
    UpToDate,
)

GRACE = 300 * MS
SPARE = GRACE - MAX_STALL_NS
NOW = 100 * SECOND


def a_lease(pushed: bool = False) -> ListLease:
    """One whose watch has just told its list, long after its start."""
    lease = ListLease(NOW - 20 * SECOND, pushed, GRACE)
    lease.on_discovery_reached(NOW - 20 * SECOND)
    lease.on_watch_opened()
    lease.extend(UpToDate(NOW))
    return lease


@pytest.mark.parametrize("pushed", [False, True])
def test_what_is_told_later_renews_it_and_silence_ends_it(pushed: bool) -> None:
    lease = a_lease(pushed)
    assert lease.until_ns == NOW + PROPAGATION_BOUND_NS + SPARE
    lease.extend(UpToDate(NOW + 2 * SECOND))
    assert lease.until_ns == NOW + 2 * SECOND + PROPAGATION_BOUND_NS + SPARE
    lease.extend(UpToDate(NOW + SECOND))
    assert lease.until_ns == NOW + 2 * SECOND + PROPAGATION_BOUND_NS + SPARE


@pytest.mark.parametrize("pushed", [False, True])
def test_a_start_proves_nothing(pushed: bool) -> None:
    lease = ListLease(NOW, pushed, GRACE)
    assert lease.until_ns < NOW
    lease.on_discovery_reached(NOW + 100 * MS)
    assert lease.until_ns < NOW


@pytest.mark.parametrize("pushed", [False, True])
def test_only_proofs_lengthen_it(pushed: bool) -> None:
    lease = a_lease(pushed)
    for number, shorten in enumerate((lease.on_discovery_reached, lambda at: lease.on_reload(at, at),
                                      lease.on_call_unanswered,
                                      lambda at: lease.on_settings(not pushed, GRACE), lease.on_unparsable_update)):
        until = lease.until_ns
        shorten(NOW + number * 500 * MS)
        assert lease.until_ns <= until, shorten


def test_a_service_that_could_not_be_reached_has_what_it_has_count_from_its_return_on() -> None:
    asked, pushed = a_lease(), a_lease(True)
    for lease in (asked, pushed):
        lease.on_watch_lost(NOW + SECOND, NOW + SECOND)
        for number in range(1, 40):
            lease.extend(Unreachable(NOW + SECOND + number * GRACE))
    assert asked.until_ns == NOW + SECOND + 39 * GRACE + PROPAGATION_BOUND_NS + SPARE
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
    lease.extend(Unreachable(NOW + 2 * SECOND + RELOAD_PROPAGATION_BOUND_NS - MS))
    assert lease.until_ns == NOW + 2 * SECOND + RELOAD_PROPAGATION_BOUND_NS + SPARE
    lease.extend(Unreachable(NOW + 2 * SECOND + RELOAD_PROPAGATION_BOUND_NS + SECOND))
    assert lease.until_ns == NOW + 3 * SECOND + RELOAD_PROPAGATION_BOUND_NS + PROPAGATION_BOUND_NS + SPARE


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
    lease.on_call_unanswered(NOW + SECOND + 400 * MS)
    lease.extend(Unreachable(NOW + SECOND + 600 * MS))
    assert lease.until_ns == NOW + SECOND + 200 * MS + SPARE


def test_what_a_service_had_when_it_did_not_answer_counts_though_it_went_then() -> None:
    lease = a_lease()
    lease.on_watch_lost(NOW + SECOND, NOW + SECOND)
    lease.on_call_unanswered(NOW + 2 * SECOND)
    lease.extend(Unreachable(NOW + 5 * SECOND))
    assert lease.until_ns == NOW + PROPAGATION_BOUND_NS + SPARE


def test_the_end_of_a_watch_counts_at_once_where_lists_are_pushed() -> None:
    pushed, asked = a_lease(True), a_lease(False)
    for lease in (pushed, asked):
        lease.on_watch_lost(NOW + SECOND, NOW + SECOND)
    assert pushed.until_ns == NOW + SECOND + SPARE
    assert asked.until_ns == NOW + PROPAGATION_BOUND_NS + SPARE


@pytest.mark.parametrize("pushed", [False, True])
def test_what_could_not_be_read_needs_another_list(pushed: bool) -> None:
    lease = a_lease(pushed)
    lease.on_unparsable_update(NOW + SECOND)
    lease.on_unparsable_update(NOW + 2 * SECOND)
    proofs: tuple[Proof, ...] = (UpToDate(NOW + 3 * SECOND),
                                 Unreachable(NOW + 4 * SECOND), Unreachable(NOW + 60 * SECOND))
    for proof in proofs:
        lease.extend(proof)
        assert lease.until_ns == NOW + SECOND + SPARE
    lease.on_list()
    lease.extend(UpToDate(NOW + 60 * SECOND))
    assert lease.until_ns == NOW + 60 * SECOND + PROPAGATION_BOUND_NS + SPARE


def test_sighup_shortens_it() -> None:
    lease = a_lease()
    lease.on_reload(NOW, NOW)
    assert lease.until_ns == NOW + RELOAD_PROPAGATION_BOUND_NS + SPARE


@pytest.mark.parametrize("pushed", [False, True])
def test_only_a_proof_of_its_end_or_later_puts_sighups_time_off(pushed: bool) -> None:
    lease = a_lease(pushed)
    lease.on_reload(NOW, NOW)
    lease.on_reload(NOW + SECOND, NOW + SECOND)
    early: tuple[Proof, ...] = (UpToDate(NOW + RELOAD_PROPAGATION_BOUND_NS - MS),
                                Unreachable(NOW + RELOAD_PROPAGATION_BOUND_NS - MS))
    for proof in early:
        lease.extend(proof)
        assert lease.until_ns == NOW + RELOAD_PROPAGATION_BOUND_NS + SPARE
        assert not lease.needs_list(NOW + RELOAD_PROPAGATION_BOUND_NS - MS)
        assert lease.needs_list(NOW + RELOAD_PROPAGATION_BOUND_NS)
    lease.extend(UpToDate(NOW + RELOAD_PROPAGATION_BOUND_NS))
    assert lease.until_ns == NOW + SECOND + RELOAD_PROPAGATION_BOUND_NS + SPARE
    lease.extend(UpToDate(NOW + SECOND + RELOAD_PROPAGATION_BOUND_NS))
    assert lease.until_ns == NOW + SECOND + RELOAD_PROPAGATION_BOUND_NS + PROPAGATION_BOUND_NS + SPARE


def test_signals_without_end_are_bounded_and_the_first_of_them_holds() -> None:
    lease = a_lease()
    for number in range(10 * MAX_PENDING_RELOADS):
        lease.on_reload(NOW + number * MS, NOW + number * MS)
    assert lease.until_ns == NOW + RELOAD_PROPAGATION_BOUND_NS + SPARE
    lease.extend(UpToDate(NOW + RELOAD_PROPAGATION_BOUND_NS + SECOND))
    assert lease.until_ns == NOW + RELOAD_PROPAGATION_BOUND_NS + SECOND + PROPAGATION_BOUND_NS + SPARE


def test_watches_that_end_without_end_are_bounded_and_the_first_of_them_holds() -> None:
    lease = a_lease()
    for number in range(10 * MAX_CUTOFFS):
        lease.on_watch_lost(NOW + number * MS, NOW + number * MS)
        lease.on_discovery_reached(NOW + number * MS)
    assert len(lease._cutoffs) <= MAX_CUTOFFS
    assert lease.until_ns == NOW + PROPAGATION_BOUND_NS + SPARE
    lease.extend(UpToDate(NOW + PROPAGATION_BOUND_NS + SECOND))
    assert lease.until_ns == NOW + SECOND + 2 * PROPAGATION_BOUND_NS + SPARE


def test_a_watch_that_ends_soon_after_a_return_may_not_have_told_what_counts_by_then() -> None:
    for gone in (False, True):
        lease = a_lease()
        lease.extend(UpToDate(NOW + 8 * SECOND))
        lease.on_watch_lost(NOW + 9 * SECOND, NOW + 9 * SECOND)
        if gone:
            lease.extend(Unreachable(NOW + 10 * SECOND))
        lease.on_discovery_reached(NOW + 11 * SECOND)
        lease.on_watch_opened()
        lease.extend(UpToDate(NOW + 12 * SECOND))
        lease.extend(UpToDate(NOW + 14 * SECOND))
        assert lease.until_ns == NOW + 14 * SECOND + PROPAGATION_BOUND_NS + SPARE
        lease.on_watch_lost(NOW + 15 * SECOND, NOW + 15 * SECOND)
        # It counts from the loss on, not from the later call, or from when discovery was last seen to be gone.
        assert lease.until_ns == NOW + (10 if gone else 9) * SECOND + PROPAGATION_BOUND_NS + SPARE


def test_a_watch_that_ends_after_its_lines_may_have_waited_takes_the_lease_with_it() -> None:
    for after, over in ((PROPAGATION_BOUND_NS - MS, True), (PROPAGATION_BOUND_NS, False)):
        lease = a_lease()
        lease.extend(Unreachable(NOW))
        lease.on_discovery_reached(NOW + SECOND)
        lease.on_watch_opened()
        lease.extend(UpToDate(NOW + 2 * SECOND))
        lost = NOW + SECOND + after + MAX_UPDATE_DELAY_NS
        lease.extend(UpToDate(lost - MAX_UPDATE_DELAY_NS))
        lease.on_watch_lost(lost, lost)
        assert (lease.until_ns < lost) is over


def test_a_grace_shorter_than_a_hold_up_lengthens_nothing() -> None:
    lease = ListLease(NOW, True, 100 * MS)
    lease.extend(Unreachable(NOW + 50 * MS))
    assert lease.until_ns == NOW + 50 * MS


def test_a_signal_that_came_in_a_stop_is_put_off_only_by_what_is_told_after_the_latest_time_it_may_have_come() -> None:
    lease = a_lease()
    lease.on_reload(NOW, NOW + 5 * SECOND)
    lease.extend(UpToDate(NOW + 5 * SECOND + RELOAD_PROPAGATION_BOUND_NS - MS))
    assert lease.until_ns == NOW + RELOAD_PROPAGATION_BOUND_NS + SPARE
    lease.extend(UpToDate(NOW + 5 * SECOND + RELOAD_PROPAGATION_BOUND_NS))
    assert lease.until_ns == NOW + 5 * SECOND + RELOAD_PROPAGATION_BOUND_NS + PROPAGATION_BOUND_NS + SPARE


def test_settings_that_change_from_pushed_to_asked_lengthen_nothing() -> None:
    lease = a_lease(True)
    lease.on_watch_lost(NOW + SECOND, NOW + SECOND)
    lease.on_settings(False, GRACE)
    assert lease.until_ns == NOW + SECOND + SPARE
