"""`moleworks rig`: run, sweep, compare, report, load, up."""

from __future__ import annotations

import sys
from pathlib import Path

import click

SEED = click.option("--seed", type=click.IntRange(0, (1 << 62) - 1), default=None,
                    help="In place of the file's own.")


@click.group()
def group() -> None:
    """Run a fleet with faults between its processes, and judge it."""


@group.command()
@click.argument("file")
@click.option("--out", required=True, type=click.Path(path_type=Path, file_okay=False),
              help="Folder for what it leaves.")
@SEED
def run(file: str, out: Path, seed: int | None) -> int:
    """Play an experiment: exit 0 if what must hold held, 1 if not, 2 if the file is wrong."""
    from moleworks.rig import runner
    result = runner.run(file, out, seed)
    figures = result["figures"]
    click.echo(f"{file}: {result['verdict']}: {figures['asked']} asked, {figures['served']:.4f} served, "
               f"{figures['in_time']:.4f} in time, p99 {figures['p99_ms']:g} ms; {out}/report.html")
    for text in result["broken"][:10]:
        print(f"{file}: {text}", file=sys.stderr)
    return runner.HELD if result["verdict"] == "held" else runner.BROKEN
