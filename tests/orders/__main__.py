"""Runs many sequences, for long manual runs: python -B -m tests.orders --depth 4 --walks 10000 --jobs 4."""

from __future__ import annotations

import argparse
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from itertools import islice

from .draw import Steps, count_sequences, enumerated, sampled, walk
from .play import Verdict, play, virtual_time
from .shrink import shrink
from .world import Strictness

BATCH_SIZE = 200
MAX_PRINTED = 5
"""The number of sequences printed for each kind of violation."""


@dataclass(frozen=True)
class Case:
    """One sequence to simulate."""

    steps: Steps
    pushed: bool
    strictness: Strictness
    seed: int


@dataclass(frozen=True)
class Violation:
    """A sequence that violated a rule, and its reduced steps."""

    case: Case
    steps: Steps
    kind: str
    details: str


def _check(cases: list[Case], max_shrunk: int) -> tuple[int, list[Violation]]:
    """Simulate a batch of cases; the first `max_shrunk` violations of each kind are reduced to fewer steps."""
    found: list[Violation] = []
    shrunk: Counter[str] = Counter()
    with virtual_time():
        for case in cases:
            verdict = play(case.steps, case.pushed, case.strictness, case.seed)
            for kind in sorted(verdict.kinds):
                steps = case.steps
                if shrunk[kind] < max_shrunk:
                    shrunk[kind] += 1
                    steps, verdict = shrink(case.steps, case.pushed, case.strictness, case.seed, kind)
                found.append(Violation(case, steps, kind, _details(verdict)))
    return len(cases), found


def _details(verdict: Verdict) -> str:
    return "; ".join([*map(str, verdict.late), *verdict.held])


def _cases(options: argparse.Namespace) -> Iterator[Case]:
    for pushed in (False, True):
        for strictness in Strictness:
            if pushed and strictness is Strictness.ANY:
                continue   # in push mode both give the same result
            sequences: list[Iterator[Steps]] = []
            for depth in range(1, options.depth + 1):
                if options.sample and count_sequences(depth, pushed) > options.sample:
                    sequences.append(sampled(depth, pushed, options.seed, options.sample))
                else:
                    sequences.append(enumerated(depth, pushed, options.seed))
            sequences.append(walk(pushed, options.seed + number) for number in range(options.walks))
            number = 0
            for sequence in sequences:
                for steps in sequence:
                    number += 1
                    yield Case(steps, pushed, strictness, options.seed + number)


def _batches(cases: Iterator[Case]) -> Iterator[list[Case]]:
    while batch := list(islice(cases, BATCH_SIZE)):
        yield batch


def _print_report(found: list[Violation], played: int) -> None:
    print(f"{played} sequences played, {len({violation.case for violation in found})} violate a rule")
    groups: dict[tuple[bool, str, str], list[Violation]] = {}
    for violation in found:
        groups.setdefault((violation.case.pushed, violation.case.strictness.value, violation.kind),
                          []).append(violation)
    for (pushed, strictness, kind), violations in sorted(groups.items(), key=lambda item: -len(item[1])):
        print(f"\n{'pushed' if pushed else 'asked'}, {strictness}: {kind}: {len(violations)}")
        printed: set[tuple[str, ...]] = set()
        for violation in sorted(violations, key=lambda violation: len(violation.steps)):
            step_kinds = tuple(step.kind.value for step in violation.steps)
            if step_kinds not in printed and len(printed) < MAX_PRINTED:
                printed.add(step_kinds)
                print(f"  {' | '.join(map(str, violation.steps))}   [seed {violation.case.seed}]\n"
                      f"    {violation.details[:240]}")


def main() -> int:
    """Run all requested sequences; return 1 if any of them violates a rule."""
    parser = argparse.ArgumentParser(prog="python -B -m tests.orders")
    parser.add_argument("--depth", type=int, default=3)
    parser.add_argument("--sample", type=int, default=20_000, help="maximum number of sequences of one length; 0: all")
    parser.add_argument("--walks", type=int, default=1000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--shrinks", type=int, default=1, help="sequences of each kind that are reduced in a batch")
    options = parser.parse_args()
    for pushed in (False, True):
        for depth in range(1, options.depth + 1):
            number = count_sequences(depth, pushed)
            played = min(number, options.sample) if options.sample else number
            print(f"{'pushed' if pushed else 'asked'}: length {depth}: "
                  f"{played} of {number} sequences, random times")
    found: list[Violation] = []
    played = 0
    with ProcessPoolExecutor(options.jobs) as pool:
        for number, violations in pool.map(partial(_check, max_shrunk=options.shrinks), _batches(_cases(options))):
            played += number
            found += violations
    _print_report(found, played)
    return 1 if found else 0


if __name__ == "__main__":
    raise SystemExit(main())
