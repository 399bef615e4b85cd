"""Shortens a sequence that breaks something to its fewest steps."""

from __future__ import annotations

from .draw import Steps, shorter
from .play import Verdict, play
from .world import Strictness


def shortest(steps: Steps, pushed: bool, strictness: Strictness, seed: int, kind: str) -> tuple[Steps, Verdict]:
    """The shortest one found that breaks the same, and what it shows."""
    verdict = play(steps, pushed, strictness, seed)
    again = True
    while again:
        again = False
        for fewer in shorter(steps):
            shown = play(fewer, pushed, strictness, seed)
            if kind in shown.kinds:
                steps, verdict, again = fewer, shown, True
                break
    return steps, verdict
