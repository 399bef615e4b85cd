"""A gateway without a network: records the decision module's actions and checks them against the four rules.

The checks share no code with the module: they use only the events and actions recorded here.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import Any

from bridgesaddle import Balancer
from bridgesaddle.api import (
    MS,
    SECOND,
    Effect,
    Group,
    HostEntry,
    HostId,
    HostState,
    Limits,
    ListKind,
    Outcome,
    RequestClass,
    Rules,
    Settings,
)

NOT_PROCESSED = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


def make_class(effect: Effect = Effect.SAFE, group: Group = Group.ALL, **more: Any) -> RequestClass:
    """A request class with a latency target of 400 ms and a deadline of 1 s."""
    defaults: dict[str, Any] = {"name": "c", "aim_ns": 400 * MS, "deadline_ns": SECOND, "late_worth": 0.3,
                                "window_ns": SECOND if effect is Effect.KEYED else 0}
    return RequestClass(effect=effect, group=group, **(defaults | more))


def make_settings(*classes: RequestClass, zones: int = 1, **more: Any) -> Settings:
    """Settings with at most five attempts; keyword arguments replace the defaults."""
    defaults: dict[str, Any] = {"zone": 0, "zones": zones, "classes": classes or (make_class(),),
                                "limits": Limits(max_attempts=5)}
    return Settings(**(defaults | more))


def entry(host: HostId, zone: int = 0, cell: int = 0, state: HostState = HostState.READY,
          started_ns: int = 0, weight: float = 1.0) -> HostEntry:
    """An entry of the host list."""
    return HostEntry(host, zone, 0, cell, state, weight, started_ns)


class _RequestRecord:
    """What is recorded of one request."""

    def __init__(self, cls: RequestClass, deadline: int) -> None:
        self.cls = cls
        self.deadline = deadline
        self.out: dict[int, HostId] = {}
        self.sent: list[tuple[HostId, int]] = []   # attempts that a host may have processed, with the time of sending
        self.attempts = 0
        self.answers = 0
        self.ended = False


class SimulatedGateway:
    """One module with its clock, timers and attempts; `broken` lists the rule violations."""

    def __init__(self, settings: Settings, hosts: Sequence[HostEntry] = (), salt: int = 1) -> None:
        self.settings = settings
        self.now = 0
        self.log_lines: list[str] = []
        self.sends: list[tuple[int, HostId, int]] = []
        self.send_times: list[int] = []
        self.ends: dict[int, str] = {}
        self.discovery_calls = 0
        self.probes: list[HostId] = []
        self.peer_messages: list[bytes] = []
        self.timers: dict[int, int] = {}
        self.held: dict[int, _RequestRecord] = {}
        self.broken: list[str] = []
        self.hosts: dict[HostId, HostEntry] = {}
        self.not_ready_since: dict[HostId, int] = {}
        self.last_rid = 0
        self.list_valid = True
        self.module = Balancer(settings, salt, self)
        if hosts:
            self.update_list(ListKind.FULL, hosts)

    # Actions: called by the module.

    def set_list_valid(self, valid: bool) -> None:
        """Tell the module that the list may no longer be used, or may be used again."""
        self.list_valid = valid
        self.module.on_lease(self.now, valid)

    def send(self, rid: int, host: HostId, timeout_ns: int, write_within_ns: int = 0) -> None:
        if not self.list_valid:
            self.broken.append("drain: sent while the lease of the list had expired")
        held = self.held[rid]
        if held.ended:
            self.broken.append(f"1: request {rid} was sent after its end")
        grace = self.settings.rules.drain_grace_ns
        if host in self.not_ready_since and self.now > self.not_ready_since[host] + grace:
            self.broken.append(f"3: {host!r} was sent a request {self.now - self.not_ready_since[host]} ns"
                               " after its drain began")
        self._check_retry(held, host, write_within_ns)
        if held.out and not self.settings.limits.allows_concurrent_attempts:
            self.broken.append(f"2: request {rid} has two attempts in flight")
        held.out[held.attempts] = host
        held.sent.append((host, self.now))
        held.attempts += 1
        if held.attempts > self.settings.limits.max_attempts:
            self.broken.append(f"2: request {rid} was attempted {held.attempts} times")
        self.sends.append((rid, host, timeout_ns))
        self.send_times.append(self.now)

    def _check_retry(self, held: _RequestRecord, host: HostId, write_within_ns: int) -> None:
        cls, target = held.cls, self.hosts[host]
        for earlier_host, sent_at in held.sent:
            if cls.effect is Effect.UNSAFE:
                self.broken.append("2: an unsafe request that may have been processed was sent again")
            if cls.effect is Effect.KEYED:
                first = self.hosts[earlier_host]
                in_group = {Group.ALL: True, Group.ZONE: first.zone == target.zone,
                            Group.CELL: first.cell == target.cell}[cls.group]
                if not in_group or self.now > sent_at + cls.window_ns:
                    self.broken.append("2: a keyed request was retried outside its group or its window")
                if not 0 < write_within_ns < sent_at + cls.window_ns - self.now:
                    self.broken.append("2: an attempt may be written after the window has ended")

    def fail(self, rid: int) -> None:
        self._end_request(rid, "fail")

    def refuse(self, rid: int, retry_after_ns: int) -> None:
        held = self.held[rid]
        in_any_group = held.cls.effect is Effect.KEYED and held.cls.group is Group.ALL
        if held.sent and held.cls.effect is not Effect.SAFE and not in_any_group and not held.ended:
            self.broken.append(f"2: request {rid} may have been processed and was refused")
        self._end_request(rid, "refuse")

    def _end_request(self, rid: int, result: str) -> None:
        held = self.held[rid]
        if not held.ended:
            held.ended = True
            held.answers += 1
            self.ends[rid] = result
            if self.now > held.deadline + self.settings.rules.answer_slack_ns:
                self.broken.append(f"1: request {rid} was answered after its deadline")

    def cancel(self, rid: int, attempt: int) -> None:
        if not self.settings.limits.cancel or attempt >= self.held[rid].attempts:
            self.broken.append(f"request {rid}: attempt {attempt} cannot be cancelled")

    def wake(self, token: int, after_ns: int) -> None:
        self.timers[token] = self.now + after_ns

    def cancel_wake(self, token: int) -> None:
        del self.timers[token]

    def watch(self, active: bool) -> None:
        self.discovery_calls += active

    def fetch(self) -> None:
        self.discovery_calls += 1

    def probe(self, host: HostId) -> None:
        if not self.settings.limits.probes:
            self.broken.append("a probe that the settings do not allow")
        self.probes.append(host)

    def close(self, host: HostId) -> None:
        pass

    def send_peer_message(self, peer: int | None, content: bytes) -> None:
        if not self.settings.limits.peers or len(content) > 256:
            self.broken.append("a peer message that the settings do not allow or that is too long")
        self.peer_messages.append(content)

    def log(self, text: str) -> None:
        self.log_lines.append(text)

    # Events: called by the tests.

    def update_list(self, kind: ListKind, entries: Sequence[HostEntry]) -> None:
        """Discovery sends an update, or its call fails."""
        if kind is not ListKind.FAILED:
            listed = {host_entry.host for host_entry in entries}
            for host_entry in entries:
                self.hosts[host_entry.host] = host_entry
            for host, known in self.hosts.items():
                ready = known.state is HostState.READY and (kind is ListKind.DELTA or host in listed)
                if ready:
                    self.not_ready_since.pop(host, None)
                else:
                    self.not_ready_since.setdefault(host, self.now)
        self.module.on_list(self.now, kind, entries)

    def request(self, cls: int = 0, ttl_ns: int | None = None, tenant: int = 0, repeat: bool = False) -> int:
        """Receive a client's request; returns its id."""
        self.last_rid += 1
        request_class = self.settings.classes[cls]
        ttl = request_class.deadline_ns if ttl_ns is None else ttl_ns
        self.held[self.last_rid] = _RequestRecord(request_class, self.now + ttl)
        self.module.on_request(self.now, self.last_rid, cls, tenant, 0, ttl, 0, repeat)
        return self.last_rid

    def outcome(self, rid: int, outcome: Outcome, attempt: int | None = None, spent_ns: int | None = None,
                load: Sequence[float] = ()) -> None:
        """End an attempt, by default the oldest in flight."""
        held = self.held[rid]
        number = min(held.out) if attempt is None else attempt
        host = held.out.pop(number)
        if outcome in NOT_PROCESSED:
            position = next(index for index, pair in enumerate(held.sent) if pair[0] == host)
            held.sent.pop(position)
        if outcome is Outcome.OK and not held.ended:
            held.ended = True
            self.ends[rid] = "served"
        spent = self.now - self.send_times[-1] if spent_ns is None else spent_ns
        self.module.on_outcome(self.now, rid, number, host, outcome, max(spent, 1), held.ended, load)

    def disconnect_client(self, rid: int) -> None:
        """The client disconnects."""
        if not self.held[rid].ended:
            self.held[rid].ended = True
            self.ends[rid] = "gone"
        self.module.on_client_disconnected(self.now, rid)

    def run(self, until_ns: int) -> None:
        """Advance the clock to `until_ns`, in ticks, and fire the timers that are due."""
        while self.timers:
            due, token = min((at, token) for token, at in self.timers.items())
            if due > until_ns:
                break
            del self.timers[token]
            tick = self.settings.tick_ns
            self.now = max(self.now, -(-due // tick) * tick)
            self.module.on_timer(self.now, token)
        self.now = max(self.now, until_ns)
        for rid, held in self.held.items():
            if not held.ended and self.now > held.deadline + self.settings.rules.answer_slack_ns:
                self.broken.append(f"1: request {rid} has no response")
                held.ended = True

    def attempts_per_host(self) -> Counter[HostId]:
        """Number of attempts sent to each host."""
        return Counter(host for _, host, _ in self.sends)


def run_sequential_requests(gateway: SimulatedGateway, requests: int, spent_ns: int, gap_ns: int = 10 * MS,
                            cls: int = 0) -> None:
    """Run requests one after another; each succeeds after the given time."""
    for _ in range(requests):
        rid = gateway.request(cls)
        gateway.run(gateway.now + spent_ns)
        if gateway.held[rid].out:
            gateway.outcome(rid, Outcome.OK, spent_ns=spent_ns)
        gateway.run(gateway.now + gap_ns)


__all__ = ["Rules", "SimulatedGateway", "entry", "make_class", "make_settings", "run_sequential_requests"]
