"""Members that share state, in virtual time under faults, and what is recorded of them.

One seed, one history.  Datagrams are lost, late, copied and out of order; the fleet is cut in two or one way; members
stop for a while, end for good, or come back under their names with nothing.  Clocks run 1 in 100 apart.
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
FLEET = 7
MORE = 30 * SECOND
"""At a loss of 30% members are at times taken for gone at the very end: so long they may take to come together."""
FAULTS = ("cut", "cut", "one_way", "stop", "end", "reborn", "reborn")


class Settings(Struct):
    """The size of a history."""

    members: int = 5
    seconds: float = 40.0
    calm_s: float = 25.0
    loss: float = -1.0           # -1: drawn
    faults: bool = True
    writes_per_s: float = 0.5    # of each owner
    core: type[Core] = Core


class Node:
    """One member's process, clock and link."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet, self.name = fleet, name
        self.rate = 1.0 + fleet.rng.uniform(-0.01, 0.01)
        self._offset = fleet.rng.randrange(10 * SECOND)
        self.life = 0
        self.alive = False
        self.stopped_until = 0
        self.sent_bytes = 0
        self.core: Core
        self.start()

    def now(self) -> int:
        """By its own clock."""
        return self._offset + int(self.fleet.loop.now * self.rate)

    def start(self) -> None:
        """A process with nothing but its name and seeds."""
        fleet = self.fleet
        self.life += 1
        self.alive = True
        rng = random.Random(fleet.rng.getrandbits(32))
        self.core = fleet.settings.core(self.name, self.name, self.now(), rng, self._send)
        seeds = fleet.rng.sample(fleet.names, min(3, len(fleet.names)))
        self.core.join(self.now(), [(seed, seed) for seed in seeds])
        for key in ("k0", "k1"):
            self.put(key)
        self._ring(self.life)

    def put(self, key: str) -> None:
        """A new value; its number grows over all lives of the name."""
        number = self.fleet.written(self.name, key)
        self.core.values.put(key, str(number).encode())

    def _ring(self, life: int) -> None:
        if not self.alive or life != self.life:
            return
        fleet = self.fleet
        if self.stopped_until > fleet.loop.now:
            fleet.loop.at(self.stopped_until, self._ring, life)
            return
        self.core.tick(self.now())
        wait = max(MS, int((self.core.next_tick_at - self.now()) / self.rate))
        fleet.loop.at(fleet.loop.now + wait, self._ring, life)

    def _send(self, address: str, message: Message) -> None:
        data = pack(FLEET, message)
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
            fleet.links.packets(self.name, address, delay, len(data), node.receive, self.name, data, node.life)

    def receive(self, source: str, data: bytes, life: int) -> None:
        """A datagram."""
        if not self.alive:
            return
        if self.stopped_until > self.fleet.loop.now:
            self.fleet.loop.at(self.stopped_until, self.receive, source, data, life)
            return
        self.core.on_message(self.now(), source, unpack(FLEET, data))


class Fleet:
    """One history."""

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
        self.settled = 0.0
        self.numbers: dict[str, int] = {}
        self.history: dict[tuple[str, str], list[tuple[int, int]]] = {}    # owner, key: when, number
        self.down: dict[str, int] = {}                  # who ended for good, and when
        self.trouble: dict[str, int] = {}               # who was cut, stopped or reborn, until when
        self.checked = 0
        self.ages: list[float] = []
        self.false_alarms = 0
        self.found: list[float] = []
        self._seen_dead: set[tuple[str, str]] = set()
        for name in self.names:
            self.nodes[name] = Node(self, name)
        self.loop.at(SECOND, self._write)
        self.loop.at(2 * SECOND, self._look)
        if settings.faults:
            self.loop.at(int(self.rng.uniform(2, 6) * SECOND), self._fault)

    def written(self, owner: str, key: str) -> int:
        """An owner sets a key now."""
        number = self.numbers[owner] = self.numbers.get(owner, 0) + 1
        self.history.setdefault((owner, key), []).append((self.loop.now, number))
        return number

    def _calm(self) -> bool:
        return self.loop.now > self.end - int(self.settings.calm_s * SECOND)

    def _write(self) -> None:
        node = self.nodes[self.rng.choice(self.names)]
        if node.alive and node.stopped_until <= self.loop.now:
            node.put(f"k{self.rng.randrange(2)}")
        if self.loop.now < self.end - 8 * SECOND:
            gap = 1 / (self.settings.writes_per_s * len(self.names))
            self.loop.at(self.loop.now + int(self.rng.expovariate(1 / gap) * SECOND) + MS, self._write)

    # ---- What is looked at -------------------------------------------------------------------------------

    def _look(self) -> None:
        """Every member's word on the age of each value, against when that was really written."""
        for node in self.nodes.values():
            if node.alive and node.stopped_until <= self.loop.now:
                for owner in self.rng.sample(self.names, min(8, len(self.names))):
                    self._check(node, owner)
                self._members(node)
        if self.loop.now < self.end:
            self.loop.at(self.loop.now + self.rng.randrange(100 * MS, 400 * MS), self._look)

    def _check(self, node: Node, owner: str) -> None:
        age = node.core.values.age(node.now(), owner)
        if owner == node.name or age > 1000 * SECOND:
            return
        self.checked += 1
        self.ages.append(age / 1e9)
        for key in ("k0", "k1"):
            rows = self.history.get((owner, key), [])
            at = bisect.bisect_right(rows, (self.loop.now - age, 1 << 62)) - 1
            if at < 0:
                continue
            entry = node.core.values.owners[owner].entries.get(key)
            seen = int(entry.value or b"0") if entry is not None else 0
            if seen < rows[at][1]:
                self.broken.append(f"{node.name} has {owner}'s {key} as {seen} and says it is {age / 1e9:.2f} s old at "
                                   f"most; {rows[at][1]} was written {(self.loop.now - rows[at][0]) / 1e9:.2f} s ago")

    def _members(self, node: Node) -> None:
        for name, peer in node.core.peers.items():
            if peer.state == DEAD and (node.name, name) not in self._seen_dead:
                self._seen_dead.add((node.name, name))
                if name in self.down:
                    self.found.append((self.loop.now - self.down[name]) / 1e9)
                elif self.trouble.get(name, 0) < self.loop.now and self.trouble.get(node.name, 0) < self.loop.now:
                    self.false_alarms += 1
            elif peer.state == ALIVE:
                self._seen_dead.discard((node.name, name))

    # ---- Faults ------------------------------------------------------------------------------------------

    def _fault(self) -> None:
        if self._calm():
            self._heal()
            return
        kind = self.rng.choice(FAULTS)
        names = self.rng.sample(self.names, max(1, len(self.names) // 2))
        lasts = int(self.rng.uniform(1, 8) * SECOND)
        until = self.loop.now + lasts + 20 * SECOND
        if kind in ("cut", "one_way"):
            for one in names:
                for other in self.names:
                    if other not in names:
                        for pair in ((one, other),) if kind == "one_way" else ((one, other), (other, one)):
                            self.links.way(*pair).cut += 1
                            self.loop.at(self.loop.now + lasts, self._uncut, *pair)
            self.trouble.update(dict.fromkeys(self.names, until))
        elif kind == "stop":
            self.nodes[names[0]].stopped_until = self.loop.now + lasts
            self.trouble[names[0]] = until
        elif kind == "reborn":
            node = self.nodes[names[0]]
            if names[0] not in self.down:
                node.alive = False
                self.trouble[names[0]] = until
                self.loop.at(self.loop.now + lasts // 4, self._again, node)
        elif len(self.down) < len(self.names) // 5:
            self.nodes[names[0]].alive = False
            self.down[names[0]] = self.loop.now
        self.loop.at(self.loop.now + int(self.rng.uniform(0.5, 4) * SECOND), self._fault)

    def _again(self, node: Node) -> None:
        if not node.alive and node.name not in self.down:
            node.stopped_until = 0
            node.start()

    def _uncut(self, one: str, other: str) -> None:
        link = self.links.way(one, other)
        link.cut = max(0, link.cut - 1)
        self.links.settle(one, other)

    def _heal(self) -> None:
        for node in self.nodes.values():
            node.stopped_until = min(node.stopped_until, self.loop.now)
            self._again(node)
        for one in self.names:
            for other in self.names:
                self.links.way(one, other).cut = 0
                self.links.settle(one, other)

    def run(self) -> Fleet:
        """The whole history; at its end, or some seconds later, all that live know the same."""
        self.loop.run(self.end)
        told = self._apart()
        while told and self.loop.now < self.end + MORE:
            self.loop.run(self.loop.now + SECOND)
            told = self._apart()
        self.settled = (self.loop.now - self.end) / 1e9
        self.broken += told
        return self

    def _apart(self) -> list[str]:
        """Where those that live differ."""
        told = []
        living = [node for node in self.nodes.values() if node.alive]
        for node in living:
            for other in living:
                mine = {key: entry.value for key, entry in other.core.values.owners[other.name].entries.items()}
                known = node.core.values.owners.get(other.name)
                theirs = {key: entry.value for key, entry in known.entries.items()} if known is not None else {}
                if mine != theirs:
                    told.append(f"{node.name} does not have {other.name}'s values at the end: {theirs} for {mine}")
                if other.name not in node.core.alive():
                    told.append(f"{node.name} takes {other.name} for gone at the end")
        return told


def figures(fleet: Fleet) -> dict[str, Any]:
    """What a history came to."""
    ages = sorted(fleet.ages)
    return {"members": len(fleet.names), "loss": fleet.loss, "checked": fleet.checked,
            "age_p50_s": round(ages[len(ages) // 2], 2) if ages else 0.0,
            "age_p99_s": round(ages[int(len(ages) * 0.99)], 2) if ages else 0.0,
            "age_p999_s": round(ages[int(len(ages) * 0.999)], 2) if ages else 0.0,
            "kb_s_a_member": round(sum(node.sent_bytes for node in fleet.nodes.values()) / len(fleet.names)
                                   / (fleet.end / 1e9) / 1000, 2),
            "settled_s": fleet.settled, "false_alarms": fleet.false_alarms,
            "found_s": round(sorted(fleet.found)[len(fleet.found) // 2], 2) if fleet.found else 0.0}


class _AgesOfNow(Core):
    """A vector says that all it holds is of now: ages are not carried on."""

    def _on_digest_request(self, now: int, address: str, ask: DigestRequest) -> None:
        for owner in self.values.owners.values():
            owner.fresh = max(owner.fresh, now) if owner.fresh != NEVER_NS else NEVER_NS
        super()._on_digest_request(now, address, ask)


class _AgesFromTheAnswer(Core):
    """An age counts from when the answer came."""

    def _on_digest(self, now: int, address: str, vector: Digest) -> None:
        asked = self._digest_requests.get(vector.number)
        if asked is not None:
            asked.at = now
        super()._on_digest(now, address, vector)


class _NeverRefutes(Core):
    """A member says nothing to what is said of it."""

    def _apply_rumors(self, now: int, rumors: tuple[Rumor, ...]) -> None:
        super()._apply_rumors(now, tuple(rumor for rumor in rumors if rumor.name != self.name))


MUTANTS: dict[str, type[Core]] = {"age not carried on": _AgesOfNow, "age counted from the answer": _AgesFromTheAnswer,
                                  "what is said of oneself not refuted": _NeverRefutes}


def judged(seed: int, settings: Settings) -> tuple[list[str], dict[str, Any]]:
    """One seed's faults and figures."""
    fleet = Fleet(seed, settings).run()
    return fleet.broken, {"seed": seed, **figures(fleet)}


def hunt(name: str, most: int) -> tuple[int, str]:
    """How many histories it takes to find a known error; 0: not found."""
    for seed in range(most):
        if broken := judged(seed, Settings(core=MUTANTS[name]))[0]:
            return seed + 1, broken[0]
    return 0, ""
