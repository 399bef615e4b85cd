"""The state machine: records with revisions, sessions that apply each change once, duties with fencing tokens.

It is told committed changes in order and gives the same answers on every member: no clock, no randomness.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterator

import msgspec
from msgspec import Struct

MAX_KEY, MAX_VALUE, MAX_OPS = 512, 256 * 1024, 128
MAX_SESSIONS = 10_000
"""More clients than that: the one unused for longest is forgotten, and told so when it comes again."""
MAX_EVENTS = 20_000
"""Changes that watches can start from; older revisions are compacted, and a watch is told so."""


class Put(Struct, frozen=True, tag=True):
    """Set a record."""

    key: str
    value: bytes


class Delete(Struct, frozen=True, tag=True):
    """Remove a record; no error where there is none."""

    key: str


class Condition(Struct, frozen=True):
    """A record must be at this revision; 0: it must not exist."""

    key: str
    revision: int


class Guard(Struct, frozen=True):
    """The change counts only under this grant of a duty: an older token is refused."""

    duty: str
    token: int


class Open(Struct, frozen=True, tag=True):
    """A client's session begins."""

    client: str


class Change(Struct, frozen=True, tag=True):
    """All of it or none.  `number` grows with each change of a client; sent again it is answered, not applied again."""

    client: str
    number: int
    ops: tuple[Put | Delete, ...]
    conditions: tuple[Condition, ...] = ()
    guard: Guard | None = None


class Acquire(Struct, frozen=True, tag=True):
    """A duty is wanted; granted where nobody holds it, or it was handed over to this holder."""

    client: str
    number: int
    duty: str
    holder: str
    ttl_ms: int


class Renew(Struct, frozen=True, tag=True):
    """The holder goes on; `to` hands the duty over: only that successor may acquire it within the grant's time."""

    client: str
    number: int
    duty: str
    token: int
    release: bool = False
    to: str = ""


class Expire(Struct, frozen=True, tag=True):
    """A leader has counted a grant's time out since it applied the last renewal; void if there was one since."""

    duty: str
    token: int
    renewals: int


Command = Open | Change | Acquire | Renew | Expire


class Result(Struct, frozen=True):
    """What became of a command: `done`, or `why` not.  `revision` as of then; `token` of a grant."""

    done: bool
    revision: int
    why: str = ""
    token: int = 0
    holder: str = ""


class Record(Struct):
    """A value, the revision that made it and the one that changed it last."""

    value: bytes
    created: int
    revision: int


class Event(Struct, frozen=True):
    """A change of one record; `value` None: it was removed."""

    revision: int
    key: str
    value: bytes | None


class Grant(Struct):
    """Who holds a duty.  `token` is never given again, `renewals` counts what the granter saw of it."""

    token: int
    holder: str
    ttl_ms: int
    renewals: int = 0
    to: str = ""


class _Session(Struct):
    number: int = 0
    result: Result | None = None


class _Image(Struct):
    """A snapshot's content."""

    revision: int
    records: dict[str, Record]
    sessions: dict[str, _Session]
    grants: dict[str, Grant]
    tokens: dict[str, int]
    compacted: int
    v: int = 1
    floor: int = 0


_ENCODE = msgspec.msgpack.Encoder().encode
_COMMAND: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)
_IMAGE: msgspec.msgpack.Decoder[_Image] = msgspec.msgpack.Decoder(_Image)


def encode(command: Command) -> bytes:
    """A command as an entry's data."""
    return _ENCODE(command)


class State:
    """Everything that members agree on."""

    def __init__(self) -> None:
        self.revision = 0
        self.records: dict[str, Record] = {}
        self.grants: dict[str, Grant] = {}
        self.tokens: dict[str, int] = {}      # the newest token ever given, by duty
        self._sessions: OrderedDict[str, _Session] = OrderedDict()
        self._events: deque[Event] = deque()
        self.compacted = 0                    # watches start after this revision at the earliest
        self.floor = 0                        # every token is above it: what was given before a restore is below

    # ---- Changes ----------------------------------------------------------------------------------------

    def apply(self, data: bytes) -> tuple[Command | None, Result]:
        """One committed entry.  What can't be read changes nothing, and is the same on every member."""
        try:
            command = _COMMAND.decode(data)
        except msgspec.DecodeError as error:
            return None, Result(False, self.revision, f"unreadable: {error}")
        if isinstance(command, Open):
            return command, self._open(command)
        if isinstance(command, Expire):
            return command, self._expire(command)
        session = self._sessions.get(command.client)
        if session is None:
            return command, Result(False, self.revision, "session")
        self._sessions.move_to_end(command.client)
        if command.number == session.number and session.result is not None:
            return command, session.result
        if command.number <= session.number:
            return command, Result(False, self.revision, "old number")
        if isinstance(command, Change):
            result = self._change(command)
        elif isinstance(command, Acquire):
            result = self._acquire(command)
        else:
            result = self._renew(command)
        session.number, session.result = command.number, result
        return command, result

    def _open(self, command: Open) -> Result:
        self._sessions.setdefault(command.client, _Session())
        self._sessions.move_to_end(command.client)
        if len(self._sessions) > MAX_SESSIONS:
            self._sessions.popitem(last=False)
        return Result(True, self.revision)

    def _change(self, command: Change) -> Result:
        for op in command.ops:
            if not 0 < len(op.key) <= MAX_KEY or (isinstance(op, Put) and len(op.value) > MAX_VALUE):
                return Result(False, self.revision, "too large")
        if len(command.ops) > MAX_OPS:
            return Result(False, self.revision, "too large")
        if command.guard is not None and not self._token_is_current(command.guard):
            return Result(False, self.revision, "token", self.tokens.get(command.guard.duty, 0))
        for condition in command.conditions:
            record = self.records.get(condition.key)
            if (record.revision if record is not None else 0) != condition.revision:
                return Result(False, self.revision, "condition")
        if command.ops:
            self.revision += 1
            for op in command.ops:
                self._set(op.key, op.value if isinstance(op, Put) else None)
        return Result(True, self.revision)

    def _token_is_current(self, guard: Guard) -> bool:
        """An older grant's holder may go on as if nothing had been: what it wants is refused."""
        return guard.token >= self.tokens.get(guard.duty, 0) and guard.token > self.floor

    def _set(self, key: str, value: bytes | None) -> None:
        record = self.records.get(key)
        if value is None:
            if record is None:
                return
            del self.records[key]
        elif record is None:
            self.records[key] = Record(value, self.revision, self.revision)
        else:
            record.value, record.revision = value, self.revision
        self._events.append(Event(self.revision, key, value))
        if len(self._events) > MAX_EVENTS:
            self.compacted = self._events.popleft().revision
            while self._events and self._events[0].revision == self.compacted:
                self._events.popleft()

    # ---- Duties -----------------------------------------------------------------------------------------

    def _acquire(self, command: Acquire) -> Result:
        grant = self.grants.get(command.duty)
        if grant is not None and grant.to != command.holder:
            return Result(False, self.revision, "held", grant.token, grant.holder)
        if not 0 < command.ttl_ms <= 3_600_000 or not 0 < len(command.duty) <= MAX_KEY:
            return Result(False, self.revision, "out of range")
        token = max(self.tokens.get(command.duty, 0), self.floor) + 1
        self.tokens[command.duty] = token
        self.grants[command.duty] = Grant(token, command.holder, command.ttl_ms)
        return Result(True, self.revision, "", token, command.holder)

    def _renew(self, command: Renew) -> Result:
        grant = self.grants.get(command.duty)
        if grant is None or grant.token != command.token:
            return Result(False, self.revision, "lost", self.tokens.get(command.duty, 0))
        grant.renewals += 1
        if command.release:
            del self.grants[command.duty]
        grant.to = command.to
        return Result(True, self.revision, "", grant.token, grant.holder)

    def _expire(self, command: Expire) -> Result:
        grant = self.grants.get(command.duty)
        if grant is None or (grant.token, grant.renewals) != (command.token, command.renewals):
            return Result(False, self.revision, "renewed")
        del self.grants[command.duty]
        return Result(True, self.revision)

    # ---- Reads ------------------------------------------------------------------------------------------

    def get(self, key: str) -> Record | None:
        """A record, or None."""
        return self.records.get(key)

    def prefix(self, prefix: str, most: int, after: str = "") -> list[tuple[str, Record]]:
        """Records whose keys begin so and lie beyond `after`, in order, at most so many."""
        if not most:
            return []
        found = sorted(key for key in self.records if key.startswith(prefix) and key > after)
        return [(key, self.records[key]) for key in found[:most]]

    def events(self, after: int, prefix: str) -> Iterator[Event] | None:
        """Changes later than a revision, in order; None where they are no longer known."""
        if after < self.compacted:
            return None
        return (event for event in self._events if event.revision > after and event.key.startswith(prefix))

    # ---- Snapshots --------------------------------------------------------------------------------------

    def image(self) -> bytes:
        """All of it, sessions and tokens too: without those a change sent again would be applied twice."""
        return _ENCODE(_Image(self.revision, self.records, dict(self._sessions), self.grants, self.tokens,
                              self.revision, floor=self.floor))

    @classmethod
    def from_image(cls, image: bytes) -> State:
        """From a snapshot; empty bytes are the empty state.  Raises msgspec.DecodeError."""
        state = cls()
        if image:
            told = _IMAGE.decode(image)
            state.revision, state.records = told.revision, told.records
            state.grants, state.tokens = told.grants, told.tokens
            state._sessions = OrderedDict(told.sessions)
            state.compacted, state.floor = told.compacted, told.floor
        return state

    def anew(self, step: int) -> None:
        """As of a restore: what was promised after this state's time is unknown, and nothing may be taken for it.

        Revisions and tokens go on above any that can have been given since: their upper half counts restores, by
        `step` (1 and a random part, so that two restores of one backup differ).  Sessions and grants are forgotten.
        """
        self.floor = max(self.revision >> 32, self.floor >> 32) + step << 32
        self.revision = self.compacted = self.floor
        self.grants, self._sessions = {}, OrderedDict()
        self._events.clear()
