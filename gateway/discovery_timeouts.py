"""Timeouts, retry intervals and backoff delays of discovery, and the bounds within which a change has to be received.

A change takes effect at once in push mode, at the end of the propagation bound (bridgesaddle/lease.py) in pull mode.
Requests have to follow it within the drain grace from then on.

| situation | counts from | bound | normally received by | at the end |
| --- | --- | --- | --- | --- |
| silent watch, either mode | its last byte | 6 s | renewal 2.2 s + jitter 0.25 s + queue 3 s at most | lease ends |
| failed calls | discovery has it and is up | 6 s | timeout 3.5 s + backoff 0.03 s, or 2 s + queue 3 s | lease ends |
| no watch, pull mode | its end, or the return | 6 s | backoff + queue, from the watch's last data on | lease ends |
| watch that is open again | the loss or return before | 6 s | its updates wait in the queue | lease ends if it does |
| watch that receives data | 3 s before the data | 6 s | heartbeat interval 2 s + tolerance 0.2 s | lease ends |
| new process, pull mode | its start | 6 s, may have passed | first call + queue; no clients for 5 s | no lease before |
| new process, push mode | its start | the drain grace | it accepts no clients for 3.5 s at most | no lease before |
| push mode, the watch has ended | its end | the drain grace | backoff of 3/8 of it + one connect | lease ends |
| push mode, connects time out | the attempt | the drain grace | the next one after 1/4 of it | counts as down |
| SIGHUP, new address | the signal | 4 s | connect after 0.25 to 1 s; a backup call after 1.5 s | lease ends |
| SIGHUP, silent watch | the signal | 4 s | heartbeat 2 s + tolerance 0.2 s + jitter 0.25 s + queue | lease ends |
| SIGHUP, watch receives data | it, or a stall's start | 4 s | a backup watch at the end of the bound | lease ends |
| SIGTERM | the signal | max. deadline + 0.7 s | responses 0.2 s, closes 0.5 s after that deadline | process exits |
| truncated update | the read of its first part | the drain grace | TRUNCATION_TIMEOUT_NS 0.15 s + a call | lease ends |
| malformed update | its detection | the drain grace | backoff + a call | lease ends |
| stall, push mode | the change | the drain grace, may have passed | unread data counts from its start | waits 0.25 s |

"Queue" is the time that a call or an update waits at a discovery service that serves all gateways.

The lease is checked before each event and each write, and nothing is sent after its end, whatever is late.  The lease
alone enforces the bounds; the steps in the table only determine how rarely it ends.  While discovery is down, a bound
counts again from its return.  Only failures that a running service cannot cause show that it is down (reachability.py).
All durations are of the monotonic clock.
"""

from __future__ import annotations

from bridgesaddle.api import MS, SECOND
from bridgesaddle.lease import PROPAGATION_BOUND_NS

HEARTBEAT_INTERVAL_NS = 2 * SECOND
"""Interval of the empty lines that discovery sends on a watch while nothing changes."""
HEARTBEAT_TOLERANCE_NS = 200 * MS
"""How late a heartbeat may be."""
QUEUE_ALLOWANCE_NS = PROPAGATION_BOUND_NS // 2
"""Part of the propagation bound that a backoff delay leaves to the next call for waiting in the queue of a discovery
service that serves all gateways.  After the longest wait without a response 2.5 s are left."""
RESPONSE_TIMEOUT_NS = QUEUE_ALLOWANCE_NS + SECOND // 2
"""Longest time from the start of a call, connecting included, until the head of its response has arrived: a response to
a call that has queued for the full allowance still needs time to arrive."""
WATCH_RENEWAL_NS = HEARTBEAT_INTERVAL_NS + HEARTBEAT_TOLERANCE_NS
"""Silence after which a watch may be dead: a backup watch is opened, which replaces it unless it receives data first.
"""
WATCH_SILENCE_TIMEOUT_NS = 3 * SECOND
"""Silence after which a watch counts as dead: one missed heartbeat and half of the next interval."""
CONNECT_TIMEOUT_NS = 2 * SECOND
"""Longest wait for a connection, over all connection attempts of a call."""
CONNECT_RETRY_NS = 250 * MS
"""Delay after which a pending connection attempt is hedged by another one: its SYN may be lost, and the kernel
retransmits only after 1 s and after 3 s.  Doubles with each attempt, at most three times; in push mode it
does not double and is at most a quarter of the drain grace."""
MIN_CONNECT_RETRY_NS = 50 * MS
MAX_CONCURRENT_CONNECTS = 6
"""Connection attempts of one call that may be pending at once: the first one and the newest."""
BACKUP_CALL_DELAY_NS = 1500 * MS
"""Delay after which a call made because of SIGHUP gets one backup call if no response has arrived: it may be lost."""
PUSHED_BACKUP_CALL_DELAY_NS = SECOND
"""Delay of the backup call in push mode, where every watch except a backup watch may get one."""
POST_STALL_HOLD_NS = 250 * MS
"""How long requests wait for a list after an event-loop stall in which the watch may have ended, in push mode."""
TRUNCATION_TIMEOUT_NS = 150 * MS
"""Silence within an update after which the update counts as truncated.  Doubles with each truncated update in a row, at
most `MAX_DOUBLINGS` times, so that a service that is slow with each list is not called for it endlessly.  In push mode
it is at most a fifth of the drain grace and doubles only after `MAX_SHORT_BACKOFFS` truncated updates in a row."""
MAX_DOUBLINGS = 6
INITIAL_BACKOFF_NS = 250 * MS
RECONNECT_JITTER_NS = 250 * MS
"""Maximum random delay before a silent watch is reopened: many watches may fall silent at the same time."""
START_JITTER_NS = 5 * MS
"""Maximum random delay of the first call of a process, for each gateway that may start at the same time."""
IMMEDIATE_FAILURE_NS = 100 * MS
"""A call that fails within this time has not waited in the queue."""
IMMEDIATE_RESET_NS = 30 * MS
"""A call that is reset within this time after its connection has not reached a service: the event loop may notice the
reset that late."""
OVERLOAD_BACKOFF_NS = 20 * MS
"""Backoff delay after a call that was rejected after a wait: its place in the queue is lost, and the lease runs on."""
MAX_SHORT_BACKOFFS = 3
"""Unusable responses in a row that are followed by a short backoff only: they may have been corrupted in transit.  In
push mode also the truncated updates in a row that do not double `TRUNCATION_TIMEOUT_NS`."""


def connect_retry_delay(pushed: bool, grace_ns: int, attempts: int) -> int:
    """Delay from the latest connection attempt of a call to the next one, ns."""
    if pushed and grace_ns:
        return max(MIN_CONNECT_RETRY_NS, min(CONNECT_RETRY_NS, grace_ns // 4))
    return CONNECT_RETRY_NS << min(attempts - 1, 3)


def truncation_timeout(pushed: bool, grace_ns: int, truncations: int) -> int:
    """Silence after which an incomplete update counts as truncated, given the truncated updates in a row before it, ns.

    In push mode several truncated updates in a row have to be recovered from within the grace.
    """
    if pushed and grace_ns:
        return min(TRUNCATION_TIMEOUT_NS, grace_ns // 5) << min(max(0, truncations - MAX_SHORT_BACKOFFS), MAX_DOUBLINGS)
    return TRUNCATION_TIMEOUT_NS << min(truncations, MAX_DOUBLINGS)
