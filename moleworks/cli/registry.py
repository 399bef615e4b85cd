"""`moleworks registry`: serve, read and change the list of hosts."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from collections.abc import Callable
from typing import Any

import click

from .common import CLUSTER, STORE, parse_address, parse_members

REGISTRY = click.option("--registry", envvar="MOLEWORKS_REGISTRY", required=True, metavar="HOST:PORT,...",
                        help="Addresses of list services, or $MOLEWORKS_REGISTRY.")


@click.group()
def group() -> None:
    """Serve, watch and change the list of hosts."""


def _addresses(registry: str) -> list[tuple[str, int]]:
    return [parse_address(text, "--registry") for text in registry.split(",")]


@group.command()
@click.option("--name", required=True, help="This service's name, which must be unique.")
@click.option("--listen", required=True, metavar="HOST:PORT")
@click.option("--bound", type=click.FloatRange(0.5, 3600), default=5.0, show_default=True,
              help="Seconds: a list that may be older is not given out, but to who insists (stale=1).")
@click.option("--share", type=click.FloatRange(0, 1), default=0.25, show_default=True,
              help="Share of a zone's hosts that may expire at the same time; if more are silent, they are kept.")
@STORE
@CLUSTER
def serve(name: str, listen: str, bound: float, share: float, store: str, cluster: str) -> int:
    """Serve the list until SIGTERM."""
    import uvloop

    from moleworks.registry.expiry import Limits
    from moleworks.registry.http import RegistryApp
    from moleworks.registry.http import serve as serve_registry
    from moleworks.store.client import Client
    where = parse_address(listen, "--listen")
    store_members = parse_members(store)

    async def main() -> None:
        async with Client(store_members, cluster, 3.0) as client:
            task = asyncio.ensure_future(serve_registry(RegistryApp(client, name, Limits(share), bound), where))
            for signal_number in (signal.SIGTERM, signal.SIGINT):
                asyncio.get_running_loop().add_signal_handler(signal_number, task.cancel)
            with contextlib.suppress(asyncio.CancelledError):
                await task
    try:
        uvloop.run(main())
    except OSError as error:
        print(f"moleworks: registry {name}: {error}", file=sys.stderr)
        return 1
    return 0


def _call(registry: str, method: str, path: str, body: Any, show: Callable[[Any], None]) -> int:
    """Send a request to the services in turn; prints one line and returns 1 if none responds or one rejects it."""
    import aiohttp

    async def main() -> int:
        reason = "no service responded"
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=5.0)) as http:
            for host, port in _addresses(registry):
                try:
                    async with http.request(method, f"http://{host}:{port}/registry/{path}", json=body) as response:
                        reply = await response.json()
                        if response.status == 200:
                            show(reply)
                            return 0
                        reason = reply.get("error", f"HTTP status {response.status}")
                        if response.status < 500:
                            break
                except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
                    reason = f"{host}:{port}: {type(error).__name__} {error}"
        print(f"moleworks: {reason}", file=sys.stderr)
        return 1
    return asyncio.run(main())


def _format_row(row: dict[str, Any]) -> str:
    return (f"{row['instanceId']} {row['hostPort']} {row['zone']} {row['lifecycle']} weight {row['weight']:g}"
            + (f" cell {row['cell']}" if row["cell"] else ""))


@group.command("list")
@click.option("--stale", is_flag=True, help="Accept the last known list, whatever its age.")
@REGISTRY
def list_(stale: bool, registry: str) -> int:
    """Print the list: name, address, zone, lifecycle, weight."""
    def show(reply: Any) -> None:
        click.echo(f"version {reply['generation']}")
        for row in sorted(reply["instances"], key=lambda row: str(row["instanceId"])):
            click.echo(_format_row(row))
    return _call(registry, "GET", "instances" + ("?stale=1" if stale else ""), None, show)


@group.command()
@REGISTRY
def status(registry: str) -> int:
    """Print the status of each service, one line each; exit 1 if one does not respond."""
    code = 0
    for text in registry.split(","):
        def show(reply: Any, text: str = text) -> None:
            click.echo(
                f"{text} {reply['service']} version {reply['generation']} hosts {reply['hosts']} "
                f"watchers {reply['watchers']} refused {reply['refused']}" + (" expires" if reply["expires"] else "")
                + (f" doubtful {','.join(reply['doubtful'])}" if reply["doubtful"] else ""))
        code |= _call(text, "GET", "status", None, show)
    return code


@group.command()
@click.argument("hosts", nargs=-1, metavar="NAME=HOST:PORT@ZONE...")
@click.option("--drain", multiple=True, metavar="NAME", help="Drain a host in the same version.")
@click.option("--remove", multiple=True, metavar="NAME", help="Remove a host in the same version.")
@REGISTRY
def put(hosts: tuple[str, ...], drain: tuple[str, ...], remove: tuple[str, ...], registry: str) -> int:
    """Add or update hosts, drain and remove others, all in one version.  Added hosts stay until they are removed."""
    rows = []
    for text in hosts:
        name, _, target = text.partition("=")
        where, _, zone = target.rpartition("@")
        if not name or not zone:
            raise click.UsageError(f"must be NAME=HOST:PORT@ZONE, not {text!r}")
        parse_address(where, text)
        rows.append({"instanceId": name, "hostPort": where, "zone": zone})
    return _change(registry, {"put": rows, "drain": list(drain), "remove": list(remove)})


def _change(registry: str, body: dict[str, Any]) -> int:
    return _call(registry, "POST", "changes", body, lambda reply: click.echo(f"version {reply['generation']}"))


@group.command()
@click.argument("names", nargs=-1, required=True)
@REGISTRY
def drain(names: tuple[str, ...], registry: str) -> int:
    """Drain hosts, all in one version."""
    return _change(registry, {"drain": list(names)})


@group.command()
@click.argument("names", nargs=-1, required=True)
@REGISTRY
def remove(names: tuple[str, ...], registry: str) -> int:
    """Remove hosts, all in one version."""
    return _change(registry, {"remove": list(names)})


@group.command()
@click.option("--from", "version", type=click.IntRange(0), default=0,
              help="Print versions later than this one; default: all that are retained.")
@REGISTRY
def history(version: int, registry: str) -> int:
    """Print the retained versions and the changes of each."""
    def show(reply: Any) -> None:
        click.echo(f"known after version {reply['first']}")
        for version_entry in reply["versions"]:
            for row in version_entry["instances"]:
                click.echo(f"{version_entry['generation']} {_format_row(row)}")
    return _call(registry, "GET", f"history?from={version}", None, show)


@group.command()
@click.argument("first", type=click.IntRange(0))
@click.argument("last", type=click.IntRange(0))
@REGISTRY
def diff(first: int, last: int, registry: str) -> int:
    """Print the latest change of each host between two versions.  Exit 1 if FIRST is no longer retained."""
    code = 0

    def show(reply: Any) -> None:
        nonlocal code
        if first < reply["first"]:
            print(f"moleworks: only versions after {reply['first']} are retained", file=sys.stderr)
            code = 1
            return
        rows = {row["instanceId"]: row for version_entry in reply["versions"] if version_entry["generation"] <= last
                for row in version_entry["instances"]}
        for row in rows.values():
            click.echo(_format_row(row))
    return _call(registry, "GET", f"history?from={first}", None, show) or code


@group.command()
@click.option("--for", "seconds", type=click.FloatRange(0, min_open=True), default=None,
              help="Seconds to run; without it until Ctrl-C.")
@REGISTRY
def watch(seconds: float | None, registry: str) -> int:
    """Print the list and its changes as they arrive from any service."""
    from moleworks.registry.lists import ListClient

    async def main() -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                async for line in ListClient(_addresses(registry)).watch():
                    for row in line.instances:
                        click.echo(f"{line.generation} {row.instance_id} {row.host_port} {row.zone} {row.lifecycle}")
    asyncio.run(main())
    return 0


@group.command()
@click.argument("name")
@click.argument("where", metavar="HOST:PORT")
@click.option("--zone", required=True)
@click.option("--ttl-ms", type=click.IntRange(500, 3_600_000), default=15_000, show_default=True)
@click.option("--grace", type=click.FloatRange(0), default=5.0, show_default=True,
              help="Seconds between drain and removal after SIGTERM.")
@REGISTRY
def keep(name: str, where: str, zone: str, ttl_ms: int, grace: float, registry: str) -> int:
    """Keep a host registered until SIGTERM, then drain and remove it.  Exit 75 if another process took its name."""
    from moleworks.registry.registration import Registration, Replaced
    parse_address(where, "HOST:PORT")
    registration = Registration(_addresses(registry), name, {"hostPort": where, "zone": zone}, ttl_ms)

    async def main() -> None:
        stop = asyncio.Event()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
        await registration.run(stop)
        await asyncio.sleep(grace)
        await registration.end()
    try:
        asyncio.run(main())
    except Replaced:
        print(f"moleworks: {name} has been registered by another process", file=sys.stderr)
        return 75
    except ValueError as error:
        print(f"moleworks: {error}", file=sys.stderr)
        return 2
    return 0
