"""`moleworks registry`: serve the list, read it, change it."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from collections.abc import Callable
from typing import Any

import click

from .common import CLUSTER, STORE, address, members

REGISTRY = click.option("--registry", envvar="MOLEWORKS_REGISTRY", required=True, metavar="HOST:PORT,...",
                        help="List services, or $MOLEWORKS_REGISTRY.")


@click.group()
def group() -> None:
    """The list of hosts: served, watched, changed."""


def _addresses(registry: str) -> list[tuple[str, int]]:
    return [address(text, "--registry") for text in registry.split(",")]


@group.command()
@click.option("--name", required=True, help="This service's name; each has its own.")
@click.option("--listen", required=True, metavar="HOST:PORT")
@click.option("--bound", type=click.FloatRange(0.5, 3600), default=5.0, show_default=True,
              help="Seconds: a list that may be older is not given out, but to who insists (stale=1).")
@click.option("--share", type=click.FloatRange(0, 1), default=0.25, show_default=True,
              help="Of a zone's hosts that may fall silent at once and be taken out; more are doubtful and stay.")
@STORE
@CLUSTER
def serve(name: str, listen: str, bound: float, share: float, store: str, cluster: str) -> int:
    """Serve the list until SIGTERM."""
    import uvloop

    from moleworks.registry.expiry import Limits
    from moleworks.registry.http import RegistryApp
    from moleworks.registry.http import serve as serve_registry
    from moleworks.store.client import Client
    where = address(listen, "--listen")
    asked = members(store)

    async def main() -> None:
        async with Client(asked, cluster, 3.0) as client:
            task = asyncio.ensure_future(serve_registry(RegistryApp(client, name, Limits(share), bound), where))
            for number in (signal.SIGTERM, signal.SIGINT):
                asyncio.get_running_loop().add_signal_handler(number, task.cancel)
            with contextlib.suppress(asyncio.CancelledError):
                await task
    try:
        uvloop.run(main())
    except OSError as error:
        print(f"moleworks: registry {name}: {error}", file=sys.stderr)
        return 1
    return 0


def _call(registry: str, method: str, path: str, told: Any, show: Callable[[Any], None]) -> int:
    """One call, to the first service that answers; exit 1 with one line where none does or it won't."""
    import aiohttp

    async def main() -> int:
        why = "no service answers"
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=5.0)) as http:
            for host, port in _addresses(registry):
                try:
                    async with http.request(method, f"http://{host}:{port}/registry/{path}", json=told) as answer:
                        found = await answer.json()
                        if answer.status == 200:
                            show(found)
                            return 0
                        why = found.get("error", f"answer {answer.status}")
                        if answer.status < 500:
                            break
                except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
                    why = f"{host}:{port}: {type(error).__name__} {error}"
        print(f"moleworks: {why}", file=sys.stderr)
        return 1
    return asyncio.run(main())


def _words(row: dict[str, Any]) -> str:
    return (f"{row['instanceId']} {row['hostPort']} {row['zone']} {row['lifecycle']} weight {row['weight']:g}"
            + (f" cell {row['cell']}" if row["cell"] else ""))


@group.command("list")
@click.option("--stale", is_flag=True, help="The last known one, however old.")
@REGISTRY
def list_(stale: bool, registry: str) -> int:
    """The list: name, address, zone, lifecycle, weight."""
    def show(found: Any) -> None:
        click.echo(f"version {found['generation']}")
        for row in sorted(found["instances"], key=lambda row: str(row["instanceId"])):
            click.echo(_words(row))
    return _call(registry, "GET", "instances" + ("?stale=1" if stale else ""), None, show)


@group.command()
@REGISTRY
def status(registry: str) -> int:
    """Each service's own view, a line each; exit 1 if one does not answer."""
    code = 0
    for text in registry.split(","):
        def show(found: Any, text: str = text) -> None:
            click.echo(
                f"{text} {found['service']} version {found['generation']} hosts {found['hosts']} "
                f"watchers {found['watchers']} refused {found['refused']}" + (" expires" if found["expires"] else "")
                + (f" doubtful {','.join(found['doubtful'])}" if found["doubtful"] else ""))
        code |= _call(text, "GET", "status", None, show)
    return code


@group.command()
@click.argument("hosts", nargs=-1, metavar="NAME=HOST:PORT@ZONE...")
@click.option("--drain", multiple=True, metavar="NAME", help="In the same version.")
@click.option("--remove", multiple=True, metavar="NAME", help="In the same version.")
@REGISTRY
def put(hosts: tuple[str, ...], drain: tuple[str, ...], remove: tuple[str, ...], registry: str) -> int:
    """Put hosts into the list, drain and remove others, all in one version.  They stay until they are removed."""
    rows = []
    for text in hosts:
        name, _, rest = text.partition("=")
        where, _, zone = rest.rpartition("@")
        if not name or not zone:
            raise click.UsageError(f"must be NAME=HOST:PORT@ZONE, not {text!r}")
        address(where, text)
        rows.append({"instanceId": name, "hostPort": where, "zone": zone})
    return _change(registry, {"put": rows, "drain": list(drain), "remove": list(remove)})


def _change(registry: str, told: dict[str, Any]) -> int:
    return _call(registry, "POST", "changes", told, lambda found: click.echo(f"version {found['generation']}"))


@group.command()
@click.argument("names", nargs=-1, required=True)
@REGISTRY
def drain(names: tuple[str, ...], registry: str) -> int:
    """Let hosts finish what they have; all in one version."""
    return _change(registry, {"drain": list(names)})


@group.command()
@click.argument("names", nargs=-1, required=True)
@REGISTRY
def remove(names: tuple[str, ...], registry: str) -> int:
    """Take hosts out; all in one version."""
    return _change(registry, {"remove": list(names)})


@group.command()
@click.option("--from", "version", type=click.IntRange(0), default=0, help="After this version; all that are known.")
@REGISTRY
def history(version: int, registry: str) -> int:
    """Versions that are still known, and what each changed."""
    def show(found: Any) -> None:
        click.echo(f"known after version {found['first']}")
        for one in found["versions"]:
            for row in one["instances"]:
                click.echo(f"{one['generation']} {_words(row)}")
    return _call(registry, "GET", f"history?from={version}", None, show)


@group.command()
@click.argument("first", type=click.IntRange(0))
@click.argument("last", type=click.IntRange(0))
@REGISTRY
def diff(first: int, last: int, registry: str) -> int:
    """What changed from one version to another: the last word on each host.  Exit 1 where it is not known any more."""
    code = 0

    def show(found: Any) -> None:
        nonlocal code
        if first < found["first"]:
            print(f"moleworks: versions are known after {found['first']} only", file=sys.stderr)
            code = 1
            return
        rows = {row["instanceId"]: row for one in found["versions"] if one["generation"] <= last
                for row in one["instances"]}
        for row in rows.values():
            click.echo(_words(row))
    return _call(registry, "GET", f"history?from={first}", None, show) or code


@group.command()
@click.option("--for", "seconds", type=click.FloatRange(0, min_open=True), default=None, help="Seconds; until Ctrl-C.")
@REGISTRY
def watch(seconds: float | None, registry: str) -> int:
    """Print the list and its changes as they come, whichever service tells them."""
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
              help="Seconds between drain and end, after SIGTERM.")
@REGISTRY
def keep(name: str, where: str, zone: str, ttl_ms: int, grace: float, registry: str) -> int:
    """Keep a host in the list while this runs; at SIGTERM it drains, then ends.  Exit 75: its name was taken."""
    from moleworks.registry.registration import Registration, Replaced
    address(where, "HOST:PORT")
    one = Registration(_addresses(registry), name, {"hostPort": where, "zone": zone}, ttl_ms)

    async def main() -> None:
        ends = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, ends.set)
        await one.run(ends)
        await asyncio.sleep(grace)
        await one.end()
    try:
        asyncio.run(main())
    except Replaced:
        print(f"moleworks: {name} is another process's now", file=sys.stderr)
        return 75
    except ValueError as error:
        print(f"moleworks: {error}", file=sys.stderr)
        return 2
    return 0
