"""The store in virtual time under random faults: members, disks, clients, and the recorded history.

Each seed gives one history.  Members crash and lose unsynced data, are suspended and resumed, are cut off in one
direction or both, and join and leave; messages are lost, duplicated and reordered; clock rates differ from the true
rate by up to 1 in 100; leadership is transferred and logs are compacted meanwhile.  Clients change and read records,
hold a duty, and resend requests without a reply.
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

MAX_EVENTS = 300_000
"""A history has about ten thousand events; one that reaches this limit does not terminate."""


FAULTS = ("crash", "crash", "stop", "cut", "cut", "isolate", "slow", "transfer", "members", "compact", "leader",
          "leader")
MODES = ("mixed", "leaders", "points", "members", "stale", "splits")
"""The emphasis of a history, chosen by its seed: leaders that fail as soon as they are elected, processes that crash at
the points where they write or send, membership changes, reads from a leader that was suspended or cut off, network
partitions with the leader in the minority."""


class Settings(Struct):
    """The size of a history."""

    members: int = 3
    spares: int = 2
    clients: int = 3
    holders: int = 2
    keys: int = 2
    seconds: float = 9.0
    calm_s: float = 4.0            # at the end, without faults: every request must succeed by then
    fault_gap_s: float = 0.35
    compact_entries: int = 60


class Cluster:
    """One history of the store."""

    def __init__(self, seed: int, settings: Settings | None = None, parts: Parts | None = None) -> None:
        self.seed = seed
        self.settings = settings = settings or Settings(members=5 if seed % 3 == 0 else 3)
        self.parts = parts or Parts()
        self.rng = random.Random(f"cluster {seed}")
        self.last_failed_leader = ""                      # name of the leader that a fault hit last
        self.mode = MODES[seed % len(MODES)]
        self.timers = Timers(batch=self.rng.choice([1, 2, 512]), piece=self.rng.choice([200, 256 * 1024]))
        self.loop = Loop()
        self.links = Links(self.loop, self.rng)
        self.end = int(settings.seconds * SECOND)
        self.names = [f"m{index}" for index in range(settings.members)]
        self._spares = [f"m{settings.members + index}" for index in range(settings.spares)]
        self.ops: dict[str, list[Op]] = {}
        self.holdings: list[Holding] = []
        self.guarded_writes: list[tuple[int, int, str]] = []   # accepted writes: call time, token, client
        self.granted_tokens: list[tuple[int, int]] = []        # reply time, token
        self.unexpected_results: list[str] = []
        self.broken: list[str] = []
        self.acknowledged = self.grants = self.refused_tokens = self.elections = self.reconfigurations = 0
        self._leader_by_term: dict[int, str] = {}
        self.state_hashes: dict[int, tuple[int | None, int, int]] = {}
        config = Config(tuple(self.names))
        self.members = {}
        for name in self.names:
            self.members[name] = Member(self, name, config)
        self._loss_probability = self.rng.choice([0.0, 0.0, 0.05, 0.2])
        self._duplicate_probability = self.rng.choice([0.0, 0.1])
        self._max_delay_ms = self.rng.choice([1, 1, 10, 60])
        self.holder_names = [f"d{index}" for index in range(settings.holders)]
        self.clients: dict[str, Client] = {f"c{index}": Writer(self, f"c{index}") for index in range(settings.clients)}
        for name in self.holder_names:
            self.clients[name] = Holder(self, name)
        self.loop.call_at(int(self.rng.uniform(0.2, 1.5) * SECOND), self._inject_fault)

    # ---- Messages and checks -----------------------------------------------------------------------------

    def send(self, source: str, target: str, message: Message) -> None:
        """Send a message between members; it may be lost, duplicated, delayed or reordered."""
        member = self.members.get(target)
        if member is None or self.rng.random() < self._loss_probability:
            return
        for _ in range(2 if self.rng.random() < self._duplicate_probability else 1):
            delay = self.rng.randrange(MS // 4, MS * self._max_delay_ms)
            self.links.send_datagram(source, target, delay, 100, member.invoke, 0, member.deliver, source, message)

    def send_result(self, member: Member, ticket: Any, result: Any) -> None:
        """Send a result to a client; it may be lost."""
        if isinstance(ticket, tuple) and len(ticket) == 2:   # a read that the client must send again
            ticket = ticket[0]
        client, call, attempt = ticket
        if self.rng.random() >= self._loss_probability:
            self.loop.call_at(self.loop.now + self.rng.randrange(MS // 2, 3 * MS), client.on_result, call, attempt,
                              result)

    def record_operation(self, key: str, op: Op) -> None:
        """Record an operation for the linearizability check."""
        self.ops.setdefault(key, []).append(op)

    def on_leader(self, term: int, name: str) -> None:
        """Check that a term has only one leader; in mode "leaders" a new leader often fails soon after."""
        if (term not in self._leader_by_term and self.mode == "leaders"
                and self.loop.now < self.end - int((self.settings.calm_s + 0.5) * SECOND) and self.rng.random() < 0.6):
            wait = self.rng.choice([3, 20, 150, 400]) * MS
            self.loop.call_at(self.loop.now + wait, self.rng.choice((self._crash, self._isolate, self._stop)),
                              self.members[name])
        if self._leader_by_term.setdefault(term, name) != name:
            self.broken.append(f"two leaders of term {term}: {self._leader_by_term[term]} and {name}")
        self.elections = len(self._leader_by_term)

    def check_applied(self, member: Member) -> None:
        """Check that members that have applied the same entries have the same state."""
        index = member.replica.core.applied
        state = member.replica.state
        summary = (member.replica.core.log.term(index), state.revision, hash(tuple((key, record.value, record.revision)
                                           for key, record in sorted(state.records.items()))))
        if self.state_hashes.setdefault(index, summary) != summary:
            self.broken.append(f"states differ at entry {index}")

    # ---- Faults ------------------------------------------------------------------------------------------

    def _inject_fault(self) -> None:
        if self.loop.now > self.end - int(self.settings.calm_s * SECOND):
            self._end_faults()
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
        self.loop.call_at(self.loop.now + int(gap * SECOND), self._inject_fault)

    def crashes_now(self, vote_changed: bool) -> bool:
        """Whether a process crashes at this point, which is likelier where a term or a vote was written."""
        if self.mode != "points" or self.loop.now > self.end - int(self.settings.calm_s * SECOND):
            return False
        return self.rng.random() < (0.12 if vote_changed else 0.01)

    def _random_member(self) -> Member:
        return self.members[self.rng.choice(self.names)]

    def _call_later(self, call: Callable[..., None], *args: Any) -> None:
        self.loop.call_at(self.loop.now + int(self.rng.uniform(0.1, 2.5) * SECOND), call, *args)

    def _crash(self, member: Member | None = None) -> None:
        for victim in [member or self._random_member(), *(self.members.values() if self.rng.random() < 0.1 else ())]:
            if victim.alive:
                victim.crash()
                self._call_later(self._restart, victim)

    def _restart(self, member: Member) -> None:
        if not member.alive:
            member.start()

    def _leader(self) -> None:
        """Crash, suspend or isolate the current leader."""
        leaders = [member for member in self.members.values() if member.alive and member.replica.core.role == LEADER]
        if leaders:
            member = self.rng.choice(leaders)
            self.last_failed_leader = member.name
            faults = (self._stop, self._isolate) if self.mode == "stale" else (self._crash, self._stop, self._isolate)
            self.rng.choice(faults)(member)

    def _split(self) -> None:
        """Partition the members, with the leader in the minority, where its new entries cannot be committed."""
        leader = self._current_leader()
        names = [name for name in self.names if leader is None or name != leader.name]
        self.rng.shuffle(names)
        minority = names[:max(0, (len(self.names) - 1) // 2 - 1)] + ([leader.name] if leader is not None else [])
        for one in minority:
            for other in self.names:
                if other not in minority:
                    for pair in ((one, other), (other, one)):
                        self._change_cuts(*pair, 1)
                        self._call_later(self._change_cuts, *pair, -1)
        if self.rng.random() < 0.5:
            self._call_later(self._delayed_crash)

    def _delayed_crash(self) -> None:
        """Crash a member when a former minority must truncate its log, but not in the final phase without faults."""
        if self.loop.now <= self.end - int(self.settings.calm_s * SECOND):
            self._crash()

    def _stop(self, member: Member | None = None) -> None:
        (member or self._random_member()).suspended_until = self.loop.now + int(self.rng.uniform(0.1, 3.0) * SECOND)

    def _slow(self) -> None:
        member = self._random_member()
        member.sync_factor = self.rng.choice([1.0, 20.0, 100.0])

    def _cut(self) -> None:
        one, other = self.rng.sample(self.names, 2)
        self._change_cuts(one, other, 1)
        self._call_later(self._change_cuts, one, other, -1)
        if self.rng.random() < 0.6:
            self._change_cuts(other, one, 1)
            self._call_later(self._change_cuts, other, one, -1)

    def _change_cuts(self, one: str, other: str, change: int) -> None:
        link = self.links.link(one, other)
        link.cut = max(0, link.cut + change)
        self.links.on_faults_changed(one, other)

    def _isolate(self, member: Member | None = None) -> None:
        name = (member or self._random_member()).name
        for other in self.names:
            if other != name:
                for pair in ((name, other), (other, name)):
                    self._change_cuts(*pair, 1)
                    self._call_later(self._change_cuts, *pair, -1)

    def _current_leader(self) -> Member | None:
        return next((member for member in self.members.values()
                     if member.alive and member.replica.core.role == LEADER), None)

    def _transfer(self) -> None:
        leader = self._current_leader()
        if leader is not None:
            leader.invoke(0, leader.replica.core.transfer, leader.now(), self.rng.choice(self.names))

    def _compact(self) -> None:
        member = self._random_member()
        member.invoke(0, member.replica.compact)

    def _members(self) -> None:
        """Change the members by one step: add a spare as a learner, or remove a voter."""
        leader = self._current_leader()
        if leader is None:
            return
        config = leader.replica.core.config
        if self.rng.random() < 0.2:   # more than one step: a member must refuse it
            names = self.rng.sample(self.names, self.rng.randrange(1, 4))
            wanted = Config(tuple(names))
        elif self._spares and self.rng.random() < 0.5 and not config.learners:
            name = self._spares.pop()
            if name not in self.members:
                self.members[name] = Member(self, name, Config())
                self.names.append(name)
            wanted = Config(config.voters, (name,))
        elif len(config.voters) > 2:
            removed = self.rng.choice(config.voters)
            wanted = Config(tuple(name for name in config.voters if name != removed), config.learners)
            if self.rng.random() < 0.5:
                self._spares.append(removed)
        else:
            return
        self.reconfigurations += 1
        leader.invoke(0, leader.replica.reconfigure, leader.now(), wanted)

    def _end_faults(self) -> None:
        """End all faults; from now on the store must recover."""
        self._loss_probability = 0.0
        for one in self.names:
            for other in self.names:
                self._change_cuts(one, other, -1000)
        for member in self.members.values():
            member.sync_factor = 1.0
            self._restart(member)
            member.suspended_until = min(member.suspended_until, self.loop.now + SECOND // 2)

    def run(self) -> Cluster:
        """Play the complete history."""
        for second in range(1, int(self.end / SECOND) + 8):
            self.loop.run(second * SECOND, MAX_EVENTS)
            if self.loop.events_handled >= MAX_EVENTS:
                self.broken.append("the history does not terminate")
                break
        return self
