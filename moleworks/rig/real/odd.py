"""Starts a member of the store on an odd machine: its disk is slow by a file's word, or a safeguard is left out.

    python -m moleworks.rig.real.odd '{"delay": "FILE", "without": "token not checked"}' store serve ...

The program under test knows of neither; only the rig starts it so.
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


class _Bare:
    """A disk as the known errors see it."""

    def __init__(self, sync: Any) -> None:
        self.sync = sync


def leave_out(name: str) -> Parts:
    """Put a known error into this process's members and holders."""
    parts = MUTANTS.get(name, Parts())
    if name in LIST_ERRORS:
        from . import odd_list
        odd_list.leave_out(name)
    elif name:
        for module, known in ((member, {"Core": parts.core, "State": parts.state,
                                        "Replica": functools.partial(Replica, granter=parts.granter)}),
                              (holder, {"Held": parts.held})):
            for what, broken in known.items():
                assert hasattr(module, what)
                setattr(module, what, broken)
    return parts


def main(told: dict[str, str], args: list[str]) -> None:
    """As the command itself."""
    parts = leave_out(told["without"])
    sync, delay = Disk.sync, Path(told["delay"])

    def slow(self: Disk, write: Write) -> None:
        if delay.exists():
            time.sleep(float(delay.read_text() or 0) / 1000)   # before it: what waits is lost with the process
        if told["without"] in MUTANTS:
            parts.sync(_Bare(functools.partial(sync, self)), write)   # type: ignore[arg-type]
        else:
            sync(self, write)
    Disk.sync = slow                        # type: ignore[method-assign]
    cli.main(args)


if __name__ == "__main__":
    main(msgspec.json.decode(sys.argv[1]), sys.argv[2:])
