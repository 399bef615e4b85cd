"""Starts a store member with a fault injected: a slow disk, as a control file says, or a disabled safeguard.

    python -m moleworks.rig.real.odd '{"delay": "FILE", "without": "token not checked"}' store serve ...

The program under test has no code for either; only the test bench starts it this way.
"""

from __future__ import annotations

import functools
import sys
import time
from pathlib import Path
from typing import Any

import msgspec

from moleworks import cli
from moleworks.duties import holder
from moleworks.store import member
from moleworks.store.core import Write
from moleworks.store.disk import Disk
from moleworks.store.replica import Replica

from ..store_spec import LIST_ERRORS
from ..virtual.members import Parts
from ..virtual.mutants import MUTANTS


class _DiskStub:
    """The part of a disk that the mutants use."""

    def __init__(self, sync: Any) -> None:
        self.sync = sync


def disable_safeguard(name: str) -> Parts:
    """Disable a safeguard of this process's members and holders."""
    parts = MUTANTS.get(name, Parts())
    if name in LIST_ERRORS:
        from . import odd_list
        odd_list.disable_safeguard(name)
    elif name:
        for module, replacements in ((member, {"Core": parts.core, "State": parts.state,
                                               "Replica": functools.partial(Replica, granter=parts.granter)}),
                                     (holder, {"Held": parts.held})):
            for name_in_module, replacement in replacements.items():
                assert hasattr(module, name_in_module)
                setattr(module, name_in_module, replacement)
    return parts


def main(options: dict[str, str], args: list[str]) -> None:
    """Run the command line with the fault injected."""
    parts = disable_safeguard(options["without"])
    sync, delay = Disk.sync, Path(options["delay"])

    def delayed_sync(self: Disk, write: Write) -> None:
        if delay.exists():
            time.sleep(float(delay.read_text() or 0) / 1000)   # before the sync: waiting data is lost with the process
        if options["without"] in MUTANTS:
            parts.sync(_DiskStub(functools.partial(sync, self)), write)   # type: ignore[arg-type]
        else:
            sync(self, write)
    Disk.sync = delayed_sync                        # type: ignore[method-assign]
    cli.main(args)


if __name__ == "__main__":
    main(msgspec.json.decode(sys.argv[1]), sys.argv[2:])
