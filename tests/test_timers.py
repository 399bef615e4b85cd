"""What an ended request leaves behind: timers that have not expired yet must not keep it."""

from __future__ import annotations

import asyncio
import gc

from bridgesaddle import decide
from gateway import core
from gateway.attempt import Attempt
from gateway.timers import MIN_DISCARDED, Timers
from tests.sockets import FakeHost, GatewayHarness, request, run_scenario, wait_until

REQUESTS = 50
KEPT_TYPES = (core.Request, Attempt, decide._Request, decide._Attempt)


def kept_objects() -> list[object]:
    """The objects of requests that are still there; the list keeps those of other tests until it is dropped."""
    return [item for item in gc.get_objects() if isinstance(item, KEPT_TYPES)]


def test_ended_requests_are_not_kept_until_their_timers_expire() -> None:
    """Guards against memory that grows with a client's rate times the deadline."""
    async def scenario() -> None:
        of_other_tests = kept_objects()
        async with GatewayHarness() as harness:
            await harness.start(FakeHost())
            client = await harness.client()
            for number in range(REQUESTS):
                assert (await client.fetch(request(rid=f"r{number}")))[0] == 200
            await wait_until(lambda: not harness.gateway.core.open_requests())
            kept = len(kept_objects()) - len(of_other_tests)
            assert kept < REQUESTS // 10, kept
            client.writer.close()
    run_scenario(scenario)


def test_discarded_timers_are_removed_and_the_others_run_in_order() -> None:
    """Guards against a heap that grows with discarded timers, and against a removal that loses others."""
    async def scenario() -> None:
        timers = Timers(asyncio.get_running_loop())
        expired: list[int] = []
        kept = [timers.after((number % 7) * 1_000_000, expired.append, number) for number in range(20)]
        for _ in range(4 * MIN_DISCARDED):
            timers.discard(timers.after(3600_000_000_000, expired.append, -1))
        assert len(timers._heap) <= 2 * MIN_DISCARDED + len(kept)
        timers.discard(kept.pop())
        await wait_until(lambda: len(expired) == len(kept))
        timers.discard(kept[0])   # it has expired
        assert expired == sorted(range(19), key=lambda number: (number % 7, number))
    run_scenario(scenario)
