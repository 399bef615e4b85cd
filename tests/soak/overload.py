"""Plays in a crowd that lasts: all calls and lines of changes wait in one queue, and everything else goes on in it."""

from __future__ import annotations

import random

from .plan import AFTER_TERM_S, ALL, LONGEST_S, Fault, Plan

CROWD_LEAST_S = 10.5
SHORT_S = (18.0, 24.0)
LONG_S = (30.0, 45.0)
"""How long plays last."""
STARTS_WITHIN_S = 7.0
"""So long after its start a process is left alone: it waits for its first list before it takes clients."""
RESTARTS_WITHIN_S = 8.0
OUT_S = (7.0, 14.0)
"""So long a host that drains stays out of service: longer than a change may take to count."""
LEAST_IN_SERVICE = 2
CALLS_FOR_EACH = (0.06, 0.3)
"""What the queue serves for each gateway, calls a second: less than changes and restarts ask for."""
OUTAGES = ("down_refuse", "down_drop", "down_resets")
CALM_END_S = 3.0
"""The last faults of processes come so long before the end."""


class _Crowd:
    """Draws what happens in a crowd."""

    def __init__(self, rng: random.Random, plan: Plan) -> None:
        self._rng = rng
        self._plan = plan
        self._names = [f"n{number}" for number in range(plan.gateways)]
        self._begins = rng.uniform(1.0, 2.5)
        longest = plan.lasts - self._begins - 1.0
        self._ends = self._begins + rng.uniform(CROWD_LEAST_S, longest)
        self._changes: list[float] = []

    def draw(self) -> None:
        """All faults of the play."""
        rng, plan = self._rng, self._plan
        capacity = max(0.4, plan.gateways * rng.uniform(*CALLS_FOR_EACH))
        kind = rng.choice(("jammed", "jammed_keeps"))
        if plan.pushed:   # what an agent has counts at once: its lines do not wait
            kind = "crowded"
        self._add(self._begins, kind, "n0", self._ends - self._begins, capacity)
        if rng.random() < 0.3:
            for at in range(1, int(plan.lasts) - 4, 6):
                self._add(at, "crowd", ALL, 0.0, 250.0)
        self._hosts()
        self._watches()
        self._outages()
        self._processes()
        plan.faults.sort(key=lambda fault: fault.at)

    def _add(self, at: float, kind: str, on: str, lasts: float = 0.0, size: float = 0.0) -> None:
        self._plan.faults.append(Fault(round(at, 3), kind, on, round(lasts, 3), round(size, 3)))

    def _hosts(self) -> None:
        """Hosts drain or go at any time, and come back once all counts; some stay in service."""
        rng, plan = self._rng, self._plan
        back = dict.fromkeys([f"h{number}" for number in range(plan.hosts)], 0.0)
        at = self._begins + rng.uniform(0.0, 1.5)
        while at < plan.lasts - 1.0:
            here = [host for host, since in back.items() if since < at]
            if len(here) > LEAST_IN_SERVICE:
                host = rng.choice(here)
                gone = rng.random()
                self._add(at, "gone" if gone < 0.2 else "drain", host)
                if gone > 0.7 and at < plan.lasts - 4.0:
                    self._add(at + rng.uniform(0.1, 3.0), "gone", host)
                back[host] = at + rng.uniform(*OUT_S)
                if back[host] < plan.lasts - 1.0:
                    self._add(back[host], "ready", host)
                self._changes.append(at)
            at += rng.choice((rng.uniform(0.1, 0.5), rng.uniform(0.5, 2.5), rng.uniform(2.0, 4.0)))

    def _watches(self) -> None:
        """Watches fall silent or are reset."""
        rng = self._rng
        at = self._begins + rng.uniform(0.0, 3.0)
        while at < self._plan.lasts - CALM_END_S:
            on = ALL if rng.random() < 0.3 else rng.choice(self._names)
            if rng.random() < 0.6:
                self._add(at, "watch_silent", on, 0.0, rng.randint(0, 1))
            else:
                self._add(at, "reset", on)
            at += rng.uniform(1.0, 5.0)

    def _outages(self) -> None:
        """Discovery goes down for some seconds while changes wait for their turn."""
        rng = self._rng
        free_at = 0.0
        for _ in range(rng.choice((0, 0, 1, 2))):
            changes = [at for at in self._changes if free_at < at < self._ends - CALM_END_S]
            if changes:
                at = rng.choice(changes) + rng.uniform(0.1, 2.5)
                lasts = rng.choice((rng.uniform(0.3, 3.0), rng.uniform(3.0, 8.0)))
                self._add(at, rng.choice(OUTAGES), ALL if rng.random() < 0.7 else rng.choice(self._names), lasts)
                free_at = at + lasts + 1.0

    def _processes(self) -> None:
        """Kills with restarts, SIGHUP in series, moves and SIGTERM, one after another at each gateway."""
        rng = self._rng
        together = self._begins + rng.uniform(0.0, 5.0) if rng.random() < 0.5 else 0.0
        share = rng.uniform(0.3, 0.8)
        for name in self._names:
            at = self._begins + rng.uniform(0.0, 8.0)
            if together and rng.random() < share:   # many at once
                at = together + self._kill(together, name)
            while at < self._plan.lasts - CALM_END_S - RESTARTS_WITHIN_S:
                at += rng.choice((self._kill, self._kill, self._reloads, self._reloads, self._term))(at, name)
                at += rng.uniform(0.3, 6.0)

    def _kill(self, at: float, name: str) -> float:
        rests = self._rng.choice((0.0, self._rng.uniform(0.1, 2.0), self._rng.uniform(1.0, RESTARTS_WITHIN_S)))
        self._add(at, "kill", name, 0.0, rests)
        return rests + STARTS_WITHIN_S

    def _term(self, at: float, name: str) -> float:
        self._add(at, "term", name)
        return LONGEST_S + AFTER_TERM_S + STARTS_WITHIN_S

    def _reloads(self, at: float, name: str) -> float:
        rng = self._rng
        end = at
        moves = rng.random() < 0.4
        for number in range(rng.randint(1, 5)):
            self._add(end, "move" if moves and not number else "reload", name)
            end += rng.choice((rng.uniform(0.0, 0.3), rng.uniform(0.3, 2.0)))
        return end - at


def draw_crowded(seed: int, lasts: float = 0.0) -> Plan:
    """The play of a seed in a crowd that lasts; shares nothing with what `draw` makes of the same seed.

    `lasts`: of the play, seconds; drawn as well where it is left out.
    """
    rng = random.Random(f"crowded {seed}")
    gateways = rng.choice((4, 6, 8, 12))
    drawn = round(rng.uniform(*(LONG_S if rng.random() < 0.4 else SHORT_S)), 1)
    lasts = lasts or drawn
    plan = Plan(seed, gateways, rng.choice((6, 8)), max(3, 40 // gateways), rng.choice((0.08, 0.15, 0.25)),
                rng.random() < 0.15, rng.choice((0.3, 0.3, 0.5, 1.0)), rng.choice((1.0, 1.0, 0.4)),
                rng.choice((0.0, 0.02, 0.1)), lasts, rng.choice((1024, 1024, 256)), kept=rng.random() < 0.4)
    _Crowd(rng, plan).draw()
    return plan
