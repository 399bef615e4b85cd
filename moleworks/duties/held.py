"""The holder's side of a lease: it counts from before it sent the request, by its own clock.  No I/O."""

from __future__ import annotations


class Held:
    """A holder's side of one grant: until when it may act, by its own clock."""

    def __init__(self, duty: str, token: int, ttl_ms: int, sent: int) -> None:
        self.duty, self.token, self.ttl_ms = duty, token, ttl_ms
        self.expires_at = sent + int(ttl_ms * 1e6)

    def on_renewed(self, sent: int) -> None:
        """A renewal that was sent then has been granted."""
        self.expires_at = max(self.expires_at, sent + int(self.ttl_ms * 1e6))

    def holds(self, now: int) -> bool:
        """Whether it may act now."""
        return now < self.expires_at
