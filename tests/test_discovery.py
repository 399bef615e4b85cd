"""Calls to discovery over loopback sockets: the watch, its updates, and what the decision module receives."""

from __future__ import annotations

import asyncio
import json
import socket
from typing import Any

import pytest

from bridgesaddle.api import MS, SECOND, HostState, ListKind
from gateway.discovery import Discovery
from gateway.discovery_timeouts import IMMEDIATE_FAILURE_NS
from gateway.start_times import StartTimes
from gateway.timers import Timers, now_ns
from gateway.update_parser import MAX_UPDATE_BYTES, ListedHost, UpdateParser
from tests.sockets import FakeDiscovery, FakeHost, GatewayHarness, request, run_scenario, wait_until

ROW: dict[str, Any] = {"instanceId": "h0", "hostPort": "127.0.0.1:7070", "zone": "b", "machineType": "m2",
                       "cell": 3, "lifecycle": "in_service", "weight": 1.5, "startedAtMs": 2000}


class DiscoveryHarness:
    """A `Discovery` and the lists that it reports."""

    def __init__(self, pushed: bool = False) -> None:
        self.reported: asyncio.Queue[tuple[ListKind, list[ListedHost]]] = asyncio.Queue()
        self.pushed = pushed

    async def start(self) -> tuple[FakeDiscovery, Discovery]:
        loop, fake = asyncio.get_running_loop(), await FakeDiscovery().start()
        host, _, port = fake.address.rpartition(":")
        parser = UpdateParser(["a", "b"], ["m1", "m2"], StartTimes(lambda: 10 * MS))
        discovery = Discovery(loop, Timers(loop), (host, int(port)), parser,
                              self.pushed, lambda kind, listed: self.reported.put_nowait((kind, listed)))
        discovery.load_known_list({"generation": 41, "reset": True, "instances": [ROW]})
        assert [(kind, len(listed)) for kind, listed in [await self.reported.get()]] == [(ListKind.CACHED, 1)]
        discovery.start()
        return fake, discovery


def test_parser_reads_all_fields_of_an_instance() -> None:
    """Zone, machine type, cell, state, weight and start time of a host must reach the decision module."""
    generation, is_full, [(entry, address)] = UpdateParser(["a", "b"], ["m1", "m2"], StartTimes(lambda: 10 * MS)).parse(
        {"generation": 41, "reset": True, "instances": [ROW]})
    assert (generation, is_full, address) == (41, True, ("127.0.0.1", 7070))
    assert entry == ("h0", 1, 1, 3, HostState.READY, 1.5, 2010 * MS)


@pytest.mark.parametrize("change", [
    {"hostPort": "nowhere"}, {"hostPort": "x:0"}, {"hostPort": None}, {"zone": "z"}, {"lifecycle": "odd"},
    {"weight": float("inf")}, {"instanceId": 7}, {"cell": "x"}, {"startedAtMs": -1},
])
def test_malformed_instance_is_dropped_and_the_others_are_used(change: dict[str, Any]) -> None:
    """One malformed instance of an unknown host must not make the update unusable."""
    _, _, listed = UpdateParser(["a", "b"], ["m1", "m2"], StartTimes()).parse(
        {"generation": 41, "instances": [{**ROW, **change}, {**ROW, "instanceId": "h1"}, None]})
    assert [item.entry.host for item in listed] == ["h1"]


def test_watch_delivers_updates_and_resumes_at_its_last_generation() -> None:
    """A watch that ends is opened again from the generation of its last update.

    From an older one it would receive updates twice, from a newer one it would miss some.
    """
    async def scene() -> None:
        harness = DiscoveryHarness()
        fake, discovery = await harness.start()
        discovery.watch(True)
        discovery.watch(True)   # a second watch would add load and deliver nothing new
        request_line, writer = await fake.calls.get()
        assert request_line == "GET /registry/instances?watch=1&from=41 HTTP/1.1"
        fake.send_head(writer)
        fake.send_chunk(writer, b"\n")
        fake.send_update(writer, 43, [{**ROW, "lifecycle": "terminating"}])
        kind, [item] = await harness.reported.get()
        assert (kind, item.entry.state) == (ListKind.DELTA, HostState.DRAINING)
        fake.send_update(writer, 44, [ROW], reset=True)
        assert (await harness.reported.get())[0] is ListKind.FULL
        writer.close()
        assert await harness.reported.get() == (ListKind.FAILED, [])
        discovery.watch(True)
        request_line, _ = await fake.calls.get()
        assert "from=44" in request_line
        assert fake.calls.empty()
    run_scenario(scene)


@pytest.mark.parametrize("line", [b"{not json}\n", b"[1]\n", b'{"generation": 44}\n', b"[" * 9999 + b"\n",
                                  b"x" * (MAX_UPDATE_BYTES + 1)])
def test_malformed_update_is_dropped_and_requested_again(line: bytes) -> None:
    """The new watch must start at the last good generation, as the malformed update may have contained a drain."""
    async def scene() -> None:
        harness = DiscoveryHarness()
        fake, discovery = await harness.start()
        discovery.watch(True)
        _, writer = await fake.calls.get()
        fake.send_head(writer)
        fake.send_chunk(writer, line)
        assert await harness.reported.get() == (ListKind.FAILED, [])
        discovery.watch(True)
        assert "from=41" in (await fake.calls.get())[0]
    run_scenario(scene)


@pytest.mark.parametrize("answer", [b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", b"noise\r\n\r\n",
                                    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"])
def test_failed_call_is_reported_once(answer: bytes) -> None:
    """A second report would count against a later call that succeeds."""
    async def scene() -> None:
        harness = DiscoveryHarness()
        fake, discovery = await harness.start()
        discovery.watch(True)
        _, writer = await fake.calls.get()
        writer.write(answer)
        assert await harness.reported.get() == (ListKind.FAILED, [])
        discovery.fetch()   # a later call succeeds, and the first is not reported again
        _, writer = await fake.calls.get()
        body = b'{"generation": 50, "reset": true, "instances": []}'
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        assert await harness.reported.get() == (ListKind.FULL, [])
        assert harness.reported.empty()
    run_scenario(scene)


@pytest.mark.parametrize("pushed", [False, True])
def test_silent_watch_is_replaced_in_time_for_the_updates_that_it_misses(pushed: bool) -> None:
    """A connection that is lost without a FIN or RST looks like one on which nothing changes.

    The missing heartbeat must start another watch early enough for the propagation bound.
    """
    async def scene() -> None:
        harness = DiscoveryHarness(pushed)
        fake, discovery = await harness.start()
        discovery.watch(True)
        _, writer = await fake.calls.get()
        fake.send_head(writer)
        fake.send_update(writer, 43, [])
        assert await harness.reported.get() == (ListKind.DELTA, [])
        silent_since = now_ns()
        request_line, _ = await fake.calls.get()   # opened by `Discovery` itself: the decision module would wait longer
        assert "watch=1&from=43" in request_line
        # A heartbeat is late; the change takes effect 6 s after it at the latest, and a call may be queued for 3 s.
        assert 2200 * MS <= now_ns() - silent_since < 2700 * MS
        assert harness.reported.empty()
    run_scenario(scene)


def test_watch_that_sends_only_a_response_head_fails() -> None:
    """The heartbeat timeout must run from the head on, not only from the first update."""
    async def scene() -> None:
        harness = DiscoveryHarness()
        fake, discovery = await harness.start()
        discovery.watch(True)
        _, writer = await fake.calls.get()
        fake.send_head(writer)
        silent_since = now_ns()
        assert await harness.reported.get() == (ListKind.FAILED, [])
        assert now_ns() - silent_since < 3300 * MS
    run_scenario(scene)


def test_watch_reconnects_within_the_drain_grace_after_an_outage_where_lists_are_pushed() -> None:
    """During an outage of discovery all calls are refused at once.

    If the backoff delay grew with each failure, a drain after the outage would take effect too late.
    """
    async def scene() -> None:
        harness = DiscoveryHarness(pushed=True)
        fake, discovery = await harness.start()
        discovery._grace_ns = 300 * MS
        _, writer = await fake.calls.get()
        writer.close()
        for _ in range(12):   # refused at once while the service is down: the backoff delay does not grow
            assert (await harness.reported.get())[0] is ListKind.FAILED
            failed_at = now_ns()
            request_line, writer = await fake.calls.get()
            assert "watch=1" in request_line
            assert now_ns() - failed_at < 250 * MS
            writer.write(b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n")
    run_scenario(scene)


def test_backoff_grows_after_calls_that_waited_before_they_failed_where_lists_are_pushed() -> None:
    """A 503 after a wait comes from an overloaded service: calls at a constant rate would keep it overloaded."""
    async def scene() -> None:
        harness = DiscoveryHarness(pushed=True)
        fake, discovery = await harness.start()
        discovery._grace_ns = 300 * MS
        delays_ns = []
        _, writer = await fake.calls.get()
        for _ in range(3):
            respond_at = now_ns() + IMMEDIATE_FAILURE_NS
            await wait_until(lambda respond_at=respond_at: now_ns() > respond_at)   # type: ignore[misc]
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            assert (await harness.reported.get())[0] is ListKind.FAILED
            failed_at = now_ns()
            _, writer = await fake.calls.get()
            delays_ns.append(now_ns() - failed_at)
        assert delays_ns[2] > 500 * MS > 400 * MS > delays_ns[0]
    run_scenario(scene)


def test_watch_starts_and_restarts_without_a_request_where_lists_are_pushed() -> None:
    """The decision module requests no watch where lists are pushed: without one there would be no updates."""
    async def scene() -> None:
        harness = DiscoveryHarness(pushed=True)
        fake, _ = await harness.start()
        _, writer = await fake.calls.get()
        writer.close()
        assert await harness.reported.get() == (ListKind.FAILED, [])
        assert "watch=1" in (await fake.calls.get())[0]
    run_scenario(scene)


def test_host_connections_follow_the_list() -> None:
    """Connections of a host that a full list omits must be closed, and requests go to the hosts that it contains."""
    async def scene() -> None:
        async with GatewayHarness() as stage:
            host, other = FakeHost("h0"), FakeHost("h1")
            await stage.start(host, other, instances=[])
            client = await stage.client()
            _, writer = await stage.discovery.calls.get()
            stage.discovery.send_head(writer)
            stage.discovery.send_update(writer, 42, [host.instance()])
            await wait_until(lambda: stage.gateway.core.has_hosts)
            assert (await client.fetch(request()))[0] == 200
            seen = await host.received.get()
            stage.discovery.send_update(writer, 43, [other.instance()], reset=True)
            await seen.wait_closed()   # the list no longer contains it
            assert (await client.fetch(request(rid="r2")))[0] == 200
            assert (await other.received.get()).headers["x-request-id"] == "r2"
    run_scenario(scene)


def test_calls_go_to_the_new_address_of_discovery_and_the_old_ones_are_closed() -> None:
    """Both open calls must be repeated at the new address, from generation 0, as its generations are not comparable."""
    async def scene() -> None:
        harness = DiscoveryHarness()
        old, discovery = await harness.start()
        discovery.watch(True)
        discovery.fetch()
        old_calls = [await old.calls.get() for _ in range(2)]
        new = await FakeDiscovery().start()
        host, _, port = new.address.rpartition(":")
        discovery.reconfigure((host, int(port)), UpdateParser(["a"], [], StartTimes()), False)
        calls = dict([await new.calls.get() for _ in range(2)])
        assert sorted(request_line.split()[1] for request_line in calls) == [
            "/registry/instances", "/registry/instances?watch=1&from=0"]
        for _, writer in old_calls:
            async def write_byte(writer: asyncio.StreamWriter = writer) -> None:
                writer.write(b" ")
                await asyncio.sleep(0)
            await wait_until(writer.is_closing, write_byte)   # the old connections are closed
        writer = next(writer for request_line, writer in calls.items() if "watch" in request_line)
        new.send_head(writer)
        new.send_update(writer, 3, [ROW], reset=True)
        assert (await harness.reported.get())[0] is ListKind.FULL
        discovery.close()
    run_scenario(scene)


def test_response_is_parsed_when_it_arrives_byte_by_byte() -> None:
    """Every boundary between reads must be possible: in the head, in a chunk size and in an update."""
    async def scene() -> None:
        harness = DiscoveryHarness()
        fake, discovery = await harness.start()
        discovery.watch(True)
        _, writer = await fake.calls.get()
        sock: socket.socket = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        body = json.dumps({"generation": 43, "reset": False, "instances": [ROW]}).encode() + b"\n"
        response = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(body), body)
        for at in range(len(response)):
            writer.write(response[at:at + 1])
            await asyncio.sleep(0)   # one event-loop iteration: each byte is read separately
        assert (await harness.reported.get())[0] is ListKind.DELTA
        assert harness.reported.empty()
    run_scenario(scene)


@pytest.mark.parametrize("indent", [0, 2, None])
@pytest.mark.parametrize("piece", [7, 100_000])
def test_update_may_span_several_lines_and_chunks(indent: int | None, piece: int) -> None:
    """The end of an update is the end of its JSON object: neither a line break nor a chunk ends it."""
    async def scene() -> None:
        harness = DiscoveryHarness()
        fake, discovery = await harness.start()
        discovery.watch(True)
        _, writer = await fake.calls.get()
        fake.send_head(writer)
        rows = [ROW, {**ROW, "instanceId": 'h"1\\', "lifecycle": "terminating"}]
        for generation in (43, 44):
            text = json.dumps({"generation": generation, "reset": True, "instances": rows}, indent=indent)
            data = text.encode() + b"\n\n"   # and the empty line of a heartbeat
            for at in range(0, len(data), piece):
                fake.send_chunk(writer, data[at:at + piece])
            kind, listed = await harness.reported.get()
            assert (kind, [item.entry.host for item in listed]) == (ListKind.FULL, ["h0", 'h"1\\'])
        assert discovery.generation == 44
        assert harness.reported.empty()
    run_scenario(scene)


UPDATE = json.dumps({"generation": 43, "reset": False, "instances": [ROW]}).encode()


@pytest.mark.parametrize("cut", [UPDATE[:1], UPDATE[:18], UPDATE[:25], UPDATE[:-1], UPDATE[:-2], UPDATE[:60],
                                 UPDATE.replace(b"]", b""), UPDATE + b"}"])
@pytest.mark.parametrize("after", [b"", b"\n", b"\n\n", b"\n" + UPDATE + b"\n", UPDATE + b"\n"])
def test_truncated_update_is_requested_again(cut: bytes, after: bytes) -> None:
    """A truncated update looks incomplete for ever, or swallows the updates after it.

    A new watch must start soon from the last good generation, and deliver the complete update.
    """
    async def scene() -> None:
        harness = DiscoveryHarness(pushed=True)
        fake, discovery = await harness.start()
        _, writer = await fake.calls.get()
        fake.send_head(writer)
        fake.send_chunk(writer, cut + after)
        sent_at = now_ns()
        request_line, writer = await fake.calls.get()   # a new watch, from the last good generation
        assert "from=41" in request_line
        assert now_ns() - sent_at < SECOND
        fake.send_head(writer)
        fake.send_chunk(writer, UPDATE + b"\n")
        await wait_until(lambda: discovery.generation == 43)
    run_scenario(scene)


def test_malformed_instance_of_a_known_host_keeps_its_entry_except_for_the_state() -> None:
    """A malformed instance must neither remove a known host from a full list nor hide that it is draining or gone.

    It must not add a host that is not listed.
    """
    parser = UpdateParser(["a", "b"], ["m1", "m2"], StartTimes())
    parser.parse({"generation": 41, "instances": [ROW, {**ROW, "instanceId": "h1"}]})
    malformed = {**ROW, "zone": "z"}
    for row, state in ((malformed, HostState.READY), ({**malformed, "lifecycle": "odd"}, HostState.READY),
                       ({"instanceId": "h0", "lifecycle": "terminating"}, HostState.DRAINING),
                       ({**malformed, "lifecycle": ["x"]}, HostState.DRAINING)):
        _, _, listed = parser.parse({"generation": 42, "reset": True, "instances": [row]})
        assert [(item.entry.host, item.entry.state, item.entry.zone) for item in listed] == [("h0", state, 1)]
    assert parser.parse({"generation": 43, "instances": [{**malformed, "instanceId": "h1"}]})[2] == []   # not known
    _, _, [gone] = parser.parse({"generation": 44, "instances": [{**malformed, "lifecycle": "terminated"}]})
    assert gone.entry.state is HostState.GONE
    assert parser.parse({"generation": 45, "instances": [malformed]})[2] == []


def test_gateway_repeats_a_failed_call_and_stops_sending_to_a_host_that_the_new_list_omits() -> None:
    """A call fails after it has waited in the queue of an overloaded service.

    The next one must follow soon enough for the propagation bound, and its list must take effect at once.
    """
    async def scene() -> None:
        async with GatewayHarness() as stage:
            leaving, staying = FakeHost("h0"), FakeHost("h1")
            await stage.start(leaving, staying, rules={"ask-within-ns": 10 * SECOND})
            client = await stage.client()
            _, writer = await stage.discovery.calls.get()
            started_at = now_ns()
            number = 0
            while now_ns() - started_at < SECOND:   # the call is queued, and then fails
                number += 1
                assert (await client.fetch(request(rid=f"r{number}")))[0] == 200
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            started_at = now_ns()
            _, writer = await stage.discovery.calls.get()
            assert now_ns() - started_at < 490 * MS   # failed call, backoff delay and next queueing delay: 6 s in total
            stage.discovery.send_head(writer)
            stage.discovery.send_update(writer, 42, [staying.instance()], reset=True)
            await wait_until(lambda: stage.gateway.upstream.host_count == 1)
            while not leaving.received.empty():
                leaving.received.get_nowait()
            for late in range(30):
                assert (await client.fetch(request(rid=f"late{late}")))[0] == 200
            assert leaving.received.empty()
    run_scenario(scene)
