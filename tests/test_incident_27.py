"""Incident 27 on real processes: what the gateway does with a change that it could know of.

Each play has one kind of fault; the rules are judged from hosts, discovery and clients alone (`tests/soak/journal.py`).
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
    """The shim, built once."""
    return build_shim(tmp_path_factory.mktemp("shim"))


def played(shim: Path, faults: list[Fault], *, seed: int = 1, pushed: bool = True, **more: Any) -> SoakResult:
    """A play of one gateway, four hosts and forty clients, with a grace of 1 s."""
    given: dict[str, Any] = {"gateways": 1, "hosts": 4, "clients": 40, "pause": 0.03, "grace": 1.0, "patience": 1.0,
                             "leaves": 0.0, "lasts": max(fault.at + fault.lasts for fault in faults) + 2.5}
    result: SoakResult = uvloop.run(run_plan(Plan(seed=seed, pushed=pushed, faults=faults, **(given | more)), shim))
    return result


AIM_S = 0.4
"""The time in which the settings want an answer."""
STOPS = [(number * 4.0, lasts) for number, lasts in enumerate((1.2, 2.5, 2.5))]


def test_a_change_that_came_during_a_stop_is_followed_before_anything_is_sent(shim: Path) -> None:
    faults = []
    for number, (at, lasts) in enumerate(STOPS):
        faults += [Fault(1.5 + at, "stop", "n0", lasts), Fault(1.6 + at, "drain", f"h{number}"),
                   Fault(4.9 + at, "ready", f"h{number}")]
    for pushed in (True, False):
        assert played(shim, faults, pushed=pushed).broken == {}


def test_a_change_is_followed_though_connections_to_discovery_did_not_come_up_for_a_while(shim: Path) -> None:
    faults = []
    for number in range(3):
        at = 1.5 + 4.0 * number
        faults += [Fault(at, "drop", "n0", 1.35), Fault(at + 0.01, "reset", "n0"),
                   Fault(at + 1.3, "drain", f"h{number}"), Fault(at + 3.5, "ready", f"h{number}")]
    assert played(shim, faults).broken == {}


def test_after_a_stop_hosts_are_used_as_before(shim: Path) -> None:
    faults = [Fault(3.0 + 5.0 * number, "stop", "n0", 2.5) for number in range(4)]
    books = played(shim, faults).journal
    for fault in faults:
        again = fault.at + fault.lasts + 1.0
        before, after = books.served(fault.at - 1.0, fault.at), books.served(again, again + 1.0)
        # Each client waits for its answer, so how many ask in a second is the machine's: what it gets is the gateway's.
        assert after >= 0.5 * before > 100, (fault.at, before, after)
        assert books.in_time(again, again + 1.0, AIM_S) >= 0.9 * books.in_time(fault.at - 1.0, fault.at, AIM_S) > 0.8


def test_a_start_meets_ten_failing_calls_and_is_ready(shim: Path, tmp_path: Path) -> None:
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


def test_a_host_that_starts_is_taken_for_cold_whatever_the_wall_clock_did(shim: Path) -> None:
    everywhere = [[Fault(1.0, "clock", "*", 0.1, step)] for step in (3600.0, -3600.0)]
    here = [[Fault(1.0, "clock", "n0", 0.1, step), Fault(1.1, "kill", "n0", 0.1)] for step in (3600.0, -3600.0)]
    for steps in everywhere + here:
        result = played(shim, [*steps, Fault(4.0, "cold", "h0"), Fault(6.0, "cold", "h0")], lasts=9.0)
        assert result.broken == {}, steps
        served = [begin.at for begin in result.journal.attempts if begin.host == "h0"]
        assert max(served) > 8.0, (steps, "it gets nothing for an hour")


def test_a_list_that_could_not_be_written_is_still_owed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    wrote: list[int] = []

    def no_room(_: int) -> None:
        wrote.append(1)
        if len(wrote) <= 2:
            raise OSError(errno.ENOSPC, "no space left")
    monkeypatch.setattr(os, "fsync", no_room)
    (tmp_path / "list-n0.json.999999999.new").write_text("half")   # of a process that was killed in the middle
    kept = CachedList(str(tmp_path), "n0")

    async def scene() -> None:
        loop = asyncio.get_running_loop()
        discovery = FailoverDiscovery(loop, Timers(loop), [("127.0.0.1", 1)], UpdateParser(["a"], [], StartTimes()),
                                      True, lambda kind, listed: None, kept)
        discovery.load_known_list({"generation": 1, "reset": True, "instances": []})
        call = DiscoveryCall(discovery, True)
        row = {"instanceId": "h0", "hostPort": "127.0.0.1:9", "zone": "a", "lifecycle": "in_service"}
        discovery.on_update(call, json.dumps({"generation": 2, "reset": True, "instances": [row]}).encode())
        until = time.monotonic() + 10
        while kept.read() is None and time.monotonic() < until:
            await asyncio.sleep(0.05)
        discovery.close()
    uvloop.run(scene())
    told = kept.read()
    assert told is not None and told["generation"] == 2
    assert [path.name for path in tmp_path.iterdir()] == ["list-n0.json"]


def test_a_list_that_is_refused_changes_nothing_that_is_remembered() -> None:
    lines = UpdateParser(["a"], [], StartTimes())
    row = {"instanceId": "h0", "hostPort": "127.0.0.1:9", "zone": "a", "lifecycle": "in_service"}
    lines.parse({"generation": 1, "reset": True, "instances": [row]})
    lines.read({"generation": 0, "reset": True, "instances": []})   # not accepted
    [item] = lines.read({"generation": 2, "instances": [{**row, "zone": "z"}]}).listed
    assert item.entry.host == "h0"   # its broken entry is still mended by what was accepted


@pytest.mark.parametrize("first", [True, False])
def test_an_older_version_that_comes_after_a_newer_one_is_not_taken(first: bool) -> None:
    async def scene() -> None:
        loop = asyncio.get_running_loop()
        told: list[tuple[ListKind, list[HostState]]] = []
        discovery = Discovery(loop, Timers(loop), ("127.0.0.1", 1), UpdateParser(["a"], [], StartTimes()), False,
                              lambda kind, listed: told.append((kind, [item.entry.state for item in listed])))
        discovery.load_known_list({"generation": 1, "reset": True, "instances": []})
        discovery.watch(True)
        call = discovery._watch
        assert call is not None

        def line(generation: int, lifecycle: str) -> bytes:
            return json.dumps({"generation": generation, "instances": [{
                "instanceId": "h0", "hostPort": "127.0.0.1:9", "zone": "a", "lifecycle": lifecycle}]}).encode()
        discovery.on_update(call, line(3, "terminating"))
        if first:
            call.first_list_ns = 0
        discovery.on_update(call, line(2, "in_service"))
        assert told[1:] == [(ListKind.DELTA, [HostState.DRAINING]), (ListKind.FAILED, [])]
        assert (call.closed, discovery.resume_generation) == (True, 0)   # the whole list is asked for
        discovery.close()
    uvloop.run(scene())
