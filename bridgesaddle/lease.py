"""The lease on the list of hosts: how long a gateway may use the list without hearing from discovery again.

When the lease ends, the gateway may no longer choose hosts from the list, because a host may be draining without the
gateway having been notified.  Only two proofs extend the lease:

* `UpToDate`: the gateway had received everything that discovery had at a given time.  Whatever discovery learns later
  and the gateway does not receive takes effect no earlier than `PROPAGATION_BOUND_NS` after that time, or where lists
  are pushed, when the watch ends, if that is earlier.
* `Unreachable`: discovery could not be reached at a given time.  What it has takes effect `PROPAGATION_BOUND_NS` after
  it can be reached again, or at once where lists are pushed.

A change takes effect when gateways have to begin to follow it, whether or not they have received it; they have to
follow it within the drain grace.  Lists are pushed where `Settings.ask_discovery` is false.  Part of the grace is
reserved for event-loop stalls between reading the clock and a write.

These events can only shorten the lease: a start, the end of a watch, a call that connects and ends without a usable
list, SIGHUP, an update that cannot be parsed.  A received list (`on_list`, `on_watch_opened`), which comes with a
proof, removes such limits, and new settings may change the grace.
"""

from __future__ import annotations

from dataclasses import dataclass

from .api import MS, SECOND

PROPAGATION_BOUND_NS = 6 * SECOND
"""A change that was not received takes effect this long after discovery had it and could be reached, and not earlier,
whatever happened to calls in between; one that a silent watch misses, this long after the watch became silent."""
RELOAD_PROPAGATION_BOUND_NS = 4 * SECOND
"""Everything that discovery has takes effect this long after SIGHUP, whatever a watch has delivered before then."""
MAX_UPDATE_DELAY_NS = 3 * SECOND
"""The longest time that an update waits at an overloaded discovery service; then the watch ends."""
MAX_STALL_NS = 150 * MS
"""The longest event-loop stall between reading the clock and a write that the drain grace has to cover."""
MAX_PENDING_RELOADS = 64
"""Signals that are tracked at the same time.  Further ones are ignored: all but the first few end at the same list."""
MAX_CUTOFFS = 64
"""Cutoffs that are tracked separately.  Further cutoffs are merged with the last one."""
DISTANT_PAST_NS = -(1 << 62)
"""Before any time of the monotonic clock, ns."""
DISTANT_FUTURE_NS = 1 << 62
"""After any time of the monotonic clock, ns."""


@dataclass(frozen=True, slots=True)
class UpToDate:
    """The gateway had received everything that discovery had at this time, ns."""

    at_ns: int


@dataclass(frozen=True, slots=True)
class Unreachable:
    """Discovery could not be reached at this time, ns: nothing listened, or no connection was established."""

    at_ns: int


Proof = UpToDate | Unreachable


@dataclass(slots=True)
class Cutoff:
    """The time from which on everything that discovery has is effective, whether or not the gateway received it.

    `effective_ns` is the earliest time at which the cutoff may lie and `latest_ns` the latest; they differ where the
    time is not known exactly.  A proof of `latest_ns` or a later time removes the cutoff.
    """

    effective_ns: int
    latest_ns: int


class ListLease:
    """The lease of one gateway's list.  Times are monotonic, ns."""

    __slots__ = ("_cutoffs", "_grace_ns", "_last_unanswered_ns", "_last_unreachable_ns", "_last_up_to_date_ns",
                 "_pushed", "_reloads", "_started_ns", "_unparsable_ns", "_unreachable", "_watch_lost_ns",
                 "_watch_open")

    def __init__(self, started_ns: int, pushed: bool, grace_ns: int) -> None:
        """Start the lease of a process that started at this time; the list that it started with proves nothing.

        `pushed`: whatever discovery has takes effect at once, whether or not a watch is open.  `grace_ns`: the drain
        grace, the time that a gateway has to follow a change once it is effective.
        """
        self._pushed = pushed
        self._grace_ns = grace_ns
        self._started_ns = started_ns
        self._unreachable = False      # discovery could not be reached, and no call has reached it since
        self._last_up_to_date_ns = DISTANT_PAST_NS    # time of the last proof of each kind
        self._last_unreachable_ns = DISTANT_PAST_NS
        self._last_unanswered_ns = DISTANT_PAST_NS    # last call that ended without a list, no watch open
        self._watch_open = False       # a watch has delivered its list and is open
        self._watch_lost_ns = DISTANT_PAST_NS         # when the last such watch ended
        self._unparsable_ns = DISTANT_FUTURE_NS       # the first unparsable update since the last list
        self._reloads: list[Cutoff] = []   # cutoffs set by SIGHUP, which apply also while a watch is open
        self._cutoffs: list[Cutoff] = []   # apply only without an open watch; an accepted `Unreachable` replaces them

    def on_settings(self, pushed: bool, grace_ns: int) -> None:
        """Apply new settings for pushing and the drain grace; what is effective under the old ones stays effective."""
        if pushed is not self._pushed and not self._watch_open:
            effective_ns = self._effective_ns()
            self._add_cutoff(Cutoff(effective_ns, effective_ns))
        self._pushed = pushed
        self._grace_ns = grace_ns

    @property
    def until_ns(self) -> int:
        """The last moment at which a request may be sent to a host of this list."""
        return self._effective_ns() + max(0, self._grace_ns - MAX_STALL_NS)

    def _effective_ns(self) -> int:
        """The earliest time at which a change that the gateway cannot know of may be effective."""
        cutoffs = [] if self._watch_open else [cutoff.effective_ns for cutoff in self._cutoffs]
        return min([self._proven_ns(), self._unparsable_ns, *(cutoff.effective_ns for cutoff in self._reloads),
                    *cutoffs])

    def _proven_ns(self) -> int:
        """The same time by the last proofs and, where lists are pushed, the end of the last watch, without cutoffs."""
        if not self._pushed:
            return max(self._last_up_to_date_ns, self._last_unreachable_ns) + PROPAGATION_BOUND_NS
        # A watch that becomes silent right after its last update misses changes from then on.
        proven_ns = self._last_up_to_date_ns + PROPAGATION_BOUND_NS
        if not self._watch_open:
            proven_ns = min(proven_ns, self._watch_lost_ns)
        return max(proven_ns, self._last_unreachable_ns)

    def needs_list(self, now_ns: int) -> bool:
        """Whether a new list is needed: an update could not be parsed, or a cutoff set by SIGHUP has passed."""
        return self._unparsable_ns < DISTANT_FUTURE_NS or any(cutoff.effective_ns <= now_ns for cutoff in self._reloads)

    # ---- Proofs ------------------------------------------------------------------------------------------

    def extend(self, proof: Proof) -> None:
        """Apply a proof.  All other events only set, move or remove limits on the time that the proofs give."""
        if isinstance(proof, UpToDate):
            self._unreachable = False
            self._last_up_to_date_ns = max(self._last_up_to_date_ns, proof.at_ns)
            self._cutoffs = [cutoff for cutoff in self._cutoffs if cutoff.latest_ns > proof.at_ns]
        elif not self._postpone(proof.at_ns):
            return
        self._reloads = [cutoff for cutoff in self._reloads if cutoff.latest_ns > proof.at_ns]

    def _postpone(self, at_ns: int) -> bool:
        """Record that discovery could not be reached at this time.

        Returns whether this postpones what discovery has: it then takes effect only after discovery's return.  It does
        not postpone what was effective before, so a lease that was over by then stays over, nor what discovery had when
        a call reached it and ended without a usable list.  Where lists are pushed, the time between two
        calls is allowed for, up to the grace within which a change may be followed.
        """
        if at_ns > self._effective_if_reachable_ns() + (self._grace_ns if self._pushed else 0) \
                or self._last_unanswered_ns > self._last_up_to_date_ns:
            return False
        self._unreachable = True
        self._last_unreachable_ns = max(self._last_unreachable_ns, at_ns)
        self._cutoffs = [] if self._pushed else [Cutoff(at_ns + PROPAGATION_BOUND_NS, DISTANT_FUTURE_NS)]
        return True

    def _effective_if_reachable_ns(self) -> int:
        """When what discovery had took effect, if discovery could be reached until now."""
        if self._unreachable:   # a cutoff set by SIGHUP is postponed while discovery cannot be reached
            return min(self._proven_ns(), self._unparsable_ns)
        if self._last_up_to_date_ns > DISTANT_PAST_NS:
            return self._effective_ns()
        # The time from the start to the first call is allowed for, up to the grace (`_postpone` adds it in push mode).
        return self._started_ns + (0 if self._pushed else self._grace_ns)

    # ---- Other events ----------------------------------------------------------------------------------------

    def on_watch_opened(self) -> None:
        """A watch has delivered its list and is open from now on."""
        self._watch_open = True

    def on_watch_lost(self, at_ns: int, active_ns: int) -> None:
        """No watch is open from this time on; the watch may have ended instead of delivering a change.

        `active_ns` is when the watch was last known not to be silent.  A change that discovery had
        `MAX_UPDATE_DELAY_NS` before that would have been delivered, or the watch would have ended earlier.
        """
        self._watch_open = False
        self._watch_lost_ns = at_ns
        self._cutoffs = [cutoff for cutoff in self._cutoffs if cutoff.latest_ns > active_ns - MAX_UPDATE_DELAY_NS]
        if not self._pushed:
            self._add_cutoff(Cutoff(at_ns + PROPAGATION_BOUND_NS, DISTANT_FUTURE_NS))

    def on_discovery_reached(self, at_ns: int) -> None:
        """Discovery could be reached at this time: a call connected and then waited or got a response."""
        self._unreachable = False
        effective_ns = at_ns if self._pushed else at_ns + PROPAGATION_BOUND_NS
        for cutoff in self._cutoffs:
            cutoff.latest_ns = min(cutoff.latest_ns, max(cutoff.effective_ns, effective_ns))

    def on_call_unanswered(self, at_ns: int) -> None:
        """A call that connected at this time ended without a usable list: what discovery had then was not received."""
        self.on_discovery_reached(at_ns)
        if not self._watch_open:
            self._last_unanswered_ns = max(self._last_unanswered_ns, at_ns)
            if self._pushed:
                self._add_cutoff(Cutoff(at_ns, at_ns))   # pushed changes are effective at once

    def on_list(self) -> None:
        """A list has been received: it covers the updates that could not be parsed."""
        self._unparsable_ns = DISTANT_FUTURE_NS

    def on_unparsable_update(self, at_ns: int) -> None:
        """An update of which bytes were received at this time is malformed or incomplete: another list is needed."""
        self._unparsable_ns = min(self._unparsable_ns, at_ns)

    def on_reload(self, from_ns: int, by_ns: int) -> None:
        """SIGHUP arrived between these times.

        Discovery may be at another address now, and what it has takes effect `RELOAD_PROPAGATION_BOUND_NS` later.
        """
        if len(self._reloads) < MAX_PENDING_RELOADS:
            self._reloads.append(Cutoff(from_ns + RELOAD_PROPAGATION_BOUND_NS, by_ns + RELOAD_PROPAGATION_BOUND_NS))

    def _add_cutoff(self, cutoff: Cutoff) -> None:
        if len(self._cutoffs) >= MAX_CUTOFFS:
            last = self._cutoffs.pop()
            cutoff = Cutoff(min(last.effective_ns, cutoff.effective_ns), max(last.latest_ns, cutoff.latest_ns))
        self._cutoffs.append(cutoff)
