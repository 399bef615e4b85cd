"""The lease on the list of hosts, event by event."""

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
USABLE_GRACE = GRACE - MAX_STALL_NS
NOW = 100 * SECOND


def renewed_lease(pushed: bool = False) -> ListLease:
    """A lease whose watch has just delivered its list, long after the start."""
    lease = ListLease(NOW - 20 * SECOND, pushed, GRACE)
    lease.on_discovery_reached(NOW - 20 * SECOND)
    lease.on_watch_opened()
    lease.extend(UpToDate(NOW))
    return lease


@pytest.mark.parametrize("pushed", [False, True])
def test_later_proofs_extend_it_and_silence_ends_it(pushed: bool) -> None:
    lease = renewed_lease(pushed)
    assert lease.until_ns == NOW + PROPAGATION_BOUND_NS + USABLE_GRACE
    lease.extend(UpToDate(NOW + 2 * SECOND))
    assert lease.until_ns == NOW + 2 * SECOND + PROPAGATION_BOUND_NS + USABLE_GRACE
    lease.extend(UpToDate(NOW + SECOND))
    assert lease.until_ns == NOW + 2 * SECOND + PROPAGATION_BOUND_NS + USABLE_GRACE


@pytest.mark.parametrize("pushed", [False, True])
def test_a_start_proves_nothing(pushed: bool) -> None:
    lease = ListLease(NOW, pushed, GRACE)
    assert lease.until_ns < NOW
    lease.on_discovery_reached(NOW + 100 * MS)
    assert lease.until_ns < NOW


@pytest.mark.parametrize("pushed", [False, True])
def test_events_other_than_proofs_never_extend_it(pushed: bool) -> None:
    lease = renewed_lease(pushed)
    for number, shorten in enumerate((lease.on_discovery_reached, lambda at: lease.on_reload(at, at),
                                      lease.on_call_unanswered,
                                      lambda at: lease.on_settings(not pushed, GRACE), lease.on_unparsable_update)):
        until = lease.until_ns
        shorten(NOW + number * 500 * MS)
        assert lease.until_ns <= until, shorten


def test_changes_take_effect_only_after_the_return_of_an_unreachable_service() -> None:
    pulled, pushed = renewed_lease(), renewed_lease(True)
    for lease in (pulled, pushed):
        lease.on_watch_lost(NOW + SECOND, NOW + SECOND)
        for number in range(1, 40):
            lease.extend(Unreachable(NOW + SECOND + number * GRACE))
    assert pulled.until_ns == NOW + SECOND + 39 * GRACE + PROPAGATION_BOUND_NS + USABLE_GRACE
    assert pushed.until_ns == NOW + SECOND + 39 * GRACE + USABLE_GRACE


@pytest.mark.parametrize("pushed", [False, True])
def test_changes_in_effect_before_the_service_became_unreachable_stay_in_effect(pushed: bool) -> None:
    lease = renewed_lease(pushed)
    lease.on_watch_lost(NOW + SECOND, NOW + SECOND)
    until = lease.until_ns
    effective = until - USABLE_GRACE + (GRACE if pushed else 0)
    for after in (MS, SECOND, 60 * SECOND):
        lease.extend(Unreachable(effective + after))
        assert lease.until_ns == until


def test_the_cutoff_of_sighup_is_postponed_while_the_service_is_unreachable() -> None:
    lease = renewed_lease()
    lease.on_watch_lost(NOW + SECOND, NOW + SECOND)
    lease.extend(Unreachable(NOW + 2 * SECOND))
    lease.on_reload(NOW + 2 * SECOND, NOW + 2 * SECOND)
    lease.extend(Unreachable(NOW + 2 * SECOND + RELOAD_PROPAGATION_BOUND_NS - MS))
    assert lease.until_ns == NOW + 2 * SECOND + RELOAD_PROPAGATION_BOUND_NS + USABLE_GRACE
    lease.extend(Unreachable(NOW + 2 * SECOND + RELOAD_PROPAGATION_BOUND_NS + SECOND))
    assert lease.until_ns == NOW + 3 * SECOND + RELOAD_PROPAGATION_BOUND_NS + PROPAGATION_BOUND_NS + USABLE_GRACE


def test_a_start_in_push_mode_extends_it_if_the_service_was_unreachable_within_the_grace() -> None:
    for late, extended in ((GRACE, True), (GRACE + MS, False)):
        lease = ListLease(NOW, True, GRACE)
        for after in (late, late + 100 * MS):
            lease.extend(Unreachable(NOW + after))
        assert (lease.until_ns == NOW + late + 100 * MS + USABLE_GRACE) is extended, late


def test_a_change_in_push_mode_takes_effect_if_the_service_was_reachable_in_between() -> None:
    lease = renewed_lease(True)
    lease.on_watch_lost(NOW + SECOND, NOW + SECOND)
    lease.extend(Unreachable(NOW + SECOND + 200 * MS))
    lease.on_call_unanswered(NOW + SECOND + 400 * MS)
    lease.extend(Unreachable(NOW + SECOND + 600 * MS))
    assert lease.until_ns == NOW + SECOND + 200 * MS + USABLE_GRACE


def test_a_change_takes_effect_if_the_service_did_not_answer_before_it_became_unreachable() -> None:
    lease = renewed_lease()
    lease.on_watch_lost(NOW + SECOND, NOW + SECOND)
    lease.on_call_unanswered(NOW + 2 * SECOND)
    lease.extend(Unreachable(NOW + 5 * SECOND))
    assert lease.until_ns == NOW + PROPAGATION_BOUND_NS + USABLE_GRACE


def test_the_end_of_a_watch_is_effective_at_once_in_push_mode() -> None:
    pushed, pulled = renewed_lease(True), renewed_lease(False)
    for lease in (pushed, pulled):
        lease.on_watch_lost(NOW + SECOND, NOW + SECOND)
    assert pushed.until_ns == NOW + SECOND + USABLE_GRACE
    assert pulled.until_ns == NOW + PROPAGATION_BOUND_NS + USABLE_GRACE


@pytest.mark.parametrize("pushed", [False, True])
def test_a_malformed_update_requires_another_list(pushed: bool) -> None:
    lease = renewed_lease(pushed)
    lease.on_unparsable_update(NOW + SECOND)
    lease.on_unparsable_update(NOW + 2 * SECOND)
    proofs: tuple[Proof, ...] = (UpToDate(NOW + 3 * SECOND),
                                 Unreachable(NOW + 4 * SECOND), Unreachable(NOW + 60 * SECOND))
    for proof in proofs:
        lease.extend(proof)
        assert lease.until_ns == NOW + SECOND + USABLE_GRACE
    lease.on_list()
    lease.extend(UpToDate(NOW + 60 * SECOND))
    assert lease.until_ns == NOW + 60 * SECOND + PROPAGATION_BOUND_NS + USABLE_GRACE


def test_sighup_shortens_it() -> None:
    lease = renewed_lease()
    lease.on_reload(NOW, NOW)
    assert lease.until_ns == NOW + RELOAD_PROPAGATION_BOUND_NS + USABLE_GRACE


@pytest.mark.parametrize("pushed", [False, True])
def test_only_a_proof_at_or_after_its_cutoff_ends_the_effect_of_sighup(pushed: bool) -> None:
    lease = renewed_lease(pushed)
    lease.on_reload(NOW, NOW)
    lease.on_reload(NOW + SECOND, NOW + SECOND)
    early: tuple[Proof, ...] = (UpToDate(NOW + RELOAD_PROPAGATION_BOUND_NS - MS),
                                Unreachable(NOW + RELOAD_PROPAGATION_BOUND_NS - MS))
    for proof in early:
        lease.extend(proof)
        assert lease.until_ns == NOW + RELOAD_PROPAGATION_BOUND_NS + USABLE_GRACE
        assert not lease.needs_list(NOW + RELOAD_PROPAGATION_BOUND_NS - MS)
        assert lease.needs_list(NOW + RELOAD_PROPAGATION_BOUND_NS)
    lease.extend(UpToDate(NOW + RELOAD_PROPAGATION_BOUND_NS))
    assert lease.until_ns == NOW + SECOND + RELOAD_PROPAGATION_BOUND_NS + USABLE_GRACE
    lease.extend(UpToDate(NOW + SECOND + RELOAD_PROPAGATION_BOUND_NS))
    assert lease.until_ns == NOW + SECOND + RELOAD_PROPAGATION_BOUND_NS + PROPAGATION_BOUND_NS + USABLE_GRACE


def test_the_number_of_tracked_signals_is_bounded_and_the_first_is_kept() -> None:
    lease = renewed_lease()
    for number in range(10 * MAX_PENDING_RELOADS):
        lease.on_reload(NOW + number * MS, NOW + number * MS)
    assert lease.until_ns == NOW + RELOAD_PROPAGATION_BOUND_NS + USABLE_GRACE
    lease.extend(UpToDate(NOW + RELOAD_PROPAGATION_BOUND_NS + SECOND))
    assert lease.until_ns == NOW + RELOAD_PROPAGATION_BOUND_NS + SECOND + PROPAGATION_BOUND_NS + USABLE_GRACE


def test_the_number_of_cutoffs_is_bounded_and_the_first_is_kept() -> None:
    lease = renewed_lease()
    for number in range(10 * MAX_CUTOFFS):
        lease.on_watch_lost(NOW + number * MS, NOW + number * MS)
        lease.on_discovery_reached(NOW + number * MS)
    assert len(lease._cutoffs) <= MAX_CUTOFFS
    assert lease.until_ns == NOW + PROPAGATION_BOUND_NS + USABLE_GRACE
    lease.extend(UpToDate(NOW + PROPAGATION_BOUND_NS + SECOND))
    assert lease.until_ns == NOW + SECOND + 2 * PROPAGATION_BOUND_NS + USABLE_GRACE


def test_a_watch_lost_soon_after_a_return_may_have_missed_changes_since_the_earlier_loss() -> None:
    for unreachable in (False, True):
        lease = renewed_lease()
        lease.extend(UpToDate(NOW + 8 * SECOND))
        lease.on_watch_lost(NOW + 9 * SECOND, NOW + 9 * SECOND)
        if unreachable:
            lease.extend(Unreachable(NOW + 10 * SECOND))
        lease.on_discovery_reached(NOW + 11 * SECOND)
        lease.on_watch_opened()
        lease.extend(UpToDate(NOW + 12 * SECOND))
        lease.extend(UpToDate(NOW + 14 * SECOND))
        assert lease.until_ns == NOW + 14 * SECOND + PROPAGATION_BOUND_NS + USABLE_GRACE
        lease.on_watch_lost(NOW + 15 * SECOND, NOW + 15 * SECOND)
        # The bound runs from the loss, or from when discovery was last found unreachable, not from the later call.
        assert lease.until_ns == NOW + (10 if unreachable else 9) * SECOND + PROPAGATION_BOUND_NS + USABLE_GRACE


def test_a_watch_lost_before_the_delayed_updates_are_covered_ends_the_lease() -> None:
    for after, ended in ((PROPAGATION_BOUND_NS - MS, True), (PROPAGATION_BOUND_NS, False)):
        lease = renewed_lease()
        lease.extend(Unreachable(NOW))
        lease.on_discovery_reached(NOW + SECOND)
        lease.on_watch_opened()
        lease.extend(UpToDate(NOW + 2 * SECOND))
        lost = NOW + SECOND + after + MAX_UPDATE_DELAY_NS
        lease.extend(UpToDate(lost - MAX_UPDATE_DELAY_NS))
        lease.on_watch_lost(lost, lost)
        assert (lease.until_ns < lost) is ended


def test_a_grace_shorter_than_the_longest_stall_does_not_extend_it() -> None:
    lease = ListLease(NOW, True, 100 * MS)
    lease.extend(Unreachable(NOW + 50 * MS))
    assert lease.until_ns == NOW + 50 * MS


def test_a_signal_during_a_stall_needs_a_proof_after_the_latest_time_of_its_arrival() -> None:
    lease = renewed_lease()
    lease.on_reload(NOW, NOW + 5 * SECOND)
    lease.extend(UpToDate(NOW + 5 * SECOND + RELOAD_PROPAGATION_BOUND_NS - MS))
    assert lease.until_ns == NOW + RELOAD_PROPAGATION_BOUND_NS + USABLE_GRACE
    lease.extend(UpToDate(NOW + 5 * SECOND + RELOAD_PROPAGATION_BOUND_NS))
    assert lease.until_ns == NOW + 5 * SECOND + RELOAD_PROPAGATION_BOUND_NS + PROPAGATION_BOUND_NS + USABLE_GRACE


def test_settings_that_change_from_push_to_pull_mode_do_not_extend_it() -> None:
    lease = renewed_lease(True)
    lease.on_watch_lost(NOW + SECOND, NOW + SECOND)
    lease.on_settings(False, GRACE)
    assert lease.until_ns == NOW + SECOND + USABLE_GRACE
