"""Reduces a sequence that violates a rule to a minimal one."""

from __future__ import annotations

from .draw import Steps, reductions
from .play import Verdict, play
from .world import Strictness


def shrink(steps: Steps, pushed: bool, strictness: Strictness, seed: int, kind: str) -> tuple[Steps, Verdict]:
    """A sequence with a violation of this kind of which no single reduction has it, and the verdict on it."""
    verdict = play(steps, pushed, strictness, seed)
    reduced = True
    while reduced:
        reduced = False
        for candidate in reductions(steps):
            candidate_verdict = play(candidate, pushed, strictness, seed)
            if kind in candidate_verdict.kinds:
                steps, verdict, reduced = candidate, candidate_verdict, True
                break
    return steps, verdict
