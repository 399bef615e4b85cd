"""`moleworks rig`: run, sweep, compare, report, load, up."""

from __future__ import annotations

import json
import os
import sys
import tempfile
from pathlib import Path
from typing import Any

import click

OUT = click.option("--out", required=True, type=click.Path(path_type=Path, file_okay=False),
                   help="Folder for the results.")
SEED = click.option("--seed", type=click.IntRange(0, (1 << 62) - 1), default=None,
                    help="Seed to use instead of the file's.")
SEEDS = click.option("--seeds", default="1-20", show_default=True, help="Such as 7, 1-100 or 1,4,9.")
SETS = click.option("--set", "sets", multiple=True, metavar="PATH=V,V",
                    help="A path in the file and the values to try.")
JOBS = click.option("--jobs", type=click.IntRange(1, 256), default=None,
                    help="Concurrent runs; default: the number of cores.")


@click.group()
def group() -> None:
    """Run a fleet under injected faults and check the results."""


@group.command()
@click.argument("file")
@OUT
@SEED
def run(file: str, out: Path, seed: int | None) -> int:
    """Run an experiment.  Exit 0 if all checks passed, 1 if not, 2 if the file is invalid."""
    from moleworks.rig import runner
    result = runner.run(file, out, seed)
    figures = result["figures"]
    if result["driver"] == "members":
        click.echo(f"{file}: {result['verdict']}: " + ", ".join(f"{name} {value}" for name, value in figures.items())
                   + f"; {out}/report.html")
    elif figures:
        click.echo(f"{file}: {result['verdict']}: {figures['asked']} asked, {figures['served']:.4f} served, "
                   f"{figures['in_time']:.4f} in time, p99 {figures['p99_ms']:g} ms; {out}/report.html")
    for text in result["broken"][:10]:
        print(f"{file}: {text}", file=sys.stderr)
    return runner.HELD if result["verdict"] == "held" else runner.BROKEN


def _workers(jobs: int | None, driver: str) -> int:
    """The number of workers: one per core, or one if runs on real sockets could disturb each other."""
    return jobs or (1 if driver == "real" else len(os.sched_getaffinity(0)))


def _prepare(file: str, out: Path, seeds: str, sets: tuple[str, ...]) -> tuple[Any, Any, Any]:
    """Prepare the output folder; returns the planned runs, their experiment and the table of results."""
    from moleworks.rig import runner
    from moleworks.rig import sweep as sweeping
    planned = sweeping.jobs(file, list(sets), sweeping.seeds_of(seeds))
    experiment, _ = runner.load(file)
    runner.prepare(out)
    return planned, experiment, sweeping.Results(out / "results.sqlite")


@group.command()
@click.argument("file")
@OUT
@SEEDS
@SETS
@JOBS
def sweep(file: str, out: Path, seeds: str, sets: tuple[str, ...], jobs: int | None) -> int:
    """Run many seeds and parameters on all cores; resumes an interrupted sweep.  Exit 1 if any run failed."""
    from moleworks.rig import report
    from moleworks.rig import sweep as sweeping
    planned, experiment, results = _prepare(file, out, seeds, sets)
    counts: dict[str, int] = {}
    for job, result in sweeping.run(planned, results, _workers(jobs, experiment.driver), out / "broken",
                                    not sys.stderr.isatty()):
        counts[result["verdict"]] = counts.get(result["verdict"], 0) + 1
        if result["verdict"] != "held" and counts[result["verdict"]] <= 10:
            click.echo(f"{file} seed {job.seed} {job.params}: {result['verdict']}: {'; '.join(result['broken'][:2])}")
    report.table_report(out, f"Sweep of {experiment.title}", results.rows())
    results.close()
    click.echo(f"{file}: {len(planned)} runs: " + ", ".join(f"{count} {verdict}" for verdict, count in counts.items())
               + f"; {out}/report.html")
    return 0 if set(counts) <= {"held"} else 1


@group.command()
@click.argument("file")
@OUT
@SEEDS
@SETS
@JOBS
@click.option("--versions", required=True, help="worktree, git revisions, or random, round_robin, least, two, "
              "two_budget, separated by commas; the others are compared with the first.")
def compare(file: str, out: Path, seeds: str, sets: tuple[str, ...], jobs: int | None, versions: str) -> int:
    """Run versions and baselines on the same worlds and seeds; reports paired differences with 95% intervals."""
    from moleworks.rig import compare as comparing
    from moleworks.rig import report
    from moleworks.rig import sweep as sweeping
    planned, experiment, results = _prepare(file, out, seeds, sets)
    with comparing.checkouts(versions.split(","), experiment.driver == "real") as found:
        played = list(sweeping.run(comparing.expand(planned, found), results, _workers(jobs, experiment.driver), None,
                                   not sys.stderr.isatty()))
        rows = comparing.table(played, [version for version, _, _ in found.values()])
    results.close()
    report.table_report(out, f"Versions on {experiment.title}", rows)
    for row in rows:
        difference = (f"  {row['difference']:+.4f} +- {row['half_width']:.4f}" if "difference" in row else "")
        click.echo(f"{row['version']:24} in time {row['in_time']:.4f}  served {row['served']:.4f}  "
                   f"p99 {row['p99_ms']:8.1f} ms  rules broken in {row['broken']} of {row['runs']}{difference}")
    return 0


@group.command()
@OUT
@click.option("--seeds", default="0-9999", show_default=True, help="Such as 7, 0-9999 or 1,4,9.")
@JOBS
@click.option("--mutants", is_flag=True, help="Inject known bugs and report how soon each is found.")
def histories(out: Path, seeds: str, jobs: int | None, mutants: bool) -> int:
    """Simulate the store under faults in virtual time, one history per seed.  Exit 1 if any fails its checks."""
    from moleworks.rig import report, runner
    from moleworks.rig import sweep as sweeping
    from moleworks.rig.virtual import histories as playing
    numbers = sweeping.seeds_of(seeds)
    runner.prepare(out)
    if mutants:
        rows = playing.hunt_all(len(numbers), numbers[0], jobs)
        report.table_report(out, "Known errors put into the store", rows)
        for row in rows:
            click.echo(f"{row['mutant']:34} {row['histories'] or 'not found':>9}  {row['seen']}")
        return 0 if all(row["histories"] for row in rows) else 1
    verdicts, seconds = playing.play(numbers, jobs)
    rows = [playing.row(verdict) for verdict in verdicts]
    report.table_report(out, "Histories of the store", rows)
    broken = [verdict for verdict in verdicts if verdict.broken]
    for verdict in broken[:20]:
        click.echo(f"seed {verdict.seed}: {'; '.join(verdict.broken[:3])}")
    totals = {name: sum(row[name] for row in rows)
            for name in ("operations", "elections", "moves", "grants", "undecided")}
    click.echo(f"{len(rows)} histories in {seconds:.1f} s, {len(rows) / seconds:.0f} a second: {len(broken)} broken; "
               + ", ".join(f"{value} {name}" for name, value in totals.items()))
    return 1 if broken else 0


@group.command()
@click.argument("file", required=False)
@OUT
@click.option("--seeds", default="1-10", show_default=True, help="Such as 7, 1-100 or 1,4,9.")
@click.option("--seconds", type=click.FloatRange(0, 600, min_open=True), default=6.0, show_default=True,
              help="Length of a run without a FILE, with 8 random faults.")
@click.option("--jobs", type=click.IntRange(1, 64), default=3, show_default=True, help="Concurrent runs.")
def members(file: str | None, out: Path, seeds: str, seconds: float, jobs: int) -> int:
    """Run real members of the store under faults from FILE or at random, one run per seed.  Exit 1 if any fails."""
    from concurrent.futures import ProcessPoolExecutor, as_completed

    from moleworks.rig import report, runner, store_spec
    from moleworks.rig import sweep as sweeping
    numbers = sweeping.seeds_of(seeds)
    runner.prepare(out)
    planned = []
    for seed in numbers:
        found = (runner.load_any(file, seed) if file is not None else store_spec.StoreExperiment(
            "Faults at random", "members", seed, seconds, drawn=8))
        if not isinstance(found, store_spec.StoreExperiment):
            raise click.UsageError(f"{file}: must have the driver members")
        planned.append(found)
    rows = []
    with ProcessPoolExecutor(jobs) as pool:
        futures = {pool.submit(runner.run_store, one, file or "-", out / str(one.seed)): one for one in planned}
        for future in as_completed(futures):
            result = future.result()
            rows.append({"seed": result["seed"], "verdict": result["verdict"], "broken": "; ".join(result["broken"]),
                         "faults": sum(fault["what"] == "begin" for fault in result["faults"]), **result["figures"]})
            if result["broken"]:
                click.echo(f"seed {result['seed']}: {'; '.join(result['broken'][:3])}; {out / str(result['seed'])}")
    rows.sort(key=lambda row: row["seed"])
    report.table_report(out, "Real members under faults", rows)
    totals = {name: sum(row.get(name, 0) for row in rows)
            for name in ("faults", "operations", "unknown", "grants", "acts", "refused", "events", "undecided")}
    worst = {name: max(row.get(name, 0) for row in rows)
             for name in ("write_p99_ms", "write_gap_s", "takeover_ms", "handover_ms")}
    broken = sum(row["verdict"] != "held" for row in rows)
    click.echo(f"{len(rows)} runs, {broken} broken: " + ", ".join(f"{value} {name}" for name, value in totals.items())
               + "; at most " + ", ".join(f"{name} {value:g}" for name, value in worst.items()))
    return 1 if broken else 0


@group.command()
@click.option("--changes", type=click.IntRange(100, 100_000_000), default=1_000_000, show_default=True)
@click.option("--clients", type=click.IntRange(1, 2000), default=128, show_default=True)
def endure(changes: int, clients: int) -> int:
    """Write many changes to three members; prints their memory use and how soon each recovers after SIGKILL."""
    import asyncio

    from moleworks.rig.real import endure as enduring
    result = asyncio.run(enduring.endure(changes, clients, lambda row: click.echo(json.dumps(row))))
    click.echo(json.dumps(result))
    return 0


@group.command()
@click.option("--hosts", type=click.IntRange(3, 100), default=12, show_default=True)
@click.option("--rps", type=click.FloatRange(1, 2000), default=120.0, show_default=True)
@click.option("--seconds", type=click.FloatRange(10, 3600), default=300.0, show_default=True)
def outage(hosts: int, rps: float, seconds: float) -> int:
    """Compare gateways with all list services up and with all down.  Exit 1 below 0.99 of the in-time share."""
    from moleworks.rig.real import outage as running
    rows = running.compare(hosts, rps, seconds)
    for row in rows:
        click.echo(json.dumps(row))
    share = rows[1]["in_time"] / max(1e-9, rows[0]["in_time"])
    click.echo(f"in time without any service: {share:.4f} of the same run with them")
    return 0 if share >= 0.99 and rows[1]["first_answer_s"] <= 1.0 else 1


@group.command()
@OUT
@click.option("--seeds", default="0-999", show_default=True, help="Such as 7, 0-999 or 1,4,9.")
@click.option("--members", type=click.IntRange(2, 500), default=5, show_default=True)
@click.option("--loss", type=click.FloatRange(0, 0.9), default=None,
              help="Share of datagrams lost; default: drawn from the seed.")
@click.option("--calm", is_flag=True, help="No other faults; for figures of spread, false alarms and bytes.")
@click.option("--mutants", is_flag=True, help="Inject known bugs and report how soon each is found.")
@JOBS
def gossip(out: Path, seeds: str, members: int, loss: float | None, calm: bool, mutants: bool,
           jobs: int | None) -> int:
    """Simulate gossip between members under faults in virtual time, one history per seed.  Exit 1 if any fails."""
    import functools
    import time
    from concurrent.futures import ProcessPoolExecutor

    from moleworks.rig import report, runner
    from moleworks.rig import sweep as sweeping
    from moleworks.rig.virtual import gossip as playing
    numbers = sweeping.seeds_of(seeds)
    runner.prepare(out)
    if mutants:
        found = {name: playing.hunt(name, len(numbers)) for name in playing.MUTANTS}
        for name, (count, seen) in found.items():
            click.echo(f"{name:38} {count or 'not found':>9}  {seen[:120]}")
        return 0 if all(count for count, _ in found.values()) else 1
    settings = playing.Settings(members, 60.0 if calm else 40.0, loss=-1.0 if loss is None else loss, faults=not calm)
    started_at = time.perf_counter()
    rows, broken = [], 0
    with ProcessPoolExecutor(_workers(jobs, "virtual")) as pool:
        for errors, row in pool.map(functools.partial(playing.judge_history, settings=settings), numbers):
            rows.append({**row, "broken": "; ".join(errors[:3])})
            broken += bool(errors)
            if errors and broken <= 10:
                click.echo(f"seed {row['seed']}: {errors[0]}")
    report.table_report(out, "Members that share state", rows)
    click.echo(f"{len(rows)} histories in {time.perf_counter() - started_at:.1f} s: {broken} broken; "
               f"{sum(row['checked'] for row in rows)} ages looked at, "
               + ", ".join(f"{name} {max(row[name] for row in rows)}"
                           for name in ("age_p99_s", "age_p999_s", "kb_s_a_member", "settled_s", "false_alarms")))
    return 1 if broken else 0


@group.command()
@click.option("--timeouts", type=click.IntRange(0, 9), default=1, show_default=True)
@click.option("--writes", type=click.IntRange(0, 9), default=2, show_default=True)
@click.option("--crashes", type=click.IntRange(0, 9), default=1, show_default=True)
@click.option("--cuts", type=click.IntRange(0, 1), default=1, show_default=True)
@click.option("--most-s", type=click.FloatRange(0, min_open=True), default=600.0, show_default=True)
def explore(timeouts: int, writes: int, crashes: int, cuts: int, most_s: float) -> int:
    """Check all states of three store members within a budget of events.  Exit 1 if any state breaks a rule."""
    from moleworks.rig.virtual import explore as exploring
    found = exploring.search(exploring.Budget(timeouts, writes, crashes, cuts), max_states=50_000_000, max_s=most_s)
    click.echo(f"{found.states} states, {found.steps} steps in {found.seconds:.0f} s: "
               + (f"broken: {found.broken}" if found.broken else "all of them hold" if found.whole else "not all seen"))
    for step in found.path:
        click.echo(f"  {step}")
    return 1 if found.broken else 0


@group.command("report")
@click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))
def report_command(folder: Path) -> int:
    """Regenerate the report of a folder, from the history of a run or the table of a sweep."""
    from moleworks.rig import report
    from moleworks.rig import sweep as sweeping
    if (folder / "results.sqlite").exists():
        results = sweeping.Results(folder / "results.sqlite")
        report.table_report(folder, f"Runs of {folder.name}", results.rows())
        results.close()
    elif (folder / "history.jsonl").exists() and (folder / "result.json").exists():
        from moleworks.rig import judge
        old = json.loads((folder / "result.json").read_text())
        result, seconds = judge.judge(folder / "history.jsonl", {})
        report.run_report(folder, old["title"], old["replay"], {**old, "figures": result["figures"]}, seconds)
    else:
        print(f"{folder}: holds neither a run nor a sweep", file=sys.stderr)
        return 2
    click.echo(f"{folder}/report.html")
    return 0


@group.command()
@click.argument("address")
@click.option("--class", "cls", default="dinle", show_default=True, help="Class of the requests (read-like).")
@click.option("--path", default="/clip?w=30000000", show_default=True, help="What follows the class.")
@click.option("--rps", type=click.FloatRange(0, min_open=True), default=100.0, show_default=True)
@click.option("--seconds", type=click.FloatRange(0, min_open=True), default=10.0, show_default=True)
@click.option("--timeout-ms", type=click.IntRange(1, 600_000), default=800, show_default=True)
@click.option("--seed", type=int, default=1)
def load(address: str, cls: str, path: str, rps: float, seconds: float, timeout_ms: int, seed: int) -> None:
    """Send open-loop load to a loopback ADDRESS (host:port); latencies are measured from the planned send time."""
    from moleworks.rig.real import load as loading
    figures: dict[str, Any] = loading.run(address, cls, path, rps, seconds, timeout_ms, seed)
    for name, value in figures.items():
        click.echo(f"{name}={value:g}")


@group.command()
@click.argument("file", required=False)
@click.option("--for", "seconds", type=click.FloatRange(0, min_open=True), default=None,
              help="Seconds to run; without it until Ctrl-C.")
@click.option("--gateways", type=click.IntRange(1, 100), default=None)
@click.option("--hosts", type=click.IntRange(1, 500), default=None)
@click.option("--rps", type=click.FloatRange(0, min_open=True), default=None)
@click.option("--logs", type=click.Path(path_type=Path, file_okay=False), default=None,
              help="Folder in which to keep the logs.")
def up(file: str | None, seconds: float | None, gateways: int | None, hosts: int | None, rps: float | None,
       logs: Path | None) -> int:
    """Start a fleet and show its state live: 3 gateways, 12 hosts and clients, or the fleet of an experiment."""
    from moleworks.rig import places, runner, spec
    from moleworks.rig.real import procs
    from moleworks.rig.real import up as showing
    if file is not None:
        experiment, _ = runner.load(file)
        experiment.driver = "real"
    else:
        experiment = spec.Experiment("A fleet", "real", load=spec.Load(rps=150))
    experiment.duration_s = seconds or (86400.0 if file is None else experiment.duration_s)
    experiment.world.gateways.count = gateways or experiment.world.gateways.count
    experiment.world.hosts = [spec.Hosts(count=hosts)] if hosts else experiment.world.hosts
    experiment.load.rps = rps or experiment.load.rps
    world = places.check(experiment, file or "up")
    with tempfile.TemporaryDirectory(prefix="moleworks-up-") as folder:
        out = logs or Path(folder)
        runner.prepare(out)
        try:
            showing.up(experiment, world, out)
        except procs.RigError as error:
            print(f"moleworks: {error}", file=sys.stderr)
            return 1
    return 0
