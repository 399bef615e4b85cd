"""Cold hosts under the sum of what all processes send: many gateways that know nothing of each other, judged together.

Traffic is spread unevenly, rises by half as hosts start, and some processes have just begun with empty memory.
"""

from __future__ import annotations

from heapq import heappop, heappush
from math import sqrt
from random import Random

import pytest

from bridgesaddle.api import MS, SECOND, ListKind, Outcome, Rules
from tests.gateway import Gateway, entry, some_settings

WORK = 80 * MS
RULES = Rules(cold_share=0.12, warm_within_ns=24 * SECOND, fall_multiple=3.0, fall_ns=1500 * MS)
START = 6 * SECOND
"""When the cold hosts start, and half as much again begins to come."""
SHARES = (0.4, 0.6, 1.0, 1.0, 1.0, 2.0, 3.0)
LOAD = 0.6


def warmth(since: int) -> float:
    """The least share of its capacity that a host has so long after its start."""
    return min(1.0, RULES.cold_share + (1.0 - RULES.cold_share) * since / RULES.warm_within_ns)


def sent_to_cold(me: int, processes: int, hosts: int, cold: int, rate: float, lasts: int) -> list[tuple[str, int]]:
    """What one process sends to cold hosts, and how long after their start."""
    random = Random(me)
    names = [f"h{number}" for number in range(hosts)]
    gateway = Gateway(some_settings(zone=me % 3, zones=3, replicas=processes, replica_index=me, rules=RULES),
                      [entry(name, zone=number % 3) for number, name in enumerate(names)], salt=me)
    fresh = random.random() < 0.1
    ends: list[tuple[int, int, int]] = []   # when which attempt of which request is answered
    arrival = START - SECOND if fresh else 0
    told = False
    sent: list[tuple[str, int]] = []
    while True:
        due = min(arrival, ends[0][0] if ends else arrival, arrival if told else START)
        if due >= START + lasts:
            return sent
        gateway.run(due)
        if not told and due >= START:
            told = True
            gateway.list(ListKind.FULL, [entry(name, zone=number % 3, started_ns=START if number < cold else 0)
                                         for number, name in enumerate(names)])
        elif ends and ends[0][0] <= due:
            _, rid, number = heappop(ends)
            if number in gateway.held[rid].out:
                gateway.outcome(rid, Outcome.OK, attempt=number, spent_ns=WORK)
        else:
            gateway.request()
            arrival = due + int(random.expovariate(rate * (1.5 if due >= START else 1.0)) * SECOND)
        for (rid, host, _), at in zip(gateway.sends, gateway.times, strict=True):
            if at >= START and names.index(str(host)) < cold:
                sent.append((str(host), at - START))
            heappush(ends, (at + WORK, rid, gateway.held[rid].count - 1))
        gateway.sends.clear()
        gateway.times.clear()


@pytest.mark.parametrize(("processes", "hosts", "cold", "lasts"), [
    (1, 12, 4, 20), (6, 12, 4, 20), (20, 12, 4, 12), (30, 40, 15, 12), (230, 200, 60, 4)])
def test_cold_hosts_stand_under_the_sum_of_all_processes_and_are_used(
        processes: int, hosts: int, cold: int, lasts: int) -> None:
    capacity = SECOND / WORK
    shares = [SHARES[number % len(SHARES)] for number in range(processes)]
    total = LOAD * hosts * capacity
    sent: dict[str, list[int]] = {}
    for me, share in enumerate(shares):
        for host, at in sent_to_cold(me, processes, hosts, cold, total * share / sum(shares), lasts * SECOND):
            sent.setdefault(host, []).append(at)
    for times in sent.values():
        times.sort()
        for first, since in enumerate(times):
            budget = RULES.fall_multiple * warmth(since) * capacity * RULES.fall_ns / SECOND
            within = sum(1 for at in times[first:] if at < since + RULES.fall_ns)
            assert within <= budget + 2 * sqrt(budget) + 2, (len(times), since)
    able = cold * capacity * sum(warmth(step * SECOND // 10) for step in range(10 * lasts)) / 10
    assert sum(map(len, sent.values())) > 0.4 * able   # a host that is spared altogether never gets warm
