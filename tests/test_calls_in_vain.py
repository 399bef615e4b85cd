"""What calls in vain show, and what they cost, in virtual time."""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import Any

import pytest

from bridgesaddle.api import MS, SECOND
from gateway.reachability import Reachability
from tests.test_told import GRACE, OLD, TOLD, WAYS, Served
from tests.virtual import HEAD, Wire, line

NEVER_BACK = 10**12 * MS
FIRST, SECOND_SERVICE, THIRD = (("127.0.0.1", port) for port in (1, 2, 3))


def test_several_misses_of_one_service_show_nothing_of_the_others() -> None:
    reach = Reachability(services=3)
    assert not any(reach.record_failure(FIRST) for _ in range(5))
    assert not reach.record_failure(SECOND_SERVICE)
    assert reach.record_failure(THIRD)
    reach.record_success()
    assert not reach.record_failure(THIRD)


@pytest.mark.parametrize("pushed", [False, True])
def test_a_service_that_answers_by_resets_and_503_in_turn_does_not_keep_the_lease(
        monkeypatch: pytest.MonkeyPatch, pushed: bool) -> None:
    stage = Served(monkeypatch, ["reset", "reset", "turned away at once"], NEVER_BACK, 0, pushed, 1)

    def over() -> bool:
        assert stage.discovery.lease.until_ns <= stage.silent_at + 2 * TOLD + GRACE
        return False
    stage.clock.run(stage.silent_at + 60 * SECOND, over)


def test_calls_that_fail_for_want_of_descriptors_rest_though_one_was_refused_before(
        monkeypatch: pytest.MonkeyPatch) -> None:
    stage = Served(monkeypatch, ["refused"], NEVER_BACK, 0, False, 1)
    connect: Callable[..., Any] = stage.loop.create_connection

    async def without_descriptors(*arguments: Any) -> None:
        if stage.loop.calls >= 2:
            stage.loop.calls += 1
            raise OSError(errno.EMFILE, "too many open files")
        await connect(*arguments)
    monkeypatch.setattr(stage.loop, "create_connection", without_descriptors)
    stage.clock.run(stage.silent_at + 20 * SECOND, lambda: stage.loop.calls > 200)
    assert stage.loop.calls <= 100


def test_a_late_whole_list_of_a_second_call_takes_back_nothing_of_what_the_watch_has_told(
        monkeypatch: pytest.MonkeyPatch) -> None:
    def tells_twice(wire: Wire) -> None:
        wire.say(HEAD + line(OLD), 40 * MS)
        for number in range(1, 40):
            wire.say(b"1\r\n\n\r\n", 40 * MS + number * 100 * MS)
        wire.say(line(OLD + 3), 4100 * MS)

    def tells_late(wire: Wire) -> None:
        wire.say(HEAD + line(OLD + 2), 200 * MS)
    monkeypatch.setitem(WAYS, "falls silent", tells_twice)
    monkeypatch.setitem(WAYS, "tells late", tells_late)
    stage = Served(monkeypatch, ["tells late"], NEVER_BACK, 0, False, 1)
    stage.clock.at(stage.clock.now, lambda _: stage.discovery.on_reload(), None)
    stage.clock.run(stage.clock.now + 4240 * MS, lambda: False)   # before another call is made
    assert stage.loop.calls >= 2
    assert stage.discovery.generation == OLD + 3


