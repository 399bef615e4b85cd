"""Lines of the history of a store experiment, in addition to `fault` of history.py.  Times in ns since the start."""

from __future__ import annotations

from msgspec import Struct


class StoreRun(Struct, tag_field="e", tag="store"):
    """The first line: the experiment's processes and limits."""

    t: int
    seed: int
    members: list[str]
    keepers: list[str]
    ttl: int
    end: int            # end of the load
    services: list[str] = []
    bound: float = 0.0  # maximum age of a list, ms
    host_ttl: float = 0.0
    records: bool = True
    v: int = 1


class Operation(Struct, tag_field="e", tag="op"):
    """An operation of a writer: `get`, `put` or `cas`; `end` -1: no response; `arg` of cas: [expected, new]."""

    t: int
    end: int
    who: str
    key: str
    kind: str
    arg: str | list[str | None] | None
    result: str | bool | None
    rev: int


class Event(Struct, tag_field="e", tag="event"):
    """The watcher has received a change."""

    t: int
    rev: int
    key: str
    value: str | None


class Granted(Struct, tag_field="e", tag="grant"):
    """A keeper has received the duty; `until` is by its own clock."""

    t: int
    who: str
    token: int
    until: int


class Act(Struct, tag_field="e", tag="act"):
    """A keeper checked that it held the duty, and acted under its token; `until`: when its grant expires."""

    t: int              # time of the check
    sent: int
    end: int            # -1: no response
    who: str
    token: int
    until: int
    done: bool
    why: str
    late: bool          # the grant had expired and the keeper knew it, but acted nevertheless


class GrantReleased(Struct, tag_field="e", tag="let"):
    """A keeper has stopped acting under a token."""

    t: int
    who: str
    token: int
    why: str


class ProcessEvent(Struct, tag_field="e", tag="process"):
    """A process has been started or killed, or has ended by itself; `why`: its last output."""

    t: int
    who: str
    what: str
    why: str = ""


class Calm(Struct, tag_field="e", tag="calm"):
    """Whether the store answered after all faults had ended."""

    t: int
    answered: bool


# ---- The list ------------------------------------------------------------------------------------------------


class WatcherUpdate(Struct, tag_field="e", tag="told"):
    """A watcher has accepted an update; rows are (name, lifecycle, address).  `size`: hosts in its list now."""

    t: int
    w: int
    gen: int
    reset: bool
    rows: list[list[str]]
    size: int


class Refusal(Struct, tag_field="e", tag="refusal"):
    """A watcher has rejected an update."""

    t: int
    w: int
    why: str


class Read(Struct, tag_field="e", tag="read"):
    """A full list was requested at `t`; `age`: as reported, ms; below 0: the negated status; `end` -1: no response."""

    t: int
    end: int
    w: int
    gen: int
    age: int
    rows: list[list[str]]


class Written(Struct, tag_field="e", tag="written"):
    """Changes of the operator, all in one version; `end` -1: no response, so the outcome is unknown."""

    t: int
    end: int
    gen: int
    status: int
    changes: list[list[str]]


class HostLife(Struct, tag_field="e", tag="host"):
    """An event of a host's process: start, dead or replaced."""

    t: int
    who: str
    what: str


class Truth(Struct, tag_field="e", tag="truth"):
    """A change read from the store's own watch at the end of the run, from the first revision on; no row: removed."""

    t: int
    rev: int
    name: str
    row: list[str] | None


class Usage(Struct, tag_field="e", tag="usage"):
    """Resource usage of a list service process: CPU time so far, s, and current memory, MB."""

    t: int
    who: str
    cpu: float
    mb: float
