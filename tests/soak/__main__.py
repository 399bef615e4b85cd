"""Plays seeds by hand: `python -m tests.soak 1-50 --out DIR`; one line a seed, the records of red ones in DIR."""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
from pathlib import Path

import uvloop

from .overload import draw_crowded
from .plan import LASTS_S, Plan, draw
from .processes import ROOT
from .runner import build_shim, run_plan


def main() -> int:
    """0 where no rule was broken."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("seeds", help="a seed, a range such as 1-50, or the record of a play")
    parser.add_argument("--out", type=Path, default=Path("found"), help="where records and logs of red plays go")
    parser.add_argument("--lasts", type=float, default=0.0, help=f"seconds of a play ({LASTS_S}; crowded: drawn)")
    parser.add_argument("--quiet", type=float, default=0.0, help="seconds before the first fault")
    parser.add_argument("--crowded", action="store_true", help="plays in a crowd of calls that lasts")
    parser.add_argument("--root", type=Path, default=ROOT, help="the checkout whose gateway is played")
    parser.add_argument("--logs", action="store_true", help="keep the logs of all plays")
    told = parser.parse_args()
    if told.seeds.endswith(".json"):
        plans = [Plan.read(json.loads(Path(told.seeds).read_text())["plan"])]
    else:
        first, _, last = told.seeds.partition("-")
        plans = [draw_crowded(seed, told.lasts) if told.crowded else draw(seed, told.lasts or LASTS_S, told.quiet)
                 for seed in range(int(first), int(last or first) + 1)]
    red = 0
    with tempfile.TemporaryDirectory(prefix="moleworks-shim-") as folder:
        shim = build_shim(Path(folder))
        for plan in plans:
            keep = told.out / f"seed-{plan.seed}"
            played = uvloop.run(run_plan(plan, shim, told.root, keep))
            broken = {rule: len(cases) for rule, cases in played.broken.items()}
            red += bool(broken)
            print(f"seed {plan.seed}: {broken or 'held'} {played.figures}", flush=True)
            if broken:
                record = {"plan": plan.record(), "began": played.began, "broken": played.broken}
                (keep / "play.json").write_text(json.dumps(record, indent=1))
                for rule, cases in played.broken.items():
                    for case in cases[:3]:
                        print(f"    {rule}: {case}", flush=True)
            elif not told.logs:
                for path in [*keep.glob("*"), keep]:
                    path.rmdir() if path.is_dir() else path.unlink()
    print(f"{len(plans) - red} passed, {red} failed")
    return min(1, red)


if __name__ == "__main__":
    sys.exit(main())
