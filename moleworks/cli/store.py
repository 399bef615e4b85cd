"""`moleworks store`: run a member, read and write records, change the members, back up and restore."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path
from typing import Any

import click

from .common import CLUSTER, STORE, TIMEOUT, parse_address, parse_members, run_with_client


@click.group()
def group() -> None:
    """The replicated store of versioned records."""


@group.command()
@click.option("--name", required=True, help="This member's name; it must never be reused with another disk.")
@click.option("--listen", required=True, metavar="HOST:PORT")
@click.option("--folder", required=True, type=click.Path(path_type=Path, file_okay=False), help="Folder for its data.")
@click.option("--peers", default="", metavar="NAME=HOST:PORT,...", help="The initial members, including this one.")
@click.option("--first", default="", metavar="NAME,...", help="Which of --peers are the initial members; default: all.")
@click.option("--join", "joins", is_flag=True, help="Wait to be added by `store members add`.")
@CLUSTER
def serve(name: str, listen: str, folder: Path, peers: str, first: str, joins: bool, cluster: str) -> int:
    """Run a member until SIGTERM.  If it can't continue, it prints one line and exits with 1."""
    import uvloop

    from moleworks.store.disk import CorruptStore
    from moleworks.store.member import Member, MemberStopped
    where = parse_address(listen, "--listen")
    found = {}
    for text in filter(None, peers.split(",")):
        peer, _, at = text.partition("=")
        found[peer] = parse_address(at, f"--peers {text}")
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
    """Print the status of each member, one line each; exit 1 if one does not reply."""
    code = 0
    for text in store.split(","):
        async def one(client: Any) -> int:
            row = await client.status()
            refused = "".join(f" REFUSES {name}: {why}" for name, why in row.refused.items())
            click.echo(f"{row.member:10} {row.role:9} term {row.term} leader {row.leader or '-'} commit {row.commit} "
                       f"log {row.first}-{row.last} revision {row.revision} voters {','.join(row.config.voters)} "
                       f"learners {','.join(row.config.learners) or '-'} {row.bytes} bytes{refused}")
            return 0
        code |= run_with_client(text, cluster, 2.0, one)
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

    async def action(client: Any) -> int:
        result = await client.change((Put(key, value.encode()),))
        click.echo(result.revision if result.done else result.why)
        return 0 if result.done else 1
    return run_with_client(store, cluster, timeout, action)


@group.command()
@click.argument("prefix", default="")
@STORE
@CLUSTER
@TIMEOUT
def get(prefix: str, store: str, cluster: str, timeout: float) -> int:
    """Print records by prefix: revision, key, value."""
    async def action(client: Any) -> int:
        for row in (await client.list(prefix)).rows:
            click.echo(f"{row.revision} {row.key} {row.value.decode(errors='replace')}")
        return 0
    return run_with_client(store, cluster, timeout, action)


@group.command()
@click.argument("prefix", default="")
@click.option("--after", type=int, default=None, help="Start after this revision; default: now.")
@STORE
@CLUSTER
def watch(prefix: str, after: int | None, store: str, cluster: str) -> int:
    """Print changes as they happen: revision, key, value (empty if the record was removed)."""
    async def action(client: Any) -> int:
        start = after if after is not None else (await client.list(prefix, 0)).revision
        async for event in client.watch(prefix, start):
            click.echo(f"{event.revision} {event.key} {'' if event.value is None else event.value.decode()}")
        return 0
    return run_with_client(store, cluster, 1e9, action)


@group.command()
@click.option("--clients", type=click.IntRange(1, 5000), default=16, show_default=True)
@click.option("--seconds", type=click.FloatRange(0, min_open=True), default=5.0, show_default=True)
@click.option("--size", type=click.IntRange(0, 100_000), default=64, show_default=True,
              help="Size of each value, bytes.")
@click.option("--histogram", type=click.File("wb"), default=None, help="File for the latency distribution, ms.")
@STORE
@CLUSTER
def bench(clients: int, seconds: float, size: int, histogram: Any, store: str, cluster: str) -> int:
    """Measure writes per second and their latencies; each client waits for one write before it sends the next."""
    import time

    from hdrh.histogram import HdrHistogram

    from moleworks.store.client import Client
    from moleworks.store.state import Put
    latency = HdrHistogram(1, 60_000_000, 3)

    async def one(number: int, deadline: float) -> None:
        async with Client(parse_members(store), cluster) as client:
            await client.change(())
            while time.monotonic() < deadline:
                started_at = time.monotonic()
                await client.change((Put(f"bench/{number}", bytes(size)),))
                latency.record_value(max(1, int((time.monotonic() - started_at) * 1e6)))

    async def run_clients(_: Any) -> int:
        deadline = time.monotonic() + seconds
        await asyncio.gather(*(one(number, deadline) for number in range(clients)))
        values = {f"p{percent:g}_ms": latency.get_value_at_percentile(percent) / 1000
                  for percent in (50, 90, 99, 99.9)}
        click.echo(f"clients={clients} writes={latency.total_count} per_s={latency.total_count / seconds:.0f} "
                   + " ".join(f"{name}={value:g}" for name, value in values.items()))
        if histogram is not None:
            latency.output_percentile_distribution(histogram, 1000.0)
        return 0
    return run_with_client(store, cluster, seconds + 30, run_clients)


@group.group()
def members() -> None:
    """Add and remove members, one at a time."""


@members.command("add")
@click.argument("name")
@click.argument("where", metavar="HOST:PORT")
@STORE
@CLUSTER
@TIMEOUT
def members_add(name: str, where: str, store: str, cluster: str, timeout: float) -> int:
    """Add a member that was started with --join: first as a learner, and as a voter once it has caught up."""
    parse_address(where, "HOST:PORT")

    async def action(client: Any) -> int:
        await client.members(add=name, address=where)
        return 0
    return run_with_client(store, cluster, timeout, action)


@members.command("remove")
@click.argument("name")
@STORE
@CLUSTER
@TIMEOUT
def members_remove(name: str, store: str, cluster: str, timeout: float) -> int:
    """Remove a member; its name must not be reused with another disk."""
    async def action(client: Any) -> int:
        await client.members(remove=name)
        return 0
    return run_with_client(store, cluster, timeout, action)


@group.command()
@click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.option("--name", required=True)
@CLUSTER
def check(folder: Path, name: str, cluster: str) -> int:
    """Check all data on the disk of a stopped member; if it is corrupt, print one line and exit 1."""
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
    """Make each member take a snapshot and compact its log now; exit 1 if one does not reply."""
    code = 0
    for text in store.split(","):
        async def one(client: Any, text: str = text) -> int:
            click.echo(f"{text} at revision {(await client.compact()).revision}")
            return 0
        code |= run_with_client(text, cluster, 5.0, one)
    return code


@group.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--store", envvar="MOLEWORKS_STORE", metavar="HOST:PORT,...",
              help="Members to contact, or $MOLEWORKS_STORE.")
@click.option("--folder", type=click.Path(path_type=Path, exists=True, file_okay=False),
              help="Instead of --store: the disk of a stopped member, for when no majority is left.")
@click.option("--name", default="", help="That member's name.")
@CLUSTER
@TIMEOUT
def backup(file: Path, store: str | None, folder: Path | None, name: str, cluster: str, timeout: float) -> int:
    """Write all current records to FILE, atomically."""
    from moleworks.store import backup as backups
    from moleworks.store.disk import CorruptStore

    def write(image: bytes) -> int:
        header = backups.write(file, cluster, image)
        click.echo(f"{file}: {header.records} records, revision {header.revision}")
        return 0

    async def action(client: Any) -> int:
        return write(await client.image())
    try:
        if folder is not None:
            if not name:
                raise click.UsageError("--folder requires the member's --name")
            return write(backups.from_disk(folder, cluster, name))
        if not store:
            raise click.UsageError("--store or --folder must be given")
        return run_with_client(store, cluster, timeout, action)
    except (CorruptStore, OSError) as error:
        print(f"moleworks: {error}", file=sys.stderr)
        return 1


@group.command()
@click.argument("file", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option("--folder", required=True, type=click.Path(path_type=Path, file_okay=False),
              help="Folder for the new member's data.")
@click.option("--name", required=True, help="Its name, which no member of the old cluster may have had.")
@CLUSTER
def restore(file: Path, folder: Path, name: str, cluster: str) -> int:
    """Create the disk of the only member of a new cluster from a backup; start it, then let others join.

    All members of the old cluster must have been stopped for at least the longest lease.
    """
    from moleworks.store import backup as backups
    from moleworks.store.disk import CorruptStore
    try:
        header = backups.restore(file, folder, cluster, name)
    except (CorruptStore, OSError) as error:
        print(f"moleworks: {error}", file=sys.stderr)
        return 1
    click.echo(f"{folder}: {header.records} records; revisions go on after {header.revision}.  Start it with "
               f"store serve --name {name} --peers {name}=HOST:PORT, and let others join")
    return 0
