"""The gateway as a process: configuration, signals, descriptors and takeover."""

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
from tests.sockets import CLOSING_RESPONSE, SETTINGS, Client, FakeDiscovery, FakeHost, request, run_scenario

ROOT = Path(__file__).parent.parent
COMMAND = [sys.executable, "-B", "-m", "gateway"]
READY = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"


def write_config(path: Path, discovery: FakeDiscovery, *hosts: FakeHost) -> dict[str, Any]:
    config = {"listen": "127.0.0.1:0", "discovery": discovery.address, "seed": "7", "settings": SETTINGS,
              "known": {"generation": 41, "reset": True, "instances": [host.instance() for host in hosts]}}
    path.write_text(json.dumps(config))
    return config


async def launch(path: Path, sockets: int = 0,
                 **environ: str) -> tuple[asyncio.subprocess.Process, tuple[str, int]]:
    """Start the program; return it and its address, which it logs once it listens."""
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


async def connect(address: tuple[str, int]) -> Client:
    return Client(*await asyncio.open_connection(*address))


async def connect_until_served(address: tuple[str, int]) -> Client:
    """Connect until a client's request is served, and return that client."""
    while True:
        client = await connect(address)
        try:
            if (await client.fetch(request()))[0] == 200:
                return client
        except (OSError, asyncio.IncompleteReadError):
            pass   # refused: no connection available
        client.writer.close()


@pytest.mark.parametrize("text", [None, "", "{", "[]", "{}", '{"listen": "x", "discovery": "127.0.0.1:1"}',
                                  '{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": 7}'])
def test_invalid_configuration_is_reported_in_one_line(text: str | None, tmp_path: Path) -> None:
    """The program must exit with status 2 and one line for the operator, not with a traceback."""
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    done = subprocess.run(COMMAND, cwd=ROOT, env={**os.environ, "EDGE_CONFIG": str(path)},
                          capture_output=True, timeout=20, text=True, check=False)
    assert (done.returncode, done.stdout, done.stderr.count("\n")) == (2, "", 1)
    assert done.stderr.startswith("gateway: EDGE_CONFIG: ")


def test_open_and_new_requests_are_answered_after_sigterm(tmp_path: Path) -> None:
    """Load balancers notice a shutdown with a delay, and go on sending new connections for a while.

    Open requests must be completed, new ones answered, and idle connections closed, before the process exits.
    """
    async def scene() -> None:
        host, discovery = await FakeHost(response=None).start(), await FakeDiscovery(sends_first_update=True).start()
        write_config(tmp_path / "c", discovery, host)
        program, address = await launch(tmp_path / "c")
        idle, busy = await connect(address), await connect(address)
        assert (await idle.fetch(READY))[0] == 200
        busy.send(request())
        seen = await host.received.get()
        program.send_signal(signal.SIGTERM)
        late = await connect(address)            # new connections are still accepted for a while
        while (answer := await late.fetch(READY))[0] == 200:
            pass                                 # the signal has not been handled yet
        assert (answer[0], answer[1]["connection"]) == (503, "close")
        assert await idle.reader.read() == b""   # closed while idle
        seen.respond()
        status, headers, _ = await busy.read_response()
        assert (status, headers["connection"]) == (200, "close")
        busy.writer.close()
        late.writer.close()
        assert await program.wait() == 0
    run_scenario(scene)


def test_process_can_be_restarted_on_its_address_after_sigkill(tmp_path: Path) -> None:
    """Connections of a killed process may still exist in the kernel; they must not block the next process's bind."""
    async def scene() -> None:
        host, discovery = await FakeHost(response=None).start(), await FakeDiscovery(sends_first_update=True).start()
        config = write_config(tmp_path / "c", discovery, host)
        program, address = await launch(tmp_path / "c")
        busy = await connect(address)
        busy.send(request())
        await host.received.get()
        program.kill()
        await program.wait()
        (tmp_path / "c").write_text(json.dumps({**config, "listen": f"{address[0]}:{address[1]}"}))
        program, new_address = await launch(tmp_path / "c")
        assert new_address == address
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == 0
    run_scenario(scene)


@pytest.mark.parametrize("sockets", [64, 128, 256])
@pytest.mark.parametrize("data", [b"", b"GET /", READY])
def test_idle_clients_leave_descriptors_for_discovery_hosts_and_operators(
        data: bytes, sockets: int, free_port: int, tmp_path: Path) -> None:
    """While discovery is down, idle clients take all the descriptors that the gateway has for them.

    Connections to discovery and hosts, and those of operators, must still get descriptors once discovery is back.
    """
    async def scene() -> None:
        host, discovery = await FakeHost().start(), FakeDiscovery()
        with socket.create_server(("127.0.0.1", 0)) as free:   # a free port: nothing listens on it
            port = free.getsockname()[1]
        discovery.address = f"127.0.0.1:{port}"
        config = write_config(tmp_path / "c", discovery, host)
        config.update(operator=f"127.0.0.1:{free_port}", limits={"sockets": sockets},
                      known={"generation": 41, "reset": True, "instances": []})
        (tmp_path / "c").write_text(json.dumps(config))
        program, address = await launch(tmp_path / "c", sockets=sockets)
        idle_socks = []
        for _ in range(2 * sockets):   # more at once than the limit, and than one event-loop iteration can refuse
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(address)
            idle_socks.append(sock)
        for sock in idle_socks:
            with suppress(OSError):
                sock.send(data)
        server = await asyncio.start_server(discovery.serve, "127.0.0.1", port)
        request_line, writer = await discovery.calls.get()
        assert "watch=1" in request_line
        discovery.send_head(writer)
        discovery.send_update(writer, 42, [host.instance()], reset=True)
        operator = await connect(("127.0.0.1", free_port))
        assert (await operator.fetch(b"GET /_vars HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200
        await connect_until_served(address)   # the idle clients are still connected
        for sock in idle_socks:
            sock.close()
        server.close()
        program.kill()
        await program.wait()
    run_scenario(scene)


def test_process_survives_running_out_of_descriptors(tmp_path: Path) -> None:
    """accept() fails while 80 clients use up 40 descriptors; the program must serve again once they have left."""
    async def scene() -> None:
        host, discovery = await FakeHost().start(), await FakeDiscovery(sends_first_update=True).start()
        write_config(tmp_path / "c", discovery, host)
        program, address = await launch(tmp_path / "c", sockets=40)
        clients = [await connect(address) for _ in range(80)]
        for client in clients:
            client.writer.close()
        client = await connect_until_served(address)   # served as soon as the gateway notices that the others have left
        assert program.returncode is None
        program.send_signal(signal.SIGTERM)
        client.writer.close()
        assert await program.wait() == 0
    run_scenario(scene)


def test_sighup_switches_to_the_discovery_address_in_the_file(tmp_path: Path) -> None:
    """SIGHUP must not end the program, and a malformed file must change nothing.

    A valid file with another address of discovery replaces the watch and the list of hosts.
    """
    async def scene() -> None:
        old, new = await FakeHost("h0").start(), await FakeHost("h1").start()
        first, second = await FakeDiscovery(sends_first_update=True).start(), await FakeDiscovery().start()
        config = write_config(tmp_path / "c", first, old)
        program, address = await launch(tmp_path / "c")
        client = await connect(address)
        assert (await client.fetch(request()))[0] == 200
        moved = json.dumps({**config, "discovery": second.address})
        for text in ("{", moved):   # a malformed file changes nothing
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


async def read_log_until(program: asyncio.subprocess.Process, text: str) -> str:
    """Read the program's log up to a line that contains this text; return the line."""
    assert program.stderr is not None
    while True:
        line = (await program.stderr.readline()).decode()
        assert line, "the program has ended"
        if text in line:
            return line


def test_new_process_takes_over_without_a_failed_request(tmp_path: Path, free_port: int) -> None:
    """During an upgrade two processes share the address, and the old one gets SIGTERM.

    The new process must have a list before it listens, the old one must complete its requests, and files of killed
    processes must neither count as a running process nor be left behind.
    """
    async def scene() -> None:
        host, discovery = await FakeHost(response=None).start(), await FakeDiscovery(sends_first_update=True).start()
        config = write_config(tmp_path / "c", discovery, host)
        (tmp_path / "gateway-127.0.0.1-0-leftover").touch()
        listen = f"127.0.0.1:{free_port}"
        (tmp_path / "c").write_text(json.dumps({**config, "listen": listen}))
        old, address = await launch(tmp_path / "c", TMPDIR=str(tmp_path))
        (tmp_path / f"gateway-127.0.0.1-{free_port}-leftover").write_bytes(b"serving\n")   # left by a killed process
        _, watch = await discovery.calls.get()
        busy, idle = await connect(address), await connect(address)
        assert (await idle.fetch(READY))[0] == 200
        busy.send(request())
        seen = await host.received.get()
        discovery.sends_first_update = False
        launching = asyncio.ensure_future(launch(tmp_path / "c", TMPDIR=str(tmp_path)))
        _, watch = await discovery.calls.get()
        listening, _ = await asyncio.wait({launching}, timeout=0.3)   # it has no list yet
        assert not listening
        discovery.send_head(watch)
        discovery.send_update(watch, 42, [host.instance()], reset=True)
        new, new_address = await launching
        assert new_address == address
        old.send_signal(signal.SIGTERM)
        await read_log_until(old, "another process takes the clients")
        assert (await idle.fetch(READY))[0] == 200   # the address still accepts clients
        late = await connect(address)
        late.send(request(rid="late"))
        (await host.received.get()).respond()
        status, headers, _ = await late.read_response()
        assert (status, headers.get("connection")) == (200, None)   # from the new process
        seen.respond()
        status, headers, _ = await busy.read_response()
        assert (status, headers["connection"]) == (200, "close")
        busy.writer.close()
        assert await old.wait() == 0
        await read_log_until(new, "another process of this gateway has ended")
        new.send_signal(signal.SIGTERM)
        late.writer.close()
        assert await new.wait() == 0
        assert [path.name for path in tmp_path.iterdir() if path.name.startswith("gateway")] == [
            "gateway-127.0.0.1-0-leftover"]
    run_scenario(scene)


def test_process_that_starts_while_another_serves_uses_little_cpu_time(tmp_path: Path) -> None:
    """At full speed the two processes exceed their CPU quota and are throttled together."""
    other = Handover(("127.0.0.1", 7070), str(tmp_path))
    other.register()
    started_at, usage_before = time.monotonic(), resource.getrusage(resource.RUSAGE_CHILDREN)
    done = subprocess.run(COMMAND, cwd=ROOT, check=False, timeout=20, capture_output=True,
                          env={**os.environ, "EDGE_CONFIG": "", "TMPDIR": str(tmp_path)})
    elapsed_s, usage_after = time.monotonic() - started_at, resource.getrusage(resource.RUSAGE_CHILDREN)
    assert done.returncode == 2   # it has started, and found no configuration
    assert elapsed_s > 2 * (usage_after.ru_utime + usage_after.ru_stime - usage_before.ru_utime - usage_before.ru_stime)
    other.close()


def test_starting_process_is_visible_to_the_other_one_before_it_is_ready(tmp_path: Path,
                                                                         monkeypatch: pytest.MonkeyPatch) -> None:
    """If the old process detects the new one half a second late, its client connections are all in use by then."""
    (tmp_path / "c").write_text(json.dumps({"listen": "127.0.0.1:7070"}))
    monkeypatch.setenv("EDGE_CONFIG", str(tmp_path / "c"))
    monkeypatch.delenv("EDGE_LISTEN", raising=False)
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    serving = Handover(("127.0.0.1", 7070))
    serving.register()
    monkeypatch.setattr("gateway.__main__.PAUSE_FACTOR", 0)
    visible: list[bool] = []
    import_module = importlib.import_module

    def import_and_check(name: str) -> ModuleType:
        visible.append(serving.other_running())
        return import_module(name)

    def main(handover: Handover) -> int:
        visible.append(serving.other_running())
        handover.close()
        return 0
    monkeypatch.setattr(importlib, "import_module", import_and_check)
    monkeypatch.setattr(program, "main", main)
    assert start() == 0
    assert visible[0] is False          # before its first import
    assert visible[-2:] == [True, True]   # without a gap: the program keeps using the same file
    serving.close()


@pytest.mark.parametrize("taken", ["listen", "operator"])
def test_address_in_use_is_reported_in_one_line(taken: str, tmp_path: Path) -> None:
    """The program must exit with status 1 and one line for the operator, not with a traceback."""
    with socket.create_server(("127.0.0.1", 0)) as other:
        path = tmp_path / "config.json"
        path.write_text(json.dumps({
            "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": SETTINGS,
            taken: f"127.0.0.1:{other.getsockname()[1]}"}))
        done = subprocess.run(COMMAND, cwd=ROOT, env={**os.environ, "EDGE_CONFIG": str(path)},
                              capture_output=True, timeout=20, text=True, check=False)
    assert done.returncode == 1
    assert done.stderr.splitlines()[-1].startswith("gateway: can't listen: ")


async def reload(program: asyncio.subprocess.Process) -> str:
    """Send SIGHUP; return the log line about it."""
    program.send_signal(signal.SIGHUP)
    return await read_log_until(program, "SIGHUP")


async def read_operator_metrics(port: int) -> dict[str, int]:
    """Read the metrics from the operators' address."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET /_vars HTTP/1.1\r\nHost: x\r\n\r\n")
    body = (await reader.read()).partition(b"\r\n\r\n")[2].decode()
    writer.close()
    return {name: int(value) for name, _, value in (line.partition("=") for line in body.splitlines())}


def test_request_classes_are_added_removed_and_changed_at_sighup(tmp_path: Path, free_port: int) -> None:
    """A request that is open during the reload must be completed under the old settings.

    Later requests must follow the new ones, and the counters of removed classes must stay.
    """
    async def scene() -> None:
        host, discovery = await FakeHost(response=None).start(), await FakeDiscovery(sends_first_update=True).start()
        config = write_config(tmp_path / "c", discovery, host)
        config["operator"] = f"127.0.0.1:{free_port}"
        (tmp_path / "c").write_text(json.dumps(config))
        program, address = await launch(tmp_path / "c")
        early, client = await connect(address), await connect(address)
        early.send(request(rid="early"))
        seen = await host.received.get()
        read, keyed, once = SETTINGS["request-classes"]
        config["settings"] = {**SETTINGS, "request-classes": [
            {**keyed, "name": "new"}, {**once, "effect": "read_like"}]}
        (tmp_path / "c").write_text(json.dumps(config))
        assert "discovery is at" in await reload(program)
        seen.respond(CLOSING_RESPONSE)
        assert (await early.read_response())[0] == 200   # received under the old settings
        assert (await client.fetch(request(rid="r1")))[0] == 404          # removed
        assert (await client.fetch(request("once", rid="r2")))[0] == 400   # safe now: must be sent as GET
        as_get = request("read", rid="r3", X_Priority_Class="once").replace(b"GET /read", b"GET /once")
        as_keyed = request("keyed", rid="r4", X_Priority_Class="new").replace(b"/keyed", b"/new")
        for data in (as_get, as_keyed):
            client.send(data)
            (await host.received.get()).respond(CLOSING_RESPONSE)
            assert (await client.read_response())[0] == 200
        metrics = await read_operator_metrics(free_port)
        assert {name: metrics[f"svc.{name}"] for name in (
            "downstream_requests.read.completed", "downstream_requests.new.completed",
            "downstream_requests.once.completed", "config_reloads", "config_reload_errors")} == {
            "downstream_requests.read.completed": 1, "downstream_requests.new.completed": 1,
            "downstream_requests.once.completed": 1, "config_reloads": 1, "config_reload_errors": 0}
        early.writer.close()
        client.writer.close()
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == 0
    run_scenario(scene)


def test_invalid_file_at_sighup_changes_nothing(tmp_path: Path, free_port: int) -> None:
    """A file with one invalid value must be rejected completely.

    If a part of it took effect, the gateway would run with a mixture of old and new settings.
    """
    async def scene() -> None:
        host, discovery = await FakeHost().start(), await FakeDiscovery(sends_first_update=True).start()
        other_discovery = await FakeDiscovery().start()
        config = write_config(tmp_path / "c", discovery, host)
        config["operator"] = f"127.0.0.1:{free_port}"
        (tmp_path / "c").write_text(json.dumps(config))
        program, address = await launch(tmp_path / "c")
        config["discovery"] = other_discovery.address
        rows, caps = SETTINGS["request-classes"], SETTINGS["caps"]

        def changed(**settings: Any) -> str:
            return json.dumps({**config, "settings": {**SETTINGS, **settings}})
        bad = ["", json.dumps(config)[:-30], "[]", json.dumps({**config, "settings": {}}),
               json.dumps({key: value for key, value in config.items() if key != "discovery"}),
               changed(caps={key: value for key, value in caps.items() if key != "max-attempts"}),
               changed(**{"request-classes": [rows[0], {**rows[1], "name": "read"}]})]
        bad += [changed(**{"request-classes": [{key: rows[0][key] for key in rows[0] if key != missing}]})
                for missing in rows[0]]
        for value in ("5", None, True, float("nan"), float("inf"), 0, -1, [3], 10 ** 400):
            bad += [changed(caps={**caps, "max-attempts": value}),
                    changed(**{"request-classes": [{**rows[0], "give-up-ns": value}, *rows[1:]]})]
        for text in bad:
            (tmp_path / "c").write_text(text)
            assert "stays as it was: " in await reload(program), text
        metrics = await read_operator_metrics(free_port)
        assert (metrics["svc.config_reloads"], metrics["svc.config_reload_errors"]) == (0, len(bad))
        client = await connect(address)
        assert (await client.fetch(request("once")))[0] == 200
        assert other_discovery.calls.empty()
        client.writer.close()
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == 0
    run_scenario(scene)
