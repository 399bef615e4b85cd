"""Complete runs: reproducible in virtual time; with real processes, also interrupted ones, nothing is left behind."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import pytest

from moleworks import config
from moleworks.rig import compare, places, runner, spec, sweep
from moleworks.rig.baselines import BASELINES
from moleworks.rig.real import load
from moleworks.rig.real.procs import RigError
from moleworks.rig.real.run import play

ROOT = Path(__file__).parent.parent
REAL = '''title = "Small and real"
driver = "real"
duration_s = 4
[world]
zones = ["a", "b"]
hosts = [{ count = 4 }, { name = "x", listed = false }]
classes = [{ name = "read", work_ms = 20 }, { name = "write", work_ms = 30, effect = "keyed", group = "zone" }]
[world.gateways]
count = 2
[load]
rps = 60
[hold]
served = 0.9
'''
CRASH = '''[[faults]]
kind = "crash"
on = "h0"
at_s = 1.5
for_s = 1
[[faults]]
kind = "upgrade"
on = "n0"
at_s = 1
'''
MISROUTE = '''[[faults]]
kind = "misroute"
on = "n0"
to = "x0"
at_s = 1
'''


def rig(*words: str, **options: Any) -> subprocess.Popen[str]:
    return subprocess.Popen([sys.executable, "-B", "-m", "moleworks", "--log-level", "error", "rig", *words], cwd=ROOT,
                            stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, **options)


def left_behind(folder: Path) -> list[str]:
    """Processes with this folder in their command line or environment, and the rig's temporary folders in it."""
    found = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit() and int(entry.name) != os.getpid():
            try:
                if str(folder).encode() in (entry / "environ").read_bytes() + (entry / "cmdline").read_bytes():
                    found.append(entry.name)
            except OSError:
                continue
    return found + [str(path) for path in folder.glob("moleworks-rig-*")]


def test_the_history_is_reproducible_for_a_seed_and_differs_between_seeds(tmp_path: Path) -> None:
    experiment, world = runner.load(str(ROOT / "experiments/storm.toml"))
    experiment.duration_s = 15
    histories = []
    for name, seed in (("a", 1), ("b", 1), ("c", 2)):
        experiment.seed = seed
        runner.prepare(tmp_path / name)
        runner.virtual(experiment, world, tmp_path / name)
        histories.append((tmp_path / name / "history.jsonl").read_bytes())
    assert histories[0] == histories[1] != histories[2]
    assert runner.conclude(experiment, tmp_path / "c", "", False)["figures"]["asked"] > 2000


def test_the_module_obeys_the_rules_where_simple_retries_topple_cold_hosts(tmp_path: Path) -> None:
    experiment = spec.Experiment("x", duration_s=20, load=spec.Load(rps=330), faults=[
        spec.Fault("crash", at_s=3, for_s=4, on="hosts", most=4)], hold=spec.Hold(served=0.8))
    world = places.check(experiment, "x")
    verdicts = {}
    for name, make in (("module", None), ("two", BASELINES["two"])):
        runner.prepare(tmp_path / name)
        runner.virtual(experiment, world, tmp_path / name, make)
        verdicts[name] = runner.conclude(experiment, tmp_path / name, "", False)
    assert verdicts["module"]["broken"] == []
    assert verdicts["two"]["figures"]["broken 4 topples"] > 0


def test_a_sweep_resumes_after_stored_results(tmp_path: Path) -> None:
    file = tmp_path / "a.toml"
    file.write_text('title = "x"\nduration_s = 3\n[load]\nrps = 50\n')
    planned = sweep.jobs(str(file), ["load.rps=50,80"], [1, 2])
    assert [json.loads(job.params) for job in planned] == [{"load.rps": 50}] * 2 + [{"load.rps": 80}] * 2
    results = sweep.Results(tmp_path / "results.sqlite")
    first = dict(sweep.run(planned[:2], results, 2, quiet=True))
    assert {result["verdict"] for result in first.values()} == {"held"}
    results.add(planned[0], {**first[planned[0]], "verdict": "marked"})
    again = dict(sweep.run(planned, results, 2, quiet=True))
    assert [again[job]["verdict"] for job in planned] == ["marked", "held", "held", "held"]
    assert [row["seed"] for row in results.rows()] == [1, 2, 1, 2]
    results.close()
    for text in ("load.rps", "load.rps=,=", "hosts[4].x=1"):
        with pytest.raises(config.ConfigError):
            sweep.jobs(str(file), [text], [1])


def test_the_interval_uses_students_t() -> None:
    mean, half = compare.interval([0.1, 0.2, 0.3])
    assert mean == pytest.approx(0.2) and half == pytest.approx(4.30 * 0.1 / 3 ** 0.5)


@pytest.mark.parametrize(("faults", "code", "word"), [(CRASH, 0, "held"), (MISROUTE, 1, "never named")])
def test_a_real_run_is_judged_and_leaves_nothing_behind(faults: str, code: int, word: str, tmp_path: Path) -> None:
    file = tmp_path / "a.toml"
    file.write_text(REAL + faults)
    process = rig("run", str(file), "--out", str(tmp_path / "out"), env={**os.environ, "TMPDIR": str(tmp_path)})
    out, err = process.communicate(timeout=60)
    assert (process.returncode, word in out + err) == (code, True), out + err
    result = json.loads((tmp_path / "out/result.json").read_text())
    assert result["figures"]["asked"] > 100 and result["seed"] == 1 and result["faults"]
    assert (tmp_path / "out/report.html").stat().st_size > 10_000
    assert left_behind(tmp_path) == []


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupted_run_is_reported_and_leaves_nothing_behind(number: int, tmp_path: Path) -> None:
    file = tmp_path / "a.toml"
    file.write_text(REAL.replace("duration_s = 4", "duration_s = 50"))
    process = rig("run", str(file), "--out", str(tmp_path / "out"),
                  env={**os.environ, "TMPDIR": str(tmp_path)}, start_new_session=True)
    while not any(path.stat().st_size for path in tmp_path.glob("moleworks-rig-*/clients.part")):
        assert process.poll() is None   # until the first requests have been sent
    process.send_signal(number)
    _, err = process.communicate(timeout=30)
    assert process.returncode == 1 and "interrupted" in err
    result = json.loads((tmp_path / "out/result.json").read_text())
    assert result["verdict"] == "broken" and result["figures"]
    assert left_behind(tmp_path) == []


def test_a_gateway_that_exits_at_startup_is_reported_and_leaves_nothing_behind(tmp_path: Path) -> None:
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy/balancer.toml").write_text('build = "true"\nrun = "echo no room >&2; exit 3"\n')
    file = tmp_path / "a.toml"
    file.write_text(REAL)
    experiment, world = runner.load(str(file))
    runner.prepare(tmp_path / "out")
    before = set(Path(tempfile.gettempdir()).glob("moleworks-rig-*"))
    with pytest.raises(RigError, match="ended with 3 as it started.*no room"):
        play(experiment, world, tmp_path / "out", tmp_path)
    assert set(Path(tempfile.gettempdir()).glob("moleworks-rig-*")) <= before
    assert left_behind(tmp_path) == []


@pytest.mark.parametrize("address", ["10.0.0.1:80", "example.org:80", "127.0.0.1", "127.0.0.1:0", "8.8.8.8:53"])
def test_load_is_only_sent_to_loopback_addresses(address: str) -> None:
    with pytest.raises(config.ConfigError, match="loopback"):
        load.address(address)
