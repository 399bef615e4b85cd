"""The list service: versions by property, expiry, readers of a service that is cut off, gateways that change over."""

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
from moleworks.registry.lists import Lists, Wrong
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
        if rng.random() < 0.1:    # the mirror begins anew: readers go on
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


def test_a_version_that_is_forgotten_gets_the_whole_list_and_joins_are_made_once() -> None:
    mirror = Mirror()
    mirror.begin({}, 1)
    for revision in range(2, 5000):
        mirror.change(revision, [("h0", host("h0", revision))])
    assert LINE.decode(mirror.line(2)).reset and not LINE.decode(mirror.line(4990)).reset
    assert LINE.decode(mirror.line(1 << 40)).reset       # of a store that was restored since, or of another one
    joined = mirror.joined
    assert mirror.line(4990) is mirror.line(4990) and mirror.joined == joined


def test_a_mirror_is_as_new_as_the_question_whose_revision_it_has_reached() -> None:
    mirror = Mirror()
    mirror.asked(100, 7, 5)          # the store was at 7, this has heard up to 5
    mirror.asked(200, 9, 5)
    assert mirror.age(1000) > SECOND
    mirror.reached(6)
    assert mirror.age(1000) > SECOND
    mirror.reached(8)
    assert mirror.age(1000) == 900
    mirror.asked(300, 8, 8)
    assert mirror.age(1000) == 700


def test_silent_hosts_leave_but_not_too_many_at_once_and_nobody_counts_from_before() -> None:
    hosts = {f"h{index}": host(f"h{index}", session=f"s{index}", zone="ab"[index % 2]) for index in range(16)}
    hosts.update({f"fixed{index}": host(f"fixed{index}", zone="b") for index in range(40)})   # they can't fall silent
    expiry = Expiry(0, hosts, Limits())
    late = int(1.5 * SECOND)
    expiry.beat(SECOND, [f"s{index}" for index in range(16) if index not in (0, 1, 3, 5)])
    leave, doubtful = expiry.decide(late, hosts)
    assert leave == ["h0"] and doubtful == ["h1", "h3", "h5"]      # two of a zone's eight may go, three are doubted
    expiry.beat(late, ["s3"])
    assert expiry.decide(late, hosts) == (["h0"], ["h1", "h5"])            # the zone comes back: these may yet
    expiry.beat(late + SECOND, [f"s{index}" for index in range(16) if index not in (0, 1, 5)])
    assert expiry.decide(late + int(1.1 * SECOND), hosts) == (["h0", "h1", "h5"], [])
    anew = Expiry(late, hosts, Limits())
    assert anew.decide(late + SECOND // 2, hosts) == ([], [])
    assert anew.sees(late, 0) and not anew.sees(late + 3 * SECOND, 2 * SECOND)      # the store was away meanwhile
    assert anew.sees(late + 4 * SECOND, 0) and anew.decide(late + 5 * SECOND, hosts) == ([], [])


def test_probes_turn_a_host_bad_after_three_failures_but_never_most_of_a_zone() -> None:
    verdicts = Verdicts()
    hosts = [f"h{index}" for index in range(6)]
    for number in range(4):
        turned = verdicts.end_round({name: "refused" if name == "h2" else "" for name in hosts})
        assert [name for name, verdict in turned if verdict.state == "bad"] == (["h2"] if number == 2 else [])
    for _ in range(10):
        assert verdicts.end_round(dict.fromkeys(hosts, "no answer in time")) == []
    assert verdicts.doubted == 10
    turned = [row for _ in range(2) for row in verdicts.end_round(dict.fromkeys(hosts, ""))]
    assert [(name, verdict.state) for name, verdict in turned] == [("h2", "good")]
    assert verdicts.forget(["h0"]) == hosts[1:]


def test_a_client_takes_no_older_list_and_no_empty_one() -> None:
    lists = Lists([("127.0.0.1", 1)])
    row = b'{"instanceId":"h0","hostPort":"127.0.0.1:1","zone":"z"}'
    lists.take(b'{"generation":5,"reset":true,"instances":[%b]}' % row)
    for bad in (b'{"generation":4,"reset":true,"instances":[%b]}' % row,
                b'{"generation":9,"reset":true,"instances":[]}',
                b'{"generation":9,"reset":true,"instances":[{}]}', b'{"generation":9', b"[]"):
        with pytest.raises(Wrong):
            lists.take(bad)
    assert lists.generation == 5 and list(lists.rows) == ["h0"]


# ---- Gateways -----------------------------------------------------------------------------------------------


def row(name: str, state: str = "in_service") -> dict[str, Any]:
    return {"instanceId": name, "hostPort": "127.0.0.1:1", "zone": "z", "machineType": "", "cell": 0,
            "lifecycle": state, "weight": 1.0, "startedAtMs": 0}


class Stand:
    """A list service that answers what it is told to, and counts."""

    def __init__(self, answer: Answer, path: str = "/registry/instances") -> None:
        app = web.Application()
        app.router.add_get(path, answer)
        self._runner = web.AppRunner(app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1)
        self.at = ("", 0)

    async def __aenter__(self) -> Stand:
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        assert site._server is not None
        self.at = site._server.sockets[0].getsockname()[:2]   # type: ignore[attr-defined]
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._runner.cleanup()


Answer = Callable[[web.Request], Awaitable[web.StreamResponse]]


def watched(*lines: dict[str, Any], ends: bool = False, beats: bool = False) -> Answer:
    async def answer(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        response.enable_chunked_encoding()
        await response.prepare(request)
        for line in lines:
            await response.write(json.dumps(line).encode() + b"\n")
        while beats:
            await asyncio.sleep(1.0)
            await response.write(b"\n")
        if not ends:
            await asyncio.sleep(60)
        return response
    return answer


async def refuse(_: web.Request) -> web.StreamResponse:
    return web.Response(status=503)


async def follow(addresses: list[tuple[str, int]], until: Callable[[list[tuple[ListKind, list[str]]]], bool],
                 known: dict[str, Any], kept: CachedList | None = None) -> list[tuple[ListKind, list[str]]]:
    """What a gateway's discovery tells the module, until that says it is enough."""
    told: list[tuple[ListKind, list[str]]] = []
    enough = asyncio.Event()

    def tell(kind: ListKind, listed: list[ListedHost]) -> None:
        told.append((kind, [str(item.entry.host) for item in listed]))
        if until(told):
            enough.set()
    loop = asyncio.get_running_loop()
    discovery = FailoverDiscovery(loop, Timers(loop), addresses, UpdateParser(["z"], [""], StartTimes()), True, tell,
                                  kept)
    discovery.load_known_list(known)
    discovery.start()
    try:
        async with asyncio.timeout(20):
            await enough.wait()
    finally:
        discovery.close()
    return told


def test_a_gateway_goes_on_to_a_service_that_is_not_behind_and_believes_no_empty_list(tmp_path: Path) -> None:
    async def scene() -> None:
        known = {"generation": 10, "reset": True, "instances": [row("h0")]}
        old = {"generation": 7, "reset": True, "instances": [row("old")]}
        empty = {"generation": 99, "reset": True, "instances": []}
        last = {"generation": 99, "reset": False, "instances": [row("h0", "terminated")]}
        good = {"generation": 12, "reset": False, "instances": [row("h1")]}
        for number, bad in enumerate((watched(old), watched(empty), watched(last), refuse, watched(ends=True))):
            kept = CachedList(str(tmp_path), f"n{number}")
            async with Stand(bad) as one, Stand(watched(good)) as other:
                told = await follow([one.at, other.at], lambda told: told[-1] == (ListKind.DELTA, ["h1"]), known, kept)
                assert told == [(ListKind.CACHED, ["h0"]), (ListKind.DELTA, ["h1"])]     # it never heard of a failure
        async with Stand(refuse) as one, Stand(refuse) as other:
            told = await follow([one.at, other.at], lambda told: told[-1][0] is ListKind.FAILED, known)
            assert told == [(ListKind.CACHED, ["h0"]), (ListKind.FAILED, [])]

        # All services are gone: a gateway that starts has the list that another life of it has kept.
        while (found := kept.read()) is None or found["generation"] != 12:
            await asyncio.sleep(0.02)
        assert sorted(item["instanceId"] for item in found["instances"]) == ["h0", "h1"]
        nothing = {"generation": 0, "reset": True, "instances": []}
        told = await follow([("127.0.0.1", 1)], lambda told: len(told) == 2, nothing, kept)
        assert told == [(ListKind.CACHED, ["h0", "h1"]), (ListKind.FAILED, [])]
        path = Path(kept.path)
        data = path.read_bytes()
        for broken in (data[:-1], b"", data.replace(b"h0", b"hX"), b"moleworks-list 1 x y\n{}"):
            path.write_bytes(broken)
            assert kept.read() is None
        path.write_bytes(data)
        os.utime(path, (1, 1))
        assert kept.read() is None       # so old that nobody should believe it
    play(scene)


# ---- Processes ----------------------------------------------------------------------------------------------


@pytest.mark.parametrize(("file", "verdict"), [("registry-killed", "held"), ("broken/registry-believes", "broken")])
def test_watchers_of_real_services_under_faults(file: str, verdict: str, tmp_path: Path) -> None:
    result = runner.run(str(ROOT / f"experiments/{file}.toml"), tmp_path)
    assert result["verdict"] == verdict, result["broken"]


def test_one_process_probes_a_zone_and_another_goes_on_when_it_is_killed(store: Store, tmp_path: Path) -> None:
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
    asked: dict[str, int] = {}

    async def scene() -> None:
        nonlocal service
        ill = {"h1"}

        def live(name: str) -> Answer:
            async def answer(_: web.Request) -> web.StreamResponse:
                asked[name] = asked.get(name, 0) + 1
                return web.Response(status=503 if name in ill else 200)
            return answer
        async with contextlib.AsyncExitStack() as stack:
            rows = []
            for number in range(4):
                one = await stack.enter_async_context(Stand(live(f"h{number}"), "/health/live"))
                rows.append({**row(f"h{number}"), "hostPort": "{}:{}".format(*one.at)})
            listing = await stack.enter_async_context(Stand(watched({"generation": 1, "reset": True,
                                                                     "instances": rows}, beats=True)))
            service = listing.at
            await probed(ill)

    async def probed(ill: set[str]) -> None:
        await store.leader()
        config(False)
        off = prober("off")
        told, _ = await asyncio.to_thread(off.communicate, None, 20)
        assert off.returncode == 0 and "not allowed" in told and not asked
        config(True)
        probers = {name: prober(name) for name in "xy"}
        try:
            async with store.client() as client:
                async def verdict(name: str) -> str:
                    while (found := await client.get(f"verdicts/z/{name}")) is None:
                        await asyncio.sleep(0.05)
                    return str(json.loads(found.value)["state"])
                assert (await verdict("h1"), await verdict("h0")) == ("bad", "good")
                asked.clear()
                await asyncio.sleep(2.0)
                assert all(6 <= asked[f"h{number}"] <= 12 for number in range(4)), asked     # once a round, not twice
                holder = ((await client.list("", 0)).grants or [])[0].holder
                probers[holder].kill()
                ill.clear()
                while await verdict("h1") != "good":
                    await asyncio.sleep(0.05)
        finally:
            for process in probers.values():
                process.terminate()
                process.wait(10)
    play(scene)
