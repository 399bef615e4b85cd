"""The orders that were seen to be late with real processes, by name."""

from __future__ import annotations

from .draw import Answer, Kind, Step, Steps

LATE_503 = Answer("503", 2.9)


def _four(answer: Answer = LATE_503, count: int = 4) -> Step:
    return Step(Kind.CALLS, how=answer, count=count)


def _queued(count: int, at: float) -> Steps:
    return (_four(count=count), Step(Kind.QUEUED, at, span=2.9, how=Answer("reset")))


def _crowd(seconds: float) -> Step:
    return Step(Kind.CALLS, how=Answer("503", 0.05), span=seconds)


ASKED: dict[str, Steps] = {
    "a silent watch, four calls wait and are turned away":
        (_four(), Step(Kind.SILENT), Step(Kind.CHANGE, 0.05)),
    "a silent watch, calls are turned away at once for 33 s":
        (Step(Kind.SILENT), Step(Kind.CALLS, how=Answer("503"), span=33.0), Step(Kind.CHANGE, 0.05)),
    "a silent watch, a change, SIGHUP, four calls wait and are turned away":
        (_four(), Step(Kind.SILENT), Step(Kind.CHANGE, 0.05), Step(Kind.RELOAD, 0.05)),
    "killed, back after 6 s, two calls wait and are turned away":
        (_four(count=2), Step(Kind.KILL, span=6.0, gap=1.0), Step(Kind.CHANGE, 0.05)),
    "killed, back after 6 s, four calls wait and are turned away":
        (_four(), Step(Kind.KILL, span=6.0, gap=1.0), Step(Kind.CHANGE, 0.05)),
    "a line waits, the watch is reset, two calls wait and are turned away": _queued(2, 0.0),
    "a line waits soon after a heartbeat, the watch is reset, two calls wait and are turned away": _queued(2, 0.3),
    "a line waits, the watch is reset, four calls wait and are turned away": _queued(4, 0.0),
    "a heartbeat comes while the call at the end of SIGHUP's time waits":
        (Step(Kind.CHANGE, 0.3), Step(Kind.RELOAD, 4.0)),
    "discovery goes down after the list was over":
        (Step(Kind.SILENT), _crowd(8.0), Step(Kind.CHANGE, 0.3), Step(Kind.REFUSED, 7.7, span=20.0)),
    "discovery goes down after SIGHUP's time was over":
        (_crowd(6.0), Step(Kind.END), Step(Kind.RELOAD, 0.3), Step(Kind.CHANGE, 0.3),
         Step(Kind.REFUSED, 5.0, span=20.0)),
    "an answer is cut short, and discovery goes down 6 s after it":
        (Step(Kind.CALLS, how=Answer("cut", 0.5)), Step(Kind.CALLS, how=Answer("503", 0.5), count=20), Step(Kind.END),
         Step(Kind.CHANGE, 0.3), Step(Kind.REFUSED, 7.0, span=20.0)),
    "a watch is silent, misses a change, and discovery goes down":
        (Step(Kind.SILENT), Step(Kind.CHANGE, 0.05), Step(Kind.REFUSED, 0.05, span=20.0)),
    "calls are answered by a reset after 0.05 s":
        (Step(Kind.CALLS, how=Answer("reset", 0.05), count=20), Step(Kind.END), Step(Kind.CHANGE, 0.3)),
    "a return between the end of a watch and the next call":
        (Step(Kind.HANGING, span=0.2), Step(Kind.QUEUED, 3.3, span=2.9, how=Answer("reset")), _crowd(9.0)),
    "calls wait, and discovery is cut off after the list was over":
        (_four(count=2), Step(Kind.QUEUED, 2.3, span=2.9, how=Answer("reset")), Step(Kind.HANGING, 6.0, span=20.0)),
    "killed, back after 6 s, and discovery resets calls soon after the start":
        (Step(Kind.KILL, span=6.0, gap=1.0), Step(Kind.CHANGE, 4.0), Step(Kind.RESETS, 2.4, span=5.0)),
    "a new process loses its first watch within 6 s of the kill":
        (Step(Kind.KILL, span=0.1, gap=1.0), Step(Kind.QUEUED, 2.3, span=2.9, how=Answer("reset")), _four(count=2)),
    "the call at the end of SIGHUP's time is cut short, and a heartbeat comes while the next one waits":
        (Step(Kind.RELOAD, 2.9), _four(Answer("cut", 0.5)), _four(Answer("list", 0.5))),
    "SIGHUP comes late in a stop, and a watch is lost by the end of its time":
        (Step(Kind.STOP, span=5.0), Step(Kind.RELOAD, 4.0, moved=True),
         Step(Kind.QUEUED, 2.3, span=2.9, how=Answer("reset"))),
    "calls are answered by a reset after 0.5 s, and discovery goes down after the list was over":
        (_four(Answer("reset", 0.5), 20), Step(Kind.QUEUED, 0.3, span=2.9, how=Answer("reset")),
         Step(Kind.REFUSED, 7.0, span=5.0)),
}
PUSHED: dict[str, Steps] = {
    "started anew, calls are reset from 0.5 s after the start on":
        (Step(Kind.KILL, span=0.1, gap=1.0), Step(Kind.CHANGE, 0.05), Step(Kind.RESETS, 0.55, span=20.0)),
    "a heartbeat comes while the call at the end of SIGHUP's time waits":
        (Step(Kind.CHANGE, 0.3), Step(Kind.RELOAD, 4.0)),
    "a silent watch is closed while calls are turned away, and then a change comes":
        (_crowd(35.0), Step(Kind.SILENT, 0.3), Step(Kind.CHANGE, 4.0)),
    "a watch is silent, misses a change, and discovery is cut off":
        (Step(Kind.SILENT), Step(Kind.CHANGE, 0.05), Step(Kind.HANGING, 0.05, span=20.0)),
    "calls are answered by a reset after 0.05 s":
        (Step(Kind.CALLS, how=Answer("reset", 0.05), count=20), Step(Kind.END), Step(Kind.CHANGE, 1.0)),
    "the call at the end of SIGHUP's time is cut short, and a heartbeat comes while the next one waits":
        (Step(Kind.RELOAD, 2.9), _four(Answer("cut"), 1), _four(Answer("list", 0.3))),
}
