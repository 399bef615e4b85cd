"""Discovery: the watch that is kept, the whole list, and when to call again; how long all may take:
discovery_timeouts.py.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable, Sequence
from typing import Any

from bridgesaddle.api import SECOND, ListKind
from bridgesaddle.lease import (
    MAX_UPDATE_DELAY_NS,
    PROPAGATION_BOUND_NS,
    RELOAD_PROPAGATION_BOUND_NS,
    ListLease,
    Proof,
    Unreachable,
    UpToDate,
)

from .discovery_calls import DiscoveryCall, Try
from .discovery_timeouts import (
    APART,
    BACKOFF_FIRST,
    FIRST_CALL,
    HEARTBEAT_INTERVAL_NS,
    HEARTBEAT_TOLERANCE_NS,
    IMMEDIATE_FAILURE_NS,
    OVERLOAD_BACKOFF_NS,
    QUICK_RESTS,
    RESET_AT_ONCE,
    SECOND_CALL,
    SECOND_CALL_PUSHED,
    TRIES,
    TURN,
    UNSURE,
    WATCH_RENEWAL_NS,
    WATCH_SILENCE_TIMEOUT_NS,
    cut_short_after,
    try_again_after,
)
from .events import event
from .reachability import Reachability
from .syscalls import pending_events
from .timers import LATE_TIMER_NS, Timers, now_ns
from .transient import LOCAL_ERRNOS
from .update_parser import HostListUpdate, ListedHost, MalformedUpdate, UpdateParser

log = logging.getLogger("gateway.discovery")


class Discovery:
    """Keeps the watch that was asked for once, and tells what comes of it.

    The module chooses when to ask first; where lists are pushed it asks for nothing.  From then on a watch that ends is
    begun anew from here: the time until a change is heard has this one owner.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, timers: Timers, address: tuple[str, int],
                 lines: UpdateParser, pushed: bool,
                 tell: Callable[[ListKind, list[ListedHost]], None], grace_ns: int = 0, started_ns: int = 0) -> None:
        self._loop = loop
        self._grace_ns = grace_ns   # in which a change has to be followed
        self.lease = ListLease(started_ns or now_ns(), pushed, grace_ns)
        self._reach = Reachability()
        self.gateway_count = 1   # gateways that may start at the same time
        self.on_lease_changed: Callable[[], None] = lambda: None   # told whenever the lease may be valid again
        self.read_delay_ns: Callable[[int], int] = lambda now: 0   # how long what is read now may have waited, ns
        self._timers = timers
        self._address = address
        self._lines = lines
        self._pushed = pushed
        self._tell = tell
        self._closed = False
        self._wanted = False
        self.last_received_ns = 0        # when discovery last said anything; 0: not yet
        self._list_at = 0        # the same for lists
        self._rests_until = 0    # 0: the watch does not rest
        self._reloaded_at = 0    # the last SIGHUP
        self._unsure_until = 0   # after a hold-up, where a change may count as told that can't be known
        self._watch: DiscoveryCall | None = None
        self._backup_watch: DiscoveryCall | None = None   # beside a watch whose call is not answered
        self._list_call: DiscoveryCall | None = None
        self._pause = BACKOFF_FIRST
        self._cuts = 0           # objects in a row that were cut short
        self._out_of_order = False
        self._spoilt = 0         # calls in a row that were answered with what can't be used
        self.authority = f"{address[0]}:{address[1]}"
        self.generation = 0

    @property
    def resume_generation(self) -> int:
        """The version that a watch goes on from; 0 asks for the whole list."""
        return 0 if self._out_of_order else self.generation

    def load_known_list(self, listed: Any) -> None:
        """The list that the configuration brings."""
        try:
            self.generation, _, entries = self._lines.parse(listed)
        except MalformedUpdate as error:
            log.warning("the known list is broken: %s", error)
            entries = []
        event(log, "known_list", generation=self.generation, entries=len(entries))
        self._tell(ListKind.CACHED, entries)

    def start(self) -> None:
        """The watch begins by itself: at once where lists are pushed, else a little apart from other gateways' ones.

        The module might wait for some seconds more, and the list of the start is followed for some seconds only.
        """
        if self._pushed:
            self.watch(True)
        else:
            self._timers.after(int(random.random() * self.gateway_count * FIRST_CALL), lambda _: self.watch(True), None)

    def close(self) -> None:
        """End everything; the program is over."""
        self._closed = True
        self.watch(False)
        if self._list_call is not None:
            self._list_call.close()

    @property
    def down(self) -> bool:
        """Whether discovery can't be reached, as calls have shown."""
        return self._reach.down

    # ---- What is known now -------------------------------------------------------------------------------

    def read_pending(self, now: int) -> None:
        """Read what discovery has written before anything is decided: the loop may get to it later.

        Guards against clients and timers that are handled first after a hold-up.
        """
        for call in (self._watch, self._backup_watch, self._list_call):
            if call is not None:
                call.read_waiting()

    def on_stall(self, held_ns: int) -> None:
        """The loop stood still for so long: where lists are pushed a watch that ended meanwhile has missed changes."""
        if self._pushed and held_ns > self._grace_ns // 2:
            self._unsure_until = now_ns() + UNSURE
            self._timers.at(self._unsure_until, self._lease_renewed, None)
        if held_ns > MAX_UPDATE_DELAY_NS and self._watch is not None and self._watch.first_list_ns \
                and self._backup_watch is None:
            self._call_beside(self._watch)   # what it says next may be 2 s away, and of 3 s before

    def may_send(self, now: int) -> bool:
        """Whether requests may go out by the list: no change that is not heard may count as told, its grace over."""
        return now <= self.lease.until_ns and not self._may_have_missed_end(now)

    def _may_have_missed_end(self, now: int) -> bool:
        """Whether the watch may have ended in a hold-up, and its end not be read yet."""
        if now >= self._unsure_until:
            return False
        watch = self._watch
        if (watch is not None and watch.first_list_ns and watch.transport is not None
                and not pending_events(watch.transport)):
            self._unsure_until = 0   # it is open, and all that was written to it is read
        return now < self._unsure_until

    def _lease_renewed(self, _: None = None) -> None:
        self.on_lease_changed()

    def word(self, call: DiscoveryCall) -> None:
        """A watch speaks: it was not silent, but what is read now may be of the start of a hold-up."""
        now = now_ns()
        self._extend(self._told_by_line(now - self.read_delay_ns(now)))
        if call is self._watch and self._backup_watch is not None and not self._backup_watch.first_list_ns \
                and self._is_enough(now):
            self._backup_watch.close()   # begun beside a watch that was only late
            self._backup_watch = None
        self._lease_renewed()

    def _is_enough(self, now: int) -> bool:
        """Whether what the watch has said keeps the lease, and no other call is needed for that."""
        return self.may_send(now) and not self.lease.needs_list(now)

    def _missed(self, at: int) -> None:
        """Discovery could not be reached by a call or a try of this time."""
        if self._reach.record_failure(self._address):
            self._extend(Unreachable(at))
            self._lease_renewed()

    def _reached(self, at: int) -> None:
        """Discovery was there at this time: a call that was answered came up then, or a watch told a list."""
        self._reach.record_success()
        self.lease.on_discovery_reached(at)

    def _told_by_line(self, at: int) -> UpToDate:
        """What a line of a watch proves, empty or not: that of a change may wait for its turn behind it."""
        return UpToDate(at if self._pushed else at - MAX_UPDATE_DELAY_NS)

    def _extend(self, proof: Proof) -> None:
        """The lease becomes longer by this proof, if it is one of what is not known yet."""
        before = self.lease.until_ns
        self.lease.extend(proof)
        until = self.lease.until_ns
        if until > before:
            now = now_ns()
            event(log, "lease_extended", proof=type(proof).__name__, of_ago_ns=now - proof.at_ns, left_ns=until - now)

    def update_settings(self, pushed: bool, grace_ns: int) -> None:
        """New settings."""
        self._pushed = pushed
        self._grace_ns = grace_ns
        self.lease.on_settings(pushed, grace_ns)

    # ---- Calls -------------------------------------------------------------------------------------------

    def watch(self, active: bool) -> None:
        """Subscribe, or no longer.  One watch at a time: a second call would cost lines and tell nothing."""
        self._wanted = active and not self._closed   # a timer of the start may still ring
        if self._wanted and self._watch is None and not self._rests_until:
            self._watch = self._call(True)
        elif not active:
            for call in (self._watch, self._backup_watch):
                if call is not None:
                    call.close()
            self._lost(self._watch, now_ns())
            self._watch = self._backup_watch = None

    def fetch(self) -> None:
        """The whole list, once."""
        if self._list_call is None:
            self._list_call = self._call(False)

    def _watch_after(self, rest_ns: int) -> None:
        self._rests_until = now_ns() + rest_ns
        self._timers.at(self._rests_until, self._rested, self._rests_until)

    def _rested(self, until: int) -> None:
        if until == self._rests_until:   # else it ended before its time, as discovery has moved
            self._rests_until = 0
            if self._wanted:
                self.watch(True)

    def on_reload(self) -> None:
        """SIGHUP has come, if only as a stop began: what discovery has counts so long after it, whatever the file says.

        Told apart from `move`, which comes once the file could be read, and not at all where it is turned down.
        """
        now = now_ns()
        self._reloaded_at = now - self.read_delay_ns(now)
        self.lease.on_reload(self._reloaded_at, now)
        self._timers.at(now + RELOAD_PROPAGATION_BOUND_NS, self._hear_list, None)
        self._timers.at(self._reloaded_at + RELOAD_PROPAGATION_BOUND_NS, self._hear_list, None)

    def reconfigure(self, address: tuple[str, int], lines: UpdateParser, pushed: bool,
             others: Sequence[tuple[str, int]] = ()) -> None:
        """SIGHUP: discovery may be elsewhere now; its calls end there and begin here, a watch at once, from the start.

        The module is told nothing: it would wait before it asks again, and versions may be counted anew.
        So it is where zones or kinds have other numbers: the whole list is wanted in the new ones.
        """
        self._pushed = pushed
        self._pause = BACKOFF_FIRST
        if address == self._address and lines.names == self._lines.names:
            self._hear_anew()
            return
        self._lines = lines
        self._address = address
        self._reach.record_success()
        self.authority = f"{address[0]}:{address[1]}"
        self.generation = 0
        self._begin_anew()
        if self._list_call is not None:
            self._list_call.close()
            self._list_call = self._call(False)

    def _begin_anew(self) -> None:
        self._rests_until = 0
        self.watch(False)
        self.watch(True)

    def _hear_anew(self) -> None:
        """SIGHUP left discovery where it is: what it has counts as told 4 s on, whatever the watch was doing."""
        watch = self._watch
        if watch is None:
            if self._wanted:
                self._begin_anew()
        elif not watch.heard:
            self._timers.after(SECOND_CALL, self._call_again, watch)
        else:
            self._timers.after(HEARTBEAT_INTERVAL_NS + HEARTBEAT_TOLERANCE_NS, self._look_since_reload,
                               (watch, self._reloaded_at))

    def _look_since_reload(self, about: tuple[DiscoveryCall, int]) -> None:
        watch, since = about
        watch.read_waiting()
        if not watch.closed and watch.heard < since:
            self.fell_silent(watch)

    def _hear_list(self, _: None) -> None:
        """What discovery has counts now: a list of this moment is wanted, and the watch's word may be 2 s away."""
        self.read_pending(now_ns())
        if not self.lease.needs_list(now_ns()) or not self._wanted:
            return
        if self._watch is None:
            self._begin_anew()
        elif self._watch.first_list_ns and self._backup_watch is None:
            self._call_beside(self._watch)

    def _call_beside(self, watch: DiscoveryCall) -> None:
        """Another watch beside one that does not speak: the first to do so stays."""
        event(log, "renew_beside", silent_ns=now_ns() - watch.heard)
        self._backup_watch = self._call(True)

    def _call(self, watch: bool) -> DiscoveryCall:
        event(log, "discovery_call", watch=watch, at=self.authority, since=self.resume_generation)
        call = DiscoveryCall(self, watch)
        self._try(call)
        self._timers.at(call.due(), self._look, call)
        return call

    def _try(self, call: DiscoveryCall) -> None:
        """Connect, and once more beside it where that does not come up soon."""
        if call.closed or call.transport is not None:
            return
        if len(call.tries) >= TRIES:
            _, second, *_ = call.tries   # the first one stays: it may only be slow
            call.tries.pop(second).cancel()
        now = now_ns()
        if call.tries and (now - call.tried_at
                           < try_again_after(self._pushed, self._grace_ns, call.tried) + LATE_TIMER_NS):
            self._missed(call.tried_at)   # but for a timer that rings late: it may be up, and the loop not there yet
        call.tried_at = now
        call.tried += 1
        call.tries[call.tried] = self._loop.create_task(self._connect(call, call.tried))
        self._timers.after(try_again_after(self._pushed, self._grace_ns, call.tried), self._try, call)

    async def _connect(self, call: DiscoveryCall, number: int) -> None:
        try:
            await self._loop.create_connection(lambda: Try(call), *self._address)
        except OSError as error:
            call.tries.pop(number, None)
            call.own_trouble = error.errno in LOCAL_ERRNOS
            if not call.own_trouble and call.transport is None and not call.closed:
                now = now_ns()
                self._missed(now - self.read_delay_ns(now))   # its refusal may have lain unread as long
            if not call.tries and call.transport is None:
                self.ended(call, f"no connection: {error}")
        except asyncio.CancelledError:
            pass

    def connected(self, call: DiscoveryCall) -> None:
        """Its connection is up: what is lost from here on shows by no answer only."""
        if call is self._backup_watch or call is self._list_call:
            return
        if self._pushed:
            self._timers.after(SECOND_CALL_PUSHED, self._call_again, call)
        elif now_ns() - self._reloaded_at < RELOAD_PROPAGATION_BOUND_NS:
            self._timers.after(SECOND_CALL, self._call_again, call)

    def _call_again(self, call: DiscoveryCall) -> None:
        """A call that is not answered gets a second one beside it, once; it keeps its turn."""
        if call is self._watch and not call.closed and not call.heard and call.transport is not None \
                and self._backup_watch is None:
            call.read_waiting()
            if not call.closed and not call.heard:
                self._backup_watch = self._call(True)

    def _look(self, call: DiscoveryCall) -> None:
        """Give up a call that has gone silent, in the moment in which it has; what waits unread is no silence."""
        if call.closed:
            return
        call.read_waiting()
        if call.closed:
            return
        now = now_ns()
        if now < call.due():
            self._renew(call, now)
            self._timers.at(call.renew_at if now < call.renew_at else call.due(), self._look, call)
        elif call.first_list_ns:
            self.fell_silent(call)
        else:
            self.ended(call, "silent")

    def _renew(self, call: DiscoveryCall, now: int) -> None:
        """Begin another watch beside one that is silent for longer than it should be, in time for the lease."""
        if not call.first_list_ns or call is not self._watch:
            return
        if call.renew_at < call.heard + WATCH_RENEWAL_NS:   # it has spoken since
            call.renew_at = call.heard + WATCH_RENEWAL_NS + int(random.random() * APART)
        elif now >= call.renew_at and self._backup_watch is None:
            self._call_beside(call)

    def fell_silent(self, call: DiscoveryCall) -> None:
        """A watch that told something and tells no more is begun anew at once, whoever asked for it.

        What it misses counts as told 6 s after it fell silent: there is no time for the pause of a call that failed.
        """
        log.info("discovery: the watch has fallen silent")
        event(log, "call_ended", why="silent", heard_ago_ns=now_ns() - call.heard)
        self._lost(call, now_ns(), call.heard)
        call.close()
        if self._replaced(call):
            return
        self._watch = None
        self._watch_after(int(random.random() * APART))

    # ---- What comes --------------------------------------------------------------------------------------

    def on_update(self, call: DiscoveryCall, text: bytes) -> None:
        """A list or its changes have come."""
        try:
            told = json.loads(text)
            change = self._lines.read(told, self._list_at)
        except (MalformedUpdate, ValueError, RecursionError) as error:
            self.broken(call, error)
            return
        if call is self._list_call:
            change = change._replace(is_full=True)
        if self._is_older(call, change):
            return
        if why := self._doubt(told, change):
            self.ended(call, why)
            return
        self._lines.accept(change)
        self.generation = change.generation
        self._pause = BACKOFF_FIRST
        self._cuts = 0
        self._out_of_order = False
        self._spoilt = 0
        self._list_at = now_ns()
        lay_unread = self.read_delay_ns(self._list_at)
        self._prove(call, self._list_at - lay_unread)
        call.first_list_ns = call.first_list_ns or self._list_at
        if not lay_unread:   # else the end of its watch may lie behind it
            self._unsure_until = 0
        self._choose(call)
        event(log, "list", generation=change.generation, whole=change.is_full, entries=len(change.hosts))
        self._tell(ListKind.FULL if change.is_full else ListKind.DELTA, change.hosts)

    def _prove(self, call: DiscoveryCall, at: int) -> None:
        """A list of this time has been taken: the answer to a call has all of then, a later line what came by its turn.
        """
        self.lease.on_list()
        if call.first_list_ns:
            self._reached(at)
            self._extend(self._told_by_line(at))
            return
        self._reached(call.connected_at)
        if call is not self._list_call:
            self.lease.on_watch_opened()
        self._extend(UpToDate(at))

    def _choose(self, call: DiscoveryCall) -> None:
        """Of two calls for the watch the first to tell a list is the watch."""
        if call is self._backup_watch:
            self._watch, self._backup_watch = self._backup_watch, self._watch
        if call is self._watch and self._backup_watch is not None \
                and (self._backup_watch.first_list_ns or self._is_enough(now_ns())):
            self._backup_watch.close()
            self._backup_watch = None

    def _is_older(self, call: DiscoveryCall, change: HostListUpdate) -> bool:
        """Guards against a version that comes after a newer one: nothing of it is taken.

        A whole list that was asked for before the newer one came is simply late.  On a watch versions only rise: what
        is out of order may also have been left out, so the whole list is asked for.  One that begins with a whole list
        speaks for a service whose versions are counted anew.
        """
        if change.generation >= self.generation:
            return False
        if change.is_full and call is not self._list_call and not call.first_list_ns \
                and self._list_at <= call.connected_at:
            return False
        event(log, "older_list", generation=change.generation, known=self.generation)
        if call is self._list_call:
            self.ended(call, "an older list than is known", failed=False)
        else:
            self._out_of_order = True
            self.ended(call, f"version {change.generation} after a newer one")
        return True

    def _doubt(self, told: dict[str, Any], change: HostListUpdate) -> str:
        """Why a list is not taken; one service alone is believed."""
        return ""

    def broken(self, call: DiscoveryCall, error: Exception) -> None:
        """Guards against a lost change: the call is given up and begun anew from the last good version."""
        log.warning("broken line dropped: %s", error)
        self.lease.on_unparsable_update(now_ns())
        self.ended(call, "a broken line")

    def cut_short(self, call: DiscoveryCall) -> None:
        """An object has begun and is not whole: what was cut short shows only by nothing coming any more."""
        self.lease.on_unparsable_update(call.heard)
        patience = cut_short_after(self._pushed, self._grace_ns, self._cuts)
        self._timers.after(patience, self._cut_short, (call, call.heard))

    def _cut_short(self, about: tuple[DiscoveryCall, int]) -> None:
        call, heard = about
        call.read_waiting()
        if not call.closed and call.heard == heard:
            self._cuts += 1
            self.ended(call, "an object that was cut short")

    def ended(self, call: DiscoveryCall, why: str, failed: bool = True) -> None:
        """A call is over; told once, and only if it failed and none stands beside it."""
        if call.closed:
            return
        now = now_ns()
        event(log, "call_ended", why=why, begun_ago_ns=now - call.begun, connected=call.transport is not None,
              told=bool(call.first_list_ns), heard_ago_ns=now - call.heard if call.heard else 0)
        self._learn_from_end(call, now)
        call.close()
        if not self._replaced(call):
            self._over(call, why, failed)
        elif self.lease.needs_list(now):
            self._timers.after(self._rest(call), self._hear_list, None)

    def _learn_from_end(self, call: DiscoveryCall, now: int) -> None:
        """What the end of a call tells of the lease, and of whether discovery is there."""
        if call.first_list_ns:
            at = now - self.read_delay_ns(now)   # its end may have lain unread as long
            self._lost(call, at, call.heard if now - call.heard >= WATCH_SILENCE_TIMEOUT_NS else at)
        elif call.transport is None:
            if call.tries:   # those that have failed have told
                self._missed(call.tried_at)
        elif call.heard or now - call.connected_at >= IMMEDIATE_FAILURE_NS:
            self._reach.record_success()
            self.lease.on_call_unanswered(call.connected_at)
        elif call.cut_off and not call.status and now - call.connected_at < RESET_AT_ONCE:
            if not self.read_delay_ns(now):   # else it may have waited
                self._missed(now)
        else:
            self._reach.record_success()
            if call.status:   # turned away at once: by a queue that is full, maybe
                self.lease.on_call_unanswered(call.connected_at)
        self._lease_renewed()

    def _lost(self, call: DiscoveryCall | None, at: int, spoke: int = 0) -> None:
        """The watch ends; nothing is lost by the end of another call, or of one that has told no list."""
        if call is not None and call is self._watch and call.first_list_ns:
            self.lease.on_watch_lost(at, spoke or at)

    def _over(self, call: DiscoveryCall, why: str, failed: bool) -> None:
        """Nothing goes on in its place."""
        if call is self._list_call:
            self._list_call = None
        elif call is self._watch:
            self._watch = None
        if not failed:
            return
        log.info("discovery: %s", why)
        self._tell(ListKind.FAILED, [])
        if self._wanted and self._watch is None:
            self._watch_after(self._rest(call))

    def _replaced(self, call: DiscoveryCall) -> bool:
        """Whether another call for the watch goes on."""
        if self._backup_watch is None or (call is not self._watch and call is not self._backup_watch):
            return False
        if call is self._watch:
            self._watch = self._backup_watch
        self._backup_watch = None
        return True

    def _rest(self, call: DiscoveryCall) -> int:
        """How long the watch rests after a call that has ended.

        It doubles with each call in vain, as each costs a service that has too many callers, up to what is left of
        PROPAGATION_BOUND_NS.  A service that has told a list ends a watch rather than tell a change,
        and the change counts: the rest is
        a part of the time in which it has to be followed.  So it is where lists are pushed and the service is down,
        which is asked nothing by that, as what it has counts as told whether a watch is open or not; one with too many
        callers lets them wait before it turns them away.  And one whose answer is spoilt on the way is there to answer.
        """
        now = now_ns()
        if now < self._unsure_until or (self._reach.doubtful and not call.own_trouble):
            return 0
        if self._pushed and call.transport is None and call.tried > 1:
            return 0   # none has come up: another try asks nothing of the service
        alive = call.first_list_ns and now - call.first_list_ns > SECOND
        if call.heard and not call.first_list_ns and self._spoilt < QUICK_RESTS:
            self._spoilt += 1
            return int(min(BACKOFF_FIRST, self._grace_ns // 8) * (0.5 + random.random()))
        waited = 0 if call.first_list_ns else now - call.begun
        down = call.transport is None or (not call.heard and waited < IMMEDIATE_FAILURE_NS)
        if self._grace_ns and (alive or (self._pushed and down)):
            rest = min(BACKOFF_FIRST, self._grace_ns // 4)
        else:
            left = PROPAGATION_BOUND_NS - TURN - waited
            rest = min(self._pause, max(BACKOFF_FIRST, left * 2 // 3))   # it is drawn up to half as long again
            self._pause = 2 * rest
            if waited >= rest and not call.heard:   # its wait was its rest, and the lease of the list runs on
                rest = OVERLOAD_BACKOFF_NS
        return int(rest * (0.5 + random.random()))
