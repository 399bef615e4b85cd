"""`moleworks store`: serve a member, look at it, change its members."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path
from typing import Any

import click

from .common import CLUSTER, STORE, TIMEOUT, address, ask
from .common import members as asked_members


@click.group()
def group() -> None:
    """Records with revisions, replicated over some members."""


@group.command()
@click.option("--name", required=True, help="This member's name; never given to another disk.")
@click.option("--listen", required=True, metavar="HOST:PORT")
@click.option("--folder", required=True, type=click.Path(path_type=Path, file_okay=False), help="Where its disk is.")
@click.option("--peers", default="", metavar="NAME=HOST:PORT,...", help="The first members, this one among them.")
@click.option("--first", default="", metavar="NAME,...", help="Which of --peers are the first members, if not all.")
@click.option("--join", "joins", is_flag=True, help="Others will add it: `store members add`.")
@CLUSTER
def serve(name: str, listen: str, folder: Path, peers: str, first: str, joins: bool, cluster: str) -> int:
    """Run a member until SIGTERM.  Exit 1 with one line where it can't go on."""
    import uvloop

    from moleworks.store.disk import CorruptStore
    from moleworks.store.member import Member, MemberStopped
    where = address(listen, "--listen")
    found = {}
    for text in filter(None, peers.split(",")):
        peer, _, at = text.partition("=")
        found[peer] = address(at, f"--peers {text}")
    if not joins and name not in found:
        raise click.UsageError(f"--peers must name {name} too, or --join must be given")
    voters = first.split(",") if first else sorted(found)
    if unknown := [peer for peer in voters if peer not in found]:
        raise click.UsageError(f"--first names {', '.join(unknown)}, which --peers does not")

    async def main() -> None:
        member = Member(name, where, cluster, folder, found, () if joins else tuple(voters))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, member.stop, "")
        await member.run()
    try:
        uvloop.run(main())
    except MemberStopped as error:
        if str(error):
            print(f"moleworks: store {name}: {error}", file=sys.stderr)
            return 1
    except (CorruptStore, OSError) as error:
        print(f"moleworks: store {name}: {error}", file=sys.stderr)
        return 1
    return 0


@group.command()
@STORE
@CLUSTER
def status(store: str, cluster: str) -> int:
    """Every member's view of itself, a line each; exit 1 if one does not answer."""
    code = 0
    for text in store.split(","):
        async def one(client: Any) -> int:
            row = await client.status()
            refused = "".join(f" REFUSES {name}: {why}" for name, why in row.refused.items())
            click.echo(f"{row.member:10} {row.role:9} term {row.term} leader {row.leader or '-'} commit {row.commit} "
                       f"log {row.first}-{row.last} revision {row.revision} voters {','.join(row.config.voters)} "
                       f"learners {','.join(row.config.learners) or '-'} {row.bytes} bytes{refused}")
            return 0
        code |= ask(text, cluster, 2.0, one)
    return code


@group.command()
@click.argument("key")
@click.argument("value")
@STORE
@CLUSTER
@TIMEOUT
def put(key: str, value: str, store: str, cluster: str, timeout: float) -> int:
    """Set a record and print its revision."""
    from moleworks.store.state import Put

    async def act(client: Any) -> int:
        result = await client.change((Put(key, value.encode()),))
        click.echo(result.revision if result.done else result.why)
        return 0 if result.done else 1
    return ask(store, cluster, timeout, act)


@group.command()
@click.argument("prefix", default="")
@STORE
@CLUSTER
@TIMEOUT
def get(prefix: str, store: str, cluster: str, timeout: float) -> int:
    """Print records by prefix: revision, key, value."""
    async def act(client: Any) -> int:
        for row in (await client.list(prefix)).rows:
            click.echo(f"{row.revision} {row.key} {row.value.decode(errors='replace')}")
        return 0
    return ask(store, cluster, timeout, act)


@group.command()
@click.argument("prefix", default="")
@click.option("--after", type=int, default=None, help="From this revision; from now.")
@STORE
@CLUSTER
def watch(prefix: str, after: int | None, store: str, cluster: str) -> int:
    """Print changes as they come: revision, key, value (or nothing where it was removed)."""
    async def act(client: Any) -> int:
        start = after if after is not None else (await client.list(prefix, 0)).revision
        async for event in client.watch(prefix, start):
            click.echo(f"{event.revision} {event.key} {'' if event.value is None else event.value.decode()}")
        return 0
    return ask(store, cluster, 1e9, act)


@group.command()
@click.option("--clients", type=click.IntRange(1, 5000), default=16, show_default=True)
@click.option("--seconds", type=click.FloatRange(0, min_open=True), default=5.0, show_default=True)
@click.option("--size", type=click.IntRange(0, 100_000), default=64, show_default=True, help="Bytes of a value.")
@click.option("--histogram", type=click.File("wb"), default=None, help="The whole distribution of latencies, ms.")
@STORE
@CLUSTER
def bench(clients: int, seconds: float, size: int, histogram: Any, store: str, cluster: str) -> int:
    """Writes a second, and their latencies, with so many clients that each wait for their answer."""
    import time

    from hdrh.histogram import HdrHistogram

    from moleworks.store.client import Client
    from moleworks.store.state import Put
    latency = HdrHistogram(1, 60_000_000, 3)

    async def one(number: int, ends: float) -> None:
        async with Client(asked_members(store), cluster) as client:
            await client.change(())
            while time.monotonic() < ends:
                begun = time.monotonic()
                await client.change((Put(f"bench/{number}", bytes(size)),))
                latency.record_value(max(1, int((time.monotonic() - begun) * 1e6)))

    async def all_(_: Any) -> int:
        ends = time.monotonic() + seconds
        await asyncio.gather(*(one(number, ends) for number in range(clients)))
        values = {f"p{percent:g}_ms": latency.get_value_at_percentile(percent) / 1000
                  for percent in (50, 90, 99, 99.9)}
        click.echo(f"clients={clients} writes={latency.total_count} per_s={latency.total_count / seconds:.0f} "
                   + " ".join(f"{name}={value:g}" for name, value in values.items()))
        if histogram is not None:
            latency.output_percentile_distribution(histogram, 1000.0)
        return 0
    return ask(store, cluster, seconds + 30, all_)


@group.group()
def members() -> None:
    """Add and take out members, one at a time."""


@members.command("add")
@click.argument("name")
@click.argument("where", metavar="HOST:PORT")
@STORE
@CLUSTER
@TIMEOUT
def members_add(name: str, where: str, store: str, cluster: str, timeout: float) -> int:
    """Add a member that was started with --join: it learns first and votes once it has caught up."""
    address(where, "HOST:PORT")

    async def act(client: Any) -> int:
        await client.members(add=name, address=where)
        return 0
    return ask(store, cluster, timeout, act)


@members.command("remove")
@click.argument("name")
@STORE
@CLUSTER
@TIMEOUT
def members_remove(name: str, store: str, cluster: str, timeout: float) -> int:
    """Take a member out; its name must not come back with another disk."""
    async def act(client: Any) -> int:
        await client.members(remove=name)
        return 0
    return ask(store, cluster, timeout, act)


@group.command()
@click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.option("--name", required=True)
@CLUSTER
def check(folder: Path, name: str, cluster: str) -> int:
    """Read the whole disk of a member that is not running; exit 1 with one line where it is damaged."""
    from moleworks.store.disk import CorruptStore
    from moleworks.store.member import check as checking
    try:
        click.echo(checking(folder, cluster, name))
    except (CorruptStore, OSError) as error:
        print(f"moleworks: {error}", file=sys.stderr)
        return 1
    return 0


@group.command()
@STORE
@CLUSTER
def snapshot(store: str, cluster: str) -> int:
    """Let each member's image take the place of its log now; exit 1 if one does not answer."""
    code = 0
    for text in store.split(","):
        async def one(client: Any, text: str = text) -> int:
            click.echo(f"{text} at revision {(await client.compact()).revision}")
            return 0
        code |= ask(text, cluster, 5.0, one)
    return code


@group.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--store", envvar="MOLEWORKS_STORE", metavar="HOST:PORT,...", help="Members to ask, or $MOLEWORKS_STORE.")
@click.option("--folder", type=click.Path(path_type=Path, exists=True, file_okay=False),
              help="In place of --store: the disk of a member that does not run, where no majority is left.")
@click.option("--name", default="", help="That member's name.")
@CLUSTER
@TIMEOUT
def backup(file: Path, store: str | None, folder: Path | None, name: str, cluster: str, timeout: float) -> int:
    """Write all records, as of now, into FILE: whole or not at all."""
    from moleworks.store import backup as backups
    from moleworks.store.disk import CorruptStore

    def write(image: bytes) -> int:
        head = backups.write(file, cluster, image)
        click.echo(f"{file}: {head.records} records, revision {head.revision}")
        return 0

    async def act(client: Any) -> int:
        return write(await client.image())
    try:
        if folder is not None:
            if not name:
                raise click.UsageError("--folder wants the member's --name")
            return write(backups.from_disk(folder, cluster, name))
        if not store:
            raise click.UsageError("--store or --folder must be given")
        return ask(store, cluster, timeout, act)
    except (CorruptStore, OSError) as error:
        print(f"moleworks: {error}", file=sys.stderr)
        return 1


@group.command()
@click.argument("file", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option("--folder", required=True, type=click.Path(path_type=Path, file_okay=False), help="A new member's disk.")
@click.option("--name", required=True, help="Its name, not one of the old cluster's.")
@CLUSTER
def restore(file: Path, folder: Path, name: str, cluster: str) -> int:
    """Make the disk of a new cluster's one member from a backup; start it, then let others join.

    All members of the old cluster must have ended, and so long ago as the longest lease.
    """
    from moleworks.store import backup as backups
    from moleworks.store.disk import CorruptStore
    try:
        head = backups.restore(file, folder, cluster, name)
    except (CorruptStore, OSError) as error:
        print(f"moleworks: {error}", file=sys.stderr)
        return 1
    click.echo(f"{folder}: {head.records} records; revisions go on after {head.revision}.  Start it with "
               f"store serve --name {name} --peers {name}=HOST:PORT, and let others join")
    return 0
