"""The command line: its entry, which needs the standard library only."""

from __future__ import annotations

import sys

OWN = ("bridgesaddle", "gateway", "moleworks")


def main(args: list[str] | None = None) -> None:
    """Run the command.  A package that is not installed is one line and exit 2."""
    try:
        from .commands import run
        run(args)
    except ModuleNotFoundError as error:
        missing = (error.name or "").partition(".")[0]
        if not missing or missing in OWN:
            raise
        print(f"moleworks: the package {missing} is not installed; the command needs the optional ones, named "
              "`fleet` in pyproject.toml: pip install '.[fleet]'", file=sys.stderr)
        sys.exit(2)
