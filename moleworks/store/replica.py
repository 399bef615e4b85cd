"""One member without I/O: consensus, the state machine, who waits for an answer, and the leases it grants.

Its process gives it a disk, sockets and a clock; the rig gives it virtual ones.
"""

from __future__ import annotations

from typing import Any

from msgspec import Struct

from .core import LEADER, Core, Write
from .grants import Granter
from .log import Snapshot
from .messages import Config, Message
from .state import Acquire, Command, Expire, Renew, Result, State, encode

WAITING = 8192
"""Changes and reads whose answer is owed at once; beyond it a client is told to come again."""
COMPACT_ENTRIES = 20_000
COMPACT_BYTES = 64 << 20
"""Past so many applied entries, or bytes of them, the state's image takes their place."""


class Redirect(Struct, frozen=True):
    """Not answered here: ask `leader` (empty: nobody knows).  `again`: what was asked may have happened or may yet."""

    leader: str
    again: bool = False
    busy: bool = False


class Done(Struct):
    """What came of an event: to write, to send, to answer."""

    write: Write | None
    send: list[tuple[str, Message]]
    answers: list[tuple[Any, Result | Redirect]]
    reads: list[Any]              # may be served from the state now
    applied: bool                 # the state has changed


class Replica:
    """A member's whole mind."""

    def __init__(self, core: Core, state: State, now: int, compact_entries: int = COMPACT_ENTRIES,
                 granter: type[Granter] = Granter) -> None:
        self.core = core
        self.state = state
        self._granter = granter()
        self._granter.restart_timers(now, state)
        self._waiting: dict[int, tuple[int, Any]] = {}     # index: term, whose
        self._reads: list[tuple[int, Any]] = []
        self._answers: list[tuple[Any, Result | Redirect]] = []
        self._led = False
        self._compact_entries = compact_entries
        self._bytes = 0
        self.changes = 0

    # ---- Clients ----------------------------------------------------------------------------------------

    def submit(self, now: int, whose: Any, command: Command) -> None:
        """A change; its answer comes out of `pump`, sooner or later or never."""
        core = self.core
        if core.role != LEADER:
            self._answers.append((whose, Redirect(core.leader)))
            return
        if len(self._waiting) >= WAITING:
            self._answers.append((whose, Redirect(core.name, False, True)))
            return
        index = core.propose(now, encode(command))
        if index is None:
            self._answers.append((whose, Redirect(core.leader, False, True)))
        else:
            self._waiting[index] = (core.term, whose)

    def read(self, now: int, whose: Any) -> None:
        """A linearizable read: `pump` names it once the state may be looked at."""
        if len(self._reads) >= WAITING or not self.core.read(now, whose):
            self._answers.append((whose, Redirect(self.core.leader, True, self.core.role == LEADER)))

    def reconfigure(self, now: int, config: Config) -> bool:
        """One step to another set of members."""
        return self.core.reconfigure(now, config) is not None

    # ---- Time and output --------------------------------------------------------------------------------

    def tick(self, now: int) -> None:
        """Time has passed: heartbeats, elections, leases that are out."""
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

    def pump(self, now: int) -> Done:
        """Everything that follows from the events so far."""
        core = self.core
        out = core.take_output()
        changed = False
        if out.restore is not None:
            self.state = type(self.state).from_image(out.restore.data)
            self._granter.restart_timers(now, self.state)
            changed = True
        for entry in out.apply:
            term, whose = self._waiting.pop(entry.index, (0, None))
            if not entry.data:
                result: Result | Redirect = Redirect(core.leader, True)
            else:
                command, result = self.state.apply(entry.data)
                self.changes += 1
                self._bytes += len(entry.data)
                changed = True
                if isinstance(command, Acquire | Renew | Expire):
                    self._granter.applied(now, self.state, command.duty)
            if whose is not None:
                self._answers.append((whose, result if term == entry.term else Redirect(core.leader, True)))
        leads = core.role == LEADER
        if not leads and self._led:   # what was in the log may be committed by another leader, or never
            self._answers += [(whose, Redirect(core.leader, True)) for _, whose in self._waiting.values()]
            self._waiting.clear()
        self._led = leads
        self._answers += [(whose, Redirect(core.leader, True)) for whose in out.lost]
        self._reads += [(index, whose) for whose, index in out.reads]
        ready = [whose for index, whose in self._reads if index <= core.applied]
        if ready:
            self._reads = [(index, whose) for index, whose in self._reads if index > core.applied]
        if core.applied - core.log.snapshot.index >= self._compact_entries or self._bytes > COMPACT_BYTES:
            self.compact()
        answers, self._answers = self._answers, []
        return Done(out.write, out.send, answers, ready, changed)

    def compact(self) -> None:
        """The state's image takes the place of all that is applied."""
        core = self.core
        term = core.log.term(core.applied)
        if term is not None and core.applied > core.log.snapshot.index:
            core.compact(Snapshot(core.applied, term, self._config_at(core.applied), self.state.image()))
            self._bytes = 0

    def _config_at(self, index: int) -> Config:
        """The configuration as of an applied index."""
        log = self.core.log
        for at in range(index, log.snapshot.index, -1):
            config = log.get(at).config
            if config is not None:
                return config
        return log.snapshot.config
