"""The Raft consensus core, without I/O: it consumes events and produces writes, messages and entries to apply.

Implements Raft as published by Ongaro, with pre-vote, check-quorum, leadership transfer, linearizable reads without a
log write (read index), single-server membership changes with learners, and snapshots transferred in chunks.

The caller passes each event with its monotonic time `now` (ns) and then processes the result of `take_output`.  It
makes the write durable and then calls `on_written`; messages that rely on durable state are held back until then.
While one write is in flight, further changes accumulate for the next one (group commit).
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

FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER = "follower", "pre-candidate", "candidate", "leader"


class Timers(Struct, frozen=True):
    """Durations in ns, and limits.  Clock rates may differ by 1 in 100, so `election` is far above `heartbeat`."""

    heartbeat: int = 90_000_000
    election: int = 450_000_000        # minimum election timeout; the actual one is drawn from 1 to 2 times this
    batch: int = 512                   # maximum entries per Append message
    batch_bytes: int = 512 * 1024      # maximum bytes of entries per Append message
    piece: int = 256 * 1024            # bytes of snapshot data per Piece message
    window: int = 8                    # maximum Append messages in flight to one follower
    pending: int = 4096                # maximum uncommitted entries; further proposals are rejected
    caught_up: int = 64                # a learner at most this many entries behind may become a voter


class Write(Struct):
    """A write that the caller makes durable atomically and then acknowledges with `Core.on_written`."""

    number: int
    term: int
    vote: str
    cut: int = 0                       # first remove all entries from this index on; 0: none
    entries: list[Entry] = []
    snapshot: Snapshot | None = None   # replaces all entries up to its index


class Output(Struct):
    """Actions for the caller, in this order: write, send, apply, respond to reads."""

    write: Write | None = None
    send: list[tuple[str, Message]] = []
    restore: Snapshot | None = None    # the state machine is replaced by this snapshot
    apply: list[Entry] = []
    reads: list[tuple[Any, int]] = []  # (caller, index): may be served once that index is applied
    lost: list[Any] = []               # reads that this member can no longer serve: leadership was lost


class _Peer:
    """A leader's replication state for one follower."""

    __slots__ = ("inflight", "last_response_at", "match", "next", "probing", "round", "sent_at", "snapshot_index",
                 "snapshot_offset")

    def __init__(self, next_index: int, now: int) -> None:
        self.next = next_index
        self.match = 0
        self.probing = True         # one Append at a time until the matching index is found
        self.inflight = 0           # Append messages without a reply
        self.last_response_at = now
        self.round = 0              # last heartbeat round that the follower has acknowledged
        self.snapshot_offset = 0    # bytes of the snapshot that the follower has received
        self.snapshot_index = 0     # index of the snapshot in transfer
        self.sent_at = now          # last Append with entries, or with none in flight, or last snapshot chunk


class Core:
    """The consensus state of one member."""

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
        self._durable = log.last_index        # last log index that is durable on this member
        self._durable_vote = (term, vote)
        self._write = Write(0, term, vote)    # accumulates changes for the next write
        self._dirty = False                   # the next write has changes
        self._write_in_flight = 0             # its number; 0: none
        self._last_write_number = 0
        self._send_after_write: list[tuple[str, Message]] = []   # sent once the next write is durable
        self._send_after_current_write: list[tuple[str, Message]] = []   # sent once the write in flight is durable
        self._out = Output()
        self._now = now
        self._leader_contact_at = now         # last message from a leader, or last vote granted
        self._votes: dict[str, bool] = {}
        self._peers: dict[str, _Peer] = {}
        self._round = 0                       # number of the last heartbeat round
        self._heartbeat_at = 0
        self._reads: list[tuple[Any, int, int]] = []    # caller, read index, heartbeat round
        self._early_reads: list[Any] = []     # received before an entry of this term is committed
        self._transfer_target = ""
        self._transfer_started_at = 0
        self._incoming_snapshot: tuple[int, int, bytearray] | None = None
        self._draw_election_timeout()

    # ---- Time -------------------------------------------------------------------------------------------

    def _draw_election_timeout(self) -> None:
        """Draws a new random election timeout, so that members do not all campaign at the same time."""
        self._election_timeout = int(self._timers.election * self._rng.uniform(1.0, 2.0))

    @property
    def next_tick_at(self) -> int:
        """The time at which `tick` must next be called."""
        return self._heartbeat_at if self.role == LEADER else self._leader_contact_at + self._election_timeout

    def tick(self, now: int) -> None:
        """Sends heartbeats that are due, or starts an election when the election timeout has passed."""
        self._now = max(self._now, now)
        if self.role == LEADER:
            if now >= self._heartbeat_at:
                self._send_heartbeats()
        elif now >= self._leader_contact_at + self._election_timeout:
            self._leader_contact_at, self.leader = now, ""   # non-voters too must stop rejecting candidates
            self._draw_election_timeout()
            if self._may_campaign():
                self._campaign(True)

    def _may_campaign(self) -> bool:
        """Whether this member may campaign: a voter, or one whose removal is not committed.

        It may be the only member that has the entry that removes it.
        """
        if self.name in self.config.voters:
            return True
        return self._config_index > self.commit and self.name in self.log.config(self._config_index)[0].voters

    def _send_heartbeats(self) -> None:
        """Sends heartbeats, or steps down if no majority has responded within `election` (check-quorum)."""
        now, timers = self._now, self._timers
        responding = sum(name == self.name or now - self._peers[name].last_response_at < timers.election
                         for name in self.config.voters)
        if responding <= len(self.config.voters) // 2:
            self._become_follower(self.term, "")
            return
        if self._transfer_target and now > self._transfer_started_at + timers.election:
            self._transfer_target = ""
        self._heartbeat_at = now + timers.heartbeat
        self._round += 1
        for name, peer in self._peers.items():
            if now - peer.sent_at > timers.election:
                peer.inflight, peer.probing = 0, True   # messages in flight are lost: find the matching index again
            self._send_append(name, peer, True)

    # ---- Roles ------------------------------------------------------------------------------------------

    def _become_follower(self, term: int, leader: str) -> None:
        if self.role == LEADER:
            self._out.lost += [caller for caller, _, _ in self._reads] + self._early_reads
            self._reads, self._early_reads = [], []
            self._leader_contact_at = self._now
            self._draw_election_timeout()
        if term > self.term:
            self.term, self.vote = term, ""
            self._dirty = True
        self.role, self.leader = FOLLOWER, leader
        self._transfer_target = ""

    def _campaign(self, pre_vote: bool, transfer: bool = False) -> None:
        """Requests votes, or pre-votes first: a member that returns from a partition disrupts no leader."""
        self.role, self.leader = (PRE_CANDIDATE if pre_vote else CANDIDATE), ""
        if not pre_vote:
            self.term, self.vote = self.term + 1, self.name
            self._dirty = True
        self._votes = {self.name: True}
        request = Ask(self.term + 1 if pre_vote else self.term, self.log.last_index, self.log.last_term,
                      pre_vote, transfer)
        for name in self.config.voters:
            if name != self.name:
                if pre_vote:
                    self._out.send.append((name, request))
                else:
                    self._send_when_durable(name, request)   # the vote for itself must be durable first
        self._count_votes()

    def _count_votes(self) -> None:
        votes = sum(self._votes.get(name, False) for name in self.config.voters)
        if votes <= len(self.config.voters) // 2:
            return
        if self.role == PRE_CANDIDATE:
            self._campaign(False)
        elif self.role == CANDIDATE and self._durable_vote == (self.term, self.name):
            self._become_leader()

    def _become_leader(self) -> None:
        self.role, self.leader = LEADER, self.name
        self._transfer_target = ""
        self._peers = {}
        self._reads, self._early_reads = [], []
        self._sync_peers()
        self._append(Entry(self.log.last_index + 1, self.term))   # commits the entries of earlier terms with it
        self._heartbeat_at = self._now
        self._send_heartbeats()

    def _sync_peers(self) -> None:
        """Updates the replication states to the members of the latest configuration."""
        names = [name for name in (*self.config.voters, *self.config.learners) if name != self.name]
        self._peers = {name: self._peers.get(name) or _Peer(self.log.last_index + 1, self._now) for name in names}

    # ---- Requests ---------------------------------------------------------------------------------------

    def propose(self, now: int, data: bytes) -> int | None:
        """Appends a command to the log and returns its index.

        Returns None if this member is not the leader, is transferring leadership, or has too many uncommitted entries.
        """
        self._now = max(self._now, now)
        if self.role != LEADER or self._transfer_target or self.log.last_index - self.commit >= self._timers.pending:
            return None
        self._append(Entry(self.log.last_index + 1, self.term, data))
        self._replicate()
        return self.log.last_index

    def reconfigure(self, now: int, config: Config) -> int | None:
        """Appends a configuration that differs by one voter and returns its index.

        Returns None if this member cannot lead the change, another change is uncommitted, or the step is invalid.
        """
        self._now = max(self._now, now)
        if (self.role != LEADER or self._transfer_target or self._config_index > self.commit
                or self.log.term(self.commit) != self.term or not config.voters):
            return None
        if len(set(config.voters) ^ set(self.config.voters)) > 1 or set(config.voters) & set(config.learners):
            return None
        self._append(Entry(self.log.last_index + 1, self.term, b"", config))
        self._replicate()
        return self.log.last_index

    def caught_up(self, name: str) -> bool:
        """Whether a learner is close enough to the end of the log to become a voter."""
        peer = self._peers.get(name)
        return peer is not None and peer.match + self._timers.caught_up >= self.log.last_index

    def read(self, now: int, caller: Any) -> bool:
        """Starts a linearizable read, completed by `Output.reads` or `Output.lost`; false if this is not the leader."""
        self._now = max(self._now, now)
        if self.role != LEADER:
            return False
        if self.log.term(self.commit) != self.term:
            self._early_reads.append(caller)
            return True
        self._queue_read(caller)
        return True

    def _queue_read(self, caller: Any) -> None:
        """Records the commit index as read index; a majority must acknowledge a later heartbeat round first."""
        first_of_round = not self._reads or self._reads[-1][2] != self._round + 1
        self._reads.append((caller, self.commit, self._round + 1))
        if first_of_round:
            self._heartbeat_at = min(self._heartbeat_at, self._now)
        if len(self.config.voters) == 1 and self.name in self.config.voters:
            self._send_heartbeats()
            self._release_reads()

    def transfer(self, now: int, name: str) -> bool:
        """Transfers leadership to another voter; proposals are rejected until that is done or times out."""
        self._now = max(self._now, now)
        if self.role != LEADER or name not in self.config.voters or name == self.name:
            return False
        self._transfer_target, self._transfer_started_at = name, now
        self._send_timeout_now()
        return True

    def _send_timeout_now(self) -> None:
        peer = self._peers.get(self._transfer_target)
        if peer is not None and peer.match == self.log.last_index:
            self._out.send.append((self._transfer_target, TimeoutNow(self.term)))

    def compact(self, snapshot: Snapshot) -> None:
        """Replaces the log up to an applied index with a snapshot of the state machine."""
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
            self._adopt_config()

    def _adopt_config(self) -> None:
        """Switches to the latest configuration, which is effective as soon as it is in the log."""
        self.config, self._config_index = self.log.config()
        if self.role == LEADER:
            self._sync_peers()

    def _truncate(self, index: int) -> None:
        """Removes all entries from this index on: they conflict with the leader's."""
        self.log.truncate(index)
        self._write.cut = min(self._write.cut or index, index)
        self._write.entries = [entry for entry in self._write.entries if entry.index < index]
        self._durable = min(self._durable, index - 1)
        self._dirty = True
        self._adopt_config()

    def _replicate(self) -> None:
        for name, peer in self._peers.items():
            self._send_append(name, peer, False)

    def _send_append(self, name: str, peer: _Peer, heartbeat: bool) -> None:
        """Sends entries to a follower, or a chunk of the snapshot if the log no longer has the entries."""
        timers = self._timers
        if not heartbeat and (peer.inflight >= (1 if peer.probing else timers.window)
                              or peer.next > self.log.last_index):
            return
        prev = peer.next - 1
        prev_term = self.log.term(prev)
        if prev_term is None:
            self._send_snapshot_chunk(name, peer)
            return
        has_room = peer.inflight < (1 if peer.probing else timers.window)
        entries = self.log.entries_after(prev, timers.batch, timers.batch_bytes) if has_room else ()
        if entries:
            peer.inflight += 1
            if not peer.probing:
                peer.next = entries[-1].index + 1
        peer.sent_at = self._now if entries or not peer.inflight else peer.sent_at
        self._out.send.append((name, Append(self.term, prev, prev_term, entries, self.commit, self._round)))

    def _send_snapshot_chunk(self, name: str, peer: _Peer) -> None:
        snapshot = self.log.snapshot
        if peer.snapshot_index != snapshot.index:
            peer.snapshot_index, peer.snapshot_offset = snapshot.index, 0
        offset = peer.snapshot_offset
        data = snapshot.data[offset:offset + self._timers.piece]
        peer.sent_at = self._now
        self._out.send.append((name, Piece(self.term, snapshot.index, snapshot.term, snapshot.config, offset, data,
                                           offset + len(data) >= len(snapshot.data), self._round)))

    def _advance_commit(self) -> None:
        """Commits up to the index that is durable on a majority.

        An entry of an earlier term is committed only together with a later one of this term.
        """
        matches = sorted((self._durable if name == self.name else self._peers[name].match
                          for name in self.config.voters), reverse=True)
        index = matches[len(matches) // 2]
        if index > self.commit and self._may_commit(index):
            self._commit(index)
            for caller in self._early_reads:
                self._queue_read(caller)
            self._early_reads = []
            self._replicate()

    def _may_commit(self, index: int) -> bool:
        return self.log.term(index) == self.term

    def _commit(self, index: int) -> None:
        self.commit = max(self.commit, min(index, self.log.last_index))
        while self.applied < self.commit:
            self.applied += 1
            self._out.apply.append(self.log.get(self.applied))
        if self.role == LEADER and self._config_index <= self.commit and self.name not in self.config.voters:
            self._become_follower(self.term, "")   # its own removal is now committed

    def _release_reads(self) -> None:
        """Releases the reads whose heartbeat round a majority has acknowledged."""
        rounds = sorted((self._round if name == self.name else self._peers[name].round
                         for name in self.config.voters), reverse=True)
        confirmed = rounds[len(rounds) // 2]
        while self._reads and self._reads[0][2] <= confirmed:
            caller, index, _ = self._reads.pop(0)
            self._out.reads.append((caller, index))

    # ---- Messages ---------------------------------------------------------------------------------------

    def on_message(self, now: int, source: str, message: Message) -> None:
        """Handles a message from another member."""
        self._now = max(self._now, now)
        if isinstance(message, Ask):
            self._on_vote_request(source, message)
            return
        if message.term > self.term and not (isinstance(message, Vote) and message.pre and message.granted):
            self._become_follower(message.term, "")
        if isinstance(message, Vote):
            self._on_vote(source, message)
        elif message.term < self.term:
            if isinstance(message, Append | Piece):
                self._out.send.append((source, Appended(self.term, False, self.log.last_index, message.round)))
        elif isinstance(message, Append):
            self._on_leader_contact(source)
            self._on_append(source, message)
        elif isinstance(message, Piece):
            self._on_leader_contact(source)
            self._on_snapshot_chunk(source, message)
        elif isinstance(message, TimeoutNow):
            if self.name in self.config.voters and self.role != LEADER:
                self._campaign(False, True)
        elif self.role == LEADER and source in self._peers:
            peer = self._peers[source]
            peer.last_response_at = self._now
            if isinstance(message, Appended):
                self._on_appended(source, peer, message)
            else:
                self._on_snapshot_progress(source, peer, message)

    def _on_vote_request(self, source: str, request: Ask) -> None:
        """Responds to a vote or pre-vote request.

        While this member has a current leader it grants a vote only if that leader transfers its leadership.
        """
        has_leader = self._now - self._leader_contact_at < self._timers.election and bool(self.leader)
        if self.role == LEADER:
            has_leader = True
        if request.term < self.term or (has_leader and not request.transfer):
            self._out.send.append((source, Vote(self.term, False, request.pre)))
            return
        up_to_date = self._up_to_date(request)
        if request.pre:
            self._out.send.append((source, Vote(request.term if up_to_date else self.term, up_to_date, True)))
            return
        if request.term > self.term:
            self._become_follower(request.term, "")
        granted = up_to_date and self.vote in ("", source) and self.role in (FOLLOWER, PRE_CANDIDATE)
        if granted:
            if self.vote != source:
                self.vote = source
                self._dirty = True
            self._leader_contact_at = self._now
        self._send_when_durable(source, Vote(self.term, granted))

    def _up_to_date(self, request: Ask) -> bool:
        return (request.last_term, request.last_index) >= (self.log.last_term, self.log.last_index)

    def _on_vote(self, source: str, vote: Vote) -> None:
        expected_term = self.term + 1 if vote.pre else self.term
        if self.role == (PRE_CANDIDATE if vote.pre else CANDIDATE) and vote.term == expected_term and vote.granted:
            self._votes[source] = True
            self._count_votes()

    def _on_leader_contact(self, source: str) -> None:
        self._leader_contact_at = self._now
        if self.role != FOLLOWER or self.leader != source:
            self._become_follower(self.term, source)

    def _on_append(self, source: str, message: Append) -> None:
        log = self.log
        if message.prev_index < log.snapshot.index:
            self._send_when_durable(source, Appended(self.term, True, log.snapshot.index, message.round))
            return
        if log.term(message.prev_index) != message.prev_term:
            hint = min(log.last_index, message.prev_index - 1)
            while hint > self.commit and (log.term(hint) or 0) > message.prev_term:
                hint -= 1   # the leader's log has an older term at that index
            self._out.send.append((source, Appended(self.term, False, hint, message.round)))
            return
        for entry in message.entries:
            known_term = log.term(entry.index)
            if known_term is not None and known_term != entry.term:
                self._truncate(entry.index)
                known_term = None
            if known_term is None:
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
            peer.snapshot_offset = 0
            if message.index > peer.match:
                peer.match = message.index
                peer.next = max(peer.next, peer.match + 1)
                self._advance_commit()
                if self._transfer_target == source:
                    self._send_timeout_now()
        else:   # search for the matching index again; `match` never decreases
            peer.probing = True
            peer.next = max(peer.match + 1, min(peer.next - 1, message.index + 1))
            peer.inflight = 0
        if self.role == LEADER:
            self._release_reads()
            self._send_append(source, peer, False)

    def _on_snapshot_chunk(self, source: str, piece: Piece) -> None:
        if piece.index <= self.commit:
            self._send_when_durable(source, Appended(self.term, True, self.commit, piece.round))
            return
        if self._incoming_snapshot is None or self._incoming_snapshot[:2] != (piece.index, piece.index_term):
            self._incoming_snapshot = (piece.index, piece.index_term, bytearray())
        received = self._incoming_snapshot[2]
        if piece.offset == len(received):
            received += piece.data
            if piece.last:
                self._install_snapshot(Snapshot(piece.index, piece.index_term, piece.config, bytes(received)))
                self._send_when_durable(source, Appended(self.term, True, piece.index, piece.round))
                return
        self._out.send.append((source, Taken(self.term, piece.index, len(received), piece.round)))

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        """Replaces log and state with the leader's snapshot."""
        self._incoming_snapshot = None
        if self.log.term(snapshot.index) != snapshot.term:
            self._write.cut = min(self._write.cut or 1 << 62, self.log.snapshot.index + 1)   # the whole log conflicts
        self.log.compact(snapshot)
        self._write.snapshot = snapshot
        self._write.entries = [entry for entry in self._write.entries if entry.index > snapshot.index
                               and self.log.term(entry.index) == entry.term]
        self._durable = max(snapshot.index, min(self._durable, self.log.last_index))
        self._dirty = True
        self.commit = self.applied = snapshot.index
        self._out.apply = []
        self._out.restore = snapshot
        self._adopt_config()

    def _on_snapshot_progress(self, source: str, peer: _Peer, message: Taken) -> None:
        peer.round = max(peer.round, message.round)
        if message.index == peer.snapshot_index == self.log.snapshot.index and message.offset != peer.snapshot_offset:
            peer.snapshot_offset = message.offset   # the next chunk, or the first again if the follower lost its part
            self._send_snapshot_chunk(source, peer)
        self._release_reads()

    # ---- Output -----------------------------------------------------------------------------------------

    def _send_when_durable(self, to: str, message: Message) -> None:
        """Sends a message once all state changes made so far are durable."""
        self._send_after_write.append((to, message))

    def take_output(self) -> Output:
        """Returns and clears the pending actions.  At most one write is in flight; later changes wait for the next."""
        out, self._out = self._out, Output()
        if not self._write_in_flight:
            if self._dirty or self._durable_vote != (self.term, self.vote):
                self._last_write_number += 1
                write = self._write
                write.number, write.term, write.vote = self._last_write_number, self.term, self.vote
                self._write_in_flight = self._last_write_number
                self._send_after_current_write, self._send_after_write = self._send_after_write, []
                self._write = Write(0, self.term, self.vote)
                self._dirty = False
                out.write = write
            else:
                out.send += self._send_after_write
                self._send_after_write = []
        return out

    def on_written(self, now: int, write: Write) -> None:
        """Handles the completion of a write: sends the messages that were held back for it."""
        self._now = max(self._now, now)
        held_back, self._send_after_current_write = self._send_after_current_write, []
        self._write_in_flight = 0
        self._durable_vote = (write.term, write.vote)
        if write.snapshot is not None:
            self._durable = max(self._durable, write.snapshot.index)
        for entry in write.entries:   # entries truncated while the write was in flight no longer count
            if self.log.term(entry.index) == entry.term:
                self._durable = max(self._durable, entry.index)
        self._out.send += [(to, message) for to, message in held_back if message.term == self.term]
        if self.role == CANDIDATE:
            self._count_votes()
        elif self.role == LEADER:
            self._advance_commit()

