"""`moleworks duty`: show, acquire and release duties, and run commands under them."""

from __future__ import annotations

import os
from typing import Any

import click

from .common import CLUSTER, STORE, TIMEOUT, run_with_client

TTL = click.option("--ttl-ms", type=click.IntRange(100, 3_600_000), default=3000, show_default=True,
                   help="The lease, ms: another process can take over this long after a holder has died.")
NAME = click.option("--name", default=lambda: f"{os.uname().nodename}-{os.getpid()}", help="The holder's name.")


@click.group()
def group() -> None:
    """Duties, each held by at most one process at a time."""


@group.command("list")
@STORE
@CLUSTER
@TIMEOUT
def list_(store: str, cluster: str, timeout: float) -> int:
    """List the duties that are held: name, holder, token, lease."""
    async def action(client: Any) -> int:
        for row in (await client.list("", 0)).grants:
            click.echo(f"{row.duty} {row.holder} token {row.token} ttl {row.ttl_ms} ms"
                       + (f" handed to {row.to}" if row.to else ""))
        return 0
    return run_with_client(store, cluster, timeout, action)


@group.command("run", context_settings={"ignore_unknown_options": True})
@click.argument("duty")
@click.argument("command", nargs=-1, required=True)
@TTL
@NAME
@STORE
@CLUSTER
def run(duty: str, command: tuple[str, ...], ttl_ms: int, name: str, store: str, cluster: str) -> int:
    """Run COMMAND while the duty is held, with its token in $MOLEWORKS_TOKEN.

    The command is ended before another process can acquire the duty.  Exit: the command's own code, or 75 if the duty
    was lost.
    """
    from moleworks.duties import holder

    async def action(client: Any) -> int:
        return await holder.run(holder.Holder(client, duty, name, ttl_ms), command)
    return run_with_client(store, cluster, ttl_ms / 1000, action)


@group.command("hand-over")
@click.argument("duty")
@click.argument("to")
@click.option("--token", type=int, required=True, help="Token of the grant to hand over; its holder must have stopped.")
@STORE
@CLUSTER
@TIMEOUT
def hand_over(duty: str, to: str, token: int, store: str, cluster: str, timeout: float) -> int:
    """Hand a grant over to a named successor.  The holder must have stopped acting under it."""
    async def action(client: Any) -> int:
        result = await client.renew(duty, token, False, to)
        click.echo("handed over" if result.done else result.why)
        return 0 if result.done else 1
    return run_with_client(store, cluster, timeout, action)


@group.command()
@click.argument("duty")
@TTL
@NAME
@click.option("--wait", type=click.FloatRange(0), default=0.0,
              help="Seconds to keep trying while another process holds the duty.")
@STORE
@CLUSTER
@TIMEOUT
def acquire(duty: str, ttl_ms: int, name: str, wait: float, store: str, cluster: str, timeout: float) -> int:
    """Acquire a duty for one lease and print its token; if it can't be acquired, print its holder and exit 1.

    Scripts call `duty renew` before the lease expires and `duty release` at the end; `duty run` does both.
    """
    import asyncio
    import time

    async def action(client: Any) -> int:
        deadline = time.monotonic() + wait
        while True:
            result = await client.acquire(duty, name, ttl_ms)
            if result.done or result.why != "held" or time.monotonic() >= deadline:
                break
            await asyncio.sleep(ttl_ms / 10_000)
        click.echo(result.token if result.done else f"{result.why} {result.holder} token {result.token}")
        return 0 if result.done else 1
    return run_with_client(store, cluster, timeout, action)


def _renewal(duty: str, token: int, release: bool, store: str, cluster: str, timeout: float) -> int:
    async def action(client: Any) -> int:
        result = await client.renew(duty, token, release)
        if not result.done:
            click.echo(result.why)
        return 0 if result.done else 1
    return run_with_client(store, cluster, timeout, action)


TOKEN = click.option("--token", type=int, required=True, help="Token of the grant.")


@group.command()
@click.argument("duty")
@TOKEN
@STORE
@CLUSTER
@TIMEOUT
def renew(duty: str, token: int, store: str, cluster: str, timeout: float) -> int:
    """Renew the lease of a grant, counted from before this call was made.  Exit 1 if the grant is lost."""
    return _renewal(duty, token, False, store, cluster, timeout)


@group.command()
@click.argument("duty")
@TOKEN
@STORE
@CLUSTER
@TIMEOUT
def release(duty: str, token: int, store: str, cluster: str, timeout: float) -> int:
    """Release a grant.  The holder must have stopped acting under it.  Exit 1 if the grant is lost."""
    return _renewal(duty, token, True, store, cluster, timeout)


@group.command()
@click.argument("duty")
@click.option("--for", "seconds", type=click.FloatRange(0, min_open=True), default=None,
              help="Seconds to run; without it until Ctrl-C.")
@STORE
@CLUSTER
def watch(duty: str, seconds: float | None, store: str, cluster: str) -> int:
    """Print the holder of a duty, now and at each change."""
    import asyncio
    import contextlib

    async def action(client: Any) -> int:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                async for row in client.watch_duty(duty):
                    click.echo("nobody" if row is None else f"{row.holder} token {row.token}"
                               + (f" handed to {row.to}" if row.to else ""))
        return 0
    return run_with_client(store, cluster, 1e9, action)
