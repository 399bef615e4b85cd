"""The stand-in of the platform's list service: what it knows of hosts, and when.  No I/O, no clock.

It knows only whether a process runs and whether it drains, and knows it late.
"""

from __future__ import annotations

from typing import Any, NamedTuple

READY, DRAINING, GONE = "in_service", "terminating", "terminated"
KEPT = 4096
"""Versions whose changes are remembered; a watch from an older one gets the whole list."""


class Row(NamedTuple):
    """A host as the list has it; `started_ns` in the run's time, 0: long ago."""

    host: str
    state: str
    started_ns: int


class Listing:
    """Rows with a version that grows by one with each change."""

    def __init__(self, hosts: list[str], generation: int = 1) -> None:
        self.generation = generation
        self.rows = {name: Row(name, READY, 0) for name in hosts}
        self._changes: list[Row] = []   # the change to version `_first + index + 1`
        self._first = generation

    def change(self, host: str, state: str, started_ns: int = 0) -> Row | None:
        """A host's row; None if that is no change."""
        row = Row(host, state, started_ns)
        if state == GONE:
            if self.rows.pop(host, None) is None:
                return None
        elif self.rows.get(host) == row:
            return None
        else:
            self.rows[host] = row
        self.generation += 1
        self._changes.append(row)
        if len(self._changes) > KEPT:
            drop = len(self._changes) - KEPT
            del self._changes[:drop]
            self._first += drop
        return row

    def since(self, generation: int) -> tuple[bool, list[Row]]:
        """Whether this is the whole list, and the rows: what changed after a version, else everything."""
        if not self._first <= generation <= self.generation:
            return True, list(self.rows.values())
        last: dict[str, Row] = {}
        for row in self._changes[generation - self._first:]:
            last[row.host] = row
        return False, list(last.values())


def line(generation: int, full: bool, rows: list[Row], describe: dict[str, dict[str, Any]],
         epoch_ms: int) -> dict[str, Any]:
    """The object of PROTOCOL: `describe` has each host's address, zone and cell, `epoch_ms` the run's start."""
    return {"generation": generation, "reset": full, "instances": [
        {"instanceId": row.host, "lifecycle": row.state, "weight": 1.0,
         "startedAtMs": epoch_ms + row.started_ns // 1_000_000 if row.started_ns else 0, **describe[row.host]}
        for row in rows]}
