"""How long the list of hosts may be followed without a further word of discovery.

The list is a lease.  Any word of a living watch renews it; at its end requests may not go to hosts by that list any
more, as a host may drain that the gateway has not heard of.  The lease ends when the first change that the gateway
can't know of may count as told; the drain grace is kept for hold-ups between a look at the clock and a write.

Only what shows that discovery could not be reached lengthens a lease: nothing that it has counts meanwhile.  A call
that comes up and waits, is turned away or is cut short shows a service that is there, however many do so and for how
long.
"""

from __future__ import annotations

from .api import MS, SECOND

TOLD = 6 * SECOND
"""A change counts as told so long after discovery had it and could be reached, whatever became of calls meanwhile; what
a silent watch misses, so long after it fell silent."""
TOLD_RELOAD = 4 * SECOND
"""And so long after SIGHUP, whatever a watch has said before then."""
MOST_RELOADS = 64
"""Signals that are waited for at once: more come to nothing, as all but the first few end at the same list."""
STARTING = SECOND
"""A process counts from its start, which may be so much earlier than the first moment that it can note."""
LINE_WAITS = 3 * SECOND
"""A change's line waits for its turn at a crowded service for so long at most; then its watch ends."""
HELD_UP = 150 * MS
"""The longest hold-up between a look at the clock and a write that the grace has to cover."""


class ListLease:
    """The lease of one gateway's list.  Times are monotonic, ns."""

    __slots__ = ("_all_counts_at", "_broken", "_gone_at", "_grace_ns", "_pushed", "_reloads_count_at", "_told_by",
                 "_unread_at")

    def __init__(self, now_ns: int, pushed: bool, grace_ns: int) -> None:
        """`pushed`: what discovery has counts at once, whether or not a watch is open; `grace_ns`: to follow it in."""
        self.on_settings(pushed, grace_ns)
        self._unread_at = 0   # when discovery wrote what could not be read, which counts as told; 0: nothing
        self._reloads_count_at: list[int] = []   # when SIGHUP has what discovery has count, unless a list came since
        self._broken = False      # no list was told since discovery, or the last watch, was lost
        self._gone_at = 0         # when discovery could last not be reached; 0: not since the last list
        self._all_counts_at = 0   # 6 s after the last return: all that discovery has, whatever a watch has said
        self._told_by = now_ns - STARTING + (0 if pushed else TOLD)

    def on_settings(self, pushed: bool, grace_ns: int) -> None:
        """From now on lists are pushed or asked for, with this grace."""
        self._pushed = pushed
        self._grace_ns = grace_ns

    @property
    def until_ns(self) -> int:
        """The last moment at which a request may go out by this list."""
        return min([self._told_by, *self._reloads_count_at[:1]]) + max(0, self._grace_ns - HELD_UP)

    def wants_word(self, now_ns: int) -> bool:
        """Whether what discovery has counts by now because of SIGHUP, and no list was told since."""
        return bool(self._reloads_count_at) and self._reloads_count_at[0] <= now_ns

    def on_line(self, at_ns: int) -> None:
        """A change has been taken from a watch that had told its list before: another one may wait behind it."""
        self._unread_at = 0
        self.on_word(at_ns)

    def on_list(self, at_ns: int, asked_ns: int = 0) -> None:
        """A call was answered with all that discovery had at this time; `asked_ns`: when the call came up."""
        self._unread_at = 0
        self._told_by = at_ns + TOLD
        if self._broken:
            self._broken = False
            # Back by the time of the call; where it could surely not be reached before, maybe right after that.
            self._all_counts_at = (self._gone_at or asked_ns or at_ns) + TOLD
            self._gone_at = 0
        self._known(at_ns)

    def on_word(self, at_ns: int) -> None:
        """A watch whose list has been taken has spoken: it was not silent at this time.

        It has told what was there `LINE_WAITS` before: a change's line may wait for its turn meanwhile.
        """
        if not self._unread_at:
            self._told_by = max(self._told_by, at_ns + TOLD - (0 if self._pushed else LINE_WAITS))

    def _known(self, at_ns: int) -> None:
        """What SIGHUP has count by this time is known, or could not be."""
        self._reloads_count_at = [at for at in self._reloads_count_at if at > at_ns]

    def on_unread(self, at_ns: int) -> None:
        """Something was written at this time that is not whole, or can't be used: another list is needed."""
        self._unread_at = self._unread_at or at_ns
        self._told_by = min(self._told_by, at_ns)

    def on_watch_ended(self, at_ns: int) -> None:
        """No watch is open from now on.

        It may have ended instead of telling a change whose line had waited for its turn.  Where lists are asked for,
        that counts 6 s after the end, but soon after a return all that discovery has counts before.
        """
        if self._pushed:
            self._told_by = min(self._told_by, at_ns)
        elif at_ns < self._all_counts_at + LINE_WAITS:
            self._told_by = min(self._told_by, self._all_counts_at)
        self._broken = True

    def on_unreachable(self, at_ns: int) -> None:
        """Discovery could not be reached at this time."""
        self._broken = True
        self._gone_at = at_ns
        self._lengthen(at_ns, 0 if self._pushed else TOLD)

    def _lengthen(self, at_ns: int, by_ns: int) -> None:
        """What could not be read bars it, but not for good: a gateway has to outlive discovery."""
        if not self._unread_at or at_ns - self._unread_at >= TOLD:
            self._unread_at = 0
            self._told_by = max(self._told_by, at_ns + by_ns)
            self._known(at_ns)

    def on_reload(self, at_ns: int) -> None:
        """SIGHUP: discovery may be elsewhere.

        Kept apart from the lease's own end: a watch that speaks before this and falls silent must not put it off.
        """
        if len(self._reloads_count_at) < MOST_RELOADS:
            self._reloads_count_at.append(at_ns + TOLD_RELOAD)
