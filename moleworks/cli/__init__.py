"""Entry point of the command line; imports only the standard library until a command runs."""

from __future__ import annotations

import sys

OWN_PACKAGES = ("bridgesaddle", "gateway", "moleworks")


def main(args: list[str] | None = None) -> None:
    """Run the command.  A missing package is reported in one line, with exit code 2."""
    try:
        from .commands import run
        run(args)
    except ModuleNotFoundError as error:
        missing = (error.name or "").partition(".")[0]
        if not missing or missing in OWN_PACKAGES:
            raise
        print(f"moleworks: the package {missing} is not installed; the command needs the optional ones, named "
              "`fleet` in pyproject.toml: pip install '.[fleet]'", file=sys.stderr)
        sys.exit(2)
