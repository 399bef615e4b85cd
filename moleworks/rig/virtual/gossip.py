"""Members of a gossip group in virtual time under faults, and the checks of their shared state.

Each seed gives one history.  Datagrams are lost, delayed, duplicated and reordered; the group is partitioned in both
directions or one; members are suspended, end for good, or restart under their names without state.  Clock rates
differ from the true rate by up to 1 in 100.
"""

from __future__ import annotations

import bisect
import random
from typing import Any

from msgspec import Struct

from moleworks.gossip.core import Core
from moleworks.gossip.messages import ALIVE, DEAD, Digest, DigestRequest, Message, Rumor, pack, unpack
from moleworks.gossip.values import NEVER_NS

from .loop import Links, Loop

MS = 1_000_000
SECOND = 1000 * MS
FLEET_ID = 7
MAX_CONVERGENCE_NS = 30 * SECOND
"""The time to converge after the end: at a loss of 30%, members may still be suspected dead when the history ends."""
FAULTS = ("cut", "cut", "one_way", "stop", "end", "reborn", "reborn")


class Settings(Struct):
    """The size and the conditions of a history."""

    members: int = 5
    seconds: float = 40.0
    calm_s: float = 25.0
    loss: float = -1.0           # probability; -1: drawn at random
    faults: bool = True
    writes_per_s: float = 0.5    # for each owner
    core: type[Core] = Core


class Node:
    """The process, clock and network access of one member."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet, self.name = fleet, name
        self.clock_rate = 1.0 + fleet.rng.uniform(-0.01, 0.01)
        self._offset = fleet.rng.randrange(10 * SECOND)
        self.incarnation = 0
        self.alive = False
        self.suspended_until = 0
        self.sent_bytes = 0
        self.core: Core
        self.start()

    def now(self) -> int:
        """The time of the member's own clock, ns."""
        return self._offset + int(self.fleet.loop.now * self.clock_rate)

    def start(self) -> None:
        """Start a process that has only its name and seed members."""
        fleet = self.fleet
        self.incarnation += 1
        self.alive = True
        rng = random.Random(fleet.rng.getrandbits(32))
        self.core = fleet.settings.core(self.name, self.name, self.now(), rng, self._send)
        seeds = fleet.rng.sample(fleet.names, min(3, len(fleet.names)))
        self.core.join(self.now(), [(seed, seed) for seed in seeds])
        for key in ("k0", "k1"):
            self.put(key)
        self._on_timer(self.incarnation)

    def put(self, key: str) -> None:
        """Write a new value: a number that increases over all incarnations of the name."""
        number = self.fleet.record_write(self.name, key)
        self.core.values.put(key, str(number).encode())

    def _on_timer(self, incarnation: int) -> None:
        if not self.alive or incarnation != self.incarnation:
            return
        fleet = self.fleet
        if self.suspended_until > fleet.loop.now:
            fleet.loop.call_at(self.suspended_until, self._on_timer, incarnation)
            return
        self.core.tick(self.now())
        wait = max(MS, int((self.core.next_tick_at - self.now()) / self.clock_rate))
        fleet.loop.call_at(fleet.loop.now + wait, self._on_timer, incarnation)

    def _send(self, address: str, message: Message) -> None:
        data = pack(FLEET_ID, message)
        self.sent_bytes += len(data) + 28
        fleet = self.fleet
        node = fleet.nodes.get(address)
        if node is None:
            return
        assert len(data) <= 1400, (type(message), len(data))
        if fleet.rng.random() < fleet.loss:
            return
        copies = 2 if fleet.rng.random() < 0.02 else 1
        for _ in range(copies):
            delay = fleet.rng.randrange(MS // 4, 3 * MS)
            if fleet.settings.faults and fleet.rng.random() < 0.03:
                delay += fleet.rng.randrange(SECOND)
            fleet.links.send_datagram(self.name, address, delay, len(data), node.receive, self.name, data,
                                      node.incarnation)

    def receive(self, source: str, data: bytes, incarnation: int) -> None:
        """Handle a datagram."""
        if not self.alive:
            return
        if self.suspended_until > self.fleet.loop.now:
            self.fleet.loop.call_at(self.suspended_until, self.receive, source, data, incarnation)
            return
        self.core.on_message(self.now(), source, unpack(FLEET_ID, data))


class Fleet:
    """One history of a gossip group."""

    def __init__(self, seed: int, settings: Settings) -> None:
        self.settings = settings
        self.rng = random.Random(f"gossip {seed}")
        self.loop = Loop()
        self.links = Links(self.loop, self.rng)
        self.loss = settings.loss if settings.loss >= 0 else self.rng.choice((0.0, 0.0, 0.1, 0.3))
        self.names = [f"g{index}" for index in range(settings.members)]
        self.nodes: dict[str, Node] = {}
        self.end = int(settings.seconds * SECOND)
        self.broken: list[str] = []
        self.convergence_s = 0.0
        self.last_numbers: dict[str, int] = {}
        self.writes: dict[tuple[str, str], list[tuple[int, int]]] = {}    # by owner and key: time, number
        self.ended_at: dict[str, int] = {}              # by member that ended for good: time
        self.disturbed_until: dict[str, int] = {}       # by member cut off, suspended or restarted: end of recovery
        self.checked = 0
        self.ages: list[float] = []
        self.false_alarms = 0
        self.detection_s: list[float] = []
        self._seen_dead: set[tuple[str, str]] = set()
        for name in self.names:
            self.nodes[name] = Node(self, name)
        self.loop.call_at(SECOND, self._write)
        self.loop.call_at(2 * SECOND, self._check_all)
        if settings.faults:
            self.loop.call_at(int(self.rng.uniform(2, 6) * SECOND), self._inject_fault)

    def record_write(self, owner: str, key: str) -> int:
        """Record that an owner writes a key now; returns the number to write."""
        number = self.last_numbers[owner] = self.last_numbers.get(owner, 0) + 1
        self.writes.setdefault((owner, key), []).append((self.loop.now, number))
        return number

    def _in_final_phase(self) -> bool:
        return self.loop.now > self.end - int(self.settings.calm_s * SECOND)

    def _write(self) -> None:
        node = self.nodes[self.rng.choice(self.names)]
        if node.alive and node.suspended_until <= self.loop.now:
            node.put(f"k{self.rng.randrange(2)}")
        if self.loop.now < self.end - 8 * SECOND:
            gap = 1 / (self.settings.writes_per_s * len(self.names))
            self.loop.call_at(self.loop.now + int(self.rng.expovariate(1 / gap) * SECOND) + MS, self._write)

    # ---- Checks ------------------------------------------------------------------------------------------

    def _check_all(self) -> None:
        """Compare the ages of values that members report with the times of the writes."""
        for node in self.nodes.values():
            if node.alive and node.suspended_until <= self.loop.now:
                for owner in self.rng.sample(self.names, min(8, len(self.names))):
                    self._check_ages(node, owner)
                self._check_membership(node)
        if self.loop.now < self.end:
            self.loop.call_at(self.loop.now + self.rng.randrange(100 * MS, 400 * MS), self._check_all)

    def _check_ages(self, node: Node, owner: str) -> None:
        age_ns = node.core.values.age(node.now(), owner)
        if owner == node.name or age_ns > 1000 * SECOND:
            return
        self.checked += 1
        self.ages.append(age_ns / 1e9)
        for key in ("k0", "k1"):
            key_writes = self.writes.get((owner, key), [])
            at = bisect.bisect_right(key_writes, (self.loop.now - age_ns, 1 << 62)) - 1
            if at < 0:
                continue
            entry = node.core.values.owners[owner].entries.get(key)
            seen = int(entry.value or b"0") if entry is not None else 0
            if seen < key_writes[at][1]:
                self.broken.append(f"{node.name} has {owner}'s {key} as {seen} and says it is "
                                   f"{age_ns / 1e9:.2f} s old at most; {key_writes[at][1]} was written "
                                   f"{(self.loop.now - key_writes[at][0]) / 1e9:.2f} s ago")

    def _check_membership(self, node: Node) -> None:
        for name, peer in node.core.peers.items():
            if peer.state == DEAD and (node.name, name) not in self._seen_dead:
                self._seen_dead.add((node.name, name))
                if name in self.ended_at:
                    self.detection_s.append((self.loop.now - self.ended_at[name]) / 1e9)
                elif (self.disturbed_until.get(name, 0) < self.loop.now
                      and self.disturbed_until.get(node.name, 0) < self.loop.now):
                    self.false_alarms += 1
            elif peer.state == ALIVE:
                self._seen_dead.discard((node.name, name))

    # ---- Faults ------------------------------------------------------------------------------------------

    def _inject_fault(self) -> None:
        if self._in_final_phase():
            self._end_faults()
            return
        kind = self.rng.choice(FAULTS)
        names = self.rng.sample(self.names, max(1, len(self.names) // 2))
        duration_ns = int(self.rng.uniform(1, 8) * SECOND)
        until = self.loop.now + duration_ns + 20 * SECOND
        if kind in ("cut", "one_way"):
            for one in names:
                for other in self.names:
                    if other not in names:
                        for pair in ((one, other),) if kind == "one_way" else ((one, other), (other, one)):
                            self.links.link(*pair).cut += 1
                            self.loop.call_at(self.loop.now + duration_ns, self._end_cut, *pair)
            self.disturbed_until.update(dict.fromkeys(self.names, until))
        elif kind == "stop":
            self.nodes[names[0]].suspended_until = self.loop.now + duration_ns
            self.disturbed_until[names[0]] = until
        elif kind == "reborn":
            node = self.nodes[names[0]]
            if names[0] not in self.ended_at:
                node.alive = False
                self.disturbed_until[names[0]] = until
                self.loop.call_at(self.loop.now + duration_ns // 4, self._restart, node)
        elif len(self.ended_at) < len(self.names) // 5:
            self.nodes[names[0]].alive = False
            self.ended_at[names[0]] = self.loop.now
        self.loop.call_at(self.loop.now + int(self.rng.uniform(0.5, 4) * SECOND), self._inject_fault)

    def _restart(self, node: Node) -> None:
        if not node.alive and node.name not in self.ended_at:
            node.suspended_until = 0
            node.start()

    def _end_cut(self, one: str, other: str) -> None:
        link = self.links.link(one, other)
        link.cut = max(0, link.cut - 1)
        self.links.on_faults_changed(one, other)

    def _end_faults(self) -> None:
        for node in self.nodes.values():
            node.suspended_until = min(node.suspended_until, self.loop.now)
            self._restart(node)
        for one in self.names:
            for other in self.names:
                self.links.link(one, other).cut = 0
                self.links.on_faults_changed(one, other)

    def run(self) -> Fleet:
        """Play the complete history; at its end or within MAX_CONVERGENCE_NS, all running members must agree."""
        self.loop.run(self.end)
        differences = self._differences()
        while differences and self.loop.now < self.end + MAX_CONVERGENCE_NS:
            self.loop.run(self.loop.now + SECOND)
            differences = self._differences()
        self.convergence_s = (self.loop.now - self.end) / 1e9
        self.broken += differences
        return self

    def _differences(self) -> list[str]:
        """The differences between the running members."""
        differences = []
        running = [node for node in self.nodes.values() if node.alive]
        for node in running:
            for other in running:
                expected = {key: entry.value for key, entry in other.core.values.owners[other.name].entries.items()}
                known = node.core.values.owners.get(other.name)
                actual = {key: entry.value for key, entry in known.entries.items()} if known is not None else {}
                if expected != actual:
                    differences.append(f"{node.name} does not have {other.name}'s values at the end: "
                                       f"{actual} instead of {expected}")
                if other.name not in node.core.alive():
                    differences.append(f"{node.name} considers {other.name} dead at the end")
        return differences


def figures(fleet: Fleet) -> dict[str, Any]:
    """The figures of a history."""
    ages = sorted(fleet.ages)
    return {"members": len(fleet.names), "loss": fleet.loss, "checked": fleet.checked,
            "age_p50_s": round(ages[len(ages) // 2], 2) if ages else 0.0,
            "age_p99_s": round(ages[int(len(ages) * 0.99)], 2) if ages else 0.0,
            "age_p999_s": round(ages[int(len(ages) * 0.999)], 2) if ages else 0.0,
            "kb_s_a_member": round(sum(node.sent_bytes for node in fleet.nodes.values()) / len(fleet.names)
                                   / (fleet.end / 1e9) / 1000, 2),
            "settled_s": fleet.convergence_s, "false_alarms": fleet.false_alarms,
            "found_s": round(sorted(fleet.detection_s)[len(fleet.detection_s) // 2], 2) if fleet.detection_s else 0.0}


class _AgesNotPropagated(Core):
    """A digest reports all values as current: their ages are not propagated."""

    def _on_digest_request(self, now: int, address: str, ask: DigestRequest) -> None:
        for owner in self.values.owners.values():
            owner.fresh = max(owner.fresh, now) if owner.fresh != NEVER_NS else NEVER_NS
        super()._on_digest_request(now, address, ask)


class _AgesFromReply(Core):
    """An age counts from the arrival of the reply instead of from the request."""

    def _on_digest(self, now: int, address: str, digest: Digest) -> None:
        asked = self._digest_requests.get(digest.number)
        if asked is not None:
            asked.at = now
        super()._on_digest(now, address, digest)


class _NeverRefutes(Core):
    """A member does not refute rumors about itself."""

    def _apply_rumors(self, now: int, rumors: tuple[Rumor, ...]) -> None:
        super()._apply_rumors(now, tuple(rumor for rumor in rumors if rumor.name != self.name))


MUTANTS: dict[str, type[Core]] = {"age not carried on": _AgesNotPropagated,
                                  "age counted from the answer": _AgesFromReply,
                                  "what is said of oneself not refuted": _NeverRefutes}


def judge_history(seed: int, settings: Settings) -> tuple[list[str], dict[str, Any]]:
    """Play one seed; returns its violations and figures."""
    fleet = Fleet(seed, settings).run()
    return fleet.broken, {"seed": seed, **figures(fleet)}


def hunt(name: str, max_histories: int) -> tuple[int, str]:
    """The number of histories until a known error is found, and its violation; 0: not found."""
    for seed in range(max_histories):
        if broken := judge_history(seed, Settings(core=MUTANTS[name]))[0]:
            return seed + 1, broken[0]
    return 0, ""
