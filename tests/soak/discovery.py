"""The discovery service of a soak run: a versioned list of hosts, and endpoints on which faults are injected.

Each gateway has two endpoints of its own, one for each address that its configuration may name.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections import deque
from contextlib import suppress
from typing import Any

from .addresses import free_address
from .hosts import Clock, Host
from .journal import HostChange, Journal, Outage, Watch
from .plan import CallPlan

HEARTBEAT_INTERVAL_S = 2.0
WATCH_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BUSY_RESPONSE = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


MAX_QUEUE_WAIT_S = 3.0
"""A call that would be queued for longer than this is rejected."""


class CallQueue:
    """The queue shared by the calls of all gateways; they are served in order, at a limited rate."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self.capacity = 0.0        # calls per second; 0: no limit
        self.updates_queued = False          # updates on watches are queued like calls
        self.holds_rejected_calls = False    # a rejected call is answered only after MAX_QUEUE_WAIT_S
        self.rejected_count = 0
        self._free_at = 0.0

    def reserve_turn(self) -> float | None:
        """Reserve the next turn; returns the wait for it in seconds, or None if that is too long."""
        if not self.capacity:
            return 0.0
        now = self._loop.time()
        begins_at = max(now, self._free_at)
        if begins_at - now > MAX_QUEUE_WAIT_S:
            self.rejected_count += 1
            return None
        self._free_at = begins_at + 1 / self.capacity
        return self._free_at - now

    async def wait_for_turn(self) -> bool:
        """Wait for a turn; false if the call is rejected, which is immediate unless `holds_rejected_calls` is set."""
        wait_s = self.reserve_turn()
        if wait_s is None:
            if self.holds_rejected_calls:
                await asyncio.sleep(MAX_QUEUE_WAIT_S)
            return False
        if wait_s:
            await asyncio.sleep(wait_s)
        return True


class DiscoveryEndpoint:
    """One address at which one gateway reaches discovery."""

    def __init__(self, service: Discovery, gateway: str) -> None:
        self._service = service
        self.gateway = gateway
        self._loop = asyncio.get_running_loop()
        self._backlog_fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._watches: set[asyncio.StreamWriter] = set()
        self.call_delay_s = 0.0
        self.call_plans: deque[CallPlan] = deque()   # fate of the next calls, in order
        self.busy = False           # calls are answered with 503 at once
        self.hangs = False          # calls are accepted and get no response
        self.silenced_watches: set[asyncio.StreamWriter] = set()   # watches that receive nothing more
        self.ends = False           # watches end instead of sending an update
        self.end_delay_s = 0.0      # the same, but this long after the change; heartbeats are sent until then
        self.truncations_left = 0   # number of updates that are still to be truncated
        self.repeats = False        # each update is followed by a repetition of the one before it
        self.whole = False          # watches begin with the full list, which leaves out draining hosts
        self.resets_calls = False   # calls are reset as soon as they arrive
        self._listen(free_address())
        self.address = "{}:{}".format(*self._socket.getsockname())

    def _listen(self, address: tuple[str, int]) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(address)
        self._socket.setblocking(False)
        self._socket.listen(512)
        self._loop.add_reader(self._socket, self._accept)

    def refuse(self, active: bool) -> None:
        """New connections are refused, as the listener is closed; all calls end."""
        if active:
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self.reset()
        else:
            host, _, port = self.address.partition(":")
            self._listen((host, int(port)))

    def _accept(self) -> None:
        while True:
            try:
                sock, peer = self._socket.accept()
            except OSError:
                return
            if any(peer == own.getsockname() for own in self._backlog_fillers):
                sock.close()
                continue
            task = self._loop.create_task(self._serve(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def drop(self, active: bool) -> None:
        """New connections are never established: the listener's backlog is full and nothing accepts from it."""
        if active and not self._backlog_fillers:
            self._loop.remove_reader(self._socket)
            self._socket.listen(0)
            for _ in range(2):
                sock = socket.socket()
                sock.setblocking(False)
                sock.connect_ex(self._socket.getsockname())
                self._backlog_fillers.append(sock)
        elif not active and self._backlog_fillers:
            self._socket.listen(512)
            self._loop.add_reader(self._socket, self._accept)
            self._accept()
            for sock in self._backlog_fillers:
                sock.close()
            self._backlog_fillers = []

    def reset_calls(self, active: bool) -> None:
        """Calls are reset as soon as they arrive."""
        self.resets_calls = active

    def reset(self) -> None:
        """Reset all open calls."""
        for task in list(self._tasks):
            task.cancel()

    def silence_watches(self, after_heartbeat: bool = False) -> None:
        """Send nothing more on the watches that are open now, with `after_heartbeat` after one more heartbeat."""
        for writer in self._watches - self.silenced_watches if after_heartbeat else ():
            writer.write(b"1\r\n\n\r\n")
        self.silenced_watches |= self._watches

    @property
    def has_active_watch(self) -> bool:
        """Whether a watch is open that has not been silenced."""
        return bool(self._watches - self.silenced_watches)

    async def _serve(self, sock: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=sock)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            ended = self._loop.create_task(self._cancel_on_disconnect(reader, asyncio.current_task()))
            try:
                await self._respond(head, writer)
            finally:
                ended.cancel()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._watches.discard(writer)
            self.silenced_watches.discard(writer)
            writer.close()

    @staticmethod
    async def _cancel_on_disconnect(reader: asyncio.StreamReader, call: asyncio.Task[None] | None) -> None:
        """Cancel the call once the gateway has closed its connection: what is written after that is not received."""
        with suppress(OSError):
            await reader.read()
        if call is not None:
            call.cancel()

    async def _respond(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        service = self._service
        service.calls += 1
        call = (self.call_plans.popleft() if self.call_plans
                else CallPlan(self.call_delay_s, "busy" if self.busy else "list"))
        if call.waits:
            await asyncio.sleep(call.waits)
        while self.hangs or call.how == "lost":
            await asyncio.sleep(0.02)
        if call.how == "reset" or self.resets_calls:
            raise ConnectionResetError
        if call.how == "busy" or not await service.call_queue.wait_for_turn():
            writer.write(BUSY_RESPONSE)
            await writer.drain()
            return
        self.truncations_left += call.how == "cut"
        if b"watch=1" not in head:
            generation = service.generation
            body = service.render_list(self.gateway, -1, True)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b" % (len(body), body))
            await writer.drain()
            service.on_list_sent(self.gateway, generation)
            return
        since = int(head.split(b"from=")[1].split(b" ")[0].split(b"&")[0])
        writer.write(WATCH_RESPONSE_HEAD)
        self._watches.add(writer)
        watch = Watch(self.gateway, service.clock())
        service.journal.watches.append(watch)
        try:
            await self._stream_updates(writer, since)
        finally:
            watch.end = service.clock()

    async def _stream_updates(self, writer: asyncio.StreamWriter, since: int) -> None:
        service = self._service
        first = True
        last = b""
        while True:
            changed = service.changed
            if first or since < service.generation:
                if not first and (self.ends or self.end_delay_s):
                    await self._send_heartbeats_for(writer, self.end_delay_s)
                    return
                if (not first and service.call_queue.updates_queued
                        and not await self._send_heartbeats_until_turn(writer)):
                    return
                generation = service.generation
                update = service.render_list(self.gateway, since,
                                             not 0 < since <= generation or (first and self.whole)) + b"\n"
                if await self._write_chunk(writer, update):
                    service.on_list_sent(self.gateway, generation)
                if self.repeats and last:   # an older update is sent again
                    await self._write_chunk(writer, last)
                since, first, last = generation, False, update
            try:
                async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                    await changed.wait()
            except TimeoutError:
                await self._write_chunk(writer, b"\n")

    async def _send_heartbeats_for(self, writer: asyncio.StreamWriter, duration_s: float) -> None:
        """Send only heartbeats (empty lines) for this long."""
        until = self._loop.time() + duration_s
        while (left_s := until - self._loop.time()) > 0:
            await self._write_chunk(writer, b"\n")
            await asyncio.sleep(min(left_s, HEARTBEAT_INTERVAL_S))

    async def _send_heartbeats_until_turn(self, writer: asyncio.StreamWriter) -> bool:
        """Send heartbeats while an update waits for its turn; false if it has no turn in time."""
        wait_s = self._service.call_queue.reserve_turn()
        await self._send_heartbeats_for(writer, MAX_QUEUE_WAIT_S if wait_s is None else wait_s)
        return wait_s is not None

    async def _write_chunk(self, writer: asyncio.StreamWriter, data: bytes) -> bool:
        """Write one chunk; false if the watch is silenced. A chunk that is truncated on purpose counts as sent."""
        if writer in self.silenced_watches:
            return False
        if writer.transport.is_closing():
            raise ConnectionResetError
        if self.truncations_left and len(data) > 1:
            self.truncations_left -= 1
            data = data[:len(data) // 2]
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            return True   # the journal takes it for a list that was sent
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        await writer.drain()
        return True

    async def close(self) -> None:
        """Stop listening and reset all calls."""
        self.drop(False)
        self._loop.remove_reader(self._socket)
        self._socket.close()
        self.reset()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class Discovery:
    """The list of hosts with its generations, and the endpoints."""

    def __init__(self, journal: Journal, clock: Clock, hosts: dict[str, Host], gateways: list[str]) -> None:
        self.journal = journal
        self.clock = clock
        self._hosts = hosts
        self.states = {name: "in_service" for name in hosts}
        self._changed_generation = dict.fromkeys(hosts, 1)
        self.generation = 1
        self.calls = 0
        self.call_queue = CallQueue()
        self.changed = asyncio.Event()
        self.endpoints = {name: [DiscoveryEndpoint(self, name), DiscoveryEndpoint(self, name)] for name in gateways}

    def set_host_state(self, host: str, state: str) -> None:
        """Set a host to draining (`terminating`), removed (`terminated`) or serving (`in_service`)."""
        self.generation += 1
        self.states[host] = state
        self._changed_generation[host] = self.generation
        self.journal.changes.append(HostChange(self.clock(), self.generation, host, state == "in_service"))
        self.changed.set()
        self.changed = asyncio.Event()

    def host_entry(self, gateway: str, name: str) -> dict[str, Any]:
        """A host's entry in the list for this gateway."""
        host = self._hosts[name]
        return {"instanceId": name, "hostPort": host.addresses[gateway], "zone": "a", "machineType": "m", "cell": 0,
                "lifecycle": self.states[name], "weight": 1.0, "startedAtMs": host.started_ms}

    def render_list(self, gateway: str, since: int, full: bool) -> bytes:
        """The full list, or the entries that have changed after a generation, as JSON."""
        entries = [self.host_entry(gateway, name) for name, state in self.states.items()
                if (full and state == "in_service") or (not full and self._changed_generation[name] > since)]
        return json.dumps({"generation": self.generation, "reset": full, "instances": entries}).encode()

    def on_list_sent(self, gateway: str, generation: int) -> None:
        """A list was sent to a gateway: record it, and end the gateway's interval with a silent watch."""
        self.end_silence(gateway)
        for lifetime in reversed(self.journal.lifetimes):
            if lifetime.gateway == gateway:
                lifetime.written.append((self.clock(), generation))
                return

    def end_silence(self, gateway: str) -> None:
        """Record that a gateway no longer has a silent watch."""
        for outage in self.journal.outages:
            if outage.gateway == gateway and outage.kind == "silent":
                outage.end = min(outage.end, self.clock())

    def begin_outage(self, gateway: str, kind: str) -> Outage:
        """Record the beginning of an interval without discovery (`away`) or with a silent watch (`silent`)."""
        outage = Outage(gateway, kind, self.clock())
        self.journal.outages.append(outage)
        return outage

    async def close(self) -> None:
        """Close all endpoints."""
        for endpoints in self.endpoints.values():
            for endpoint in endpoints:
                await endpoint.close()
