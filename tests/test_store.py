"""The store's consensus core: simulated histories under faults, injected errors that must be found, and regressions."""

from __future__ import annotations

import random

import pytest

from moleworks.duties.held import Held
from moleworks.rig.linear import Holding, Op, linearizable, overlapping_holdings
from moleworks.rig.virtual import explore, histories
from moleworks.rig.virtual.mutants import MUTANTS
from moleworks.store import state
from moleworks.store.core import LEADER, Core
from moleworks.store.log import Log, Snapshot
from moleworks.store.messages import Append, Appended, Ask, Config, Entry, Vote
from moleworks.store.state import Acquire, Change, Condition, Expire, Guard, Open, Put, Renew, State, encode

THREE = Config(("a", "b", "c"))


def core(name: str, *entries: Entry, term: int = 1, config: Config = THREE) -> Core:
    return Core(name, Log(Snapshot(0, 0, config, b""), entries), term, "", random.Random(1), 0)


def test_histories_under_faults_are_linearizable() -> None:
    for seed in range(60):
        verdict = histories.judge(seed)
        assert verdict.broken == [] and verdict.undecided == 0, seed
        assert verdict.acknowledged > 0


@pytest.mark.parametrize("name", [
    "vote without a look at the log", "half of the votes", "sessions not kept in snapshots",
    "members changed two at once", "token not checked", "sent again, applied again", "token given again",
    "lease counted from the answer", "lease let go early", "renewal not counted", "cut not written"])
def test_an_injected_error_is_detected(name: str) -> None:
    count, seen = histories.hunt(MUTANTS[name], 60)
    assert count and seen


@pytest.mark.parametrize(("name", "seed"), [
    ("older term committed by counting", 258), ("stale read served", 39), ("vote not persisted", 175),
    ("members lost in a snapshot", 267)])
def test_a_rarely_visible_injected_error_is_detected_by_its_known_seed(name: str, seed: int) -> None:
    assert histories.judge(seed, MUTANTS[name]).broken
    assert not histories.judge(seed).broken


def test_exhaustive_search_passes_and_detects_election_by_half_of_the_votes() -> None:
    found = explore.search(explore.Budget(timeouts=1, writes=1, crashes=0, cuts=0))
    assert found.whole and not found.broken and found.states > 1000
    broken = explore.search(explore.Budget(timeouts=2, writes=0, crashes=0, cuts=0),
                            MUTANTS["half of the votes"].core)
    assert broken.broken == "two leaders of term 1" and len(broken.path) < 8


def test_the_same_seed_gives_the_same_history() -> None:
    assert histories.judge(5) == histories.judge(5)


def put(at: int, end: int | None, value: str, revision: int = 0) -> Op:
    return Op(at, end, "put", value, True, revision)


def get(at: int, end: int, value: str | None) -> Op:
    return Op(at, end, "get", None, value)


@pytest.mark.parametrize(("good", "ops"), [
    (True, [put(0, 10, "x"), get(5, 6, None), get(7, 8, "x"), get(11, 12, "x")]),
    (False, [put(0, 10, "x"), get(5, 6, "x"), get(7, 8, None)]),
    (False, [put(0, 10, "x"), get(11, 12, None)]),
    (True, [put(0, None, "x"), get(50, 60, None), get(70, 80, "x")]),
    (False, [put(0, 5, "x", 2), put(6, 9, "y", 1)]),
    (True, [put(0, 5, "x"), Op(6, 7, "cas", ("x", "y"), True), Op(6, 9, "cas", ("x", "z"), False), get(10, 11, "y")]),
    (False, [put(0, 5, "x"), Op(6, 7, "cas", ("x", "y"), True), Op(6, 9, "cas", ("x", "z"), True)]),
    (False, [put(0, 5, "x"), Op(6, 7, "cas", ("x", "y"), False), get(8, 9, "x")]),
    (True, [put(0, 5, "x"), put(1, None, "q"), Op(6, 7, "cas", ("x", "y"), False), get(8, 9, "q")])])
def test_the_checker_accepts_exactly_the_linearizable_histories(good: bool, ops: list[Op]) -> None:
    assert linearizable(ops) is good


def test_two_holders_at_once_are_detected() -> None:
    rows = [Holding("d", "a", 1, 0, 10), Holding("d", "b", 2, 10, 20)]
    assert overlapping_holdings(rows) == []
    assert overlapping_holdings([rows[0], Holding("d", "b", 2, 9, 20)]) != []
    assert overlapping_holdings([rows[1], Holding("d", "a", 1, 30, 40)]) != []


def test_a_leader_finds_the_matching_index_of_a_follower_with_other_terms() -> None:
    """Guards against a leader that always ignores a rejection whose hint is below the known matching index."""
    leader = core("a", Entry(1, 1), Entry(2, 1), *(Entry(index, 3) for index in range(3, 50)), term=3)
    follower = core("b", Entry(1, 1), Entry(2, 1), Entry(3, 1), term=3)
    for _ in range(60):
        follower.on_message(1, "a", Append(3, 49, 3, (), 0, 1))
        answer = next(message for _, message in follower.take_output().send if isinstance(message, Appended))
        assert not answer.ok and answer.index == 3
    leader.vote = "a"
    leader.role = "candidate"
    leader._durable_vote = (3, "a")
    leader._become_leader()
    peer = leader._peers["b"]
    peer.match, peer.next, peer.probing = 2, 50, False
    leader.on_message(2, "b", Appended(3, False, 1, 1))
    assert peer.probing and peer.next == 3


def test_a_member_campaigns_until_its_removal_is_committed() -> None:
    """Guards against a cluster without a leader.

    Only the member that is being removed had the entry that removes it.  It did not campaign, and the others were not
    elected because their logs were older.
    """
    member = core("a", Entry(1, 1), Entry(2, 1, b"", Config(("b",))))
    member.tick(10**10)
    assert [(to, message.pre) for to, message in member.take_output().send if isinstance(message, Ask)] == [("b", True)]
    removed = core("a", Entry(1, 1), Entry(2, 1, b"", Config(("b",))))
    removed.commit = 2
    removed.tick(10**10)
    assert removed.take_output().send == []


def test_a_learner_grants_votes_after_its_leader_has_failed() -> None:
    """Guards against a learner that rejects the only electable candidate forever.

    Its own election timeout was taken for contact from the leader.
    """
    member = core("m", Entry(1, 1), config=Config(("a", "b")))
    member.on_message(0, "a", Append(1, 1, 1, (), 1, 1))
    member.take_output()
    for second in range(1, 5):
        member.tick(second * 10**9)
    member.on_message(4 * 10**9 + 1, "a", Ask(2, 9, 1, True))
    assert [message.granted for _, message in member.take_output().send if isinstance(message, Vote)] == [True]


def test_a_single_member_leads_and_commits_only_durable_entries() -> None:
    member = core("a", config=Config(("a",)))
    member.tick(10**10)
    out = member.take_output()
    assert out.write is not None and member.role != LEADER
    member.on_written(10**10, out.write)
    assert member.role == LEADER
    index = member.propose(10**10, b"x")
    out = member.take_output()
    assert out.write is not None and out.apply == []
    member.on_written(10**10, out.write)
    assert member.take_output().apply[-1].index == index


def done(machine: State, command: state.Command) -> state.Result:
    return machine.apply(encode(command))[1]


def test_a_change_is_atomic_and_applied_once() -> None:
    machine = State()
    change = Change("c", 1, (Put("a", b"1"), Put("b", b"2")))
    assert done(machine, change).why == "session"
    done(machine, Open("c"))
    assert done(machine, change).revision == 1
    assert done(machine, change).revision == 1 and machine.revision == 1
    refused = done(machine, Change("c", 2, (Put("a", b"3"),), (Condition("a", 1), Condition("z", 9))))
    assert (refused.done, refused.why) == (False, "condition") and machine.records["a"].value == b"1"
    restored = State.from_image(machine.image())
    assert done(restored, Change("c", 2, (Put("a", b"3"),))) == refused   # the snapshot contains the session
    assert not machine.apply(b"\xc1 no command")[1].done
    assert next(iter(machine.events(0, "b") or ())).value == b"2" and restored.events(0, "") is None


def test_tokens_increase_and_an_older_one_is_rejected() -> None:
    machine = State()
    for name in ("a", "b"):
        done(machine, Open(name))
    first = done(machine, Acquire("a", 1, "lead", "a", 1000))
    assert done(machine, Acquire("b", 1, "lead", "b", 1000)).why == "held"
    renewed = done(machine, Renew("a", 2, "lead", first.token))
    assert renewed.done and not done(machine, Expire("lead", first.token, 0)).done   # it has been renewed
    assert done(machine, Expire("lead", first.token, 1)).done
    second = done(machine, Acquire("b", 2, "lead", "b", 1000))
    assert second.token == first.token + 1
    outdated = done(machine, Change("a", 3, (Put("x", b"late"),), (), Guard("lead", first.token)))
    assert (outdated.done, outdated.why, outdated.token) == (False, "token", second.token)
    assert done(machine, Change("b", 3, (Put("x", b"y"),), (), Guard("lead", second.token))).done
    handed_over = done(machine, Renew("b", 4, "lead", second.token, False, "a"))
    assert handed_over.done and done(machine, Acquire("a", 4, "lead", "a", 1000)).token == second.token + 1


def test_a_holder_stops_before_the_granter_expires_the_grant_at_any_clock_rates() -> None:
    from moleworks.store.grants import GRANT_TIMEOUT_FACTOR
    held = Held("d", 1, 1000, sent=0)
    holder_stops_at = held.expires_at / 0.99                # real time at which a holder with a slow clock stops
    granter_expires_at = 1000 * 1e6 * GRANT_TIMEOUT_FACTOR / 1.01   # the same for a granter with a fast clock
    assert holder_stops_at < granter_expires_at and held.holds(held.expires_at - 1) and not held.holds(held.expires_at)
