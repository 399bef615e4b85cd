"""Tests of the load that all gateway processes together put on cold hosts; the processes do not communicate.

Traffic is spread unevenly over the processes and rises by half when the cold hosts start.  Some processes have just
started and have no statistics yet.
"""

from __future__ import annotations

from heapq import heappop, heappush
from math import sqrt
from random import Random

import pytest

from bridgesaddle.api import MS, SECOND, ListKind, Outcome, Rules
from tests.gateway import SimulatedGateway, entry, make_settings

SERVICE_TIME_NS = 80 * MS
RULES = Rules(cold_share=0.12, warm_within_ns=24 * SECOND, fall_multiple=3.0, fall_ns=1500 * MS)
COLD_START_NS = 6 * SECOND
"""Time at which the cold hosts start and the request rate rises by half."""
TRAFFIC_SHARES = (0.4, 0.6, 1.0, 1.0, 1.0, 2.0, 3.0)
LOAD = 0.6


def min_capacity_share(age_ns: int) -> float:
    """The smallest share of its full capacity that a host has this long after its start."""
    return min(1.0, RULES.cold_share + (1.0 - RULES.cold_share) * age_ns / RULES.warm_within_ns)


def attempts_to_cold_hosts(replica_index: int, processes: int, hosts: int, cold: int, rate_per_s: float,
                           duration_ns: int) -> list[tuple[str, int]]:
    """The attempts that one process sends to cold hosts: host, and nanoseconds after the start of the cold hosts."""
    random = Random(replica_index)
    host_names = [f"h{number}" for number in range(hosts)]
    gateway = SimulatedGateway(make_settings(zone=replica_index % 3, zones=3, replicas=processes,
                                             replica_index=replica_index, rules=RULES),
                               [entry(name, zone=number % 3) for number, name in enumerate(host_names)],
                               salt=replica_index)
    just_started = random.random() < 0.1
    completions: list[tuple[int, int, int]] = []   # completions of attempts: time, request id, attempt number
    arrival = COLD_START_NS - SECOND if just_started else 0
    update_sent = False
    sent: list[tuple[str, int]] = []
    while True:
        next_ns = min(arrival, completions[0][0] if completions else arrival, arrival if update_sent else COLD_START_NS)
        if next_ns >= COLD_START_NS + duration_ns:
            return sent
        gateway.run(next_ns)
        if not update_sent and next_ns >= COLD_START_NS:
            update_sent = True
            gateway.update_list(ListKind.FULL, [entry(name, zone=number % 3,
                                                      started_ns=COLD_START_NS if number < cold else 0)
                                                for number, name in enumerate(host_names)])
        elif completions and completions[0][0] <= next_ns:
            _, rid, number = heappop(completions)
            if number in gateway.held[rid].out:
                gateway.outcome(rid, Outcome.OK, attempt=number, spent_ns=SERVICE_TIME_NS)
        else:
            gateway.request()
            arrival = next_ns + int(random.expovariate(
                rate_per_s * (1.5 if next_ns >= COLD_START_NS else 1.0)) * SECOND)
        for (rid, host, _), sent_at in zip(gateway.sends, gateway.send_times, strict=True):
            if sent_at >= COLD_START_NS and host_names.index(str(host)) < cold:
                sent.append((str(host), sent_at - COLD_START_NS))
            heappush(completions, (sent_at + SERVICE_TIME_NS, rid, gateway.held[rid].attempts - 1))
        gateway.sends.clear()
        gateway.send_times.clear()


@pytest.mark.parametrize(("processes", "hosts", "cold", "lasts"), [
    (1, 12, 4, 20), (6, 12, 4, 20), (20, 12, 4, 12), (30, 40, 15, 12), (230, 200, 60, 4)])
def test_all_processes_together_use_cold_hosts_without_overloading_them(
        processes: int, hosts: int, cold: int, lasts: int) -> None:
    """Guards against an overload of cold hosts by processes each of which sends little."""
    capacity = SECOND / SERVICE_TIME_NS
    shares = [TRAFFIC_SHARES[number % len(TRAFFIC_SHARES)] for number in range(processes)]
    total_rate_per_s = LOAD * hosts * capacity
    sent: dict[str, list[int]] = {}
    for replica_index, share in enumerate(shares):
        for host, sent_at in attempts_to_cold_hosts(
                replica_index, processes, hosts, cold, total_rate_per_s * share / sum(shares), lasts * SECOND):
            sent.setdefault(host, []).append(sent_at)
    for times in sent.values():
        times.sort()
        for index, sent_after in enumerate(times):
            budget = RULES.fall_multiple * min_capacity_share(sent_after) * capacity * RULES.fall_ns / SECOND
            sent_in_window = sum(1 for sent_at in times[index:] if sent_at < sent_after + RULES.fall_ns)
            assert sent_in_window <= budget + 2 * sqrt(budget) + 2, (len(times), sent_after)
    total_capacity = cold * capacity * sum(min_capacity_share(step * SECOND // 10) for step in range(10 * lasts)) / 10
    assert sum(map(len, sent.values())) > 0.4 * total_capacity   # a host without any traffic would never warm up
