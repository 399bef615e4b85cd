"""Overload runs by hand: `python -m tests.overload half_upload,tiny_chunks --memory 32 --clients 330`."""

from __future__ import annotations

import argparse
import itertools
import tempfile
from pathlib import Path

import uvloop

from .bad_clients import KINDS
from .behaviour import MIXES, draw_plan
from .play import Result, faults, play


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m tests.overload", description=__doc__)
    parser.add_argument("runs", nargs="*", default=list(KINDS),
                        help="a run each: kinds of clients joined by commas, the start of a mix's name, a seed, or a "
                             "range of seeds such as 1-50")
    parser.add_argument("--memory", type=int, default=32, help="memory limit, MB; seeds draw theirs")
    parser.add_argument("--sockets", type=int, default=1024, help="limit of descriptors")
    parser.add_argument("--clients", type=int, default=330)
    parser.add_argument("--lasts", type=float, default=12.0, help="seconds of a run")
    parser.add_argument("--logs", type=Path, help="keep the gateways' logs in this folder")
    arguments = parser.parse_args()
    for name in itertools.chain.from_iterable(map(_names, arguments.runs)):
        with tempfile.TemporaryDirectory(prefix="moleworks-overload-") as folder:
            print(f"{name}: {uvloop.run(_run(Path(folder), name, arguments))}", flush=True)
            if arguments.logs is not None:
                arguments.logs.mkdir(parents=True, exist_ok=True)
                (arguments.logs / f"{name}.log").write_bytes((Path(folder) / "log").read_bytes())


def _names(run: str) -> list[str]:
    """The names of the runs that an argument stands for."""
    first, _, last = run.partition("-")
    if first.isdigit():
        return [str(seed) for seed in range(int(first), int(last or first) + 1)]
    return [name for name in MIXES if name.startswith(run)] or [run]


async def _run(folder: Path, name: str, arguments: argparse.Namespace) -> str:
    clients, memory_mb, sockets, replaced_at_s = arguments.clients, arguments.memory, arguments.sockets, 0.0
    if name.isdigit():
        plan = draw_plan(int(name))
        clients, memory_mb, sockets, replaced_at_s = plan.clients, plan.memory_mb, plan.sockets, plan.replaced_at_s
    module = "mixed_clients" if name.isdigit() or name in MIXES else "bad_clients"
    result: Result = await play(folder, name, clients, memory_mb, sockets, arguments.lasts, module, replaced_at_s)
    wrong = faults(result, memory_mb)
    return f"{'BROKEN ' + ', '.join(wrong) if wrong else 'held'}: {memory_mb} MB, {sockets} descriptors, {result}"


if __name__ == "__main__":
    main()
