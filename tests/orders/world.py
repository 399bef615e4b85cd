"""The reference model of one simulated run: from when on each change at discovery has to be followed.

It is computed from what happened in the run alone and imports nothing of the gateway.  Times are ns of the virtual
clock.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

MS = 1_000_000
SECOND = 1_000 * MS
DISTANT_FUTURE_NS = 1 << 62

PROPAGATION_BOUND_NS = 6 * SECOND
"""A change is effective at the latest this long after discovery has it and can be reached."""
RELOAD_PROPAGATION_BOUND_NS = 4 * SECOND
"""Everything that discovery has is effective this long after SIGHUP."""
DRAIN_GRACE_NS = 300 * MS
"""A change has to be followed within this time after it is effective."""
STALL_RESERVE_NS = 150 * MS
"""The part of the drain grace that is reserved for event-loop stalls between reading the clock and a write."""


class Rule(Enum):
    """The rule by which a change is effective."""

    WRITTEN = "written"
    REACHABLE = "had and reachable"
    WATCH_SILENT = "the watch is silent"
    UNWATCHED = "6 s without a watch or after a return"
    RELOADED = "SIGHUP"
    NEVER = "never"


class Strictness(Enum):
    """Whether opening a watch cancels the 6 s that run from a lost watch or from the end of an outage."""

    LAST = "last"   # the 6 s apply only while no watch is open that has delivered its list
    ANY = "any"     # they always apply


@dataclass(frozen=True)
class Change:
    """A host starts to drain, or is missing from the full list."""

    generation: int
    at: int


@dataclass
class Interval:
    """A time interval that may not have ended yet."""

    begin: int
    end: int = DISTANT_FUTURE_NS

    def contains(self, at: int) -> bool:
        """Whether this time lies in the interval."""
        return self.begin <= at < self.end


@dataclass
class Outage(Interval):
    """Discovery cannot be reached."""

    clean: bool = False   # it began with the end of a watch that was up to date, and nothing else happened during it


@dataclass
class ProcessHistory:
    """What one gateway process did and received."""

    start: int
    first_call: int = DISTANT_FUTURE_NS
    written: list[tuple[int, int]] = field(default_factory=list)   # (time, generation) of each list or update


EffectiveTime = tuple[int, Rule]


class World:
    """Everything that happened at discovery and in the gateway process during one run."""

    def __init__(self, start: int, pushed: bool, strictness: Strictness) -> None:
        self.pushed = pushed
        self.strictness = strictness
        self.start = start
        self.changes: list[Change] = []
        self.outages: list[Outage] = []
        self.watches: list[Interval] = []    # each from its first full list to the end of the connection
        self.silences: list[Interval] = []   # during which an open watch delivers nothing
        self.reloads: list[tuple[int, bool]] = []   # the time, and whether the address of discovery changed
        self.process = ProcessHistory(start)

    # ---- Reachability ------------------------------------------------------------------------------------

    def outage_at(self, at: int) -> Outage | None:
        """The outage at this time."""
        for outage in self.outages:
            if outage.contains(at):
                return outage
        return None

    def reachable_from(self, since: int) -> int:
        """The first time from `since` on at which discovery can be reached."""
        while (outage := self.outage_at(since)) is not None:
            since = outage.end
        return since

    def _next_outage(self, since: int) -> int:
        """When the next outage begins."""
        return min((outage.begin for outage in self.outages if outage.begin >= since), default=DISTANT_FUTURE_NS)

    def _bound_after(self, since: int) -> int:
        """When discovery has been reachable for 6 s without interruption since then; each outage restarts the 6 s."""
        since = self.reachable_from(since)
        while (outage_begin := self._next_outage(since)) < since + PROPAGATION_BOUND_NS:
            since = self.reachable_from(outage_begin)
        return since + PROPAGATION_BOUND_NS

    def _informed_since(self) -> int:
        """The earliest time about which the process can have information.

        If discovery is unreachable when the process starts, or becomes unreachable before the process can have called
        it, the process has no information from before the end of that outage.
        """
        process = self.process
        outage = self.outage_at(process.start)
        if outage is None and process.first_call - process.start < DRAIN_GRACE_NS:
            outage = self.outage_at(process.first_call)
        if outage is None and self._next_outage(process.start) < process.start + DRAIN_GRACE_NS:
            outage = self.outage_at(self._next_outage(process.start))
        return outage.end if outage is not None else process.start

    # ---- Effective times ---------------------------------------------------------------------------------

    def effective_time(self, change: Change, send_at: int) -> EffectiveTime:
        """From when on a change is effective for the process that sends at `send_at`, and by which rule."""
        return min(self._effective_times(change, send_at), key=lambda effective: effective[0],
                   default=(DISTANT_FUTURE_NS, Rule.NEVER))

    def _effective_times(self, change: Change, send_at: int) -> Iterator[EffectiveTime]:
        for at, generation in self.process.written:
            if generation >= change.generation:
                yield at, Rule.WRITTEN
                break
        reachable = self.reachable_from(max(change.at, self._informed_since()))
        silence = next((interval for interval in self.silences if interval.contains(reachable)), None)
        if silence is not None:
            yield max(reachable, self._bound_after(silence.begin)), Rule.WATCH_SILENT
        if self.pushed:
            if silence is None:
                yield self._effective_pushed(reachable), Rule.REACHABLE
        else:
            yield self._bound_after(reachable), Rule.REACHABLE
            yield from ((at, Rule.UNWATCHED) for at in self._effective_unwatched(change, send_at))
        for at, _ in self.reloads:
            due = at + RELOAD_PROPAGATION_BOUND_NS
            if at >= self.process.start and reachable <= due and self.outage_at(due) is None:
                yield max(reachable, due), Rule.RELOADED

    def _effective_pushed(self, reachable: int) -> int:
        """In push mode a change is effective at once, or 4 s after a SIGHUP that changes the address of discovery.

        A change is never effective if discovery could be reached for less than the drain grace: no gateway can have
        received it.
        """
        if self._next_outage(reachable) - reachable < DRAIN_GRACE_NS:
            return DISTANT_FUTURE_NS
        moved = [at for at, moved in self.reloads if moved and at <= reachable < at + RELOAD_PROPAGATION_BOUND_NS]
        return max([reachable, *(at + RELOAD_PROPAGATION_BOUND_NS for at in moved)])

    def _effective_unwatched(self, change: Change, send_at: int) -> Iterator[int]:
        """6 s after each lost watch and after each outage; immediately if no watch has been opened since."""
        informed = self._informed_since()
        restart = [informed] if informed != self.process.start else []
        losses = [watch.end for watch in self.watches if watch.end <= change.at and self._was_last(watch)]
        losses = losses or [self.start]
        returns = [outage.end for outage in self.outages if outage.end <= change.at]
        for since in losses + returns:
            at = self._bound_after(max([since, *restart]))
            if at >= change.at and (self.strictness is Strictness.ANY or not self._has_watch(at, send_at)):
                yield at
        if not any(watch.contains(change.at) for watch in self.watches):
            reachable = self.reachable_from(max([change.at, *restart]))
            returned = max((outage.end for outage in self.outages if outage.end <= reachable), default=0)
            yield max(reachable, self._bound_after(max([*losses, returned, *restart])))

    def _was_last(self, watch: Interval) -> bool:
        """Whether no watch was open after this one ended; with `Strictness.ANY` the end of any watch counts."""
        return self.strictness is Strictness.ANY or not self._has_watch(watch.end)

    def _has_watch(self, *times: int) -> bool:
        return any(watch.contains(at) for watch in self.watches for at in times)
