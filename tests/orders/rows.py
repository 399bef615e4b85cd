"""Sequences that made real gateway processes send requests late, by name."""

from __future__ import annotations

from .draw import Kind, Outcome, Step, Steps

DELAYED_503 = Outcome("503", 2.9)


def _calls(outcome: Outcome = DELAYED_503, count: int = 4) -> Step:
    return Step(Kind.CALLS, how=outcome, count=count)


def _queued_then_503(count: int, after: float) -> Steps:
    return (_calls(count=count), Step(Kind.QUEUED, after, duration_s=2.9, how=Outcome("reset")))


def _overload(seconds: float) -> Step:
    return Step(Kind.CALLS, how=Outcome("503", 0.05), duration_s=seconds)


PULL: dict[str, Steps] = {
    "silent watch, then four late 503 responses":
        (_calls(), Step(Kind.SILENT), Step(Kind.CHANGE, 0.05)),
    "silent watch, then immediate 503 responses for 33 s":
        (Step(Kind.SILENT), Step(Kind.CALLS, how=Outcome("503"), duration_s=33.0), Step(Kind.CHANGE, 0.05)),
    "silent watch, change, SIGHUP, four late 503 responses":
        (_calls(), Step(Kind.SILENT), Step(Kind.CHANGE, 0.05), Step(Kind.RELOAD, 0.05)),
    "restart after 6 s, two late 503 responses":
        (_calls(count=2), Step(Kind.KILL, duration_s=6.0, startup_s=1.0), Step(Kind.CHANGE, 0.05)),
    "restart after 6 s, four late 503 responses":
        (_calls(), Step(Kind.KILL, duration_s=6.0, startup_s=1.0), Step(Kind.CHANGE, 0.05)),
    "queued update, watch reset, two late 503 responses": _queued_then_503(2, 0.0),
    "queued update soon after a heartbeat, watch reset, two late 503 responses": _queued_then_503(2, 0.3),
    "queued update, watch reset, four late 503 responses": _queued_then_503(4, 0.0),
    "heartbeat while the call at the reload bound is waiting":
        (Step(Kind.CHANGE, 0.3), Step(Kind.RELOAD, 4.0)),
    "outage after the lease has ended":
        (Step(Kind.SILENT), _overload(8.0), Step(Kind.CHANGE, 0.3), Step(Kind.REFUSED, 7.7, duration_s=20.0)),
    "outage after the reload bound":
        (_overload(6.0), Step(Kind.END), Step(Kind.RELOAD, 0.3), Step(Kind.CHANGE, 0.3),
         Step(Kind.REFUSED, 5.0, duration_s=20.0)),
    "truncated response, outage 6 s later":
        (Step(Kind.CALLS, how=Outcome("cut", 0.5)), Step(Kind.CALLS, how=Outcome("503", 0.5), count=20), Step(Kind.END),
         Step(Kind.CHANGE, 0.3), Step(Kind.REFUSED, 7.0, duration_s=20.0)),
    "silent watch misses a change, then an outage that refuses connections":
        (Step(Kind.SILENT), Step(Kind.CHANGE, 0.05), Step(Kind.REFUSED, 0.05, duration_s=20.0)),
    "calls reset after 0.05 s":
        (Step(Kind.CALLS, how=Outcome("reset", 0.05), count=20), Step(Kind.END), Step(Kind.CHANGE, 0.3)),
    "outage ends between the end of a watch and the next call":
        (Step(Kind.HANGING, duration_s=0.2), Step(Kind.QUEUED, 3.3, duration_s=2.9, how=Outcome("reset")),
         _overload(9.0)),
    "late 503 responses, connections hang after the lease has ended":
        (_calls(count=2), Step(Kind.QUEUED, 2.3, duration_s=2.9, how=Outcome("reset")),
         Step(Kind.HANGING, 6.0, duration_s=20.0)),
    "restart after 6 s, calls reset soon after the start":
        (Step(Kind.KILL, duration_s=6.0, startup_s=1.0), Step(Kind.CHANGE, 4.0),
         Step(Kind.RESETS, 2.4, duration_s=5.0)),
    "new process loses its first watch within 6 s of the kill":
        (Step(Kind.KILL, duration_s=0.1, startup_s=1.0), Step(Kind.QUEUED, 2.3, duration_s=2.9, how=Outcome("reset")),
         _calls(count=2)),
    "call at the reload bound truncated, heartbeat while the next one is waiting":
        (Step(Kind.RELOAD, 2.9), _calls(Outcome("cut", 0.5)), _calls(Outcome("list", 0.5))),
    "SIGHUP late in a process stop, watch lost before the reload bound":
        (Step(Kind.STOP, duration_s=5.0), Step(Kind.RELOAD, 4.0, moved=True),
         Step(Kind.QUEUED, 2.3, duration_s=2.9, how=Outcome("reset"))),
    "calls reset after 0.5 s, outage after the lease has ended":
        (_calls(Outcome("reset", 0.5), 20), Step(Kind.QUEUED, 0.3, duration_s=2.9, how=Outcome("reset")),
         Step(Kind.REFUSED, 7.0, duration_s=5.0)),
}
PUSH: dict[str, Steps] = {
    "restart, calls reset from 0.5 s after the start on":
        (Step(Kind.KILL, duration_s=0.1, startup_s=1.0), Step(Kind.CHANGE, 0.05),
         Step(Kind.RESETS, 0.55, duration_s=20.0)),
    "heartbeat while the call at the reload bound is waiting":
        (Step(Kind.CHANGE, 0.3), Step(Kind.RELOAD, 4.0)),
    "silent watch closed during 503 responses, then a change":
        (_overload(35.0), Step(Kind.SILENT, 0.3), Step(Kind.CHANGE, 4.0)),
    "silent watch misses a change, then connections hang":
        (Step(Kind.SILENT), Step(Kind.CHANGE, 0.05), Step(Kind.HANGING, 0.05, duration_s=20.0)),
    "calls reset after 0.05 s":
        (Step(Kind.CALLS, how=Outcome("reset", 0.05), count=20), Step(Kind.END), Step(Kind.CHANGE, 1.0)),
    "call at the reload bound truncated, heartbeat while the next one is waiting":
        (Step(Kind.RELOAD, 2.9), _calls(Outcome("cut"), 1), _calls(Outcome("list", 0.3))),
}
