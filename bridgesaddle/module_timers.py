"""The decision module's timers: which request or attempt each token belongs to."""

from __future__ import annotations

from typing import Generic, TypeVar

from .api import Actions

Target = TypeVar("Target")


class ModuleTimers(Generic[Target]):
    """Timers of requests, attempts and of the module itself (None), by the tokens under which they expire."""

    def __init__(self, actions: Actions) -> None:
        self._actions = actions
        self._last_token = 0
        self._targets: dict[int, Target | None] = {}
        self._tokens: dict[Target, list[int]] = {}   # of each request and attempt

    def __contains__(self, token: int) -> bool:
        return token in self._targets

    def set(self, target: Target | None, after_ns: int) -> None:
        """Set a timer."""
        self._last_token = (self._last_token + 1) & 0xFFFFFFFF
        self._targets[self._last_token] = target
        if target is not None:
            self._tokens.setdefault(target, []).append(self._last_token)
        self._actions.wake(self._last_token, max(1, after_ns))

    def take(self, token: int) -> Target | None:
        """Return the target of a timer that has expired.  Raises KeyError if it is not set."""
        target = self._targets.pop(token)
        if target is not None:
            tokens = self._tokens[target]
            tokens.remove(token)
            if not tokens:
                del self._tokens[target]
        return target

    def drop(self, target: Target) -> None:
        """Drop the timers of what has ended; they would keep it until they expire."""
        for token in self._tokens.pop(target, ()):
            del self._targets[token]
            self._actions.cancel_wake(token)

    def pending(self) -> list[Target]:
        """The requests and attempts with timers."""
        return list(self._tokens)
