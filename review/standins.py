"""Stand-ins for clients, hosts and discovery, and the start of the real gateway.  Standard library only.

They share no code with the gateway.  Everything that is sent, answered and run is written to a record.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not run."""


class Record:
    """The lines of record.txt, each with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()


def free_port() -> int:
    """A port of loopback that nobody uses."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def settings(**more: Any) -> dict[str, Any]:
    """The settings of a small deployment, with the names and figures of the page on the wire."""
    base: dict[str, Any] = {
        "az": 0, "zones": ["salon-a"], "flavors": ["orta"], "replicas-of-me": 1, "my-number": 0,
        "round-ns": 5_000_000, "discovery": "on_request", "family": "proxy", "realms": [],
        "callers": {"marks-retry": False},
        "caps": {"cancel": True, "conn-idle-ns": 30_000_000_000, "cpu-us-per-request": 0.0, "cpu-us-per-s": 500_000,
                 "dial-timeout-ns": 100_000_000, "max-attempts": 5, "max-retry-after-ns": 2_000_000_000,
                 "may-duplicate": False, "open-cap": 20_000, "peers": False, "probes": False, "retry-after": True,
                 "streams-per-conn": 1},
        "goal": {"whole": 0.55, "worst-class": 0.3, "worst-tenant": 0.0, "worst-window": 0.15},
        "load-report": {"columns": ["backlog", "recent_ms"], "source": "inline"},
        "rules": {"answer-slack-ns": 20_000_000, "ask-within-ns": 10_000_000_000, "cold-from": 0.12,
                  "drain-grace-ns": 300_000_000, "fall-ns": 1_500_000_000, "overload-factor": 3.0,
                  "warm-within-ns": 24_000_000_000},
        "value-by": "request", "weights": "off",
        "request-classes": [
            {"name": "dinle", "effect": "read_like", "credit": 2.0, "give-up-ns": 800_000_000, "group": "all",
             "late-value": 0.5, "slo-ns": 200_000_000, "stream": False, "window-ns": 5_000_000_000},
            {"name": "yazi-kaydet", "effect": "idempotency_key", "credit": 10.0, "give-up-ns": 1_200_000_000,
             "group": "cell", "late-value": 0.2, "slo-ns": 400_000_000, "stream": False, "window-ns": 750_000_000},
            {"name": "hizala", "effect": "idempotency_key", "credit": 10.0, "give-up-ns": 5_000_000_000,
             "group": "zone", "late-value": 0.5, "slo-ns": 1_000_000_000, "stream": False,
             "window-ns": 5_000_000_000}]}
    return {**base, **more}


class Message:
    """A request that has arrived whole at a host."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.method, self.target, _ = first.split(" ", 2)
        self.headers = headers
        self.body = body

    @property
    def id(self) -> str:
        """The client's id of the request."""
        return self.headers.get("x-request-id", "")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """The first line and the headers of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    return first, {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """The body of a message with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Host:
    """A host: it answers each request by `answer`, which may be replaced."""

    def __init__(self, name: str, record: Record, zone: str = "salon-a", cell: int = 0) -> None:
        self.name, self.record, self.zone, self.cell = name, record, zone, cell
        self.lifecycle = "in_service"
        self.address = ""
        self.started_ms = 0
        self.run: list[str] = []   # ids of the requests that arrived whole
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Host:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                message = Message(first, headers, await read_body(reader, headers))
                self.run.append(message.id)
                self.record(f"{self.name} runs {message.method} {message.target} id={message.id} "
                            f"body={len(message.body)}")
                await self.answer(message, writer)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            writer.close()

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """A short answer after 20 ms."""
        await asyncio.sleep(0.02)
        body = f"{self.name} {message.id}".encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        await writer.drain()

    def entry(self) -> dict[str, Any]:
        """Its entry in discovery's list."""
        return {"instanceId": self.name, "hostPort": self.address, "zone": self.zone, "machineType": "orta",
                "cell": self.cell, "lifecycle": self.lifecycle, "weight": 1.0, "startedAtMs": self.started_ms}


class Discovery:
    """Discovery: the whole list or a watch, an empty line every 2 s while nothing changes."""

    def __init__(self, record: Record, hosts: list[Host]) -> None:
        self.record, self.hosts = record, hosts
        self.generation = 41
        self.address = ""
        self._watches: set[asyncio.StreamWriter] = set()

    async def start(self) -> Discovery:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        return self

    def list(self) -> dict[str, Any]:
        """The whole list."""
        return {"generation": self.generation, "reset": True, "instances": [host.entry() for host in self.hosts]}

    def tell(self, host: Host, lifecycle: str) -> None:
        """Change the state of a host and tell it on all watches."""
        host.lifecycle = lifecycle
        self.generation += 1
        self.record(f"discovery tells {host.name} {lifecycle} generation={self.generation}")
        update = {"generation": self.generation, "reset": False, "instances": [host.entry()]}
        for writer in self._watches:
            self._chunk(writer, json.dumps(update).encode() + b"\n")

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, _ = await read_head(reader)
                text = json.dumps(self.list()).encode()
                if "watch=1" not in first:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self._chunk(writer, text + b"\n")
                self._watches.add(writer)
                while not writer.is_closing():
                    await asyncio.sleep(2)
                    self._chunk(writer, b"\n")
                    await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._watches.discard(writer)
            writer.close()


class Gateway:
    """A real gateway, started by `run` of the deploy file."""

    def __init__(self, record: Record, discovery: Discovery, config: dict[str, Any], more: dict[str, Any]) -> None:
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.port, self.operator_port = free_port(), free_port()
        self.config = {
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "operator": f"127.0.0.1:{self.operator_port}",
            "discovery": discovery.address, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.list(), "settings": config, **more}
        self.path = Path(self.folder.name) / "config.json"
        (Path(self.folder.name) / "tmp").mkdir()
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, log: Path) -> None:
        """Start the process."""
        self.path.write_text(json.dumps(self.config))
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environ = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        environ |= {"EDGE_CONFIG": str(self.path), "TMPDIR": str(Path(self.folder.name) / "tmp")}
        with open(log, "wb") as file:
            self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environ, stdout=file, stderr=file,
                                            stdin=subprocess.DEVNULL)
        self.record(f"gateway started, pid {self.process.pid}")

    async def ready(self) -> None:
        """Wait until it takes clients."""
        for _ in range(200):
            if self.process is not None and self.process.poll() is not None:
                raise NotRun(f"the gateway ended with {self.process.returncode}")
            try:
                if (await self.operator("GET", "/_ready")) == 200:
                    self.record("gateway is ready")
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise NotRun("the gateway did not get ready")

    async def operator(self, method: str, path: str) -> int:
        """A call of the operators; returns its status."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.operator_port)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: op\r\nContent-Length: 0\r\n\r\n".encode())
        try:
            first, _ = await read_head(reader)
        finally:
            writer.close()
        self.record(f"operator {method} {path} -> {first}")
        return int(first.split(" ")[1])

    def alive(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def end(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        self.folder.cleanup()


def request(cls: str, rid: str, timeout_ms: int, body: bytes = b"", method: str = "", key: str = "",
            more: str = "") -> bytes:
    """The bytes of a client's request."""
    method = method or ("GET" if cls == "dinle" else "POST")
    head = (f"{method} /{cls}/klip?n=1 HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {rid}\r\n"
            f"X-Priority-Class: {cls}\r\nX-Timeout-Ms: {timeout_ms}\r\n{more}")
    if key:
        head += f"Idempotency-Key: {key}\r\n"
    if method != "GET" or body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def main(folder: Path, play: Any) -> None:
    """Run `play(record)`, which returns an exit code, within 110 s."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))   # so that the play ends what it has started
    record = Record(folder)
    record(f"TROUBLE={int(TROUBLE)}")
    try:
        code = asyncio.run(asyncio.wait_for(play(record), 110))
    except (NotRun, TimeoutError, OSError) as error:
        record(f"the case could not run: {error!r}")
        code = NOT_RUN
    record(f"exit {code}: {('the rule held', 'the rule was broken', 'not run')[code]}")
    print(f"exit {code}")
    sys.exit(code)
