"""Options and helpers of the commands that use the store."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable, Coroutine
from typing import Any

import click

from moleworks import wire
from moleworks.config import ConfigError

STORE = click.option("--store", envvar="MOLEWORKS_STORE", required=True, metavar="[NAME=]HOST:PORT,...",
                     help="Members to contact, or $MOLEWORKS_STORE.  With names only these addresses are used.")
CLUSTER = click.option("--cluster", envvar="MOLEWORKS_CLUSTER", default="main", show_default=True,
                       help="The cluster's name, or $MOLEWORKS_CLUSTER.")
TIMEOUT = click.option("--timeout", type=click.FloatRange(0, min_open=True), default=10.0, show_default=True,
                       help="Seconds to wait for a reply.")


def parse_address(text: str, option: str) -> tuple[str, int]:
    """Parse HOST:PORT.  Raises ConfigError."""
    try:
        return wire.parse_address(text)
    except ValueError as error:
        raise ConfigError([f"{option}: {error}"]) from None


def parse_members(store: str) -> dict[str, tuple[str, int]] | list[tuple[str, int]]:
    """The members given by --store.  Raises ConfigError."""
    pairs = [text.rpartition("=") for text in store.split(",")]
    addresses = [parse_address(text, "--store") for _, _, text in pairs]
    names = [name for name, _, _ in pairs]
    if all(names):
        return dict(zip(names, addresses, strict=True))
    if any(names):
        raise ConfigError(["--store: either all members must have names or none"])
    return addresses


def run_with_client(store: str, cluster: str, timeout: float, action: Callable[[Any], Coroutine[Any, Any, int]]) -> int:
    """Run `action` with a client; prints one line and returns 1 if the store is unavailable or refuses the request."""
    from moleworks.store.client import Client, Refused, Unavailable
    addresses = parse_members(store)

    async def main() -> int:
        async with Client(addresses, cluster, timeout) as client:
            return await action(client)
    try:
        return asyncio.run(main())
    except (Refused, Unavailable) as error:
        print(f"moleworks: {error}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 130
