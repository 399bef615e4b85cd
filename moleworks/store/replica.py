"""A member without I/O: consensus, the state machine, calls that wait for an answer, and the leases it grants.

A member process connects it to a disk, sockets and a clock; the rig connects it to simulated ones.
"""

from __future__ import annotations

from typing import Any

from msgspec import Struct

from .core import LEADER, Core, Write
from .grants import Granter
from .log import Snapshot
from .messages import Config, Message
from .state import Acquire, Command, Expire, Renew, Result, State, encode

MAX_WAITING = 8192
"""Maximum waiting commands, and maximum waiting reads; further ones are answered `busy`."""
COMPACT_ENTRIES = 20_000
COMPACT_BYTES = 64 << 20
"""Applied entries, and bytes of them, beyond which a snapshot replaces them in the log."""


class Redirect(Struct, frozen=True):
    """The call was not served here: retry at `leader` (empty: unknown).

    `again`: the call may have been applied, or may still be.  `busy`: `leader` cannot accept it now; retry later.
    """

    leader: str
    again: bool = False
    busy: bool = False


class PumpResult(Struct):
    """Actions that follow from the events so far: a write, messages and answers."""

    write: Write | None
    send: list[tuple[str, Message]]
    answers: list[tuple[Any, Result | Redirect]]
    reads: list[Any]              # callers whose reads may now be served from the state
    applied: bool                 # the state has changed


class Replica:
    """One member: the consensus core and the state machine together."""

    def __init__(self, core: Core, state: State, now: int, compact_entries: int = COMPACT_ENTRIES,
                 granter: type[Granter] = Granter) -> None:
        self.core = core
        self.state = state
        self._granter = granter()
        self._granter.restart_timers(now, state)
        self._waiting: dict[int, tuple[int, Any]] = {}     # by log index: term, caller
        self._reads: list[tuple[int, Any]] = []
        self._answers: list[tuple[Any, Result | Redirect]] = []
        self._was_leader = False
        self._compact_entries = compact_entries
        self._log_bytes = 0
        self.changes = 0

    # ---- Clients ----------------------------------------------------------------------------------------

    def submit(self, now: int, caller: Any, command: Command) -> None:
        """Proposes a command.  `pump` returns its answer later, or never."""
        core = self.core
        if core.role != LEADER:
            self._answers.append((caller, Redirect(core.leader)))
            return
        if len(self._waiting) >= MAX_WAITING:
            self._answers.append((caller, Redirect(core.name, False, True)))
            return
        index = core.propose(now, encode(command))
        if index is None:
            self._answers.append((caller, Redirect(core.leader, False, True)))
        else:
            self._waiting[index] = (core.term, caller)

    def read(self, now: int, caller: Any) -> None:
        """Starts a linearizable read.  `pump` returns the caller once the state may be read."""
        if len(self._reads) >= MAX_WAITING or not self.core.read(now, caller):
            self._answers.append((caller, Redirect(self.core.leader, True, self.core.role == LEADER)))

    def reconfigure(self, now: int, config: Config) -> bool:
        """Changes the configuration by one member."""
        return self.core.reconfigure(now, config) is not None

    # ---- Time and output --------------------------------------------------------------------------------

    def tick(self, now: int) -> None:
        """Runs the timers of consensus, expires grants and promotes learners that have caught up."""
        core = self.core
        core.tick(now)
        if core.role == LEADER and core.log.term(core.commit) == core.term:
            for expire in self._granter.expired(now, self.state):
                core.propose(now, encode(expire))
                self._granter.applied(now, self.state, expire.duty)
            promoted = next((name for name in core.config.learners if core.caught_up(name)), None)
            if promoted is not None:
                core.reconfigure(now, Config((*core.config.voters, promoted),
                                             tuple(name for name in core.config.learners if name != promoted)))

    def pump(self, now: int) -> PumpResult:
        """Returns all actions that follow from the events so far."""
        core = self.core
        out = core.take_output()
        changed = False
        if out.restore is not None:
            self.state = type(self.state).from_image(out.restore.data)
            self._granter.restart_timers(now, self.state)
            changed = True
        for entry in out.apply:
            term, caller = self._waiting.pop(entry.index, (0, None))
            if not entry.data:
                result: Result | Redirect = Redirect(core.leader, True)
            else:
                command, result = self.state.apply(entry.data)
                self.changes += 1
                self._log_bytes += len(entry.data)
                changed = True
                if isinstance(command, Acquire | Renew | Expire):
                    self._granter.applied(now, self.state, command.duty)
            if caller is not None:
                self._answers.append((caller, result if term == entry.term else Redirect(core.leader, True)))
        is_leader = core.role == LEADER
        if not is_leader and self._was_leader:   # the new leader may commit these, or remove them
            self._answers += [(caller, Redirect(core.leader, True)) for _, caller in self._waiting.values()]
            self._waiting.clear()
        self._was_leader = is_leader
        self._answers += [(caller, Redirect(core.leader, True)) for caller in out.lost]
        self._reads += [(index, caller) for caller, index in out.reads]
        ready = [caller for index, caller in self._reads if index <= core.applied]
        if ready:
            self._reads = [(index, caller) for index, caller in self._reads if index > core.applied]
        if core.applied - core.log.snapshot.index >= self._compact_entries or self._log_bytes > COMPACT_BYTES:
            self.compact()
        answers, self._answers = self._answers, []
        return PumpResult(out.write, out.send, answers, ready, changed)

    def compact(self) -> None:
        """Replaces all applied entries in the log with a snapshot of the state."""
        core = self.core
        term = core.log.term(core.applied)
        if term is not None and core.applied > core.log.snapshot.index:
            core.compact(Snapshot(core.applied, term, self._config_at(core.applied), self.state.image()))
            self._log_bytes = 0

    def _config_at(self, index: int) -> Config:
        """The configuration in effect at an applied index."""
        log = self.core.log
        for position in range(index, log.snapshot.index, -1):
            config = log.get(position).config
            if config is not None:
                return config
        return log.snapshot.config
