"""The fault kit itself: a short seeded soak, a judge that finds each rule broken, and gateways without a safeguard."""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
from math import inf
from pathlib import Path
from typing import NamedTuple

import pytest
import uvloop

from tests.soak.journal import Ask, Begin, Change, Cold, Journal, Life, Spell, Terms, Watch
from tests.soak.plan import CallPlan, Fault, Plan, draw
from tests.soak.processes import ROOT
from tests.soak.runner import SoakRun, build_shim, run_plan

SEEDS = (101, 102, 103, 104)
LASTS_S = 10.0


@pytest.fixture(scope="session")
def shim(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The shim, built once."""
    return build_shim(tmp_path_factory.mktemp("shim"))


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken_under_faults(shim: Path, seed: int) -> None:
    plan = draw(seed, LASTS_S)
    broken = uvloop.run(run_plan(plan, shim)).broken
    assert broken == {}, json.dumps(plan.record())


RED_ONCE = (9112, 9228, 9230, 9231)
"""Plays by hand that broke a rule; those that are not mended stand in KNOWN-RED.txt with what is known of them."""


@pytest.mark.parametrize("seed", RED_ONCE)
def test_a_play_that_broke_a_rule_breaks_none(shim: Path, seed: int) -> None:
    plan = draw(seed)
    broken = uvloop.run(run_plan(plan, shim)).broken
    assert broken == {}, json.dumps(plan.record())


def test_the_disk_fails_files_only(shim: Path, tmp_path: Path) -> None:
    """A signal wakes the loop by a write to an eventfd, which has no disk to be full: eventfd(2) knows no such error.

    Seen: a process ended with SIGABRT on SIGHUP while 5 % of its calls failed, in two of five plays of a seed.
    Cause: the shim had disk errors for each write that was not to a stream socket, and libuv takes any error of the
    eventfd but EINTR and EAGAIN for a broken kernel.
    Evidence: with the very next such write failing, SIGHUP ends the process each time, in uv_async_send.
    """
    async def scene() -> None:
        stage = SoakRun(Plan(1, 1, 2, 1, 1.0, False, 0.3, 1.0, 0.0), tmp_path / "play", shim)
        async with stage.environment():
            gateway = stage.gateways["n0"]
            await gateway.start()
            assert await gateway.wait_ready(), gateway.last_log_line()
            gateway.control.fail_next("disk", 100)
            gateway.signal(signal.SIGHUP)
            await asyncio.sleep(0.5)
            assert gateway.life is not None and not gateway.life.died, gateway.log.read_text()[-2000:]
            assert (await gateway.figures())["svc.config_reloads"] == 1
            await gateway.close()
    uvloop.run(scene())


def test_a_plan_is_the_same_each_time_it_is_drawn_or_read() -> None:
    for seed in range(50):
        plan = draw(seed)
        assert plan == draw(seed) == Plan.read(json.loads(json.dumps(plan.record())))


def books(pushed: bool = False) -> Journal:
    """One gateway that lives from 0 on, a host that drains at 5, told at once."""
    kept = Journal(Terms(pushed, grace=0.3, window=3.0))
    kept.lives.append(Life("n0", 0.0, written=[(0.0, 1), (5.0, 2)]))
    kept.changes.append(Change(5.0, 2, "h0", False))
    return kept


def ask(kept: Journal, rid: str = "r", at: float = 1.0, cls: str = "read", **more: float) -> Ask:
    asked = Ask(at, "n0", rid, cls, 1.0, answered=at + 0.1, status=200, by=rid)
    for name, value in more.items():
        setattr(asked, name, value)
    kept.asks.append(asked)
    return asked


def begin(kept: Journal, rid: str = "r", at: float = 1.05, host: str = "h1", told_ms: int = 900) -> None:
    kept.attempts.append(Begin(at, "n0", host, rid, told_ms, at))


def test_the_judge_finds_nothing_where_all_is_well() -> None:
    kept = books()
    ask(kept)
    begin(kept)
    begin(kept, at=5.3, host="h0", told_ms=0)   # within the grace
    ask(kept, "r", 5.2)
    assert kept.verdict() == {}


@pytest.mark.parametrize("rule", ["drain", "lost", "gone", "deadline", "duplicate", "refusal", "failback", "crash"])
def test_the_judge_finds_each_rule_broken(rule: str) -> None:
    kept = books()
    if rule == "drain":
        ask(kept, at=5.3)
        begin(kept, at=5.36, host="h0")
    elif rule == "lost":
        ask(kept, answered=inf, status=0)
    elif rule == "gone":
        ask(kept, left=1.2, answered=inf, status=0)
        begin(kept, at=1.35, told_ms=0)
    elif rule == "deadline":
        ask(kept)
        begin(kept, at=1.5, told_ms=700)
    elif rule == "duplicate":
        ask(kept, cls="once")
        begin(kept)
        begin(kept, at=1.08)
    elif rule == "refusal":
        ask(kept, cls="once", status=503)
        begin(kept)
    elif rule == "failback":
        kept.colds.append(Cold("h1", 1.0, 250.0))
        for number in range(250):
            ask(kept, f"r{number}", 1.0 + number / 250)
            begin(kept, f"r{number}", 1.0 + number / 250)
    else:
        kept.lives[0].died = "ended by itself"
    assert list(kept.verdict()) == [rule]


def test_only_the_very_write_before_which_the_process_stood_still_may_tell_too_much() -> None:
    kept = books()
    ask(kept)
    begin(kept, at=1.5, told_ms=700)
    kept.held_writes = {"n0": [1.52], "n1": [1.5]}
    assert list(kept.verdict()) == ["deadline"]
    kept.held_writes = {"n0": [1.5005]}
    assert kept.verdict() == {}


def test_when_a_change_counts_as_told() -> None:
    change = Change(5.0, 2, "h0", False)
    for pushed, spells, reloads, told in (
            (False, [], [], 11.0), (True, [], [], 5.0), (False, [], [4.0], 8.0), (False, [], [0.5], 11.0),
            (False, [Spell("n0", "away", 4.0, 7.0)], [], 13.0), (True, [Spell("n0", "away", 4.0, 7.0)], [], 7.0),
            (False, [Spell("n0", "silent", 3.0)], [], 9.0), (True, [Spell("n0", "silent", 3.0)], [], 9.0)):
        kept = books(pushed)
        life = kept.lives[0]
        life.written, life.reloads, kept.spells = [(0.0, 1)], reloads, spells
        kept.watches = [Watch("n0", 0.0)]
        assert kept.told(life, change) == told, (pushed, spells, reloads)


def test_without_a_watch_all_that_discovery_has_counts_six_seconds_after_the_watch_or_the_return() -> None:
    for ended, at, away, told in (
            (1.0, 5.0, [], 7.0), (1.0, 8.0, [], 8.0), (6.0, 5.0, [], 11.0),
            (1.0, 5.0, [(1.0, 4.0)], 10.0), (1.0, 5.0, [(3.0, 4.5), (6.0, 8.0)], 11.0), (1.0, 4.0, [(3.0, 4.5)], 10.5)):
        kept = books()
        kept.lives[0].end = 2.0   # killed: the clock goes on for the process after it
        kept.lives.append(Life("n0", 3.0))
        kept.watches = [Watch("n0", 0.0, ended)]
        kept.spells = [Spell("n0", "away", begin, end) for begin, end in away]
        assert kept.told(kept.lives[1], Change(at, 2, "h0", False)) == told, (ended, at, away)


class Mutation(NamedTuple):
    """A text of a file, and what stands in its place."""

    path: str
    old: str
    new: str


UNWATCHED = Mutation("gateway/discovery.py",
                    "        return now <= self.lease.until_ns and not self._may_have_missed_end(now)\n",
                    "        return not self._may_have_missed_end(now)\n")
"""Nothing happens at the end of the lease.  Where it is watched, no other safeguard's absence sends a request late."""
NO_READ_AHEAD = Mutation("gateway/discovery.py",
                        "        for call in (self._watch, self._backup_watch, self._list_call):\n",
                        "        for call in ():\n")
NO_WAITING = Mutation("gateway/stalls.py", "        return max(0, now - since - READ_DELAY_TOLERANCE_NS)\n",
                      "        return 0\n")
NO_TRIES = Mutation("gateway/discovery_timeouts.py",
                   "        return max(MIN_CONNECT_RETRY_NS, min(CONNECT_RETRY_NS, grace_ns // 4))",
                   "        return 60 * SECOND")
LATE_RENEWAL = Mutation("gateway/discovery_timeouts.py",
                        "WATCH_RENEWAL_NS = HEARTBEAT_INTERVAL_NS + HEARTBEAT_TOLERANCE_NS",
                        "WATCH_RENEWAL_NS = 5 * SECOND")
SILENT_LATE = Mutation("gateway/discovery_timeouts.py",
                       "WATCH_SILENCE_TIMEOUT_NS = 3 * SECOND", "WATCH_SILENCE_TIMEOUT_NS = 5 * SECOND")
LONG_REST = Mutation("gateway/discovery_timeouts.py",
                     "OVERLOAD_BACKOFF_NS = 20 * MS", "OVERLOAD_BACKOFF_NS = 10 * SECOND")
"""Drawn from half of it on: too long whatever is drawn."""


def without(folder: Path, *changes: Mutation) -> Path:
    """A copy of the gateway with these changes."""
    for name in ("gateway", "bridgesaddle"):
        shutil.copytree(ROOT / name, folder / name)
    for change in changes:
        text = (folder / change.path).read_text()
        assert text.count(change.old) == 1, change
        (folder / change.path).write_text(text.replace(change.old, change.new))
    return folder


@pytest.mark.parametrize(("changes", "rule"), [
    ((NO_READ_AHEAD,), "drain"), ((NO_WAITING,), "deadline"), ((NO_TRIES, UNWATCHED), "drain")],
    ids=["reads ahead", "takes waiting off", "tries again"])
def test_a_gateway_without_a_safeguard_is_found(
        shim: Path, tmp_path: Path, changes: tuple[Mutation, ...], rule: str) -> None:
    root = without(tmp_path, *changes)
    faults = []
    for number in range(3):
        at = 1.5 + 3.0 * number
        if NO_TRIES in changes:
            faults += [Fault(at, "drop", "n0", 1.35), Fault(at + 0.01, "reset", "n0")]
        else:
            faults += [Fault(at, "stop", "n0", 0.85)]   # no longer: most clients' time must outlast it
        faults += [Fault(at + 0.3, "drain", f"h{number}"), Fault(at + 2.7, "ready", f"h{number}")]
    pushed = NO_READ_AHEAD not in changes   # pushed, sends would wait for a list: a safeguard of its own
    plan = Plan(1, 1, 4, 40, 0.03, pushed, 0.3, 1.0, 0.0, 11.0, faults=faults)
    assert rule in uvloop.run(run_plan(plan, shim, root)).broken


@pytest.mark.parametrize(("changes", "calls"), [
    ((UNWATCHED,), (CallPlan(2.9, "busy"), CallPlan(2.9, "busy"), CallPlan(2.9))),
    ((UNWATCHED, LATE_RENEWAL, SILENT_LATE), (CallPlan(1.5),)),
    ((UNWATCHED, LONG_REST), (CallPlan(1.5, "busy"), CallPlan(0.2)))],
    ids=["watches the lease", "renews early", "gives no rest away"])
def test_a_gateway_that_lets_the_list_outlive_its_time_is_found(
        shim: Path, tmp_path: Path, changes: tuple[Mutation, ...], calls: tuple[CallPlan, ...]) -> None:
    root = without(tmp_path, *changes)
    faults = [Fault(3.5, "order", "n0", calls=calls), Fault(4.0, "silent", "n0", size=1), Fault(4.05, "drain", "h0")]
    plan = Plan(1, 1, 4, 40, 0.03, False, 0.3, 1.0, 0.0, 13.0, faults=faults)
    assert "drain" in uvloop.run(run_plan(plan, shim, root)).broken
