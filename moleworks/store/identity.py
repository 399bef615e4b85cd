"""Is a member's disk the one that was there before?  One that was put back has forgotten what it voted.  No I/O."""

from __future__ import annotations

from .protocol import Hello

MOST = 1_000
"""Names that are remembered; those of members that left stay, as no other disk may ever take them."""


def rejection_reason(known: Hello | None, hello: Hello) -> str:
    """Why this member must not be heard; empty where nothing is known against it.

    A disk counts its starts and draws a word at each.  One that was put back to an earlier time has a lower count, or
    the same one with another word, or follows on a start that was not the last.  A copy from before the last start
    but one, started so often that its count is higher, can't be told from the true one.
    """
    if known is None:
        return ""
    if known.disk != hello.disk:
        return "it has another disk than before: take it out and add it under a new name"
    again = hello.boot == known.boot and hello.life != known.life
    follows = hello.boot == known.boot + 1 and hello.before != known.life
    if hello.boot < known.boot or (known.life and (again or follows)):
        return "its disk is older than it was before: take it out and add it under a new name"
    return ""
