"""Is a history of one record linearizable?  Own books, shares nothing with the store.

An operation is `(called, returned, kind, argument, result)`; `returned` None: nobody knows whether it happened.
Kinds: `put` (value; True), `cas` (expected value and new value; True, False), `get` (None; the value).  After Wing and
Gong, with Lowe's memory of what was tried: depth first over which operation took effect next.
"""

from __future__ import annotations

import itertools
from collections.abc import Sequence
from typing import Any, NamedTuple

FOREVER = 1 << 62
MOST_STEPS = 100_000


class Op(NamedTuple):
    """One operation on the record."""

    called: int
    returned: int | None
    kind: str
    argument: Any
    result: Any
    revision: int = 0    # of a change, where the answer told it


class TooLong(Exception):
    """Not decided within the bound of steps."""


def _step(op: Op, state: tuple[Any, int]) -> tuple[Any, int] | None:
    """The state after an operation, were it to take effect now; None: it can't have."""
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
    """Whether some order explains every answer, with revisions that grow.  Raises TooLong."""
    order = sorted(ops, key=lambda op: op.called)
    ends = [FOREVER if op.returned is None else op.returned for op in order]
    count = len(order)
    must = sum(1 << index for index in range(count) if order[index].returned is not None)
    looked_for = {op.result for op in order if op.kind == "get"} | {
        op.argument[0] for op in order if op.kind == "cas"}
    # Puts that nobody knows of, of values that nobody ever saw: one is as good as another, so the first will do.
    alike = [op.kind == "put" and op.returned is None and op.argument not in looked_for for op in order]
    seen: set[tuple[int, Any]] = set()
    stack: list[tuple[int, tuple[Any, int]]] = [(0, (first, 0))]
    steps = 0
    while stack:
        done, state = stack.pop()
        if done & must == must:
            return True
        if (done, state) in seen:
            continue
        seen.add((done, state))
        steps += 1
        if steps > MOST_STEPS:
            raise TooLong
        limit = FOREVER
        index = (~done & (done + 1)).bit_length() - 1   # all before it are done
        one = False
        maybe: list[tuple[int, tuple[Any, int]]] = []
        sure: list[tuple[int, tuple[Any, int]]] = []
        while index < count and order[index].called <= limit:   # what was called after an answer comes after it
            if not done >> index & 1 and not (alike[index] and one):
                one = one or alike[index]
                limit = min(limit, ends[index])
                after = _step(order[index], state)
                if after == state and order[index].returned is not None:
                    maybe, sure = [], [(done | 1 << index, state)]   # changes nothing and fits: it may go first
                    break
                if after is not None and after != state:
                    (sure if order[index].returned is not None else maybe).append((done | 1 << index, after))
            index += 1
        stack += maybe + sure   # what nobody knows of is tried last
    return False


class Holding(NamedTuple):
    """A stretch in which a process believed, by its own clock, that it held a duty; in the rig's one time."""

    duty: str
    who: str
    token: int
    begin: int
    end: int


def overlapping_holdings(holdings: Sequence[Holding]) -> list[str]:
    """Overlaps of different holders, and tokens that do not grow: an empty list if there are none."""
    told = []
    for duty in sorted({holding.duty for holding in holdings}):
        rows = sorted((holding for holding in holdings if holding.duty == duty), key=lambda holding: holding.begin)
        for one, other in itertools.pairwise(rows):
            if other.token < one.token or (other.token == one.token and other.who != one.who):
                told.append(f"{duty}: token {other.token} of {other.who} after {one.token} of {one.who}")
            if other.token != one.token and other.begin < one.end:
                told.append(f"{duty}: {one.who} held it until {one.end}, {other.who} from {other.begin}")
    return told


def stale_token_writes(granted: Sequence[tuple[int, int]], guarded: Sequence[tuple[int, int, str]]) -> list[str]:
    """Guarded changes that were accepted though a newer token had been given before they were even called.

    `granted`: answered at, token; `guarded`: called at, token, whose.
    """
    told = []
    for called, token, who in guarded:
        newer = max((given for at, given in granted if at < called), default=0)
        if newer > token:
            told.append(f"guarded change of {who} with token {token} after token {newer} was given")
    return told
