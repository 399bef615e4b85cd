"""`moleworks prober`: probe a zone's hosts, in one process for all."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from pathlib import Path
from typing import Any

import click
import msgspec

from moleworks.config import ConfigError

from .common import CLUSTER, STORE, address, ask


def _allowed(path: Path, zone: str) -> bool:
    """Whether these settings (a gateway's configuration) allow probes.  Raises ConfigError."""
    try:
        told = msgspec.json.decode(path.read_bytes())
        settings = told["settings"]
        zones, allowed = settings["zones"], settings.get("caps", {}).get("probes", False)
    except OSError as error:
        raise ConfigError([f"{path}: {error.strerror or error}"]) from None
    except (msgspec.DecodeError, KeyError, TypeError, AttributeError) as error:
        raise ConfigError([f"{path}: settings: {error!r}"]) from None
    if zone not in zones:
        raise ConfigError([f"{path}: settings.zones: has no {zone}"])
    return allowed is True


@click.command()
@click.option("--settings", required=True, type=click.Path(path_type=Path, dir_okay=False),
              help="A gateway's configuration: whether probes are allowed, and which zones there are.")
@click.option("--zone", required=True)
@click.option("--registry", required=True, metavar="HOST:PORT,...", help="List services.")
@click.option("--every", type=click.FloatRange(0.05, 3600), default=1.0, show_default=True, help="Seconds a round.")
@click.option("--ttl-ms", type=click.IntRange(100, 3_600_000), default=3000, show_default=True)
@click.option("--name", default=lambda: f"{os.uname().nodename}-{os.getpid()}")
@STORE
@CLUSTER
def group(settings: Path, zone: str, registry: str, every: float, ttl_ms: int, name: str, store: str,
          cluster: str) -> int:
    """Probe a zone's hosts while this process holds the duty probe/ZONE; verdicts are records under verdicts/ZONE/.

    Where the settings forbid probes it says so and ends with 0, having asked nobody.
    """
    addresses = [address(text, "--registry") for text in registry.split(",")]
    if not _allowed(settings, zone):
        click.echo(f"{settings}: probes are not allowed: off")
        return 0
    from moleworks.registry.lists import ListClient
    from moleworks.registry.prober import Prober

    async def act(client: Any) -> int:
        task = asyncio.ensure_future(
            Prober(client, ListClient(addresses), zone, name, every, min(0.3, every / 2), ttl_ms).run())
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        with contextlib.suppress(asyncio.CancelledError):   # it lets go of the duty, so that another follows at once
            await task
        return 0
    return ask(store, cluster, ttl_ms / 1000, act)
