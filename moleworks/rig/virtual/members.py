"""Members of the store in virtual time: a process that may crash or be suspended, its clock and its disk."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from msgspec import Struct

from moleworks.duties.held import Held
from moleworks.store.core import LEADER, Core, Write
from moleworks.store.grants import Granter
from moleworks.store.log import Log, Snapshot
from moleworks.store.messages import Config, Entry, Message
from moleworks.store.replica import Replica
from moleworks.store.state import State

if TYPE_CHECKING:
    from .cluster import Cluster

MS = 1_000_000
SECOND = 1_000 * MS


class Parts(Struct):
    """The classes that a member is built from; mutants.py replaces one with a faulty version to test the checks."""

    core: type[Core] = Core
    state: type[State] = State
    sync: Callable[[Disk, Write], None] = lambda disk, write: disk.sync(write)
    granter: type[Granter] = Granter
    held: type[Held] = Held


class Disk:
    """A disk of which only synced data survives a crash."""

    def __init__(self, config: Config) -> None:
        self.term, self.vote = 0, ""
        self.snapshot = Snapshot(0, 0, config, b"")
        self.entries: dict[int, Entry] = {}

    def sync(self, write: Write) -> None:
        """Apply a complete write."""
        self.term, self.vote = write.term, write.vote
        if write.cut:
            self.entries = {index: entry for index, entry in self.entries.items() if index < write.cut}
        if write.snapshot is not None:
            self.snapshot = write.snapshot
            self.entries = {index: entry for index, entry in self.entries.items() if index > write.snapshot.index}
        for entry in write.entries:
            self.entries[entry.index] = entry

    def log(self) -> Log:
        """The log that a process reads from the disk when it starts."""
        entries, index = [], self.snapshot.index + 1
        while index in self.entries:
            entries.append(self.entries[index])
            index += 1
        return Log(self.snapshot, entries)


class Member:
    """The process of one member and its machine."""

    def __init__(self, cluster: Cluster, name: str, config: Config) -> None:
        self._cluster = cluster
        self.name = name
        self.disk = Disk(config)
        self.clock_rate = 1.0 + cluster.rng.uniform(-0.01, 0.01)
        self._offset = cluster.rng.randrange(10 * SECOND)
        self.alive = False
        self.suspended_until = 0
        self.sync_factor = 1.0
        self._incarnation = 0
        self._next_tick_at = 0
        self._deferred: list[tuple[int, Callable[..., Any], tuple[Any, ...]]] = []
        self.replica: Replica
        self.start()

    def now(self) -> int:
        """The time of the member's own clock, ns."""
        return self._offset + int(self._cluster.loop.now * self.clock_rate)

    def start(self) -> None:
        """Start a process with the content of the disk."""
        cluster = self._cluster
        self._incarnation += 1
        self.alive = True
        self.suspended_until = 0
        rng = random.Random(cluster.rng.getrandbits(32))
        log = self.disk.log()
        terms = [log.snapshot.term, *(log.term(log.snapshot.index + offset) or 0
                                      for offset in range(1, log.last_index - log.snapshot.index + 1))]
        if terms != sorted(terms):
            cluster.broken.append(f"{self.name}'s disk has terms that decrease")
        core = cluster.parts.core(self.name, log, self.disk.term, self.disk.vote, rng, self.now(), cluster.timers)
        state = cluster.parts.state.from_image(self.disk.snapshot.data)
        self.replica = Replica(core, state, self.now(), cluster.settings.compact_entries, cluster.parts.granter)
        self.pump()

    def crash(self) -> None:
        """End the process; data that was not synced is lost."""
        self.alive = False
        self._incarnation += 1
        self._deferred = []

    def invoke(self, incarnation: int, call: Callable[..., Any], *args: Any) -> None:
        """Run a call in the process of this incarnation: now, after it resumes, or never (0: any incarnation)."""
        if not self.alive or (incarnation and incarnation != self._incarnation):
            return
        if self.suspended_until > self._cluster.loop.now:
            self._deferred.append((incarnation or self._incarnation, call, args))
            self._cluster.loop.call_at(self.suspended_until, self._resume)
            return
        call(*args)
        self.pump()

    def _resume(self) -> None:
        """Run the deferred calls in random order: a resumed process handles ready sockets and timers in any order."""
        if self.suspended_until <= self._cluster.loop.now:
            deferred, self._deferred = self._deferred, []
            self._cluster.rng.shuffle(deferred)
            for incarnation, call, args in deferred:
                self.invoke(incarnation, call, *args)

    def pump(self) -> None:
        """Carry out the output of the replica and schedule its next tick."""
        cluster = self._cluster
        output = self.replica.pump(self.now())
        if output.write is not None:
            delay = int(cluster.rng.expovariate(1 / (2 * MS * self.sync_factor))) + MS // 2
            cluster.loop.call_at(cluster.loop.now + delay, self._on_synced, self._incarnation, output.write)
        for to, message in output.send:
            cluster.send(self.name, to, message)
        for ticket, result in output.answers:
            cluster.send_result(self, ticket, result)
        for ticket in output.reads:
            record = self.replica.state.get(ticket[1])
            value = (record.value, record.revision) if record is not None else (None, 0)
            cluster.send_result(self, ticket[0], value)
        if output.applied:
            cluster.check_applied(self)
        core = self.replica.core
        if core.role == LEADER:
            cluster.on_leader(core.term, self.name)
        due = core.next_tick_at
        if due != self._next_tick_at:
            self._next_tick_at = due
            wait = max(0, int((due - self.now()) / self.clock_rate)) + 1
            cluster.loop.call_at(cluster.loop.now + wait, self._on_timer, self._incarnation, due)

    def _on_timer(self, incarnation: int, due: int) -> None:
        if due == self._next_tick_at:
            self._next_tick_at = 0
            self.invoke(incarnation, self._tick)

    def _tick(self) -> None:
        self.replica.tick(self.now())

    def _on_synced(self, incarnation: int, write: Write) -> None:
        if not self.alive or incarnation != self._incarnation:
            return   # the process crashed before the sync completed
        cluster = self._cluster
        vote_changed = (write.term, write.vote) != (self.disk.term, self.disk.vote)
        if cluster.crashes_now(vote_changed):   # crashes before it can confirm the write, which may be on disk or not
            if cluster.rng.random() < 0.6:
                cluster.parts.sync(self.disk, write)
            self.crash()
            cluster.loop.call_at(cluster.loop.now + cluster.rng.randrange(5 * MS, 400 * MS), cluster._restart, self)
            return
        if self.suspended_until > self._cluster.loop.now:
            self._cluster.loop.call_at(self.suspended_until, self._on_synced, incarnation, write)
            return
        cluster.parts.sync(self.disk, write)
        self.replica.core.on_written(self.now(), write)
        self.pump()
        if cluster.crashes_now(vote_changed):   # crashes just after it has confirmed the write
            self.crash()
            cluster.loop.call_at(cluster.loop.now + cluster.rng.randrange(5 * MS, 400 * MS), cluster._restart, self)

    def deliver(self, source: str, message: Message) -> None:
        """Handle a message from another member."""
        self.replica.core.on_message(self.now(), source, message)
