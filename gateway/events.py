"""Log lines for diagnosis: an event's name and its fields as `name=value`, at most so many a second.

A request is named by its client's id from the first line to the last, a host by its id in the list.
"""

from __future__ import annotations

import logging
from time import monotonic_ns
from typing import Any

MAX_EVENTS_PER_S = 10
"""Events of one logger written in a second; the others are counted.  Each has its own: a busy moment of requests must
not hide what discovery did.  All together are under the limit on all lines (`program.MAX_LOG_LINES_PER_S`)."""
SECOND = 1_000_000_000


class _Budget:
    """Counts the events of this second."""

    def __init__(self) -> None:
        self._until = 0
        self._count = 0
        self.left_out = 0

    def take(self) -> bool:
        """Whether one more may be written now."""
        now = monotonic_ns()
        if now >= self._until:
            self._until, self._count = now + SECOND, 0
        self._count += 1
        if self._count <= MAX_EVENTS_PER_S:
            return True
        self.left_out += 1
        return False


_budgets: dict[str, _Budget] = {}


def text(value: Any) -> str:
    """A field's value on one line: ids of clients are bytes, and may hold anything."""
    shown = value.decode("ascii", "backslashreplace") if isinstance(value, bytes) else str(value)
    return repr(shown) if not shown or any(letter <= " " or letter in '="' for letter in shown) else shown


def event(log: logging.Logger, name: str, **fields: Any) -> None:
    """Write an event, unless this second has had too many; spans are in ns and shown in ms."""
    budget = _budgets.setdefault(log.name, _Budget())
    if not log.isEnabledFor(logging.INFO) or not budget.take():
        return
    if budget.left_out:
        fields["left_out"], budget.left_out = budget.left_out, 0
    shown = (f"{key[:-3]}_ms={value / 1_000_000:.1f}" if key.endswith("_ns") else f"{key}={text(value)}"
             for key, value in fields.items())
    log.info("event=%s %s", name, " ".join(shown))
