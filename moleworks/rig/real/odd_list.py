"""Disables safeguards of a real list service, so that the judge can be checked against known errors."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from moleworks.registry import expiry, service
from moleworks.registry.mirror import HOSTS_PREFIX, Host, Mirror
from moleworks.store.client import Client
from moleworks.store.state import Event


def disable_safeguard(name: str) -> None:
    """Disable a safeguard in this process."""
    if name == "a change after a change of leader":
        _skip_change_after_reconnect()
    elif name == "the age of a list":
        _report_no_age()
    elif name == "more silent than the limit doubted":
        _remove_all_silent()


def _skip_change_after_reconnect() -> None:
    """Skip the first change after a lost connection to the store."""
    lost: list[bool] = []
    real_lost, real_apply = Client._lost, service.Service._apply

    async def recording_lost(self: Client) -> None:
        lost.append(True)
        await real_lost(self)

    def skipping_apply(self: service.Service, events: Sequence[Event], revision: int) -> None:
        if lost and any(event.key.startswith(HOSTS_PREFIX) for event in events):
            lost.clear()
            events = ()
        real_apply(self, events, revision)
    Client._lost = recording_lost                   # type: ignore[method-assign]
    service.Service._apply = skipping_apply         # type: ignore[method-assign]


def _report_no_age() -> None:
    """Report age 0 for every list."""
    def zero_age(self: Mirror, now: int) -> int:
        return 0
    Mirror.age = zero_age                           # type: ignore[method-assign]


def _remove_all_silent() -> None:
    """Remove all silent hosts, however many there are."""
    real_decide = expiry.Expiry.decide

    def decide(self: expiry.Expiry, now: int, hosts: Mapping[str, Host]) -> tuple[list[str], list[str]]:
        removed, doubtful = real_decide(self, now, hosts)
        return removed + doubtful, []
    patched: Any = decide
    expiry.Expiry.decide = patched                  # type: ignore[method-assign]
