"""Stand-ins and helpers of the cases 6 to 10: discovery, hosts, clients, and the start of gateways.

Only the standard library is used.  Every address is on the loopback network, and every port is chosen by the kernel.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECOND = 1_000_000_000
CLASSES = [
    {"name": "dinle", "effect": "read_like", "give-up-ns": 800_000_000, "slo-ns": 200_000_000, "credit": 2.0,
     "late-value": 0.5, "group": "all", "stream": False, "window-ns": 5 * SECOND},
    {"name": "yazi-kaydet", "effect": "idempotency_key", "give-up-ns": 1_200_000_000, "slo-ns": 400_000_000,
     "credit": 10.0, "late-value": 0.2, "group": "cell", "stream": False, "window-ns": 750_000_000},
    {"name": "hizala", "effect": "idempotency_key", "give-up-ns": 5 * SECOND, "slo-ns": SECOND, "credit": 10.0,
     "late-value": 0.5, "group": "zone", "stream": False, "window-ns": 5 * SECOND},
]


class Record:
    """The file record.txt of a case: one line per event, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._started = time.monotonic()
        self._path = folder / "record.txt"
        self._path.write_text("")
        self("case", folder.name, "trouble" if TROUBLE else "no trouble")

    def __call__(self, *words: Any) -> None:
        with open(self._path, "a") as file:
            print(f"{time.monotonic() - self._started:8.3f}", *words, file=file)


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Discovery:
    """Discovery in pull mode: the whole list, and watches with an empty line every 2 s."""

    def __init__(self, rows: list[dict[str, Any]]) -> None:
        self.rows, self.generation = rows, 41
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    def listing(self) -> dict[str, Any]:
        return {"generation": self.generation, "reset": True, "instances": self.rows}

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Discovery goes down: its watches end, and new calls are refused."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            body = json.dumps(self.listing()).encode()
            if b"watch=1" not in head:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
                writer.close()
                return
            self._writers.add(writer)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = body + b"\n"
            while True:
                writer.write(b"%x\r\n%b\r\n" % (len(line), line))
                await writer.drain()
                await asyncio.sleep(2.0)
                line = b"\n"


class Message:
    """A request as a host has read it."""

    def __init__(self, head: bytes, body: bytes) -> None:
        self.line, *lines = head.decode("latin-1").split("\r\n")
        self.headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":")
                                                                                   for line in lines if line)}
        self.body = body
        self.id = self.headers.get("x-request-id", "")


async def read_message(reader: asyncio.StreamReader, pace: Callable[[], Awaitable[int]] | None = None) -> Message:
    """Read one message; with `pace`, its body in pieces of the size that the call returns."""
    head = await reader.readuntil(b"\r\n\r\n")
    message = Message(head[:-4], b"")
    body = bytearray()
    left = int(message.headers.get("content-length", "0"))
    while left:
        size = min(left, await pace()) if pace is not None else left
        body += await reader.readexactly(size)
        left -= size
    message.body = bytes(body)
    return message


Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def start_host(handler: Handler, receive_bytes: int = 0) -> int:
    """Start a host whose connections `handler` serves; returns its port."""
    sock = socket.socket()
    if receive_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    sock.bind(("127.0.0.1", 0))

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await handler(reader, writer)
        writer.close()
    server = await asyncio.start_server(serve, sock=sock, limit=64 * 1024)
    return int(server.sockets[0].getsockname()[1])


def answer(body: bytes, *headers: str, status: str = "200 OK") -> bytes:
    head = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


def host_row(number: int, port: int, zone: str = "salon-a", cell: int = 0) -> dict[str, Any]:
    return {"instanceId": f"s-{number}", "hostPort": f"127.0.0.1:{port}", "zone": zone, "machineType": "orta",
            "cell": cell, "lifecycle": "in_service", "weight": 1.0, "startedAtMs": 0}


def request(cls: str, number: str, timeout_ms: int, body: bytes | None = None, length: int = 0,
            lines: Sequence[str] = ()) -> bytes:
    """The head of a request, and its body if there is one; `length`: of a body that the caller sends itself."""
    lines = [f"{'GET' if body is None and not length else 'POST'} /{cls} HTTP/1.1", "Host: app.svc",
             f"X-Request-ID: {number}", f"X-Priority-Class: {cls}", f"X-Timeout-Ms: {timeout_ms}", *lines]
    if body is not None or length:
        lines += [f"Idempotency-Key: k{number}", f"Content-Length: {length or len(body or b'')}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")


class LongAnswers:
    """Hosts that give long answers, and clients that read them in pieces."""

    def __init__(self, record: Record, size: int) -> None:
        self.record, self.size = record, size
        self.given: dict[str, int] = {}
        self.results: dict[str, str] = {}

    async def host(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer each request with `size` bytes, as fast as they are taken."""
        while True:
            await self.give(writer, await read_message(reader))

    async def give(self, writer: asyncio.StreamWriter, message: Message) -> None:
        """Answer one request."""
        self.record("host answers", message.id)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % self.size)
        self.given[message.id] = 0
        while self.given[message.id] < self.size:
            part = bytes(min(50_000, self.size - self.given[message.id]))
            writer.write(part)
            try:
                await writer.drain()
            except OSError:
                self.record("host: the gateway has ended the connection of", message.id, "after",
                            self.given[message.id], "bytes")
                raise
            self.given[message.id] += len(part)

    async def read(self, port: int, name: str, piece: int, wait_s: float, ends_at: float, *lines: str) -> None:
        """A client that reads its answer a piece at a time, with a wait before each piece but the first.

        `lines`: further header lines of its request.
        """
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        head, data, want = b"", 0, 1 << 62
        try:
            await loop.sock_connect(sock, ("127.0.0.1", port))
            await loop.sock_sendall(sock, request("dinle", name, 800, lines=lines))
            while data < want and time.monotonic() < ends_at:
                if data and wait_s:
                    await asyncio.sleep(wait_s)
                got = 0
                while got < piece and data < want:
                    part = await loop.sock_recv(sock, piece - got)
                    if not part:
                        raise ConnectionError("closed before its end")
                    got += len(part)
                    data += len(part)
                    if want == 1 << 62:
                        head += part
                        if b"\r\n\r\n" in head:
                            start = head.index(b"\r\n\r\n") + 4
                            want = start + int(head[:start].lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
                            self.record("client", name, "reads", head[:15].decode(), "of", want, "bytes")
            self.results[name] = "still reading" if data < want else \
                "whole" if head.startswith(b"HTTP/1.1 200") else head[9:12].decode()
        except OSError as error:
            self.results[name] = f"CUT: {error!r}" if head.startswith(b"HTTP/1.1 200") else f"no answer: {error!r}"
        self.record("client", name, "has read", data, "bytes:", self.results[name])
        sock.close()

    def cut(self) -> list[str]:
        """Requests whose answer had begun and was cut off."""
        self.record("answers", len(self.results), "cut",
                    sum(result.startswith("CUT") for result in self.results.values()))
        return [name for name, result in self.results.items() if result.startswith("CUT")]


class Place:
    """A deployment of one zone: its folder, discovery and gateways, which are ended at the end."""

    def __init__(self, record: Record, discovery: Discovery, memory_mb: int = 80, sockets: int = 384) -> None:
        self.record, self.discovery = record, discovery
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.memory_mb, self.sockets = memory_mb, sockets
        self.processes: list[asyncio.subprocess.Process] = []
        self.listen = self.operator = 0

    def settings(self) -> dict[str, Any]:
        return {"az": 0, "zones": ["salon-a", "salon-b", "salon-c"], "flavors": ["hizli", "orta", "yavas"],
                "discovery": "on_request", "my-number": 0, "replicas-of-me": 1, "round-ns": 5_000_000,
                "callers": {"marks-retry": False}, "value-by": "request", "weights": "off", "realms": [],
                "caps": {"cancel": True, "conn-idle-ns": 30 * SECOND, "dial-timeout-ns": 100_000_000,
                         "max-attempts": 5, "max-retry-after-ns": 2 * SECOND, "may-duplicate": False,
                         "open-cap": 20000, "peers": False, "probes": True, "retry-after": True,
                         "streams-per-conn": 1},
                "load-report": {"columns": ["backlog", "recent_ms"], "source": "inline"},
                "rules": {"answer-slack-ns": 20_000_000, "ask-within-ns": 10 * SECOND, "cold-from": 0.12,
                          "drain-grace-ns": 300_000_000, "fall-ns": 1_500_000_000, "overload-factor": 3.0,
                          "warm-within-ns": 24 * SECOND},
                "goal": {"whole": 0.55, "worst-class": 0.3, "worst-tenant": 0.0, "worst-window": 0.15},
                "request-classes": CLASSES}

    async def start_gateway(self) -> asyncio.subprocess.Process:
        """Start a gateway with the command of the deploy file, and wait until it takes clients."""
        self.listen, self.operator = free_port(), free_port()
        config = {"name": "n0", "listen": f"127.0.0.1:{self.listen}", "operator": f"127.0.0.1:{self.operator}",
                  "discovery": f"127.0.0.1:{self.discovery.port}", "seed": "8c1f30d27a5be964",
                  "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
                  "known": self.discovery.listing(), "settings": self.settings()}
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        (self.folder / "tmp").mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with open(self.folder / "gateway.log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
                env={**os.environ, "EDGE_CONFIG": str(path), "TMPDIR": str(self.folder / "tmp")})
        self.processes.append(process)
        for _ in range(200):
            with contextlib.suppress(OSError):
                if (await self.ask("/_ready")).startswith(b"HTTP/1.1 200"):
                    self.record("gateway ready, pid", process.pid)
                    return process
            if process.returncode is not None:
                break
            await asyncio.sleep(0.05)
        raise RuntimeError("the gateway did not become ready")

    async def ask(self, path: str) -> bytes:
        """One call to the gateway's address for operators."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.operator)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: op\r\n\r\n".encode())
            return await asyncio.wait_for(reader.read(), 2.0)
        finally:
            writer.close()

    async def figures(self) -> dict[str, int]:
        text = (await self.ask("/_vars")).partition(b"\r\n\r\n")[2].decode()
        return {name: int(value) for name, _, value in (line.partition("=") for line in text.splitlines())
                if value.lstrip("-").isdigit()}

    async def end(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGKILL)
                await process.wait()
        if (keep := os.environ.get("KEEP_LOG")):
            shutil.copy(self.folder / "gateway.log", keep)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(folder: Path, case: Callable[[Record], Awaitable[int]]) -> None:
    """Run a case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder)

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)   # the case ends what it started
        async with asyncio.timeout(110):
            return await case(record)
    try:
        code = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:   # whatever it was: the case could not run
        record("could not run:", repr(error))
        code = 2
    record("exit", code)
    sys.stdout.flush()
    os._exit(code)
