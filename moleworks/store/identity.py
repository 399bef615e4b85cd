"""Checks that a member still has the disk that it had before, as a replaced one may lack votes.  No I/O."""

from __future__ import annotations

from .protocol import Hello

MAX_REMEMBERED_MEMBERS = 1_000
"""Members whose last `Hello` is kept, removed ones included: no other disk may ever use their names."""


def rejection_reason(previous: Hello | None, hello: Hello) -> str:
    """Why messages of this member must be rejected; empty if they may be accepted.

    A disk counts its starts (`boot`) and draws a random identifier (`life`) at each.  A disk restored to an earlier
    state has a lower count, or the same count with another identifier, or another predecessor (`before`) than the last
    start.  Not detected: a copy from before the last start but one, started so often that its count is higher.
    """
    if previous is None:
        return ""
    if previous.disk != hello.disk:
        return "it has another disk than before: take it out and add it under a new name"
    same_count = hello.boot == previous.boot and hello.life != previous.life
    wrong_predecessor = hello.boot == previous.boot + 1 and hello.before != previous.life
    if hello.boot < previous.boot or (previous.life and (same_count or wrong_predecessor)):
        return "its disk is older than it was before: take it out and add it under a new name"
    return ""
