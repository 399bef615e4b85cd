"""The commands.  Each group is imported when it is called, so that `--help` stays quick."""

from __future__ import annotations

import importlib
import sys
from typing import Any

import click

GROUPS = {"config": "Check, show and describe configuration files.",
          "store": "Records with revisions, replicated over some members.",
          "duty": "Duties that only one process holds at a time.",
          "registry": "The list of hosts: served, watched, changed.",
          "prober": "Ask a zone's hosts whether they are well, in one process for all.",
          "rig": "Run a fleet with faults between its processes, and judge it."}


class Lazy(click.Group):
    """A group whose commands live in modules of their own."""

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


@click.group(cls=Lazy)
@click.option("--log", type=click.Choice(["console", "json"]), default="console",
              help="Form of the log lines.")
@click.option("--log-level", type=click.Choice(["debug", "info", "warning", "error"]), default="info")
def group(log: str, log_level: str) -> None:
    """moleworks: a gateway for large fleets, and what runs it through failures."""
    from moleworks import logs
    logs.setup(log, log_level)


def run(args: list[str] | None = None) -> Any:
    """Run the command.  A file that is wrong is one line a fault and exit 2, whatever the command."""
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
