"""What an accept or an end owes while signals are late and system calls fail: real processes, one fault each."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest
import uvloop

from tests.soak.plan import Fault, Plan
from tests.soak.runner import SoakRun, build_shim, run_plan

ROUNDS = 16
WAITING = 20


@pytest.fixture(scope="module")
def shim(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The shim, built once."""
    return build_shim(tmp_path_factory.mktemp("shim"))


def test_sigterm_counts_from_when_it_came_also_in_a_stop(shim: Path, tmp_path: Path) -> None:
    """Requests on connections that were open went unanswered when SIGKILL came at its earliest.

    Order of events: the process was stopped for 2 s; SIGTERM came at the start of that; hosts hung; SIGKILL came as
    early as it may, by SIGTERM's own time.  Cause: the drain's end was counted from when the signal was handled.
    """
    faults = [Fault(2.0, "stop", "n0", 2.0), Fault(2.1, "term", "n0", 3.2)]
    faults += [Fault(3.9, "host_hang", "*", 3.0) for _ in range(12)]   # each on a host drawn at random
    plan = Plan(seed=35, gateways=1, hosts=4, clients=40, pause=0.05, pushed=False, grace=0.3, patience=1.0,
                leaves=0.0, lasts=8.0, faults=faults)
    result = uvloop.run(run_plan(plan, shim, keep=tmp_path))
    assert result.broken == {}


async def _answered(stage: SoakRun, number: int) -> bool:
    """Whether a request on a new connection that waits to be accepted is answered."""
    reader, writer = await asyncio.open_connection(*stage.gateways["n0"].address)
    try:
        writer.write(f"GET /read/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: w{number}\r\n"
                     "X-Priority-Class: read\r\nX-Timeout-Ms: 2400\r\n\r\n".encode())
        line = await asyncio.wait_for(reader.readline(), 5.0)
        return line.startswith((b"HTTP/1.1 200", b"HTTP/1.1 503"))
    except (OSError, TimeoutError):
        return False
    finally:
        writer.close()


def test_a_failing_accept_costs_no_other_connection_its_answer(shim: Path, tmp_path: Path) -> None:
    """Clients whose connections waited beside one that failed were cut off without a word.

    Order of events: some connections wait at the listener, the first call of accept fails with ENFILE or EMFILE.
    Cause: the event loop's library then accepts and closes all that wait, to be rid of them.
    Evidence: 20 of 20 unanswered in each round in which the error was one of those two.
    """
    async def scene() -> list[int]:
        stage = SoakRun(Plan(1, 1, 2, 1, 1.0, False, 0.3, 1.0, 0.0), tmp_path / "play", shim)
        unanswered = []
        async with stage.environment():
            gateway = stage.gateways["n0"]
            await gateway.start()
            assert await gateway.wait_ready(), gateway.last_log_line()
            for number in range(ROUNDS):
                gateway.signal(signal.SIGSTOP)
                asks = [asyncio.create_task(_answered(stage, number * WAITING + at)) for at in range(WAITING)]
                await asyncio.sleep(0.05)
                gateway.control.fail_next("accept", 1)
                gateway.signal(signal.SIGCONT)
                unanswered.append(WAITING - sum(await asyncio.gather(*asks)))
            await gateway.close()
        return unanswered
    unanswered = uvloop.run(scene())
    assert sum(unanswered) == 0, unanswered
