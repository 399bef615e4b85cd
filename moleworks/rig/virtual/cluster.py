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

from moleworks.store.core import LEADER, Timers
from moleworks.store.messages import Config, Message

from ..linear import Holding, Op
from .callers import Client, Holder, Writer
from .loop import Links, Loop
from .members import MS, SECOND, Member, Parts

MOST_EVENTS = 300_000
"""A history has some ten thousand; one with so many will never end."""


FAULTS = ("crash", "crash", "stop", "cut", "cut", "isolate", "slow", "transfer", "members", "compact", "leader",
          "leader")
MODES = ("mixed", "leaders", "points", "members", "stale", "splits")
"""What a history dwells on, by its seed: leaders that fall as soon as they lead, processes that end at the points where
something is written or said, members that change, readers of a leader that was stopped or cut off, members that are
split in two with the leader in the smaller part."""


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


class Cluster:
    """One history."""

    def __init__(self, seed: int, settings: Settings | None = None, parts: Parts | None = None) -> None:
        self.seed = seed
        self.settings = settings = settings or Settings(members=5 if seed % 3 == 0 else 3)
        self.parts = parts or Parts()
        self.rng = random.Random(f"cluster {seed}")
        self.fallen = ""                                  # the leader that was stopped or cut off last
        self.mode = MODES[seed % len(MODES)]
        self.timers = Timers(batch=self.rng.choice([1, 2, 512]), piece=self.rng.choice([200, 256 * 1024]))
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
        self.hashes: dict[int, tuple[int | None, int, int]] = {}
        config = Config(tuple(self.names))
        self.members = {}
        for name in self.names:
            self.members[name] = Member(self, name, config)
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
        if (term not in self._leaders and self.mode == "leaders"
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
        seen = (member.replica.core.log.term(index), state.revision, hash(tuple((key, record.value, record.revision)
                                           for key, record in sorted(state.records.items()))))
        if self.hashes.setdefault(index, seen) != seen:
            self.broken.append(f"states differ at entry {index}")

    # ---- Faults ------------------------------------------------------------------------------------------

    def _fault(self) -> None:
        if self.loop.now > self.end - int(self.settings.calm_s * SECOND):
            self._calm()
            return
        kind = self.rng.choice(FAULTS)
        if self.mode == "members" and self.rng.random() < 0.5:
            kind = "members"
        elif self.mode == "stale" and self.rng.random() < 0.6:
            kind = "leader"
        elif self.mode == "splits" and self.rng.random() < 0.6:
            kind = "split"
        getattr(self, "_" + kind)()
        gap = self.settings.fault_gap_s * self.rng.uniform(0.3, 1.7)
        self.loop.at(self.loop.now + int(gap * SECOND), self._fault)

    def fragile(self, moved: bool) -> bool:
        """Whether a process ends at this very point: likelier where a term or a vote was written."""
        if self.mode != "points" or self.loop.now > self.end - int(self.settings.calm_s * SECOND):
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
            self.fallen = member.name
            falls = (self._stop, self._isolate) if self.mode == "stale" else (self._crash, self._stop, self._isolate)
            self.rng.choice(falls)(member)

    def _split(self) -> None:
        """Two parts that do not hear each other: the leader in the smaller one, with what nobody else will commit."""
        leader = self._at_leader()
        names = [name for name in self.names if leader is None or name != leader.name]
        self.rng.shuffle(names)
        small = names[:max(0, (len(self.names) - 1) // 2 - 1)] + ([leader.name] if leader is not None else [])
        for one in small:
            for other in self.names:
                if other not in small:
                    for pair in ((one, other), (other, one)):
                        self._way(*pair, 1)
                        self._later(self._way, *pair, -1)
        if self.rng.random() < 0.5:
            self._later(self._late_crash)

    def _late_crash(self) -> None:
        """The part that was smaller has just been told what it has to take back; not in the calm any more."""
        if self.loop.now <= self.end - int(self.settings.calm_s * SECOND):
            self._crash()

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
            self.loop.run(second * SECOND, MOST_EVENTS)
            if self.loop.count >= MOST_EVENTS:
                self.broken.append("it does not come to rest")
                break
        return self
