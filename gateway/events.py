"""Diagnostic log lines: an event's name and its fields as `name=value`, with a limited rate per logger.

Events about a request with a valid id identify it by the id that its client sent, those about a host by its id in the
list; `connect_failed` has the host's port instead.
"""

from __future__ import annotations

import logging
from time import monotonic_ns
from typing import Any

MAX_EVENTS_PER_S = 10
"""Maximum events that one logger writes per second; further events are only counted.  The limit is per logger so that
many request events do not hide those of discovery.  `program.MAX_LOG_LINES_PER_S` limits the lines of all loggers."""
SECOND_NS = 1_000_000_000


class _EventBudget:
    """Counts the events of one logger in the current second."""

    def __init__(self) -> None:
        self._ends_ns = 0
        self._count = 0
        self.left_out = 0

    def take(self) -> bool:
        """Count an event; return whether it may be written."""
        now = monotonic_ns()
        if now >= self._ends_ns:
            self._ends_ns, self._count = now + SECOND_NS, 0
        self._count += 1
        if self._count <= MAX_EVENTS_PER_S:
            return True
        self.left_out += 1
        return False


_budgets: dict[str, _EventBudget] = {}


def format_value(value: Any) -> str:
    """Format a field's value on one line: request ids are bytes from clients and may contain anything."""
    shown = value.decode("ascii", "backslashreplace") if isinstance(value, bytes) else str(value)
    return repr(shown) if not shown or any(char <= " " or char in '="' for char in shown) else shown


def event(log: logging.Logger, name: str, **fields: Any) -> None:
    """Log an event unless its logger has reached its limit; fields named `*_ns` are shown in ms."""
    budget = _budgets.setdefault(log.name, _EventBudget())
    if not log.isEnabledFor(logging.INFO) or not budget.take():
        return
    if budget.left_out:
        fields["left_out"], budget.left_out = budget.left_out, 0
    shown = (f"{key[:-3]}_ms={value / 1_000_000:.1f}" if key.endswith("_ns") else f"{key}={format_value(value)}"
             for key, value in fields.items())
    log.info("event=%s %s", name, " ".join(shown))
