"""The store in virtual time under faults at random: members, disks, clients, and what is recorded of them.

One seed, one history.  Members crash with what their disks had not synced, stop for a while and go on, are cut off one
way or both, lose, copy and reorder messages, keep time 1 in 100 apart, come and go as members; leaders are moved and
logs compacted meanwhile.  Clients change and read records and hold a duty, and send again what had no answer.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from msgspec import Struct

from moleworks.duties.held import Held
from moleworks.store.core import LEADER, Core, Write
from moleworks.store.grants import Granter
from moleworks.store.log import Log, Snapshot
from moleworks.store.messages import Config, Entry, Message
from moleworks.store.replica import Elsewhere, Replica
from moleworks.store.state import (
    Acquire,
    Change,
    Command,
    Condition,
    Guard,
    Open,
    Put,
    Renew,
    Result,
    State,
)

from ..linear import Holding, Op
from .loop import Links, Loop

MS = 1_000_000
SECOND = 1_000 * MS
DUTY = "lead"
TTL_MS = 1_000
MOST_EVENTS = 300_000
"""A history has some ten thousand; one with so many will never end."""


FAULTS = ("crash", "crash", "stop", "cut", "cut", "isolate", "slow", "transfer", "members", "compact", "leader",
          "leader")
MODES = ("mixed", "leaders", "points", "members")
"""What a history dwells on, by its seed: leaders that fall as soon as they lead, processes that end at the points where
something is written or said, members that change."""


class Settings(Struct):
    """The size of a history."""

    members: int = 3
    spares: int = 2
    clients: int = 3
    holders: int = 2
    keys: int = 2
    seconds: float = 9.0
    calm_s: float = 4.0            # at the end, without faults: every wish must come true then
    fault_gap_s: float = 0.35
    compact_entries: int = 60


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
        core = cluster.parts.core(self.name, self.disk.log(), self.disk.term, self.disk.vote, rng, self.now())
        state = cluster.parts.state.restored(self.disk.snapshot.data)
        self.replica = Replica(core, state, self.now(), cluster.settings.compact_entries, cluster.parts.granter)
        self.pump()

    def crash(self) -> None:
        """The process is gone, and what was not synced."""
        self.alive = False
        self._life += 1

    def hear(self, life: int, call: Callable[..., Any], *args: Any) -> None:
        """Something reaches the process of this life: now, once it goes on, or never."""
        if not self.alive or (life and life != self._life):
            return
        if self.stopped_until > self._cluster.loop.now:
            self._cluster.loop.at(self.stopped_until, self.hear, life or self._life, call, *args)
            return
        call(*args)
        self.pump()

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
        due = core.due
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
        if cluster.fragile(moved):   # on disk, and the process ends before it can say so
            cluster.parts.sync(self.disk, write)
            self.crash()
            cluster.loop.at(cluster.loop.now + cluster.rng.randrange(5 * MS, 400 * MS), cluster._restart, self)
            return
        if self.stopped_until > self._cluster.loop.now:
            self._cluster.loop.at(self.stopped_until, self._synced, life, write)
            return
        cluster.parts.sync(self.disk, write)
        self.replica.core.written(self.now(), write)
        self.pump()
        if cluster.fragile(moved):   # it has just said so
            self.crash()
            cluster.loop.at(cluster.loop.now + cluster.rng.randrange(5 * MS, 400 * MS), cluster._restart, self)

    def deliver(self, source: str, message: Message) -> None:
        """A message."""
        self.replica.core.on_message(self.now(), source, message)


class Client:
    """Calls one thing at a time, and sends it again elsewhere under its number until there is an answer."""

    def __init__(self, cluster: Cluster, name: str) -> None:
        self.cluster = cluster
        self.name = name
        self.rng = random.Random(f"{name} {cluster.seed}")
        self.rate = 1.0 + self.rng.uniform(-0.01, 0.01)
        self.number = 0
        self._call = 0
        self._target = self.rng.choice(cluster.names)
        self._then: Callable[[Any], None] | None = None
        self._what: Any = None
        self._tries = 0
        cluster.loop.at(self.rng.randrange(SECOND), self.ask, Open(name), self.opened)

    def now(self) -> int:
        """By its own clock."""
        return int(self.cluster.loop.now * self.rate)

    def opened(self, result: Any) -> None:
        """The session is there, or must be asked for again."""
        if result is None:
            self.ask(Open(self.name), self.opened)
        else:
            self.next()

    def next(self) -> None:
        """The next thing to do."""

    def ask(self, what: Any, then: Callable[[Any], None]) -> None:
        """A command, or a key to be read; the answer goes to `then`, None if there was none for long."""
        self._call += 1
        self._what, self._then, self._tries = what, then, 0
        self._send(self._call)

    def _send(self, call: int) -> None:
        if call != self._call or self._then is None:
            return
        self._tries += 1
        cluster = self.cluster
        if self._tries > 12:
            self._finish(None)
            return
        member = cluster.members.get(self._target)
        delay = cluster.rng.randrange(MS // 2, 3 * MS)
        if member is not None:
            ticket = (self, call, self._tries)
            if isinstance(self._what, str):
                cluster.loop.at(cluster.loop.now + delay, member.hear, 0, self._read, member, ticket, self._what)
            else:
                cluster.loop.at(cluster.loop.now + delay, member.hear, 0, self._submit, member, ticket, self._what)
        cluster.loop.at(cluster.loop.now + 500 * MS, self._timeout, call, self._tries)

    @staticmethod
    def _read(member: Member, ticket: Any, key: str) -> None:
        member.replica.read(member.now(), (ticket, key))

    @staticmethod
    def _submit(member: Member, ticket: Any, command: Command) -> None:
        member.replica.submit(member.now(), ticket, command)

    def _timeout(self, call: int, tries: int) -> None:
        if call == self._call and tries == self._tries and self._then is not None:
            self._target = self.rng.choice(self.cluster.names)
            self._send(call)

    def answered(self, call: int, tries: int, result: Any) -> None:
        """An answer has come."""
        if call != self._call or tries != self._tries or self._then is None:
            return
        if isinstance(result, Elsewhere):
            self._target = result.leader if result.leader and self.rng.random() < 0.9 else self.rng.choice(
                self.cluster.names)
            self._tries += 1   # a late answer to the try before counts no more
            self.cluster.loop.at(self.cluster.loop.now + self.rng.randrange(20 * MS, 60 * MS), self._send, call)
            return
        self._finish(result)

    def _finish(self, result: Any) -> None:
        then, self._then = self._then, None
        assert then is not None
        then(result)


class Writer(Client):
    """Puts, compares and sets, and reads records; every value is one of a kind."""

    def __init__(self, cluster: Cluster, name: str) -> None:
        self._seen: dict[str, tuple[Any, int]] = {}
        self._at = 0
        super().__init__(cluster, name)

    def next(self) -> None:
        """A new operation after a pause."""
        if self.cluster.loop.now < self.cluster.end:
            self.cluster.loop.at(self.cluster.loop.now + self.rng.randrange(10 * MS, 150 * MS), self._operate)

    def _operate(self) -> None:
        key = f"k{self.rng.randrange(self.cluster.settings.keys)}"
        self._at = self.cluster.loop.now
        kind = self.rng.random()
        if kind < 0.35:
            if self.rng.random() < 0.4:
                self._target = self.rng.choice(self.cluster.names)   # one that led before, perhaps
            self.ask(key, lambda result: self._was_read(key, result))
            return
        self.number += 1
        value = f"{self.name}-{self.number}".encode()
        conditions: tuple[Condition, ...] = ()
        expected = self._seen.get(key)
        if kind < 0.65 and expected is not None:
            conditions = (Condition(key, expected[1]),)
        command = Change(self.name, self.number, (Put(key, value),), conditions)
        self.ask(command, lambda result: self._was_put(key, value, expected if conditions else None, result))

    def _was_read(self, key: str, result: Any) -> None:
        if result is not None:
            self._seen[key] = result
            self.cluster.note(key, Op(self._at, self.cluster.loop.now, "get", None, result[0]))
        self.next()

    def _was_put(self, key: str, value: bytes, expected: tuple[Any, int] | None, result: Result | None) -> None:
        ended = None if result is None else self.cluster.loop.now
        if result is not None and result.why not in ("", "condition"):
            self.cluster.trouble.append(f"{self.name}: {result.why}")
            ended = None
        revision = result.revision if result is not None and result.done else 0
        if expected is None:
            self.cluster.note(key, Op(self._at, ended, "put", value, True, revision))
        else:
            done = result is not None and result.done
            self.cluster.note(key, Op(self._at, ended, "cas", (expected[0], value), done, revision))
        if result is not None and result.done:
            self._seen[key] = (value, result.revision)
            self.cluster.acknowledged += 1
        self.next()


class Holder(Client):
    """Wants the duty, holds it while it can, writes under its token, and stops now and then with all of it in hand."""

    def __init__(self, cluster: Cluster, name: str) -> None:
        self.held: Held | None = None
        self._sent = self._at = 0
        self._since = 0
        super().__init__(cluster, name)

    def next(self) -> None:
        """Acquire, renew, or write under the grant."""
        cluster = self.cluster
        if cluster.loop.now >= cluster.end:
            self._let_go()
            return
        wait = self.rng.randrange(50 * MS, 250 * MS)
        if self.rng.random() < 0.06:
            wait += int(self.rng.uniform(0.5, 3.0) * SECOND)   # stopped, and goes on as if nothing had been
        cluster.loop.at(cluster.loop.now + wait, self._act)

    def _act(self) -> None:
        self.number += 1
        self._sent, self._at = self.now(), self.cluster.loop.now
        held = self.held
        if held is None:
            self.ask(Acquire(self.name, self.number, DUTY, self.name, TTL_MS), self._acquired)
        elif self.rng.random() < 0.4:
            change = Change(self.name, self.number, (Put("guarded", f"{self.name}-{self.number}".encode()),),
                            (), Guard(DUTY, held.token))
            self.ask(change, lambda result: self._wrote(self._at, held.token, result))
        else:
            release = self.rng.random() < 0.1
            to = self.rng.choice(self.cluster.holder_names) if self.rng.random() < 0.1 else ""
            self.ask(Renew(self.name, self.number, DUTY, held.token, release, to), self._renewed)
            if release or to:
                self._let_go()   # it stops before it says so

    def _acquired(self, result: Result | None) -> None:
        if result is not None and result.done:
            held = self.cluster.parts.held(DUTY, result.token, TTL_MS, self._sent)
            if held.holds(self.now()):   # an answer to what was sent again may come when its lease is out
                self.held, self._since = held, self.cluster.loop.now
                self.cluster.grants += 1
            self.cluster.granted.append((self.cluster.loop.now, result.token))
        self.next()

    def _renewed(self, result: Result | None) -> None:
        if self.held is not None and result is not None:
            if result.done:
                self.held.renewed(self._sent)
            else:
                self._let_go()
        self._stop_if_out()
        self.next()

    def _wrote(self, called: int, token: int, result: Result | None) -> None:
        if result is not None and result.done:
            self.cluster.guarded.append((called, token, self.name))
        elif result is not None and result.why == "token":
            self.cluster.refused_tokens += 1
            self._let_go()
        self._stop_if_out()
        self.next()

    def _stop_if_out(self) -> None:
        if self.held is not None and not self.held.holds(self.now()):
            self._let_go()

    def _let_go(self) -> None:
        """It believed to hold the duty until its lease was out, or until now if that came first."""
        held, self.held = self.held, None
        if held is not None:
            until = min(self.cluster.loop.now, int(held.until / self.rate))
            self.cluster.holdings.append(Holding(DUTY, self.name, held.token, self._since, max(self._since, until)))


class Cluster:
    """One history."""

    def __init__(self, seed: int, settings: Settings | None = None, parts: Parts | None = None) -> None:
        self.seed = seed
        self.settings = settings = settings or Settings(members=5 if seed % 3 == 0 else 3)
        self.parts = parts or Parts()
        self.rng = random.Random(f"cluster {seed}")
        self.loop = Loop()
        self.links = Links(self.loop, self.rng)
        self.end = int(settings.seconds * SECOND)
        self.names = [f"m{index}" for index in range(settings.members)]
        self._spares = [f"m{settings.members + index}" for index in range(settings.spares)]
        self.ops: dict[str, list[Op]] = {}
        self.holdings: list[Holding] = []
        self.guarded: list[tuple[int, int, str]] = []     # called at, token, who: accepted ones
        self.granted: list[tuple[int, int]] = []          # answered at, token
        self.trouble: list[str] = []
        self.broken: list[str] = []
        self.acknowledged = self.grants = self.refused_tokens = self.elections = self.moves = 0
        self._leaders: dict[int, str] = {}
        self.hashes: dict[int, tuple[int, int]] = {}
        config = Config(tuple(self.names))
        self.members = {}
        for name in self.names:
            self.members[name] = Member(self, name, config)
        self._mode = MODES[seed % len(MODES)]
        self._loss = self.rng.choice([0.0, 0.0, 0.05, 0.2])
        self._copies = self.rng.choice([0.0, 0.1])
        self._spread = self.rng.choice([1, 1, 10, 60])
        self.holder_names = [f"d{index}" for index in range(settings.holders)]
        self.clients: dict[str, Client] = {f"c{index}": Writer(self, f"c{index}") for index in range(settings.clients)}
        for name in self.holder_names:
            self.clients[name] = Holder(self, name)
        self.loop.at(int(self.rng.uniform(0.2, 1.5) * SECOND), self._fault)

    # ---- What happens between members --------------------------------------------------------------------

    def send(self, source: str, target: str, message: Message) -> None:
        """A message on its way: lost, copied, late, in another order."""
        member = self.members.get(target)
        if member is None or self.rng.random() < self._loss:
            return
        for _ in range(2 if self.rng.random() < self._copies else 1):
            delay = self.rng.randrange(MS // 4, MS * self._spread)
            self.links.packets(source, target, delay, 100, member.hear, 0, member.deliver, source, message)

    def answer(self, member: Member, ticket: Any, result: Any) -> None:
        """An answer to a client; it may be lost."""
        if isinstance(ticket, tuple) and len(ticket) == 2:   # a read that must be asked again
            ticket = ticket[0]
        client, call, tries = ticket
        if self.rng.random() >= self._loss:
            self.loop.at(self.loop.now + self.rng.randrange(MS // 2, 3 * MS), client.answered, call, tries, result)

    def note(self, key: str, op: Op) -> None:
        """An operation for the judge."""
        self.ops.setdefault(key, []).append(op)

    def leads(self, term: int, name: str) -> None:
        """Two leaders of one term must not be."""
        if (term not in self._leaders and self._mode == "leaders"
                and self.loop.now < self.end - int((self.settings.calm_s + 0.5) * SECOND) and self.rng.random() < 0.6):
            wait = self.rng.choice([3, 20, 150, 400]) * MS
            self.loop.at(self.loop.now + wait, self.rng.choice((self._crash, self._isolate, self._stop)),
                         self.members[name])
        if self._leaders.setdefault(term, name) != name:
            self.broken.append(f"two leaders of term {term}: {self._leaders[term]} and {name}")
        self.elections = len(self._leaders)

    def applied(self, member: Member) -> None:
        """Members that have applied as much must have the same state."""
        index = member.replica.core.applied
        state = member.replica.state
        seen = (state.revision, hash(tuple((key, record.value, record.revision)
                                           for key, record in sorted(state.records.items()))))
        if self.hashes.setdefault(index, seen) != seen:
            self.broken.append(f"states differ at entry {index}")

    # ---- Faults ------------------------------------------------------------------------------------------

    def _fault(self) -> None:
        if self.loop.now > self.end - int(self.settings.calm_s * SECOND):
            self._calm()
            return
        kind = self.rng.choice(FAULTS)
        if self._mode == "members" and self.rng.random() < 0.5:
            kind = "members"
        getattr(self, "_" + kind)()
        gap = self.settings.fault_gap_s * self.rng.uniform(0.3, 1.7)
        self.loop.at(self.loop.now + int(gap * SECOND), self._fault)

    def fragile(self, moved: bool) -> bool:
        """Whether a process ends at this very point: likelier where a term or a vote was written."""
        if self._mode != "points" or self.loop.now > self.end - int(self.settings.calm_s * SECOND):
            return False
        return self.rng.random() < (0.12 if moved else 0.01)

    def _some(self) -> Member:
        return self.members[self.rng.choice(self.names)]

    def _later(self, call: Callable[..., None], *args: Any) -> None:
        self.loop.at(self.loop.now + int(self.rng.uniform(0.1, 2.5) * SECOND), call, *args)

    def _crash(self, member: Member | None = None) -> None:
        for one in [member or self._some(), *(self.members.values() if self.rng.random() < 0.1 else ())]:
            if one.alive:
                one.crash()
                self._later(self._restart, one)

    def _restart(self, member: Member) -> None:
        if not member.alive:
            member.start()

    def _leader(self) -> None:
        """The leader falls, just now."""
        leaders = [member for member in self.members.values() if member.alive and member.replica.core.role == LEADER]
        if leaders:
            member = self.rng.choice(leaders)
            self.rng.choice((self._crash, self._stop, self._isolate))(member)

    def _stop(self, member: Member | None = None) -> None:
        (member or self._some()).stopped_until = self.loop.now + int(self.rng.uniform(0.1, 3.0) * SECOND)

    def _slow(self) -> None:
        member = self._some()
        member.slow = self.rng.choice([1.0, 20.0, 100.0])

    def _cut(self) -> None:
        one, other = self.rng.sample(self.names, 2)
        self._way(one, other, 1)
        self._later(self._way, one, other, -1)
        if self.rng.random() < 0.6:
            self._way(other, one, 1)
            self._later(self._way, other, one, -1)

    def _way(self, one: str, other: str, by: int) -> None:
        link = self.links.way(one, other)
        link.cut = max(0, link.cut + by)
        self.links.settle(one, other)

    def _isolate(self, member: Member | None = None) -> None:
        name = (member or self._some()).name
        for other in self.names:
            if other != name:
                for pair in ((name, other), (other, name)):
                    self._way(*pair, 1)
                    self._later(self._way, *pair, -1)

    def _at_leader(self) -> Member | None:
        return next((member for member in self.members.values()
                     if member.alive and member.replica.core.role == LEADER), None)

    def _transfer(self) -> None:
        leader = self._at_leader()
        if leader is not None:
            leader.hear(0, leader.replica.core.transfer, leader.now(), self.rng.choice(self.names))

    def _compact(self) -> None:
        member = self._some()
        member.hear(0, member.replica.compact)

    def _members(self) -> None:
        """One step: a spare comes as a learner, or a voter goes."""
        leader = self._at_leader()
        if leader is None:
            return
        config = leader.replica.core.config
        if self.rng.random() < 0.2:   # more than a step: a member has to refuse it
            names = self.rng.sample(self.names, self.rng.randrange(1, 4))
            wanted = Config(tuple(names))
        elif self._spares and self.rng.random() < 0.5 and not config.learners:
            name = self._spares.pop()
            if name not in self.members:
                self.members[name] = Member(self, name, Config())
                self.names.append(name)
            wanted = Config(config.voters, (name,))
        elif len(config.voters) > 2:
            gone = self.rng.choice(config.voters)
            wanted = Config(tuple(name for name in config.voters if name != gone), config.learners)
            if self.rng.random() < 0.5:
                self._spares.append(gone)
        else:
            return
        self.moves += 1
        leader.hear(0, leader.replica.reconfigure, leader.now(), wanted)

    def _calm(self) -> None:
        """Faults end: from now on the store must come back."""
        self._loss = 0.0
        for one in self.names:
            for other in self.names:
                self._way(one, other, -1000)
        for member in self.members.values():
            member.slow = 1.0
            self._restart(member)
            member.stopped_until = min(member.stopped_until, self.loop.now + SECOND // 2)

    def run(self) -> Cluster:
        """The whole history."""
        for second in range(1, int(self.end / SECOND) + 8):
            self.loop.run(second * SECOND)
            if self.loop.count > MOST_EVENTS:
                self.broken.append("it does not come to rest")
                break
        return self
