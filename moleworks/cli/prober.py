"""`moleworks prober`: check the health of a zone's hosts in one process on behalf of all gateways."""

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

from .common import CLUSTER, STORE, parse_address, run_with_client


def _probes_allowed(path: Path, zone: str) -> bool:
    """Whether the settings in a gateway's configuration allow probes.  Raises ConfigError."""
    try:
        configuration = msgspec.json.decode(path.read_bytes())
        settings = configuration["settings"]
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
              help="A gateway's configuration, which says whether probes are allowed and which zones exist.")
@click.option("--zone", required=True)
@click.option("--registry", required=True, metavar="HOST:PORT,...", help="Addresses of list services.")
@click.option("--every", type=click.FloatRange(0.05, 3600), default=1.0, show_default=True, help="Seconds per round.")
@click.option("--ttl-ms", type=click.IntRange(100, 3_600_000), default=3000, show_default=True)
@click.option("--name", default=lambda: f"{os.uname().nodename}-{os.getpid()}")
@STORE
@CLUSTER
def group(settings: Path, zone: str, registry: str, every: float, ttl_ms: int, name: str, store: str,
          cluster: str) -> int:
    """Probe a zone's hosts while this process holds the duty probe/ZONE; verdicts are records under verdicts/ZONE/.

    If the settings do not allow probes, it prints that and exits with 0 without probing any host.
    """
    addresses = [parse_address(text, "--registry") for text in registry.split(",")]
    if not _probes_allowed(settings, zone):
        click.echo(f"{settings}: probes are not allowed: off")
        return 0
    from moleworks.registry.lists import ListClient
    from moleworks.registry.prober import Prober

    async def action(client: Any) -> int:
        task = asyncio.ensure_future(
            Prober(client, ListClient(addresses), zone, name, every, min(0.3, every / 2), ttl_ms).run())
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(signal_number, task.cancel)
        with contextlib.suppress(asyncio.CancelledError):   # the duty is released for another process
            await task
        return 0
    return run_with_client(store, cluster, ttl_ms / 1000, action)
