"""Plays one run in a separate process, for sweeps and comparisons; the job is JSON in the only argument.

The decision module is the first `bridgesaddle` on the import path, so that any revision can be played.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

import msgspec

from . import places, runner, spec


def main() -> int:
    """Play the run and print the result as one line of JSON."""
    job = json.loads(sys.argv[1])
    experiment = msgspec.convert(job["experiment"], spec.Experiment)
    world = places.check(experiment, job["file"])
    out = Path(job["out"])
    runner.prepare(out)
    notes = None
    if experiment.driver == "virtual":
        from .baselines import BASELINES
        runner.virtual(experiment, world, out, BASELINES.get(job["policy"]))
    else:
        from .real.fleet import ROOT
        from .real.run import play
        notes = play(experiment, world, out, Path(job["root"]) if job["root"] else ROOT)
    result = runner.conclude(experiment, out, job["replay"], False, notes)
    sys.stdout.write(msgspec.json.encode(result).decode() + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
