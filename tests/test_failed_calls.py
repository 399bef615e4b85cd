"""What failed calls to discovery prove, and how often they are made, in virtual time."""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import Any

import pytest

from bridgesaddle.api import MS, SECOND
from gateway.reachability import Reachability
from tests.test_propagation_bound import DRAIN_GRACE_NS, FAILURES, OLD_GENERATION, PROPAGATION_BOUND_NS, SilentWatch
from tests.virtual import HEAD, Wire, update

NEVER_RETURNS_NS = 10**12 * MS
FIRST, SECOND_SERVICE, THIRD = (("127.0.0.1", port) for port in (1, 2, 3))


def test_several_failed_calls_to_one_service_prove_nothing_about_the_others() -> None:
    reach = Reachability(services=3)
    assert not any(reach.record_failure(FIRST) for _ in range(5))
    assert not reach.record_failure(SECOND_SERVICE)
    assert reach.record_failure(THIRD)
    reach.record_success()
    assert not reach.record_failure(THIRD)


@pytest.mark.parametrize("pushed", [False, True])
def test_alternating_resets_and_503_responses_do_not_extend_the_lease(
        monkeypatch: pytest.MonkeyPatch, pushed: bool) -> None:
    scenario = SilentWatch(monkeypatch, ["reset", "reset", "immediate 503"], NEVER_RETURNS_NS, 0, pushed, 1)

    def done() -> bool:
        assert scenario.discovery.lease.until_ns <= scenario.silent_at + 2 * PROPAGATION_BOUND_NS + DRAIN_GRACE_NS
        return False
    scenario.clock.run(scenario.silent_at + 60 * SECOND, done)


def test_calls_that_fail_for_lack_of_descriptors_back_off_also_after_a_refused_call(
        monkeypatch: pytest.MonkeyPatch) -> None:
    scenario = SilentWatch(monkeypatch, ["refused"], NEVER_RETURNS_NS, 0, False, 1)
    connect: Callable[..., Any] = scenario.loop.create_connection

    async def without_descriptors(*arguments: Any) -> None:
        if scenario.loop.calls >= 2:
            scenario.loop.calls += 1
            raise OSError(errno.EMFILE, "too many open files")
        await connect(*arguments)
    monkeypatch.setattr(scenario.loop, "create_connection", without_descriptors)
    scenario.clock.run(scenario.silent_at + 20 * SECOND, lambda: scenario.loop.calls > 200)
    assert scenario.loop.calls <= 100


def test_a_late_full_list_of_a_concurrent_call_does_not_revert_updates_of_the_watch(
        monkeypatch: pytest.MonkeyPatch) -> None:
    def sends_two_lists(wire: Wire) -> None:
        wire.send_later(HEAD + update(OLD_GENERATION), 40 * MS)
        for number in range(1, 40):
            wire.send_later(b"1\r\n\n\r\n", 40 * MS + number * 100 * MS)
        wire.send_later(update(OLD_GENERATION + 3), 4100 * MS)

    def sends_late(wire: Wire) -> None:
        wire.send_later(HEAD + update(OLD_GENERATION + 2), 200 * MS)
    monkeypatch.setitem(FAILURES, "becomes silent", sends_two_lists)
    monkeypatch.setitem(FAILURES, "sends its list late", sends_late)
    scenario = SilentWatch(monkeypatch, ["sends its list late"], NEVER_RETURNS_NS, 0, False, 1)
    scenario.clock.at(scenario.clock.now, lambda _: scenario.discovery.on_reload(), None)
    scenario.clock.run(scenario.clock.now + 4240 * MS, lambda: False)   # before another call is made
    assert scenario.loop.calls >= 2
    assert scenario.discovery.generation == OLD_GENERATION + 3
