"""Plans with lasting overload of discovery: all calls and updates wait in one queue, and other faults occur meanwhile.

The record and the command line call this `crowded`.
"""

from __future__ import annotations

import random

from .plan import ALL_GATEWAYS, MAX_DEADLINE_S, SIGKILL_MARGIN_S, Fault, Plan

MIN_OVERLOAD_S = 10.5
SHORT_RUN_S = (18.0, 24.0)
LONG_RUN_S = (30.0, 45.0)
START_MARGIN_S = 7.0
"""A process gets no fault for this long after its start: it waits for its first list before it takes clients."""
MAX_RESTART_DELAY_S = 8.0
OUT_OF_SERVICE_S = (7.0, 14.0)
"""How long a draining host stays out of service: longer than a change may take to take effect."""
MIN_HOSTS_IN_SERVICE = 2
CALLS_PER_S_PER_GATEWAY = (0.06, 0.3)
"""Capacity of the queue for each gateway: less than changes and restarts need."""
OUTAGE_KINDS = ("down_refuse", "down_drop", "down_resets")
QUIET_END_S = 3.0
"""The last faults of watches, discovery and processes begin at least this long before the end of the run."""


class _OverloadFaults:
    """Draws the faults of a run with overload."""

    def __init__(self, rng: random.Random, plan: Plan) -> None:
        self._rng = rng
        self._plan = plan
        self._names = [f"n{number}" for number in range(plan.gateways)]
        self._begins_at = rng.uniform(1.0, 2.5)
        longest = plan.lasts - self._begins_at - 1.0
        self._ends_at = self._begins_at + rng.uniform(MIN_OVERLOAD_S, longest)
        self._change_times: list[float] = []

    def draw(self) -> None:
        """Add all faults of the run to the plan."""
        rng, plan = self._rng, self._plan
        capacity = max(0.4, plan.gateways * rng.uniform(*CALLS_PER_S_PER_GATEWAY))
        kind = rng.choice(("jammed", "jammed_keeps"))
        if plan.pushed:   # a pushed change takes effect at once, so updates are not queued
            kind = "crowded"
        self._add(self._begins_at, kind, "n0", self._ends_at - self._begins_at, capacity)
        if rng.random() < 0.3:
            for at in range(1, int(plan.lasts) - 4, 6):
                self._add(at, "crowd", ALL_GATEWAYS, 0.0, 250.0)
        self._add_host_changes()
        self._add_watch_faults()
        self._add_outages()
        self._add_process_faults()
        plan.faults.sort(key=lambda fault: fault.at)

    def _add(self, at: float, kind: str, target: str, duration_s: float = 0.0, size: float = 0.0) -> None:
        self._plan.faults.append(Fault(round(at, 3), kind, target, round(duration_s, 3), round(size, 3)))

    def _add_host_changes(self) -> None:
        """Hosts drain or are removed at any time and return once all has taken effect; some stay in service."""
        rng, plan = self._rng, self._plan
        back_at = dict.fromkeys([f"h{number}" for number in range(plan.hosts)], 0.0)
        at = self._begins_at + rng.uniform(0.0, 1.5)
        while at < plan.lasts - 1.0:
            in_service = [host for host, since in back_at.items() if since < at]
            if len(in_service) > MIN_HOSTS_IN_SERVICE:
                host = rng.choice(in_service)
                choice = rng.random()
                self._add(at, "gone" if choice < 0.2 else "drain", host)
                if choice > 0.7 and at < plan.lasts - 4.0:
                    self._add(at + rng.uniform(0.1, 3.0), "gone", host)
                back_at[host] = at + rng.uniform(*OUT_OF_SERVICE_S)
                if back_at[host] < plan.lasts - 1.0:
                    self._add(back_at[host], "ready", host)
                self._change_times.append(at)
            at += rng.choice((rng.uniform(0.1, 0.5), rng.uniform(0.5, 2.5), rng.uniform(2.0, 4.0)))

    def _add_watch_faults(self) -> None:
        """Watches fall silent or are reset."""
        rng = self._rng
        at = self._begins_at + rng.uniform(0.0, 3.0)
        while at < self._plan.lasts - QUIET_END_S:
            target = ALL_GATEWAYS if rng.random() < 0.3 else rng.choice(self._names)
            if rng.random() < 0.6:
                self._add(at, "watch_silent", target, 0.0, rng.randint(0, 1))
            else:
                self._add(at, "reset", target)
            at += rng.uniform(1.0, 5.0)

    def _add_outages(self) -> None:
        """Discovery goes down for some seconds while changes are queued."""
        rng = self._rng
        free_at = 0.0
        for _ in range(rng.choice((0, 0, 1, 2))):
            changes = [at for at in self._change_times if free_at < at < self._ends_at - QUIET_END_S]
            if changes:
                at = rng.choice(changes) + rng.uniform(0.1, 2.5)
                duration_s = rng.choice((rng.uniform(0.3, 3.0), rng.uniform(3.0, 8.0)))
                self._add(at, rng.choice(OUTAGE_KINDS),
                          ALL_GATEWAYS if rng.random() < 0.7 else rng.choice(self._names), duration_s)
                free_at = at + duration_s + 1.0

    def _add_process_faults(self) -> None:
        """Kills with restarts, series of SIGHUP, moves and SIGTERM, one after another at each gateway."""
        rng = self._rng
        common_kill_at = self._begins_at + rng.uniform(0.0, 5.0) if rng.random() < 0.5 else 0.0
        share = rng.uniform(0.3, 0.8)
        for name in self._names:
            at = self._begins_at + rng.uniform(0.0, 8.0)
            if common_kill_at and rng.random() < share:   # many gateways are killed at once
                at = common_kill_at + self._add_kill(common_kill_at, name)
            while at < self._plan.lasts - QUIET_END_S - MAX_RESTART_DELAY_S:
                at += rng.choice((self._add_kill, self._add_kill, self._add_reloads, self._add_reloads,
                                  self._add_term))(at, name)
                at += rng.uniform(0.3, 6.0)

    def _add_kill(self, at: float, name: str) -> float:
        restart_delay_s = self._rng.choice((0.0, self._rng.uniform(0.1, 2.0),
                                            self._rng.uniform(1.0, MAX_RESTART_DELAY_S)))
        self._add(at, "kill", name, 0.0, restart_delay_s)
        return restart_delay_s + START_MARGIN_S

    def _add_term(self, at: float, name: str) -> float:
        self._add(at, "term", name)
        return MAX_DEADLINE_S + SIGKILL_MARGIN_S + START_MARGIN_S

    def _add_reloads(self, at: float, name: str) -> float:
        rng = self._rng
        end = at
        moves = rng.random() < 0.4
        for number in range(rng.randint(1, 5)):
            self._add(end, "move" if moves and not number else "reload", name)
            end += rng.choice((rng.uniform(0.0, 0.3), rng.uniform(0.3, 2.0)))
        return end - at


def draw_overload(seed: int, duration_s: float = 0.0) -> Plan:
    """The plan of a seed with lasting overload; it shares nothing with what `draw` makes of the same seed.

    The duration of the run is drawn as well if `duration_s` is 0.
    """
    rng = random.Random(f"crowded {seed}")
    gateways = rng.choice((4, 6, 8, 12))
    drawn_duration_s = round(rng.uniform(*(LONG_RUN_S if rng.random() < 0.4 else SHORT_RUN_S)), 1)
    duration_s = duration_s or drawn_duration_s
    plan = Plan(seed, gateways, rng.choice((6, 8)), max(3, 40 // gateways), rng.choice((0.08, 0.15, 0.25)),
                rng.random() < 0.15, rng.choice((0.3, 0.3, 0.5, 1.0)), rng.choice((1.0, 1.0, 0.4)),
                rng.choice((0.0, 0.02, 0.1)), duration_s, rng.choice((1024, 1024, 256)), kept=rng.random() < 0.4)
    _OverloadFaults(rng, plan).draw()
    return plan
