"""Members of the store in virtual time: a process that may die or stop, its clock, its disk."""

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
    """What a member is made of; broken ones in their place where the judges are tried (mutants.py)."""

    core: type[Core] = Core
    state: type[State] = State
    sync: Callable[[Disk, Write], None] = lambda disk, write: disk.sync(write)
    granter: type[Granter] = Granter
    held: type[Held] = Held


class Disk:
    """What has been synced outlives a crash; the rest does not."""

    def __init__(self, config: Config) -> None:
        self.term, self.vote = 0, ""
        self.snapshot = Snapshot(0, 0, config, b"")
        self.entries: dict[int, Entry] = {}

    def sync(self, write: Write) -> None:
        """All of a write."""
        self.term, self.vote = write.term, write.vote
        if write.cut:
            self.entries = {index: entry for index, entry in self.entries.items() if index < write.cut}
        if write.snapshot is not None:
            self.snapshot = write.snapshot
            self.entries = {index: entry for index, entry in self.entries.items() if index > write.snapshot.index}
        for entry in write.entries:
            self.entries[entry.index] = entry

    def log(self) -> Log:
        """As a process finds it."""
        entries, index = [], self.snapshot.index + 1
        while index in self.entries:
            entries.append(self.entries[index])
            index += 1
        return Log(self.snapshot, entries)


class Member:
    """One member's process and machine."""

    def __init__(self, cluster: Cluster, name: str, config: Config) -> None:
        self._cluster = cluster
        self.name = name
        self.disk = Disk(config)
        self.rate = 1.0 + cluster.rng.uniform(-0.01, 0.01)
        self._offset = cluster.rng.randrange(10 * SECOND)
        self.alive = False
        self.stopped_until = 0
        self.slow = 1.0
        self._life = 0
        self._due = 0
        self._held: list[tuple[int, Callable[..., Any], tuple[Any, ...]]] = []
        self.replica: Replica
        self.start()

    def now(self) -> int:
        """By its own clock."""
        return self._offset + int(self._cluster.loop.now * self.rate)

    def start(self) -> None:
        """A process finds its disk."""
        cluster = self._cluster
        self._life += 1
        self.alive = True
        self.stopped_until = 0
        rng = random.Random(cluster.rng.getrandbits(32))
        log = self.disk.log()
        terms = [log.snapshot.term, *(log.term(log.snapshot.index + at) or 0
                                      for at in range(1, log.last_index - log.snapshot.index + 1))]
        if terms != sorted(terms):
            cluster.broken.append(f"{self.name}'s disk holds terms that fall")
        core = cluster.parts.core(self.name, log, self.disk.term, self.disk.vote, rng, self.now(), cluster.timers)
        state = cluster.parts.state.from_image(self.disk.snapshot.data)
        self.replica = Replica(core, state, self.now(), cluster.settings.compact_entries, cluster.parts.granter)
        self.pump()

    def crash(self) -> None:
        """The process is gone, and what was not synced."""
        self.alive = False
        self._life += 1
        self._held = []

    def hear(self, life: int, call: Callable[..., Any], *args: Any) -> None:
        """Something reaches the process of this life: now, once it goes on, or never."""
        if not self.alive or (life and life != self._life):
            return
        if self.stopped_until > self._cluster.loop.now:
            self._held.append((life or self._life, call, args))
            self._cluster.loop.at(self.stopped_until, self._go_on)
            return
        call(*args)
        self.pump()

    def _go_on(self) -> None:
        """A process that goes on finds sockets and timers that are due in no order of their own."""
        if self.stopped_until <= self._cluster.loop.now:
            held, self._held = self._held, []
            self._cluster.rng.shuffle(held)
            for life, call, args in held:
                self.hear(life, call, *args)

    def pump(self) -> None:
        """Do what the member asks for, and come again when it next wants to."""
        cluster = self._cluster
        done = self.replica.pump(self.now())
        if done.write is not None:
            delay = int(cluster.rng.expovariate(1 / (2 * MS * self.slow))) + MS // 2
            cluster.loop.at(cluster.loop.now + delay, self._synced, self._life, done.write)
        for to, message in done.send:
            cluster.send(self.name, to, message)
        for whose, result in done.answers:
            cluster.answer(self, whose, result)
        for whose in done.reads:
            record = self.replica.state.get(whose[1])
            value = (record.value, record.revision) if record is not None else (None, 0)
            cluster.answer(self, whose[0], value)
        if done.applied:
            cluster.applied(self)
        core = self.replica.core
        if core.role == LEADER:
            cluster.leads(core.term, self.name)
        due = core.next_tick_at
        if due != self._due:
            self._due = due
            wait = max(0, int((due - self.now()) / self.rate)) + 1
            cluster.loop.at(cluster.loop.now + wait, self._ring, self._life, due)

    def _ring(self, life: int, due: int) -> None:
        if due == self._due:
            self._due = 0
            self.hear(life, self._tick)

    def _tick(self) -> None:
        self.replica.tick(self.now())

    def _synced(self, life: int, write: Write) -> None:
        if not self.alive or life != self._life:
            return   # the crash came first
        cluster = self._cluster
        moved = (write.term, write.vote) != (self.disk.term, self.disk.vote)
        if cluster.fragile(moved):   # on disk or not, and the process ends before it can say so
            if cluster.rng.random() < 0.6:
                cluster.parts.sync(self.disk, write)
            self.crash()
            cluster.loop.at(cluster.loop.now + cluster.rng.randrange(5 * MS, 400 * MS), cluster._restart, self)
            return
        if self.stopped_until > self._cluster.loop.now:
            self._cluster.loop.at(self.stopped_until, self._synced, life, write)
            return
        cluster.parts.sync(self.disk, write)
        self.replica.core.on_written(self.now(), write)
        self.pump()
        if cluster.fragile(moved):   # it has just said so
            self.crash()
            cluster.loop.at(cluster.loop.now + cluster.rng.randrange(5 * MS, 400 * MS), cluster._restart, self)

    def deliver(self, source: str, message: Message) -> None:
        """A message."""
        self.replica.core.on_message(self.now(), source, message)
