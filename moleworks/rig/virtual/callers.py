"""Clients of the store in virtual time: some change and read records, some acquire a duty and write under its token."""

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
    """Has one request open at a time, and resends it to other members under the same number until there is a result."""

    def __init__(self, cluster: Cluster, name: str) -> None:
        self.cluster = cluster
        self.name = name
        self.rng = random.Random(f"{name} {cluster.seed}")
        self.clock_rate = 1.0 + self.rng.uniform(-0.01, 0.01)
        self.number = 0
        self._call = 0
        self._target = self.rng.choice(cluster.names)
        self._callback: Callable[[Any], None] | None = None
        self._operation: Any = None
        self._attempt = 0
        cluster.loop.call_at(self.rng.randrange(SECOND), self.request, Open(name), self.on_session_opened)

    def now(self) -> int:
        """The time of the client's own clock, ns."""
        return int(self.cluster.loop.now * self.clock_rate)

    def on_session_opened(self, result: Any) -> None:
        """Start the operations once the session is open; open it again if there was no result."""
        if result is None:
            self.request(Open(self.name), self.on_session_opened)
        else:
            self.schedule_next()

    def schedule_next(self) -> None:
        """Schedule the next operation."""

    def request(self, operation: Any, callback: Callable[[Any], None]) -> None:
        """Send a command, or a key to be read; `callback` gets the result, or None after 12 attempts without one."""
        self._call += 1
        self._operation, self._callback, self._attempt = operation, callback, 0
        self._send(self._call)

    def _send(self, call: int) -> None:
        if call != self._call or self._callback is None:
            return
        self._attempt += 1
        cluster = self.cluster
        if self._attempt > 12:
            self._finish(None)
            return
        member = cluster.members.get(self._target)
        delay = cluster.rng.randrange(MS // 2, 3 * MS)
        if member is not None:
            ticket = (self, call, self._attempt)
            if isinstance(self._operation, str):
                cluster.loop.call_at(cluster.loop.now + delay, member.invoke, 0, self._read, member, ticket,
                                     self._operation)
            else:
                cluster.loop.call_at(cluster.loop.now + delay, member.invoke, 0, self._submit, member, ticket,
                                     self._operation)
        cluster.loop.call_at(cluster.loop.now + 500 * MS, self._timeout, call, self._attempt)

    @staticmethod
    def _read(member: Member, ticket: Any, key: str) -> None:
        member.replica.read(member.now(), (ticket, key))

    @staticmethod
    def _submit(member: Member, ticket: Any, command: Command) -> None:
        member.replica.submit(member.now(), ticket, command)

    def _timeout(self, call: int, attempt: int) -> None:
        if call == self._call and attempt == self._attempt and self._callback is not None:
            self._target = self.rng.choice(self.cluster.names)
            self._send(call)

    def on_result(self, call: int, attempt: int, result: Any) -> None:
        """Handle the result of an attempt."""
        if call != self._call or attempt != self._attempt or self._callback is None:
            return
        if isinstance(result, Redirect):
            self._target = result.leader if result.leader and self.rng.random() < 0.9 else self.rng.choice(
                self.cluster.names)
            self._attempt += 1   # so that a late result of the previous attempt is ignored
            self.cluster.loop.call_at(self.cluster.loop.now + self.rng.randrange(20 * MS, 60 * MS), self._send, call)
            return
        self._finish(result)

    def _finish(self, result: Any) -> None:
        callback, self._callback = self._callback, None
        assert callback is not None
        callback(result)


class Writer(Client):
    """Writes records, with and without conditions, and reads them; every written value is unique."""

    def __init__(self, cluster: Cluster, name: str) -> None:
        self._last_seen: dict[str, tuple[Any, int]] = {}
        self._called_at = 0
        super().__init__(cluster, name)

    def schedule_next(self) -> None:
        """Schedule the next operation after a pause."""
        if self.cluster.loop.now < self.cluster.end:
            self.cluster.loop.call_at(self.cluster.loop.now + self.rng.randrange(10 * MS, 150 * MS),
                                      self._start_operation)

    def _start_operation(self) -> None:
        key = f"k{self.rng.randrange(self.cluster.settings.keys)}"
        self._called_at = self.cluster.loop.now
        draw = self.rng.random()
        if draw < (0.6 if self.cluster.mode == "stale" else 0.35):
            if self.cluster.last_failed_leader and self.cluster.mode == "stale" and self.rng.random() < 0.7:
                self._target = self.cluster.last_failed_leader   # it may still believe that it is the leader
            elif self.rng.random() < 0.4:
                self._target = self.rng.choice(self.cluster.names)   # possibly a former leader
            self.request(key, lambda result: self._on_read(key, result))
            return
        self.number += 1
        value = f"{self.name}-{self.number}".encode()
        conditions: tuple[Condition, ...] = ()
        expected = self._last_seen.get(key)
        if draw < 0.7 and expected is not None:
            conditions = (Condition(key, expected[1]),)
        command = Change(self.name, self.number, (Put(key, value),), conditions)
        self.request(command, lambda result: self._on_put(key, value, expected if conditions else None, result))

    def _on_read(self, key: str, result: Any) -> None:
        if result is not None:
            self._last_seen[key] = result
            self.cluster.record_operation(key, Op(self._called_at, self.cluster.loop.now, "get", None, result[0]))
        self.schedule_next()

    def _on_put(self, key: str, value: bytes, expected: tuple[Any, int] | None, result: Result | None) -> None:
        returned_at = None if result is None else self.cluster.loop.now
        if result is not None and result.why not in ("", "condition"):
            self.cluster.unexpected_results.append(f"{self.name}: {result.why}")
            returned_at = None
        revision = result.revision if result is not None and result.done else 0
        if expected is None:
            self.cluster.record_operation(key, Op(self._called_at, returned_at, "put", value, True, revision))
        else:
            done = result is not None and result.done
            self.cluster.record_operation(key, Op(self._called_at, returned_at, "cas", (expected[0], value), done,
                                                  revision))
        if result is not None and result.done:
            self._last_seen[key] = (value, result.revision)
            self.cluster.acknowledged += 1
        self.schedule_next()


class Holder(Client):
    """Acquires the duty, renews it, writes under its token, and is sometimes suspended while it holds the duty."""

    def __init__(self, cluster: Cluster, name: str) -> None:
        self.held: Held | None = None
        self._sent_at = self._called_at = 0
        self._held_since = 0
        super().__init__(cluster, name)

    def schedule_next(self) -> None:
        """Schedule the next operation: acquire, renew, or write under the grant."""
        cluster = self.cluster
        if cluster.loop.now >= cluster.end:
            self._end_holding()
            return
        wait = self.rng.randrange(50 * MS, 250 * MS)
        if self.rng.random() < 0.06:
            wait += int(self.rng.uniform(0.5, 3.0) * SECOND)   # suspended; resumes without noticing it
        cluster.loop.call_at(cluster.loop.now + wait, self._start_operation)

    def _start_operation(self) -> None:
        self.number += 1
        self._sent_at, self._called_at = self.now(), self.cluster.loop.now
        held = self.held
        if held is None:
            self.request(Acquire(self.name, self.number, DUTY, self.name, TTL_MS), self._on_acquired)
        elif self.rng.random() < 0.4:
            change = Change(self.name, self.number, (Put("guarded", f"{self.name}-{self.number}".encode()),),
                            (), Guard(DUTY, held.token))
            self.request(change, lambda result: self._on_guarded_write(self._called_at, held.token, result))
        else:
            release = self.rng.random() < 0.1
            successor = self.rng.choice(self.cluster.holder_names) if self.rng.random() < 0.1 else ""
            self.request(Renew(self.name, self.number, DUTY, held.token, release, successor), self._on_renewed)
            if release or successor:
                self._end_holding()   # it stops acting as the holder before it sends the release

    def _on_acquired(self, result: Result | None) -> None:
        if result is not None and result.done:
            held = self.cluster.parts.held(DUTY, result.token, TTL_MS, self._sent_at)
            if held.holds(self.now()):   # the result of a resent request may arrive after its lease has expired
                self.held, self._held_since = held, self.cluster.loop.now
                self.cluster.grants += 1
            self.cluster.granted_tokens.append((self.cluster.loop.now, result.token))
        self.schedule_next()

    def _on_renewed(self, result: Result | None) -> None:
        if self.held is not None and result is not None:
            if result.done:
                self.held.on_renewed(self._sent_at)
            else:
                self._end_holding()
        self._end_if_expired()
        self.schedule_next()

    def _on_guarded_write(self, called_at: int, token: int, result: Result | None) -> None:
        if result is not None and result.done:
            self.cluster.guarded_writes.append((called_at, token, self.name))
        elif result is not None and result.why == "token":
            self.cluster.refused_tokens += 1
            self._end_holding()
        self._end_if_expired()
        self.schedule_next()

    def _end_if_expired(self) -> None:
        if self.held is not None and not self.held.holds(self.now()):
            self._end_holding()

    def _end_holding(self) -> None:
        """Record how long the client believed it held the duty: until its lease expired, or until now if earlier."""
        held, self.held = self.held, None
        if held is not None:
            held_until = min(self.cluster.loop.now, int(held.expires_at / self.clock_rate))
            self.cluster.holdings.append(Holding(DUTY, self.name, held.token, self._held_since,
                                                 max(self._held_since, held_until)))
