"""A host's side of the list: it registers, renews, drains and ends, with whichever service answers."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Sequence
from typing import Any

import aiohttp

from moleworks import logs

log = logs.get("registry.registration")

TRY_S = 2.0
RENEWALS = 6.0
"""Heartbeats in a lease: most of them may be lost."""


class Replaced(Exception):
    """Another process has registered under this name since."""


class Registration:
    """One host's session."""

    def __init__(self, addresses: Sequence[tuple[str, int]], name: str, host: dict[str, Any], ttl_ms: int) -> None:
        self._addresses = list(addresses)
        random.shuffle(self._addresses)
        self.name, self._host, self.ttl_ms = name, host, ttl_ms
        self.session = secrets.token_hex(8)

    async def run(self, ends: asyncio.Event) -> None:
        """Register, renew until `ends`, then drain.  Raises Replaced.  `end` takes it out at last."""
        async with aiohttp.ClientSession() as http:
            await self._until(http, "", {**self._host, "session": self.session, "ttlMs": self.ttl_ms})
            log.info("registered", host=self.name)
            while not ends.is_set():
                try:
                    async with asyncio.timeout(self.ttl_ms / 1000 / RENEWALS * random.uniform(0.8, 1.0)):
                        await ends.wait()
                except TimeoutError:
                    await self._renew(http)
            await self._until(http, "/drain", {"session": self.session})

    async def end(self) -> None:
        """It is out of the list when this returns.  Raises Replaced."""
        async with aiohttp.ClientSession() as http:
            await self._until(http, "/end", {"session": self.session})

    async def _renew(self, http: aiohttp.ClientSession) -> None:
        """One heartbeat, with each service in turn until one answers; one that is lost is lost."""
        status = 0
        for _ in self._addresses:
            status = status or await self._post(http, "/renew", {"session": self.session}, self.ttl_ms / 12_000)
        if status == 409:   # expired and taken by another, or expired and not registered anew yet
            await self._until(http, "", {**self._host, "session": self.session, "ttlMs": self.ttl_ms})

    async def _until(self, http: aiohttp.ClientSession, act: str, told: dict[str, Any]) -> None:
        pause = 0.1
        while True:
            status = await self._post(http, act, told)
            if status == 200:
                return
            if status == 409 and act:
                raise Replaced(self.name)
            if status == 400:
                raise ValueError(f"{self.name}: the service refuses what it was told")
            await asyncio.sleep(pause * random.uniform(0.5, 1.5))
            pause = min(2.0, pause * 2)

    async def _post(self, http: aiohttp.ClientSession, act: str, told: dict[str, Any], wait_s: float = TRY_S) -> int:
        """The answer's status; 0 where there is none."""
        timeout = aiohttp.ClientTimeout(total=wait_s)
        host, port = self._addresses[0]
        try:
            async with http.post(f"http://{host}:{port}/registry/hosts/{self.name}{act}", json=told,
                                 timeout=timeout) as answer:
                if answer.status in (200, 400, 409, 429):
                    return answer.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            pass
        self._addresses.append(self._addresses.pop(0))
        return 0
