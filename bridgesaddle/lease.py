"""How long the list of hosts may be followed without a further word of discovery.

The list is a lease: at its end requests may not go to hosts by that list any more, as a host may drain that the gateway
has not heard of.  Two proofs alone lengthen it:

* `UpToDate`: discovery has told all that it had at a time.  What it learns later counts `PROPAGATION_BOUND_NS`
  after that time.
* `Unreachable`: discovery could not be reached at a time.  What it has counts `PROPAGATION_BOUND_NS` after it can
  be reached again, or
  at once where lists are pushed.

All else that happens can only shorten it: a start, a watch that ends, a call that comes up and is not answered, SIGHUP,
a text that can't be used.  The drain grace is kept for hold-ups between a look at the clock and a write.
"""

from __future__ import annotations

from dataclasses import dataclass

from .api import MS, SECOND

PROPAGATION_BOUND_NS = 6 * SECOND
"""A change counts as told so long after discovery had it and could be reached, whatever became of calls meanwhile; what
a silent watch misses, so long after it fell silent."""
RELOAD_PROPAGATION_BOUND_NS = 4 * SECOND
"""And so long after SIGHUP, whatever a watch has said before then."""
MAX_UPDATE_DELAY_NS = 3 * SECOND
"""A change's line waits for its turn at a crowded service for so long at most; then its watch ends."""
MAX_STALL_NS = 150 * MS
"""The longest hold-up between a look at the clock and a write that the grace has to cover."""
MAX_PENDING_RELOADS = 64
"""Signals that are waited for at once: more come to nothing, as all but the first few end at the same list."""
MAX_CUTOFFS = 64
"""Cutoffs that are kept apart; any more become one with the last of them."""
NEVER = -(1 << 62)
"""Before any time of the monotonic clock, ns."""
UNKNOWN = 1 << 62
"""After any time of the monotonic clock, ns."""


@dataclass(frozen=True, slots=True)
class UpToDate:
    """Discovery has told all that it had at this time, ns."""

    at_ns: int


@dataclass(frozen=True, slots=True)
class Unreachable:
    """Discovery could not be reached at this time, ns: nothing listened, or no connection came up."""

    at_ns: int


Proof = UpToDate | Unreachable


@dataclass(slots=True)
class Cutoff:
    """From `counts_ns` on all that discovery has counts for a gateway that has no watch open.

    It is put off by what discovery has told of `settled_ns` or later: the latest time at which the cutoff may lie,
    where that is not known exactly.
    """

    counts_ns: int
    settled_ns: int


class ListLease:
    """The lease of one gateway's list.  Times are monotonic, ns."""

    __slots__ = ("_away", "_cutoffs", "_grace_ns", "_lost_ns", "_open", "_pushed", "_reloads", "_started_ns",
                 "_told_ns", "_unanswered_ns", "_unreachable_ns", "_unread_ns")

    def __init__(self, started_ns: int, pushed: bool, grace_ns: int) -> None:
        """A process that started at this time; the list that it began with proves nothing.

        `pushed`: what discovery has counts at once, whether or not a watch is open; `grace_ns`: to follow it in.
        """
        self._pushed = pushed
        self._grace_ns = grace_ns
        self._started_ns = started_ns
        self._away = False             # discovery could not be reached, and nothing has reached it since
        self._told_ns = NEVER          # of the last proof of each kind
        self._unreachable_ns = NEVER
        self._unanswered_ns = NEVER    # when a call last came up and was not answered, with no watch open
        self._open = False             # a watch that has told its list
        self._lost_ns = NEVER          # when the last such watch ended
        self._unread_ns = UNKNOWN      # when discovery first wrote what could not be used, unless a list came since
        self._reloads: list[Cutoff] = []   # when SIGHUP has what discovery has count, also while a watch is open
        self._cutoffs: list[Cutoff] = []

    def on_settings(self, pushed: bool, grace_ns: int) -> None:
        """From now on lists are pushed or asked for, with this grace: what counted by the old settings goes on to."""
        if pushed is not self._pushed and not self._open:
            counts_ns = self._counts_ns()
            self._cut_off(Cutoff(counts_ns, counts_ns))
        self._pushed = pushed
        self._grace_ns = grace_ns

    @property
    def until_ns(self) -> int:
        """The last moment at which a request may go out by this list."""
        return self._counts_ns() + max(0, self._grace_ns - MAX_STALL_NS)

    def _counts_ns(self) -> int:
        """When the first change that the gateway can't know of may count as told."""
        cutoffs = [] if self._open else [cutoff.counts_ns for cutoff in self._cutoffs]
        return min([self._proven_ns(), self._unread_ns, *(cutoff.counts_ns for cutoff in self._reloads), *cutoffs])

    def _proven_ns(self) -> int:
        """What the last proofs give by themselves."""
        if not self._pushed:
            return max(self._told_ns, self._unreachable_ns) + PROPAGATION_BOUND_NS
        told_ns = self._told_ns + PROPAGATION_BOUND_NS
        # what a watch misses that falls silent right after its last word
        if not self._open:
            told_ns = min(told_ns, self._lost_ns)
        return max(told_ns, self._unreachable_ns)

    def needs_list(self, now_ns: int) -> bool:
        """Whether what discovery has counts by now because of SIGHUP, or as it was written and can't be used."""
        return self._unread_ns < UNKNOWN or any(cutoff.counts_ns <= now_ns for cutoff in self._reloads)

    # ---- Proofs ------------------------------------------------------------------------------------------

    def extend(self, proof: Proof) -> None:
        """The only way in which the lease becomes longer."""
        if isinstance(proof, UpToDate):
            self._away = False
            self._told_ns = max(self._told_ns, proof.at_ns)
            self._cutoffs = [cutoff for cutoff in self._cutoffs if cutoff.settled_ns > proof.at_ns]
        elif not self._put_off(proof.at_ns):
            return
        self._reloads = [cutoff for cutoff in self._reloads if cutoff.settled_ns > proof.at_ns]

    def _put_off(self, at_ns: int) -> bool:
        """Discovery could not be reached at this time; whether that has what it has count anew, from its return on.

        Not what counted before: a lease that was over by then stays so.  Nor what discovery had when it was there and
        did not answer.  Where lists are pushed the time between two calls is allowed for, up to that in which a change
        may be followed.
        """
        if at_ns > self._counted_ns() + (self._grace_ns if self._pushed else 0) or self._unanswered_ns > self._told_ns:
            return False
        self._away = True
        self._unreachable_ns = max(self._unreachable_ns, at_ns)
        self._cutoffs = [] if self._pushed else [Cutoff(at_ns + PROPAGATION_BOUND_NS, UNKNOWN)]
        return True

    def _counted_ns(self) -> int:
        """When what discovery had began to count, if it was there until now."""
        if self._away:   # what SIGHUP has count in such a time is put off
            return min(self._proven_ns(), self._unread_ns)
        if self._told_ns > NEVER:
            return self._counts_ns()
        return self._started_ns + (0 if self._pushed else self._grace_ns)   # so short a time may be missed

    # ---- What can only shorten it ------------------------------------------------------------------------

    def on_watch_opened(self) -> None:
        """A watch has told its list, and is open from now on."""
        self._open = True

    def on_watch_lost(self, at_ns: int, spoke_ns: int) -> None:
        """No watch is open from this time on, which may have ended instead of telling a change.

        It would have told or ended before, had there been anything to tell `MAX_UPDATE_DELAY_NS` before `spoke_ns`:
        when it was         last known to be no silent one.
        """
        self._open = False
        self._lost_ns = at_ns
        self._cutoffs = [cutoff for cutoff in self._cutoffs if cutoff.settled_ns > spoke_ns - MAX_UPDATE_DELAY_NS]
        if not self._pushed:
            self._cut_off(Cutoff(at_ns + PROPAGATION_BOUND_NS, UNKNOWN))

    def on_discovery_reached(self, at_ns: int) -> None:
        """Discovery was there at this time: a call came up then that waited or was answered."""
        self._away = False
        counts_ns = at_ns if self._pushed else at_ns + PROPAGATION_BOUND_NS
        for cutoff in self._cutoffs:
            cutoff.settled_ns = min(cutoff.settled_ns, max(cutoff.counts_ns, counts_ns))

    def on_call_unanswered(self, at_ns: int) -> None:
        """A call that came up at this time was not answered: what discovery had by then has not been told."""
        self.on_discovery_reached(at_ns)
        if not self._open:
            self._unanswered_ns = max(self._unanswered_ns, at_ns)
            if self._pushed:
                self._cut_off(Cutoff(at_ns, at_ns))   # it counts at once

    def on_list(self) -> None:
        """A list has been taken: it has what could not be used before."""
        self._unread_ns = UNKNOWN

    def on_unparsable_update(self, at_ns: int) -> None:
        """Something was written at this time that is not whole, or can't be used: another list is needed."""
        self._unread_ns = min(self._unread_ns, at_ns)

    def on_reload(self, from_ns: int, by_ns: int) -> None:
        """SIGHUP came between these times: discovery may be elsewhere, and what it has counts
        `RELOAD_PROPAGATION_BOUND_NS` later."""
        if len(self._reloads) < MAX_PENDING_RELOADS:
            self._reloads.append(Cutoff(from_ns + RELOAD_PROPAGATION_BOUND_NS, by_ns + RELOAD_PROPAGATION_BOUND_NS))

    def _cut_off(self, cutoff: Cutoff) -> None:
        if len(self._cutoffs) >= MAX_CUTOFFS:
            last = self._cutoffs.pop()
            cutoff = Cutoff(min(last.counts_ns, cutoff.counts_ns), max(last.settled_ns, cutoff.settled_ns))
        self._cutoffs.append(cutoff)
