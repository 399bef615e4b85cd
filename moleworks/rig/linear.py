"""Checks whether a history of one record is linearizable; shares no code with the store.

An operation is `(called, returned, kind, argument, result)`; `returned` None: it is unknown whether it took effect.
Kinds (argument; result): `put` (value; True), `cas` (expected and new value; True or False), `get` (None; the value).
The algorithm is that of Wing and Gong with Lowe's memoization: a depth-first search over which operation took effect
next.
"""

from __future__ import annotations

import itertools
from collections.abc import Sequence
from typing import Any, NamedTuple

NEVER_RETURNED = 1 << 62
MAX_STEPS = 100_000


class Op(NamedTuple):
    """One operation on the record."""

    called: int
    returned: int | None
    kind: str
    argument: Any
    result: Any
    revision: int = 0    # of a change, if the response contained it


class TooLong(Exception):
    """The search did not finish within `MAX_STEPS`."""


def _step(op: Op, state: tuple[Any, int]) -> tuple[Any, int] | None:
    """The state after an operation that takes effect now; None: its result contradicts the state."""
    value, revision = state
    known = op.returned is not None
    if op.kind == "get":
        return state if not known or op.result == value else None
    if op.kind == "cas":
        expected, wanted = op.argument
        if (value == expected) != bool(op.result) and known:
            return None
        if value != expected:
            return state
    else:
        wanted = op.argument
    if known and op.revision:
        return (wanted, op.revision) if op.revision > revision else None
    return (wanted, revision)


def linearizable(ops: Sequence[Op], first: Any = None) -> bool:
    """Whether some order with growing revisions explains every result.  Raises TooLong."""
    order = sorted(ops, key=lambda op: op.called)
    ends = [NEVER_RETURNED if op.returned is None else op.returned for op in order]
    count = len(order)
    required = sum(1 << index for index in range(count) if order[index].returned is not None)
    read_values = {op.result for op in order if op.kind == "get"} | {
        op.argument[0] for op in order if op.kind == "cas"}
    # Puts with unknown outcome whose values were never read are interchangeable: only the first of them is tried.
    interchangeable = [op.kind == "put" and op.returned is None and op.argument not in read_values for op in order]
    seen: set[tuple[int, Any]] = set()
    stack: list[tuple[int, tuple[Any, int]]] = [(0, (first, 0))]
    steps = 0
    while stack:
        done, state = stack.pop()
        if done & required == required:
            return True
        if (done, state) in seen:
            continue
        seen.add((done, state))
        steps += 1
        if steps > MAX_STEPS:
            raise TooLong
        limit = NEVER_RETURNED
        index = (~done & (done + 1)).bit_length() - 1   # all operations before it are done
        interchangeable_tried = False
        unknown: list[tuple[int, tuple[Any, int]]] = []
        known: list[tuple[int, tuple[Any, int]]] = []
        while index < count and order[index].called <= limit:   # a call after a response must follow it
            if not done >> index & 1 and not (interchangeable[index] and interchangeable_tried):
                interchangeable_tried = interchangeable_tried or interchangeable[index]
                limit = min(limit, ends[index])
                after = _step(order[index], state)
                if after == state and order[index].returned is not None:
                    unknown, known = [], [(done | 1 << index, state)]   # fits, changes nothing: may go first
                    break
                if after is not None and after != state:
                    (known if order[index].returned is not None else unknown).append((done | 1 << index, after))
            index += 1
        stack += unknown + known   # operations with unknown outcome are tried last
    return False


class Holding(NamedTuple):
    """An interval in which a process believed, by its own clock, that it held a duty; in the rig's common time."""

    duty: str
    who: str
    token: int
    begin: int
    end: int


def overlapping_holdings(holdings: Sequence[Holding]) -> list[str]:
    """Return texts on overlapping holdings of different holders and on tokens that do not grow; empty: none."""
    violations = []
    for duty in sorted({holding.duty for holding in holdings}):
        rows = sorted((holding for holding in holdings if holding.duty == duty), key=lambda holding: holding.begin)
        for one, other in itertools.pairwise(rows):
            if other.token < one.token or (other.token == one.token and other.who != one.who):
                violations.append(f"{duty}: token {other.token} of {other.who} after {one.token} of {one.who}")
            if other.token != one.token and other.begin < one.end:
                violations.append(f"{duty}: {one.who} held it until {one.end}, {other.who} from {other.begin}")
    return violations


def stale_token_writes(granted: Sequence[tuple[int, int]], guarded: Sequence[tuple[int, int, str]]) -> list[str]:
    """Return texts on guarded changes that were accepted although a newer token had been granted before the call.

    `granted`: (time of the response, token); `guarded`: (time of the call, token, holder).
    """
    violations = []
    for called, token, who in guarded:
        newer = max((granted_token for at, granted_token in granted if at < called), default=0)
        if newer > token:
            violations.append(f"guarded change of {who} with token {token} after token {newer} was given")
    return violations
