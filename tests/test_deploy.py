"""The deploy file's lines, as they are run."""

from __future__ import annotations

import shutil
import subprocess
import sys
import sysconfig
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_a_start_after_the_build_compiles_nothing(tmp_path: Path) -> None:
    """A new process compiled all of its source beside the one that served, on the core they share."""
    with open(ROOT / "deploy/balancer.toml", "rb") as file:
        build: str = tomllib.load(file)["build"]
    for name in ("gateway", "bridgesaddle"):
        shutil.copytree(ROOT / name, tmp_path / name, ignore=shutil.ignore_patterns("__pycache__"))
    subprocess.run([sys.executable, "-m", "venv", "--without-pip", tmp_path / ".venv"], check=True)
    packages = next((tmp_path / ".venv/lib").glob("python*/site-packages"))
    # As if it had been built before.  A copy of its own: the build may clear it.
    (packages / "here.pth").write_text(sysconfig.get_path("platlib") + "\n")
    subprocess.run(["/bin/sh", "-c", build], cwd=tmp_path, check=True)
    shutil.copytree(tmp_path, tmp_path / "moved", symlinks=True)   # with other times than at the build
    done = subprocess.run(
        [".venv/bin/python", "-B", "-v", "-c", "import gateway.program, bridgesaddle.drill"],
        cwd=tmp_path / "moved", check=True, capture_output=True, text=True)
    loaded = [line for line in done.stderr.splitlines()
              if line.startswith("# code object from") and str(tmp_path) in line]
    assert len(loaded) > 10
    assert not [line for line in loaded if ".pyc" not in line]
