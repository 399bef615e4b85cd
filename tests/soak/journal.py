"""What hosts, discovery and clients saw of a play, and the rules judged from that alone.

Times are seconds since the start of the play.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf, sqrt

SLACK = 0.05
"""Each time limit grows by so much on sockets (the protocol page)."""
LATE_ANSWER = 0.5
"""Up to so long after its time an answer earns nothing; later, the request is lost."""
GONE = 0.1
"""An attempt that begins so long after its client has left is a lost request."""
DEADLINE_SLACK = 0.15
TOLD = 6.0
"""Discovery's change counts as told so long after it had it and could be reached."""
TOLD_RELOAD = 4.0
"""And so long after SIGHUP."""
TERM_TAKES = 0.7
"""A request that comes later than this after SIGTERM has to be answered before SIGKILL."""
NOTED = 0.01
"""A host reads a write so soon after it, or before it is noted."""
WAY = 0.02
"""What a message may take through the test's own loop."""


@dataclass
class Change:
    """Discovery has learned a new state of a host."""

    at: float
    generation: int
    host: str
    ready: bool


@dataclass
class Life:
    """One gateway process, from its start to its end."""

    gateway: str
    start: float
    end: float = inf
    ready: float = inf
    term: float = inf
    killed: bool = False   # outright, not after SIGTERM
    reloads: list[float] = field(default_factory=list)
    stops: list[tuple[float, float]] = field(default_factory=list)
    written: list[tuple[float, int]] = field(default_factory=list)   # when lists of which generation left discovery
    died: str = ""         # why it ended by itself


@dataclass
class Spell:
    """A stretch in which a gateway can't reach discovery (`away`), or its open watch is silent."""

    gateway: str
    kind: str
    begin: float
    end: float = inf


@dataclass
class Watch:
    """A watch of a gateway, from the first list that was written to it to the end of its connection."""

    gateway: str
    begin: float
    end: float = inf


@dataclass
class Begin:
    """A request at a host: its first byte, and its last where that has come."""

    at: float
    gateway: str
    host: str
    rid: str
    told_ms: int = 0
    whole: float = inf
    ran: bool = True


@dataclass
class Ask:
    """A request of a client."""

    at: float
    gateway: str
    rid: str
    cls: str
    patience: float
    left: float = inf       # the client closed its connection
    answered: float = inf
    status: int = 0
    by: str = ""            # whose answer it is, by its body
    closed: float = inf     # the gateway closed the connection without a whole answer
    first: bool = False     # it was the first on its connection


@dataclass(frozen=True)
class Terms:
    """What the settings of the play allow."""

    pushed: bool
    grace: float
    window: float
    unread: bool = False    # new connections may be shut unread: idle clients fill the descriptors
    cold_share: float = 0.12
    warm_within: float = 24.0
    fall_multiple: float = 3.0
    fall_within: float = 1.5


@dataclass
class Cold:
    """A host that has started: its capacity, in requests a second, grows from there."""

    host: str
    at: float
    capacity: float


class Journal:
    """All that was seen in one play."""

    def __init__(self, terms: Terms) -> None:
        self.terms = terms
        self.changes: list[Change] = []
        self.lives: list[Life] = []
        self.spells: list[Spell] = []
        self.watches: list[Watch] = []
        self.attempts: list[Begin] = []
        self.asks: list[Ask] = []
        self.colds: list[Cold] = []
        self.lags: list[tuple[float, float]] = []   # when the test's own loop came late, and by how much
        self.held_writes: dict[str, list[float]] = {}   # by gateway: with a stop since its last look at a clock

    # ---- Judging -----------------------------------------------------------------------------------------

    def verdict(self) -> dict[str, list[str]]:
        """The broken rules, each with its cases."""
        broken: dict[str, list[str]] = defaultdict(list)
        for rule, cases in (("drain", self._drains()), ("lost", self._lost()), ("gone", self._gone()),
                            ("deadline", self._deadlines()), ("duplicate", self._duplicates()),
                            ("refusal", self._refusals()), ("failback", self._falls()), ("crash", self._crashes())):
            for case in cases:
                broken[rule].append(case)
        return dict(broken)

    def _late(self, at: float) -> float:
        """How late what was seen at this time may have been noted, by the test's own loop."""
        return WAY + max((lag for end, lag in self.lags if end - lag - 0.1 <= at <= end + 0.1), default=0.0)

    def _life(self, gateway: str, at: float) -> Life | None:
        for life in reversed(self.lives):
            if life.gateway == gateway and life.start <= at < life.end:
                return life
        return None

    def reachable(self, gateway: str, since: float) -> float:
        """The first moment from then on at which the gateway can reach discovery."""
        moved = True
        while moved:
            moved = False
            for spell in self.spells:
                if spell.gateway == gateway and spell.kind == "away" and spell.begin <= since < spell.end:
                    since, moved = spell.end, True
        return since

    def told(self, life: Life, change: Change) -> float:
        """When a change counts as told to a process."""
        times = [at for at, generation in life.written if generation >= change.generation and at >= change.at][:1]
        reach = self.reachable(life.gateway, max(change.at, life.start))
        times.append(reach + TOLD)
        silent = [spell for spell in self.spells if spell.gateway == life.gateway and spell.kind == "silent"
                  and spell.begin <= reach < spell.end]
        if silent:
            times.append(max(reach, silent[0].begin + TOLD))
        elif self.terms.pushed:
            times.append(reach)
        else:
            times += [max(change.at, at) for at in self._all_counts_at(life.gateway, change.at) if change.at <= at]
            if (since := self._without_watch(life.gateway, change.at)) is not None:
                times.append(max(change.at, self._six_seconds_on(life.gateway, since)))
        times += [max(reach, reload + TOLD_RELOAD) for reload in life.reloads if reach <= reload + TOLD_RELOAD]
        return min(times)

    def _six_seconds_on(self, gateway: str, since: float) -> float:
        """When TOLD has passed from then on; counted anew where discovery goes meanwhile and comes back."""
        since = self.reachable(gateway, since)
        for spell in sorted(self.spells, key=lambda spell: spell.begin):
            if spell.gateway == gateway and spell.kind == "away" and since <= spell.begin < since + TOLD:
                since = self.reachable(gateway, spell.begin)
        return since + TOLD

    def _all_counts_at(self, gateway: str, by: float) -> list[float]:
        """When all that discovery has by then counts: 6 s after each loss of a watch and each return.

        A watch that is open again meanwhile changes nothing of it: its lines may wait for their turn while its empty
        lines come, and it may end instead of telling them.
        """
        losses = [watch.end for watch in self.watches if watch.gateway == gateway and watch.end <= by]
        returns = [spell.end for spell in self.spells
                   if spell.gateway == gateway and spell.kind == "away" and spell.end <= by]
        return [self._six_seconds_on(gateway, since) for since in losses + returns]

    def _without_watch(self, gateway: str, at: float) -> float | None:
        """Since when a gateway has had no watch at this time, whatever became of its process; None where one is open.

        All that discovery has counts 6 s after that, or after its return, and not 6 s after each change: so it was
        counted in the recorded plays, also for processes that had started meanwhile.
        """
        watches = [watch for watch in self.watches if watch.gateway == gateway and watch.begin <= at]
        if any(at < watch.end for watch in watches):
            return None
        return max((watch.end for watch in watches), default=0.0)

    def _drains(self) -> Iterable[str]:
        told: dict[tuple[int, int], float] = {}
        last: dict[str, list[tuple[int, Change]]] = defaultdict(list)
        for number, change in enumerate(self.changes):
            last[change.host].append((number, change))
        for begin in self.attempts:
            at_host = [(number, change) for number, change in last[begin.host] if change.at <= begin.at]
            if not at_host or at_host[-1][1].ready:
                continue
            barred: list[tuple[int, Change]] = []   # the states since it was last ready
            for entry in reversed(at_host):
                if entry[1].ready:
                    break
                barred.append(entry)
            life = self._life(begin.gateway, begin.at)
            if life is None:
                continue
            number, change = barred[-1]
            key = (id(life), number)
            if key not in told:
                told[key] = self.told(life, change)
            late = begin.at - told[key] - self.terms.grace
            if late > SLACK and late > self._late(begin.at):
                yield (f"{begin.at:.3f} {begin.rid} from {begin.gateway} to {begin.host}, barred at {change.at:.3f}, "
                       f"told at {told[key]:.3f}: {late:.3f} past the grace")

    def _lost(self) -> Iterable[str]:
        begun = {begin.rid for begin in self.attempts}
        for ask in self.asks:
            life = self._life(ask.gateway, ask.at)
            if life is None or ask.answered < inf or ask.left < inf:
                if ask.answered < inf and ask.status == 200 and ask.by != ask.rid:
                    yield f"{ask.at:.3f} {ask.rid} got the answer of {ask.by!r}"
                if ask.answered == inf or life is None:
                    continue
            due = ask.at + ask.patience
            for begin, end in life.stops:
                if begin <= due and ask.at <= end:
                    due = max(due, end)
            due += LATE_ANSWER + SLACK
            if ask.answered < inf:
                if ask.answered > due:
                    yield f"{ask.at:.3f} {ask.rid} of {ask.gateway} answered {ask.answered - due:.3f} too late"
                continue
            if life.end <= due and (life.killed or ask.at <= life.term):
                continue
            if ask.closed < life.end:
                if self.terms.unread and ask.first and ask.rid not in begun:
                    continue
                yield f"{ask.at:.3f} {ask.rid} of {ask.gateway} closed without an answer at {ask.closed:.3f}"
            elif due < life.end or (ask.at > life.term + TERM_TAKES and life.end < inf):
                yield (f"{ask.at:.3f} {ask.rid} of {ask.gateway} never answered "
                       f"(SIGTERM {life.term:.3f}, end {life.end:.3f})")

    def _gone(self) -> Iterable[str]:
        left = {ask.rid: ask.left for ask in self.asks if ask.left < inf}
        for begin in self.attempts:
            if begin.at > left.get(begin.rid, inf) + GONE + self._late(begin.at):
                yield (f"{begin.at:.3f} {begin.rid} from {begin.gateway}: {begin.at - left[begin.rid]:.3f} "
                       "after its client left")

    def _deadlines(self) -> Iterable[str]:
        asks = {ask.rid: ask for ask in self.asks}
        for begin in self.attempts:
            ask = asks.get(begin.rid)
            if ask is not None and begin.told_ms:
                over = begin.told_ms / 1000 - (ask.at + ask.patience - begin.at)
                if over > DEADLINE_SLACK + self._late(ask.at) and not self._held(begin):
                    yield (f"{begin.at:.3f} {begin.rid} from {begin.gateway}: told {over:.3f} more than its client has "
                           f"({begin.told_ms} ms; asked at {ask.at:.4f} by one that waits {ask.patience}; "
                           f"{self._stops_near(begin)}, writes held up at {self.held_writes.get(begin.gateway)})")

    def _held(self, begin: Begin) -> bool:
        """Whether the process stood still between its last look at the clock and this very write.

        The slack covers 0.15 s of that; no program can know of a longer stop between the two.
        """
        return any(abs(begin.at - at) <= NOTED for at in self.held_writes.get(begin.gateway, ()))

    def _stops_near(self, begin: Begin) -> str:
        life = self._life(begin.gateway, begin.at)
        stops = [stop for stop in life.stops if abs(stop[1] - begin.at) < 1.0] if life is not None else []
        return "stopped " + (", ".join(f"from {at:.4f} to {end:.4f}" for at, end in stops) or "never")

    def _duplicates(self) -> Iterable[str]:
        asks = {ask.rid: ask for ask in self.asks}
        seen: dict[str, list[Begin]] = defaultdict(list)
        for begin in self.attempts:
            if begin.whole < inf:
                seen[begin.rid].append(begin)
        for rid, begins in seen.items():
            ask = asks.get(rid)
            if ask is None:
                yield f"{begins[0].at:.3f} {rid}: no client sent it"
                continue
            ran = [begin for begin in begins if begin.ran]
            if ask.cls == "once" and len(ran) > 1:
                yield f"{ran[1].at:.3f} {rid}: an unsafe request ran {len(ran)} times"
            if ask.cls == "keyed" and ran and begins[-1].whole > ran[0].at + self.terms.window + SLACK:
                yield f"{begins[-1].whole:.3f} {rid}: begun {begins[-1].whole - ran[0].at:.3f} after the first"

    def _refusals(self) -> Iterable[str]:
        ran = {begin.rid for begin in self.attempts if begin.ran and begin.whole < inf}
        for ask in self.asks:
            if ask.cls == "once" and ask.status in (429, 503) and ask.rid in ran:
                yield f"{ask.at:.3f} {ask.rid}: refused though it ran"

    def _falls(self) -> Iterable[str]:
        terms = self.terms
        for cold in self.colds:
            times = sorted(begin.at for begin in self.attempts if begin.host == cold.host and begin.at >= cold.at)
            first = 0
            for last, at in enumerate(times):
                while times[first] < at - terms.fall_within:
                    first += 1
                age = (at - cold.at) / terms.warm_within
                if age >= 1.0:
                    break
                warmth = terms.cold_share + (1.0 - terms.cold_share) * age
                allowed = terms.fall_multiple * warmth * cold.capacity * terms.fall_within
                budget = allowed + 2 * sqrt(allowed) + 2 if allowed >= 30 else allowed + 3 * sqrt(allowed) + 3
                if last - first + 1 > budget:
                    yield (f"{at:.3f} {cold.host}: {last - first + 1} requests in {terms.fall_within} s, "
                           f"{at - cold.at:.2f} s after its start, {budget:.0f} allowed")
                    break

    def _crashes(self) -> Iterable[str]:
        for life in self.lives:
            if life.died:
                yield f"{life.end:.3f} {life.gateway}: {life.died}"

    # ---- Figures -----------------------------------------------------------------------------------------

    def served(self, begin: float, end: float) -> int:
        """Requests served in this stretch."""
        return sum(begin <= ask.answered < end and ask.status == 200 for ask in self.asks)

    def in_time(self, begin: float, end: float, within: float) -> float:
        """Share of the requests asked in this stretch that a host has answered so soon, seconds."""
        asked = [ask for ask in self.asks if begin <= ask.at < end]
        return sum(ask.status == 200 and ask.answered - ask.at <= within for ask in asked) / max(1, len(asked))

    def figures(self) -> dict[str, float]:
        """Counts for a report."""
        how = Counter(ask.status for ask in self.asks)
        return {"asked": len(self.asks), "served": how[200], "refused": how[503] + how[429], "failed": how[502],
                "left": sum(ask.left < inf for ask in self.asks), "attempts": len(self.attempts),
                "held_writes": sum(map(len, self.held_writes.values())),
                "lag": round(max((lag for _, lag in self.lags), default=0.0), 3)}
