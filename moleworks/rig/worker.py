"""One run in a process of its own, for sweeps and comparisons: its job as JSON in the one argument.

The decision module is whatever `bridgesaddle` comes first on the path: so a revision is played.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

import msgspec

from . import places, runner, spec


def main() -> int:
    """Play and print the result as one line."""
    told = json.loads(sys.argv[1])
    experiment = msgspec.convert(told["experiment"], spec.Experiment)
    world = places.check(experiment, told["file"])
    out = Path(told["out"])
    runner.prepare(out)
    notes = None
    if experiment.driver == "virtual":
        from .baselines import BASELINES
        runner.virtual(experiment, world, out, BASELINES.get(told["policy"]))
    else:
        from .real.fleet import ROOT
        from .real.run import play
        notes = play(experiment, world, out, Path(told["root"]) if told["root"] else ROOT)
    result = runner.conclude(experiment, out, told["replay"], False, notes)
    sys.stdout.write(msgspec.json.encode(result).decode() + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
