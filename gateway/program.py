"""Configuration, signals and wiring of the real gateway."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import os
import resource
import signal
import sys
import time
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import replace
from typing import Any

import uvloop

from bridgesaddle import Balancer
from bridgesaddle.api import MS, SECOND, ListKind, Settings
from bridgesaddle.wire import WireError, parse_settings

from .admin import Admin, Answered
from .body import StreamBudget
from .core import Core, DecisionsFactory
from .discovery import Discovery
from .handover import Handover, host_and_port
from .listener import Listener, listen_with_retry
from .peers import PeerSocket
from .server import Server
from .stalls import StallDetector
from .start_times import StartTimes
from .stats import Stats
from .syscalls import process_started_ns
from .timers import Timers, now_ns
from .transient import DISK, LOCAL_ERRNOS, pauses, persistently_at_once
from .update_parser import ListedHost, UpdateParser
from .upstream import Upstream

log = logging.getLogger("gateway")

SWEEP_INTERVAL_NS = 500 * MS
CROSSING = 600 * MS
"""After SIGTERM new connections go on coming for 0.4 s at most; they are taken for somewhat longer."""
LEAVE_MOST = 3 * SECOND
LEAVE_MORE = 200 * MS
"""So long after SIGTERM, and after the longest deadline, the program ends whatever is held.

SIGKILL comes from 0.7 s after that deadline on, which counts as 3 s at most.
"""
LEAVE_LAST = 300 * MS
"""So long clients may then take to read their answers and to close."""
RESERVE = 48
"""Descriptors for everything that is neither a client's nor a host's connection."""
CLIENTS = 0.55
"""Part of the other descriptors that clients may hold."""
CLIENTS_MOST = 3
"""Clients use one in so many of all descriptors for requests at most."""
MEMORY = 192
"""The limit where none is told, MB."""
ITSELF = 40
"""What the program needs for itself, MB: two processes share the rest."""
BESIDE = 250 * MS
"""So often it is looked whether another process of this gateway runs."""
BESIDE_CLIENTS = 0.65
"""Part of its half that clients may hold while one does: most of what both hold is theirs."""
FIRST_LIST_WAIT_NS = 3500 * MS
"""Longest wait for the list before a process takes clients from another or where lists are pushed, as what discovery
has counts as told from the first moment: a yes is wanted within 6 s."""
TOLD_ASKED = 5 * SECOND
"""And where it is asked: the list of the start is as old as what the process before this one heard last."""
RELOAD_S = 1.0
"""A file that can't be read for a reason of the moment is read again for so long."""
MAX_LOG_LINES_PER_S = 50
"""Log lines a second: an attacker must not make the gateway spend its time on writing."""


class BadConfig(Exception):
    """A configuration the gateway can't start with."""


class Unread(BadConfig):
    """A configuration that could not be read for a reason that passes."""


class Config:
    """What a gateway is told."""

    def __init__(self, environ: Mapping[str, str]) -> None:
        try:
            self.path = environ["EDGE_CONFIG"]
            with open(self.path, "rb") as file:
                told: dict[str, Any] = json.load(file)
            self.told = told
            self.listen = host_and_port(environ.get("EDGE_LISTEN") or told["listen"])
            self.discovery, *self.others = map(host_and_port, str(
                environ.get("EDGE_DISCOVERY") or told["discovery"]).split(","))
            self.list_folder = str(environ.get("EDGE_LIST_FOLDER") or told.get("list_folder", ""))
            self.name = str(environ.get("EDGE_NAME") or told.get("name", ""))
            self.seed = int(str(told.get("seed", "0")), 16)
            self.sockets = int(told.get("limits", {}).get("sockets", 1024))
            self.memory = int(told.get("limits", {}).get("memory_mb", MEMORY)) << 20
            self.known = told.get("known", {"generation": 0, "reset": True, "instances": []})
            raw = told["settings"]
            self.settings: Settings = parse_settings(json.dumps(raw).encode())
            self.zones = [str(name) for name in raw.get("zones", ())]
            self.columns = [str(name) for name in raw.get("load-report", {}).get("columns", ())]
            self.peers = [host_and_port(text) for text in told.get("peers", ())]
            everyone, own = told.get("peers_all"), told.get("peer_listen")
            self.peers_all = host_and_port(everyone) if everyone else None
            self.peer_listen = host_and_port(own) if own else None
            operator = environ.get("EDGE_OPERATOR") or told.get("operator")
            self.operator = host_and_port(operator) if operator else None
            self.kinds = [str(name) for name in raw.get("flavors", ())]
        except KeyError as error:
            raise BadConfig(f"{error} is missing") from None
        except OSError as error:
            raise (Unread if error.errno in LOCAL_ERRNOS | DISK else BadConfig)(str(error)) from None
        except (ValueError, TypeError, AttributeError, RecursionError, WireError) as error:
            raise BadConfig(str(error)) from None
        names = [item.name for item in self.settings.classes]
        if len(set(names)) < len(names):
            raise BadConfig("two classes of one name")

    def follow(self, old: Config) -> None:
        """Raises BadConfig where this lacks a key that the first one had: guards against half a file."""
        missing = sorted(_missing(old.told, self.told, ""))
        if missing:
            raise BadConfig(f"{', '.join(missing)} is missing")


MAY_GO = frozenset(("operator", "list_folder", "peers", "peers_all", "peer_listen", "aim-stretch", "family-info"))
"""Keys that a later configuration need not have."""


def _missing(old: Any, new: Any, path: str) -> set[str]:
    """Keys that the old one has and the new one lacks; what all classes had, all have to have."""
    if isinstance(old, dict):
        if not isinstance(new, dict):
            return {path}
        return {lack for key in old if key not in MAY_GO
                for lack in (_missing(old[key], new[key], f"{path}.{key}".lstrip(".")) if key in new
                             else {f"{path}.{key}".lstrip(".")})}
    if path == "settings.request-classes":
        keys = set.intersection(*(set(row) for row in old))
        return {lack for row in new for lack in _missing(dict.fromkeys(keys), row, path)}
    return set()


class _Sparing(logging.Filter):
    """Lets so many lines a second through."""

    def __init__(self) -> None:
        super().__init__()
        self._second = 0
        self._count = 0

    def filter(self, record: logging.LogRecord) -> bool:
        if int(record.created) != self._second:
            self._second, self._count = int(record.created), 0
        self._count += 1
        return self._count <= MAX_LOG_LINES_PER_S


class Gateway:
    """The parts, wired together."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, make: DecisionsFactory = Balancer,
                 handover: Handover | None = None, first_list_wait_ns: int = TOLD_ASKED, started_ns: int = 0) -> None:
        self._waits_ns = first_list_wait_ns   # for the first list, where lists are asked for
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self._sockets = min(config.sockets, soft if soft > 0 else config.sockets)
        self._loop = loop
        self._config = config
        self._beside = False
        settings = self._settings = self._limited(config.settings)
        self._columns = config.columns
        self.timers = Timers(loop)
        self.stats = Stats()
        self.handover = handover or Handover(config.listen)
        clients, hosts = self._room()
        self.stream_budget = StreamBudget(self._bytes())
        self.core = Core(settings, config.seed, self.timers, config.columns, make)
        self.stall_detector = self.core.stall_detector = StallDetector(loop, self.timers)
        self.upstream = Upstream(loop, self.timers, hosts,
                                  settings.limits.connect_timeout_ns, settings.limits.conn_idle_ns,
                                  self.stats, self.stream_budget)
        self._starts = StartTimes()
        lines = UpdateParser(config.zones, config.kinds, self._starts)
        self.discovery: Discovery
        if config.others or config.list_folder:
            from .failover import CachedList, FailoverDiscovery
            kept = CachedList(config.list_folder, config.name) if config.list_folder else None
            self.discovery = FailoverDiscovery(loop, self.timers, [config.discovery, *config.others], lines,
                                      not settings.ask_discovery, self._on_list, kept, settings.rules.drain_grace_ns,
                                      started_ns)
        else:
            self.discovery = Discovery(loop, self.timers, config.discovery, lines, not settings.ask_discovery,
                                       self._on_list, settings.rules.drain_grace_ns, started_ns)
        self.core.attach(self.upstream, self.discovery)
        self.upstream.before_send = lambda: self.discovery.read_pending(now_ns())
        self.upstream.may_send = lambda: self.discovery.may_send(now_ns())
        self.discovery.on_lease_changed = self._on_lease
        self.discovery.gateway_count = settings.replicas
        self.discovery.read_delay_ns = self.stall_detector.read_delay_ns
        self.stall_detector.on_stall.append(self.discovery.on_stall)
        self.server = Server(self.core, self.timers, settings, clients, self.stats, self.stream_budget)
        self.admin = Admin({("GET", "/_ready"): self._ready, ("GET", "/_vars"): self._vars,
                            ("POST", "/_lameduck/on"): lambda: self._drain(True),
                            ("POST", "/_lameduck/off"): lambda: self._drain(False)})
        self._listener: Listener | None = None
        self._told = asyncio.Event()
        self._done = asyncio.Event()
        self._stop_at = 0
        self._end_at = 0

    def _on_lease(self) -> None:
        """The list may be followed again; while discovery is down that of the start has to do."""
        if self.discovery.down and self.discovery.may_send(now_ns()):
            self._told.set()
        self.core.on_lease()

    async def start(self) -> tuple[str, int]:
        """Begin to watch and, once clients can be served, to listen; returns the address."""
        self.stall_detector.start()
        self.handover.register()
        beside = self._look()
        # Before anything is waited for: SIGHUP may bring a newer list.
        self.discovery.load_known_list(self._config.known)
        self.discovery.start()
        if self._config.operator is not None:
            self.operator_address = await self.admin.listen(self._loop, self._config.operator)
            log.info("operators call %s:%d", *self.operator_address)
        self.timers.after(SWEEP_INTERVAL_NS, self._sweep, None)
        self.timers.after(BESIDE, self._looked, None)
        # Another one serves meanwhile, where there is one; a bound socket would draw clients at once.
        waits = FIRST_LIST_WAIT_NS if beside or not self._settings.ask_discovery else self._waits_ns
        try:
            await asyncio.wait_for(self._told.wait(), waits / SECOND)
        except TimeoutError:
            log.warning("discovery has not told the list: the known one must do")
        if self._stop_at:   # told to end before it took clients
            return self._config.listen
        self._listener = await listen_with_retry(self._loop, self._config.listen, self.server.new_connection,
                                                 shared=True, wanted=lambda: not self._stop_at)
        self.handover.serving()
        if self._config.settings.limits.peers and self._config.peer_listen is not None:
            self.core.peers = PeerSocket(self._config.peers, self._config.peers_all, self.core.on_peer)
            peers = self.core.peers
            await self._loop.create_datagram_endpoint(lambda: peers, self._config.peer_listen,
                                                      reuse_port=True)
        address = self._listener.address
        log.info("listening on %s:%d", *address)
        return address

    async def run(self, early: Sequence[int] = ()) -> None:
        """Serve until told to stop; `early` is not empty where SIGHUP came before this."""
        self._loop.add_signal_handler(signal.SIGHUP, self.reload)
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self.stop)
        if early:
            self.reload()
        try:
            await self.start()
        except OSError as error:
            raise BadConfig(f"can't listen: {error}") from None
        await self._done.wait()

    def _on_list(self, kind: ListKind, listed: list[ListedHost]) -> None:
        self.core.on_list(kind, listed)
        if kind is ListKind.FULL or kind is ListKind.DELTA:
            self._told.set()

    def _room(self) -> tuple[int, int]:
        """Connections that clients and hosts may hold: two processes share the limits of one gateway."""
        free = self._sockets // 2 - RESERVE if self._beside else self._sockets - RESERVE
        part = BESIDE_CLIENTS if self._beside else CLIENTS
        free = max(16, free)
        return int(free * part), int(free * (1 - part))

    def _limited(self, settings: Settings) -> Settings:
        """The settings, and how many requests clients can have open here while two processes share that.

        Alone nothing is told: whoever waits is better off than refused, even where others find no connection.
        """
        cap = self._sockets // (2 * CLIENTS_MOST) if self._beside else 0
        return replace(settings, limits=replace(settings.limits, max_client_requests=cap))

    def _bytes(self) -> int:
        """What long messages may hold: the memory limit but for the program, and half of it while two run."""
        free = max(self._config.memory - (ITSELF << 20), self._config.memory // 4)
        return free // 2 if self._beside else free

    def _look(self) -> bool:
        """Look for another process of this gateway, and hold no more than is left beside it."""
        beside = self.handover.other_running()
        if beside != self._beside:
            log.info("another process of this gateway %s", "runs" if beside else "has ended")
            self._beside = beside
            self.server.max_connections, self.upstream.max_connections = self._room()
            self.upstream.close_surplus_idle()
            self.stream_budget.max_bytes = self._bytes()
            self._settings = self._limited(self._settings)
            self.core.on_settings(self._settings, self._columns)
        return beside

    def _looked(self, _: None) -> None:
        self.timers.after(BESIDE, self._looked, None)
        self.handover.register()
        self.handover.tell_serving()
        self._look()

    def _sweep(self, _: None) -> None:
        self.timers.after(SWEEP_INTERVAL_NS, self._sweep, None)   # first: one that fails must not be the last
        now = now_ns()
        self._starts.update_offsets()
        self.upstream.sweep(now)
        self.server.sweep(now)
        self.admin.sweep(now)

    def _ready(self) -> Answered:
        ready = self._listener is not None and self.server.ready
        return (200, b"ready\n") if ready else (503, b"not ready\n")

    def _drain(self, on: bool) -> Answered:
        """Send clients away, or take them again; once the program is leaving it stays drained."""
        if self._stop_at and not on:
            return 409, b"leaving\n"
        if self.server.draining != on:
            log.info("clients are sent away" if on else "clients are taken again")
        self.server.draining = on
        return (200, b"draining\n") if on else (200, b"taking clients\n")

    def _vars(self) -> Answered:
        heard_at = self.discovery.last_received_ns
        return 200, self.stats.render({
            "pending": self.server.pending, "members": self.upstream.host_count,
            "members_unavailable": self.core.members_unavailable(),
            "discovery_heard_ms_ago": (now_ns() - heard_at) // MS if heard_at else -1,
            "list_generation": self.discovery.generation,
            "list_lease_ms": (self.discovery.lease.until_ns - now_ns()) // MS,
            "hold_ups": self.stall_detector.count, "hold_ups_ms": self.stall_detector.total_ns // MS,
            "hold_up_longest_ms": self.stall_detector.longest_ns // MS})

    def reload(self) -> None:
        """SIGHUP: settings may have changed, discovery moved; a file that is not right changes nothing."""
        self.discovery.on_reload()
        self._reload(pauses(RELOAD_S))

    def _reload(self, again: Iterator[float]) -> None:
        try:   # the file alone: what the environment says of discovery is from the start
            told = Config({"EDGE_CONFIG": self._config.path})
            told.follow(self._config)
        except BadConfig as error:
            pause = next(again, None) if isinstance(error, Unread) else None
            if pause is not None:
                log.info("SIGHUP: the file is read again: %s", error)
                self.timers.after(int(pause * SECOND), self._reload, again)
                return
            self.stats.config_reload_errors += 1
            log.warning("SIGHUP: the configuration stays as it was: %s", " ".join(str(error).split()))
            return
        self.stats.config_reloads += 1
        log.info("SIGHUP: discovery is at %s:%d", *told.discovery)
        settings = self._settings = self._limited(told.settings)
        self.server.on_settings(settings)
        self.upstream.on_settings(settings.limits.connect_timeout_ns, settings.limits.conn_idle_ns)
        self._columns = told.columns
        self.core.on_settings(settings, told.columns)
        self.discovery.update_settings(not settings.ask_discovery, settings.rules.drain_grace_ns)
        self.discovery.reconfigure(told.discovery, UpdateParser(told.zones, told.kinds, self._starts),
                            not settings.ask_discovery, told.others)

    def stop(self) -> None:
        """SIGTERM: unready at once, but what crosses it on the way is still taken and answered."""
        if self._stop_at:
            return
        now = now_ns()
        # SIGKILL's time runs from the signal, which may have come as early as a stop of this process began.
        self._stop_at = now - self.stall_detector.read_delay_ns(now)
        # By what holds now: neither what is held nor SIGKILL waits for settings that come later.
        longest = max([item.deadline_ns for item in self._settings.classes] + [self.core.max_time_left(now)])
        self._end_at = self._stop_at + min(longest, LEAVE_MOST) + LEAVE_MORE
        self._told.set()
        self._drain(True)
        self.server.taken_over = self.handover.other_serving()
        if self.server.taken_over:
            log.info("another process takes the clients")
            self._stop_listening(None)
        else:
            self.timers.at(min(now + CROSSING, self._end_at), self._stop_listening, None)

    def _stop_listening(self, _: None) -> None:
        if self._listener is not None:
            self._listener.close()
        self._leave(None)

    def _leave(self, _: None) -> None:
        """End once nothing is owed any more; every request has a deadline, so this ends."""
        now = now_ns()
        if now > self._end_at:
            self.core.fail_all()
            self.server.shut_down()
        opening = self._listener is not None and self._listener.has_pending
        if not (self.server.connection_count or opening) or now > self._end_at + LEAVE_LAST:
            self.handover.close()
            self.admin.close()
            self.discovery.close()
            self.upstream.close()
            if self.core.peers is not None:
                self.core.peers.close()
            self._done.set()
        else:
            self.timers.after(20 * MS, self._leave, None)


def _first_config() -> Config:
    """The configuration at the start; raises BadConfig."""
    for pause in pauses(RELOAD_S):
        try:
            return Config(os.environ)
        except Unread:
            time.sleep(pause)
    return Config(os.environ)


async def _main(config: Config, handover: Handover | None, early: list[int]) -> None:
    loop = asyncio.get_running_loop()
    await Gateway(config, loop, handover=handover, started_ns=process_started_ns()).run(early)


def main(handover: Handover | None = None) -> int:
    """Run as a program; 0 after SIGTERM, 2 if the configuration is of no use.

    `handover` is this process's file where it has one: given up and made anew it would be gone for a moment, in which
    the other process takes itself to be alone.
    """
    early: list[int] = []   # its default would end the program, and the file that is read next may be the old one
    signal.signal(signal.SIGHUP, lambda number, _: early.append(number))
    handler = logging.StreamHandler()
    handler.addFilter(_Sparing())
    logging.basicConfig(level=logging.INFO, handlers=[handler], format="%(asctime)s %(name)s %(message)s")
    try:
        config = _first_config()
    except BadConfig as error:
        print(f"gateway: EDGE_CONFIG: {' '.join(str(error).split())}", file=sys.stderr)
        return 2
    gc.freeze()   # what is loaded by now lives as long as the process: the collector need not look again
    gc.set_threshold(50_000, 20, 50)
    try:
        uvloop.run(_main(config, handover, early), loop_factory=lambda: persistently_at_once(uvloop.new_event_loop))
    except BadConfig as error:
        print(f"gateway: {error}", file=sys.stderr)
        return 1
    return 0
