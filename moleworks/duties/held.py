"""The holder's side of a lease, measured by its own clock from before the request was sent.  No I/O."""

from __future__ import annotations


class Held:
    """A grant that this process holds, with its expiry by the holder's own clock."""

    def __init__(self, duty: str, token: int, ttl_ms: int, sent: int) -> None:
        self.duty, self.token, self.ttl_ms = duty, token, ttl_ms
        self.expires_at = sent + int(ttl_ms * 1e6)

    def on_renewed(self, sent: int) -> None:
        """Extends the lease after a successful renewal that was sent at `sent`."""
        self.expires_at = max(self.expires_at, sent + int(self.ttl_ms * 1e6))

    def holds(self, now: int) -> bool:
        """Whether the lease is valid, so that the holder may act."""
        return now < self.expires_at
