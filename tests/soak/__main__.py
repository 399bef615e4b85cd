"""Runs seeds by hand: `python -m tests.soak 1-50 --out DIR`; one line per seed, the records of failed ones in DIR."""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
from pathlib import Path

import uvloop

from .overload import draw_overload
from .plan import DURATION_S, Plan, draw
from .processes import ROOT
from .runner import build_shim, run_plan


def main() -> int:
    """Exit status: 0 if no rule was broken."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("seeds", help="a seed, a range such as 1-50, or the record of a run")
    parser.add_argument("--out", type=Path, default=Path("found"), help="folder for records and logs of failed runs")
    parser.add_argument("--lasts", type=float, default=0.0, help=f"seconds of a run ({DURATION_S}; crowded: drawn)")
    parser.add_argument("--quiet", type=float, default=0.0, help="seconds before the first fault")
    parser.add_argument("--crowded", action="store_true", help="runs with lasting overload of discovery")
    parser.add_argument("--root", type=Path, default=ROOT, help="the checkout whose gateway is run")
    parser.add_argument("--logs", action="store_true", help="keep the logs of all runs")
    arguments = parser.parse_args()
    if arguments.seeds.endswith(".json"):
        plans = [Plan.from_record(json.loads(Path(arguments.seeds).read_text())["plan"])]
    else:
        first, _, last = arguments.seeds.partition("-")
        plans = [draw_overload(seed, arguments.lasts) if arguments.crowded
                 else draw(seed, arguments.lasts or DURATION_S, arguments.quiet)
                 for seed in range(int(first), int(last or first) + 1)]
    failed = 0
    with tempfile.TemporaryDirectory(prefix="moleworks-shim-") as folder:
        shim = build_shim(Path(folder))
        for plan in plans:
            log_folder = arguments.out / f"seed-{plan.seed}"
            result = uvloop.run(run_plan(plan, shim, arguments.root, log_folder))
            broken = {rule: len(cases) for rule, cases in result.broken.items()}
            failed += bool(broken)
            print(f"seed {plan.seed}: {broken or 'held'} {result.figures}", flush=True)
            if broken:
                record = {"plan": plan.to_record(), "began": result.began, "broken": result.broken}
                (log_folder / "play.json").write_text(json.dumps(record, indent=1))
                for rule, cases in result.broken.items():
                    for case in cases[:3]:
                        print(f"    {rule}: {case}", flush=True)
            elif not arguments.logs:
                for path in [*log_folder.glob("*"), log_folder]:
                    path.rmdir() if path.is_dir() else path.unlink()
    print(f"{len(plans) - failed} passed, {failed} failed")
    return min(1, failed)


if __name__ == "__main__":
    sys.exit(main())
