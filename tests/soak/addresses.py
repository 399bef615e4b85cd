"""Addresses of loopback for the parts of a play."""

from __future__ import annotations

import os
from itertools import count

PORT = 7070


def free_address() -> tuple[str, int]:
    """An address of loopback that nobody else uses: its own, so that no port drawn for a client can be the same."""
    number = next(_numbers)
    return f"127.{100 + os.getpid() % 100}.{1 + number // 200 % 250}.{1 + number % 200}", PORT


_numbers = count()
