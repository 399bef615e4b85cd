"""Consensus without I/O: events in, what to write, send and apply out.  Raft as published by Ongaro.

With pre-vote, check-quorum, leader transfer, reads without a write (read index), members changed one at a time with
learners, and snapshots sent in pieces.

The caller hands in every event with its own monotonic `now` (ns), then empties `take_output()`: it writes what is to be
written, and calls `on_written` once that is on disk.  Whatever promises something on behalf of the disk is kept back
until then.  While a write is under way more may gather for the next one (group commit).
"""

from __future__ import annotations

import random
from typing import Any

from msgspec import Struct

from .log import Log, Snapshot
from .messages import (
    Append,
    Appended,
    Ask,
    Config,
    Entry,
    Message,
    Piece,
    Taken,
    TimeoutNow,
    Vote,
)

FOLLOWER, PRE, CANDIDATE, LEADER = "follower", "pre-candidate", "candidate", "leader"


class Timers(Struct, frozen=True):
    """Durations, ns.  Clock rates may differ by 1 in 100: `election` is far above `heartbeat`."""

    heartbeat: int = 90_000_000
    election: int = 450_000_000        # at least so long without a leader before a vote; at most twice that
    batch: int = 512                   # entries in one message
    batch_bytes: int = 512 * 1024
    piece: int = 256 * 1024            # bytes of a snapshot in one message
    window: int = 8                    # messages to one follower that are not answered yet
    pending: int = 4096                # entries that are not committed yet: more is refused
    caught_up: int = 64                # a learner so close behind the leader may vote


class Write(Struct):
    """To be put on disk, all of it or none, then `on_written(number)`."""

    number: int
    term: int
    vote: str
    cut: int = 0                       # drop entries from this index on first; 0: none
    entries: list[Entry] = []
    snapshot: Snapshot | None = None   # takes the place of all up to its index


class Output(Struct):
    """What is to be done, in this order: write, send, apply, answer."""

    write: Write | None = None
    send: list[tuple[str, Message]] = []
    restore: Snapshot | None = None    # the state machine begins anew from this
    apply: list[Entry] = []
    reads: list[tuple[Any, int]] = []  # (whose, index): may be answered once that much is applied
    lost: list[Any] = []               # reads that must be asked again elsewhere


class _Peer:
    """What a leader knows of a follower."""

    __slots__ = ("heard", "inflight", "match", "next", "offset", "probing", "round", "sent_at", "snapshot")

    def __init__(self, next_index: int, now: int) -> None:
        self.next = next_index
        self.match = 0
        self.probing = True      # one message at a time until it is known where it stands
        self.inflight = 0
        self.heard = now
        self.round = 0
        self.offset = 0          # of the snapshot that is being sent
        self.snapshot = 0        # and its index
        self.sent_at = now


class Core:
    """One member."""

    def __init__(self, name: str, log: Log, term: int, vote: str, rng: random.Random, now: int,
                 timers: Timers | None = None) -> None:
        self.name = name
        self.log = log
        self.term, self.vote = term, vote
        self._rng = rng
        self._timers = timers or Timers()
        self.role = FOLLOWER
        self.leader = ""
        self.commit = log.snapshot.index
        self.applied = log.snapshot.index
        self.config, self._config_index = log.config()
        self._durable = log.last_index        # of the log, on this disk
        self._durable_vote = (term, vote)
        self._write = Write(0, term, vote)
        self._dirty = False
        self._writing = 0
        self._numbers = 0
        self._send_after_write: list[tuple[str, Message]] = []      # to be sent once the next write is on disk
        self._after: list[tuple[str, Message]] = []     # and once the one under way is
        self._out = Output()
        self._now = now
        self._leader_contact_at = now                     # from a leader, or a vote given
        self._votes: dict[str, bool] = {}
        self._peers: dict[str, _Peer] = {}
        self._round = 0
        self._beat_at = 0
        self._reads: list[tuple[Any, int, int]] = []    # whose, index, round
        self._early: list[Any] = []           # reads before this leader has committed anything of its own
        self._transfer = ""
        self._transfer_at = 0
        self._partial: tuple[int, int, bytearray] | None = None
        self._draw()

    # ---- Time -------------------------------------------------------------------------------------------

    def _draw(self) -> None:
        """A new election time-out at random, so that members do not all stand at once."""
        self._patience = int(self._timers.election * self._rng.uniform(1.0, 2.0))

    @property
    def next_tick_at(self) -> int:
        """When `tick` is wanted next."""
        return self._beat_at if self.role == LEADER else self._leader_contact_at + self._patience

    def tick(self, now: int) -> None:
        """Time has passed."""
        self._now = max(self._now, now)
        if self.role == LEADER:
            if now >= self._beat_at:
                self._beat()
        elif now >= self._leader_contact_at + self._patience:
            self._leader_contact_at, self.leader = now, ""   # who doesn't stand must not keep others from it either
            self._draw()
            if self._may_stand():
                self._stand(True)

    def _may_stand(self) -> bool:
        """A member that is being taken out still stands until that is committed: only it may have the entry."""
        if self.name in self.config.voters:
            return True
        return self._config_index > self.commit and self.name in self.log.config(self._config_index)[0].voters

    def _beat(self) -> None:
        """Heartbeats; a leader that hears no majority any more leads no longer (check-quorum)."""
        now, timers = self._now, self._timers
        alive = sum(name == self.name or now - self._peers[name].heard < timers.election
                    for name in self.config.voters)
        if alive <= len(self.config.voters) // 2:
            self._follow(self.term, "")
            return
        if self._transfer and now > self._transfer_at + timers.election:
            self._transfer = ""
        self._beat_at = now + timers.heartbeat
        self._round += 1
        for name, peer in self._peers.items():
            if now - peer.sent_at > timers.election:
                peer.inflight, peer.probing = 0, True   # what was sent is lost: look again where it stands
            self._send_append(name, peer, True)

    # ---- Roles ------------------------------------------------------------------------------------------

    def _follow(self, term: int, leader: str) -> None:
        if self.role == LEADER:
            self._out.lost += [whose for whose, _, _ in self._reads] + self._early
            self._reads, self._early = [], []
            self._leader_contact_at = self._now
            self._draw()
        if term > self.term:
            self.term, self.vote = term, ""
            self._dirty = True
        self.role, self.leader = FOLLOWER, leader
        self._transfer = ""

    def _stand(self, pre: bool, transfer: bool = False) -> None:
        """Ask for votes, or first whether there would be any: a member that was cut off disturbs nobody."""
        self.role, self.leader = (PRE if pre else CANDIDATE), ""
        if not pre:
            self.term, self.vote = self.term + 1, self.name
            self._dirty = True
        self._votes = {self.name: True}
        ask = Ask(self.term + 1 if pre else self.term, self.log.last_index, self.log.last_term, pre, transfer)
        for name in self.config.voters:
            if name != self.name:
                if pre:
                    self._out.send.append((name, ask))
                else:
                    self._send_when_durable(name, ask)   # the vote for oneself must be on disk as well
        self._count_votes()

    def _count_votes(self) -> None:
        votes = sum(self._votes.get(name, False) for name in self.config.voters)
        if votes <= len(self.config.voters) // 2:
            return
        if self.role == PRE:
            self._stand(False)
        elif self.role == CANDIDATE and self._durable_vote == (self.term, self.name):
            self._lead()

    def _lead(self) -> None:
        self.role, self.leader = LEADER, self.name
        self._transfer = ""
        self._peers = {}
        self._reads, self._early = [], []
        self._sync_peers()
        self._append(Entry(self.log.last_index + 1, self.term))   # what came before counts once this does
        self._beat_at = self._now
        self._beat()

    def _sync_peers(self) -> None:
        """Peers are the members of the newest configuration."""
        names = [name for name in (*self.config.voters, *self.config.learners) if name != self.name]
        self._peers = {name: self._peers.get(name) or _Peer(self.log.last_index + 1, self._now) for name in names}

    # ---- What callers ask -------------------------------------------------------------------------------

    def propose(self, now: int, data: bytes) -> int | None:
        """Put a change into the log; its index, or None where this is not a leader that may take it."""
        self._now = max(self._now, now)
        if self.role != LEADER or self._transfer or self.log.last_index - self.commit >= self._timers.pending:
            return None
        self._append(Entry(self.log.last_index + 1, self.term, data))
        self._replicate()
        return self.log.last_index

    def reconfigure(self, now: int, config: Config) -> int | None:
        """Change one member; None while another change is under way, or where it is not one step."""
        self._now = max(self._now, now)
        if (self.role != LEADER or self._transfer or self._config_index > self.commit
                or self.log.term(self.commit) != self.term or not config.voters):
            return None
        if len(set(config.voters) ^ set(self.config.voters)) > 1 or set(config.voters) & set(config.learners):
            return None
        self._append(Entry(self.log.last_index + 1, self.term, b"", config))
        self._replicate()
        return self.log.last_index

    def caught_up(self, name: str) -> bool:
        """Whether a learner is close enough behind to vote."""
        peer = self._peers.get(name)
        return peer is not None and peer.match + self._timers.caught_up >= self.log.last_index

    def read(self, now: int, whose: Any) -> bool:
        """A read that must see all that was acknowledged before; false where this is no leader."""
        self._now = max(self._now, now)
        if self.role != LEADER:
            return False
        if self.log.term(self.commit) != self.term:
            self._early.append(whose)
            return True
        self._queue_read(whose)
        return True

    def _queue_read(self, whose: Any) -> None:
        """The commit index now, valid once a majority has answered a heartbeat that is sent from now on."""
        fresh = not self._reads or self._reads[-1][2] != self._round + 1
        self._reads.append((whose, self.commit, self._round + 1))
        if fresh:
            self._beat_at = min(self._beat_at, self._now)
        if len(self.config.voters) == 1 and self.name in self.config.voters:
            self._beat()
            self._confirm()

    def transfer(self, now: int, name: str) -> bool:
        """Let another voter lead; changes are refused meanwhile."""
        self._now = max(self._now, now)
        if self.role != LEADER or name not in self.config.voters or name == self.name:
            return False
        self._transfer, self._transfer_at = name, now
        self._try_transfer()
        return True

    def _try_transfer(self) -> None:
        peer = self._peers.get(self._transfer)
        if peer is not None and peer.match == self.log.last_index:
            self._out.send.append((self._transfer, TimeoutNow(self.term)))

    def compact(self, snapshot: Snapshot) -> None:
        """The state machine has a snapshot up to an applied index: the log may begin after it."""
        if snapshot.index <= self.log.snapshot.index or snapshot.index > self.applied:
            return
        self.log.compact(snapshot)
        self._write.snapshot = snapshot
        self._dirty = True

    # ---- The log ----------------------------------------------------------------------------------------

    def _append(self, entry: Entry) -> None:
        self.log.append(entry)
        self._write.entries.append(entry)
        self._dirty = True
        if entry.config is not None:
            self._take_config()

    def _take_config(self) -> None:
        """The newest configuration counts as soon as it is in the log."""
        self.config, self._config_index = self.log.config()
        if self.role == LEADER:
            self._sync_peers()

    def _cut(self, index: int) -> None:
        """A leader has other entries from here on."""
        self.log.truncate(index)
        self._write.cut = min(self._write.cut or index, index)
        self._write.entries = [entry for entry in self._write.entries if entry.index < index]
        self._durable = min(self._durable, index - 1)
        self._dirty = True
        self._take_config()

    def _replicate(self) -> None:
        for name, peer in self._peers.items():
            self._send_append(name, peer, False)

    def _send_append(self, name: str, peer: _Peer, beat: bool) -> None:
        """Entries to a follower, or a piece of the snapshot where the log no longer has them."""
        timers = self._timers
        if not beat and (peer.inflight >= (1 if peer.probing else timers.window) or peer.next > self.log.last_index):
            return
        prev = peer.next - 1
        prev_term = self.log.term(prev)
        if prev_term is None:
            self._send_piece(name, peer)
            return
        room = peer.inflight < (1 if peer.probing else timers.window)
        entries = self.log.after(prev, timers.batch, timers.batch_bytes) if room else ()
        if entries:
            peer.inflight += 1
            if not peer.probing:
                peer.next = entries[-1].index + 1
        peer.sent_at = self._now if entries or not peer.inflight else peer.sent_at
        self._out.send.append((name, Append(self.term, prev, prev_term, entries, self.commit, self._round)))

    def _send_piece(self, name: str, peer: _Peer) -> None:
        snapshot = self.log.snapshot
        if peer.snapshot != snapshot.index:
            peer.snapshot, peer.offset = snapshot.index, 0
        offset = peer.offset
        data = snapshot.data[offset:offset + self._timers.piece]
        peer.sent_at = self._now
        self._out.send.append((name, Piece(self.term, snapshot.index, snapshot.term, snapshot.config, offset, data,
                                           offset + len(data) >= len(snapshot.data), self._round)))

    def _advance(self) -> None:
        """Commit what a majority has on disk, if it is of this term: an older one counts only below such."""
        matches = sorted((self._durable if name == self.name else self._peers[name].match
                          for name in self.config.voters), reverse=True)
        index = matches[len(matches) // 2]
        if index > self.commit and self._may_commit(index):
            self._commit(index)
            for whose in self._early:
                self._queue_read(whose)
            self._early = []
            self._replicate()

    def _may_commit(self, index: int) -> bool:
        return self.log.term(index) == self.term

    def _commit(self, index: int) -> None:
        self.commit = max(self.commit, min(index, self.log.last_index))
        while self.applied < self.commit:
            self.applied += 1
            self._out.apply.append(self.log.get(self.applied))
        if self.role == LEADER and self._config_index <= self.commit and self.name not in self.config.voters:
            self._follow(self.term, "")   # it was taken out, and that is committed now

    def _confirm(self) -> None:
        """Reads whose round a majority has answered."""
        rounds = sorted((self._round if name == self.name else self._peers[name].round
                         for name in self.config.voters), reverse=True)
        confirmed = rounds[len(rounds) // 2]
        while self._reads and self._reads[0][2] <= confirmed:
            whose, index, _ = self._reads.pop(0)
            self._out.reads.append((whose, index))

    # ---- Messages ---------------------------------------------------------------------------------------

    def on_message(self, now: int, source: str, message: Message) -> None:
        """Something has come from another member."""
        self._now = max(self._now, now)
        if isinstance(message, Ask):
            self._on_ask(source, message)
            return
        if message.term > self.term and not (isinstance(message, Vote) and message.pre and message.granted):
            self._follow(message.term, "")
        if isinstance(message, Vote):
            self._on_vote(source, message)
        elif message.term < self.term:
            if isinstance(message, Append | Piece):
                self._out.send.append((source, Appended(self.term, False, self.log.last_index, message.round)))
        elif isinstance(message, Append):
            self._from_leader(source)
            self._on_append(source, message)
        elif isinstance(message, Piece):
            self._from_leader(source)
            self._on_piece(source, message)
        elif isinstance(message, TimeoutNow):
            if self.name in self.config.voters and self.role != LEADER:
                self._stand(False, True)
        elif self.role == LEADER and source in self._peers:
            peer = self._peers[source]
            peer.heard = self._now
            if isinstance(message, Appended):
                self._on_appended(source, peer, message)
            else:
                self._on_taken(source, peer, message)

    def _on_ask(self, source: str, ask: Ask) -> None:
        """A vote, or whether there would be one.  While a leader is heard of, only that leader may wish one."""
        steady = self._now - self._leader_contact_at < self._timers.election and bool(self.leader)
        if self.role == LEADER:
            steady = True
        if ask.term < self.term or (steady and not ask.transfer):
            self._out.send.append((source, Vote(self.term, False, ask.pre)))
            return
        newer = self._up_to_date(ask)
        if ask.pre:
            self._out.send.append((source, Vote(ask.term if newer else self.term, newer, True)))
            return
        if ask.term > self.term:
            self._follow(ask.term, "")
        granted = newer and self.vote in ("", source) and self.role in (FOLLOWER, PRE)
        if granted:
            if self.vote != source:
                self.vote = source
                self._dirty = True
            self._leader_contact_at = self._now
        self._send_when_durable(source, Vote(self.term, granted))

    def _up_to_date(self, ask: Ask) -> bool:
        return (ask.last_term, ask.last_index) >= (self.log.last_term, self.log.last_index)

    def _on_vote(self, source: str, vote: Vote) -> None:
        wanted = self.term + 1 if vote.pre else self.term
        if self.role == (PRE if vote.pre else CANDIDATE) and vote.term == wanted and vote.granted:
            self._votes[source] = True
            self._count_votes()

    def _from_leader(self, source: str) -> None:
        self._leader_contact_at = self._now
        if self.role != FOLLOWER or self.leader != source:
            self._follow(self.term, source)

    def _on_append(self, source: str, message: Append) -> None:
        log = self.log
        if message.prev_index < log.snapshot.index:
            self._send_when_durable(source, Appended(self.term, True, log.snapshot.index, message.round))
            return
        if log.term(message.prev_index) != message.prev_term:
            hint = min(log.last_index, message.prev_index - 1)
            while hint > self.commit and (log.term(hint) or 0) > message.prev_term:
                hint -= 1   # of a term that the leader's log had not come to there
            self._out.send.append((source, Appended(self.term, False, hint, message.round)))
            return
        for entry in message.entries:
            known = log.term(entry.index)
            if known is not None and known != entry.term:
                self._cut(entry.index)
                known = None
            if known is None:
                self._append(entry)
        match = message.prev_index + len(message.entries)
        if message.commit > self.commit:
            self._commit(min(message.commit, match))
        self._send_when_durable(source, Appended(self.term, True, match, message.round))

    def _on_appended(self, source: str, peer: _Peer, message: Appended) -> None:
        peer.round = max(peer.round, message.round)
        peer.inflight = max(0, peer.inflight - 1)
        if message.ok:
            peer.probing = False
            peer.offset = 0
            if message.index > peer.match:
                peer.match = message.index
                peer.next = max(peer.next, peer.match + 1)
                self._advance()
                if self._transfer == source:
                    self._try_transfer()
        else:   # look again where it stands; what is known to match is never taken back
            peer.probing = True
            peer.next = max(peer.match + 1, min(peer.next - 1, message.index + 1))
            peer.inflight = 0
        if self.role == LEADER:
            self._confirm()
            self._send_append(source, peer, False)

    def _on_piece(self, source: str, piece: Piece) -> None:
        if piece.index <= self.commit:
            self._send_when_durable(source, Appended(self.term, True, self.commit, piece.round))
            return
        if self._partial is None or self._partial[:2] != (piece.index, piece.index_term):
            self._partial = (piece.index, piece.index_term, bytearray())
        got = self._partial[2]
        if piece.offset == len(got):
            got += piece.data
            if piece.last:
                self._install_snapshot(Snapshot(piece.index, piece.index_term, piece.config, bytes(got)))
                self._send_when_durable(source, Appended(self.term, True, piece.index, piece.round))
                return
        self._out.send.append((source, Taken(self.term, piece.index, len(got), piece.round)))

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        """A leader's snapshot takes the place of what this member has."""
        self._partial = None
        if self.log.term(snapshot.index) != snapshot.term:
            self._write.cut = min(self._write.cut or 1 << 62, self.log.snapshot.index + 1)   # nothing of it fits
        self.log.compact(snapshot)
        self._write.snapshot = snapshot
        self._write.entries = [entry for entry in self._write.entries if entry.index > snapshot.index
                               and self.log.term(entry.index) == entry.term]
        self._durable = max(snapshot.index, min(self._durable, self.log.last_index))
        self._dirty = True
        self.commit = self.applied = snapshot.index
        self._out.apply = []
        self._out.restore = snapshot
        self._take_config()

    def _on_taken(self, source: str, peer: _Peer, message: Taken) -> None:
        peer.round = max(peer.round, message.round)
        if message.index == peer.snapshot == self.log.snapshot.index and message.offset != peer.offset:
            peer.offset = message.offset   # further on, or from the start where the follower has begun anew
            self._send_piece(source, peer)
        self._confirm()

    # ---- Output -----------------------------------------------------------------------------------------

    def _send_when_durable(self, to: str, message: Message) -> None:
        """Send once all that was decided up to now is on disk."""
        self._send_after_write.append((to, message))

    def take_output(self) -> Output:
        """What is to be done now.  One write is under way at a time; more gathers for the next."""
        out, self._out = self._out, Output()
        if not self._writing:
            if self._dirty or self._durable_vote != (self.term, self.vote):
                self._numbers += 1
                write = self._write
                write.number, write.term, write.vote = self._numbers, self.term, self.vote
                self._writing = self._numbers
                self._after, self._send_after_write = self._send_after_write, []
                self._write = Write(0, self.term, self.vote)
                self._dirty = False
                out.write = write
            else:
                out.send += self._send_after_write
                self._send_after_write = []
        return out

    def on_written(self, now: int, write: Write) -> None:
        """That write is on disk: what was promised on its behalf may go."""
        self._now = max(self._now, now)
        kept, self._after = self._after, []
        self._writing = 0
        self._durable_vote = (write.term, write.vote)
        if write.snapshot is not None:
            self._durable = max(self._durable, write.snapshot.index)
        for entry in write.entries:   # what was cut meanwhile is not the log's any more
            if self.log.term(entry.index) == entry.term:
                self._durable = max(self._durable, entry.index)
        self._out.send += [(to, message) for to, message in kept if message.term == self.term]
        if self.role == CANDIDATE:
            self._count_votes()
        elif self.role == LEADER:
            self._advance()

