"""The watch, its lines and what the module is told, over loopback sockets."""

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


class Heard:
    """A `Discovery` and what it tells."""

    def __init__(self, pushed: bool = False) -> None:
        self.told: asyncio.Queue[tuple[ListKind, list[ListedHost]]] = asyncio.Queue()
        self.pushed = pushed

    async def start(self) -> tuple[FakeDiscovery, Discovery]:
        loop, fake = asyncio.get_running_loop(), await FakeDiscovery().start()
        host, _, port = fake.address.rpartition(":")
        lines = UpdateParser(["a", "b"], ["m1", "m2"], StartTimes(lambda: 10 * MS))
        discovery = Discovery(loop, Timers(loop), (host, int(port)), lines,
                              self.pushed, lambda kind, listed: self.told.put_nowait((kind, listed)))
        discovery.load_known_list({"generation": 41, "reset": True, "instances": [ROW]})
        assert [(kind, len(listed)) for kind, listed in [await self.told.get()]] == [(ListKind.CACHED, 1)]
        discovery.start()
        return fake, discovery


def test_an_entry_is_read() -> None:
    generation, whole, [(entry, address)] = UpdateParser(["a", "b"], ["m1", "m2"], StartTimes(lambda: 10 * MS)).parse(
        {"generation": 41, "reset": True, "instances": [ROW]})
    assert (generation, whole, address) == (41, True, ("127.0.0.1", 7070))
    assert entry == ("h0", 1, 1, 3, HostState.READY, 1.5, 2010 * MS)


@pytest.mark.parametrize("change", [
    {"hostPort": "nowhere"}, {"hostPort": "x:0"}, {"hostPort": None}, {"zone": "z"}, {"lifecycle": "odd"},
    {"weight": float("inf")}, {"instanceId": 7}, {"cell": "x"}, {"startedAtMs": -1},
])
def test_a_broken_entry_is_dropped_and_the_others_count(change: dict[str, Any]) -> None:
    _, _, listed = UpdateParser(["a", "b"], ["m1", "m2"], StartTimes()).parse(
        {"generation": 41, "instances": [{**ROW, **change}, {**ROW, "instanceId": "h1"}, None]})
    assert [item.entry.host for item in listed] == ["h1"]


def test_a_watch_tells_changes_and_resumes_where_it_was() -> None:
    async def scene() -> None:
        heard = Heard()
        fake, discovery = await heard.start()
        discovery.watch(True)
        discovery.watch(True)   # a second one would cost lines and tell nothing
        first, writer = await fake.calls.get()
        assert first == "GET /registry/instances?watch=1&from=41 HTTP/1.1"
        fake.send_head(writer)
        fake.send_chunk(writer, b"\n")
        fake.send_update(writer, 43, [{**ROW, "lifecycle": "terminating"}])
        kind, [item] = await heard.told.get()
        assert (kind, item.entry.state) == (ListKind.DELTA, HostState.DRAINING)
        fake.send_update(writer, 44, [ROW], reset=True)
        assert (await heard.told.get())[0] is ListKind.FULL
        writer.close()
        assert await heard.told.get() == (ListKind.FAILED, [])
        discovery.watch(True)
        first, _ = await fake.calls.get()
        assert "from=44" in first
        assert fake.calls.empty()
    run_scenario(scene)


@pytest.mark.parametrize("line", [b"{not json}\n", b"[1]\n", b'{"generation": 44}\n', b"[" * 9999 + b"\n",
                                  b"x" * (MAX_UPDATE_BYTES + 1)])
def test_a_broken_line_is_dropped_and_its_changes_are_asked_for_again(line: bytes) -> None:
    async def scene() -> None:
        heard = Heard()
        fake, discovery = await heard.start()
        discovery.watch(True)
        _, writer = await fake.calls.get()
        fake.send_head(writer)
        fake.send_chunk(writer, line)
        assert await heard.told.get() == (ListKind.FAILED, [])
        discovery.watch(True)
        assert "from=41" in (await fake.calls.get())[0]
    run_scenario(scene)


@pytest.mark.parametrize("answer", [b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", b"noise\r\n\r\n",
                                    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"])
def test_a_call_that_fails_is_told_once(answer: bytes) -> None:
    async def scene() -> None:
        heard = Heard()
        fake, discovery = await heard.start()
        discovery.watch(True)
        _, writer = await fake.calls.get()
        writer.write(answer)
        assert await heard.told.get() == (ListKind.FAILED, [])
        discovery.fetch()   # a later call works, and nothing more was told of the first
        _, writer = await fake.calls.get()
        body = b'{"generation": 50, "reset": true, "instances": []}'
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        assert await heard.told.get() == (ListKind.FULL, [])
        assert heard.told.empty()
    run_scenario(scene)


@pytest.mark.parametrize("pushed", [False, True])
def test_a_watch_that_falls_silent_is_begun_anew_in_time_for_what_it_misses(pushed: bool) -> None:
    async def scene() -> None:
        heard = Heard(pushed)
        fake, discovery = await heard.start()
        discovery.watch(True)
        _, writer = await fake.calls.get()
        fake.send_head(writer)
        fake.send_update(writer, 43, [])
        assert await heard.told.get() == (ListKind.DELTA, [])
        since = now_ns()
        first, _ = await fake.calls.get()   # from here: the module would wait before it asks
        assert "watch=1&from=43" in first
        # A heartbeat is late; the change counts as told 6 s on, and a call may wait 3 s for its turn.
        assert 2200 * MS <= now_ns() - since < 2700 * MS
        assert heard.told.empty()
    run_scenario(scene)


def test_a_watch_that_falls_silent_just_after_its_head_has_failed() -> None:
    async def scene() -> None:
        heard = Heard()
        fake, discovery = await heard.start()
        discovery.watch(True)
        _, writer = await fake.calls.get()
        fake.send_head(writer)
        since = now_ns()
        assert await heard.told.get() == (ListKind.FAILED, [])
        assert now_ns() - since < 3300 * MS
    run_scenario(scene)


def test_a_pushed_watch_is_back_within_the_time_for_following_a_change_once_the_service_is() -> None:
    async def scene() -> None:
        heard = Heard(pushed=True)
        fake, discovery = await heard.start()
        discovery._grace_ns = 300 * MS
        _, writer = await fake.calls.get()
        writer.close()
        for _ in range(12):   # turned away at once, for as long as the service is down: the rest does not grow
            assert (await heard.told.get())[0] is ListKind.FAILED
            since = now_ns()
            first, writer = await fake.calls.get()
            assert "watch=1" in first
            assert now_ns() - since < 250 * MS
            writer.write(b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n")
    run_scenario(scene)


def test_a_pushed_watch_that_has_waited_in_vain_rests_longer_each_time() -> None:
    async def scene() -> None:
        heard = Heard(pushed=True)
        fake, discovery = await heard.start()
        discovery._grace_ns = 300 * MS
        rests = []
        _, writer = await fake.calls.get()
        for _ in range(3):
            waited = now_ns() + IMMEDIATE_FAILURE_NS
            await wait_until(lambda waited=waited: now_ns() > waited)   # type: ignore[misc]
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            assert (await heard.told.get())[0] is ListKind.FAILED
            since = now_ns()
            _, writer = await fake.calls.get()
            rests.append(now_ns() - since)
        assert rests[2] > 500 * MS > 400 * MS > rests[0]
    run_scenario(scene)


def test_where_lists_are_pushed_the_watch_begins_by_itself_and_again() -> None:
    async def scene() -> None:
        heard = Heard(pushed=True)
        fake, _ = await heard.start()
        _, writer = await fake.calls.get()
        writer.close()
        assert await heard.told.get() == (ListKind.FAILED, [])
        assert "watch=1" in (await fake.calls.get())[0]
    run_scenario(scene)


def test_the_sockets_follow_the_list() -> None:
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
            await seen.wait_closed()   # the list no longer names it
            assert (await client.fetch(request(rid="r2")))[0] == 200
            assert (await other.received.get()).headers["x-request-id"] == "r2"
    run_scenario(scene)


def test_a_moved_discovery_gets_the_calls_and_the_old_one_is_left() -> None:
    async def scene() -> None:
        heard = Heard()
        old, discovery = await heard.start()
        discovery.watch(True)
        discovery.fetch()
        left = [await old.calls.get() for _ in range(2)]
        new = await FakeDiscovery().start()
        host, _, port = new.address.rpartition(":")
        discovery.reconfigure((host, int(port)), UpdateParser(["a"], [], StartTimes()), False)
        calls = dict([await new.calls.get() for _ in range(2)])
        assert sorted(first.split()[1] for first in calls) == [
            "/registry/instances", "/registry/instances?watch=1&from=0"]
        for _, writer in left:
            async def poke(writer: asyncio.StreamWriter = writer) -> None:
                writer.write(b" ")
                await asyncio.sleep(0)
            await wait_until(writer.is_closing, poke)   # nobody reads there any more
        writer = next(writer for first, writer in calls.items() if "watch" in first)
        new.send_head(writer)
        new.send_update(writer, 3, [ROW], reset=True)
        assert (await heard.told.get())[0] is ListKind.FULL
        discovery.close()
    run_scenario(scene)


def test_an_answer_may_come_in_pieces_of_any_size() -> None:
    async def scene() -> None:
        heard = Heard()
        fake, discovery = await heard.start()
        discovery.watch(True)
        _, writer = await fake.calls.get()
        sock: socket.socket = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        body = json.dumps({"generation": 43, "reset": False, "instances": [ROW]}).encode() + b"\n"
        whole = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(body), body)
        for at in range(len(whole)):
            writer.write(whole[at:at + 1])
            await asyncio.sleep(0)   # the loop turns: each byte is read by itself
        assert (await heard.told.get())[0] is ListKind.DELTA
        assert heard.told.empty()
    run_scenario(scene)


@pytest.mark.parametrize("indent", [0, 2, None])
@pytest.mark.parametrize("piece", [7, 100_000])
def test_a_list_may_come_indented_over_several_lines_and_chunks(indent: int | None, piece: int) -> None:
    async def scene() -> None:
        heard = Heard()
        fake, discovery = await heard.start()
        discovery.watch(True)
        _, writer = await fake.calls.get()
        fake.send_head(writer)
        rows = [ROW, {**ROW, "instanceId": 'h"1\\', "lifecycle": "terminating"}]
        for generation in (43, 44):
            text = json.dumps({"generation": generation, "reset": True, "instances": rows}, indent=indent)
            data = text.encode() + b"\n\n"   # and the empty line of a quiet time
            for at in range(0, len(data), piece):
                fake.send_chunk(writer, data[at:at + piece])
            kind, listed = await heard.told.get()
            assert (kind, [item.entry.host for item in listed]) == (ListKind.FULL, ["h0", 'h"1\\'])
        assert discovery.generation == 44
        assert heard.told.empty()
    run_scenario(scene)


WHOLE = json.dumps({"generation": 43, "reset": False, "instances": [ROW]}).encode()


@pytest.mark.parametrize("cut", [WHOLE[:1], WHOLE[:18], WHOLE[:25], WHOLE[:-1], WHOLE[:-2], WHOLE[:60],
                                 WHOLE.replace(b"]", b""), WHOLE + b"}"])
@pytest.mark.parametrize("after", [b"", b"\n", b"\n\n", b"\n" + WHOLE + b"\n", WHOLE + b"\n"])
def test_a_line_that_is_cut_short_costs_no_change(cut: bytes, after: bytes) -> None:
    async def scene() -> None:
        heard = Heard(pushed=True)
        fake, discovery = await heard.start()
        _, writer = await fake.calls.get()
        fake.send_head(writer)
        fake.send_chunk(writer, cut + after)
        begun = now_ns()
        first, writer = await fake.calls.get()   # begun anew, from the last good version
        assert "from=41" in first
        assert now_ns() - begun < SECOND
        fake.send_head(writer)
        fake.send_chunk(writer, WHOLE + b"\n")
        await wait_until(lambda: discovery.generation == 43)
    run_scenario(scene)


def test_a_broken_entry_of_a_known_host_costs_no_change_and_makes_none() -> None:
    lines = UpdateParser(["a", "b"], ["m1", "m2"], StartTimes())
    lines.parse({"generation": 41, "instances": [ROW, {**ROW, "instanceId": "h1"}]})
    broken = {**ROW, "zone": "z"}
    for row, state in ((broken, HostState.READY), ({**broken, "lifecycle": "odd"}, HostState.READY),
                       ({"instanceId": "h0", "lifecycle": "terminating"}, HostState.DRAINING),
                       ({**broken, "lifecycle": ["x"]}, HostState.DRAINING)):
        _, _, listed = lines.parse({"generation": 42, "reset": True, "instances": [row]})
        assert [(item.entry.host, item.entry.state, item.entry.zone) for item in listed] == [("h0", state, 1)]
    assert lines.parse({"generation": 43, "instances": [{**broken, "instanceId": "h1"}]})[2] == []   # not listed now
    _, _, [gone] = lines.parse({"generation": 44, "instances": [{**broken, "lifecycle": "terminated"}]})
    assert gone.entry.state is HostState.GONE
    assert lines.parse({"generation": 45, "instances": [broken]})[2] == []


def test_the_whole_gateway_asks_again_soon_after_a_call_in_vain_and_follows_a_list_that_leaves_a_host_out() -> None:
    async def scene() -> None:
        async with GatewayHarness() as stage:
            leaving, staying = FakeHost("h0"), FakeHost("h1")
            await stage.start(leaving, staying, rules={"ask-within-ns": 10 * SECOND})
            client = await stage.client()
            _, writer = await stage.discovery.calls.get()
            since = now_ns()
            number = 0
            while now_ns() - since < SECOND:   # it waits its turn, and in vain
                number += 1
                assert (await client.fetch(request(rid=f"r{number}")))[0] == 200
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            since = now_ns()
            _, writer = await stage.discovery.calls.get()
            assert now_ns() - since < 490 * MS   # a call in vain, the rest and the next turn: 6 s in all
            stage.discovery.send_head(writer)
            stage.discovery.send_update(writer, 42, [staying.instance()], reset=True)
            await wait_until(lambda: stage.gateway.upstream.host_count == 1)
            while not leaving.received.empty():
                leaving.received.get_nowait()
            for late in range(30):
                assert (await client.fetch(request(rid=f"late{late}")))[0] == 200
            assert leaving.received.empty()
    run_scenario(scene)
