"""A host's client of the list service: registers, sends heartbeats, drains and ends at any service that responds."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Sequence
from typing import Any

import aiohttp

from moleworks import logs

log = logs.get("registry.registration")

CALL_TIMEOUT_S = 2.0
HEARTBEATS_PER_TTL = 6.0
"""Heartbeats per TTL, so that a host stays listed even if most of them are lost."""


class Replaced(Exception):
    """Another process has registered under this name in the meantime."""


class Registration:
    """One host's session."""

    def __init__(self, addresses: Sequence[tuple[str, int]], name: str, host: dict[str, Any], ttl_ms: int) -> None:
        self._addresses = list(addresses)
        random.shuffle(self._addresses)
        self.name, self._host, self.ttl_ms = name, host, ttl_ms
        self.session = secrets.token_hex(8)

    async def run(self, stop: asyncio.Event) -> None:
        """Register, send heartbeats until `stop` is set, then drain.  Raises Replaced.  `end` removes the host."""
        async with aiohttp.ClientSession() as http:
            await self._call_until_done(http, "", {**self._host, "session": self.session, "ttlMs": self.ttl_ms})
            log.info("registered", host=self.name)
            while not stop.is_set():
                try:
                    async with asyncio.timeout(self.ttl_ms / 1000 / HEARTBEATS_PER_TTL * random.uniform(0.8, 1.0)):
                        await stop.wait()
                except TimeoutError:
                    await self._renew(http)
            await self._call_until_done(http, "/drain", {"session": self.session})

    async def end(self) -> None:
        """Remove the host from the list; returns once it is removed.  Raises Replaced."""
        async with aiohttp.ClientSession() as http:
            await self._call_until_done(http, "/end", {"session": self.session})

    async def _renew(self, http: aiohttp.ClientSession) -> None:
        """Send one heartbeat, trying each service once until one responds.  A lost heartbeat is not repeated."""
        status = 0
        for _ in self._addresses:
            status = status or await self._post(http, "/renew", {"session": self.session}, self.ttl_ms / 12_000)
        if status == 409:   # the session has expired; another process may have the name by now
            await self._call_until_done(http, "", {**self._host, "session": self.session, "ttlMs": self.ttl_ms})

    async def _call_until_done(self, http: aiohttp.ClientSession, path: str, body: dict[str, Any]) -> None:
        backoff_s = 0.1
        while True:
            status = await self._post(http, path, body)
            if status == 200:
                return
            if status == 409 and path:
                raise Replaced(self.name)
            if status == 400:
                raise ValueError(f"{self.name}: the service rejected the request as invalid")
            await asyncio.sleep(backoff_s * random.uniform(0.5, 1.5))
            backoff_s = min(2.0, backoff_s * 2)

    async def _post(self, http: aiohttp.ClientSession, path: str, body: dict[str, Any],
                    timeout_s: float = CALL_TIMEOUT_S) -> int:
        """The response's status; 0 if there was no usable response."""
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        host, port = self._addresses[0]
        try:
            async with http.post(f"http://{host}:{port}/registry/hosts/{self.name}{path}", json=body,
                                 timeout=timeout) as response:
                if response.status in (200, 400, 409, 429):
                    return response.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            pass
        self._addresses.append(self._addresses.pop(0))
        return 0
