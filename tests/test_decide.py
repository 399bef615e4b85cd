"""The decision module alone: a test for each decision and for each fault that was found."""

from __future__ import annotations

from collections import Counter
from heapq import heappop, heappush
from random import Random

import pytest

from bridgesaddle.api import (
    MS,
    SECOND,
    Effect,
    Goal,
    Group,
    HostId,
    HostState,
    Limits,
    ListKind,
    Outcome,
    Rules,
    Tenant,
)

from .gateway import SimulatedGateway, entry, make_class, make_settings, run_sequential_requests


def test_a_request_is_sent_once_and_its_state_released() -> None:
    gateway = SimulatedGateway(make_settings(), [entry(f"h{n}") for n in range(4)])
    run_sequential_requests(gateway, 1, 20 * MS)
    assert len(gateway.sends) == 1
    assert gateway.ends == {1: "served"}
    assert not gateway.module._requests
    assert not gateway.broken


def test_requests_are_refused_with_an_empty_list() -> None:
    gateway = SimulatedGateway(make_settings())
    rid = gateway.request()
    gateway.run(2 * SECOND)
    assert gateway.ends[rid] == "refuse"
    assert not gateway.broken


def test_an_unsafe_request_is_not_repeated_after_a_reset() -> None:
    gateway = SimulatedGateway(make_settings(make_class(Effect.UNSAFE)), [entry(f"h{n}") for n in range(4)])
    rid = gateway.request()
    gateway.run(20 * MS)
    gateway.outcome(rid, Outcome.RESET)
    gateway.run(2 * SECOND)
    assert len(gateway.sends) == 1
    assert gateway.ends[rid] == "fail"
    assert not gateway.broken


def test_an_unknown_class_is_named_in_the_error() -> None:
    gateway = SimulatedGateway(make_settings(), [entry("h")])
    with pytest.raises(ValueError, match="cls 7"):
        gateway.module.on_request(0, 1, 7, 0, 0, SECOND, 0, False)


def test_many_gateways_do_not_overload_a_cold_server() -> None:
    """Eighty gateways that each send one request per window would overload the only server, just started."""
    rules = Rules(cold_share=0.3, warm_within_ns=10 * SECOND, fall_multiple=3.0, fall_ns=2 * SECOND)
    settings = [make_settings(replicas=80, replica_index=number, rules=rules) for number in range(80)]
    sent = 0
    for number, config in enumerate(settings):
        gateway = SimulatedGateway(config, [entry("warm")], salt=number)
        run_sequential_requests(gateway, 20, 80 * MS, 3120 * MS)
        gateway.update_list(ListKind.DELTA, [entry("warm", state=HostState.GONE),
                                       entry("cold", started_ns=gateway.now)])
        if number < 50:   # those whose next request falls into the first two seconds
            gateway.run(gateway.now + number * 40 * MS)
            run_sequential_requests(gateway, 1, 80 * MS)
        sent += gateway.attempts_per_host()["cold"]
    # One core serves 12.5 requests per second; cold, 0.3 to 0.44 of that in the first two seconds.
    assert sent < 3.0 * 0.3 * 12.5 * 2


def test_a_server_that_is_always_full_is_ejected() -> None:
    """The fast FULL outcomes of a hung server with a full queue must not count as its recovery."""
    gateway = SimulatedGateway(make_settings(), [entry("good"), entry("full")])
    for _ in range(60):
        rid = gateway.request()
        gateway.run(gateway.now + 5 * MS)
        while gateway.held[rid].out:
            host = gateway.held[rid].out[min(gateway.held[rid].out)]
            gateway.outcome(rid, Outcome.FULL if host == "full" else Outcome.OK, spent_ns=5 * MS)
    assert gateway.attempts_per_host()["full"] < 10


def test_a_list_update_does_not_reset_a_limit() -> None:
    """A reset would let all gateways send a burst to an overloaded fleet at each update of the list."""
    hosts = [entry(f"h{number}") for number in range(8)]
    gateway = SimulatedGateway(make_settings(), hosts)
    for _ in range(60):
        rid = gateway.request()
        while gateway.held[rid].out:
            gateway.outcome(rid, Outcome.FULL, spent_ns=MS)
        gateway.run(gateway.now + 50 * MS)
    gateway.run(gateway.now + 20 * MS)
    before = len(gateway.sends)
    gateway.update_list(ListKind.FULL, hosts[1:])
    for _ in range(8):
        gateway.request()
    assert len(gateway.sends) - before <= 2


def test_a_silent_server_is_noticed_by_requests_that_may_not_be_retried() -> None:
    """An unsafe attempt has no timeout before its deadline, so a silent server could keep getting half of all work."""
    gateway = SimulatedGateway(make_settings(make_class(Effect.UNSAFE)), [entry("good"), entry("silent")])
    for _ in range(40):
        rid = gateway.request()
        out = gateway.held[rid].out
        gateway.run(gateway.now + 20 * MS)
        if out and out[0] == "good":
            gateway.outcome(rid, Outcome.OK, spent_ns=20 * MS)
        gateway.run(gateway.now + 80 * MS)
    assert gateway.attempts_per_host()["silent"] < 12
    assert not gateway.broken


def test_a_keyed_retry_goes_to_the_cell_that_drops_its_repeat() -> None:
    """The gateway's subset of its zone seldom contains the only other server of the cell."""
    hosts = [entry(f"h{number}", cell=number // 2) for number in range(60)]
    settings = make_settings(make_class(Effect.KEYED, Group.CELL, window_ns=2 * SECOND, aim_ns=SECOND,
                                        deadline_ns=4 * SECOND), replicas=20)
    gateway = SimulatedGateway(settings, hosts)
    rid = gateway.request()
    gateway.run(20 * MS)
    gateway.outcome(rid, Outcome.RESET)
    gateway.run(2 * SECOND)
    assert len(gateway.sends) == 2
    assert not gateway.broken


def test_a_retry_needs_capacity() -> None:
    """Retries beyond the limit would keep an overloaded fleet full."""
    gateway = SimulatedGateway(make_settings(), [entry(f"h{number}") for number in range(4)])
    rids = [gateway.request() for _ in range(4)]
    gateway.outcome(rids[0], Outcome.RESET)
    rids += [gateway.request() for _ in range(8)]   # these use up the limit
    for rid in rids[1:]:
        if gateway.held[rid].out:
            gateway.module._near.limit = 0.0        # overloaded by now
    before = len(gateway.sends)
    gateway.run(gateway.now + 350 * MS)
    assert len(gateway.sends) == before


def test_a_load_report_of_queue_and_service_time_gives_the_delay() -> None:
    """Such reports must be used even if they do not contain the requests in flight."""
    settings = make_settings(report_fields=("queue", "service_ms"), report_inline=True)
    gateway = SimulatedGateway(settings, [entry("busy"), entry("idle")])
    for _ in range(30):
        rid = gateway.request()
        gateway.run(gateway.now + 20 * MS)
        host = gateway.held[rid].out[0]
        load = (9.0, 40.0) if host == "busy" else (0.0, 40.0)
        gateway.outcome(rid, Outcome.OK, spent_ns=20 * MS, load=load)
    busy, idle = (gateway.module._servers[host].q_avg for host in ("busy", "idle"))
    assert busy > 100 * MS
    assert idle < 20 * MS


def test_ended_requests_are_removed_from_the_queue() -> None:
    """An ended request must not stay in the heap while a more valuable one waits above it."""
    gateway = SimulatedGateway(make_settings())
    for _ in range(3000):
        gateway.request(ttl_ns=20 * MS)
        gateway.run(gateway.now + 10 * MS)
    assert len(gateway.module._waiting) < 100


def test_an_unknown_tenant_and_a_reused_id_are_named_in_the_error() -> None:
    gateway = SimulatedGateway(make_settings(), [entry("h")])
    with pytest.raises(ValueError, match="tenant 3"):
        gateway.module.on_request(0, 1, 0, 3, 0, SECOND, 0, False)
    rid = gateway.request()
    with pytest.raises(ValueError, match=f"rid {rid}"):
        gateway.module.on_request(0, rid, 0, 0, 0, SECOND, 0, False)


def test_waiting_requests_leave_client_connections_for_new_ones() -> None:
    """If waiting requests occupied all of the clients' connections, new requests could not arrive."""
    classes = (make_class(name="cheap", worth=1.0), make_class(name="dear", worth=9.0))
    gateway = SimulatedGateway(make_settings(*classes, limits=Limits(max_attempts=5, max_client_requests=8)),
                               [entry("h")])
    cheap = [gateway.request(0) for _ in range(20)]
    valuable = [gateway.request(1) for _ in range(3)]
    out = {rid for rid, _, _ in gateway.sends}
    waiting = {*cheap, *valuable} - out - gateway.ends.keys()
    assert gateway.now == 0   # requests that do not wait get their response at once
    assert len(waiting) == 4
    assert waiting >= {*valuable} - out
    assert set(gateway.ends.values()) == {"refuse"}
    assert not gateway.broken


def test_a_new_request_does_not_overtake_waiting_ones() -> None:
    """A new request would have a second random draw for capacity and overtake more valuable ones that wait."""
    valuable, cheap = make_class(name="dear", worth=9.0), make_class(name="cheap", worth=1.0)
    gateway = SimulatedGateway(make_settings(valuable, cheap), [entry(f"h{number}") for number in range(4)])
    run_sequential_requests(gateway, 20, 20 * MS)
    run_sequential_requests(gateway, 20, 20 * MS, cls=1)
    gateway.module._near.limit = 0.5    # capacity for half of the draws
    rids = [gateway.request(cls) for cls in (0, 0, 1, 1, 1, 1, 1, 1)]
    sent = [rid for rid, _, _ in gateway.sends if rid in rids]
    assert sent == rids[:1]


def test_many_gateways_do_not_overload_a_small_fleet_at_their_start() -> None:
    """Hundreds of gateways with an initial limit of one request for each pool would overload a small fleet."""
    config = make_settings(replicas=200)
    out = 0
    for salt in range(200):
        gateway = SimulatedGateway(config, [entry(f"h{number}") for number in range(20)], salt)
        gateway.request()
        out += len(gateway.sends)
    assert 20 <= out <= 60   # about two per server, not one per gateway


def test_a_tenant_over_its_allowance_is_limited_while_the_pool_is_busy() -> None:
    """The excess of a tenant has little worth and must not displace requests of tenants within their allowance."""
    tenants = (Tenant("greedy", quota_per_s=10.0), Tenant("modest", quota_per_s=10.0))
    gateway = SimulatedGateway(make_settings(tenants=tenants, over_share_worth=0.05), [entry("a"), entry("b")])
    gateway.module._near.limit = 6.0
    run_sequential_requests(gateway, 30, 20 * MS)
    ends: dict[int, list[int]] = {0: [], 1: []}
    for number in range(200):   # sixty requests per second, served late: five in six are the greedy tenant's
        tenant = int(number % 6 == 0)
        ends[tenant].append(gateway.request(tenant=tenant))
        gateway.run(gateway.now + 16 * MS)
        for rid, held in gateway.held.items():
            while held.out and gateway.now - gateway.send_times[-1] >= 0 and rid <= gateway.last_rid - 5:
                gateway.outcome(rid, Outcome.OK, spent_ns=300 * MS)
    greedy, modest = ([gateway.ends.get(rid) == "refuse" for rid in ends[t]] for t in (0, 1))
    assert sum(modest) / len(modest) < 0.25
    assert sum(greedy) / len(greedy) > 0.5
    assert not gateway.broken


def test_random_arrivals_of_a_small_tenant_are_within_its_allowance() -> None:
    """With a credit of one request, each random pair of requests from a tenant within its allowance would be excess."""
    tenants = (Tenant("small", quota_per_s=10.0), Tenant("other", quota_per_s=10.0))
    gateway = SimulatedGateway(make_settings(tenants=tenants, over_share_worth=0.1, replicas=20),
                               [entry(f"h{n}") for n in range(8)])
    gateway.module._missed_share = 1.0    # the gate for excess is closed
    gateway.module._near.limit = 9.0
    rids = [gateway.request() for _ in range(4)]   # this gateway's part is half a request per second
    assert [rid for rid, _, _ in gateway.sends] == rids
    for _ in range(4):
        gateway.request()
    assert "refuse" in gateway.ends.values()


def test_configured_weight_and_observed_latency_count() -> None:
    """The speeds of servers may differ threefold, and by weight alone large servers would get too much."""
    gateway = SimulatedGateway(make_settings(), [entry("large", weight=3.0), entry("small")])
    gateway.module._near.limit = 8.0
    for _ in range(4):
        gateway.request()
    assert gateway.attempts_per_host() == {"large": 3, "small": 1}   # in flight by weight: one, two, then a tie
    slow = SimulatedGateway(make_settings(), [entry("large", weight=2.0), *[entry(f"small{n}") for n in range(3)]])
    for _ in range(80):
        rid = slow.request()
        late = slow.held[rid].out[0] == "large"
        slow.run(slow.now + (150 if late else 30) * MS)
        slow.outcome(rid, Outcome.OK)
    slow.sends.clear()
    run_sequential_requests(slow, 40, 30 * MS)
    assert slow.attempts_per_host()["large"] < 14   # half of the random pairs contain it: twenty of forty


def test_a_request_that_cannot_be_in_time_is_refused_at_once() -> None:
    """Otherwise a third of the work would go to requests with a quarter of the time that a response takes."""
    gateway = SimulatedGateway(make_settings(), [entry(f"h{n}") for n in range(4)])
    run_sequential_requests(gateway, 60, 200 * MS)
    gateway.request(ttl_ns=50 * MS)
    assert not gateway.ends.get(gateway.last_rid)   # it is sent while all requests are in time
    gateway.module._missed_share = 1.0
    sent = len(gateway.sends)
    rid = gateway.request(ttl_ns=50 * MS)
    assert (len(gateway.sends), gateway.ends[rid]) == (sent, "refuse")
    rid = gateway.request()
    assert gateway.sends[-1][0] == rid


def test_a_class_that_looks_too_slow_is_probed_now_and_then() -> None:
    """If nothing of a class were sent once it looks too slow, its recovery would go unnoticed."""
    gateway = SimulatedGateway(make_settings(), [entry(f"h{n}") for n in range(4)])
    run_sequential_requests(gateway, 60, 900 * MS)
    sent = len(gateway.sends)
    for _ in range(100):
        gateway.request()
        gateway.run(gateway.now + 100 * MS)
    assert 1 <= len(gateway.sends) - sent <= 5


def test_failures_seen_by_long_requests_stay_in_effect_for_short_ones() -> None:
    """If evidence decayed by the T1 of each request, the class with the shortest aim would use silent servers."""
    short = make_class(name="short", aim_ns=100 * MS)
    long = make_class(name="long", aim_ns=SECOND, deadline_ns=2 * SECOND)
    gateway = SimulatedGateway(make_settings(short, long), [entry("h")])
    server = gateway.module._servers["h"]
    for at in (1, 2):
        gateway.module._observe(server, SECOND, SECOND, at * SECOND, failed=True)
    assert gateway.module._ejected(server, 75 * MS, 3400 * MS)


def test_silence_counts_for_requests_with_little_time_left() -> None:
    """Requests that have waited are cancelled before T1; in overload, silence would otherwise go unnoticed."""
    gateway = SimulatedGateway(make_settings(), [entry("good"), entry("silent")])
    run_sequential_requests(gateway, 30, 20 * MS)
    gateway.sends.clear()
    for _ in range(40):
        rid = gateway.request(ttl_ns=150 * MS)
        if gateway.held[rid].out.get(0) == "good":
            gateway.run(gateway.now + 20 * MS)
            gateway.outcome(rid, Outcome.OK, spent_ns=20 * MS)
        else:
            gateway.run(gateway.now + 200 * MS)
            while gateway.held[rid].out:
                gateway.outcome(rid, Outcome.CANCELLED, spent_ns=150 * MS)
    assert gateway.attempts_per_host()["silent"] < 12


def test_full_servers_get_time_to_recover() -> None:
    """Gateways whose entire subset is full must not keep it full by sending more."""
    gateway = SimulatedGateway(make_settings(), [entry("a"), entry("b")])
    for _ in range(400):   # forty seconds
        gateway.request()
        for rid, held in gateway.held.items():
            while held.out:
                gateway.outcome(rid, Outcome.FULL, spent_ns=MS)
        gateway.run(gateway.now + 100 * MS)
    late = sum(at > 10 * SECOND for at in gateway.send_times)
    assert 1 <= late <= 30    # a few attempts are still made
    assert not gateway.broken


def test_an_attempt_has_no_timeout_where_a_retry_would_be_late() -> None:
    """Without overload, a timeout of long requests would only cause the same work twice, too late."""
    gateway = SimulatedGateway(make_settings(), [entry(f"h{n}") for n in range(4)])
    rid = gateway.request()
    assert gateway.sends[-1][2] == 300 * MS           # without statistics: the timer, T1
    gateway.run(gateway.now + 20 * MS)
    gateway.outcome(rid, Outcome.OK)
    run_sequential_requests(gateway, 60, 180 * MS)
    gateway.request()
    assert gateway.sends[-1][2] == SECOND             # 100 ms after T1, no response that takes 180 ms is in time
    quick = SimulatedGateway(make_settings(), [entry(f"h{n}") for n in range(4)])
    run_sequential_requests(quick, 60, 20 * MS)
    quick.request()
    assert quick.sends[-1][2] == 300 * MS


def test_overload_of_a_zone_is_noticed_though_its_servers_report_empty_queues() -> None:
    """Servers that share their cores between many requests report an empty queue while all responses are late."""
    gateway = SimulatedGateway(make_settings(zones=2, report_fields=("queue", "service_ms"), report_inline=True),
                               [entry(f"h{number}", zone=number % 2) for number in range(8)])
    sent_before = 0
    for turn in range(300):
        rid = gateway.request()
        gateway.run(gateway.now + 10 * MS)
        if gateway.held[rid].out:
            host = gateway.held[rid].out[0]
            overloaded = turn >= 100 and gateway.hosts[host].zone == 0
            gateway.outcome(rid, Outcome.OK, spent_ns=(250 if overloaded else 20) * MS, load=(0.0, 20.0))
        if turn == 200:
            sent_before = len(gateway.sends)
    zones = [gateway.hosts[host].zone for _, host, _ in gateway.sends[sent_before:]]
    assert zones.count(1) > len(zones) / 2
    assert not gateway.broken


def test_failed_discovery_is_called_again_before_its_changes_take_effect() -> None:
    """A backoff of three quarters of ask_within_ns would notice drains too late."""
    gateway = SimulatedGateway(make_settings(ask_discovery=True), [entry("h")])
    within = gateway.settings.rules.ask_within_ns
    delays: list[int] = []
    for _ in range(12):
        gateway.update_list(ListKind.FAILED, [])
        before, begun = gateway.discovery_calls, gateway.now
        while gateway.discovery_calls == before:
            gateway.run(gateway.now + 50 * MS)
        delays.append(gateway.now - begun)
    assert max(delays) <= within * 3 // 10 + 50 * MS
    assert delays[-1] > delays[0] / 4   # jitter: gateways must not call in step
    assert len(set(delays)) > 3


def test_removed_servers_are_forgotten() -> None:
    """Each release of the servers brings new names; the entries of the old ones must not accumulate."""
    gateway = SimulatedGateway(make_settings(), [entry("h0")])
    for number in range(100):
        rid = gateway.request()
        gateway.update_list(ListKind.DELTA, [entry(f"h{number}", state=HostState.GONE), entry(f"h{number + 1}")])
        if gateway.held[rid].out:   # a response of a removed server still counts
            gateway.outcome(rid, Outcome.OK, spent_ns=10 * MS)
        gateway.run(gateway.now + 50 * MS)
    assert len(gateway.module._servers) == 1
    assert set(gateway.ends.values()) == {"served"}
    assert not gateway.broken


def test_a_request_waits_for_at_most_half_of_its_time() -> None:
    """Half of the aim can be all of the time of a request with a short timeout."""
    gateway = SimulatedGateway(make_settings(), [entry("h")])
    gateway.module._near.limit = 0.0
    rid = gateway.request(ttl_ns=150 * MS)
    gateway.run(80 * MS)
    assert gateway.ends[rid] == "refuse"
    assert not gateway.broken


def serve_all(gateway: SimulatedGateway, spent_ns: int) -> None:
    """Serve all attempts in flight after this time, and then those that get their capacity."""
    gateway.run(gateway.now + spent_ns)
    for rid in [rid for rid, held in gateway.held.items() if held.out]:
        gateway.outcome(rid, Outcome.OK, spent_ns=spent_ns)


def burst(gateway: SimulatedGateway, size: int = 200) -> int:
    """How many of this number of simultaneous requests are sent at once, by a gateway without waiting ones."""
    while gateway.module._waiting_count or any(held.out for held in gateway.held.values()):
        serve_all(gateway, 20 * MS)
    return sum(gateway.held[gateway.request()].attempts for _ in range(size))


def test_latency_under_lasting_overload_does_not_become_typical() -> None:
    """Overload below the gate's threshold must not become the typical latency, or the limit would grow with it."""
    gateway = SimulatedGateway(make_settings(), [entry(f"h{number}") for number in range(8)])
    run_sequential_requests(gateway, 200, 20 * MS)
    for _ in range(100):
        for _ in range(40):
            gateway.request()
        serve_all(gateway, 75 * MS)
    assert burst(gateway) < 20
    assert not gateway.broken


@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.ERROR, Outcome.CONNECT_FAILED])
def test_failed_responses_do_not_limit_work_for_idle_servers(outcome: Outcome) -> None:
    """If each reset counted as one T1 of queueing in its pool, the limit would fall while the servers are idle."""
    gateway = SimulatedGateway(make_settings(), [entry(f"h{number}") for number in range(8)])
    run_sequential_requests(gateway, 40, 10 * MS)
    delayed = responses = 0
    for _ in range(400):
        batch = [gateway.request() for _ in range(4)]
        delayed += sum(1 for rid in batch if not gateway.held[rid].attempts)
        gateway.run(gateway.now + 10 * MS)
        for rid in [rid for rid, held in gateway.held.items() if held.out]:
            responses += 1
            gateway.outcome(rid, Outcome.OK if responses % 6 else outcome, spent_ns=10 * MS)
        gateway.run(gateway.now + 10 * MS)
    assert delayed < 20
    assert not gateway.broken


def test_clients_with_short_timeouts_do_not_look_like_overload() -> None:
    """Relative to a T1 of 45 ms, a response 20 ms slower than typical would be nearly half a T1 of delay."""
    gateway = SimulatedGateway(make_settings(), [entry(f"h{number}") for number in range(8)])
    run_sequential_requests(gateway, 200, 20 * MS)
    for _ in range(40):
        for _ in range(8):
            gateway.request(ttl_ns=50 * MS)
        serve_all(gateway, 40 * MS)
    assert burst(gateway) > 8
    assert not gateway.broken


def random_arrivals(gateway: SimulatedGateway, per_s: float, mean_ms: float, until_ns: int, seed: int) -> None:
    """Requests arrive at random and take random times, as at idle servers."""
    draw = Random(seed)
    taken: set[int] = set()
    due: list[tuple[int, int, int]] = []
    arrival = gateway.now
    while arrival < until_ns:
        arrival += int(draw.expovariate(per_s) * SECOND)
        while True:
            for rid, held in gateway.held.items():
                if held.out and rid not in taken:
                    taken.add(rid)
                    spent = int(draw.expovariate(1 / mean_ms) * MS)
                    heappush(due, (gateway.now + spent, rid, spent))
            if not due or due[0][0] > arrival:
                break
            at, rid, spent = heappop(due)
            gateway.run(at)
            if gateway.held[rid].out:
                gateway.outcome(rid, Outcome.OK, spent_ns=spent)
        gateway.run(arrival)
        gateway.request()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_gateway_with_few_responses_does_not_see_overload_at_random(seed: int) -> None:
    """One slow response of few must not make half of a pool's delay, or limits fall to the minimum at idle servers."""
    gateway = SimulatedGateway(make_settings(replicas=40), [entry(f"h{number}") for number in range(60)])
    run_sequential_requests(gateway, 40, 20 * MS, 280 * MS)   # its first responses are fast
    random_arrivals(gateway, 8.0, 60.0, 72 * SECOND, seed)
    unserved = [rid for rid, how in gateway.ends.items() if how != "served"]
    assert len(unserved) < 0.05 * gateway.last_rid
    assert not gateway.broken


def test_random_peaks_at_one_of_many_gateways_do_not_wait() -> None:
    """Forty gateways with limits of one or two must not let random arrivals wait while the fleet has capacity."""
    sent = 0
    for salt in range(100):   # each has its initial limit: one and a half
        gateway = SimulatedGateway(make_settings(replicas=40), [entry(f"h{number}") for number in range(60)], salt)
        sent += burst(gateway, 4)
        assert not gateway.broken
    assert 240 < sent < 300


def test_a_single_gateway_does_not_exceed_its_limit() -> None:
    """The peaks of many gateways even out at the servers; those of a single gateway do not."""
    sent = sum(burst(SimulatedGateway(make_settings(), [entry("a"), entry("b")], salt), 8) for salt in range(50))
    assert sent == 100


def test_many_gateways_use_the_servers_of_a_zone_evenly() -> None:
    """With subsets of three servers, each would have one to three gateways: some overloaded, others idle."""
    hosts = [entry(f"h{number}", zone=number % 3) for number in range(60)]
    users: Counter[HostId] = Counter()
    for index in range(13):
        gateway = SimulatedGateway(make_settings(zones=3, replicas=40, replica_index=index), hosts, salt=index)
        run_sequential_requests(gateway, 60, 20 * MS)
        users.update(host for host in gateway.attempts_per_host() if gateway.hosts[host].zone == 0)
    assert len(users) == 20
    assert max(users.values()) < 2 * min(users.values())


def test_new_servers_take_work_from_the_few_that_remain_after_a_release() -> None:
    """The pace for cold servers must not follow from overload: the low rate would keep them from taking work."""
    rules = Rules(cold_share=0.12, warm_within_ns=24 * SECOND, fall_multiple=3.0, fall_ns=1500 * MS)
    gateway = SimulatedGateway(make_settings(replicas=40, rules=rules), [entry(f"h{number}") for number in range(60)])
    run_sequential_requests(gateway, 100, 80 * MS, 20 * MS)
    gateway.update_list(ListKind.FULL, [entry(f"h{number}") for number in range(20)] + [
        entry(f"new{number}", started_ns=gateway.now) for number in range(40)])
    gateway.sends.clear()
    for _ in range(100):
        for _ in range(4):
            gateway.request()
        serve_all(gateway, 400 * MS)
    to_new = sum(1 for _, host, _ in gateway.sends if str(host).startswith("new"))
    assert to_new > 0.55 * len(gateway.sends)
    assert not gateway.broken


def test_new_servers_of_other_zones_help_a_zone_that_has_too_few() -> None:
    """Cold servers must not idle for the gateways of other zones, whose warm servers are overloaded."""
    rules = Rules(cold_share=0.12, warm_within_ns=24 * SECOND, fall_multiple=3.0, fall_ns=1500 * MS)
    gateway = SimulatedGateway(make_settings(zones=3, replicas=40, rules=rules),
                               [entry(f"h{number}", zone=number % 3) for number in range(60)])
    run_sequential_requests(gateway, 100, 80 * MS, 20 * MS)
    gateway.update_list(ListKind.FULL, [entry(f"h{number}") for number in range(0, 60, 3)] + [
        entry(f"new{number}", zone=1 + number % 2, started_ns=gateway.now) for number in range(40)])
    gateway.sends.clear()
    for _ in range(100):
        for _ in range(8):
            gateway.request()
        serve_all(gateway, 400 * MS)
    assert sum(1 for _, host, _ in gateway.sends if str(host).startswith("new")) > 120
    assert not gateway.broken


def test_gateways_of_all_zones_together_do_not_overload_a_cold_server() -> None:
    """The budget of a cold server is shared by all gateways that use it, in its own zone and in others."""
    rules = Rules(cold_share=0.12, warm_within_ns=24 * SECOND, fall_multiple=3.0, fall_ns=1500 * MS)
    sent: Counter[HostId] = Counter()
    for index in range(42):
        gateway = SimulatedGateway(make_settings(zone=index % 3, zones=3, replicas=42, replica_index=index,
                                                 rules=rules),
                                   [entry(f"h{number}", zone=number % 3) for number in range(60)], salt=index)
        run_sequential_requests(gateway, 60, 80 * MS, 20 * MS)
        gateway.update_list(ListKind.FULL, [
            entry(f"new{number}", zone=number % 3, started_ns=gateway.now) for number in range(60)])
        gateway.sends.clear()
        until = gateway.now + 1500 * MS
        while gateway.now < until:
            for _ in range(8):
                gateway.request()
            serve_all(gateway, 100 * MS)
        sent += gateway.attempts_per_host()
    # One core serves 12.5 requests per second; cold, 0.12 to 0.18 of that in this time.
    assert max(sent.values()) < 3.0 * 0.15 * 12.5 * 1.5


def test_the_worst_class_is_not_starved_by_more_valuable_ones() -> None:
    """By worth per work alone, a cheap class would go unserved, but the goal includes the worst class."""
    valuable, cheap = make_class(name="dear", worth=10.0), make_class(name="cheap", worth=5.0)
    gateway = SimulatedGateway(make_settings(valuable, cheap, goal=Goal(whole=0.55, worst_class=0.3)),
                               [entry("a"), entry("b")])
    rids_by_class: tuple[list[int], list[int]] = ([], [])
    for _ in range(200):   # twice the capacity
        gateway.module._near.limit = 4.0
        for cls in (0, 1) * 4:
            rids_by_class[cls].append(gateway.request(cls))
        serve_all(gateway, 50 * MS)
    valuable_served, cheap_served = (sum(gateway.ends.get(rid) == "served" for rid in rids) for rids in rids_by_class)
    assert cheap_served > valuable_served / 2
    assert not gateway.broken


def test_open_requests_keep_their_class_and_attempt_limit_under_new_settings() -> None:
    before = make_settings(make_class(name="a"), make_class(Effect.UNSAFE, name="b"), limits=Limits(max_attempts=3))
    gateway = SimulatedGateway(before, [entry(f"h{n}") for n in range(6)])
    run_sequential_requests(gateway, 20, 20 * MS)
    mean_before = gateway.module._classes[0].mean
    safe, unsafe = gateway.request(cls=0), gateway.request(cls=1)
    after = make_settings(make_class(Effect.UNSAFE, name="a"), make_class(name="c"), limits=Limits(max_attempts=1))
    gateway.module.on_settings(gateway.now, after)
    assert gateway.module._classes[0].mean == mean_before
    sent = len(gateway.sends)
    gateway.outcome(safe, Outcome.RESET)
    gateway.outcome(unsafe, Outcome.RESET)
    gateway.run(gateway.now + SECOND)
    assert [rid for rid, _, _ in gateway.sends[sent:]] == [safe]   # retried; the unsafe one is not
    late = gateway.request(cls=0)
    gateway.outcome(late, Outcome.CONNECT_FAILED)
    gateway.run(gateway.now + 2 * SECOND)
    assert gateway.ends[late] == "refuse"
    assert [rid for rid, _, _ in gateway.sends].count(late) == 1
    assert not gateway.broken


def test_a_server_that_one_class_still_uses_is_not_unavailable() -> None:
    """A server that short requests avoid must not count while long requests are still sent to it."""
    classes = (make_class(name="short"), make_class(name="long", aim_ns=2 * SECOND, deadline_ns=5 * SECOND))
    gateway = SimulatedGateway(make_settings(*classes), [entry("sick"), entry("well")])

    def ask(cls: int) -> HostId:
        rid = gateway.request(cls)
        gateway.run(gateway.now + 20 * MS)
        first: HostId = gateway.held[rid].out[0]
        while gateway.held[rid].out:
            sick = gateway.held[rid].out[min(gateway.held[rid].out)] == "sick"
            gateway.outcome(rid, Outcome.ERROR if sick else Outcome.OK, spent_ns=20 * MS)
            gateway.run(gateway.now + 400 * MS)
        return first

    while gateway.module._servers["sick"].q_avg < 360 * MS:
        ask(0)
    assert gateway.module.members_unavailable(gateway.now) == 0
    assert "sick" in {ask(1) for _ in range(6)}


def test_servers_that_fail_or_drain_are_unavailable() -> None:
    hosts = [entry(f"h{n}") for n in range(4)] + [entry("leaving", state=HostState.DRAINING)]
    gateway = SimulatedGateway(make_settings(), hosts)
    assert gateway.module.members_unavailable(gateway.now) == 1
    for _ in range(40):   # one server fails, the others respond
        rid = gateway.request()
        gateway.run(gateway.now + 20 * MS)
        while gateway.held[rid].out:
            host = gateway.held[rid].out[min(gateway.held[rid].out)]
            gateway.outcome(rid, Outcome.ERROR if host == "h0" else Outcome.OK, spent_ns=20 * MS)
            gateway.run(gateway.now + 400 * MS)
        gateway.run(gateway.now + 5 * MS)
    assert gateway.module.members_unavailable(gateway.now) == 2


def long_body(gateway: SimulatedGateway, cls: int = 0) -> int:
    """A request whose body is longer than the part that is kept for a retry."""
    rid = gateway.request(cls)
    gateway.module.on_body_streaming(gateway.now, rid, 0)
    return rid


def test_the_time_of_a_request_with_a_long_body_starts_at_its_last_byte() -> None:
    gateway = SimulatedGateway(make_settings(), [entry(f"h{n}") for n in range(4)])
    rid = long_body(gateway)
    gateway.held[rid].deadline = 60 * SECOND
    gateway.run(5 * SECOND)
    assert rid not in gateway.ends and len(gateway.sends) == 1
    gateway.module.on_body_complete(gateway.now, rid, SECOND)
    gateway.held[rid].deadline = gateway.now + SECOND
    gateway.run(gateway.now + 2 * SECOND)
    assert (gateway.ends[rid], len(gateway.sends)) == ("refuse", 1)
    assert not gateway.broken


@pytest.mark.parametrize("whole", [False, True])
def test_a_streamed_body_is_not_sent_again(whole: bool) -> None:
    gateway = SimulatedGateway(make_settings(make_class(Effect.UNSAFE)), [entry(f"h{n}") for n in range(4)])
    rid = long_body(gateway)
    if whole:
        gateway.module.on_body_complete(gateway.now, rid, SECOND)
    gateway.run(gateway.now + 50 * MS)
    gateway.outcome(rid, Outcome.CONNECT_FAILED)
    assert (gateway.ends[rid], len(gateway.sends)) == ("refuse", 1)   # at once, and it cannot have run
    assert not gateway.broken


def test_streamed_bodies_do_not_count_as_in_flight() -> None:
    gateway = SimulatedGateway(make_settings(), [entry("h0"), entry("h1")])
    pool = gateway.module._near
    receiving, responding = long_body(gateway), gateway.request()
    assert pool.inflight == 1
    gateway.module.on_response_started(gateway.now, responding, 0)
    assert pool.inflight == 0
    gateway.module.on_body_complete(gateway.now, receiving, SECOND)
    assert pool.inflight == 1
    for rid in (receiving, responding):
        gateway.outcome(rid, Outcome.OK)
    assert pool.inflight == 0
    assert gateway.ends == {receiving: "served", responding: "served"}


def test_a_rejected_request_fails_and_is_no_evidence_against_its_host() -> None:
    gateway = SimulatedGateway(make_settings(make_class(), make_class(Effect.KEYED, name="k")),
                               [entry("h0"), entry("h1")])
    run_sequential_requests(gateway, 20, 20 * MS)
    for number in range(10):
        rid = gateway.request(number % 2)
        gateway.outcome(rid, Outcome.REJECTED)
        assert gateway.ends[rid] == "fail"   # at once: neither another host nor a retry would succeed
    assert len(gateway.sends) == 30
    assert gateway.module.members_unavailable(gateway.now) == 0
    assert not gateway.broken


def test_a_retry_in_a_zone_that_new_settings_removed_fails() -> None:
    classes = (make_class(Effect.KEYED, Group.ZONE),)
    gateway = SimulatedGateway(make_settings(*classes, zones=3), [entry("h0", zone=2), entry("h1", zone=2)])
    rid = gateway.request()
    gateway.outcome(rid, Outcome.RESET)
    gateway.module.on_settings(gateway.now, make_settings(*classes, zones=1))
    gateway.run(gateway.now + SECOND)
    assert gateway.ends[rid] == "fail"
    assert not gateway.broken


@pytest.mark.parametrize(("effect", "window"), [(Effect.UNSAFE, 0), (Effect.KEYED, 200 * MS)])
def test_a_request_that_may_never_be_retried_fails_at_once(effect: Effect, window: int) -> None:
    """Waiting until its time is nearly over would leave its client no time for a retry."""
    gateway = SimulatedGateway(make_settings(make_class(effect, window_ns=window, deadline_ns=4 * SECOND)),
                               [entry("h0"), entry("h1")])
    rid = gateway.request()
    gateway.run(250 * MS)
    gateway.outcome(rid, Outcome.RESET)
    assert gateway.ends[rid] in ("fail", "refuse")
    assert len(gateway.sends) == 1
    assert not gateway.broken


def test_requests_wait_while_the_lease_has_ended_and_are_refused_unsent() -> None:
    gateway = SimulatedGateway(make_settings(make_class()), [entry(f"h{n}") for n in range(4)])
    gateway.set_list_valid(False)
    in_time, too_late = gateway.request(), gateway.request()
    gateway.run(150 * MS)
    assert not gateway.sends
    gateway.set_list_valid(True)
    assert len(gateway.sends) == 2
    gateway.outcome(in_time, Outcome.OK)
    gateway.outcome(too_late, Outcome.FULL)
    gateway.set_list_valid(False)
    last = gateway.request()
    gateway.run(3 * SECOND)
    assert len(gateway.sends) == 2   # neither the new one nor the retry
    assert gateway.ends[last] == "refuse" == gateway.ends[too_late]
    assert gateway.broken == []
