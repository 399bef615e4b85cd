"""Known errors of the list service, put into a real one."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from moleworks.registry import expiry, service
from moleworks.registry.mirror import HOSTS_PREFIX, Host, Mirror
from moleworks.store.client import Client
from moleworks.store.state import Event


def leave_out(name: str) -> None:
    """Put one into this process."""
    if name == "a change after a change of leader":
        _skip()
    elif name == "the age of a list":
        _ageless()
    elif name == "more silent than the limit doubted":
        _believing()


def _skip() -> None:
    """The first change after the connection to the store was lost is passed over."""
    lost: list[bool] = []
    real_lost, real_apply = Client._lost, service.Service._apply

    async def losing(self: Client) -> None:
        lost.append(True)
        await real_lost(self)

    def skipping(self: service.Service, events: Sequence[Event], revision: int) -> None:
        if lost and any(event.key.startswith(HOSTS_PREFIX) for event in events):
            lost.clear()
            events = ()
        real_apply(self, events, revision)
    Client._lost = losing                           # type: ignore[method-assign]
    service.Service._apply = skipping               # type: ignore[method-assign]


def _ageless() -> None:
    """Whatever is known is said to be of now."""
    def young(self: Mirror, now: int) -> int:
        return 0
    Mirror.age = young                              # type: ignore[method-assign]


def _believing() -> None:
    """Whoever is silent leaves, however many are."""
    real = expiry.Expiry.decide

    def decide(self: expiry.Expiry, now: int, hosts: Mapping[str, Host]) -> tuple[list[str], list[str]]:
        leave, doubtful = real(self, now, hosts)
        return leave + doubtful, []
    patched: Any = decide
    expiry.Expiry.decide = patched                  # type: ignore[method-assign]
