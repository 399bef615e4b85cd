"""Known errors, put into the store one at a time: the judges of `histories.py` must find each."""

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
    """An entry of an older term is committed because a majority has it."""

    def _may_commit(self, index: int) -> bool:
        return True


class VotesForAnybody(Core):
    """A vote is given without a look at whose log is newer."""

    def _up_to_date(self, ask: Ask) -> bool:
        return True


class PromisesEarly(Core):
    """Votes and entries are confirmed before they are on disk."""

    def _send_when_durable(self, to: str, message: Message) -> None:
        self._out.send.append((to, message))


class ReadsStale(Core):
    """A leader answers reads without asking whether it still leads."""

    def _queue_read(self, whose: Any) -> None:
        self._out.reads.append((whose, self.commit))


class ChangesMembersFreely(Core):
    """Two changes of members may be under way, and a change may be more than one step."""

    def reconfigure(self, now: int, config: Config) -> int | None:
        if self.role != "leader":
            return None
        self._append(Entry(self.log.last_index + 1, self.term, b"", config))
        self._replicate()
        return self.log.last_index


class CountsItselfTwice(Core):
    """A candidate is content with half of the votes."""

    def _count_votes(self) -> None:
        self._votes = {**self._votes, **dict.fromkeys(list(self._votes)[:1], True)}
        if self.role != "leader" and sum(self._votes.values()) >= len(self.config.voters) // 2:
            self._votes.update(dict.fromkeys(self.config.voters, True))
        super()._count_votes()


def _forgets_vote(disk: Disk, write: Write) -> None:
    """The vote is not written."""
    disk.sync(Write(write.number, write.term, "", write.cut, write.entries, write.snapshot))


def _forgets_cut(disk: Disk, write: Write) -> None:
    """What another leader took back stays on disk behind the new entries."""
    disk.sync(Write(write.number, write.term, write.vote, 0, write.entries, write.snapshot))


class ForgetsSessions(State):
    """Snapshots lack the sessions."""

    def image(self) -> bytes:
        told = msgspec.msgpack.decode(super().image())
        return msgspec.msgpack.encode({**told, "sessions": {}})


class AppliesAgain(State):
    """What is sent again is applied again."""

    def apply(self, data: bytes) -> tuple[Command | None, Result]:
        command: Command = msgspec.msgpack.decode(data, type=Command)
        if isinstance(command, Change | Acquire | Renew):
            session = self._sessions.get(command.client)
            if session is not None and session.number >= command.number:
                session.number = command.number - 1
        return super().apply(data)


class ChecksNoToken(State):
    """A guarded change counts whatever its token."""

    def _token_is_current(self, guard: Guard) -> bool:
        return True


class GivesTokenAgain(State):
    """Tokens are counted from the grants that there are: one that ended is given again."""

    def _acquire(self, command: Acquire) -> Result:
        if command.duty not in self.grants:
            self.tokens.pop(command.duty, None)
        return super()._acquire(command)


class CountsFromTheAnswer(Held):
    """A holder counts from when it was answered."""

    def __init__(self, duty: str, token: int, ttl_ms: int, sent: int) -> None:
        super().__init__(duty, token, ttl_ms, sent + 500_000_000)

    def on_renewed(self, sent: int) -> None:
        super().on_renewed(sent + 500_000_000)


class ExpiresEarly(Granter):
    """A granter lets go a fifth early, as if clocks and messages took no time."""

    def expired(self, now: int, state: State) -> list[Any]:
        return super().expired(now + 200_000_000, state)


class RenewsNothing(Granter):
    """A granter counts from the grant, not from its last renewal."""

    def applied(self, now: int, state: State, duty: str) -> None:
        old = self._seen.get(duty)
        super().applied(now, state, duty)
        fresh = self._seen.get(duty)
        if old is not None and fresh is not None and old[0] == fresh[0]:
            self._seen[duty] = (fresh[0], fresh[1], old[2])


class LosesConfig(Core):
    """A snapshot that a leader sent brings the members as they were at first."""

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        super()._install_snapshot(Snapshot(snapshot.index, snapshot.term, Config(("m0", "m1", "m2")), snapshot.data))


MUTANTS: dict[str, Parts] = {
    "vote not persisted": Parts(sync=_forgets_vote),
    "older term committed by counting": Parts(core=CommitsByCounting),
    "vote without a look at the log": Parts(core=VotesForAnybody),
    "confirmed before it is on disk": Parts(core=PromisesEarly),
    "stale read served": Parts(core=ReadsStale),
    "half of the votes": Parts(core=CountsItselfTwice),
    "members changed two at once": Parts(core=ChangesMembersFreely),
    "cut not written": Parts(sync=_forgets_cut),
    "members lost in a snapshot": Parts(core=LosesConfig),
    "sessions not kept in snapshots": Parts(state=ForgetsSessions),
    "sent again, applied again": Parts(state=AppliesAgain),
    "token not checked": Parts(state=ChecksNoToken),
    "token given again": Parts(state=GivesTokenAgain),
    "lease counted from the answer": Parts(held=CountsFromTheAnswer),
    "lease let go early": Parts(granter=ExpiresEarly),
    "renewal not counted": Parts(granter=RenewsNothing),
}
