"""The client of discovery: keeps a watch open, requests full lists and schedules calls (see discovery_timeouts.py)."""

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

from .discovery_calls import ConnectAttempt, DiscoveryCall
from .discovery_timeouts import (
    BACKUP_CALL_DELAY_NS,
    HEARTBEAT_INTERVAL_NS,
    HEARTBEAT_TOLERANCE_NS,
    IMMEDIATE_FAILURE_NS,
    IMMEDIATE_RESET_NS,
    INITIAL_BACKOFF_NS,
    MAX_CONCURRENT_CONNECTS,
    MAX_SHORT_BACKOFFS,
    OVERLOAD_BACKOFF_NS,
    POST_STALL_HOLD_NS,
    PUSHED_BACKUP_CALL_DELAY_NS,
    QUEUE_ALLOWANCE_NS,
    RECONNECT_JITTER_NS,
    START_JITTER_NS,
    WATCH_RENEWAL_NS,
    WATCH_SILENCE_TIMEOUT_NS,
    connect_retry_delay,
    truncation_timeout,
)
from .events import event
from .reachability import Reachability
from .syscalls import pending_events
from .timers import LATE_TIMER_NS, Timers, now_ns
from .transient import LOCAL_ERRNOS
from .update_parser import HostListUpdate, ListedHost, MalformedUpdate, UpdateParser

log = logging.getLogger("gateway.discovery")


class Discovery:
    """Keeps a watch open once it was requested, and passes on the lists that it receives.

    `start` opens the first watch, unless the decision module requests it earlier; in push mode the module requests
    none.  From then on a watch that ends is reopened here, so that only this class determines how soon a change is
    received.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, timers: Timers, address: tuple[str, int],
                 parser: UpdateParser, pushed: bool,
                 on_list: Callable[[ListKind, list[ListedHost]], None], grace_ns: int = 0, started_ns: int = 0) -> None:
        self._loop = loop
        self._grace_ns = grace_ns   # the drain grace, within which a change has to be followed
        self.lease = ListLease(started_ns or now_ns(), pushed, grace_ns)
        self._reachability = Reachability()
        self.gateway_count = 1   # gateways that may start at the same time
        self.on_lease_changed: Callable[[], None] = lambda: None   # called whenever the lease may have changed
        self.read_delay_ns: Callable[[int], int] = lambda now: 0   # see StallDetector
        self._timers = timers
        self._address = address
        self._parser = parser
        self._pushed = pushed
        self._on_list = on_list
        self._closed = False
        self._watch_wanted = False
        self.last_received_ns = 0    # when data was last received from discovery; 0: never
        self._last_list_at = 0       # when the last list was accepted; 0: never
        self._backoff_until = 0      # 0: no backoff before the next watch
        self._reloaded_at = 0        # the last SIGHUP
        self._hold_until = 0         # requests wait after a stall in push mode, as the watch may have ended
        self._watch: DiscoveryCall | None = None
        self._backup_watch: DiscoveryCall | None = None   # concurrent with one that may be lost, late or out of date
        self._list_call: DiscoveryCall | None = None
        self._backoff_ns = INITIAL_BACKOFF_NS
        self._truncations = 0        # truncated updates in a row
        self._out_of_order = False
        self._unusable_responses = 0   # in a row
        self.authority = f"{address[0]}:{address[1]}"
        self.generation = 0

    @property
    def resume_generation(self) -> int:
        """The generation from which a watch resumes; 0 requests the full list."""
        return 0 if self._out_of_order else self.generation

    def load_known_list(self, listed: Any) -> None:
        """Loads the configured list."""
        try:
            self.generation, _, entries = self._parser.parse(listed)
        except MalformedUpdate as error:
            log.warning("the configured list is malformed: %s", error)
            entries = []
        event(log, "known_list", generation=self.generation, entries=len(entries))
        self._on_list(ListKind.CACHED, entries)

    def start(self) -> None:
        """Opens the first watch: at once in push mode, else after a jitter that spreads the calls of all gateways.

        Does not wait for the decision module, which might request a watch only seconds later, while the list of the
        start may be followed for some seconds only.
        """
        if self._pushed:
            self.watch(True)
        else:
            self._timers.after(int(random.random() * self.gateway_count * START_JITTER_NS),
                               lambda _: self.watch(True), None)

    def close(self) -> None:
        """Ends all calls at shutdown."""
        self._closed = True
        self.watch(False)
        if self._list_call is not None:
            self._list_call.close()

    @property
    def down(self) -> bool:
        """Whether calls have shown that discovery is unreachable."""
        return self._reachability.down

    # ---- The lease ---------------------------------------------------------------------------------------

    def read_pending(self, now: int) -> None:
        """Reads what discovery has written before a decision is made, as the event loop may only get to it later.

        Otherwise clients and timers might be handled first after a stall.
        """
        for call in (self._watch, self._backup_watch, self._list_call):
            if call is not None:
                call.read_pending()

    def on_stall(self, stall_ns: int) -> None:
        """Handles an event-loop stall: in push mode, a watch that ended during it has missed changes.

        After a stall of more than MAX_UPDATE_DELAY_NS a backup watch is opened in either mode.
        """
        if self._pushed and stall_ns > self._grace_ns // 2:
            self._hold_until = now_ns() + POST_STALL_HOLD_NS
            self._timers.at(self._hold_until, self._notify_lease_changed, None)
        if stall_ns > MAX_UPDATE_DELAY_NS and self._watch is not None and self._watch.first_list_ns \
                and self._backup_watch is None:
            # The next data on the watch may be 2 s away, and proves only what discovery had 3 s before it.
            self._open_backup_watch(self._watch)

    def may_send(self, now: int) -> bool:
        """Whether requests may be sent by the list: no change that was not received can be past its drain grace."""
        return now <= self.lease.until_ns and not self._may_have_missed_end(now)

    def _may_have_missed_end(self, now: int) -> bool:
        """Whether the watch may have ended during an event-loop stall without its end having been read yet."""
        if now >= self._hold_until:
            return False
        watch = self._watch
        if watch is not None and watch.first_list_ns and watch.transport is not None \
                and not pending_events(watch.transport):
            self._hold_until = 0   # the watch is open, and all that was written to it has been read
        return now < self._hold_until

    def _notify_lease_changed(self, _: None = None) -> None:
        self.on_lease_changed()

    def on_watch_data(self, call: DiscoveryCall) -> None:
        """Extends the lease, as the watch is not silent; the data counts from `read_delay_ns` before now."""
        now = now_ns()
        self._extend_lease(self._proof_by_update(now - self.read_delay_ns(now)))
        if call is self._watch and self._backup_watch is not None and not self._backup_watch.first_list_ns \
                and self._keeps_lease(now):
            self._backup_watch.close()   # the watch was only late
            self._backup_watch = None
        self._notify_lease_changed()

    def _keeps_lease(self, now: int) -> bool:
        """Whether the data of the watch keeps the lease valid, so that no other call is needed."""
        return self.may_send(now) and not self.lease.needs_list(now)

    def _record_failure(self, at: int) -> None:
        """Records that a call or connection attempt of this time could not reach discovery."""
        if self._reachability.record_failure(self._address):
            self._extend_lease(Unreachable(at))
            self._notify_lease_changed()

    def _record_success(self, at: int) -> None:
        """Records that discovery was up at this time: a call connected then that got a response, or a list arrived."""
        self._reachability.record_success()
        self.lease.on_discovery_reached(at)

    def _proof_by_update(self, at: int) -> UpToDate:
        """Returns what data on a watch proves, whether empty or not: an update of a change may be queued behind it."""
        return UpToDate(at if self._pushed else at - MAX_UPDATE_DELAY_NS)

    def _extend_lease(self, proof: Proof) -> None:
        """Extends the lease by this proof; logs it if the lease ends later."""
        before = self.lease.until_ns
        self.lease.extend(proof)
        until = self.lease.until_ns
        if until > before:
            now = now_ns()
            event(log, "lease_extended", proof=type(proof).__name__, of_ago_ns=now - proof.at_ns, left_ns=until - now)

    def update_settings(self, pushed: bool, grace_ns: int) -> None:
        """Applies new settings."""
        self._pushed = pushed
        self._grace_ns = grace_ns
        self.lease.on_settings(pushed, grace_ns)

    # ---- Calls -------------------------------------------------------------------------------------------

    def watch(self, active: bool) -> None:
        """Opens or closes the watch.

        Opens at most one, as a second one would only repeat its updates; only `_open_backup_watch` and
        `_back_up_if_unanswered` open a backup watch, where the first may be lost or late.
        """
        self._watch_wanted = active and not self._closed   # the timer of the start may still fire after `close`
        if self._watch_wanted and self._watch is None and not self._backoff_until:
            self._watch = self._start_call(True)
        elif not active:
            for call in (self._watch, self._backup_watch):
                if call is not None:
                    call.close()
            self._on_watch_lost(self._watch, now_ns())
            self._watch = self._backup_watch = None

    def fetch(self) -> None:
        """Requests the full list once."""
        if self._list_call is None and not self._closed:
            self._list_call = self._start_call(False)

    def _watch_after(self, delay_ns: int) -> None:
        self._backoff_until = now_ns() + delay_ns
        self._timers.at(self._backoff_until, self._on_backoff_end, self._backoff_until)

    def _on_backoff_end(self, until: int) -> None:
        if until == self._backoff_until:   # else the backoff was ended early, as the address has changed
            self._backoff_until = 0
            if self._watch_wanted:
                self.watch(True)

    def on_reload(self) -> None:
        """Handles SIGHUP, which may have arrived in a stall: the reload bound counts from `read_delay_ns` before now.

        The bound does not depend on the file.  `reconfigure` is separate, as it is called only once the file has been
        read, and never if the file is rejected.
        """
        now = now_ns()
        self._reloaded_at = now - self.read_delay_ns(now)
        self.lease.on_reload(self._reloaded_at, now)
        self._timers.at(now + RELOAD_PROPAGATION_BOUND_NS, self._request_needed_list, None)
        self._timers.at(self._reloaded_at + RELOAD_PROPAGATION_BOUND_NS, self._request_needed_list, None)

    def reconfigure(self, address: tuple[str, int], parser: UpdateParser, pushed: bool,
                    others: Sequence[tuple[str, int]] = ()) -> None:
        """Applies a new address after SIGHUP: calls are restarted there, the watch at once and from the full list.

        The decision module is not notified, as it would wait before it requests a watch again.  Generations may be
        counted from the start at the new address.  If zones or machine types have other indices, the full list is
        needed too.
        """
        self._pushed = pushed
        self._backoff_ns = INITIAL_BACKOFF_NS
        if address == self._address and parser.configured_names == self._parser.configured_names:
            self._refresh_watch()
            return
        self._parser = parser
        self._address = address
        self._reachability.record_success()
        self.authority = f"{address[0]}:{address[1]}"
        self.generation = 0
        self._restart_watch()
        if self._list_call is not None:
            self._list_call.close()
            self._list_call = self._start_call(False)

    def _restart_watch(self) -> None:
        self._backoff_until = 0
        self.watch(False)
        self.watch(True)

    def _refresh_watch(self) -> None:
        """Handles SIGHUP with an unchanged address: changes take effect 4 s later, whatever the state of the watch."""
        watch = self._watch
        if watch is None:
            if self._watch_wanted:
                self._restart_watch()
        elif not watch.received_at:
            self._timers.after(BACKUP_CALL_DELAY_NS, self._back_up_if_unanswered, watch)
        else:
            self._timers.after(HEARTBEAT_INTERVAL_NS + HEARTBEAT_TOLERANCE_NS, self._check_watch_since_reload,
                               (watch, self._reloaded_at))

    def _check_watch_since_reload(self, state: tuple[DiscoveryCall, int]) -> None:
        watch, reloaded_at = state
        watch.read_pending()
        if not watch.closed and watch.received_at < reloaded_at:
            self.replace_silent_watch(watch)

    def _request_needed_list(self, _: None) -> None:
        """Requests a list if the lease needs a current one; the next data on the watch may be 2 s away."""
        self.read_pending(now_ns())
        if not self.lease.needs_list(now_ns()) or not self._watch_wanted:
            return
        if self._watch is None:
            self._restart_watch()
        elif self._watch.first_list_ns and self._backup_watch is None:
            self._open_backup_watch(self._watch)

    def _open_backup_watch(self, watch: DiscoveryCall) -> None:
        """Opens another watch concurrently with the current one, which may be silent; see `_choose_watch`."""
        event(log, "renew_beside", silent_ns=now_ns() - watch.received_at)
        self._backup_watch = self._start_call(True)

    def _start_call(self, watch: bool) -> DiscoveryCall:
        event(log, "discovery_call", watch=watch, at=self.authority, since=self.resume_generation)
        call = DiscoveryCall(self, watch)
        self._try_connect(call)
        self._timers.at(call.timeout_at(), self._check_timeout, call)
        return call

    def _try_connect(self, call: DiscoveryCall) -> None:
        """Starts a connection attempt, and schedules a concurrent one in case it does not succeed soon."""
        if call.closed or call.transport is not None:
            return
        if len(call.connect_tasks) >= MAX_CONCURRENT_CONNECTS:
            _, second, *_ = call.connect_tasks   # the first attempt is kept, as it may only be slow
            call.connect_tasks.pop(second).cancel()
        now = now_ns()
        if call.connect_tasks and now - call.last_connect_at < \
                connect_retry_delay(self._pushed, self._grace_ns, call.connect_count) + LATE_TIMER_NS:
            # Not if the timer is late: the connection may be established without the event loop having seen it.
            self._record_failure(call.last_connect_at)
        call.last_connect_at = now
        call.connect_count += 1
        call.connect_tasks[call.connect_count] = self._loop.create_task(self._connect(call, call.connect_count))
        self._timers.after(connect_retry_delay(self._pushed, self._grace_ns, call.connect_count),
                           self._try_connect, call)

    async def _connect(self, call: DiscoveryCall, number: int) -> None:
        try:
            await self._loop.create_connection(lambda: ConnectAttempt(call), *self._address)
        except OSError as error:
            call.connect_tasks.pop(number, None)
            call.local_error = error.errno in LOCAL_ERRNOS
            if not call.local_error and call.transport is None and not call.closed:
                now = now_ns()
                self._record_failure(now - self.read_delay_ns(now))   # the refusal may have waited unread that long
            if not call.connect_tasks and call.transport is None:
                self.end_call(call, f"no connection: {error}")
        except asyncio.CancelledError:
            pass

    def on_connected(self, call: DiscoveryCall) -> None:
        """Schedules a backup call: once connected, a lost call can be recognized only by a missing response."""
        if call is self._backup_watch or call is self._list_call:
            return
        if self._pushed:
            self._timers.after(PUSHED_BACKUP_CALL_DELAY_NS, self._back_up_if_unanswered, call)
        elif now_ns() - self._reloaded_at < RELOAD_PROPAGATION_BOUND_NS:
            self._timers.after(BACKUP_CALL_DELAY_NS, self._back_up_if_unanswered, call)

    def _back_up_if_unanswered(self, call: DiscoveryCall) -> None:
        """Opens a backup watch, once, if a call has no response; the call stays open and keeps its place in the queue.
        """
        if call is self._watch and not call.closed and not call.received_at and call.transport is not None \
                and self._backup_watch is None:
            call.read_pending()
            if not call.closed and not call.received_at:
                self._backup_watch = self._start_call(True)

    def _check_timeout(self, call: DiscoveryCall) -> None:
        """Abandons a call as soon as it counts as silent; unread data is read first."""
        if call.closed:
            return
        call.read_pending()
        if call.closed:
            return
        now = now_ns()
        if now < call.timeout_at():
            self._renew_watch(call, now)
            self._timers.at(call.renew_at if now < call.renew_at else call.timeout_at(), self._check_timeout, call)
        elif call.first_list_ns:
            self.replace_silent_watch(call)
        else:
            self.end_call(call, "silent")

    def _renew_watch(self, call: DiscoveryCall, now: int) -> None:
        """Opens a backup watch, early enough for the lease, if the watch has been silent beyond its heartbeat."""
        if not call.first_list_ns or call is not self._watch:
            return
        if call.renew_at < call.received_at + WATCH_RENEWAL_NS:   # data has been received since
            call.renew_at = call.received_at + WATCH_RENEWAL_NS + int(random.random() * RECONNECT_JITTER_NS)
        elif now >= call.renew_at and self._backup_watch is None:
            self._open_backup_watch(call)

    def replace_silent_watch(self, call: DiscoveryCall) -> None:
        """Reopens a watch that has fallen silent after its list, after a jitter, without notifying the decision module.

        Changes that it misses take effect 6 s after it fell silent, which leaves no time for the backoff of a failed
        call.
        """
        log.info("discovery: the watch has fallen silent")
        event(log, "call_ended", why="silent", heard_ago_ns=now_ns() - call.received_at)
        self._on_watch_lost(call, now_ns(), call.received_at)
        call.close()
        if self._promote_backup(call):
            return
        self._watch = None
        self._watch_after(int(random.random() * RECONNECT_JITTER_NS))

    # ---- Results of calls --------------------------------------------------------------------------------

    def on_update(self, call: DiscoveryCall, text: bytes) -> None:
        """Handles a list or its changes."""
        try:
            content = json.loads(text)
            update = self._parser.read(content, self._last_list_at)
        except (MalformedUpdate, ValueError, RecursionError) as error:
            self.on_malformed(call, error)
            return
        if call is self._list_call:
            update = update._replace(whole=True)
        if self._reject_outdated(call, update):
            return
        if why := self._rejection_reason(content, update):
            self.end_call(call, why)
            return
        self._parser.accept(update)
        self.generation = update.generation
        self._backoff_ns = INITIAL_BACKOFF_NS
        self._truncations = 0
        self._out_of_order = False
        self._unusable_responses = 0
        self._last_list_at = now_ns()
        delay_ns = self.read_delay_ns(self._last_list_at)
        self._prove_list(call, self._last_list_at - delay_ns)
        call.first_list_ns = call.first_list_ns or self._last_list_at
        if not delay_ns:   # else the end of its watch may be unread behind it
            self._hold_until = 0
        self._choose_watch(call)
        event(log, "list", generation=update.generation, whole=update.whole, entries=len(update.listed))
        self._on_list(ListKind.FULL if update.whole else ListKind.DELTA, update.listed)

    def _prove_list(self, call: DiscoveryCall, at: int) -> None:
        """Extends the lease by a list that was accepted at this time.

        The response to a call contains everything that discovery had then; a later update only what was due by its
        place in the queue.
        """
        self.lease.on_list()
        if call.first_list_ns:
            self._record_success(at)
            self._extend_lease(self._proof_by_update(at))
            return
        self._record_success(call.connected_at)
        if call is not self._list_call:
            self.lease.on_watch_opened()
        self._extend_lease(UpToDate(at))

    def _choose_watch(self, call: DiscoveryCall) -> None:
        """Keeps the first of two concurrent watches that has received a list."""
        if call is self._backup_watch:
            self._watch, self._backup_watch = self._backup_watch, self._watch
        if call is self._watch and self._backup_watch is not None \
                and (self._backup_watch.first_list_ns or self._keeps_lease(now_ns())):
            self._backup_watch.close()
            self._backup_watch = None

    def _reject_outdated(self, call: DiscoveryCall, update: HostListUpdate) -> bool:
        """Ends the call if its update is older than the current list; returns whether it did.

        A full list that was requested before the newer one arrived is simply late.  On a watch generations only
        increase: an update that is out of order may also mean that one was left out, so the full list is requested.  A
        watch that begins with a full list belongs to a service whose generations are counted from the start again.
        """
        if update.generation >= self.generation:
            return False
        if update.whole and call is not self._list_call and not call.first_list_ns \
                and self._last_list_at <= call.connected_at:
            return False
        event(log, "older_list", generation=update.generation, known=self.generation)
        if call is self._list_call:
            self.end_call(call, "the list is older than the current one", failed=False)
        else:
            self._out_of_order = True
            self.end_call(call, f"version {update.generation} after a newer one")
        return True

    def _rejection_reason(self, content: dict[str, Any], update: HostListUpdate) -> str:
        """Returns why a list is rejected; empty: it is accepted, as always with a single service."""
        return ""

    def on_malformed(self, call: DiscoveryCall, error: Exception) -> None:
        """Ends the call, so that no change is lost: the next one resumes from the last accepted generation."""
        log.warning("malformed update dropped: %s", error)
        self.lease.on_unparsable_update(now_ns())
        self.end_call(call, "malformed update")

    def on_incomplete(self, call: DiscoveryCall) -> None:
        """Bounds the lease until a list arrives, and schedules a check: silence shows that the update was truncated.

        `UpdateSplitter` recognizes a truncated update by the data that follows.
        """
        self.lease.on_unparsable_update(call.received_at)
        timeout_ns = truncation_timeout(self._pushed, self._grace_ns, self._truncations)
        self._timers.after(timeout_ns, self._check_truncated, (call, call.received_at))

    def _check_truncated(self, state: tuple[DiscoveryCall, int]) -> None:
        call, received_at = state
        call.read_pending()
        if not call.closed and call.received_at == received_at:
            self._truncations += 1
            self.end_call(call, "an object that was cut short")

    def end_call(self, call: DiscoveryCall, why: str, failed: bool = True) -> None:
        """Ends a call; the decision module is notified once, and only of a failed call that has no backup."""
        if call.closed:
            return
        now = now_ns()
        event(log, "call_ended", why=why, begun_ago_ns=now - call.started_at, connected=call.transport is not None,
              told=bool(call.first_list_ns), heard_ago_ns=now - call.received_at if call.received_at else 0)
        self._learn_from_end(call, now)
        call.close()
        if not self._promote_backup(call):
            self._on_call_over(call, why, failed)
        elif self.lease.needs_list(now):
            self._timers.after(self._backoff_delay(call), self._request_needed_list, None)

    def _learn_from_end(self, call: DiscoveryCall, now: int) -> None:
        """Updates the lease and the reachability of discovery by the end of a call."""
        if call.first_list_ns:
            at = now - self.read_delay_ns(now)   # the end of the watch may have waited unread that long
            self._on_watch_lost(call, at,
                                call.received_at if now - call.received_at >= WATCH_SILENCE_TIMEOUT_NS else at)
        elif call.transport is None:
            if call.connect_tasks:   # failed attempts have already been recorded
                self._record_failure(call.last_connect_at)
        elif call.received_at or now - call.connected_at >= IMMEDIATE_FAILURE_NS:
            self._reachability.record_success()
            self.lease.on_call_unanswered(call.connected_at)
        elif call.was_disconnected and not call.status and now - call.connected_at < IMMEDIATE_RESET_NS:
            if not self.read_delay_ns(now):   # else the call may have waited in the queue
                self._record_failure(now)
        else:
            self._reachability.record_success()
            if call.status:   # rejected at once, possibly by a full queue
                self.lease.on_call_unanswered(call.connected_at)
        self._notify_lease_changed()

    def _on_watch_lost(self, call: DiscoveryCall | None, at: int, last_data_at: int = 0) -> None:
        """Reports the end of the watch to the lease, but not that of other calls or of a watch without a list."""
        if call is not None and call is self._watch and call.first_list_ns:
            self.lease.on_watch_lost(at, last_data_at or at)

    def _on_call_over(self, call: DiscoveryCall, why: str, failed: bool) -> None:
        """Handles the end of a call that has no backup."""
        if call is self._list_call:
            self._list_call = None
        elif call is self._watch:
            self._watch = None
        if not failed:
            return
        log.info("discovery: %s", why)
        self._on_list(ListKind.FAILED, [])
        if self._watch_wanted and self._watch is None:
            self._watch_after(self._backoff_delay(call))

    def _promote_backup(self, call: DiscoveryCall) -> bool:
        """Continues with the other watch if one of two has ended; returns whether there was another."""
        if self._backup_watch is None or (call is not self._watch and call is not self._backup_watch):
            return False
        if call is self._watch:
            self._watch = self._backup_watch
        self._backup_watch = None
        return True

    def _backoff_delay(self, call: DiscoveryCall) -> int:
        """Returns the backoff delay after a call that has ended, ns.

        The delay doubles with each failed call, as each adds load to a service that may be overloaded, up to what is
        left of the propagation bound.  It is shorter in these cases:

        * There is none while requests wait for a list after a stall, while failures do not yet show that the service is
          down, and in push mode after several connection attempts of which none has succeeded.
        * The watch sent its first list more than 1 s ago.  The service ends a watch rather than send a change late, and
          that change takes effect: the delay is part of the time in which the change has to be followed.
        * The service is down, in push mode.  Its changes take effect whether or not a watch is open, and calls add no
          load to a service that is down; an overloaded one lets calls wait before it rejects them.
        * The response was unusable, possibly corrupted in transit: the service is able to respond.  This applies to
          `MAX_SHORT_BACKOFFS` responses in a row.
        * The call has waited in vain for at least as long as the delay: only OVERLOAD_BACKOFF_NS remains.
        """
        now = now_ns()
        if now < self._hold_until or (self._reachability.may_be_down and not call.local_error):
            return 0
        if self._pushed and call.transport is None and call.connect_count > 1:
            return 0   # no connection was established, so another attempt adds no load to the service
        was_open = call.first_list_ns and now - call.first_list_ns > SECOND
        if call.received_at and not call.first_list_ns and self._unusable_responses < MAX_SHORT_BACKOFFS:
            self._unusable_responses += 1
            return int(min(INITIAL_BACKOFF_NS, self._grace_ns // 8) * (0.5 + random.random()))
        waited_ns = 0 if call.first_list_ns else now - call.started_at
        is_down = call.transport is None or (not call.received_at and waited_ns < IMMEDIATE_FAILURE_NS)
        if self._grace_ns and (was_open or (self._pushed and is_down)):
            delay_ns = min(INITIAL_BACKOFF_NS, self._grace_ns // 4)
        else:
            left_ns = PROPAGATION_BOUND_NS - QUEUE_ALLOWANCE_NS - waited_ns
            # Two thirds, as the random factor makes the delay up to half as long again.
            delay_ns = min(self._backoff_ns, max(INITIAL_BACKOFF_NS, left_ns * 2 // 3))
            self._backoff_ns = 2 * delay_ns
            if waited_ns >= delay_ns and not call.received_at:   # the wait replaces the backoff, as the lease runs on
                delay_ns = OVERLOAD_BACKOFF_NS
        return int(delay_ns * (0.5 + random.random()))
