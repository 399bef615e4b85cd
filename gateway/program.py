"""Configuration, signals and wiring of the gateway process."""

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

from .admin import OperatorResponse, OperatorServer
from .core import Core, DecisionsFactory
from .discovery import Discovery
from .events import event
from .handover import Handover, host_and_port
from .listener import Listener, listen_with_retry
from .memory import (
    CONNECTION_BYTES,
    MemoryBudget,
    MemoryMonitor,
    budget_bytes,
    configure_allocator,
    resident_and_peak_bytes,
    return_free_memory,
)
from .memory_pressure import MemoryPressure
from .peers import PeerSocket
from .server import Server
from .stalls import StallDetector
from .start_times import StartTimes
from .stats import Stats
from .syscalls import process_started_ns
from .timers import Timers, now_ns
from .transient import DISK_ERRNOS, LOCAL_ERRNOS, backoff_delays, retry_before_loop
from .turns import TurnScheduler
from .update_parser import ListedHost, UpdateParser
from .upstream import Upstream

log = logging.getLogger("gateway")

SWEEP_INTERVAL_NS = 500 * MS
ACCEPT_AFTER_SIGTERM_NS = 600 * MS
"""Connections are accepted for this long after SIGTERM, as clients go on connecting for up to 0.4 s: at most until open
requests are failed, and not at all if another process serves."""
MAX_SHUTDOWN_DEADLINE_NS = 3 * SECOND
"""A shutdown waits for the longest request deadline, but at most for this long."""
SHUTDOWN_MARGIN_NS = 200 * MS
"""Requests that are still open this long after SIGTERM plus the longest deadline are failed.

SIGKILL may arrive 0.7 s after that deadline, where a longer deadline counts as 3 s.
"""
CLIENT_CLOSE_TIMEOUT_NS = 300 * MS
"""Maximum time that clients have to close after open requests have been failed and all responses have been read."""
EXIT_CHECK_INTERVAL_NS = 20 * MS
"""Interval of the checks whether a shutdown is complete."""
RESERVED_DESCRIPTORS = 48
"""Descriptors reserved for everything except connections of clients and to hosts."""
CLIENT_SHARE = 0.55
"""Share of the other descriptors that client connections may use."""
DESCRIPTORS_PER_CLIENT_REQUEST = 3
"""While two processes run, the limit of the clients' open requests in the module's settings is one in this many of this
process's half of the descriptors."""
DEFAULT_MEMORY_MB = 192
"""Memory limit if none is configured."""
DEFAULT_BASE_BYTES = 40 << 20
"""Memory of the process before it serves, if the kernel does not report it."""
CONNECTIONS_MEMORY_SHARE = 0.5
"""Share of the memory budget that client connections without any message may use."""
OTHER_PROCESS_CHECK_INTERVAL_NS = 250 * MS
"""Interval of the checks for another process of this gateway."""
SHARED_CLIENT_SHARE = 0.65
"""Share of this process's half of the descriptors that client connections may use while another process runs: most
connections of the two processes are clients'."""
FIRST_LIST_WAIT_NS = 3500 * MS
"""Maximum wait for the first list in a takeover and in push mode, where what discovery has is in effect from the first
moment: the process has to report ready within 6 s, if no startup call has to be retried (transient.py)."""
PULL_FIRST_LIST_WAIT_NS = 5 * SECOND
"""Maximum wait for the first list in pull mode: the configured list is only as recent as the last one that the previous
process received."""
MAX_CONFIG_RETRY_S = 1.0
"""Maximum total delay of retries when the configuration file can't be read because of a transient error."""
MAX_LOG_LINES_PER_S = 50
"""Log lines per second of all loggers: an attacker must not make the gateway spend its time on logging."""


class ConfigError(Exception):
    """The configuration is missing, unreadable or invalid, or an address can't be bound."""


class ConfigReadError(ConfigError):
    """The configuration could not be read because of a transient error."""


class Config:
    """The gateway's configuration, from a file and environment variables."""

    def __init__(self, environ: Mapping[str, str]) -> None:
        try:
            self.path = environ["EDGE_CONFIG"]
            with open(self.path, "rb") as file:
                raw: dict[str, Any] = json.load(file)
            self.raw = raw
            self.listen = host_and_port(environ.get("EDGE_LISTEN") or raw["listen"])
            self.discovery, *self.other_discoveries = map(host_and_port, str(
                environ.get("EDGE_DISCOVERY") or raw["discovery"]).split(","))
            self.list_folder = str(environ.get("EDGE_LIST_FOLDER") or raw.get("list_folder", ""))
            self.name = str(environ.get("EDGE_NAME") or raw.get("name", ""))
            self.seed = int(str(raw.get("seed", "0")), 16)
            self.max_descriptors = int(raw.get("limits", {}).get("sockets", 1024))
            self.memory_bytes = int(raw.get("limits", {}).get("memory_mb", DEFAULT_MEMORY_MB)) << 20
            # The configured list, used until discovery sends one.
            self.known_list = raw.get("known", {"generation": 0, "reset": True, "instances": []})
            settings = raw["settings"]
            self.settings: Settings = parse_settings(json.dumps(settings).encode())
            self.zones = [str(name) for name in settings.get("zones", ())]
            self.columns = [str(name) for name in settings.get("load-report", {}).get("columns", ())]
            self.peers = [host_and_port(text) for text in raw.get("peers", ())]
            peers_all, peer_listen = raw.get("peers_all"), raw.get("peer_listen")
            self.peers_all = host_and_port(peers_all) if peers_all else None
            self.peer_listen = host_and_port(peer_listen) if peer_listen else None
            operator = environ.get("EDGE_OPERATOR") or raw.get("operator")
            self.operator = host_and_port(operator) if operator else None
            self.flavors = [str(name) for name in settings.get("flavors", ())]
        except KeyError as error:
            raise ConfigError(f"{error} is missing") from None
        except OSError as error:
            raise (ConfigReadError if error.errno in LOCAL_ERRNOS | DISK_ERRNOS else ConfigError)(str(error)) from None
        except (ValueError, TypeError, AttributeError, RecursionError, WireError) as error:
            raise ConfigError(str(error)) from None
        names = [item.name for item in self.settings.classes]
        if len(set(names)) < len(names):
            raise ConfigError("two request classes have the same name")

    def require_keys_of(self, initial: Config) -> None:
        """Raise ConfigError if a key of the initial configuration is missing, as in a truncated file."""
        missing = sorted(_missing_keys(initial.raw, self.raw, ""))
        if missing:
            raise ConfigError(f"{', '.join(missing)} is missing")


OPTIONAL_KEYS = frozenset((
    "operator", "list_folder", "peers", "peers_all", "peer_listen", "aim-stretch", "family-info"))
"""Keys that a reloaded configuration may omit."""


def _missing_keys(old: Any, new: Any, path: str) -> set[str]:
    """Return the paths of keys that only the old value has; every class needs the keys that all old classes have."""
    if isinstance(old, dict):
        if not isinstance(new, dict):
            return {path}
        return {key_path for key in old if key not in OPTIONAL_KEYS
                for key_path in (_missing_keys(old[key], new[key], f"{path}.{key}".lstrip(".")) if key in new
                             else {f"{path}.{key}".lstrip(".")})}
    if path == "settings.request-classes":
        keys = set.intersection(*(set(item) for item in old))
        return {key_path for item in new for key_path in _missing_keys(dict.fromkeys(keys), item, path)}
    return set()


class _LogRateLimit(logging.Filter):
    """Limits the log lines per second."""

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
    """The gateway's components, wired together."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, make: DecisionsFactory = Balancer,
                 handover: Handover | None = None, first_list_wait_ns: int = PULL_FIRST_LIST_WAIT_NS,
                 started_ns: int = 0) -> None:
        self._pull_list_wait_ns = first_list_wait_ns   # maximum wait for the first list in pull mode
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self._max_descriptors = min(config.max_descriptors, soft if soft > 0 else config.max_descriptors)
        self._loop = loop
        self._config = config
        self._other_running = False
        settings = self._settings = self._with_client_limit(config.settings)
        self._columns = config.columns
        self.timers = Timers(loop)
        self.stats = Stats()
        self.handover = handover or Handover(config.listen)
        self._base_bytes = DEFAULT_BASE_BYTES
        self.memory_budget = MemoryBudget(self._memory_budget_bytes())
        max_clients, max_hosts = self._connection_limits()
        self.memory_pressure = MemoryPressure(self.memory_budget)
        self.memory = MemoryMonitor(config.memory_bytes, self.memory_budget)
        self.core = Core(settings, config.seed, self.timers, config.columns, make, self.memory_budget)
        self.stall_detector = self.core.stall_detector = StallDetector(loop, self.timers)
        self.upstream = Upstream(loop, self.timers, max_hosts,
                                 settings.limits.connect_timeout_ns, settings.limits.conn_idle_ns,
                                 self.stats, self.memory_budget)
        self._start_times = StartTimes()
        parser = UpdateParser(config.zones, config.flavors, self._start_times)
        self.discovery: Discovery   # in push mode unless `settings.ask_discovery` is set; it is watched in both modes
        if config.other_discoveries or config.list_folder:
            from .failover import CachedList, FailoverDiscovery
            cached_list = CachedList(config.list_folder, config.name) if config.list_folder else None
            self.discovery = FailoverDiscovery(loop, self.timers, [config.discovery, *config.other_discoveries], parser,
                                               not settings.ask_discovery, self._on_list, cached_list,
                                               settings.rules.drain_grace_ns, started_ns)
        else:
            self.discovery = Discovery(loop, self.timers, config.discovery, parser, not settings.ask_discovery,
                                       self._on_list, settings.rules.drain_grace_ns, started_ns)
        self.core.attach(self.upstream, self.discovery)
        self.upstream.before_send = lambda: self.discovery.read_pending(now_ns())
        self.upstream.may_send = lambda: self.discovery.may_send(now_ns())
        self.discovery.on_lease_changed = self._on_lease
        self.discovery.gateway_count = settings.replicas
        self.discovery.read_delay_ns = self.stall_detector.read_delay_ns
        self.stall_detector.on_stall.append(self.discovery.on_stall)
        self.server = Server(self.core, self.timers, settings, max_clients, self.stats, self.memory_budget,
                             TurnScheduler(loop))
        self.memory_pressure.release = self.server.release_memory
        self.server.on_taken = self.upstream.on_taken = self.memory_pressure.note_taken
        self.admin = OperatorServer({("GET", "/_ready"): self._ready, ("GET", "/_vars"): self._vars,
                                     ("POST", "/_lameduck/on"): lambda: self._set_draining(True),
                                     ("POST", "/_lameduck/off"): lambda: self._set_draining(False)})
        self._listener: Listener | None = None
        self._list_wait_over = asyncio.Event()
        self._stopped = asyncio.Event()
        self._stopping_since_ns = 0
        self._fail_requests_at_ns = 0
        self._exit_at_ns = 0   # at the latest, unless responses are still being given
        self._detached = False   # only the responses that have begun are left to do

    def _on_lease(self) -> None:
        """The lease may have changed.  While discovery is down, the configured list has to suffice to start serving."""
        if self.discovery.down and self.discovery.may_send(now_ns()):
            self._list_wait_over.set()
        self.core.on_lease()

    async def start(self) -> tuple[str, int]:
        """Start discovery and, once clients can be served, listen; return the bound address."""
        self.stall_detector.start()
        self.handover.register()
        other_running = self._check_other_process()
        # Before the first await: SIGHUP may bring a newer list.
        self.discovery.load_known_list(self._config.known_list)
        self.discovery.start()
        if self._config.operator is not None:
            self.operator_address = await self.admin.listen(self._loop, self._config.operator)
            log.info("listening for operators on %s:%d", *self.operator_address)
        self.timers.after(SWEEP_INTERVAL_NS, self._sweep, None)
        self.timers.after(OTHER_PROCESS_CHECK_INTERVAL_NS, self._check_periodically, None)
        # Another process, if there is one, serves meanwhile; a bound socket would receive connections at once.
        wait_ns = FIRST_LIST_WAIT_NS if other_running or not self._settings.ask_discovery else self._pull_list_wait_ns
        try:
            await asyncio.wait_for(self._list_wait_over.wait(), wait_ns / SECOND)
        except TimeoutError:
            log.warning("no list received from discovery in time, using the configured list")
        if self._stopping_since_ns:   # SIGTERM arrived before the process accepted clients
            return self._config.listen
        self._measure_base_memory()
        self._listener = await listen_with_retry(self._loop, self._config.listen, self.server.new_connection,
                                                 shared=True, wanted=lambda: not self._stopping_since_ns)
        self.handover.announce_serving()
        if self._config.settings.limits.peers and self._config.peer_listen is not None:
            self.core.peers = PeerSocket(self._config.peers, self._config.peers_all, self.core.on_peer)
            peers = self.core.peers
            await self._loop.create_datagram_endpoint(lambda: peers, self._config.peer_listen,
                                                      reuse_port=True)
        address = self._listener.address
        log.info("listening on %s:%d", *address)
        return address

    async def run(self, early_signals: Sequence[int] = ()) -> None:
        """Serve until SIGTERM or SIGINT; `early_signals` is not empty if SIGHUP arrived before this call."""
        self._loop.add_signal_handler(signal.SIGHUP, self.reload)
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self.stop)
        if early_signals:
            self.reload()
        try:
            await self.start()
        except OSError as error:
            raise ConfigError(f"can't listen: {error}") from None
        await self._stopped.wait()

    def _on_list(self, kind: ListKind, hosts: list[ListedHost]) -> None:
        self.core.on_list(kind, hosts)
        if kind is ListKind.FULL or kind is ListKind.DELTA:
            self._list_wait_over.set()

    def _connection_limits(self) -> tuple[int, int]:
        """Return the maximum connections of clients and to hosts: two processes share the limits of one gateway."""
        available = self._max_descriptors // 2 - RESERVED_DESCRIPTORS if self._other_running \
            else self._max_descriptors - RESERVED_DESCRIPTORS
        client_share = SHARED_CLIENT_SHARE if self._other_running else CLIENT_SHARE
        available = max(16, available)
        max_clients = min(int(available * client_share),
                          int(self._memory_budget_bytes() * CONNECTIONS_MEMORY_SHARE) // CONNECTION_BYTES)
        return max_clients, int(available * (1 - client_share))

    def _with_client_limit(self, settings: Settings) -> Settings:
        """Return the settings with the maximum open requests of clients while two processes share the limits.

        A single process has no such maximum: a waiting request is better than a rejected one, even if other clients get
        no connection.
        """
        max_requests = self._max_descriptors // (2 * DESCRIPTORS_PER_CLIENT_REQUEST) if self._other_running else 0
        return replace(settings, limits=replace(settings.limits, max_client_requests=max_requests))

    def _memory_budget_bytes(self) -> int:
        return budget_bytes(self._config.memory_bytes, self._base_bytes, 2 if self._other_running else 1)

    def _measure_base_memory(self) -> None:
        """Set the memory budget by what the process takes before it serves."""
        self._base_bytes = resident_and_peak_bytes()[0] or DEFAULT_BASE_BYTES
        self.memory.base_bytes = self._base_bytes
        self._apply_limits()
        event(log, "memory_budget", limit_kb=self._config.memory_bytes >> 10, base_kb=self._base_bytes >> 10,
              budget_kb=self.memory_budget.max_bytes >> 10)

    def _apply_limits(self) -> None:
        """Set what depends on the limits of the settings and on whether another process shares them."""
        budget_size = self.memory_budget.max_bytes = self._memory_budget_bytes()
        processes = 2 if self._other_running else 1
        self.memory_pressure.set_limit(self._config.memory_bytes // processes, self._base_bytes)
        self.server.max_connections, self.upstream.max_connections = self._connection_limits()
        self.server.set_write_buffer(budget_size)
        self.upstream.close_surplus_idle()

    def _check_other_process(self) -> bool:
        """Check for another process of this gateway, and adjust the limits if one has started or ended."""
        other_running = self.handover.other_running()
        if other_running != self._other_running:
            log.info("another process of this gateway %s", "runs" if other_running else "has ended")
            self._other_running = other_running
            self._apply_limits()
            self._settings = self._with_client_limit(self._settings)
            self.core.on_settings(self._settings, self._columns)
        return other_running

    def _check_periodically(self, _: None) -> None:
        self.timers.after(OTHER_PROCESS_CHECK_INTERVAL_NS, self._check_periodically, None)
        self.handover.register()
        self.handover.write_announcement()
        self._check_other_process()

    def _sweep(self, _: None) -> None:
        self.timers.after(SWEEP_INTERVAL_NS, self._sweep, None)   # first: a failure below must not end the sweeps
        now = now_ns()
        self._start_times.update_offsets()
        self.upstream.sweep(now)
        self.server.sweep(now)
        self._sample_memory()
        self.admin.sweep(now)

    def _sample_memory(self) -> None:
        self.memory_pressure.check()
        self.memory.sample(connections=self.server.connection_count, open_requests=self.server.pending,
                           streams=self.memory_budget.streams)

    def _ready(self) -> OperatorResponse:
        ready = self._listener is not None and self.server.ready
        return (200, b"ready\n") if ready else (503, b"not ready\n")

    def _set_draining(self, on: bool) -> OperatorResponse:
        """Start or stop draining; draining can't be stopped once a shutdown has begun."""
        if self._stopping_since_ns and not on:
            return 409, b"leaving\n"
        if self.server.draining != on:
            log.info("draining started" if on else "draining stopped")
        self.server.draining = on
        return (200, b"draining\n") if on else (200, b"taking clients\n")

    def _vars(self) -> OperatorResponse:
        last_received_ns = self.discovery.last_received_ns
        self._sample_memory()
        return 200, self.stats.render({
            "pending": self.server.pending, "members": self.upstream.host_count,
            "members_unavailable": self.core.members_unavailable(),
            "discovery_heard_ms_ago": (now_ns() - last_received_ns) // MS if last_received_ns else -1,
            "list_generation": self.discovery.generation,
            "list_lease_ms": (self.discovery.lease.until_ns - now_ns()) // MS,
            **self.memory.metrics(), "memory_refused": self.server.memory_refused,
            "memory_closed": self.server.memory_closed, **self.memory_pressure.metrics(),
            "responses_delayed": self.upstream.responses_delayed,
            "responses_in_progress": self.server.responses_in_progress,
            "hold_ups": self.stall_detector.count, "hold_ups_ms": self.stall_detector.total_ns // MS,
            "hold_up_longest_ms": self.stall_detector.longest_ns // MS})

    def reload(self) -> None:
        """Handle SIGHUP: apply new settings and discovery addresses; an invalid file changes no setting.

        The lease is bounded in any case: discovery may have moved.  Ignored once only begun responses are left to do.
        """
        if self._detached:
            log.info("SIGHUP: ignored, as the program is about to exit")
            return
        self.discovery.on_reload()
        self._reload(backoff_delays(MAX_CONFIG_RETRY_S))

    def _reload(self, delays: Iterator[float]) -> None:
        try:   # without the environment: its discovery address is that of the start
            config = Config({"EDGE_CONFIG": self._config.path})
            config.require_keys_of(self._config)
        except ConfigError as error:
            delay_s = next(delays, None) if isinstance(error, ConfigReadError) else None
            if delay_s is not None:
                log.info("SIGHUP: can't read the configuration, will retry: %s", error)
                self.timers.after(int(delay_s * SECOND), self._reload, delays)
                return
            self.stats.config_reload_errors += 1
            log.warning("SIGHUP: the configuration stays as it was: %s", " ".join(str(error).split()))
            return
        self.stats.config_reloads += 1
        log.info("SIGHUP: discovery is at %s:%d", *config.discovery)
        settings = self._settings = self._with_client_limit(config.settings)
        self.server.on_settings(settings)
        self.upstream.on_settings(settings.limits.connect_timeout_ns, settings.limits.conn_idle_ns)
        self._columns = config.columns
        self.core.on_settings(settings, config.columns)
        self.discovery.update_settings(not settings.ask_discovery, settings.rules.drain_grace_ns)
        self.discovery.reconfigure(config.discovery, UpdateParser(config.zones, config.flavors, self._start_times),
                                   not settings.ask_discovery, config.other_discoveries)

    def stop(self) -> None:
        """Handle SIGTERM or SIGINT: report not ready, and go on accepting clients for `ACCEPT_AFTER_SIGTERM_NS`.

        If another process serves, stop listening at once, and report ready to clients but not to operators.
        """
        if self._stopping_since_ns:
            return
        now = now_ns()
        # The time until SIGKILL starts with the signal, which may have arrived during an event-loop stall.
        self._stopping_since_ns = now - self.stall_detector.read_delay_ns(now)
        # By the current settings: neither open requests nor SIGKILL wait for later settings.
        max_time_left_ns = max([cls.deadline_ns for cls in self._settings.classes] + [self.core.max_time_left(now)])
        self._fail_requests_at_ns = (self._stopping_since_ns + min(max_time_left_ns, MAX_SHUTDOWN_DEADLINE_NS)
                                     + SHUTDOWN_MARGIN_NS)
        self._exit_at_ns = self._fail_requests_at_ns + CLIENT_CLOSE_TIMEOUT_NS
        self._list_wait_over.set()
        self._set_draining(True)
        self.server.taken_over = self.handover.other_serving()
        if self.server.taken_over:
            log.info("another process takes the clients")
            self._stop_listening(None)
        else:
            self.timers.at(min(now + ACCEPT_AFTER_SIGTERM_NS, self._fail_requests_at_ns), self._stop_listening, None)

    def _stop_listening(self, _: None) -> None:
        if self._listener is not None:
            self._listener.close()
        self._exit_when_idle(None)

    def _exit_when_idle(self, _: None) -> None:
        """Exit once no connection is open, at the latest CLIENT_CLOSE_TIMEOUT_NS after the last response.

        Requests without a response are failed at their time.  A response that has begun goes on until it is complete,
        its client or its host ends it, or it stalls: SIGKILL may come much later, or never.
        """
        now = now_ns()
        if now > self._fail_requests_at_ns:
            self.server.shut_down()
            self.core.fail_all()
            self._wait_for_responses(now)
        accepting = self._listener is not None and self._listener.has_pending
        if now > self._exit_at_ns or not (self.server.connection_count or accepting):
            self._exit()
        else:
            self.timers.after(EXIT_CHECK_INTERVAL_NS, self._exit_when_idle, None)

    def _wait_for_responses(self, now: int) -> None:
        """Put the exit off while responses are in progress."""
        in_progress = self.server.responses_in_progress
        if not in_progress:
            return
        self._exit_at_ns = max(self._exit_at_ns, now + CLIENT_CLOSE_TIMEOUT_NS)
        if not self._detached and now > self._fail_requests_at_ns + CLIENT_CLOSE_TIMEOUT_NS:
            event(log, "shutdown_waits", responses=in_progress, since_ns=now - self._stopping_since_ns)
            self._detach()

    def _detach(self) -> None:
        """Give up all that begun responses do not need, so that it is not in the way of the next process."""
        if self._detached:
            return
        self._detached = True
        self.handover.close()
        self.discovery.close()
        if self.core.peers is not None:
            self.core.peers.close()

    def _exit(self) -> None:
        event(log, "shutdown_ends", connections=self.server.connection_count,
              since_ns=now_ns() - self._stopping_since_ns)
        self._detach()
        self.admin.close()
        self.upstream.close()
        self._stopped.set()


def _initial_config() -> Config:
    """Read the configuration at startup.  Raises ConfigError."""
    for delay_s in backoff_delays(MAX_CONFIG_RETRY_S):
        try:
            return Config(os.environ)
        except ConfigReadError:
            time.sleep(delay_s)
    return Config(os.environ)


async def _main(config: Config, handover: Handover | None, early_signals: list[int]) -> None:
    loop = asyncio.get_running_loop()
    await Gateway(config, loop, handover=handover, started_ns=process_started_ns()).run(early_signals)


def main(handover: Handover | None = None) -> int:
    """Run the gateway; return 0 after SIGTERM or SIGINT, 1 if it can't listen, 2 if the configuration is invalid.

    `handover` is this process's file if it has one already.  If it were removed and created again, the
    other process would in between find no other process running.
    """
    early_signals: list[int] = []   # SIGHUP's default ends the process; the file read next may still be the old one
    signal.signal(signal.SIGHUP, lambda number, _: early_signals.append(number))
    handler = logging.StreamHandler()
    handler.addFilter(_LogRateLimit())
    logging.basicConfig(level=logging.INFO, handlers=[handler], format="%(asctime)s %(name)s %(message)s")
    try:
        config = _initial_config()
    except ConfigError as error:
        print(f"gateway: EDGE_CONFIG: {' '.join(str(error).split())}", file=sys.stderr)
        return 2
    gc.freeze()   # objects loaded by now live as long as the process: excluded from garbage collection
    gc.set_threshold(50_000, 20, 50)
    configure_allocator()
    return_free_memory()
    try:
        uvloop.run(_main(config, handover, early_signals),
                   loop_factory=lambda: retry_before_loop(uvloop.new_event_loop))
    except ConfigError as error:
        print(f"gateway: {error}", file=sys.stderr)
        return 1
    return 0
