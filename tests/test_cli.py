"""The command line as it is installed."""

from __future__ import annotations

import subprocess
import sys

import pytest


@pytest.mark.parametrize(("package", "args"), [("click", "--help"), ("structlog", "store --help"),
                                               ("msgspec", "registry --help")])
def test_a_missing_optional_package_is_told_in_one_line_and_no_traceback(package: str, args: str) -> None:
    code = f"import sys; sys.modules[{package!r}] = None; from moleworks.cli import main; main({args.split()!r})"
    done = subprocess.run([sys.executable, "-B", "-c", code], capture_output=True, text=True, timeout=60, check=False)
    assert done.returncode == 2
    assert done.stderr.startswith(f"moleworks: the package {package} is not installed")
    assert done.stderr.count("\n") == 1
