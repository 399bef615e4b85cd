"""Tests of the four rules under arbitrary legal sequences of events, checked by the records of tests/gateway.py."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from bridgesaddle.api import MS, SECOND, Effect, Group, HostState, Limits, ListKind, Outcome, Rules

from .gateway import SimulatedGateway, entry, make_class, make_settings

CLASSES = (
    make_class(),
    make_class(Effect.KEYED, Group.ALL),
    make_class(Effect.KEYED, Group.ZONE),
    make_class(Effect.KEYED, Group.CELL),
    make_class(Effect.KEYED, Group.ZONE, window_ns=400 * MS),
    make_class(Effect.UNSAFE, late_worth=0.0),
    make_class(stream=True),
)
OUTCOMES = [Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET,
            Outcome.CANCELLED, Outcome.REJECTED]

# Requests, outcomes and time steps are frequent, so that requests with long histories are common.
STEP_KINDS = [*["request"] * 6, *["outcome"] * 8, *["time"] * 8, "twice", "first", "gone", "drain", "lost",
              "restart", "ready", "ready", "empty", "whole", "whole", "failed", "peer", "probed", "timer", "too old",
              "renewed", "renewed"]
STEPS = st.lists(st.tuples(st.sampled_from(STEP_KINDS), st.integers(0, 400), st.integers(0, 400)),
                 min_size=10, max_size=80)
TTLS_NS = [0, 1, 3 * MS, 80 * MS, *[SECOND] * 6]


def play(steps: list[tuple[str, int, int]], limits: Limits, servers: int, zones: int, ask: bool) -> SimulatedGateway:
    """Run one gateway through the steps, then advance the clock past every deadline."""
    module_settings = make_settings(*CLASSES, zones=zones, limits=limits, ask_discovery=ask, replicas=3,
                                    rules=Rules(drain_grace_ns=0, cold_share=0.2))
    hosts = {n: entry(f"h{n}", zone=n % zones, cell=n % 3) for n in range(servers)}
    gateway = SimulatedGateway(module_settings, list(hosts.values()))
    for kind, number, extra in steps:
        in_flight = [rid for rid, held in gateway.held.items() if held.out]
        if kind == "request":
            gateway.request(number % len(CLASSES), TTLS_NS[extra % len(TTLS_NS)])
        elif kind in ("outcome", "twice") and in_flight:
            rid = in_flight[number % len(in_flight)]
            attempt = min(gateway.held[rid].out)
            outcome = OUTCOMES[extra % len(OUTCOMES)]
            gateway.outcome(rid, outcome, attempt)
            if kind == "twice":
                gateway.module.on_outcome(gateway.now, rid, attempt, "h0", outcome, 1, False, ())
        elif kind == "first" and in_flight:
            rid = in_flight[number % len(in_flight)]
            if gateway.held[rid].cls.stream and not gateway.held[rid].ended:
                gateway.held[rid].ended = True   # its response is a stream now: no deadline applies any more
                gateway.module.on_response_started(gateway.now, rid, min(gateway.held[rid].out))
        elif kind == "gone" and gateway.held:
            gateway.disconnect_client(list(gateway.held)[number % len(gateway.held)])
        elif kind == "time":
            gateway.run(gateway.now + number * MS)
        elif kind in ("drain", "lost", "restart", "ready") and hosts:
            number %= len(hosts)
            state = {"drain": HostState.DRAINING, "lost": HostState.GONE}.get(kind, HostState.READY)
            started = gateway.now + 1 if kind == "restart" else 0
            hosts[number] = hosts[number]._replace(state=state, started_ns=started)
            gateway.update_list(ListKind.DELTA, [hosts[number]])
        elif kind in ("too old", "renewed"):
            gateway.set_list_valid(kind == "renewed")
        elif kind == "empty":
            gateway.update_list(ListKind.FULL, [])
        elif kind == "whole":
            gateway.update_list(ListKind.CACHED if number % 2 else ListKind.FULL, list(hosts.values()))
        elif kind == "failed":
            gateway.update_list(ListKind.FAILED, [])
        elif kind == "peer":
            gateway.module.on_peer_message(gateway.now, number, b"\x00" * (number % 40))
        elif kind == "probed":
            gateway.module.on_probe_result(gateway.now, "h1", Outcome.OK, MS, ())
        elif kind == "timer":
            gateway.module.on_timer(gateway.now, 10_000 + number)
    gateway.run(gateway.now + 3 * SECOND)
    return gateway


@settings(max_examples=300)
@given(STEPS, st.booleans(), st.booleans(), st.sampled_from([0, 1, 2, 6]), st.sampled_from([1, 2]),
       st.booleans())
def test_the_rules_hold_whatever_happens(steps: list[tuple[str, int, int]], cancel: bool, copies: bool,
                                         servers: int, zones: int, ask: bool) -> None:
    limits = Limits(max_attempts=4, cancel=cancel, allows_concurrent_attempts=copies)
    gateway = play(steps, limits, servers, zones, ask)
    assert gateway.broken == []
    assert all(held.answers <= 1 for held in gateway.held.values())


@settings(max_examples=100)
@given(STEPS)
def test_nothing_is_kept_of_finished_requests(steps: list[tuple[str, int, int]]) -> None:
    gateway = play(steps, Limits(max_attempts=4), 4, 1, False)
    for rid, held in gateway.held.items():
        while held.out:
            gateway.outcome(rid, Outcome.RESET)
    gateway.run(gateway.now + 10 * SECOND)
    module = gateway.module
    assert not module._attempts
    assert not [request for request in module._requests.values() if not request.streaming]
    assert not module._timers.pending()
    assert all(server.inflight == 0 for server in module._servers.values())
    assert (module._near.inflight, module._far.inflight) == (0, 0)


@settings(max_examples=50)
@given(STEPS)
def test_the_same_events_give_the_same_actions(steps: list[tuple[str, int, int]]) -> None:
    one, two = (play(steps, Limits(max_attempts=4), 6, 2, False) for _ in range(2))
    assert (one.sends, one.ends, one.timers) == (two.sends, two.ends, two.timers)


def test_check_before_the_send_enforces_each_rule_by_itself() -> None:
    """Guards against a check before the send that relies on the choice of servers, which offers permitted ones only."""
    keyed = make_class(Effect.KEYED, Group.CELL, window_ns=400 * MS)
    module_settings = make_settings(keyed, limits=Limits(max_attempts=4, allows_concurrent_attempts=False))
    gateway = SimulatedGateway(module_settings, [entry(f"h{n}", cell=n // 2) for n in range(4)])
    rid = gateway.request()
    module = gateway.module
    request = module._requests[rid]
    first_server = request.last
    assert first_server is not None
    same_cell = next(s for s in module._servers.values() if s is not first_server and s.cell == first_server.cell)
    other_cell = next(s for s in module._servers.values() if s.cell != first_server.cell)
    assert not module._may_send(request, same_cell, 0)                 # one attempt is in flight
    gateway.run(10 * MS)
    gateway.outcome(rid, Outcome.RESET)
    assert module._may_send(request, same_cell, gateway.now)
    assert not module._may_send(request, other_cell, gateway.now)      # outside the group
    assert not module._may_send(request, same_cell, 400 * MS)          # the window has ended
    same_cell.state = HostState.DRAINING
    assert not module._may_send(request, same_cell, gateway.now)
    same_cell.state = HostState.READY
    same_cell.cold_from, same_cell.cold_until = gateway.now, gateway.now + SECOND
    same_cell.cold_at, same_cell.cold_credit = gateway.now, 0.0
    assert not module._may_send(request, same_cell, gateway.now)       # no credit in the fall budget yet
