"""Loopback addresses for the parts of a soak run."""

from __future__ import annotations

import os
from itertools import count

PORT = 7070


def free_address() -> tuple[str, int]:
    """An unused loopback address; each has an IP address of its own, so that no ephemeral client port can collide."""
    number = next(_numbers)
    return f"127.{100 + os.getpid() % 100}.{1 + number // 200 % 250}.{1 + number % 200}", PORT


_numbers = count()
