"""Loopback addresses for the parts of a soak run."""

from __future__ import annotations

import os
from itertools import count

PORT = 7070


def free_address() -> tuple[str, int]:
    """An unused loopback address; each has an IP address of its own, so that no ephemeral client port can collide."""
    number, process = next(_numbers), os.getpid()
    return f"127.{100 + process % 100}.{1 + (process // 100 + number // 200) % 250}.{1 + number % 200}", PORT


_numbers = count()
