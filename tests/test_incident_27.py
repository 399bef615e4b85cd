"""Incident 27 on real processes: how a gateway applies an update that it could have received.

Each run has one kind of fault; the rules are judged only by the records of hosts, discovery and clients
(`tests/soak/journal.py`).
"""

from __future__ import annotations

import asyncio
import errno
import json
import os
import time
from pathlib import Path
from typing import Any

import pytest
import uvloop

from bridgesaddle.api import HostState, ListKind
from gateway.discovery import Discovery
from gateway.discovery_calls import DiscoveryCall
from gateway.failover import CachedList, FailoverDiscovery
from gateway.start_times import StartTimes
from gateway.timers import Timers
from gateway.update_parser import UpdateParser
from tests.soak.plan import Fault, Plan
from tests.soak.runner import SoakResult, SoakRun, build_shim, run_plan


@pytest.fixture(scope="session")
def shim(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Build the shim once for all tests."""
    return build_shim(tmp_path_factory.mktemp("shim"))


def run_faults(shim: Path, faults: list[Fault], *, seed: int = 1, pushed: bool = True, **overrides: Any) -> SoakResult:
    """Run one gateway, four hosts and forty clients with these faults and a drain grace of 1 s."""
    plan: dict[str, Any] = {"gateways": 1, "hosts": 4, "clients": 40, "pause": 0.03, "grace": 1.0, "patience": 1.0,
                            "leaves": 0.0, "lasts": max(fault.at + fault.lasts for fault in faults) + 2.5}
    result: SoakResult = uvloop.run(run_plan(Plan(seed=seed, pushed=pushed, faults=faults, **(plan | overrides)), shim))
    return result


AIM_S = 0.4
"""Target response time of the settings."""
STOPS = [(number * 4.0, lasts) for number, lasts in enumerate((1.2, 2.5, 2.5))]


def test_update_received_during_a_stop_takes_effect_before_requests_are_sent(shim: Path) -> None:
    """The gateway process is stopped, and a host starts to drain meanwhile.

    After the stop the gateway must read the pending update before it sends any request by the old list.
    """
    faults = []
    for number, (at, lasts) in enumerate(STOPS):
        faults += [Fault(1.5 + at, "stop", "n0", lasts), Fault(1.6 + at, "drain", f"h{number}"),
                   Fault(4.9 + at, "ready", f"h{number}")]
    for pushed in (True, False):
        assert run_faults(shim, faults, pushed=pushed).broken == {}


def test_update_takes_effect_in_time_after_connects_to_discovery_timed_out(shim: Path) -> None:
    """The watch is reset while SYNs to discovery are dropped, and a host starts to drain just before that ends.

    If the gateway waited for the kernel's retransmission of the SYN, the drain would take effect too late.
    """
    faults = []
    for number in range(3):
        at = 1.5 + 4.0 * number
        faults += [Fault(at, "drop", "n0", 1.35), Fault(at + 0.01, "reset", "n0"),
                   Fault(at + 1.3, "drain", f"h{number}"), Fault(at + 3.5, "ready", f"h{number}")]
    assert run_faults(shim, faults).broken == {}


def test_served_requests_recover_after_a_stop(shim: Path) -> None:
    """All open attempts time out during a stop of the gateway process.

    If the hosts were blamed for it, clients would be served less, and later, than before the stop.
    """
    faults = [Fault(3.0 + 5.0 * number, "stop", "n0", 2.5) for number in range(4)]
    ledger = run_faults(shim, faults).journal
    for fault in faults:
        later = fault.at + fault.lasts + 1.0
        before, after = ledger.served(fault.at - 1.0, fault.at), ledger.served(later, later + 1.0)
        # Clients wait for each response: the request rate depends on the machine, the share in time on the gateway.
        assert after >= 0.5 * before > 100, (fault.at, before, after)
        assert ledger.in_time(later, later + 1.0, AIM_S) >= 0.9 * ledger.in_time(fault.at - 1.0, fault.at, AIM_S) > 0.8


def test_gateway_starts_in_spite_of_ten_failing_system_calls(shim: Path, tmp_path: Path) -> None:
    """A temporary shortage of local resources during startup must be retried, not end the process."""
    async def scene(operation: str, pushed: bool) -> None:
        stage = SoakRun(Plan(1, 1, 2, 1, 1.0, pushed, 0.3, 1.0, 0.0), tmp_path / f"{operation}-{pushed}", shim)
        async with stage.environment():
            gateway = stage.gateways["n0"]
            gateway.control.fail_next(operation, 10)
            await gateway.start()
            assert await gateway.wait_ready(), gateway.last_log_line()
            await gateway.close()
    for operation in ("socket", "bind", "connect", "accept", "epoll", "disk"):
        uvloop.run(scene(operation, operation == "connect"))


def test_restarted_host_gets_a_slow_start_after_a_step_of_the_wall_clock(shim: Path) -> None:
    """Hosts report their start time by the wall clock, which steps by an hour, everywhere or at the gateway alone.

    A restarted host must be treated as cold, but not for the whole hour.
    """
    everywhere = [[Fault(1.0, "clock", "*", 0.1, step)] for step in (3600.0, -3600.0)]
    here = [[Fault(1.0, "clock", "n0", 0.1, step), Fault(1.1, "kill", "n0", 0.1)] for step in (3600.0, -3600.0)]
    for steps in everywhere + here:
        result = run_faults(shim, [*steps, Fault(4.0, "cold", "h0"), Fault(6.0, "cold", "h0")], lasts=9.0)
        assert result.broken == {}, steps
        served = [begin.at for begin in result.journal.attempts if begin.host == "h0"]
        assert max(served) > 8.0, (steps, "it gets nothing for an hour")


def test_write_of_the_cached_list_is_retried_after_an_error(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """If the write is given up while the disk is full, the next start uses an old list."""
    writes: list[int] = []

    def fail_twice(_: int) -> None:
        writes.append(1)
        if len(writes) <= 2:
            raise OSError(errno.ENOSPC, "no space left")
    monkeypatch.setattr(os, "fsync", fail_twice)
    (tmp_path / "list-n0.json.999999999.new").write_text("half")   # left by a process that was killed during the write
    cached_list = CachedList(str(tmp_path), "n0")

    async def scene() -> None:
        loop = asyncio.get_running_loop()
        discovery = FailoverDiscovery(loop, Timers(loop), [("127.0.0.1", 1)], UpdateParser(["a"], [], StartTimes()),
                                      True, lambda kind, listed: None, cached_list)
        discovery.load_known_list({"generation": 1, "reset": True, "instances": []})
        call = DiscoveryCall(discovery, True)
        row = {"instanceId": "h0", "hostPort": "127.0.0.1:9", "zone": "a", "lifecycle": "in_service"}
        discovery.on_update(call, json.dumps({"generation": 2, "reset": True, "instances": [row]}).encode())
        give_up_at = time.monotonic() + 10
        while cached_list.read() is None and time.monotonic() < give_up_at:
            await asyncio.sleep(0.05)
        discovery.close()
    uvloop.run(scene())
    content = cached_list.read()
    assert content is not None and content["generation"] == 2
    assert [path.name for path in tmp_path.iterdir()] == ["list-n0.json"]


def test_rejected_list_does_not_change_the_entries_kept_for_malformed_instances() -> None:
    """The parser completes a malformed instance from the last accepted entry of its host.

    A list that is parsed but not accepted must not replace these entries.
    """
    parser = UpdateParser(["a"], [], StartTimes())
    row = {"instanceId": "h0", "hostPort": "127.0.0.1:9", "zone": "a", "lifecycle": "in_service"}
    parser.parse({"generation": 1, "reset": True, "instances": [row]})
    parser.read({"generation": 0, "reset": True, "instances": []})   # not accepted
    [item] = parser.read({"generation": 2, "instances": [{**row, "zone": "z"}]}).listed
    assert item.entry.host == "h0"   # still completed from the accepted entry


@pytest.mark.parametrize("first", [True, False])
def test_update_with_an_older_generation_is_rejected(first: bool) -> None:
    """An older update could make a draining host ready again: the call is closed, and a full list requested."""
    async def scene() -> None:
        loop = asyncio.get_running_loop()
        reported: list[tuple[ListKind, list[HostState]]] = []
        discovery = Discovery(loop, Timers(loop), ("127.0.0.1", 1), UpdateParser(["a"], [], StartTimes()), False,
                              lambda kind, listed: reported.append((kind, [item.entry.state for item in listed])))
        discovery.load_known_list({"generation": 1, "reset": True, "instances": []})
        discovery.watch(True)
        call = discovery._watch
        assert call is not None

        def update(generation: int, lifecycle: str) -> bytes:
            return json.dumps({"generation": generation, "instances": [{
                "instanceId": "h0", "hostPort": "127.0.0.1:9", "zone": "a", "lifecycle": lifecycle}]}).encode()
        discovery.on_update(call, update(3, "terminating"))
        if first:
            call.first_list_ns = 0
        discovery.on_update(call, update(2, "in_service"))
        assert reported[1:] == [(ListKind.DELTA, [HostState.DRAINING]), (ListKind.FAILED, [])]
        assert (call.closed, discovery.resume_generation) == (True, 0)   # a full list is requested
        discovery.close()
    uvloop.run(scene())
