"""Host list of the emulated discovery service.  No I/O, no clock.

Discovery knows only whether a process runs and whether it drains, and learns of changes with a delay.
"""

from __future__ import annotations

from typing import Any, NamedTuple

READY, DRAINING, GONE = "in_service", "terminating", "terminated"
MAX_CHANGES = 4096
"""Number of changes that are kept; a watch that resumes from an older generation gets the full list."""


class Row(NamedTuple):
    """A host's entry in the list; `started_ns` is in the run's time, 0: before the run."""

    host: str
    state: str
    started_ns: int


class Listing:
    """Rows with a generation that grows by one with each change."""

    def __init__(self, hosts: list[str], generation: int = 1) -> None:
        self.generation = generation
        self.rows = {name: Row(name, READY, 0) for name in hosts}
        self._changes: list[Row] = []   # item `index` is the change to generation `_first_generation + index + 1`
        self._first_generation = generation

    def change(self, host: str, state: str, started_ns: int = 0) -> Row | None:
        """Set the state of a host; return its row, or None if nothing changed."""
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
        if len(self._changes) > MAX_CHANGES:
            excess = len(self._changes) - MAX_CHANGES
            del self._changes[:excess]
            self._first_generation += excess
        return row

    def since(self, generation: int) -> tuple[bool, list[Row]]:
        """Return whether this is the full list, and the rows: changes after `generation` if still known, else all."""
        if not self._first_generation <= generation <= self.generation:
            return True, list(self.rows.values())
        last: dict[str, Row] = {}
        for row in self._changes[generation - self._first_generation:]:
            last[row.host] = row
        return False, list(last.values())


def line(generation: int, full: bool, rows: list[Row], describe: dict[str, dict[str, Any]],
         epoch_ms: int) -> dict[str, Any]:
    """Build discovery's JSON object: `describe` has each host's address, zone and cell; `epoch_ms`: the run's start."""
    return {"generation": generation, "reset": full, "instances": [
        {"instanceId": row.host, "lifecycle": row.state, "weight": 1.0,
         "startedAtMs": epoch_ms + row.started_ns // 1_000_000 if row.started_ns else 0, **describe[row.host]}
        for row in rows]}
