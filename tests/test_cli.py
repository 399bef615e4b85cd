"""The command line, run as a separate process."""

from __future__ import annotations

import subprocess
import sys

import pytest


@pytest.mark.parametrize(("package", "args"), [("click", "--help"), ("structlog", "store --help"),
                                               ("msgspec", "registry --help")])
def test_a_missing_optional_package_is_reported_in_one_line_without_a_traceback(package: str, args: str) -> None:
    code = f"import sys; sys.modules[{package!r}] = None; from moleworks.cli import main; main({args.split()!r})"
    result = subprocess.run([sys.executable, "-B", "-c", code], capture_output=True, text=True, timeout=60, check=False)
    assert result.returncode == 2
    assert result.stderr.startswith(f"moleworks: the package {package} is not installed")
    assert result.stderr.count("\n") == 1
