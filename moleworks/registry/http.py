"""The list service's HTTP interface: the platform's `/registry/instances`, and calls for hosts and operators."""

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
from .rows import DRAINING, IN_SERVICE, TERMINATED, InstanceId, Row
from .service import Conflict, Service

log = logs.get("registry.http")

HEARTBEAT_INTERVAL_S = 2.0
MAX_WATCHES = 4000
MAX_CONCURRENT_LISTS, MAX_WAITING_LISTS = 32, 2000
"""Full lists that are sent concurrently, and calls that may wait for a slot; further calls get 503 and Retry-After."""
MAX_BODY_BYTES = 256 * 1024
MAX_AGE_FOR_HEARTBEATS_MS = 1500.0
"""A service whose list is older refuses heartbeats, as they would reach the store too late."""
WRITE_TIMEOUT_S = 10.0
"""A reader that accepts no data for this long is disconnected."""
MIN_REGISTRATION_INTERVAL_S = 1.0
"""Minimum time between registrations of one name by different sessions; limits the versions made by a flapping host."""
MAX_REMEMBERED_NAMES = 20_000
SessionId = Annotated[str, Meta(min_length=8, max_length=64, pattern=r"^[A-Za-z0-9_-]+$")]


class RegisterBody(Struct, forbid_unknown_fields=True, rename="camel"):
    """Body of a host's registration."""

    session: SessionId
    host_port: str
    zone: str
    machine_type: str = ""
    cell: int = 0
    weight: float = 1.0
    started_at_ms: int = 0
    ttl_ms: Annotated[int, Meta(ge=500, le=3_600_000)] = 15_000


class SessionBody(Struct, forbid_unknown_fields=True):
    """Body of a registered host's later calls: renew, drain and end."""

    session: SessionId


class ChangesBody(Struct, forbid_unknown_fields=True):
    """Body of an operator's changes, which are applied in one version."""

    put: list[Row] = []
    drain: list[InstanceId] = []
    remove: list[InstanceId] = []


class RegistryApp:
    """The HTTP application of one process."""

    def __init__(self, client: Client, name: str, limits: Limits, bound_s: float) -> None:
        self._bound_ms = bound_s * 1000
        self._next_version = asyncio.Event()
        self.service = Service(client, name, limits, self._wake_watches)
        self.watchers = self.max_watchers = self.refused = 0
        self._list_slots = asyncio.Semaphore(MAX_CONCURRENT_LISTS)
        self._waiting_for_slot = 0
        self._registered_at: OrderedDict[str, float] = OrderedDict()
        self.app = web.Application(client_max_size=MAX_BODY_BYTES)
        router = self.app.router
        router.add_get("/registry/instances", self._instances)
        router.add_get("/registry/status", self._status)
        router.add_get("/registry/history", self._history)
        router.add_post("/registry/changes", self._changes)
        router.add_post("/registry/hosts/{name}", self._register)
        router.add_post("/registry/hosts/{name}/{act:renew|drain|end}", self._session_call)

    def _wake_watches(self) -> None:
        """Wake all watches that wait for the next version."""
        current, self._next_version = self._next_version, asyncio.Event()
        current.set()

    def _unavailable(self, reason: str, after_s: float = 1.0) -> web.Response:
        self.refused += 1
        retry_after = after_s * random.uniform(0.5, 1.5)     # jitter, so that clients do not all retry at the same time
        return web.json_response({"error": reason}, status=503, headers={"Retry-After": f"{retry_after:.2f}"})

    def _is_too_stale(self, request: web.Request) -> bool:
        """Whether the list is too old to be served.  With `stale=1` the last known list is served at any age."""
        return self.service.age_ms() > self._bound_ms and request.query.get("stale") != "1"

    # ---- Readers -----------------------------------------------------------------------------------------

    async def _instances(self, request: web.Request) -> web.StreamResponse:
        version = request.query.get("from", "0")
        if not version.isascii() or not version.isdigit() or len(version) > 18:
            return web.json_response({"error": "from: must be a version"}, status=400)
        mirror = self.service.mirror
        if not mirror.generation:
            return self._unavailable("nothing is known yet")
        if self._is_too_stale(request):
            return self._unavailable(f"the list may be {self.service.age_ms():.0f} ms old")
        if request.query.get("watch") == "1":
            return await self._watch(request, int(version))
        headers = {"X-Registry-Age-Ms": f"{max(0.0, self.service.age_ms()):.0f}", "Content-Type": "application/json"}
        if self._waiting_for_slot >= MAX_WAITING_LISTS:
            return self._unavailable("too many ask at once")
        self._waiting_for_slot += 1
        try:
            async with self._list_slots:
                return web.Response(body=mirror.line(0, True), headers=headers)
        finally:
            self._waiting_for_slot -= 1

    async def _watch(self, request: web.Request, version: int) -> web.StreamResponse:
        if self.watchers >= MAX_WATCHES:
            return self._unavailable("too many watches")
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        response.enable_chunked_encoding()
        self.watchers += 1
        self.max_watchers = max(self.max_watchers, self.watchers)
        try:
            await response.prepare(request)
            mirror = self.service.mirror
            sent_version = mirror.generation
            await self._write_line(response, mirror.line(version))
            while True:
                next_version = self._next_version
                if mirror.generation == sent_version:
                    try:
                        async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                            await next_version.wait()
                    except TimeoutError:
                        if self._is_too_stale(request):
                            break               # the reader should go to a service that can reach the store
                        await self._write_line(response, b"")
                        continue
                if mirror.generation != sent_version:
                    line, sent_version = mirror.line(sent_version), mirror.generation
                    await self._write_line(response, line)
        except (ConnectionError, TimeoutError):
            if request.transport is not None:
                request.transport.abort()
        finally:
            self.watchers -= 1
        return response

    async def _write_line(self, response: web.StreamResponse, line: bytes) -> None:
        """Write one line; a large one needs a slot for full lists."""
        if len(line) < 65536:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await response.write(line + b"\n")
            return
        async with self._list_slots, asyncio.timeout(WRITE_TIMEOUT_S):
            await response.write(line + b"\n")

    async def _status(self, _: web.Request) -> web.Response:
        service = self.service
        return web.json_response({
            "service": service.name, "generation": service.mirror.generation, "hosts": len(service.mirror.hosts),
            "ageMs": round(service.age_ms()), "boundMs": self._bound_ms, "doubtful": service.mirror.doubtful,
            "expires": service.holds_expiry_duty(), "watchers": self.watchers, "mostWatchers": self.max_watchers,
            "refused": self.refused, "joined": service.mirror.lines_encoded})

    async def _history(self, request: web.Request) -> web.Response:
        """The retained versions after a given one, with the changes of each."""
        try:
            after = int(request.query.get("from", "0"))
        except ValueError:
            return web.json_response({"error": "from: must be a version"}, status=400)
        first, versions = self.service.mirror.versions(after)
        return web.Response(body=msgspec.json.encode({"first": first, "versions": versions}),
                            content_type="application/json")

    # ---- Writers -----------------------------------------------------------------------------------------

    async def _body(self, request: web.Request, body_type: Any) -> Any:
        """Decode the request's body.  Raises HTTPBadRequest with the reason."""
        try:
            return msgspec.json.decode(await request.read(), type=body_type)
        except (msgspec.DecodeError, RecursionError) as error:
            raise web.HTTPBadRequest(text=msgspec.json.encode({"error": str(error)}).decode(),
                                     content_type="application/json") from None

    async def _change_response(self, change: Awaitable[int], **fields: Any) -> web.Response:
        try:
            return web.json_response({"generation": await change, **fields})
        except Conflict as error:
            return web.json_response({"error": str(error)}, status=409)
        except ValueError as error:
            return web.json_response({"error": str(error)}, status=400)
        except (Unavailable, Refused) as error:
            return self._unavailable(str(error), 2.0)

    async def _changes(self, request: web.Request) -> web.Response:
        body: ChangesBody = await self._body(request, ChangesBody)
        return await self._change_response(self.service.put([Host(row) for row in body.put], body.drain, body.remove))

    async def _register(self, request: web.Request) -> web.Response:
        body: RegisterBody = await self._body(request, RegisterBody)
        name = request.match_info["name"]
        try:
            row = msgspec.convert({"instanceId": name, "hostPort": body.host_port, "zone": body.zone,
                                   "machineType": body.machine_type, "cell": body.cell, "lifecycle": IN_SERVICE,
                                   "weight": body.weight, "startedAtMs": body.started_at_ms}, Row)
        except msgspec.ValidationError as error:
            return web.json_response({"error": str(error)}, status=400)
        existing = self.service.mirror.hosts.get(name)
        now = time.monotonic()
        if ((existing is None or existing.session != body.session)
                and now - self._registered_at.get(name, -9.0) < MIN_REGISTRATION_INTERVAL_S):
            return web.json_response({"error": f"{name} came a moment ago"}, status=429,
                                     headers={"Retry-After": f"{MIN_REGISTRATION_INTERVAL_S:g}"})
        self._registered_at[name] = now
        self._registered_at.move_to_end(name)
        if len(self._registered_at) > MAX_REMEMBERED_NAMES:
            self._registered_at.popitem(last=False)
        return await self._change_response(self.service.register(Host(row, body.session, body.ttl_ms)),
                                           session=body.session)

    async def _session_call(self, request: web.Request) -> web.Response:
        body: SessionBody = await self._body(request, SessionBody)
        name, action = request.match_info["name"], request.match_info["act"]
        if action == "renew":
            if self.service.age_ms() > MAX_AGE_FOR_HEARTBEATS_MS:
                return self._unavailable("the store is not heard of")      # the host should try another service
            try:
                if self.service.renew(name, body.session):
                    return web.json_response({"generation": self.service.mirror.generation})
            except Conflict as error:
                return web.json_response({"error": str(error)}, status=409)
            return self._unavailable("too many heartbeats wait")
        return await self._change_response(
            self.service.set_lifecycle(name, body.session, DRAINING if action == "drain" else TERMINATED))


async def serve(app: RegistryApp, listen: tuple[str, int], ready: Any = None) -> None:
    """Serve until cancelled."""
    runner = web.AppRunner(app.app, access_log=None, handler_cancellation=True, shutdown_timeout=0.2)
    await runner.setup()
    site = web.TCPSite(runner, *listen, backlog=4096, reuse_address=True)
    await site.start()
    log.info("registry_serves", service=app.service.name, address="{}:{}".format(*listen))
    if ready is not None:
        ready()
    try:
        await app.service.run()
    finally:
        await runner.cleanup()
