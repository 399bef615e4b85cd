"""Entry point; limits its CPU use at startup while another process of this gateway serves.

Both processes share the CPU quota of one gateway.  A startup at full speed exhausts it, and the kernel then throttles
both processes until it is replenished, while clients' requests queue up.  The modules are therefore imported in steps,
with pauses in between.
"""

from __future__ import annotations

import importlib
import os
import sys
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .handover import Handover

HANDOVER_MODULE = "gateway.handover"
IMPORT_STEPS = ("re", "json", "logging", "tempfile", HANDOVER_MODULE, "inspect", "socket", "ssl", "concurrent.futures",
                "asyncio.events", "asyncio", "uvloop", "httptools", "dataclasses", "bridgesaddle.api",
                "bridgesaddle", "bridgesaddle.wire", "gateway.discovery", "gateway.upstream", "gateway.core",
                "gateway.server", "gateway.program")
"""Modules whose import takes most of the startup time, in steps of a few milliseconds."""
PAUSE_FACTOR = 3
"""Pause before each step, as a multiple of the CPU time used since the pause before it, or since the start."""


def _other_may_run() -> bool:
    """Return whether another process's file (handover.py) exists; it may be a leftover of a killed process.

    The lock is not checked: importing the modules for that would take much of the CPU time that is to be spread.
    """
    try:
        return any(name.startswith("gateway-") for name in os.listdir(os.environ.get("TMPDIR") or "/tmp"))
    except OSError:
        return False


def _register_early() -> Handover | None:
    """Register with the other process long before this one is ready: from now on both share one gateway's limits."""
    import json

    from .handover import Handover, host_and_port
    try:
        with open(os.environ["EDGE_CONFIG"], "rb") as file:
            listen: str = os.environ.get("EDGE_LISTEN") or json.load(file)["listen"]
        handover = Handover(host_and_port(listen))
    except (OSError, LookupError, ValueError, TypeError, AttributeError, RecursionError):
        return None   # the program reports the error
    handover.register()
    return handover


def start() -> int:
    """Import the program and run it."""
    handover = None
    if _other_may_run():
        used_s = 0.0   # includes the CPU time of the interpreter's start
        for name in IMPORT_STEPS:
            cpu_s = time.process_time()
            time.sleep(PAUSE_FACTOR * (cpu_s - used_s))
            used_s = cpu_s
            importlib.import_module(name)
            if name == HANDOVER_MODULE:
                handover = _register_early()
    return int(importlib.import_module("gateway.program").main(handover))


if __name__ == "__main__":
    sys.exit(start())
