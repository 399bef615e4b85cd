"""`moleworks config`: check configuration files."""

from __future__ import annotations

import json
import sys

import click
import msgspec

from moleworks import config
from moleworks.rig import runner, spec, store_spec


@click.group()
def group() -> None:
    """Check, show and describe configuration files."""


@group.command()
@click.argument("files", nargs=-1, required=True)
def check(files: tuple[str, ...]) -> int:
    """Check experiments.  Each error is printed on one line; exit 2 if there is any."""
    errors: list[str] = []
    for file in files:
        try:
            runner.load_any(file)
            click.echo(f"{file}: is right")
        except config.ConfigError as error:
            errors += error.lines
    for line in errors:
        print(line, file=sys.stderr)
    return 2 if errors else 0


@group.command()
@click.argument("file")
def show(file: str) -> None:
    """Print an experiment with all defaults filled in, as JSON."""
    experiment = runner.load_any(file)
    click.echo(msgspec.json.format(msgspec.json.encode(experiment), indent=2).decode())


@group.command()
def schema() -> None:
    """Print the JSON schema of an experiment."""
    click.echo(json.dumps(msgspec.json.schema(spec.Experiment | store_spec.StoreExperiment), indent=2))
