"""The list service: versions, expiry of silent hosts, health verdicts, failover of gateways, and the prober."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from aiohttp import web
from hypothesis import given
from hypothesis import strategies as st

from bridgesaddle.api import ListKind
from gateway.failover import CachedList, FailoverDiscovery
from gateway.start_times import StartTimes
from gateway.timers import Timers
from gateway.update_parser import ListedHost, UpdateParser
from moleworks.registry.expiry import Expiry, Limits
from moleworks.registry.lists import InvalidList, ListClient
from moleworks.registry.mirror import Host, Mirror
from moleworks.registry.rows import LINE, Row, applied
from moleworks.registry.verdicts import Verdicts
from moleworks.rig import runner

from .test_store_real import NAMES, ROOT, Store, play, store

__all__ = ["store"]

SECOND = 1_000_000_000


def host(name: str, port: int = 1, session: str = "", zone: str = "z", state: str = "in_service") -> Host:
    return Host(Row(name, f"127.0.0.1:{port}", zone, lifecycle=state), session, 1000)   # type: ignore[arg-type]


# ---- Versions -----------------------------------------------------------------------------------------------


@given(st.lists(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 3)), min_size=1, max_size=4), max_size=30),
       st.integers(0, 1000))
def test_a_reader_at_any_version_gets_what_makes_its_list_the_newest(
        steps: list[list[tuple[int, int]]], seed: int) -> None:
    mirror, rng = Mirror(), random.Random(seed)
    mirror.begin({"h0": (1, host("h0"))}, 1)
    readers: list[tuple[int, dict[str, Row]]] = [(0, {}) for _ in range(4)]
    revision = 1
    for step in steps:
        revision += rng.randrange(1, 3)
        mirror.change(revision, [(f"h{name}", host(f"h{name}", port) if port else None) for name, port in step])
        if rng.random() < 0.1:    # the mirror reloads all records; readers continue
            mirror.begin({name: (mirror.revisions[name], one) for name, one in mirror.hosts.items()}, revision)
        truth = {name: one.row for name, one in mirror.hosts.items()}
        for index, (version, rows) in enumerate(readers):
            if rng.random() < 0.5:
                line = LINE.decode(mirror.line(version))
                assert line.generation == revision >= version
                rows = {} if line.reset else dict(rows)
                applied(rows, line.instances)
                assert rows == truth
                readers[index] = (line.generation, rows)


def test_a_version_that_is_no_longer_retained_gets_the_full_list_and_updates_are_encoded_once() -> None:
    mirror = Mirror()
    mirror.begin({}, 1)
    for revision in range(2, 5000):
        mirror.change(revision, [("h0", host("h0", revision))])
    assert LINE.decode(mirror.line(2)).reset and not LINE.decode(mirror.line(4990)).reset
    assert LINE.decode(mirror.line(1 << 40)).reset       # a version of another store, or from before a restore
    lines_encoded = mirror.lines_encoded
    assert mirror.line(4990) is mirror.line(4990) and mirror.lines_encoded == lines_encoded


def test_a_mirror_is_as_fresh_as_the_query_whose_revision_it_has_reached() -> None:
    mirror = Mirror()
    mirror.on_revision_queried(100, 7, 5)          # the store is at revision 7, the mirror at 5
    mirror.on_revision_queried(200, 9, 5)
    assert mirror.age(1000) > SECOND
    mirror.on_revision_reached(6)
    assert mirror.age(1000) > SECOND
    mirror.on_revision_reached(8)
    assert mirror.age(1000) == 900
    mirror.on_revision_queried(300, 8, 8)
    assert mirror.age(1000) == 700


def test_silent_hosts_expire_up_to_a_limit_and_silence_before_the_duty_does_not_count() -> None:
    hosts = {f"h{index}": host(f"h{index}", session=f"s{index}", zone="ab"[index % 2]) for index in range(16)}
    hosts.update({f"fixed{index}": host(f"fixed{index}", zone="b") for index in range(40)})   # no session: never silent
    expiry = Expiry(0, hosts, Limits())
    late = int(1.5 * SECOND)
    expiry.on_heartbeats(SECOND, [f"s{index}" for index in range(16) if index not in (0, 1, 3, 5)])
    expired, doubtful = expiry.decide(late, hosts)
    assert expired == ["h0"] and doubtful == ["h1", "h3", "h5"]   # of a zone's eight two may expire, three may not
    expiry.on_heartbeats(late, ["s3"])
    assert expiry.decide(late, hosts) == (["h0"], ["h1", "h5"])            # the zone recovers: these may still return
    expiry.on_heartbeats(late + SECOND, [f"s{index}" for index in range(16) if index not in (0, 1, 5)])
    assert expiry.decide(late + int(1.1 * SECOND), hosts) == (["h0", "h1", "h5"], [])
    restarted = Expiry(late, hosts, Limits())
    assert restarted.decide(late + SECOND // 2, hosts) == ([], [])
    assert (restarted.has_current_view(late, 0)
            and not restarted.has_current_view(late + 3 * SECOND, 2 * SECOND))     # the store was unreachable meanwhile
    assert restarted.has_current_view(late + 4 * SECOND, 0) and restarted.decide(late + 5 * SECOND, hosts) == ([], [])


def test_a_host_turns_bad_after_three_failures_but_rounds_with_most_hosts_failing_are_ignored() -> None:
    verdicts = Verdicts()
    hosts = [f"h{index}" for index in range(6)]
    for index in range(4):
        changed = verdicts.end_round({name: "refused" if name == "h2" else "" for name in hosts})
        assert [name for name, verdict in changed if verdict.state == "bad"] == (["h2"] if index == 2 else [])
    for _ in range(10):
        assert verdicts.end_round(dict.fromkeys(hosts, "no answer in time")) == []
    assert verdicts.ignored_rounds == 10
    changed = [row for _ in range(2) for row in verdicts.end_round(dict.fromkeys(hosts, ""))]
    assert [(name, verdict.state) for name, verdict in changed] == [("h2", "good")]
    assert verdicts.forget(["h0"]) == hosts[1:]


def test_a_client_rejects_older_empty_and_malformed_lists() -> None:
    lists = ListClient([("127.0.0.1", 1)])
    row = b'{"instanceId":"h0","hostPort":"127.0.0.1:1","zone":"z"}'
    lists.apply_line(b'{"generation":5,"reset":true,"instances":[%b]}' % row)
    for bad in (b'{"generation":4,"reset":true,"instances":[%b]}' % row,
                b'{"generation":9,"reset":true,"instances":[]}',
                b'{"generation":9,"reset":true,"instances":[{}]}', b'{"generation":9', b"[]"):
        with pytest.raises(InvalidList):
            lists.apply_line(bad)
    assert lists.generation == 5 and list(lists.rows) == ["h0"]


# ---- Gateways -----------------------------------------------------------------------------------------------


def row(name: str, state: str = "in_service") -> dict[str, Any]:
    return {"instanceId": name, "hostPort": "127.0.0.1:1", "zone": "z", "machineType": "", "cell": 0,
            "lifecycle": state, "weight": 1.0, "startedAtMs": 0}


class FakeListService:
    """A list service with one handler for one path."""

    def __init__(self, handler: Handler, path: str = "/registry/instances") -> None:
        app = web.Application()
        app.router.add_get(path, handler)
        self._runner = web.AppRunner(app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1)
        self.at = ("", 0)

    async def __aenter__(self) -> FakeListService:
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        assert site._server is not None
        self.at = site._server.sockets[0].getsockname()[:2]   # type: ignore[attr-defined]
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._runner.cleanup()


Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def watch_handler(*lines: dict[str, Any], closes: bool = False, heartbeats: bool = False) -> Handler:
    async def handler(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        response.enable_chunked_encoding()
        await response.prepare(request)
        for line in lines:
            await response.write(json.dumps(line).encode() + b"\n")
        while heartbeats:
            await asyncio.sleep(1.0)
            await response.write(b"\n")
        if not closes:
            await asyncio.sleep(60)
        return response
    return handler


async def unavailable(_: web.Request) -> web.StreamResponse:
    return web.Response(status=503)


async def follow_until(addresses: list[tuple[str, int]], is_done: Callable[[list[tuple[ListKind, list[str]]]], bool],
                       known: dict[str, Any], cached: CachedList | None = None) -> list[tuple[ListKind, list[str]]]:
    """The lists that a gateway's discovery passes to the decision module, until `is_done` accepts them."""
    received: list[tuple[ListKind, list[str]]] = []
    done = asyncio.Event()

    def on_list(kind: ListKind, hosts: list[ListedHost]) -> None:
        received.append((kind, [str(item.entry.host) for item in hosts]))
        if is_done(received):
            done.set()
    loop = asyncio.get_running_loop()
    discovery = FailoverDiscovery(loop, Timers(loop), addresses, UpdateParser(["z"], [""], StartTimes()), True, on_list,
                                  cached)
    discovery.load_known_list(known)
    discovery.start()
    try:
        async with asyncio.timeout(20):
            await done.wait()
    finally:
        discovery.close()
    return received


def test_a_gateway_fails_over_from_services_with_old_or_empty_lists_and_restarts_from_its_cached_list(
        tmp_path: Path) -> None:
    async def scenario() -> None:
        known = {"generation": 10, "reset": True, "instances": [row("h0")]}
        old = {"generation": 7, "reset": True, "instances": [row("old")]}
        empty = {"generation": 99, "reset": True, "instances": []}
        last = {"generation": 99, "reset": False, "instances": [row("h0", "terminated")]}
        good = {"generation": 12, "reset": False, "instances": [row("h1")]}
        for index, bad in enumerate((watch_handler(old), watch_handler(empty), watch_handler(last), unavailable,
                                     watch_handler(closes=True))):
            cached = CachedList(str(tmp_path), f"n{index}")
            async with FakeListService(bad) as one, FakeListService(watch_handler(good)) as other:
                received = await follow_until(
                    [one.at, other.at], lambda received: received[-1] == (ListKind.DELTA, ["h1"]), known, cached)
                assert received == [(ListKind.CACHED, ["h0"]), (ListKind.DELTA, ["h1"])]     # no failure was reported
        async with FakeListService(unavailable) as one, FakeListService(unavailable) as other:
            received = await follow_until(
                [one.at, other.at], lambda received: received[-1][0] is ListKind.FAILED, known)
            assert received == [(ListKind.CACHED, ["h0"]), (ListKind.FAILED, [])]

        # With no service reachable, a new gateway process starts from the list that an earlier one cached.
        while (found := cached.read()) is None or found["generation"] != 12:
            await asyncio.sleep(0.02)
        assert sorted(item["instanceId"] for item in found["instances"]) == ["h0", "h1"]
        nothing = {"generation": 0, "reset": True, "instances": []}
        received = await follow_until([("127.0.0.1", 1)], lambda received: len(received) == 2, nothing, cached)
        assert received == [(ListKind.CACHED, ["h0", "h1"]), (ListKind.FAILED, [])]
        path = Path(cached.path)
        data = path.read_bytes()
        for broken in (data[:-1], b"", data.replace(b"h0", b"hX"), b"moleworks-list 1 x y\n{}"):
            path.write_bytes(broken)
            assert cached.read() is None
        path.write_bytes(data)
        os.utime(path, (1, 1))
        assert cached.read() is None       # too old to be used
    play(scenario)


# ---- Processes ----------------------------------------------------------------------------------------------


@pytest.mark.parametrize(("file", "verdict"), [("registry-killed", "held"), ("broken/registry-believes", "broken")])
def test_watchers_of_real_services_under_faults(file: str, verdict: str, tmp_path: Path) -> None:
    result = runner.run(str(ROOT / f"experiments/{file}.toml"), tmp_path)
    assert result["verdict"] == verdict, result["broken"]


def test_one_process_probes_a_zone_and_another_takes_over_when_it_is_killed(store: Store, tmp_path: Path) -> None:
    settings = tmp_path / "config.json"

    def config(probes: bool) -> None:
        settings.write_text(json.dumps({"settings": {"zones": ["z"], "caps": {"probes": probes}}}))

    def prober(name: str) -> subprocess.Popen[str]:
        return subprocess.Popen(
            [sys.executable, "-B", "-m", "moleworks", "--log-level", "error", "prober", "--settings", str(settings),
             "--zone", "z", "--registry", f"127.0.0.1:{service[1]}", "--every", "0.2", "--ttl-ms", "600",
             "--name", name, "--cluster", "t"], cwd=ROOT, text=True, stdout=subprocess.PIPE,
            env={**os.environ, "MOLEWORKS_STORE": ",".join(map(store.where, NAMES))})

    service = ("", 0)
    probe_counts: dict[str, int] = {}

    async def scenario() -> None:
        nonlocal service
        unhealthy = {"h1"}

        def health_handler(name: str) -> Handler:
            async def handler(_: web.Request) -> web.StreamResponse:
                probe_counts[name] = probe_counts.get(name, 0) + 1
                return web.Response(status=503 if name in unhealthy else 200)
            return handler
        async with contextlib.AsyncExitStack() as stack:
            rows = []
            for index in range(4):
                one = await stack.enter_async_context(FakeListService(health_handler(f"h{index}"), "/health/live"))
                rows.append({**row(f"h{index}"), "hostPort": "{}:{}".format(*one.at)})
            listing = await stack.enter_async_context(FakeListService(
                watch_handler({"generation": 1, "reset": True, "instances": rows}, heartbeats=True)))
            service = listing.at
            await check_probers(unhealthy)

    async def check_probers(unhealthy: set[str]) -> None:
        await store.leader()
        config(False)
        off = prober("off")
        output, _ = await asyncio.to_thread(off.communicate, None, 20)
        assert off.returncode == 0 and "not allowed" in output and not probe_counts
        config(True)
        probers = {name: prober(name) for name in "xy"}
        try:
            async with store.client() as client:
                async def verdict(name: str) -> str:
                    while (found := await client.get(f"verdicts/z/{name}")) is None:
                        await asyncio.sleep(0.05)
                    return str(json.loads(found.value)["state"])
                assert (await verdict("h1"), await verdict("h0")) == ("bad", "good")
                probe_counts.clear()
                await asyncio.sleep(2.0)
                assert all(6 <= probe_counts[f"h{index}"] <= 12 for index in range(4)), probe_counts   # one a round
                holder = ((await client.list("", 0)).grants or [])[0].holder
                probers[holder].kill()
                unhealthy.clear()
                while await verdict("h1") != "good":
                    await asyncio.sleep(0.05)
        finally:
            for process in probers.values():
                process.terminate()
                process.wait(10)
    play(scenario)
