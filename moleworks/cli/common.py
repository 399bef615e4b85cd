"""What the commands that talk to a store share."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable, Coroutine
from typing import Any

import click

from moleworks import wire
from moleworks.config import ConfigError

STORE = click.option("--store", envvar="MOLEWORKS_STORE", required=True, metavar="[NAME=]HOST:PORT,...",
                     help="Members to ask, or $MOLEWORKS_STORE.  With names a member is reached only where this says.")
CLUSTER = click.option("--cluster", envvar="MOLEWORKS_CLUSTER", default="main", show_default=True,
                       help="The cluster's name, or $MOLEWORKS_CLUSTER.")
TIMEOUT = click.option("--timeout", type=click.FloatRange(0, min_open=True), default=10.0, show_default=True,
                       help="Seconds for an answer.")


def address(text: str, what: str) -> tuple[str, int]:
    """HOST:PORT.  Raises ConfigError."""
    try:
        return wire.parse_address(text)
    except ValueError as error:
        raise ConfigError([f"{what}: {error}"]) from None


def members(store: str) -> dict[str, tuple[str, int]] | list[tuple[str, int]]:
    """The members that --store names.  Raises ConfigError."""
    pairs = [text.rpartition("=") for text in store.split(",")]
    found = [address(where, "--store") for _, _, where in pairs]
    names = [name for name, _, _ in pairs]
    if all(names):
        return dict(zip(names, found, strict=True))
    if any(names):
        raise ConfigError(["--store: all members must have names, or none"])
    return found


def ask(store: str, cluster: str, timeout: float, act: Callable[[Any], Coroutine[Any, Any, int]]) -> int:
    """Run `act` with a client; exit 1 with one line where the store does not answer or won't."""
    from moleworks.store.client import Client, Refused, Unavailable
    addresses = members(store)

    async def main() -> int:
        async with Client(addresses, cluster, timeout) as client:
            return await act(client)
    try:
        return asyncio.run(main())
    except (Refused, Unavailable) as error:
        print(f"moleworks: {error}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 130
