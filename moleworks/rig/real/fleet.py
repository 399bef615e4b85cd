"""The fleet as processes: who listens where, what starts in which order, and the end of all of it."""

from __future__ import annotations

import asyncio
import contextlib
import shutil
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from moleworks import logs

from .. import history, settings
from ..listing import GONE, Listing, line
from ..places import CLIENTS, DISCOVERY, Places
from ..spec import Experiment
from ..world import world_line
from .discovery import Discovery
from .gateway import RealGateway
from .procs import Block, Child, Trouble

log = logs.get("rig.fleet")

ROOT = Path(__file__).resolve().parents[3]
HOSTS_EACH = 30
"""Hosts in one process."""
PER_ADDRESS = 20_000
"""Links on one loopback address."""
KEYS_EACH = 1 << 40


class Fleet:
    """Everything that runs.  Use it as a context: whatever happens, nothing is left behind."""

    def __init__(self, experiment: Experiment, places: Places, out: Path, root: Path = ROOT,
                 counts: Callable[[dict[str, Any]], None] | None = None) -> None:
        self.experiment, self.places, self.out, self.root = experiment, places, out, root
        self._counts = counts
        self.epoch = 0
        self.notes: list[dict[str, Any]] = []
        self.gateways: dict[str, RealGateway] = {}
        self.host_parts: list[Child] = []
        self.links: Child | None = None
        self.clients: Child | None = None
        self.link_numbers: dict[tuple[str, str], int] = {}
        self.host_at: dict[str, tuple[str, int]] = {}
        self.ready_s: dict[str, float] = {}

    def now(self) -> int:
        """Nanoseconds since the start; 0 before."""
        return max(0, time.monotonic_ns() - self.epoch) if self.epoch else 0

    async def __aenter__(self) -> Fleet:
        self._block = Block()
        self._folder = Path(tempfile.mkdtemp(prefix="moleworks-rig-"))
        self.logs = self.out / "logs"
        self.logs.mkdir(exist_ok=True)
        self._writer = history.Writer(self._folder / "rig.part")
        self.record = self._writer.add
        try:
            await self._start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    # ---- Addresses -------------------------------------------------------------------------------------

    def _link(self, links: list[dict[str, Any]], source: str, name: str, target: tuple[str, int],
              announce: bool) -> tuple[str, int]:
        number = len(links)
        where = self._block.at(10 + number // PER_ADDRESS, 20_000 + number % PER_ADDRESS)
        links.append({"source": source, "name": name, "listen": where, "target": target, "announce": announce})
        self.link_numbers[source, name] = number
        return where

    def _peer_links(self, links: list[dict[str, Any]]) -> None:
        """Datagram links between every two gateways, and for each an address that reaches all others."""
        if not self.experiment.world.gateways.peers:
            return
        names = list(self.places.gateways)
        self._peer_at = {name: self._block.at(5, 10_000 + index) for index, name in enumerate(names)}
        addresses: dict[tuple[str, str], tuple[str, int]] = {}
        for index, one in enumerate(names):
            for other in names[index + 1:]:
                number = len(links)
                port = 10_000 + len(addresses) // 2
                addresses[one, other], addresses[other, one] = self._block.at(6, port), self._block.at(7, port)
                links.append({"source": one, "name": other, "listen": addresses[one, other],
                              "far": addresses[other, one],
                              "near_target": self._peer_at[one], "target": self._peer_at[other]})
                self.link_numbers[one, other] = number
        for index, name in enumerate(names):
            self._hubs.append({"listen": self._block.at(8, 10_000 + index), "ways": [
                (self.link_numbers.get((name, other), self.link_numbers.get((other, name), -1)),
                 int((other, name) in self.link_numbers)) for other in names if other != name]})
            # A gateway's own place in the list is its own address: peers go by their numbers.
            self._peers[name] = {"peer_listen": "{}:{}".format(*self._peer_at[name]),
                                 "peers_all": "{}:{}".format(*self._hubs[index]["listen"]),
                                 "peers": ["{}:{}".format(*(self._peer_at[name] if other == name
                                                            else addresses[name, other])) for other in names]}

    def _addresses(self) -> list[dict[str, Any]]:
        """Where everybody listens, and the links between."""
        places = self.places
        self.host_at = {name: self._block.at(2, 10_000 + index) for index, name in enumerate(places.hosts)}
        self._gateway_at = {name: self._block.at(3, 10_000 + index) for index, name in enumerate(places.gateways)}
        self._discovery_at = self._block.at(4, 10_000)
        links: list[dict[str, Any]] = []
        self.front = {name: self._link(links, CLIENTS, name, where, False)
                      for name, where in self._gateway_at.items()}
        self._to_discovery = {name: self._link(links, name, DISCOVERY, self._discovery_at, True)
                              for name in places.gateways}
        self._hubs: list[dict[str, Any]] = []
        self._peers: dict[str, dict[str, Any]] = {}
        self._peer_links(links)
        self._describe: dict[str, dict[str, dict[str, Any]]] = {}
        for name in places.gateways:
            self._describe[name] = rows = {}
            for host, place in places.hosts.items():
                where = self._link(links, name, host, self.host_at[host], True)
                rows[host] = {"hostPort": "{}:{}".format(*where), "zone": places.zones[place.zone],
                              "machineType": settings.MACHINE, "cell": place.cell}
        return links

    # ---- The start -------------------------------------------------------------------------------------

    async def _start(self) -> None:
        experiment, places, world = self.experiment, self.places, self.experiment.world
        self.record(world_line(experiment, places, "real"))
        deploy = tomllib.loads((self.root / "deploy/balancer.toml").read_text())
        if self.root == ROOT:   # another revision's folder has what it runs on already
            done = await asyncio.to_thread(subprocess.run, ["/bin/sh", "-c", deploy["build"]], cwd=self.root,
                                           capture_output=True, text=True, check=False)
            if done.returncode:
                raise Trouble(f"the build line failed: {done.stderr.strip()[-300:]}")
        links = self._addresses()
        part = self._folder / "hosts"
        names = list(places.hosts)
        for index in range(0, len(names), HOSTS_EACH):
            number = index // HOSTS_EACH
            hosts = [{"name": name, "listen": self.host_at[name], "spec": msgspec.to_builtins(places.hosts[name].spec)}
                     for name in names[index:index + HOSTS_EACH]]
            self.host_parts.append(await Child.start(
                f"hosts{number}", "moleworks.rig.real.hosts",
                {"part": f"{part}{number}.part", "hosts": hosts, "seed": experiment.seed,
                 "first_key": (number + 1) * KEYS_EACH, "fall_multiple": world.fall_multiple,
                 "fall_ns": int(world.fall_ms * 1e6)}, self._folder, self._host_says))
        self.links = await Child.start(
            "links", "moleworks.rig.real.link",
            {"part": str(self._folder / "links.part"), "links": links, "hubs": self._hubs, "seed": experiment.seed},
            self._folder)
        if world.network.real_delays:
            self._delays()
        listed = [name for name, place in places.hosts.items() if place.spec.listed]
        self.discovery = Discovery(Listing(listed), self._describe, world.discovery.call_ms / 1000, self.record,
                                   self.now)
        await self.discovery.start(self._discovery_at)
        for number, name in enumerate(places.gateways):
            self.gateways[name] = self._gateway(number, name, deploy["run"])
        await asyncio.gather(*(self._first(gateway) for gateway in self.gateways.values()))
        self.clients = await Child.start(
            "clients", "moleworks.rig.real.clients",
            {"part": str(self._folder / "clients.part"), "experiment": msgspec.to_builtins(experiment),
             "gateways": self.front, "tell": self._counts is not None}, self._folder, self._counts or (lambda _: None))

    def _host_says(self, told: dict[str, Any]) -> None:
        """A host has fallen over: its process is gone for good, and the list learns so late."""
        name = told["host"]
        self.refuse(name, True)
        asyncio.get_running_loop().call_later(self.experiment.world.discovery.notice_ms / 1000,
                                              self.discovery.change, name, GONE)

    def _delays(self) -> None:
        """The network's calm delays, set on the links as faults that never end."""
        network = self.experiment.world.network
        for (source, name), number in self.link_numbers.items():
            same = self.places.zone_of(source) == self.places.zone_of(name)
            size = network.client_ms if source == CLIENTS else network.same_ms if same else network.cross_ms
            self._fault([number], "delay", True, size, True, True)

    def _gateway(self, number: int, name: str, command: str) -> RealGateway:
        gateways = self.experiment.world.gateways
        config = {
            "name": name, "listen": "{}:{}".format(*self._gateway_at[name]),
            "discovery": "{}:{}".format(*self._to_discovery[name]), "seed": f"{self.experiment.seed + number:08x}",
            "limits": {"cores": 1.0, "memory_mb": gateways.memory_mb, "sockets": gateways.sockets},
            "settings": settings.settings(self.experiment, self.places, number)} | self._peers.get(name, {})
        return RealGateway(name, command, self.root, self._folder / name, config, self.logs / f"{name}.log",
                           [self._block.at(3, 20_000 + 2 * number), self._block.at(3, 20_001 + 2 * number)])

    def known(self, name: str) -> dict[str, Any]:
        """The list that a configuration brings; it counts as told."""
        rows = list(self.discovery.listing.rows.values())
        self.record(history.Listed(self.now(), name, True, [(row.host, row.state) for row in rows]))
        return line(self.discovery.listing.generation, True, rows, self._describe[name], self.discovery.epoch_ms)

    async def _first(self, gateway: RealGateway) -> None:
        self.record(history.GatewayEvent(self.now(), gateway.name, "up"))
        await gateway.start(self.known(gateway.name))
        self.ready_s[gateway.name] = await gateway.ready()

    def go(self) -> None:
        """The run starts, a moment from now."""
        self.epoch = time.monotonic_ns() + 200_000_000
        self.discovery.epoch_ms = time.time_ns() // 1_000_000 + 200
        for child in self.children():
            child.tell("go", epoch=self.epoch)

    def children(self) -> list[Child]:
        """The rig's own processes."""
        return [child for child in (*self.host_parts, self.links, self.clients) if child is not None]

    # ---- Links and hosts -------------------------------------------------------------------------------

    def _fault(self, links: list[int], kind: str, begins: bool, size: float, forth: bool, back: bool) -> None:
        assert self.links is not None
        if links:
            self.links.tell("fault", links=links, kind=kind, begins=begins, size=size, forth=forth, back=back)

    def fault_between(self, kind: str, begins: bool, size: float, source: str, target: str, both: bool) -> list[int]:
        """A fault on the way from one name to another, or on both; returns the links that it touches."""
        touched = []
        for pair, forth in (((source, target), True), ((target, source), False)):
            number = self.link_numbers.get(pair)
            if number is not None:
                self._fault([number], kind, begins, size, forth or both, both or not forth)
                touched.append(number)
        return touched

    def refuse(self, name: str, active: bool) -> None:
        """Nobody listens under this name, or somebody again: the links in front of it say so."""
        assert self.links is not None
        numbers = [number for (_, target), number in self.link_numbers.items() if target == name]
        self.links.tell("refuse", links=numbers, active=active)

    def links_to(self, name: str) -> list[int]:
        """The links in front of a name."""
        return [number for (_, target), number in self.link_numbers.items() if target == name]

    def tell_host(self, name: str, do: str, **told: Any) -> None:
        """A command to a host."""
        for child in self.host_parts:
            child.tell(do, hosts=[name], **told)

    # ---- The end ---------------------------------------------------------------------------------------

    async def finish(self) -> None:
        """In order: clients first, so that nothing is asked any more; then their figures."""
        for child, most in ((self.clients, 100.0), (self.links, 0.0)):
            if child is not None:
                self._late(child.process.name, await child.finish(), most)
        for child in self.host_parts:
            self._late(child.process.name, await child.finish(), 25.0)

    def _late(self, name: str, figures: dict[str, Any], most_ms: float) -> None:
        """A child's figures into the notes.  Where the rig itself fell behind, the run must not count."""
        self.notes.append({"what": name, **figures})
        worst = figures.get("late_p999_ms" if name == "clients" else "late_p99_ms", 0.0)
        if figures.get("planned", 0) and worst > most_ms:
            self.record(history.Note(self.now(), "late", {"p_ms": worst, "most_ms": most_ms}))

    def merge(self) -> int:
        """All parts into one history; those of children that were killed too, as far as they came."""
        self._writer.flush()
        parts = [self._folder / "rig.part", *sorted(self._folder.glob("*.part"))]
        unique = list(dict.fromkeys(path for path in parts if path.exists()))
        return history.merge(unique, self.out / "history.jsonl")

    async def close(self) -> None:
        """End every process and remove what was made; safe at any moment and more than once."""
        with contextlib.suppress(AttributeError):
            await self.discovery.close()
        jobs = [gateway.end() for gateway in self.gateways.values()]
        jobs += [child.process.end() for child in self.children()]
        await asyncio.gather(*jobs, return_exceptions=True)
        if self._folder.exists():
            for path in self._folder.glob("*.log"):
                if path.stat().st_size:
                    shutil.copy(path, self.logs / path.name)
            shutil.rmtree(self._folder)
        self._block.close()
