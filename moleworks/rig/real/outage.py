"""Compares gateways that use the project's list service with and without an outage of all its processes.

Hosts stop and start meanwhile.  The same run is made twice: with the services, and without them from a tenth of its
duration on.  One gateway is killed during the run and started again with only its cached list.
"""

from __future__ import annotations

import asyncio
import os
import shutil
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
import uvloop

from .. import settings
from ..places import Places
from ..spec import Experiment, Hosts, Load, World
from .endure import ROOT, Members
from .gateway import RealGateway
from .load import Load as LoadLoop
from .load import address
from .procs import Child, Process

CLASS, WORK_NS = "dinle", 20_000_000
LATENCY_TARGET_MS, DEADLINE_MS = 200.0, 800.0
FAILURE_INTERVAL_S, FAILURE_DURATION_S, NOTICE_DELAY_S = 8.0, 5.0, 1.5
"""Interval between host failures, duration of a failure, and delay until the list service removes the host."""


class Outage:
    """One run with or without the outage."""

    def __init__(self, folder: Path, hosts: int, rps: float, seconds: float, down: bool) -> None:
        self.folder, self.seconds, self.down, self._rps = folder, seconds, down, rps
        self.store = Members(folder)
        self.experiment = Experiment("Outage", "real", world=World(hosts=[Hosts(count=hosts)]), load=Load(rps=rps))
        self.places = Places(self.experiment)
        block = self.store.block
        self._host_addresses = {name: block.at(5, 7000 + index) for index, name in enumerate(self.places.hosts)}
        self._link_addresses = {name: block.at(6, 7000 + index) for index, name in enumerate(self.places.hosts)}
        self._service_addresses = {f"r{number}": block.at(4, 7000 + number) for number in range(3)}
        self._services: dict[str, Process] = {}
        self._gateways: list[RealGateway] = []
        self._children: list[Child] = []

    async def _start_services(self) -> None:
        members = ",".join("{}:{}".format(*at) for at in self.store.at.values())
        for name, at in self._service_addresses.items():
            self._services[name] = await Process.start(
                name, [sys.executable, "-B", "-m", "moleworks", "--log-level", "error", "registry", "serve",
                       "--name", name, "--listen", "{}:{}".format(*at), "--store", members, "--cluster", "rig"], ROOT,
                dict(os.environ), self.folder / f"{name}.log")

    async def _change_list(self, **change: Any) -> None:
        """Make an operator's change of the list; retry until a service has accepted it."""
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=3.0)) as session:
            while True:
                for host, port in self._service_addresses.values():
                    try:
                        async with session.post(f"http://{host}:{port}/registry/changes", json=change) as response:
                            if response.status == 200:
                                return
                    except (aiohttp.ClientError, OSError, TimeoutError):
                        continue
                await asyncio.sleep(0.1)

    def _row(self, name: str) -> dict[str, Any]:
        place = self.places.hosts[name]
        return {"instanceId": name, "hostPort": "{}:{}".format(*self._link_addresses[name]), "cell": place.cell,
                "zone": self.places.zones[place.zone], "machineType": settings.MACHINE}

    async def _start(self) -> None:
        self.folder.joinpath("lists").mkdir()
        for name in self.store.at:
            await self.store.start(name)
        await self._start_services()
        hosts = [{"name": name, "listen": at, "spec": msgspec.to_builtins(self.places.hosts[name].spec)}
                 for name, at in self._host_addresses.items()]
        self._hosts = await Child.start("hosts", "moleworks.rig.real.hosts", {
            "part": str(self.folder / "hosts.part"), "hosts": hosts, "seed": 1, "first_key": 1,
            "fall_multiple": 3.0, "fall_ns": 1_500_000_000}, self.folder)
        links = [{"source": "fleet", "name": name, "listen": self._link_addresses[name],
                  "target": self._host_addresses[name], "announce": True} for name in self._host_addresses]
        self._links = await Child.start("links", "moleworks.rig.real.link", {
            "part": str(self.folder / "links.part"), "links": links, "hubs": [], "seed": 1}, self.folder)
        self._children = [self._hosts, self._links]
        for child in self._children:
            child.tell("go", epoch=time.monotonic_ns())
        await self._change_list(put=[self._row(name) for name in self.places.hosts])
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        for number, name in enumerate(self.places.gateways):
            config = {
                "name": name, "listen": "{}:{}".format(*self.store.block.at(7, 7000 + number)),
                "discovery": ",".join("{}:{}".format(*at) for at in self._service_addresses.values()),
                "list_folder": str(self.folder / "lists"), "seed": f"{number:08x}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "settings": settings.settings(self.experiment, self.places, number)}
            operator_addresses = [self.store.block.at(8, 7000 + 2 * number), self.store.block.at(8, 7001 + 2 * number)]
            gateway = RealGateway(name, deploy["run"], ROOT, self.folder / name, config, self.folder / f"{name}.log",
                                  operator_addresses)
            self._gateways.append(gateway)
            await gateway.start({"generation": 0, "reset": True, "instances": []})
        await asyncio.gather(*(gateway.ready() for gateway in self._gateways))
        await asyncio.sleep(1.5)

    # ---- Events during the run ---------------------------------------------------------------------------

    async def _stop_hosts(self) -> None:
        """Stop one host after another for a while; the list is updated if its services are running."""
        names = list(self.places.hosts)
        number = 0
        tasks: set[asyncio.Task[None]] = set()
        while True:
            await asyncio.sleep(FAILURE_INTERVAL_S)
            name = names[number % len(names)]
            number += 1
            tasks.add(asyncio.create_task(self._stop_host(name)))
            tasks = {task for task in tasks if not task.done()}

    async def _stop_host(self, name: str) -> None:
        index = list(self.places.hosts).index(name)
        self._hosts.tell("down", hosts=[name], what="down")
        self._links.tell("refuse", links=[index], active=True)
        await asyncio.sleep(NOTICE_DELAY_S)
        is_list_updated = not (self.down and any(process.ended for process in self._services.values()))
        if is_list_updated:
            await self._change_list(remove=[name])
        await asyncio.sleep(FAILURE_DURATION_S - NOTICE_DELAY_S)
        self._links.tell("refuse", links=[index], active=False)
        self._hosts.tell("start", hosts=[name])
        if is_list_updated:
            await self._change_list(put=[self._row(name)])

    async def _stop_services(self) -> None:
        await asyncio.sleep(self.seconds * 0.1)
        if self.down:
            await asyncio.gather(*(process.end() for process in self._services.values()))

    async def _restart_gateway(self) -> float:
        """Kill a gateway and start it without a configured list; seconds from its start to a host's first response."""
        await asyncio.sleep(self.seconds * 0.6)
        gateway = self._gateways[0]
        assert gateway.process is not None
        await gateway.process.end()
        started_at = time.monotonic()
        await gateway.start({"generation": 0, "reset": True, "instances": []})
        listen_address = gateway.config["listen"]
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=0.5)) as session:
            number = 0
            while time.monotonic() - started_at < 20:
                number += 1
                try:
                    async with session.get(f"http://{listen_address}/{CLASS}/x?w={WORK_NS}", headers={
                            "X-Request-ID": f"{time.time_ns():016x}", "X-Priority-Class": CLASS,
                            "X-Timeout-Ms": "400"}) as response:
                        if response.status == 200:
                            return time.monotonic() - started_at
                except (aiohttp.ClientError, OSError, TimeoutError):
                    pass
                await asyncio.sleep(0.01)
        return 20.0

    async def run(self) -> dict[str, Any]:
        """Perform the run; all processes are ended at the end."""
        event_tasks: list[asyncio.Task[None]] = []
        try:
            await self._start()
            base = f"{time.time_ns() & 0xFFFFFF:06x}"
            loops = []
            for number, gateway in enumerate(self._gateways):
                message = (f"GET /{CLASS}/x?w={WORK_NS} HTTP/1.1\r\nHost: app.svc\r\n"
                           f"X-Request-ID: {base}{number:02x}%08x\r\nX-Priority-Class: {CLASS}\r\n"
                           f"X-Timeout-Ms: {DEADLINE_MS:.0f}\r\n\r\n").encode()
                loops.append(LoadLoop(address(gateway.config["listen"]), message, self._rps / len(self._gateways),
                                      self.seconds, DEADLINE_MS / 1000, number))
            event_tasks = [asyncio.create_task(self._stop_hosts()), asyncio.create_task(self._stop_services())]
            restarted = asyncio.create_task(self._restart_gateway())
            results = await asyncio.gather(*(loop.run() for loop in loops))
            asked = sum(row["asked"] for row in results)
            in_time = sum(item.count_added_in_this_iter_step for loop in loops
                          for item in loop.latency.get_recorded_iterator()
                          if item.value_iterated_to <= LATENCY_TARGET_MS * 1000)
            return {"services": "down" if self.down else "up", "asked": asked,
                    "served": round(sum(row.get("200", 0) for row in results) / asked, 5),
                    "in_time": round(in_time / asked, 5), "first_answer_s": round(await restarted, 2),
                    "p99_ms": max(row["p99_ms"] for row in results)}
        finally:
            for task in event_tasks:
                task.cancel()
            await asyncio.gather(*event_tasks, return_exceptions=True)
            await asyncio.gather(*(gateway.end() for gateway in self._gateways),
                                 *(process.end() for process in self._services.values()),
                                 *(child.process.end() for child in self._children), return_exceptions=True)
            await self.store.close()


def compare(hosts: int, rps: float, seconds: float) -> list[dict[str, Any]]:
    """Perform the run with the services and without them; returns a row of results for each."""
    rows = []
    for down in (False, True):
        folder = Path(tempfile.mkdtemp(prefix="moleworks-outage-"))
        try:
            rows.append(uvloop.run(Outage(folder, hosts, rps, seconds, down).run()))
        finally:
            shutil.rmtree(folder)
    return rows
