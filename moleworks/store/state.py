"""The state machine: records with revisions, client sessions for exactly-once changes, duties with fencing tokens.

It applies committed commands in log order and is deterministic, so all members agree: no clock, no randomness.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterator

import msgspec
from msgspec import Struct

MAX_KEY_LENGTH, MAX_VALUE_BYTES, MAX_OPS = 512, 256 * 1024, 128
MAX_SESSIONS = 10_000
"""Client sessions kept.  Beyond this the least recently used is dropped; its next command is answered `session`."""
MAX_EVENTS = 20_000
"""Change events kept for watches.  A watch from an older revision is answered `compacted`."""


class Put(Struct, frozen=True, tag=True):
    """Sets a record."""

    key: str
    value: bytes


class Delete(Struct, frozen=True, tag=True):
    """Removes a record; a missing record is not an error."""

    key: str


class Condition(Struct, frozen=True):
    """Requires a record to be at this revision; 0: the record must not exist."""

    key: str
    revision: int


class Guard(Struct, frozen=True):
    """Requires that no grant newer than `token` exists for the duty (fencing)."""

    duty: str
    token: int


class Open(Struct, frozen=True, tag=True):
    """Opens a client session."""

    client: str


class Change(Struct, frozen=True, tag=True):
    """Applies operations atomically.

    `number` increases with each command of a client.  A retried number returns the first result again.
    """

    client: str
    number: int
    ops: tuple[Put | Delete, ...]
    conditions: tuple[Condition, ...] = ()
    guard: Guard | None = None


class Acquire(Struct, frozen=True, tag=True):
    """Requests a grant of a duty: given if nobody holds it, or if it was handed over to this holder."""

    client: str
    number: int
    duty: str
    holder: str
    ttl_ms: int


class Renew(Struct, frozen=True, tag=True):
    """Renews a grant, or releases it.

    `to` hands the duty over: until the grant expires, only that successor may acquire it.
    """

    client: str
    number: int
    duty: str
    token: int
    release: bool = False
    to: str = ""


class Expire(Struct, frozen=True, tag=True):
    """Expires a grant whose lease has passed by the leader's clock; ignored if it was renewed meanwhile."""

    duty: str
    token: int
    renewals: int


Command = Open | Change | Acquire | Renew | Expire


class Result(Struct, frozen=True):
    """The result of a command: `done`, or `why` not; the revision after it; `token` and `holder` of the grant."""

    done: bool
    revision: int
    why: str = ""
    token: int = 0
    holder: str = ""


class Record(Struct):
    """A value, with the revisions at which the record was created and last changed."""

    value: bytes
    created: int
    revision: int


class Event(Struct, frozen=True):
    """A change of one record; `value` is None if it was removed."""

    revision: int
    key: str
    value: bytes | None


class Grant(Struct):
    """The current grant of a duty.  A `token` is never reused; `renewals` counts the renewals."""

    token: int
    holder: str
    ttl_ms: int
    renewals: int = 0
    to: str = ""


class _Session(Struct):
    number: int = 0
    result: Result | None = None


class _Image(Struct):
    """The content of a snapshot."""

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
    """Encodes a command as data of a log entry."""
    return _ENCODE(command)


class State:
    """The replicated state."""

    def __init__(self) -> None:
        self.revision = 0
        self.records: dict[str, Record] = {}
        self.grants: dict[str, Grant] = {}
        self.tokens: dict[str, int] = {}      # the highest token ever granted, by duty
        self._sessions: OrderedDict[str, _Session] = OrderedDict()
        self._events: deque[Event] = deque()
        self.compacted = 0                    # watches can only start from this revision or a later one
        self.floor = 0                        # lower bound of tokens: those granted before a restore are below

    # ---- Changes ----------------------------------------------------------------------------------------

    def apply(self, data: bytes) -> tuple[Command | None, Result]:
        """Applies the data of a committed entry.  Malformed data changes nothing, on every member alike."""
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
            if not 0 < len(op.key) <= MAX_KEY_LENGTH or (isinstance(op, Put) and len(op.value) > MAX_VALUE_BYTES):
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
        """Whether no newer token was granted: a holder may continue after its grant has expired."""
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
        if not 0 < command.ttl_ms <= 3_600_000 or not 0 < len(command.duty) <= MAX_KEY_LENGTH:
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
        return self.records.get(key)

    def list_prefix(self, prefix: str, limit: int, after: str = "") -> list[tuple[str, Record]]:
        """At most `limit` records whose keys have this prefix and are greater than `after`, in key order."""
        if not limit:
            return []
        found = sorted(key for key in self.records if key.startswith(prefix) and key > after)
        return [(key, self.records[key]) for key in found[:limit]]

    def events(self, after: int, prefix: str) -> Iterator[Event] | None:
        """Changes after a revision, in order; None if that revision is compacted."""
        if after < self.compacted:
            return None
        return (event for event in self._events if event.revision > after and event.key.startswith(prefix))

    # ---- Snapshots --------------------------------------------------------------------------------------

    def image(self) -> bytes:
        """Serializes the state, with sessions and tokens: without sessions a retried change would be applied twice."""
        return _ENCODE(_Image(self.revision, self.records, dict(self._sessions), self.grants, self.tokens,
                              self.revision, floor=self.floor))

    @classmethod
    def from_image(cls, image: bytes) -> State:
        """Restores a serialized state; empty bytes are the empty state.  Raises msgspec.DecodeError."""
        state = cls()
        if image:
            decoded = _IMAGE.decode(image)
            state.revision, state.records = decoded.revision, decoded.records
            state.grants, state.tokens = decoded.grants, decoded.tokens
            state._sessions = OrderedDict(decoded.sessions)
            state.compacted, state.floor = decoded.compacted, decoded.floor
        return state

    def prepare_after_restore(self, step: int) -> None:
        """Prepares a state that was restored from a backup: later revisions and tokens are unknown and must not recur.

        Revisions and tokens continue above all that may have been given since: their upper half counts restores, in
        steps of `step` (1 plus a random part, so that two restores of one backup differ).  Sessions and grants are
        dropped.
        """
        self.floor = max(self.revision >> 32, self.floor >> 32) + step << 32
        self.revision = self.compacted = self.floor
        self.grants, self._sessions = {}, OrderedDict()
        self._events.clear()
