"""One member's mind: probes, suspicion, rumors, and the exchange of values.  No I/O; the caller's monotonic `now`, ns.

SWIM as published, with Lifeguard's local health: a member whose own probes fail waits longer before it suspects others.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from msgspec import Struct

from .messages import (
    ALIVE,
    DEAD,
    LEFT,
    SUSPECT,
    Ack,
    Delta,
    DeltaRequest,
    Digest,
    DigestRequest,
    Message,
    Ping,
    PingRequest,
    Rumor,
    State,
)
from .values import JUMP, LIVES, NEVER_NS, STEP, Values

MS = 1_000_000
MEMBERS = 1000
RUMORS, RUMOR_TIMES = 6, 4
"""Rumors in a message; each is told so many times the logarithm of the fleet."""
STATES_EACH, ROOM = 40, 1100
"""States in a part of a vector; bytes of entries in a message."""
OUT = 64
"""Questions that wait for an answer; older ones are forgotten."""


class Timers(Struct, frozen=True):
    """ns."""

    probe: int = 1000 * MS
    answer: int = 300 * MS       # before others are asked to probe for this one
    suspect: int = 5             # probes, times the logarithm (10) of the fleet and the local health, to refute in
    ask: int = 200 * MS
    helpers: int = 3


class Peer(Struct):
    """What is known of a member."""

    address: str
    incarnation: int
    state: int
    since: int


class _Asked(Struct):
    whom: str
    at: int


class Core:
    """One member."""

    def __init__(self, name: str, address: str, now: int, rng: random.Random,
                 send: Callable[[str, Message], None], timers: Timers | None = None) -> None:
        """`send(address, message)` hands out a datagram."""
        self.name, self.address = name, address
        self._rng, self._send = rng, send
        self.timers = timers or Timers()
        self.values = Values(name, rng.randrange(1, LIVES))
        self.incarnation = 1
        self.peers: dict[str, Peer] = {}
        self.health = 0                       # 0: well; up to 8
        self._numbers = rng.getrandbits(40)   # an answer to an earlier life of this name must not fit a question of now
        self._order: list[str] = []           # whom to probe next: each once a round, in an order drawn anew
        self._probing: tuple[int, str, int, bool] | None = None    # number, whom, sent, helpers asked
        self._rumors: dict[str, int] = {}     # of whom there is something to tell, and how often yet
        self._digest_requests: dict[int, _Asked] = {}
        self._pending: dict[str, tuple[int, int, int]] = {}   # owner: version that is being fetched, and its moment
        self._probe_at = now + rng.randrange(self.timers.probe)
        self._ask_at = now + rng.randrange(self.timers.ask)
        self.leaving = False
        self.failures = 0                     # members that were declared dead here

    # ---- Members -----------------------------------------------------------------------------------------

    def join(self, now: int, seeds: list[tuple[str, str]]) -> None:
        """Names and addresses of some who may be there."""
        for name, address in seeds:
            if name != self.name and len(self.peers) < MEMBERS:
                self.peers.setdefault(name, Peer(address, 0, ALIVE, now))
        self._spread(self.name)

    def leave(self, now: int) -> None:
        """Say so to some; others hear it from them."""
        self.leaving = True
        self._spread(self.name)
        for name in self._some(self.timers.helpers + 2):
            self._ping(now, name)

    def alive(self) -> list[str]:
        """Members that are thought to be there, this one among them."""
        return [self.name, *(name for name, peer in self.peers.items() if peer.state in (ALIVE, SUSPECT))]

    def _some(self, count: int, but: str = "") -> list[str]:
        names = [name for name, peer in self.peers.items() if peer.state in (ALIVE, SUSPECT) and name != but]
        return self._rng.sample(names, min(count, len(names)))

    def _spread(self, name: str) -> None:
        self._rumors[name] = RUMOR_TIMES * max(1, len(self.peers).bit_length())

    def _take_rumors(self) -> tuple[Rumor, ...]:
        """Those told least often first, and a fresh word of this member itself where it has one."""
        names = sorted(self._rumors, key=lambda name: -self._rumors[name])[:RUMORS]
        found = []
        for name in names:
            self._rumors[name] -= 1
            if self._rumors[name] <= 0:
                del self._rumors[name]
            if name == self.name:
                found.append(Rumor(name, self.address, self.incarnation, LEFT if self.leaving else ALIVE))
            elif name in self.peers:
                peer = self.peers[name]
                found.append(Rumor(name, peer.address, peer.incarnation, peer.state))
        return tuple(found)

    def _apply_rumors(self, now: int, rumors: tuple[Rumor, ...]) -> None:
        for rumor in rumors[:RUMORS * 2]:
            if rumor.name == self.name:
                worse = rumor.state in (SUSPECT, DEAD, LEFT) and not self.leaving
                if (rumor.incarnation > self.incarnation or (worse and rumor.incarnation == self.incarnation)) \
                        and rumor.incarnation - self.incarnation <= JUMP:
                    self.incarnation = rumor.incarnation + 1
                    self.health = min(8, self.health + worse)
                if worse:       # also of an older incarnation: whoever says so has not heard of this one
                    self._spread(self.name)
                continue
            self._note(now, rumor)

    def _note(self, now: int, rumor: Rumor) -> None:
        """The greater incarnation counts; of one the worse state does.  Who is dead comes back by a greater one."""
        peer = self.peers.get(rumor.name)
        if peer is None:
            if len(self.peers) >= MEMBERS or rumor.state in (DEAD, LEFT):
                return
            self.peers[rumor.name] = Peer(rumor.address, rumor.incarnation, rumor.state, now)
            self._spread(rumor.name)
            return
        if not 0 <= rumor.incarnation - peer.incarnation <= JUMP or (
                rumor.incarnation == peer.incarnation and rumor.state <= peer.state):
            return
        if rumor.state == DEAD and peer.state != DEAD:
            self.failures += 1
        if rumor.state != peer.state:
            peer.since = now
        peer.address, peer.incarnation, peer.state = rumor.address, rumor.incarnation, rumor.state
        self._spread(rumor.name)
        if rumor.state == SUSPECT and self._rng.random() < 4 / (1 + len(self.peers)):
            self._ping(now, rumor.name)         # it hears what is said of it, and can refute that soon

    # ---- Time --------------------------------------------------------------------------------------------

    @property
    def next_tick_at(self) -> int:
        """When `tick` is wanted next."""
        at = min(self._probe_at, self._ask_at)
        if self._probing is not None and not self._probing[3]:
            at = min(at, self._probing[2] + self._patience())
        return at

    def _patience(self) -> int:
        return self.timers.answer * (1 + self.health)

    def tick(self, now: int) -> None:
        """Time has passed."""
        probing = self._probing
        if probing is not None and not probing[3] and now >= probing[2] + self._patience():
            self._probing = (probing[0], probing[1], probing[2], True)
            for helper in self._some(self.timers.helpers, probing[1]):
                self._send(self.peers[helper].address, PingRequest(probing[0], self.name, probing[1],
                                                                    self._take_rumors()))
        if now >= self._probe_at:
            self._probe_at = now + self.timers.probe * (1 + self.health)
            self._round(now)
        if now >= self._ask_at:
            self._ask_at = now + self._rng.randrange(self.timers.ask // 2, self.timers.ask * 3 // 2)
            for name in self._some(1):
                self._ask(now, name)

    def _round(self, now: int) -> None:
        if self._probing is not None:       # nobody has answered for it
            whom = self._probing[1]
            self._probing = None
            self.health = min(8, self.health + 1)
            peer = self.peers.get(whom)
            if peer is not None and peer.state == ALIVE:
                self._note(now, Rumor(whom, peer.address, peer.incarnation, SUSPECT))
        logarithm = max(1.0, math.log10(len(self.peers) + 1))
        wait = int(self.timers.suspect * self.timers.probe * logarithm * (1 + self.health))
        for name, peer in self.peers.items():
            if peer.state == SUSPECT and now - peer.since > wait:
                self._note(now, Rumor(name, peer.address, peer.incarnation, DEAD))
        dead = [name for name, peer in self.peers.items() if peer.state == DEAD]
        if dead and self._rng.random() < 0.3:   # after a cut nobody else would speak to them again
            self._ping(now, self._rng.choice(dead))
        if not self._order:
            self._order = [name for name, peer in self.peers.items() if peer.state in (ALIVE, SUSPECT)]
            self._rng.shuffle(self._order)
        if self._order:
            name = self._order.pop()
            if name in self.peers:
                self._probing = (self._ping(now, name), name, now, False)

    def _ping(self, now: int, name: str, by: str = "", by_number: int = 0) -> int:
        self._numbers += 1
        peer = self.peers[name]
        rumors = self._take_rumors()
        if peer.state != ALIVE:             # so that it can refute that
            rumors = (*rumors, Rumor(name, peer.address, peer.incarnation, peer.state))
        self._send(peer.address, Ping(self._numbers, self.name, name, rumors, by, by_number))
        return self._numbers

    def _ask(self, now: int, name: str) -> None:
        self._numbers += 1
        self._digest_requests[self._numbers] = _Asked(name, now)
        while len(self._digest_requests) > OUT:
            del self._digest_requests[next(iter(self._digest_requests))]
        self._send(self.peers[name].address, DigestRequest(self._numbers, self.name))

    # ---- Messages ----------------------------------------------------------------------------------------

    def on_message(self, now: int, address: str, message: Message) -> None:
        """A datagram from there."""
        if isinstance(message, Ping | Ack | PingRequest):
            self._apply_rumors(now, message.rumors)
        if isinstance(message, Ping):
            if message.target == self.name:
                self._known(now, message.source, address)
                self._send(address, Ack(message.number, self.name, message.by, self._take_rumors()))
        elif isinstance(message, PingRequest):
            if message.target in self.peers:
                self._ping(now, message.target, message.source, message.number)
        elif isinstance(message, Ack):
            self._on_ack(now, message)
        elif isinstance(message, DigestRequest):
            self._known(now, message.source, address)
            self._on_digest_request(now, address, message)
        elif isinstance(message, Digest):
            self._on_digest(now, address, message)
        elif isinstance(message, DeltaRequest):
            self._on_want(address, message)
        else:
            self._on_entries(message)

    def _known(self, now: int, name: str, address: str) -> None:
        """Somebody speaks who is not known here yet: a rumor of it is made, so that all come to know."""
        if name not in self.peers and name != self.name:
            self._note(now, Rumor(name, address, 0, ALIVE))
        elif name in self.peers and self.peers[name].state == DEAD:
            self._ping(now, name)               # with what is said of it

    def _on_ack(self, now: int, ack: Ack) -> None:
        if ack.whose and ack.whose in self.peers:      # asked for somebody else: it hears that this one is there
            self._send(self.peers[ack.whose].address, Ack(0, ack.source, "", ()))
            return
        if self._probing is not None and ack.source == self._probing[1]:
            self._probing = None
            self.health = max(0, self.health - 1)

    def _on_digest_request(self, now: int, address: str, ask: DigestRequest) -> None:
        states = [State(owner, known.life, known.count, self.values.age(now, owner) // MS + 1)
                  for owner, known in self.values.owners.items()
                  if owner == self.name or known.fresh != NEVER_NS]
        for at in range(0, len(states), STATES_EACH):
            self._send(address, Digest(ask.number, self.name, tuple(states[at:at + STATES_EACH])))

    def _on_digest(self, now: int, address: str, vector: Digest) -> None:
        asked = self._digest_requests.get(vector.number)
        if asked is None or asked.whom != vector.source:
            return
        values = self.values
        want = []
        for state in vector.states:
            if state.owner == self.name:
                if (state.life, state.count) > values.owners[self.name].version():
                    # Of a life that this process knows nothing of.
                    values.reborn(state.life, self._rng.randrange(1, STEP))
                continue
            at = asked.at - max(0, state.age) * MS
            known = values.owners.get(state.owner)
            version = known.version() if known is not None else (0, 0)
            if version[0] > state.life or (vector.source == state.owner and version > (state.life, state.count)):
                continue      # a new life that has not heard of the one before: what is known here is not of it
            if version >= (state.life, state.count):
                values.confirmed(state.owner, state.life, state.count, at)
            elif len(values.owners) < MEMBERS:
                pending = self._pending.get(state.owner)
                if pending is None or pending[2] < at:
                    self._pending[state.owner] = (state.life, state.count, at)
                want.append((state.owner, *version))
        if want:
            self._send(address, DeltaRequest(vector.number, self.name, tuple(want)))

    def _on_want(self, address: str, want: DeltaRequest) -> None:
        for owner, life, count in want.known[:STATES_EACH]:
            found = self.values.delta_since(owner, life, count, ROOM)
            if found is not None:
                after, entries, upto, whole = found
                self._send(address, Delta(want.number, self.name, owner, self.values.owners[owner].life, after,
                                            tuple(entries), upto, whole))

    def _on_entries(self, told: Delta) -> None:
        if told.number not in self._digest_requests or not self.values.merge(told):
            return
        pending = self._pending.get(told.owner)
        known = self.values.owners[told.owner]
        if pending is not None and known.version() >= pending[:2]:
            del self._pending[told.owner]
            self.values.confirmed(told.owner, pending[0], pending[1], pending[2])
