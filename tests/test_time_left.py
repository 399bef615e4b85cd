"""The time that a host is told is at most what its client has left, wherever the process stands still on the way.

The gateway's thread is stopped at each look at the clock in turn, from before a request is read to its write: whatever
it does between two looks is then done with the first of them 0.2 s old.  Hosts and clients run in threads of their own,
so that they go on meanwhile and their times are true.
"""

from __future__ import annotations

import asyncio
import socket
import sys
import threading
import time
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import Any

import pytest

from bridgesaddle.api import MS, SECOND
from gateway.server import MAX_PIPELINED
from gateway.timers import now_ns
from gateway.upstream import SEND_CHECK_VALID_NS
from tests.sockets import FakeHost, Stage, play, request

STOP_S = 0.2
SLOW_S = (SEND_CHECK_VALID_NS + MS) / SECOND
"""On a slow machine each step up to the stop takes so long: what was asked before it has to be asked anew."""
SLACK_S = 0.15
PATIENCE_S = 2.0
SETTLES_S = 0.02
"""A play begins with a gateway that has been at rest for so long."""
DONE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
CLOSES = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\ndone"
TURNED_AWAY = b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
LONG = b"x" * 100_000
LAST_LOOKS = 24
"""So many looks at the clock ahead of the write are stopped at: a retry's gap has more, at timers only."""


class Stops:
    """Counts the looks of the gateway's thread at the clock and stops it at one of them."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._thread = threading.get_ident()
        self._at = 0
        self._slow = False
        self.looks = 0
        self.stopped = threading.Event()
        self._armed = False
        for name, module in list(sys.modules.items()):
            if name.startswith("gateway.") and hasattr(module, "now_ns"):
                monkeypatch.setattr(module, "now_ns", self._now_ns)

    def _now_ns(self) -> int:
        if self._armed and threading.get_ident() == self._thread:
            self.looks += 1
            if self.looks == self._at:
                self.stopped.set()
                time.sleep(STOP_S)
            elif self._slow and self.looks < self._at:
                time.sleep(SLOW_S)
        return now_ns()

    def arm(self, at: int, slow: bool) -> None:
        """Stop at this look from now on, 0: at none; `slow`: each look up to it takes long."""
        self.looks, self._at, self._slow = 0, at, slow
        self.stopped.clear()
        self._armed = True

    def disarm(self) -> None:
        """Count no more."""
        self._armed = False


@dataclass
class Begin:
    """A request at a host: when its first bytes came, and the time it was told."""

    at: float
    rid: str
    told_s: float
    looks: int   # at the clock by then


@dataclass
class Host:
    """Answers each request at once, in a thread for each connection."""

    answer: Callable[[int], bytes]
    stops: Stops
    begins: list[Begin]
    nameless: list[bytes] = field(default_factory=list)   # heads with no id
    address: str = ""

    def __enter__(self) -> Host:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *raised: object) -> None:
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        try:
            while True:
                threading.Thread(target=self._serve, args=(self._listener.accept()[0],), daemon=True).start()
        except OSError:
            pass

    def _serve(self, conn: socket.socket) -> None:
        data = b""
        with conn:
            try:
                while True:
                    while not data:
                        data = conn.recv(1 << 17)
                        if not data:
                            return
                    data = self._take(conn, data, time.monotonic(), self.stops.looks)
            except OSError:
                pass

    def _take(self, conn: socket.socket, data: bytes, at: float, looks: int) -> bytes:
        while b"\r\n\r\n" not in data:
            data += _more(conn)
        head, _, rest = data.partition(b"\r\n\r\n")
        headers = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
        if b"x-request-id" not in headers:
            if b"x-timeout-ms" in head.lower():
                self.nameless.append(head)
            raise ConnectionResetError   # else of another process, which called whoever had this port before
        self.begins.append(Begin(at, headers[b"x-request-id"].decode(), int(headers[b"x-timeout-ms"]) / 1000, looks))
        number = len(self.begins)
        length = int(headers.get(b"content-length", b"0"))
        while b"transfer-encoding" in headers and not rest.endswith(b"0\r\n\r\n"):
            rest += _more(conn)
        while len(rest) < length:
            rest += _more(conn)
        conn.sendall(self.answer(number))
        return b"" if b"transfer-encoding" in headers else rest[length:]


def _more(conn: socket.socket) -> bytes:
    data = conn.recv(1 << 17)
    if not data:
        raise ConnectionResetError
    return data


class Client:
    """One connection of a client that waits for `PATIENCE_S`."""

    def __init__(self, where: tuple[str, int]) -> None:
        self._where = where
        self._sock: socket.socket | None = None
        self.asked: dict[str, float] = {}

    def connect(self) -> None:
        """Connect, if that is not done."""
        if self._sock is None:
            self._sock = socket.create_connection(self._where)
            self._sock.settimeout(PATIENCE_S + 3 * STOP_S)

    def send(self, rid: str, cls: str = "read", body: bytes = b"", chunked: bool = False) -> None:
        """Send a request."""
        self.connect()
        assert self._sock is not None
        asked = request(cls, rid, body=body, X_Timeout_Ms=str(int(PATIENCE_S * 1000)))
        if chunked:
            head = request(cls, rid, drop="Content-Length", X_Timeout_Ms=str(int(PATIENCE_S * 1000)),
                           Transfer_Encoding="chunked")
            asked = head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        self.asked[rid] = time.monotonic()
        self._sock.sendall(asked)

    def answer(self) -> int:
        """The status of the next answer."""
        assert self._sock is not None
        data = b""
        while b"\r\n\r\n" not in data:
            data += _more(self._sock)
        head, _, rest = data.partition(b"\r\n\r\n")
        length = next(int(line.split(b":")[1]) for line in head.lower().split(b"\r\n") if b"content-length" in line)
        while len(rest) < length:
            rest += _more(self._sock)
        return int(head.split()[1])

    def close(self) -> None:
        """Close the connection."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None


@dataclass(frozen=True)
class Way:
    """One way of a request to its host."""

    closes: bool = False       # hosts close each connection: a new one is made
    rests: bool = False        # the idle connection has just given an answer
    turned_away: bool = False  # the first attempt is: a retry follows
    new_client: bool = False   # the client connects for this request
    unread: bool = False       # it is sent in the stop
    cls: str = "read"
    body: bytes = b""
    chunked: bool = False

    def answer(self, number: int) -> bytes:
        """What the host says to its so-manieth request; the first warms the gateway up."""
        if self.turned_away and number == 2:
            return TURNED_AWAY
        return CLOSES if self.closes else DONE

    def ask(self, client: Client, stops: Stops, at: int, slow: bool) -> None:
        """The client's side: one request to warm up, then the one that meets the stop."""
        client.send("warm")
        assert client.answer() == 200
        if self.new_client:
            client.close()
        if not self.rests:
            time.sleep(SETTLES_S)
        if not self.turned_away:
            stops.arm(at, slow)
        if self.unread:
            stops.stopped.wait(STOP_S)
        client.send("r1", self.cls, self.body, self.chunked)
        client.answer()
        stops.disarm()
        client.close()


WAYS = {
    "new": Way(closes=True), "idle": Way(), "rests": Way(rests=True), "retry": Way(turned_away=True),
    "new client": Way(new_client=True), "unread": Way(unread=True),
    "unread, new client": Way(unread=True, new_client=True), "long": Way(cls="keyed", body=LONG),
    "long, new": Way(cls="once", body=LONG, chunked=True, closes=True),
}


def told_too_much(stops: Stops, way: Way, at: int, slow: bool) -> tuple[list[float], int]:
    """By how much more time than the client had hosts were told, seconds; and the looks at the clock up to the last."""
    begins: list[Begin] = []
    over: list[float] = []

    def answer(number: int) -> bytes:
        said = way.answer(number)
        if said is TURNED_AWAY:
            stops.arm(at, slow)   # what is looked at is the retry
        return said

    async def scene() -> None:
        with ExitStack() as open_now:
            hosts = [open_now.enter_context(Host(answer, stops, begins)) for _ in range(2)]
            rows: list[dict[str, Any]] = [
                {"instanceId": f"h{number}", "hostPort": host.address, "zone": "a", "machineType": "m", "cell": 0,
                 "lifecycle": "in_service", "weight": 1.0, "startedAtMs": 0} for number, host in enumerate(hosts)]
            async with Stage() as stage:
                await stage.begin(rows=rows)
                client = Client(stage.where)
                await asyncio.to_thread(way.ask, client, stops, at, slow)
            assert [head for host in hosts for head in host.nameless] == []
            over.extend(begin.told_s - (client.asked[begin.rid] + PATIENCE_S - begin.at) for begin in begins)
    play(scene)
    return over, begins[-1].looks


@pytest.mark.parametrize("slow", [False, True])
def test_a_stop_at_any_look_at_the_clock_lengthens_no_hosts_time(
        monkeypatch: pytest.MonkeyPatch, slow: bool) -> None:
    stops, red = Stops(monkeypatch), {}
    for name, way in WAYS.items():
        looks = told_too_much(stops, way, 0, slow)[1]
        for at in range(max(1, looks - LAST_LOOKS), looks + 2):
            over, _ = told_too_much(stops, way, at, slow)
            if max(over) > SLACK_S:
                red[name, at] = over
    assert red == {}


def test_a_request_that_lay_unread_behind_others_is_told_no_more_time_than_its_client_has() -> None:
    async def scene() -> None:
        host = FakeHost(reply=None)
        async with Stage() as stage:
            await stage.begin(host)
            client = await stage.client()
            for number in range(MAX_PIPELINED):
                client.send(request(rid=f"r{number}"))
            seen = await host.seen.get()
            await asyncio.sleep(STOP_S)   # all are read, and the connection is read no further
            asked = time.monotonic()
            client.send(request(rid="last", X_Timeout_Ms="2000"))
            await asyncio.sleep(2 * STOP_S)
            while seen.headers["x-request-id"] != "last":
                seen.reply(CLOSES)
                seen = await host.seen.get()
            left = asked + PATIENCE_S - time.monotonic()
            assert int(seen.headers["x-timeout-ms"]) / 1000 <= left + SLACK_S
    play(scene)
