"""The list service's HTTP side: `/registry/instances` as on the platform, and calls for writers and operators."""

from __future__ import annotations

import asyncio
import random
import time
from collections import OrderedDict
from collections.abc import Awaitable
from typing import Annotated, Any

import msgspec
from aiohttp import web
from msgspec import Meta, Struct

from moleworks import logs
from moleworks.store.client import Client, Refused, Unavailable

from .expiry import Limits
from .mirror import Host
from .rows import DRAINING, GONE, READY, Name, Row
from .service import Conflict, Service

log = logs.get("registry.http")

BEAT_S = 2.0
WATCHERS = 4000
JOINING, JOINS = 32, 2000
"""Whole lists on their way at once, and calls that may wait for their turn; beyond that 503 and Retry-After."""
BODY = 256 * 1024
BEATS_MS = 1500.0
"""A service that has heard nothing of the store for so long takes no heartbeats: they would come too late there."""
WRITE_S = 10.0
"""A reader that takes nothing for so long is dropped."""
AGAIN_S = 1.0
"""One name may come back with another session so often at most: a host that flaps makes no more versions than that."""
NAMES = 20_000
Session = Annotated[str, Meta(min_length=8, max_length=64, pattern=r"^[A-Za-z0-9_-]+$")]


class Register(Struct, forbid_unknown_fields=True, rename="camel"):
    """A host's own call."""

    session: Session
    host_port: str
    zone: str
    machine_type: str = ""
    cell: int = 0
    weight: float = 1.0
    started_at_ms: int = 0
    ttl_ms: Annotated[int, Meta(ge=500, le=3_600_000)] = 15_000


class Own(Struct, forbid_unknown_fields=True):
    """What a host says of itself later."""

    session: Session


class Changes(Struct, forbid_unknown_fields=True):
    """An operator's: all in one version."""

    put: list[Row] = []
    drain: list[Name] = []
    remove: list[Name] = []


class Http:
    """One process's listener."""

    def __init__(self, client: Client, name: str, limits: Limits, bound_s: float) -> None:
        self._bound_ms = bound_s * 1000
        self._next = asyncio.Event()
        self.service = Service(client, name, limits, self._changed)
        self.watchers = self.most_watchers = self.refused = 0
        self._joins = asyncio.Semaphore(JOINING)
        self._waiting = 0
        self._came: OrderedDict[str, float] = OrderedDict()
        self.app = web.Application(client_max_size=BODY)
        add = self.app.router
        add.add_get("/registry/instances", self._instances)
        add.add_get("/registry/status", self._status)
        add.add_get("/registry/history", self._history)
        add.add_post("/registry/changes", self._changes)
        add.add_post("/registry/hosts/{name}", self._register)
        add.add_post("/registry/hosts/{name}/{act:renew|drain|end}", self._own)

    def _changed(self) -> None:
        """Wake all that wait for a version."""
        waked, self._next = self._next, asyncio.Event()
        waked.set()

    def _busy(self, why: str, after_s: float = 1.0) -> web.Response:
        self.refused += 1
        after = after_s * random.uniform(0.5, 1.5)     # not all of them at the same time again
        return web.json_response({"error": why}, status=503, headers={"Retry-After": f"{after:.2f}"})

    def _stale(self, request: web.Request) -> bool:
        """Whether this service is too far behind to answer; one that insists may have the last known list."""
        return self.service.age_ms() > self._bound_ms and request.query.get("stale") != "1"

    # ---- Readers -----------------------------------------------------------------------------------------

    async def _instances(self, request: web.Request) -> web.StreamResponse:
        version = request.query.get("from", "0")
        if not version.isascii() or not version.isdigit() or len(version) > 18:
            return web.json_response({"error": "from: must be a version"}, status=400)
        mirror = self.service.mirror
        if not mirror.generation:
            return self._busy("nothing is known yet")
        if self._stale(request):
            return self._busy(f"the list may be {self.service.age_ms():.0f} ms old")
        if request.query.get("watch") == "1":
            return await self._watch(request, int(version))
        headers = {"X-Registry-Age-Ms": f"{max(0.0, self.service.age_ms()):.0f}", "Content-Type": "application/json"}
        if self._waiting >= JOINS:
            return self._busy("too many ask at once")
        self._waiting += 1
        try:
            async with self._joins:
                return web.Response(body=mirror.line(0, True), headers=headers)
        finally:
            self._waiting -= 1

    async def _watch(self, request: web.Request, version: int) -> web.StreamResponse:
        if self.watchers >= WATCHERS:
            return self._busy("too many watches")
        answer = web.StreamResponse(headers={"Content-Type": "application/json"})
        answer.enable_chunked_encoding()
        self.watchers += 1
        self.most_watchers = max(self.most_watchers, self.watchers)
        try:
            await answer.prepare(request)
            mirror = self.service.mirror
            at = mirror.generation
            await self._say(answer, mirror.line(version))
            while True:
                waits = self._next
                if mirror.generation == at:
                    try:
                        async with asyncio.timeout(BEAT_S):
                            await waits.wait()
                    except TimeoutError:
                        if self._stale(request):
                            break               # the reader shall ask one that hears of the store
                        await self._say(answer, b"")
                        continue
                if mirror.generation != at:
                    line, at = mirror.line(at), mirror.generation
                    await self._say(answer, line)
        except (ConnectionError, TimeoutError):
            if request.transport is not None:
                request.transport.abort()
        finally:
            self.watchers -= 1
        return answer

    async def _say(self, answer: web.StreamResponse, line: bytes) -> None:
        """A line; a large one takes its turn."""
        if len(line) < 65536:
            async with asyncio.timeout(WRITE_S):
                await answer.write(line + b"\n")
            return
        async with self._joins, asyncio.timeout(WRITE_S):
            await answer.write(line + b"\n")

    async def _status(self, _: web.Request) -> web.Response:
        service = self.service
        return web.json_response({
            "service": service.name, "generation": service.mirror.generation, "hosts": len(service.mirror.hosts),
            "ageMs": round(service.age_ms()), "boundMs": self._bound_ms, "doubtful": service.mirror.doubtful,
            "expires": service.expires(), "watchers": self.watchers, "mostWatchers": self.most_watchers,
            "refused": self.refused, "joined": service.mirror.joined})

    async def _history(self, request: web.Request) -> web.Response:
        """Versions that are still known, after one: what changed in each."""
        try:
            after = int(request.query.get("from", "0"))
        except ValueError:
            return web.json_response({"error": "from: must be a version"}, status=400)
        first, versions = self.service.mirror.versions(after)
        return web.Response(body=msgspec.json.encode({"first": first, "versions": versions}),
                            content_type="application/json")

    # ---- Writers -----------------------------------------------------------------------------------------

    async def _body(self, request: web.Request, kind: Any) -> Any:
        """Raises HTTPBadRequest with what is wrong."""
        try:
            return msgspec.json.decode(await request.read(), type=kind)
        except (msgspec.DecodeError, RecursionError) as error:
            raise web.HTTPBadRequest(text=msgspec.json.encode({"error": str(error)}).decode(),
                                     content_type="application/json") from None

    async def _answer(self, change: Awaitable[int], **more: Any) -> web.Response:
        try:
            return web.json_response({"generation": await change, **more})
        except Conflict as error:
            return web.json_response({"error": str(error)}, status=409)
        except ValueError as error:
            return web.json_response({"error": str(error)}, status=400)
        except (Unavailable, Refused) as error:
            return self._busy(str(error), 2.0)

    async def _changes(self, request: web.Request) -> web.Response:
        told: Changes = await self._body(request, Changes)
        return await self._answer(self.service.put([Host(row) for row in told.put], told.drain, told.remove))

    async def _register(self, request: web.Request) -> web.Response:
        told: Register = await self._body(request, Register)
        name = request.match_info["name"]
        try:
            row = msgspec.convert({"instanceId": name, "hostPort": told.host_port, "zone": told.zone,
                                   "machineType": told.machine_type, "cell": told.cell, "lifecycle": READY,
                                   "weight": told.weight, "startedAtMs": told.started_at_ms}, Row)
        except msgspec.ValidationError as error:
            return web.json_response({"error": str(error)}, status=400)
        known = self.service.mirror.hosts.get(name)
        now = time.monotonic()
        if (known is None or known.session != told.session) and now - self._came.get(name, -9.0) < AGAIN_S:
            return web.json_response({"error": f"{name} came a moment ago"}, status=429,
                                     headers={"Retry-After": f"{AGAIN_S:g}"})
        self._came[name] = now
        self._came.move_to_end(name)
        if len(self._came) > NAMES:
            self._came.popitem(last=False)
        return await self._answer(self.service.register(Host(row, told.session, told.ttl_ms)), session=told.session)

    async def _own(self, request: web.Request) -> web.Response:
        told: Own = await self._body(request, Own)
        name, act = request.match_info["name"], request.match_info["act"]
        if act == "renew":
            if self.service.age_ms() > BEATS_MS:
                return self._busy("the store is not heard of")      # the host goes to another service
            try:
                if self.service.renew(name, told.session):
                    return web.json_response({"generation": self.service.mirror.generation})
            except Conflict as error:
                return web.json_response({"error": str(error)}, status=409)
            return self._busy("too many heartbeats wait")
        return await self._answer(self.service.alter(name, told.session, DRAINING if act == "drain" else GONE))


async def serve(http: Http, listen: tuple[str, int], ready: Any = None) -> None:
    """Until cancelled."""
    runner = web.AppRunner(http.app, access_log=None, handler_cancellation=True, shutdown_timeout=0.2)
    await runner.setup()
    site = web.TCPSite(runner, *listen, backlog=4096, reuse_address=True)
    await site.start()
    log.info("registry_serves", service=http.service.name, address="{}:{}".format(*listen))
    if ready is not None:
        ready()
    try:
        await http.service.run()
    finally:
        await runner.cleanup()
