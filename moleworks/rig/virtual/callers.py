"""Clients of the store in virtual time: some change and read records, some want a duty and write under it."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from moleworks.duties.held import Held
from moleworks.store.replica import Redirect
from moleworks.store.state import (
    Acquire,
    Change,
    Command,
    Condition,
    Guard,
    Open,
    Put,
    Renew,
    Result,
)

from ..linear import Holding, Op
from .members import MS, SECOND, Member

if TYPE_CHECKING:
    from .cluster import Cluster

DUTY = "lead"
TTL_MS = 1_000


class Client:
    """Calls one thing at a time, and sends it again elsewhere under its number until there is an answer."""

    def __init__(self, cluster: Cluster, name: str) -> None:
        self.cluster = cluster
        self.name = name
        self.rng = random.Random(f"{name} {cluster.seed}")
        self.rate = 1.0 + self.rng.uniform(-0.01, 0.01)
        self.number = 0
        self._call = 0
        self._target = self.rng.choice(cluster.names)
        self._then: Callable[[Any], None] | None = None
        self._what: Any = None
        self._tries = 0
        cluster.loop.at(self.rng.randrange(SECOND), self.ask, Open(name), self.opened)

    def now(self) -> int:
        """By its own clock."""
        return int(self.cluster.loop.now * self.rate)

    def opened(self, result: Any) -> None:
        """The session is there, or must be asked for again."""
        if result is None:
            self.ask(Open(self.name), self.opened)
        else:
            self.next()

    def next(self) -> None:
        """The next thing to do."""

    def ask(self, what: Any, then: Callable[[Any], None]) -> None:
        """A command, or a key to be read; the answer goes to `then`, None if there was none for long."""
        self._call += 1
        self._what, self._then, self._tries = what, then, 0
        self._send(self._call)

    def _send(self, call: int) -> None:
        if call != self._call or self._then is None:
            return
        self._tries += 1
        cluster = self.cluster
        if self._tries > 12:
            self._finish(None)
            return
        member = cluster.members.get(self._target)
        delay = cluster.rng.randrange(MS // 2, 3 * MS)
        if member is not None:
            ticket = (self, call, self._tries)
            if isinstance(self._what, str):
                cluster.loop.at(cluster.loop.now + delay, member.hear, 0, self._read, member, ticket, self._what)
            else:
                cluster.loop.at(cluster.loop.now + delay, member.hear, 0, self._submit, member, ticket, self._what)
        cluster.loop.at(cluster.loop.now + 500 * MS, self._timeout, call, self._tries)

    @staticmethod
    def _read(member: Member, ticket: Any, key: str) -> None:
        member.replica.read(member.now(), (ticket, key))

    @staticmethod
    def _submit(member: Member, ticket: Any, command: Command) -> None:
        member.replica.submit(member.now(), ticket, command)

    def _timeout(self, call: int, tries: int) -> None:
        if call == self._call and tries == self._tries and self._then is not None:
            self._target = self.rng.choice(self.cluster.names)
            self._send(call)

    def answered(self, call: int, tries: int, result: Any) -> None:
        """An answer has come."""
        if call != self._call or tries != self._tries or self._then is None:
            return
        if isinstance(result, Redirect):
            self._target = result.leader if result.leader and self.rng.random() < 0.9 else self.rng.choice(
                self.cluster.names)
            self._tries += 1   # a late answer to the try before counts no more
            self.cluster.loop.at(self.cluster.loop.now + self.rng.randrange(20 * MS, 60 * MS), self._send, call)
            return
        self._finish(result)

    def _finish(self, result: Any) -> None:
        then, self._then = self._then, None
        assert then is not None
        then(result)


class Writer(Client):
    """Puts, compares and sets, and reads records; every value is one of a kind."""

    def __init__(self, cluster: Cluster, name: str) -> None:
        self._seen: dict[str, tuple[Any, int]] = {}
        self._at = 0
        super().__init__(cluster, name)

    def next(self) -> None:
        """A new operation after a pause."""
        if self.cluster.loop.now < self.cluster.end:
            self.cluster.loop.at(self.cluster.loop.now + self.rng.randrange(10 * MS, 150 * MS), self._operate)

    def _operate(self) -> None:
        key = f"k{self.rng.randrange(self.cluster.settings.keys)}"
        self._at = self.cluster.loop.now
        kind = self.rng.random()
        if kind < (0.6 if self.cluster.mode == "stale" else 0.35):
            if self.cluster.fallen and self.cluster.mode == "stale" and self.rng.random() < 0.7:
                self._target = self.cluster.fallen   # it may still believe that it leads
            elif self.rng.random() < 0.4:
                self._target = self.rng.choice(self.cluster.names)   # one that led before, perhaps
            self.ask(key, lambda result: self._was_read(key, result))
            return
        self.number += 1
        value = f"{self.name}-{self.number}".encode()
        conditions: tuple[Condition, ...] = ()
        expected = self._seen.get(key)
        if kind < 0.7 and expected is not None:
            conditions = (Condition(key, expected[1]),)
        command = Change(self.name, self.number, (Put(key, value),), conditions)
        self.ask(command, lambda result: self._was_put(key, value, expected if conditions else None, result))

    def _was_read(self, key: str, result: Any) -> None:
        if result is not None:
            self._seen[key] = result
            self.cluster.note(key, Op(self._at, self.cluster.loop.now, "get", None, result[0]))
        self.next()

    def _was_put(self, key: str, value: bytes, expected: tuple[Any, int] | None, result: Result | None) -> None:
        ended = None if result is None else self.cluster.loop.now
        if result is not None and result.why not in ("", "condition"):
            self.cluster.trouble.append(f"{self.name}: {result.why}")
            ended = None
        revision = result.revision if result is not None and result.done else 0
        if expected is None:
            self.cluster.note(key, Op(self._at, ended, "put", value, True, revision))
        else:
            done = result is not None and result.done
            self.cluster.note(key, Op(self._at, ended, "cas", (expected[0], value), done, revision))
        if result is not None and result.done:
            self._seen[key] = (value, result.revision)
            self.cluster.acknowledged += 1
        self.next()


class Holder(Client):
    """Wants the duty, holds it while it can, writes under its token, and stops now and then with all of it in hand."""

    def __init__(self, cluster: Cluster, name: str) -> None:
        self.held: Held | None = None
        self._sent = self._at = 0
        self._since = 0
        super().__init__(cluster, name)

    def next(self) -> None:
        """Acquire, renew, or write under the grant."""
        cluster = self.cluster
        if cluster.loop.now >= cluster.end:
            self._let_go()
            return
        wait = self.rng.randrange(50 * MS, 250 * MS)
        if self.rng.random() < 0.06:
            wait += int(self.rng.uniform(0.5, 3.0) * SECOND)   # stopped, and goes on as if nothing had been
        cluster.loop.at(cluster.loop.now + wait, self._act)

    def _act(self) -> None:
        self.number += 1
        self._sent, self._at = self.now(), self.cluster.loop.now
        held = self.held
        if held is None:
            self.ask(Acquire(self.name, self.number, DUTY, self.name, TTL_MS), self._acquired)
        elif self.rng.random() < 0.4:
            change = Change(self.name, self.number, (Put("guarded", f"{self.name}-{self.number}".encode()),),
                            (), Guard(DUTY, held.token))
            self.ask(change, lambda result: self._wrote(self._at, held.token, result))
        else:
            release = self.rng.random() < 0.1
            to = self.rng.choice(self.cluster.holder_names) if self.rng.random() < 0.1 else ""
            self.ask(Renew(self.name, self.number, DUTY, held.token, release, to), self._renewed)
            if release or to:
                self._let_go()   # it stops before it says so

    def _acquired(self, result: Result | None) -> None:
        if result is not None and result.done:
            held = self.cluster.parts.held(DUTY, result.token, TTL_MS, self._sent)
            if held.holds(self.now()):   # an answer to what was sent again may come when its lease is out
                self.held, self._since = held, self.cluster.loop.now
                self.cluster.grants += 1
            self.cluster.granted.append((self.cluster.loop.now, result.token))
        self.next()

    def _renewed(self, result: Result | None) -> None:
        if self.held is not None and result is not None:
            if result.done:
                self.held.on_renewed(self._sent)
            else:
                self._let_go()
        self._stop_if_out()
        self.next()

    def _wrote(self, called: int, token: int, result: Result | None) -> None:
        if result is not None and result.done:
            self.cluster.guarded.append((called, token, self.name))
        elif result is not None and result.why == "token":
            self.cluster.refused_tokens += 1
            self._let_go()
        self._stop_if_out()
        self.next()

    def _stop_if_out(self) -> None:
        if self.held is not None and not self.held.holds(self.now()):
            self._let_go()

    def _let_go(self) -> None:
        """It believed to hold the duty until its lease was out, or until now if that came first."""
        held, self.held = self.held, None
        if held is not None:
            until = min(self.cluster.loop.now, int(held.expires_at / self.rate))
            self.cluster.holdings.append(Holding(DUTY, self.name, held.token, self._since, max(self._since, until)))
