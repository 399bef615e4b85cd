"""The program's start: gentle beside a process that serves.

Both share the processor time of one gateway.  A start at full speed uses up what is theirs, and both are
stopped until that is made up for, while clients' requests pile up.  So it imports in steps, with pauses.
"""

from __future__ import annotations

import importlib
import os
import sys
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .handover import Handover

HANDOVER = "gateway.handover"
STEPS = ("re", "json", "logging", "tempfile", HANDOVER, "inspect", "socket", "ssl", "concurrent.futures",
         "asyncio.events", "asyncio", "uvloop", "httptools", "dataclasses", "bridgesaddle.api",
         "bridgesaddle", "bridgesaddle.wire", "gateway.discovery", "gateway.upstream", "gateway.core",
         "gateway.server", "gateway.program")
"""What takes most of a start, in steps of some milliseconds."""
PAUSE_FACTOR = 3
"""After each step, so many times the processor time that it took."""


def _beside() -> bool:
    """Whether there is a file of another process (handover.py), or one that a killed process has left.

    Nothing is imported to find out for sure: that would take a good part of what is to be spread.
    """
    try:
        return any(name.startswith("gateway-") for name in os.listdir(os.environ.get("TMPDIR") or "/tmp"))
    except OSError:
        return False


def _announced() -> Handover | None:
    """Tell the other process of this one, long before it is ready: from now on both share what one has."""
    import json

    from .handover import Handover, host_and_port
    try:
        with open(os.environ["EDGE_CONFIG"], "rb") as file:
            listen: str = os.environ.get("EDGE_LISTEN") or json.load(file)["listen"]
        handover = Handover(host_and_port(listen))
    except (OSError, LookupError, ValueError, TypeError, AttributeError, RecursionError):
        return None   # the program says what is wrong
    handover.register()
    return handover


def start() -> int:
    """Import the program, and run it."""
    early = None
    if _beside():
        used = 0.0   # by the interpreter too
        for name in STEPS:
            now = time.process_time()
            time.sleep(PAUSE_FACTOR * (now - used))
            used = now
            importlib.import_module(name)
            if name == HANDOVER:
                early = _announced()
    return int(importlib.import_module("gateway.program").main(early))


if __name__ == "__main__":
    sys.exit(start())
