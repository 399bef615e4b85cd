"""`moleworks duty`: who holds what, and commands that run under a duty."""

from __future__ import annotations

import os
from typing import Any

import click

from .common import CLUSTER, STORE, TIMEOUT, ask

TTL = click.option("--ttl-ms", type=click.IntRange(100, 3_600_000), default=3000, show_default=True,
                   help="The lease: a holder that died is followed so much later.")
NAME = click.option("--name", default=lambda: f"{os.uname().nodename}-{os.getpid()}", help="The holder's name.")


@click.group()
def group() -> None:
    """Duties that only one process holds at a time."""


@group.command("list")
@STORE
@CLUSTER
@TIMEOUT
def list_(store: str, cluster: str, timeout: float) -> int:
    """Duties that are held: name, holder, token, lease."""
    async def act(client: Any) -> int:
        for row in (await client.list("", 0)).grants:
            click.echo(f"{row.duty} {row.holder} token {row.token} ttl {row.ttl_ms} ms"
                       + (f" handed to {row.to}" if row.to else ""))
        return 0
    return ask(store, cluster, timeout, act)


@group.command("run", context_settings={"ignore_unknown_options": True})
@click.argument("duty")
@click.argument("command", nargs=-1, required=True)
@TTL
@NAME
@STORE
@CLUSTER
def run(duty: str, command: tuple[str, ...], ttl_ms: int, name: str, store: str, cluster: str) -> int:
    """Run COMMAND while the duty is held, with its token in $MOLEWORKS_TOKEN; it is ended before the duty can pass on.

    Exit: the command's own, or 75 where the duty was lost.
    """
    from moleworks.duties import holder

    async def act(client: Any) -> int:
        return await holder.run(holder.Holder(client, duty, name, ttl_ms), command)
    return ask(store, cluster, ttl_ms / 1000, act)


@group.command("hand-over")
@click.argument("duty")
@click.argument("to")
@click.option("--token", type=int, required=True, help="Of the grant that is handed over: its holder has stopped.")
@STORE
@CLUSTER
@TIMEOUT
def hand_over(duty: str, to: str, token: int, store: str, cluster: str, timeout: float) -> int:
    """Hand a grant to a named successor, for a holder that has stopped acting under it."""
    async def act(client: Any) -> int:
        result = await client.renew(duty, token, False, to)
        click.echo("handed over" if result.done else result.why)
        return 0 if result.done else 1
    return ask(store, cluster, timeout, act)


@group.command()
@click.argument("duty")
@TTL
@NAME
@click.option("--wait", type=click.FloatRange(0), default=0.0, help="Seconds to ask again while another holds it.")
@STORE
@CLUSTER
@TIMEOUT
def acquire(duty: str, ttl_ms: int, name: str, wait: float, store: str, cluster: str, timeout: float) -> int:
    """Acquire a duty for one lease and print its token; exit 1 and who holds it where it can't be had.

    For scripts: `duty renew` before the lease is out, `duty release` at the end; `duty run` does both.
    """
    import asyncio
    import time

    async def act(client: Any) -> int:
        ends = time.monotonic() + wait
        while True:
            result = await client.acquire(duty, name, ttl_ms)
            if result.done or result.why != "held" or time.monotonic() >= ends:
                break
            await asyncio.sleep(ttl_ms / 10_000)
        click.echo(result.token if result.done else f"{result.why} {result.holder} token {result.token}")
        return 0 if result.done else 1
    return ask(store, cluster, timeout, act)


def _renewal(duty: str, token: int, release: bool, store: str, cluster: str, timeout: float) -> int:
    async def act(client: Any) -> int:
        result = await client.renew(duty, token, release)
        if not result.done:
            click.echo(result.why)
        return 0 if result.done else 1
    return ask(store, cluster, timeout, act)


TOKEN = click.option("--token", type=int, required=True, help="Of the grant.")


@group.command()
@click.argument("duty")
@TOKEN
@STORE
@CLUSTER
@TIMEOUT
def renew(duty: str, token: int, store: str, cluster: str, timeout: float) -> int:
    """Begin the lease of a grant anew; it counts from before this was asked.  Exit 1 where it is lost."""
    return _renewal(duty, token, False, store, cluster, timeout)


@group.command()
@click.argument("duty")
@TOKEN
@STORE
@CLUSTER
@TIMEOUT
def release(duty: str, token: int, store: str, cluster: str, timeout: float) -> int:
    """Let go of a grant, for a holder that has stopped acting under it.  Exit 1 where it is lost."""
    return _renewal(duty, token, True, store, cluster, timeout)


@group.command()
@click.argument("duty")
@click.option("--for", "seconds", type=click.FloatRange(0, min_open=True), default=None, help="Seconds; until Ctrl-C.")
@STORE
@CLUSTER
def watch(duty: str, seconds: float | None, store: str, cluster: str) -> int:
    """Print who holds a duty, now and whenever that changes."""
    import asyncio
    import contextlib

    async def act(client: Any) -> int:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                async for row in client.watch_duty(duty):
                    click.echo("nobody" if row is None else f"{row.holder} token {row.token}"
                               + (f" handed to {row.to}" if row.to else ""))
        return 0
    return ask(store, cluster, 1e9, act)
