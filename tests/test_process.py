"""The program as it is started: its configuration, its signals, its descriptors."""

from __future__ import annotations

import asyncio
import importlib
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from types import ModuleType
from typing import Any

import pytest

from gateway import program
from gateway.__main__ import start
from gateway.handover import Handover
from tests.sockets import OK, SETTINGS, Client, FakeDiscovery, FakeHost, request, run_scenario

ROOT = Path(__file__).parent.parent
COMMAND = [sys.executable, "-B", "-m", "gateway"]
LAST = OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
READY = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"


def write_config(path: Path, discovery: FakeDiscovery, *hosts: FakeHost) -> dict[str, Any]:
    config = {"listen": "127.0.0.1:0", "discovery": discovery.address, "seed": "7", "settings": SETTINGS,
              "known": {"generation": 41, "reset": True, "instances": [host.instance() for host in hosts]}}
    path.write_text(json.dumps(config))
    return config


async def launch(path: Path, sockets: int = 0,
                 **environ: str) -> tuple[asyncio.subprocess.Process, tuple[str, int]]:
    """Start the program; it prints its address once it listens."""
    def limit() -> None:
        if sockets:
            resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))
    program = await asyncio.create_subprocess_exec(
        *COMMAND, cwd=ROOT, stderr=asyncio.subprocess.PIPE, preexec_fn=limit,
        env={**os.environ, "EDGE_CONFIG": str(path), "TMPDIR": str(path.parent), **environ})
    assert program.stderr is not None
    while True:
        line = (await program.stderr.readline()).decode()
        assert line, "the program has ended"
        if "listening on" in line:
            host, _, port = line.split()[-1].rpartition(":")
            return program, (host, int(port))


async def connect(where: tuple[str, int]) -> Client:
    return Client(*await asyncio.open_connection(*where))


async def served(where: tuple[str, int]) -> Client:
    """The first new client that is not turned away."""
    while True:
        client = await connect(where)
        try:
            if (await client.fetch(request()))[0] == 200:
                return client
        except (OSError, asyncio.IncompleteReadError):
            pass   # there was no room
        client.writer.close()


@pytest.mark.parametrize("text", [None, "", "{", "[]", "{}", '{"listen": "x", "discovery": "127.0.0.1:1"}',
                                  '{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": 7}'])
def test_a_bad_configuration_is_one_plain_line(text: str | None, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    done = subprocess.run(COMMAND, cwd=ROOT, env={**os.environ, "EDGE_CONFIG": str(path)},
                          capture_output=True, timeout=20, text=True, check=False)
    assert (done.returncode, done.stdout, done.stderr.count("\n")) == (2, "", 1)
    assert done.stderr.startswith("gateway: EDGE_CONFIG: ")


def test_sigterm_answers_what_is_held_and_what_still_comes(tmp_path: Path) -> None:
    async def scene() -> None:
        host, discovery = await FakeHost(response=None).start(), await FakeDiscovery(sends_first_update=True).start()
        write_config(tmp_path / "c", discovery, host)
        program, where = await launch(tmp_path / "c")
        idle, busy = await connect(where), await connect(where)
        assert (await idle.fetch(READY))[0] == 200
        busy.send(request())
        seen = await host.received.get()
        program.send_signal(signal.SIGTERM)
        late = await connect(where)              # new connections still come for a while
        while (answer := await late.fetch(READY))[0] == 200:
            pass                                 # the signal is still on its way
        assert (answer[0], answer[1]["connection"]) == (503, "close")
        assert await idle.reader.read() == b""   # closed between requests
        seen.respond()
        status, headers, _ = await busy.read_response()
        assert (status, headers["connection"]) == (200, "close")
        busy.writer.close()
        late.writer.close()
        assert await program.wait() == 0
    run_scenario(scene)


def test_a_restart_is_at_once(tmp_path: Path) -> None:
    async def scene() -> None:
        host, discovery = await FakeHost(response=None).start(), await FakeDiscovery(sends_first_update=True).start()
        config = write_config(tmp_path / "c", discovery, host)
        program, where = await launch(tmp_path / "c")
        busy = await connect(where)
        busy.send(request())
        await host.received.get()
        program.kill()
        await program.wait()
        (tmp_path / "c").write_text(json.dumps({**config, "listen": f"{where[0]}:{where[1]}"}))
        program, again = await launch(tmp_path / "c")
        assert again == where
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == 0
    run_scenario(scene)


@pytest.mark.parametrize("sockets", [64, 128, 256])
@pytest.mark.parametrize("asks", [b"", b"GET /", READY])
def test_discovery_hosts_and_operators_get_descriptors_that_idle_clients_have_filled_while_discovery_was_down(
        asks: bytes, sockets: int, free_port: int, tmp_path: Path) -> None:
    async def scene() -> None:
        host, discovery = await FakeHost().start(), FakeDiscovery()
        with socket.create_server(("127.0.0.1", 0)) as place:   # bound, and nobody answers there
            number = place.getsockname()[1]
        discovery.address = f"127.0.0.1:{number}"
        config = write_config(tmp_path / "c", discovery, host)
        config.update(operator=f"127.0.0.1:{free_port}", limits={"sockets": sockets},
                      known={"generation": 41, "reset": True, "instances": []})
        (tmp_path / "c").write_text(json.dumps(config))
        program, where = await launch(tmp_path / "c", sockets=sockets)
        crowd = []
        for _ in range(2 * sockets):   # at once: more than it may hold, and than it can send away in a turn of its loop
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(where)
            crowd.append(sock)
        for sock in crowd:
            with suppress(OSError):
                sock.send(asks)
        server = await asyncio.start_server(discovery.serve, "127.0.0.1", number)
        first, writer = await discovery.calls.get()
        assert "watch=1" in first
        discovery.send_head(writer)
        discovery.send_update(writer, 42, [host.instance()], reset=True)
        operator = await connect(("127.0.0.1", free_port))
        assert (await operator.fetch(b"GET /_vars HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200
        await served(where)   # the crowd stays
        for sock in crowd:
            sock.close()
        server.close()
        program.kill()
        await program.wait()
    run_scenario(scene)


def test_running_out_of_descriptors_is_no_crash(tmp_path: Path) -> None:
    async def scene() -> None:
        host, discovery = await FakeHost().start(), await FakeDiscovery(sends_first_update=True).start()
        write_config(tmp_path / "c", discovery, host)
        program, where = await launch(tmp_path / "c", sockets=40)
        crowd = [await connect(where) for _ in range(80)]
        for client in crowd:
            client.writer.close()
        client = await served(where)   # the crowd leaves: it serves again, as soon as that is noticed
        assert program.returncode is None
        program.send_signal(signal.SIGTERM)
        client.writer.close()
        assert await program.wait() == 0
    run_scenario(scene)


def test_sighup_moves_to_the_discovery_that_the_file_names(tmp_path: Path) -> None:
    """The program ended on SIGHUP."""
    async def scene() -> None:
        old, new = await FakeHost("h0").start(), await FakeHost("h1").start()
        first, second = await FakeDiscovery(sends_first_update=True).start(), await FakeDiscovery().start()
        config = write_config(tmp_path / "c", first, old)
        program, where = await launch(tmp_path / "c")
        client = await connect(where)
        assert (await client.fetch(request()))[0] == 200
        moved = json.dumps({**config, "discovery": second.address})
        for text in ("{", moved):   # a broken file changes nothing
            (tmp_path / "c").write_text(text)
            program.send_signal(signal.SIGHUP)
            assert program.stderr is not None
            line = b""
            while b"SIGHUP" not in line:
                line = await program.stderr.readline()
                assert line, "the program has ended"
        _, writer = await second.calls.get()
        second.send_head(writer)
        second.send_update(writer, 1, [new.instance()], reset=True)
        number = 0
        while new.received.empty():
            number += 1
            assert (await client.fetch(request(rid=f"n{number}")))[0] == 200
        client.writer.close()
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == 0
    run_scenario(scene)


async def lines_until(program: asyncio.subprocess.Process, text: str) -> str:
    """Read the program's log up to a line with this text."""
    assert program.stderr is not None
    while True:
        line = (await program.stderr.readline()).decode()
        assert line, "the program has ended"
        if text in line:
            return line


def test_a_new_process_takes_over_and_nothing_is_turned_back(tmp_path: Path, free_port: int) -> None:
    async def scene() -> None:
        host, discovery = await FakeHost(response=None).start(), await FakeDiscovery(sends_first_update=True).start()
        config = write_config(tmp_path / "c", discovery, host)
        (tmp_path / "gateway-127.0.0.1-0-leftover").touch()
        listen = f"127.0.0.1:{free_port}"
        (tmp_path / "c").write_text(json.dumps({**config, "listen": listen}))
        old, where = await launch(tmp_path / "c", TMPDIR=str(tmp_path))
        (tmp_path / f"gateway-127.0.0.1-{free_port}-leftover").write_bytes(b"serving\n")   # of a killed one
        _, watch = await discovery.calls.get()
        busy, idle = await connect(where), await connect(where)
        assert (await idle.fetch(READY))[0] == 200
        busy.send(request())
        seen = await host.received.get()
        launching = asyncio.ensure_future(launch(tmp_path / "c", TMPDIR=str(tmp_path)))
        _, watch = await discovery.calls.get()   # the new one hears of the list before it listens
        assert not launching.done()
        discovery.send_head(watch)
        discovery.send_update(watch, 42, [host.instance()], reset=True)
        new, again = await launching
        assert again == where
        old.send_signal(signal.SIGTERM)
        await lines_until(old, "another process takes the clients")
        assert (await idle.fetch(READY))[0] == 200   # the address still takes clients
        late = await connect(where)
        late.send(request(rid="late"))
        (await host.received.get()).respond()
        status, headers, _ = await late.read_response()
        assert (status, headers.get("connection")) == (200, None)   # by the new one
        seen.respond()
        status, headers, _ = await busy.read_response()
        assert (status, headers["connection"]) == (200, "close")
        busy.writer.close()
        assert await old.wait() == 0
        await lines_until(new, "another process of this gateway has ended")
        new.send_signal(signal.SIGTERM)
        late.writer.close()
        assert await new.wait() == 0
        assert [path.name for path in tmp_path.iterdir() if path.name.startswith("gateway")] == [
            "gateway-127.0.0.1-0-leftover"]
    run_scenario(scene)


def test_a_start_beside_another_process_leaves_it_most_of_the_time(tmp_path: Path) -> None:
    """At full speed both went over their share of the core, and were stopped together."""
    other = Handover(("127.0.0.1", 7070), str(tmp_path))
    other.register()
    begun, used = time.monotonic(), resource.getrusage(resource.RUSAGE_CHILDREN)
    done = subprocess.run(COMMAND, cwd=ROOT, check=False, timeout=20, capture_output=True,
                          env={**os.environ, "EDGE_CONFIG": "", "TMPDIR": str(tmp_path)})
    took, now = time.monotonic() - begun, resource.getrusage(resource.RUSAGE_CHILDREN)
    assert done.returncode == 2   # it has started, and found nothing to be told
    assert took > 2 * (now.ru_utime + now.ru_stime - used.ru_utime - used.ru_stime)
    other.close()


def test_a_starting_process_tells_the_other_one_before_it_is_ready(tmp_path: Path,
                                                                   monkeypatch: pytest.MonkeyPatch) -> None:
    """The old one learnt of it half a second later, with all of the clients' connections full by then."""
    (tmp_path / "c").write_text(json.dumps({"listen": "127.0.0.1:7070"}))
    monkeypatch.setenv("EDGE_CONFIG", str(tmp_path / "c"))
    monkeypatch.delenv("EDGE_LISTEN", raising=False)
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    serving = Handover(("127.0.0.1", 7070))
    serving.register()
    monkeypatch.setattr("gateway.__main__.PAUSE_FACTOR", 0)
    told: list[bool] = []
    real = importlib.import_module

    def step(name: str) -> ModuleType:
        told.append(serving.other_running())
        return real(name)

    def main(handover: Handover) -> int:
        told.append(serving.other_running())
        handover.close()
        return 0
    monkeypatch.setattr(importlib, "import_module", step)
    monkeypatch.setattr(program, "main", main)
    assert start() == 0
    assert told[0] is False          # at its first step
    assert told[-2:] == [True, True]   # and without a gap, as the program takes the same file over
    serving.close()


@pytest.mark.parametrize("taken", ["listen", "operator"])
def test_an_address_that_is_taken_is_one_plain_line(taken: str, tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as other:
        path = tmp_path / "config.json"
        path.write_text(json.dumps({
            "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": SETTINGS,
            taken: f"127.0.0.1:{other.getsockname()[1]}"}))
        done = subprocess.run(COMMAND, cwd=ROOT, env={**os.environ, "EDGE_CONFIG": str(path)},
                              capture_output=True, timeout=20, text=True, check=False)
    assert done.returncode == 1
    assert done.stderr.splitlines()[-1].startswith("gateway: can't listen: ")


async def hup(program: asyncio.subprocess.Process) -> str:
    """SIGHUP, and what the program says of it."""
    program.send_signal(signal.SIGHUP)
    return await lines_until(program, "SIGHUP")


async def operator_figures(port: int) -> dict[str, int]:
    """The figures, from the operators' address."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET /_vars HTTP/1.1\r\nHost: x\r\n\r\n")
    body = (await reader.read()).partition(b"\r\n\r\n")[2].decode()
    writer.close()
    return {name: int(value) for name, _, value in (line.partition("=") for line in body.splitlines())}


def test_classes_are_added_dropped_and_changed_at_sighup(tmp_path: Path, free_port: int) -> None:
    async def scene() -> None:
        host, discovery = await FakeHost(response=None).start(), await FakeDiscovery(sends_first_update=True).start()
        told = write_config(tmp_path / "c", discovery, host)
        told["operator"] = f"127.0.0.1:{free_port}"
        (tmp_path / "c").write_text(json.dumps(told))
        program, where = await launch(tmp_path / "c")
        early, client = await connect(where), await connect(where)
        early.send(request(rid="early"))
        seen = await host.received.get()
        read, keyed, once = SETTINGS["request-classes"]
        told["settings"] = {**SETTINGS, "request-classes": [
            {**keyed, "name": "new"}, {**once, "effect": "read_like"}]}
        (tmp_path / "c").write_text(json.dumps(told))
        assert "discovery is at" in await hup(program)
        seen.respond(LAST)
        assert (await early.read_response())[0] == 200   # it came under the old rules
        assert (await client.fetch(request(rid="r1")))[0] == 404          # dropped
        assert (await client.fetch(request("once", rid="r2")))[0] == 400   # safe now: it comes as GET
        as_get = request("read", rid="r3", X_Priority_Class="once").replace(b"GET /read", b"GET /once")
        as_keyed = request("keyed", rid="r4", X_Priority_Class="new").replace(b"/keyed", b"/new")
        for data in (as_get, as_keyed):
            client.send(data)
            (await host.received.get()).respond(LAST)
            assert (await client.read_response())[0] == 200
        figures = await operator_figures(free_port)
        assert {name: figures[f"svc.{name}"] for name in (
            "downstream_requests.read.completed", "downstream_requests.new.completed",
            "downstream_requests.once.completed", "config_reloads", "config_reload_errors")} == {
            "downstream_requests.read.completed": 1, "downstream_requests.new.completed": 1,
            "downstream_requests.once.completed": 1, "config_reloads": 1, "config_reload_errors": 0}
        early.writer.close()
        client.writer.close()
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == 0
    run_scenario(scene)


def test_a_file_that_is_not_right_is_turned_down_whole(tmp_path: Path, free_port: int) -> None:
    async def scene() -> None:
        host, discovery = await FakeHost().start(), await FakeDiscovery(sends_first_update=True).start()
        elsewhere = await FakeDiscovery().start()
        told = write_config(tmp_path / "c", discovery, host)
        told["operator"] = f"127.0.0.1:{free_port}"
        (tmp_path / "c").write_text(json.dumps(told))
        program, where = await launch(tmp_path / "c")
        told["discovery"] = elsewhere.address
        rows, caps = SETTINGS["request-classes"], SETTINGS["caps"]

        def changed(**settings: Any) -> str:
            return json.dumps({**told, "settings": {**SETTINGS, **settings}})
        bad = ["", json.dumps(told)[:-30], "[]", json.dumps({**told, "settings": {}}),
               json.dumps({key: value for key, value in told.items() if key != "discovery"}),
               changed(caps={key: value for key, value in caps.items() if key != "max-attempts"}),
               changed(**{"request-classes": [rows[0], {**rows[1], "name": "read"}]})]
        bad += [changed(**{"request-classes": [{key: rows[0][key] for key in rows[0] if key != lack}]})
                for lack in rows[0]]
        for value in ("5", None, True, float("nan"), float("inf"), 0, -1, [3], 10 ** 400):
            bad += [changed(caps={**caps, "max-attempts": value}),
                    changed(**{"request-classes": [{**rows[0], "give-up-ns": value}, *rows[1:]]})]
        for text in bad:
            (tmp_path / "c").write_text(text)
            assert "stays as it was: " in await hup(program), text
        figures = await operator_figures(free_port)
        assert (figures["svc.config_reloads"], figures["svc.config_reload_errors"]) == (0, len(bad))
        client = await connect(where)
        assert (await client.fetch(request("once")))[0] == 200
        assert elsewhere.calls.empty()
        client.writer.close()
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == 0
    run_scenario(scene)
