"""Runs the fleet as processes: assigns addresses, starts everything in order and cleans up."""

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
from .procs import AddressBlock, Child, RigError

log = logs.get("rig.fleet")

ROOT = Path(__file__).resolve().parents[3]
HOSTS_PER_PROCESS = 30
"""Emulated hosts per process."""
LINKS_PER_ADDRESS = 20_000
"""Links per loopback address."""
KEYS_PER_PROCESS = 1 << 40


class Fleet:
    """All processes of a run; an asynchronous context manager that ends them and removes their files."""

    def __init__(self, experiment: Experiment, places: Places, out: Path, root: Path = ROOT,
                 on_counts: Callable[[dict[str, Any]], None] | None = None) -> None:
        self.experiment, self.places, self.out, self.root = experiment, places, out, root
        self._on_counts = on_counts
        self.epoch = 0
        self.notes: list[dict[str, Any]] = []
        self.gateways: dict[str, RealGateway] = {}
        self.host_processes: list[Child] = []
        self.links: Child | None = None
        self.clients: Child | None = None
        self.link_numbers: dict[tuple[str, str], int] = {}
        self.host_addresses: dict[str, tuple[str, int]] = {}
        self.ready_s: dict[str, float] = {}

    def now(self) -> int:
        """Nanoseconds since the start of the run; 0 before it."""
        return max(0, time.monotonic_ns() - self.epoch) if self.epoch else 0

    async def __aenter__(self) -> Fleet:
        self._block = AddressBlock()
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
        address = self._block.at(10 + number // LINKS_PER_ADDRESS, 20_000 + number % LINKS_PER_ADDRESS)
        links.append({"source": source, "name": name, "listen": address, "target": target, "announce": announce})
        self.link_numbers[source, name] = number
        return address

    def _peer_links(self, links: list[dict[str, Any]]) -> None:
        """Add a datagram link for each pair of gateways, and for each gateway an address that reaches all others."""
        if not self.experiment.world.gateways.peers:
            return
        names = list(self.places.gateways)
        self._peer_addresses = {name: self._block.at(5, 10_000 + index) for index, name in enumerate(names)}
        addresses: dict[tuple[str, str], tuple[str, int]] = {}
        for index, name in enumerate(names):
            for other in names[index + 1:]:
                number = len(links)
                port = 10_000 + len(addresses) // 2
                addresses[name, other], addresses[other, name] = self._block.at(6, port), self._block.at(7, port)
                links.append({"source": name, "name": other, "listen": addresses[name, other],
                              "far": addresses[other, name],
                              "near_target": self._peer_addresses[name], "target": self._peer_addresses[other]})
                self.link_numbers[name, other] = number
        for index, name in enumerate(names):
            self._hubs.append({"listen": self._block.at(8, 10_000 + index), "ways": [
                (self.link_numbers.get((name, other), self.link_numbers.get((other, name), -1)),
                 int((other, name) in self.link_numbers)) for other in names if other != name]})
            # The list is indexed by gateway number, so it has an entry for the gateway itself: its own address.
            self._peers[name] = {"peer_listen": "{}:{}".format(*self._peer_addresses[name]),
                                 "peers_all": "{}:{}".format(*self._hubs[index]["listen"]),
                                 "peers": ["{}:{}".format(*(self._peer_addresses[name] if other == name
                                                            else addresses[name, other])) for other in names]}

    def _addresses(self) -> list[dict[str, Any]]:
        """Assign all addresses and return the links."""
        places = self.places
        self.host_addresses = {name: self._block.at(2, 10_000 + index) for index, name in enumerate(places.hosts)}
        self._gateway_addresses = {name: self._block.at(3, 10_000 + index)
                                   for index, name in enumerate(places.gateways)}
        self._discovery_address = self._block.at(4, 10_000)
        links: list[dict[str, Any]] = []
        self.client_addresses = {name: self._link(links, CLIENTS, name, address, False)
                                 for name, address in self._gateway_addresses.items()}
        self._discovery_links = {name: self._link(links, name, DISCOVERY, self._discovery_address, True)
                                 for name in places.gateways}
        self._hubs: list[dict[str, Any]] = []
        self._peers: dict[str, dict[str, Any]] = {}
        self._peer_links(links)
        self._entries_by_gateway: dict[str, dict[str, dict[str, Any]]] = {}
        for name in places.gateways:
            self._entries_by_gateway[name] = entries = {}
            for host, place in places.hosts.items():
                address = self._link(links, name, host, self.host_addresses[host], True)
                entries[host] = {"hostPort": "{}:{}".format(*address), "zone": places.zones[place.zone],
                                 "machineType": settings.MACHINE, "cell": place.cell}
        return links

    # ---- The start -------------------------------------------------------------------------------------

    async def _start(self) -> None:
        experiment, places, world = self.experiment, self.places, self.experiment.world
        self.record(world_line(experiment, places, "real"))
        deploy = tomllib.loads((self.root / "deploy/balancer.toml").read_text())
        if self.root == ROOT:   # another revision's directory is already built
            done = await asyncio.to_thread(subprocess.run, ["/bin/sh", "-c", deploy["build"]], cwd=self.root,
                                           capture_output=True, text=True, check=False)
            if done.returncode:
                raise RigError(f"the build command of deploy/balancer.toml failed: {done.stderr.strip()[-300:]}")
        links = self._addresses()
        part_prefix = self._folder / "hosts"
        names = list(places.hosts)
        for index in range(0, len(names), HOSTS_PER_PROCESS):
            number = index // HOSTS_PER_PROCESS
            hosts = [{"name": name, "listen": self.host_addresses[name],
                      "spec": msgspec.to_builtins(places.hosts[name].spec)}
                     for name in names[index:index + HOSTS_PER_PROCESS]]
            self.host_processes.append(await Child.start(
                f"hosts{number}", "moleworks.rig.real.hosts",
                {"part": f"{part_prefix}{number}.part", "hosts": hosts, "seed": experiment.seed,
                 "first_key": (number + 1) * KEYS_PER_PROCESS, "fall_multiple": world.fall_multiple,
                 "fall_ns": int(world.fall_ms * 1e6)}, self._folder, self._on_host_report))
        self.links = await Child.start(
            "links", "moleworks.rig.real.link",
            {"part": str(self._folder / "links.part"), "links": links, "hubs": self._hubs, "seed": experiment.seed},
            self._folder)
        if world.network.real_delays:
            self._set_normal_delays()
        listed = [name for name, place in places.hosts.items() if place.spec.listed]
        self.discovery = Discovery(Listing(listed), self._entries_by_gateway, world.discovery.call_ms / 1000,
                                   self.record, self.now)
        await self.discovery.start(self._discovery_address)
        for number, name in enumerate(places.gateways):
            self.gateways[name] = self._gateway(number, name, deploy["run"])
        await asyncio.gather(*(self._start_first(gateway) for gateway in self.gateways.values()))
        self.clients = await Child.start(
            "clients", "moleworks.rig.real.clients",
            {"part": str(self._folder / "clients.part"), "experiment": msgspec.to_builtins(experiment),
             "gateways": self.client_addresses, "tell": self._on_counts is not None}, self._folder,
            self._on_counts or (lambda _: None))

    def _on_host_report(self, message: dict[str, Any]) -> None:
        """A host has failed under overload: it stays down, and the host list is updated after the notice delay."""
        name = message["host"]
        self.refuse(name, True)
        asyncio.get_running_loop().call_later(self.experiment.world.discovery.notice_ms / 1000,
                                              self.discovery.change, name, GONE)

    def _set_normal_delays(self) -> None:
        """Set the network's normal delays on the links, as faults that never end."""
        network = self.experiment.world.network
        for (source, name), number in self.link_numbers.items():
            is_same_zone = self.places.zone_of(source) == self.places.zone_of(name)
            size = network.client_ms if source == CLIENTS else network.same_ms if is_same_zone else network.cross_ms
            self.set_link_fault([number], "delay", True, size, True, True)

    def _gateway(self, number: int, name: str, command: str) -> RealGateway:
        gateways = self.experiment.world.gateways
        config = {
            "name": name, "listen": "{}:{}".format(*self._gateway_addresses[name]),
            "discovery": "{}:{}".format(*self._discovery_links[name]), "seed": f"{self.experiment.seed + number:08x}",
            "limits": {"cores": 1.0, "memory_mb": gateways.memory_mb, "sockets": gateways.sockets},
            "settings": settings.settings(self.experiment, self.places, number)} | self._peers.get(name, {})
        return RealGateway(name, command, self.root, self._folder / name, config, self.logs / f"{name}.log",
                           [self._block.at(3, 20_000 + 2 * number), self._block.at(3, 20_001 + 2 * number)])

    def known_list(self, name: str) -> dict[str, Any]:
        """The host list for a gateway's configuration; recorded as received by the gateway."""
        rows = list(self.discovery.listing.rows.values())
        self.record(history.Listed(self.now(), name, True, [(row.host, row.state) for row in rows]))
        return line(self.discovery.listing.generation, True, rows, self._entries_by_gateway[name],
                    self.discovery.epoch_ms)

    async def _start_first(self, gateway: RealGateway) -> None:
        self.record(history.GatewayEvent(self.now(), gateway.name, "up"))
        await gateway.start(self.known_list(gateway.name))
        self.ready_s[gateway.name] = await gateway.ready()

    def go(self) -> None:
        """Start the run 200 ms from now."""
        self.epoch = time.monotonic_ns() + 200_000_000
        self.discovery.epoch_ms = time.time_ns() // 1_000_000 + 200
        for child in self.children():
            child.tell("go", epoch=self.epoch)

    def children(self) -> list[Child]:
        """The test bench's own child processes."""
        return [child for child in (*self.host_processes, self.links, self.clients) if child is not None]

    # ---- Links and hosts -------------------------------------------------------------------------------

    def set_link_fault(self, links: list[int], kind: str, begins: bool, size: float, forth: bool, back: bool) -> None:
        assert self.links is not None
        if links:
            self.links.tell("fault", links=links, kind=kind, begins=begins, size=size, forth=forth, back=back)

    def fault_between(self, kind: str, begins: bool, size: float, source: str, target: str, both: bool) -> list[int]:
        """Begin or end a fault from `source` to `target`, or in both directions; returns the affected links."""
        affected = []
        for pair, forth in (((source, target), True), ((target, source), False)):
            number = self.link_numbers.get(pair)
            if number is not None:
                self.set_link_fault([number], kind, begins, size, forth or both, both or not forth)
                affected.append(number)
        return affected

    def refuse(self, name: str, active: bool) -> None:
        """Make the links to this name refuse connections, or accept them again."""
        assert self.links is not None
        numbers = [number for (_, target), number in self.link_numbers.items() if target == name]
        self.links.tell("refuse", links=numbers, active=active)

    def links_to(self, name: str) -> list[int]:
        """The numbers of the links to a name."""
        return [number for (_, target), number in self.link_numbers.items() if target == name]

    def tell_host(self, name: str, do: str, **arguments: Any) -> None:
        """Send a command to a host."""
        for child in self.host_processes:
            child.tell(do, hosts=[name], **arguments)

    # ---- The end ---------------------------------------------------------------------------------------

    async def finish(self) -> None:
        """Stop the children and note their figures: the clients first, so that no more requests are sent."""
        for child, max_late_ms in ((self.clients, 100.0), (self.links, 0.0)):
            if child is not None:
                self._note_figures(child.process.name, await child.finish(), max_late_ms)
        for child in self.host_processes:
            self._note_figures(child.process.name, await child.finish(), 25.0)

    def _note_figures(self, name: str, figures: dict[str, Any], max_late_ms: float) -> None:
        """Add a child's figures to the notes.  If the child was too late, the run is recorded as invalid."""
        self.notes.append({"what": name, **figures})
        worst = figures.get("late_p999_ms" if name == "clients" else "late_p99_ms", 0.0)
        if figures.get("planned", 0) and worst > max_late_ms:
            self.record(history.Note(self.now(), "late", {"p_ms": worst, "most_ms": max_late_ms}))

    def merge(self) -> int:
        """Merge the history files of all processes into one; those of killed children as far as they were written."""
        self._writer.flush()
        parts = [self._folder / "rig.part", *sorted(self._folder.glob("*.part"))]
        unique = list(dict.fromkeys(path for path in parts if path.exists()))
        return history.merge(unique, self.out / "history.jsonl")

    async def close(self) -> None:
        """End every process and remove all files; may be called at any time and more than once."""
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
