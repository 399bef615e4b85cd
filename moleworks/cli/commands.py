"""The top-level command.  Each group is imported only when it is called, so that `--help` stays fast."""

from __future__ import annotations

import importlib
import sys
from typing import Any

import click

GROUPS = {"config": "Check, show and describe configuration files.",
          "store": "The replicated store of versioned records.",
          "duty": "Duties, each held by at most one process at a time.",
          "registry": "Serve, watch and change the list of hosts.",
          "prober": "Check the health of a zone's hosts in one process on behalf of all gateways.",
          "rig": "Run a fleet under injected faults and check the results."}


class LazyGroup(click.Group):
    """A group that imports the module of a command when it is needed."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(GROUPS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in GROUPS:
            return None
        command: click.Command = importlib.import_module(f"moleworks.cli.{cmd_name}").group
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):
            formatter.write_dl(list(GROUPS.items()))


@click.group(cls=LazyGroup)
@click.option("--log", type=click.Choice(["console", "json"]), default="console",
              help="Format of the log.")
@click.option("--log-level", type=click.Choice(["debug", "info", "warning", "error"]), default="info")
def group(log: str, log_level: str) -> None:
    """Services and tools around the gateway: store, list of hosts, prober and test rig."""
    from moleworks import logs
    logs.setup(log, log_level)


def run(args: list[str] | None = None) -> Any:
    """Run the command.  Errors in a file are printed one per line, with exit code 2, for every command."""
    from moleworks.config import ConfigError
    try:
        code = group.main(args, "moleworks", standalone_mode=False)
    except ConfigError as error:
        for line in error.lines:
            print(line, file=sys.stderr)
        sys.exit(2)
    except click.Abort:
        print("moleworks: interrupted", file=sys.stderr)
        sys.exit(130)
    except click.ClickException as error:
        error.show()
        sys.exit(error.exit_code if error.exit_code != 1 else 2)
    sys.exit(code if isinstance(code, int) else 0)
