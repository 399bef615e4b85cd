"""Known errors to inject into the store one at a time: the checks of `histories.py` must find each of them."""

from __future__ import annotations

from typing import Any

import msgspec

from moleworks.duties.held import Held
from moleworks.store.core import Core, Write
from moleworks.store.grants import Granter
from moleworks.store.log import Snapshot
from moleworks.store.messages import Ask, Config, Entry, Message
from moleworks.store.state import Acquire, Change, Command, Guard, Renew, Result, State

from .members import Disk, Parts


class CommitsByCounting(Core):
    """The leader commits an entry of an older term as soon as a majority has it."""

    def _may_commit(self, index: int) -> bool:
        return True


class VotesWithoutLogCheck(Core):
    """A member grants its vote without comparing the logs."""

    def _up_to_date(self, ask: Ask) -> bool:
        return True


class ConfirmsBeforeDurable(Core):
    """A member confirms votes and entries before they are durable."""

    def _send_when_durable(self, to: str, message: Message) -> None:
        self._out.send.append((to, message))


class ServesStaleReads(Core):
    """A leader serves reads without confirming that it is still the leader."""

    def _queue_read(self, ticket: Any) -> None:
        self._out.reads.append((ticket, self.commit))


class AllowsAnyMemberChange(Core):
    """Membership changes may overlap, and a change may be more than one step."""

    def reconfigure(self, now: int, config: Config) -> int | None:
        if self.role != "leader":
            return None
        self._append(Entry(self.log.last_index + 1, self.term, b"", config))
        self._replicate()
        return self.log.last_index


class WinsWithHalfOfVotes(Core):
    """A candidate wins with half of the votes."""

    def _count_votes(self) -> None:
        self._votes = {**self._votes, **dict.fromkeys(list(self._votes)[:1], True)}
        if self.role != "leader" and sum(self._votes.values()) >= len(self.config.voters) // 2:
            self._votes.update(dict.fromkeys(self.config.voters, True))
        super()._count_votes()


def _sync_without_vote(disk: Disk, write: Write) -> None:
    """Omit the vote from the write."""
    disk.sync(Write(write.number, write.term, "", write.cut, write.entries, write.snapshot))


def _sync_without_truncation(disk: Disk, write: Write) -> None:
    """Keep entries on disk that a new leader has truncated, behind the new entries."""
    disk.sync(Write(write.number, write.term, write.vote, 0, write.entries, write.snapshot))


class SnapshotsWithoutSessions(State):
    """Snapshots do not contain the sessions."""

    def image(self) -> bytes:
        image = msgspec.msgpack.decode(super().image())
        return msgspec.msgpack.encode({**image, "sessions": {}})


class AppliesResentCommands(State):
    """A resent command is applied again."""

    def apply(self, data: bytes) -> tuple[Command | None, Result]:
        command: Command = msgspec.msgpack.decode(data, type=Command)
        if isinstance(command, Change | Acquire | Renew):
            session = self._sessions.get(command.client)
            if session is not None and session.number >= command.number:
                session.number = command.number - 1
        return super().apply(data)


class IgnoresTokens(State):
    """A guarded change is accepted with any token."""

    def _token_is_current(self, guard: Guard) -> bool:
        return True


class ReissuesTokens(State):
    """The token counter is lost with the grant, so that a token is issued again."""

    def _acquire(self, command: Acquire) -> Result:
        if command.duty not in self.grants:
            self.tokens.pop(command.duty, None)
        return super()._acquire(command)


class CountsLeaseFromReply(Held):
    """A holder counts its lease from the reply instead of from the request."""

    def __init__(self, duty: str, token: int, ttl_ms: int, sent: int) -> None:
        super().__init__(duty, token, ttl_ms, sent + 500_000_000)

    def on_renewed(self, sent: int) -> None:
        super().on_renewed(sent + 500_000_000)


class ExpiresEarly(Granter):
    """A granter expires a grant a fifth of its lease early, without allowing for clock rates and message delays."""

    def expired(self, now: int, state: State) -> list[Any]:
        return super().expired(now + 200_000_000, state)


class IgnoresRenewals(Granter):
    """A granter counts the lease from the grant instead of from its last renewal."""

    def applied(self, now: int, state: State, duty: str) -> None:
        previous = self._seen.get(duty)
        super().applied(now, state, duty)
        current = self._seen.get(duty)
        if previous is not None and current is not None and previous[0] == current[0]:
            self._seen[duty] = (current[0], current[1], previous[2])


class RestoresInitialMembers(Core):
    """An installed snapshot restores the initial members."""

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        super()._install_snapshot(Snapshot(snapshot.index, snapshot.term, Config(("m0", "m1", "m2")), snapshot.data))


MUTANTS: dict[str, Parts] = {
    "vote not persisted": Parts(sync=_sync_without_vote),
    "older term committed by counting": Parts(core=CommitsByCounting),
    "vote without a look at the log": Parts(core=VotesWithoutLogCheck),
    "confirmed before it is on disk": Parts(core=ConfirmsBeforeDurable),
    "stale read served": Parts(core=ServesStaleReads),
    "half of the votes": Parts(core=WinsWithHalfOfVotes),
    "members changed two at once": Parts(core=AllowsAnyMemberChange),
    "cut not written": Parts(sync=_sync_without_truncation),
    "members lost in a snapshot": Parts(core=RestoresInitialMembers),
    "sessions not kept in snapshots": Parts(state=SnapshotsWithoutSessions),
    "sent again, applied again": Parts(state=AppliesResentCommands),
    "token not checked": Parts(state=IgnoresTokens),
    "token given again": Parts(state=ReissuesTokens),
    "lease counted from the answer": Parts(held=CountsLeaseFromReply),
    "lease let go early": Parts(granter=ExpiresEarly),
    "renewal not counted": Parts(granter=IgnoresRenewals),
}
