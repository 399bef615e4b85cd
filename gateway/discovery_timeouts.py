"""How long discovery may take, and from when a change counts as told.  One table for all waits.

| clock | counts from | a change must be heard within | path here | at its end |
| --- | --- | --- | --- | --- |
| silent watch, asked or pushed | its last byte | 6 s | RENEW 2.2 + APART 0.25 + a turn, 3 at most | lease ends |
| failed calls | discovery has it and can be reached | 6 s | CALL 3.5 + rest 0.03, or rest 2 + turn 3 | lease ends |
| no watch, asked | its end, or the return | 6 s | rest + turn, from the watch's last word on | lease ends |
| a watch that is open again | the loss or return before it | 6 s | its lines wait for a turn | over if it ends |
| a watch that speaks | 3 s before its word | 6 s | HEARTBEAT 2 + LATE_BEAT 0.2 | lease ends |
| a process is new, asked | the same | 6 s, maybe over | FIRST_CALL + turn; no clients for 5 s | no lease before |
| a process is new, pushed | its start | the drain grace | it takes no clients for 3.5 s at most | no lease before |
| pushed, the watch has ended | the same | the drain grace | rest of 3/8 of it + one connect | lease ends |
| pushed, connections do not come up | the same | the drain grace | the next try after 1/4 of it | it is down |
| SIGHUP, discovery moved | the signal | 4 s | connects after 0.25 to 1 s; a second call after 1.5 s | lease ends |
| SIGHUP, the watch is silent | the signal | 4 s | HEARTBEAT 2 + LATE_BEAT 0.2 + APART 0.25 + turn | lease ends |
| SIGHUP, the watch has spoken | the signal, or its stop's start | 4 s | at its end another watch | lease ends |
| SIGTERM | the same | the longest deadline + 0.7 s | answers 0.2 s, closes 0.5 s after that deadline | it exits |
| an object that is not whole, or broken | its first byte | the drain grace | CUT_SHORT 0.15 + a call | lease ends |
| a hold-up, pushed | the change | the drain grace, maybe over | what lay unread is of its start | 0.25 s of waiting |

The lease (bridgesaddle/lease.py) is watched before each event and each write: when it is over nothing is sent, whatever
is late.  Its end is the sum's one owner; the paths only say how seldom that is met.
A service that is down counts anew from its return; only what one that is there can't do shows that (reachability.py).
All are spans of the monotonic clock.
"""

from __future__ import annotations

from bridgesaddle.api import MS, SECOND
from bridgesaddle.lease import PROPAGATION_BOUND_NS

HEARTBEAT_INTERVAL_NS = 2 * SECOND
"""An empty line comes so often while nothing changes."""
HEARTBEAT_TOLERANCE_NS = 200 * MS
"""A heartbeat may be late by so much."""
TURN = PROPAGATION_BOUND_NS // 2
"""What a rest leaves to the next call for its turn, at a discovery that serves all gateways.

After the longest wait in vain 2 s are left.
"""
CALL = TURN + SECOND // 2
"""Longest wait for the first line: the answer to a call that was a whole turn in the queue is still under way."""
WATCH_RENEWAL_NS = HEARTBEAT_INTERVAL_NS + HEARTBEAT_TOLERANCE_NS
"""A watch that has been silent so long may be dead: another one is begun beside it, and the first to speak stays."""
WATCH_SILENCE_TIMEOUT_NS = 3 * SECOND
"""A watch that has been silent so long is dead: one heartbeat missed and half of one more."""
CONNECT = 2 * SECOND
"""Longest wait for the connection itself, over all tries of a call."""
CONNECT_RETRY_NS = 250 * MS
"""A connection that has not come up is tried again beside the one that waits: its SYN may be lost, and the kernel
sends the next one after 1 s and after 3 s.  Doubles with each try, unless lists are pushed."""
MIN_CONNECT_RETRY_NS = 50 * MS
TRIES = 6
"""Connections of one call that come up at the same time at most: the first one and the newest."""
SECOND_CALL = 1500 * MS
"""A call that is not answered may be lost: so long after SIGHUP's it gets a second one beside it, once."""
SECOND_CALL_PUSHED = SECOND
"""And where lists are pushed, any."""
UNSURE = 250 * MS
"""For so long sends wait for a list after a hold-up in which the watch has ended, where lists are pushed."""
CUT_SHORT = 150 * MS
"""An object that has begun and of which nothing comes for so long was cut short; doubles each time that it was so, as
a service that is slow with each list must not be asked for it for ever."""
MOST_DOUBLINGS = 6
BACKOFF_FIRST = 250 * MS
APART = 250 * MS
"""Watches that fall silent together are begun anew so far apart, at random."""
FIRST_CALL = 5 * MS
"""Processes that may start together make their first calls apart, at random within so long for each of them."""
IMMEDIATE_FAILURE_NS = 100 * MS
"""A call that fails within this time has not waited its turn."""
RESET_AT_ONCE = 30 * MS
"""A call that is reset within this time of its connection has met nobody: the loop may be as late to hear of it."""
OVERLOAD_BACKOFF_NS = 20 * MS
"""The rest after a call that was turned away after a wait: its turn is lost, and the lease runs on."""
QUICK_RESTS = 3
"""So many answers in a row that can't be used are followed by a short rest: they may have been spoilt on the way."""


def try_again_after(pushed: bool, grace_ns: int, tries: int) -> int:
    """How long after its last try a connection is tried once more, ns."""
    if pushed and grace_ns:
        return max(MIN_CONNECT_RETRY_NS, min(CONNECT_RETRY_NS, grace_ns // 4))
    return CONNECT_RETRY_NS << min(tries - 1, 3)


def cut_short_after(pushed: bool, grace_ns: int, cuts: int) -> int:
    """How long nothing may come of an object that has begun, after so many in a row that were cut short, ns.

    Where lists are pushed some in a row have to be followed within the grace.
    """
    if pushed and grace_ns:
        return min(CUT_SHORT, grace_ns // 5) << min(max(0, cuts - QUICK_RESTS), MOST_DOUBLINGS)
    return CUT_SHORT << min(cuts, MOST_DOUBLINGS)
