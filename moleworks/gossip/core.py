"""Failure detection, dissemination and anti-entropy of one member.  No I/O; `now` is the caller's monotonic time in ns.

Implements SWIM as published, with Lifeguard's local health: a member whose own probes fail waits longer before it
suspects others.
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
from .values import MAX_FIRST_LIFE, MAX_LIFE_STEP, MAX_VERSION_STEP, NEVER_NS, Values

MS = 1_000_000
MAX_MEMBERS = 1000
MAX_RUMORS, RUMOR_TRANSMISSIONS = 6, 4
"""Maximum rumors per message; transmissions of each rumor, times the logarithm (2) of the fleet's size."""
MAX_DIGEST_STATES, MAX_DELTA_BYTES = 40, 1100
"""Maximum states per digest message; maximum bytes of entries per delta message."""
MAX_PENDING_REQUESTS = 64
"""Maximum pending digest requests; beyond it the oldest are dropped."""


class Timers(Struct, frozen=True):
    """Durations in ns unless noted."""

    probe: int = 1000 * MS       # probe interval
    answer: int = 300 * MS       # timeout of a direct probe, after which indirect ones are sent
    suspect: int = 5             # probe intervals, times logarithm (10) of the fleet and health, to refute a suspicion
    ask: int = 200 * MS          # mean interval of digest requests
    helpers: int = 3             # members that probe indirectly


class Peer(Struct):
    """The known state of another member."""

    address: str
    incarnation: int
    state: int          # ALIVE, SUSPECT, DEAD or LEFT
    since: int          # time at which the state changed


class _PendingRequest(Struct):
    """A digest request without a reply: the member that it was sent to, and when."""

    whom: str
    at: int


class Core:
    """The protocol state of one member."""

    def __init__(self, name: str, address: str, now: int, rng: random.Random,
                 send: Callable[[str, Message], None], timers: Timers | None = None) -> None:
        """`send(address, message)` sends a datagram."""
        self.name, self.address = name, address
        self._rng, self._send = rng, send
        self.timers = timers or Timers()
        self.values = Values(name, rng.randrange(1, MAX_FIRST_LIFE))
        self.incarnation = 1
        self.peers: dict[str, Peer] = {}
        self.health = 0                       # Lifeguard's local health: 0 (healthy) to 8
        self._last_number = rng.getrandbits(40)    # random: replies to an earlier run must not match
        self._probe_order: list[str] = []     # members left to probe in this round; reshuffled every round
        self._current_probe: tuple[int, str, int, bool] | None = None    # number, member, sent, indirect probes sent
        self._rumors: dict[str, int] = {}     # by member: transmissions left
        self._digest_requests: dict[int, _PendingRequest] = {}
        self._pending_deltas: dict[str, tuple[int, int, int]] = {}   # by owner: life, count and time requested
        self._next_probe_at = now + rng.randrange(self.timers.probe)
        self._next_digest_request_at = now + rng.randrange(self.timers.ask)
        self.leaving = False
        self.failures = 0                     # members that this one has declared dead

    # ---- Members -----------------------------------------------------------------------------------------

    def join(self, now: int, seeds: list[tuple[str, str]]) -> None:
        """Adds seeds (name, address) and announces this member."""
        for name, address in seeds:
            if name != self.name and len(self.peers) < MAX_MEMBERS:
                self.peers.setdefault(name, Peer(address, 0, ALIVE, now))
        self._enqueue_rumor(self.name)

    def leave(self, now: int) -> None:
        """Announces the departure to some members, which spread it."""
        self.leaving = True
        self._enqueue_rumor(self.name)
        for name in self._random_members(self.timers.helpers + 2):
            self._ping(now, name)

    def alive(self) -> list[str]:
        """Members that are alive or suspected, including this one."""
        return [self.name, *(name for name, peer in self.peers.items() if peer.state in (ALIVE, SUSPECT))]

    def _random_members(self, count: int, excluded: str = "") -> list[str]:
        names = [name for name, peer in self.peers.items() if peer.state in (ALIVE, SUSPECT) and name != excluded]
        return self._rng.sample(names, min(count, len(names)))

    def _enqueue_rumor(self, name: str) -> None:
        self._rumors[name] = RUMOR_TRANSMISSIONS * max(1, len(self.peers).bit_length())

    def _take_rumors(self) -> tuple[Rumor, ...]:
        """The rumors with the most transmissions left; one on this member carries its current state."""
        names = sorted(self._rumors, key=lambda name: -self._rumors[name])[:MAX_RUMORS]
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
        for rumor in rumors[:MAX_RUMORS * 2]:
            if rumor.name == self.name:
                must_refute = rumor.state in (SUSPECT, DEAD, LEFT) and not self.leaving
                if (rumor.incarnation > self.incarnation or (must_refute and rumor.incarnation == self.incarnation)) \
                        and rumor.incarnation - self.incarnation <= MAX_VERSION_STEP:
                    self.incarnation = rumor.incarnation + 1
                    self.health = min(8, self.health + must_refute)
                if must_refute:   # also of an older incarnation: the sender does not know this one
                    self._enqueue_rumor(self.name)
                continue
            self._apply_rumor(now, rumor)

    def _apply_rumor(self, now: int, rumor: Rumor) -> None:
        """Applies a rumor with a greater incarnation, or with the same one and a worse state.

        A dead member returns only with a greater incarnation.
        """
        peer = self.peers.get(rumor.name)
        if peer is None:
            if len(self.peers) >= MAX_MEMBERS or rumor.state in (DEAD, LEFT):
                return
            self.peers[rumor.name] = Peer(rumor.address, rumor.incarnation, rumor.state, now)
            self._enqueue_rumor(rumor.name)
            return
        if not 0 <= rumor.incarnation - peer.incarnation <= MAX_VERSION_STEP or (
                rumor.incarnation == peer.incarnation and rumor.state <= peer.state):
            return
        if rumor.state == DEAD and peer.state != DEAD:
            self.failures += 1
        if rumor.state != peer.state:
            peer.since = now
        peer.address, peer.incarnation, peer.state = rumor.address, rumor.incarnation, rumor.state
        self._enqueue_rumor(rumor.name)
        if rumor.state == SUSPECT and self._rng.random() < 4 / (1 + len(self.peers)):
            self._ping(now, rumor.name)         # the ping carries the suspicion, so that it can be refuted early

    # ---- Time --------------------------------------------------------------------------------------------

    @property
    def next_tick_at(self) -> int:
        """The time at which `tick` must next be called."""
        at = min(self._next_probe_at, self._next_digest_request_at)
        if self._current_probe is not None and not self._current_probe[3]:
            at = min(at, self._current_probe[2] + self._probe_timeout())
        return at

    def _probe_timeout(self) -> int:
        return self.timers.answer * (1 + self.health)

    def tick(self, now: int) -> None:
        """Sends the indirect probes, probes and digest requests that are due."""
        probe = self._current_probe
        if probe is not None and not probe[3] and now >= probe[2] + self._probe_timeout():
            self._current_probe = (probe[0], probe[1], probe[2], True)
            for helper in self._random_members(self.timers.helpers, probe[1]):
                self._send(self.peers[helper].address, PingRequest(probe[0], self.name, probe[1],
                                                                   self._take_rumors()))
        if now >= self._next_probe_at:
            self._next_probe_at = now + self.timers.probe * (1 + self.health)
            self._probe_round(now)
        if now >= self._next_digest_request_at:
            self._next_digest_request_at = now + self._rng.randrange(self.timers.ask // 2, self.timers.ask * 3 // 2)
            for name in self._random_members(1):
                self._request_digest(now, name)

    def _probe_round(self, now: int) -> None:
        if self._current_probe is not None:   # no direct or indirect reply has arrived
            target = self._current_probe[1]
            self._current_probe = None
            self.health = min(8, self.health + 1)
            peer = self.peers.get(target)
            if peer is not None and peer.state == ALIVE:
                self._apply_rumor(now, Rumor(target, peer.address, peer.incarnation, SUSPECT))
        logarithm = max(1.0, math.log10(len(self.peers) + 1))
        wait = int(self.timers.suspect * self.timers.probe * logarithm * (1 + self.health))
        for name, peer in self.peers.items():
            if peer.state == SUSPECT and now - peer.since > wait:
                self._apply_rumor(now, Rumor(name, peer.address, peer.incarnation, DEAD))
        dead = [name for name, peer in self.peers.items() if peer.state == DEAD]
        if dead and self._rng.random() < 0.3:   # after a partition no member would contact them otherwise
            self._ping(now, self._rng.choice(dead))
        if not self._probe_order:
            self._probe_order = [name for name, peer in self.peers.items() if peer.state in (ALIVE, SUSPECT)]
            self._rng.shuffle(self._probe_order)
        if self._probe_order:
            name = self._probe_order.pop()
            if name in self.peers:
                self._current_probe = (self._ping(now, name), name, now, False)

    def _ping(self, now: int, name: str, by: str = "", by_number: int = 0) -> int:
        self._last_number += 1
        peer = self.peers[name]
        rumors = self._take_rumors()
        if peer.state != ALIVE:             # the target can refute it
            rumors = (*rumors, Rumor(name, peer.address, peer.incarnation, peer.state))
        self._send(peer.address, Ping(self._last_number, self.name, name, rumors, by, by_number))
        return self._last_number

    def _request_digest(self, now: int, name: str) -> None:
        self._last_number += 1
        self._digest_requests[self._last_number] = _PendingRequest(name, now)
        while len(self._digest_requests) > MAX_PENDING_REQUESTS:
            del self._digest_requests[next(iter(self._digest_requests))]
        self._send(self.peers[name].address, DigestRequest(self._last_number, self.name))

    # ---- Messages ----------------------------------------------------------------------------------------

    def on_message(self, now: int, address: str, message: Message) -> None:
        """Handles a datagram from `address`."""
        if isinstance(message, Ping | Ack | PingRequest):
            self._apply_rumors(now, message.rumors)
        if isinstance(message, Ping):
            if message.target == self.name:
                self._on_contact(now, message.source, address)
                self._send(address, Ack(message.number, self.name, message.by, self._take_rumors()))
        elif isinstance(message, PingRequest):
            if message.target in self.peers:
                self._ping(now, message.target, message.source, message.number)
        elif isinstance(message, Ack):
            self._on_ack(now, message)
        elif isinstance(message, DigestRequest):
            self._on_contact(now, message.source, address)
            self._on_digest_request(now, address, message)
        elif isinstance(message, Digest):
            self._on_digest(now, address, message)
        elif isinstance(message, DeltaRequest):
            self._on_delta_request(address, message)
        else:
            self._on_delta(message)

    def _on_contact(self, now: int, name: str, address: str) -> None:
        """Handles a sign of life: spreads a rumor on an unknown member, and pings one that is considered dead."""
        if name not in self.peers and name != self.name:
            self._apply_rumor(now, Rumor(name, address, 0, ALIVE))
        elif name in self.peers and self.peers[name].state == DEAD:
            self._ping(now, name)               # the ping carries its state, so that it can refute it

    def _on_ack(self, now: int, ack: Ack) -> None:
        if ack.whose and ack.whose in self.peers:      # the reply to an indirect probe: forward it to the requester
            self._send(self.peers[ack.whose].address, Ack(0, ack.source, "", ()))
            return
        if self._current_probe is not None and ack.source == self._current_probe[1]:
            self._current_probe = None
            self.health = max(0, self.health - 1)

    def _on_digest_request(self, now: int, address: str, request: DigestRequest) -> None:
        states = [State(owner, record.life, record.count, self.values.age(now, owner) // MS + 1)
                  for owner, record in self.values.owners.items()
                  if owner == self.name or record.fresh != NEVER_NS]
        for at in range(0, len(states), MAX_DIGEST_STATES):
            self._send(address, Digest(request.number, self.name, tuple(states[at:at + MAX_DIGEST_STATES])))

    def _on_digest(self, now: int, address: str, digest: Digest) -> None:
        request = self._digest_requests.get(digest.number)
        if request is None or request.whom != digest.source:
            return
        values = self.values
        wanted = []
        for state in digest.states:
            if state.owner == self.name:
                if (state.life, state.count) > values.owners[self.name].version():
                    # An earlier run of this name, which this process does not know.
                    values.supersede_life(state.life, self._rng.randrange(1, MAX_LIFE_STEP))
                continue
            at = request.at - max(0, state.age) * MS
            record = values.owners.get(state.owner)
            version = record.version() if record is not None else (0, 0)
            if version[0] > state.life or (digest.source == state.owner and version > (state.life, state.count)):
                continue      # a new run that does not know the known life says nothing about it
            if version >= (state.life, state.count):
                values.confirm(state.owner, state.life, state.count, at)
            elif len(values.owners) < MAX_MEMBERS:
                pending = self._pending_deltas.get(state.owner)
                if pending is None or pending[2] < at:
                    self._pending_deltas[state.owner] = (state.life, state.count, at)
                wanted.append((state.owner, *version))
        if wanted:
            self._send(address, DeltaRequest(digest.number, self.name, tuple(wanted)))

    def _on_delta_request(self, address: str, request: DeltaRequest) -> None:
        for owner, life, count in request.known[:MAX_DIGEST_STATES]:
            found = self.values.delta_since(owner, life, count, MAX_DELTA_BYTES)
            if found is not None:
                after, entries, upto, is_full = found
                self._send(address, Delta(request.number, self.name, owner, self.values.owners[owner].life, after,
                                          tuple(entries), upto, is_full))

    def _on_delta(self, delta: Delta) -> None:
        if delta.number not in self._digest_requests or not self.values.merge(delta):
            return
        pending = self._pending_deltas.get(delta.owner)
        record = self.values.owners[delta.owner]
        if pending is not None and record.version() >= pending[:2]:
            del self._pending_deltas[delta.owner]
            self.values.confirm(delta.owner, pending[0], pending[1], pending[2])
