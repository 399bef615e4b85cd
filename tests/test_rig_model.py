"""The rig's models: host against queueing theory, cold start, planned load, host list, experiment files, patterns."""

from __future__ import annotations

import math
import random
import statistics
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from moleworks import config
from moleworks.rig import places, plan, runner, spec
from moleworks.rig.host import SECOND, Host
from moleworks.rig.listing import DRAINING, GONE, READY, Listing

ROOT = Path(__file__).parent.parent


def simple_host(cores: int, **more: object) -> spec.Hosts:
    """A host that acts as a queue with `cores` servers of speed 1."""
    return spec.Hosts(cores=cores, speed=1.0, slots_per_core=1, queue_per_core=1e6, error_rate=0.0,
                      **more)  # type: ignore[arg-type]


def queueing_delays(cores: int, load: float, mean: float, jobs: int, seed: int) -> Iterator[float]:
    """Yield the queueing delays of Poisson arrivals with exponential work at a host, in mean service times."""
    rng = random.Random(seed)
    host = Host(simple_host(cores), rng, 0)
    now = 0
    work: dict[int, float] = {}
    arrived: dict[int, int] = {}
    for job in range(jobs):
        now += int(rng.expovariate(load * cores / mean))
        while (due := host.due()) <= now:
            for done in host.advance(due):
                yield (due - arrived.pop(done.job) - work.pop(done.job)) / mean
        host.advance(now)
        work[job], arrived[job] = rng.expovariate(1 / mean), now
        assert host.offer(now, job, work[job])


def erlang_c(cores: int, load: float) -> float:
    """Probability that a request has to wait in an M/M/c queue."""
    offered = cores * load
    waiting_weight = offered ** cores / math.factorial(cores) / (1 - load)
    return waiting_weight / (sum(offered ** k / math.factorial(k) for k in range(cores)) + waiting_weight)


@pytest.mark.parametrize(("cores", "load"), [(1, 0.7), (4, 0.8), (8, 0.5)])
def test_queueing_delays_match_the_multi_server_queue(cores: int, load: float) -> None:
    waits = list(queueing_delays(cores, load, 1e6, 60_000, 5))[2_000:]
    batches = [statistics.fmean(waits[at:at + 2_000]) for at in range(0, len(waits) - 2_000, 2_000)]
    half_width = 3.3 * statistics.stdev(batches) / math.sqrt(len(batches))   # a 99.9% interval
    expected = erlang_c(cores, load) / (cores * (1 - load))                 # in mean service times
    assert abs(statistics.fmean(batches) - expected) < half_width < 0.5 * expected + 0.05
    assert abs(sum(wait > 1e-3 for wait in waits) / len(waits) - erlang_c(cores, load)) < 0.02


def test_a_cold_host_warms_up_linearly_and_topples_when_overloaded() -> None:
    host = Host(spec.Hosts(cores=2, speed=1.0, cold=True, cold_from=0.25, cold_s=10), random.Random(1), 0)
    assert [round(host.capacity(at * SECOND), 3) for at in (0, 5, 10, 20)] == [0.5, 1.25, 2.0, 2.0]
    sent = 0
    while not host.toppled and sent < 100:
        host.offer(1, sent, 0.1 * SECOND)
        sent += 1
    assert 22 <= sent <= 30 and host.toppled   # 3 times half a core for 1.5 s is 2.25 s of work, plus the slack
    host.start(2 * SECOND)
    assert not host.up


def test_a_full_host_rejects_requests_and_a_crash_loses_open_ones() -> None:
    host = Host(spec.Hosts(cores=1, slots_per_core=2, queue_per_core=3, error_rate=0), random.Random(1), 0)
    assert [host.offer(0, job, 1e6) for job in range(6)] == [True] * 5 + [False]
    assert host.withdraw(4) and not host.withdraw(0) and host.held == 4
    assert host.crash(1) == [0, 1, 2, 3] and not host.offer(2, 9, 1e6)


@given(st.lists(st.tuples(st.integers(1, 10**9), st.floats(1e3, 1e9)), max_size=60), st.integers(0, 99))
def test_no_request_is_lost_or_done_twice_in_a_host(arrivals: list[tuple[int, float]], seed: int) -> None:
    host = Host(spec.Hosts(cores=2, cold=True, pause_every_s=0.5, pause_ms=40), random.Random(seed), 0, 1e9)
    now, taken, done = 0, [], []
    for job, (gap, work) in enumerate(arrivals):
        now += gap
        done += [item.job for item in host.advance(now)]
        if host.offer(now, job, work):
            taken.append(job)
    while host.due() < 1 << 62:
        now = max(now, host.due())
        done += [item.job for item in host.advance(now)]
    assert sorted(done) == taken and host.held == 0


def test_planned_requests_match_the_configured_load() -> None:
    experiment = spec.Experiment("x", duration_s=60, load=spec.Load(
        rps=400, zone_weights=[3, 1, 1], bursts=[spec.Burst(20, 10, 3)]))
    requests = list(plan.planned_requests(experiment, places.Places(experiment)))
    assert requests == list(plan.planned_requests(experiment, places.Places(experiment)))
    assert [request.at_ns for request in requests] == sorted(request.at_ns for request in requests)
    in_burst = sum(20 <= request.at_ns / 1e9 < 30 for request in requests)
    assert abs(in_burst - 12_000) < 400 and abs(len(requests) - in_burst - 20_000) < 500
    assert abs(sum(request.zone == 0 for request in requests) / len(requests) - 0.6) < 0.02
    mean = statistics.fmean(request.work_ns for request in requests if request.cls == 2)
    assert abs(mean / 123e6 - 1) < 0.05


@given(st.lists(st.tuples(st.sampled_from("abcd"), st.sampled_from([READY, DRAINING, GONE]))), st.integers(0, 40))
def test_a_watcher_that_adds_up_changes_has_the_list(changes: list[tuple[str, str]], at: int) -> None:
    listing = Listing(["a", "b"], 7)
    seen, generation = {name: READY for name in "ab"}, 7
    for index, (host, state) in enumerate(changes):
        listing.change(host, state)
        if index % 3 == at % 3:
            full, rows = listing.since(generation)
            seen, generation = ({} if full else seen), listing.generation
            for row in rows:
                if row.state == GONE:
                    seen.pop(row.host, None)
                else:
                    seen[row.host] = row.state
            assert seen == {row.host: row.state for row in listing.rows.values()}


INVALID_FILE = '''title = "x"
drivr = "real"
duration_s = -1
[world]
zones = ["a"]
[[world.hosts]]
cores = 0
zone = 3
[load]
rps = "many"
[[faults]]
kind = "crsh"
'''


def test_each_invalid_value_is_reported_on_one_line_with_its_path(tmp_path: Path) -> None:
    file = tmp_path / "a.toml"
    file.write_text(INVALID_FILE)
    done = subprocess.run([sys.executable, "-B", "-m", "moleworks", "rig", "run", str(file), "--out", str(tmp_path)],
                          cwd=ROOT, capture_output=True, text=True, check=False)
    assert done.returncode == 2 and done.stdout == ""
    assert [line.removeprefix(f"{file}: ") for line in done.stderr.splitlines()] == [
        "drivr: no such key (did you mean driver?)", "duration_s: must be above 0",
        "world.hosts[0].cores: must be above 0", "world.hosts[0].zone: must be text, not a whole number",
        "load.rps: must be a number, not text", "faults[0].kind: can't be 'crsh'"]


@pytest.mark.parametrize(("text", "words"), [
    ("", "title: is missing"), ("title = 'x", "at end"),
    ("title = 'x'\n[[faults]]\nkind='crash'\non='zz'", "names no host"),
    ("title='x'\n[[faults]]\nkind='swallow'\nsize=0.1", "real driver only"), ("title='x'\nwarmup_s=30", "warmup_s"),
    ("title='x'\n[world]\nhosts=[{zone='q'}]", "no such zone"), ("title='x'\n[[faults]]\nkind='slow'", "size")])
def test_an_inconsistent_file_is_rejected_with_the_reason(text: str, words: str, tmp_path: Path) -> None:
    file = tmp_path / "a.toml"
    file.write_text(text)
    with pytest.raises(config.ConfigError, match=words):
        places.check(config.load(file, spec.Experiment), str(file))


def test_patterns_select_places() -> None:
    world = places.Places(spec.Experiment("x", world=spec.World(hosts=[spec.Hosts(count=4)])))
    assert world.select("zone:salon-b") == ["h1", "n1"]
    assert world.select("hosts,!h1,!h2") == ["h0", "h3"]
    assert world.select("!hosts,!zone:salon-a") == ["n1", "n2", "clients", "discovery"]
    assert world.select("nobody") == []


@pytest.mark.parametrize("file", sorted((ROOT / "experiments").rglob("*.toml")), ids=lambda path: path.stem)
def test_all_experiment_files_are_valid(file: Path) -> None:
    runner.load_any(str(file))
