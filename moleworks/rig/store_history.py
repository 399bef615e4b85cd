"""The lines of a store experiment's history, beside `fault` of history.py.  Times in ns since the run's start."""

from __future__ import annotations

from msgspec import Struct


class StoreRun(Struct, tag_field="e", tag="store"):
    """The first line."""

    t: int
    seed: int
    members: list[str]
    keepers: list[str]
    ttl: int
    end: int            # of the load
    services: list[str] = []
    bound: float = 0.0  # of a list's age, ms
    host_ttl: float = 0.0
    records: bool = True
    v: int = 1


class Operation(Struct, tag_field="e", tag="op"):
    """A writer's: `get`, `put` or `cas`; `end` -1: it had no answer.  `arg` of a cas is what it expected and wanted."""

    t: int
    end: int
    who: str
    key: str
    kind: str
    arg: str | list[str | None] | None
    result: str | bool | None
    rev: int


class Event(Struct, tag_field="e", tag="event"):
    """The watcher was told of a change."""

    t: int
    rev: int
    key: str
    value: str | None


class Granted(Struct, tag_field="e", tag="grant"):
    """A keeper has been answered that it holds the duty; `until` by its own clock."""

    t: int
    who: str
    token: int
    until: int


class Act(Struct, tag_field="e", tag="act"):
    """A keeper looked whether it holds the duty, and did: what it did under its token, and until when it held."""

    t: int              # when it looked
    sent: int
    end: int            # -1: no answer
    who: str
    token: int
    until: int
    done: bool
    why: str
    late: bool          # it knew that it held nothing any more, and went on all the same


class GrantReleased(Struct, tag_field="e", tag="let"):
    """A keeper acts no longer under a token."""

    t: int
    who: str
    token: int
    why: str


class ProcessEvent(Struct, tag_field="e", tag="process"):
    """A process has been started, killed, or has ended by itself with its last words."""

    t: int
    who: str
    what: str
    why: str = ""


class Calm(Struct, tag_field="e", tag="calm"):
    """Whether the store answered once all faults were over."""

    t: int
    answered: bool


# ---- The list ------------------------------------------------------------------------------------------------


class WatcherUpdate(Struct, tag_field="e", tag="told"):
    """A watcher has taken a line; rows are name, lifecycle, address.  `size`: hosts that it has now."""

    t: int
    w: int
    gen: int
    reset: bool
    rows: list[list[str]]
    size: int


class Refusal(Struct, tag_field="e", tag="refusal"):
    """A watcher has refused a line."""

    t: int
    w: int
    why: str


class Read(Struct, tag_field="e", tag="read"):
    """A whole list was asked for at `t`; `age` in ms as told, or the status less than 0; `end` -1: no answer."""

    t: int
    end: int
    w: int
    gen: int
    age: int
    rows: list[list[str]]


class Written(Struct, tag_field="e", tag="written"):
    """The operator's changes, all in one version; `end` -1: no answer, and nobody knows."""

    t: int
    end: int
    gen: int
    status: int
    changes: list[list[str]]


class HostLife(Struct, tag_field="e", tag="host"):
    """A host's process: start, dead, replaced."""

    t: int
    who: str
    what: str


class Truth(Struct, tag_field="e", tag="truth"):
    """What the store's own watch told at the end of the run, from the first revision on; no row: removed."""

    t: int
    rev: int
    name: str
    row: list[str] | None


class Usage(Struct, tag_field="e", tag="usage"):
    """What a process of the list service has used so far: processor time, s, and memory now, MB."""

    t: int
    who: str
    cpu: float
    mb: float
