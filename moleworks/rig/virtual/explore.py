"""Exhaustive search of the states of a small store cluster: every order of events, within a budget.

Three members, some writes, timeouts, one crash and one cut.  Links keep the order of messages.  A member with a pending
write completes it or crashes before any other event.  Checked in each state: each term has one leader, no entry is
committed twice with different content, and every new leader has all committed entries.
"""

from __future__ import annotations

import pickle
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from msgspec import Struct

from moleworks.store.core import CANDIDATE, LEADER, Core, Write
from moleworks.store.log import Log, Snapshot
from moleworks.store.messages import Config, Message

from .members import Disk

NAMES = ("a", "b", "c")
LONG_AGO = -(10 ** 15)


class Budget(Struct, frozen=True):
    """How often each event may happen."""

    timeouts: int = 2
    writes: int = 2
    crashes: int = 1
    cuts: int = 1


class Found(Struct):
    """The result of a search."""

    states: int
    steps: int
    seconds: float
    whole: bool             # every state within the budget was visited
    broken: str = ""
    path: list[str] = []


class _FixedRandom:
    """Replaces the random generator: the search itself chooses the timeouts."""

    def uniform(self, low: float, high: float) -> float:
        return low


class World:
    """One state: members, disks, messages in flight, the remaining budget, and all entries ever committed."""

    def __init__(self, budget: Budget, core: type[Core]) -> None:
        self.budget_left = [budget.timeouts, budget.writes, budget.crashes, budget.cuts]
        config = Config(NAMES)
        self.disks = {name: Disk(config) for name in NAMES}
        self.cores = {name: core(name, Log(Snapshot(0, 0, config, b"")), 0, "",
                                 _FixedRandom(), 0)   # type: ignore[arg-type]
                      for name in NAMES}
        self.writes: dict[str, Write | None] = dict.fromkeys(NAMES)
        self.links: dict[tuple[str, str], list[Message]] = {}
        self.isolated = ""
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, tuple[int, bytes]] = {}

    # ---- Events ------------------------------------------------------------------------------------------

    def actions(self) -> list[tuple[Any, ...]]:
        """All events that are possible next."""
        busy = next((name for name in NAMES if self.writes[name] is not None), None)
        if busy is not None:
            return [("written", busy)] + ([("crash", busy)] if self.budget_left[2] else [])
        found: list[tuple[Any, ...]] = [("deliver", *pair) for pair in sorted(self.links)]
        for name in NAMES:
            core = self.cores[name]
            if core.role == LEADER:
                if self.budget_left[1]:
                    found.append(("propose", name))
            elif self.budget_left[0]:
                found.append(("timeout", name))
            if self.budget_left[2]:
                found.append(("crash", name))
            if self.budget_left[3] and not self.isolated:
                found.append(("cut", name))
        return found

    def act(self, action: tuple[Any, ...], sync: Callable[[Disk, Write], None]) -> None:
        """Perform one event."""
        kind, name = action[0], action[1]
        core = self.cores[name]
        if kind == "written":
            write, self.writes[name] = self.writes[name], None
            assert write is not None
            sync(self.disks[name], write)
            core.on_written(0, write)
        elif kind == "deliver":
            queue = self.links[name, action[2]]
            message = queue.pop(0)
            if not queue:
                del self.links[name, action[2]]
            name = action[2]
            self.cores[name].on_message(0, action[1], message)
        elif kind == "propose":
            self.budget_left[1] -= 1
            core.propose(0, f"w{self.budget_left[1]}".encode())
        elif kind == "timeout":
            self.budget_left[0] -= 1
            for other in self.cores.values():
                other._leader_contact_at = LONG_AGO   # time passes for all members, so they may grant a vote now
            core.tick(0)
        elif kind == "crash":
            self.budget_left[2] -= 1
            self.writes[name] = None
            disk = self.disks[name]
            fresh = type(core)(name, disk.log(), disk.term, disk.vote, _FixedRandom(), 0)   # type: ignore[arg-type]
            fresh._leader_contact_at = LONG_AGO
            self.cores[name] = fresh
        else:
            self.budget_left[3] -= 1
            self.isolated = name
            self.links = {pair: queue for pair, queue in self.links.items() if name not in pair}
        self._drain(name)

    def _drain(self, name: str) -> None:
        core = self.cores[name]
        out = core.take_output()
        if out.write is not None:
            self.writes[name] = out.write
        for to, message in out.send:
            if self.isolated not in (name, to):
                queue = self.links.setdefault((name, to), [])
                if not queue or queue[-1] != message:
                    queue.append(message)

    # ---- Invariants --------------------------------------------------------------------------------------

    def find_violation(self) -> str:
        """The first violated invariant; empty: none."""
        for name, core in self.cores.items():
            for index in range(1, core.commit + 1):
                entry = core.log.get(index)
                if self.committed.setdefault(index, (entry.term, entry.data)) != (entry.term, entry.data):
                    return f"entry {index} was committed twice, differently"
            if core.role == LEADER:
                if self.leaders.setdefault(core.term, name) != name:
                    return f"two leaders of term {core.term}"
                for index, (term, _) in self.committed.items():
                    if core.log.term(index) != term and core.term > term:
                        return f"the leader of term {core.term} lacks entry {index}, which was committed"
        return ""

    def key(self) -> bytes:
        """A key of the state; states with equal keys have the same successors."""
        cores = []
        for core in self.cores.values():
            peers = tuple((peer.next, peer.match, peer.probing, peer.inflight, peer.round)
                          for peer in core._peers.values()) if core.role == LEADER else ()
            votes = tuple(sorted(core._votes.items())) if core.role in (CANDIDATE, "pre-candidate") else ()
            cores.append((core.role, core.leader, core.term, core.vote, core.commit, core._durable, core._durable_vote,
                          core._leader_contact_at < 0, core._round if peers else 0, peers, votes,
                          tuple(core._send_after_write),
                          tuple((entry.term, entry.data) for entry in core.log._entries)))
        disks = tuple((disk.term, disk.vote, tuple((entry.index, entry.term) for entry in disk.entries.values()))
                      for disk in self.disks.values())
        links = tuple(sorted((pair, tuple(queue)) for pair, queue in self.links.items()))
        writes = tuple(None if write is None else (write.term, write.vote, write.cut, tuple(write.entries))
                       for write in self.writes.values())
        return pickle.dumps((cores, disks, links, writes, self.budget_left, self.isolated,
                             sorted(self.committed.items()), sorted(self.leaders.items())))


def search(budget: Budget, core: type[Core] = Core, sync: Callable[[Disk, Write], None] = Disk.sync,
           max_states: int = 500_000, max_s: float = 600.0) -> Found:
    """Search breadth first, so that the path to a violation is a shortest one."""
    started_at = time.perf_counter()
    initial = World(budget, core)
    visited = {hash(initial.key())}
    queue: deque[tuple[bytes, tuple[str, ...]]] = deque([(pickle.dumps(initial), ())])
    steps = 0
    while queue:
        if len(visited) >= max_states or time.perf_counter() - started_at > max_s:
            return Found(len(visited), steps, time.perf_counter() - started_at, False)
        image, path = queue.popleft()
        for action in pickle.loads(image).actions():
            world: World = pickle.loads(image)
            world.act(action, sync)
            steps += 1
            path_to_state = (*path, " ".join(action))
            if violation := world.find_violation():
                return Found(len(visited), steps, time.perf_counter() - started_at, False, violation,
                             list(path_to_state))
            key = hash(world.key())
            if key not in visited:
                visited.add(key)
                queue.append((pickle.dumps(world), path_to_state))
    return Found(len(visited), steps, time.perf_counter() - started_at, True)
