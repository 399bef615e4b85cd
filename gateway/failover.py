"""Several list services, any of which may be down, behind or wrong, and the last good list on disk.

Loaded only where the configuration names several addresses or a folder.  A service that fails is followed by the next
at once, with jitter; only when all have failed in turn is the module told so.  A list is refused that is older than the
one that is known, or that would leave no host: neither can be an order.
"""

from __future__ import annotations

import asyncio
import contextlib
import glob
import json
import logging
import os
import random
import time
import zlib
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from bridgesaddle.api import SECOND, ListKind

from .discovery import Discovery
from .discovery_calls import DiscoveryCall
from .timers import Timers
from .update_parser import HostListUpdate, ListedHost, UpdateParser

log = logging.getLogger("gateway.failover")

JITTER = 300_000_000
"""ns: gateways that lose a service do not all come to the next one at the same time."""
MAGIC = b"moleworks-list 1 "
KEPT_S = 24 * 3600
"""An older file is not used: wall time, as no other clock outlives a process."""
TOUCH = 60 * SECOND
GATHER = SECOND // 5
"""Changes so close together are written once."""
AGAIN_FIRST = SECOND
"""A list that could not be written is written again after so long, doubling up to `TOUCH`."""
MOST_BYTES = 64 << 20

Address = tuple[str, int]


class CachedList:
    """One file: magic, CRC-32 and length, then the whole list in discovery's form.  Whole or not there."""

    def __init__(self, folder: str, name: str) -> None:
        safe = "".join(letter if letter.isalnum() or letter in "-_" else "_" for letter in name) or "gateway"
        self.path = os.path.join(folder, f"list-{safe}.json")
        self._remove_leftovers()

    def _remove_leftovers(self) -> None:
        """Files that killed processes have left half written."""
        for path in glob.glob(f"{glob.escape(self.path)}.*.new"):
            pid = path.split(".")[-2]
            if pid.isdigit() and not os.path.exists(f"/proc/{pid}"):
                with contextlib.suppress(OSError):
                    os.unlink(path)

    def read(self) -> dict[str, Any] | None:
        """The list; None where there is none that can be used."""
        try:
            with open(self.path, "rb") as file:
                age = max(0.0, time.time() - os.fstat(file.fileno()).st_mtime)   # the clock may have been set back
                data = file.read(MOST_BYTES)
            head, _, body = data.partition(b"\n")
            crc, length = head.removeprefix(MAGIC).split()
            if not head.startswith(MAGIC) or int(length) != len(body) or int(crc) != zlib.crc32(body):
                raise ValueError("it does not fit its checksum")
            if age > KEPT_S:
                raise ValueError(f"it is {age / 3600:.0f} hours old")
            told: dict[str, Any] = json.loads(body)
            told["generation"] = int(told["generation"])
            log.info("the kept list is %.0f s old, version %s", age, told.get("generation"))
            return told
        except FileNotFoundError:
            return None
        except (OSError, LookupError, TypeError, ValueError, RecursionError, AttributeError) as error:
            log.warning("%s is not used: %s", self.path, error)
            return None

    def write(self, told: dict[str, Any]) -> bool:
        """Replace the file; whether it is on disk.  A folder that can't be written is a line in the log."""
        fresh = f"{self.path}.{os.getpid()}.new"
        try:
            body = json.dumps(told, separators=(",", ":")).encode()
            with open(fresh, "wb") as file:
                file.write(b"%b%d %d\n%b" % (MAGIC, zlib.crc32(body), len(body), body))
                file.flush()
                os.fsync(file.fileno())
            os.replace(fresh, self.path)
            self._sync_folder()
        except OSError as error:
            log.warning("the list is not kept: %s", error)
            with contextlib.suppress(OSError):
                os.unlink(fresh)
            return False
        return True

    def _sync_folder(self) -> None:
        """The new name is on disk too."""
        fd = os.open(os.path.dirname(self.path) or ".", os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def touch(self) -> None:
        """It is still the list."""
        with contextlib.suppress(OSError):
            os.utime(self.path)


class FailoverDiscovery(Discovery):
    """`Discovery` at several addresses, in turn."""

    def __init__(self, loop: asyncio.AbstractEventLoop, timers: Timers, addresses: Sequence[Address],
                 lines: UpdateParser, pushed: bool, tell: Callable[[ListKind, list[ListedHost]], None],
                 kept: CachedList | None, grace_ns: int = 0, started_ns: int = 0) -> None:
        self._all = list(addresses)
        random.shuffle(self._all)      # gateways spread over the services
        super().__init__(loop, timers, self._all[0], lines, pushed, tell, grace_ns, started_ns)
        self._reach.services = len(self._all)
        self._failed = 0               # services that failed since one told a list
        self._rows: dict[str, Any] = {}
        self._kept = kept
        self._thread = ThreadPoolExecutor(1, "list") if kept is not None else None
        self._writing = False          # a list waits to be written
        self._on_disk = False          # the kept list is the one that is known
        self._again = AGAIN_FIRST
        timers.after(TOUCH, self._confirm, None)

    # ---- What is told ------------------------------------------------------------------------------------

    def load_known_list(self, listed: Any) -> None:
        """The newer of the configuration's list and the one that was kept."""
        kept = self._kept.read() if self._kept is not None else None
        if not isinstance(listed, dict):
            super().load_known_list(listed)
            listed = {}
        if kept is not None and (not listed.get("instances") or kept["generation"] > listed.get("generation", 0)):
            listed = kept
        super().load_known_list(listed)
        rows = listed.get("instances")
        self._rows = {row["instanceId"]: row for row in (rows if isinstance(rows, list) else ())
                      if isinstance(row, dict) and isinstance(row.get("instanceId"), str)}

    def _doubt(self, told: dict[str, Any], change: HostListUpdate) -> str:
        if change.generation < self.generation:
            return f"a list of version {change.generation} after {self.generation}"
        rows = {} if change.is_full else dict(self._rows)
        for row in told["instances"]:
            if isinstance(row, dict) and isinstance(row.get("instanceId"), str):
                if row.get("lifecycle") == "terminated":
                    rows.pop(row["instanceId"], None)
                else:
                    rows[row["instanceId"]] = row
        if self._rows and not rows:
            return "a list that leaves no host"
        if change.is_full and len(change.hosts) * 2 < len(told["instances"]):
            return "a list that can't be read for the most part"
        self._rows = rows
        self._failed = 0
        self._on_disk = False
        self._save_after(GATHER)
        return ""

    def _save_after(self, delay_ns: int) -> None:
        if self._kept is not None and not self._writing:
            self._writing = True
            self._timers.after(delay_ns, self._save, None)

    def _save(self, _: None) -> None:
        if not self._writing or self._kept is None or self._thread is None:
            return
        self._writing = False
        told = {"generation": self.generation, "reset": True, "instances": list(self._rows.values())}
        generation = self.generation
        self._thread.submit(self._kept.write, told).add_done_callback(
            lambda done: self._hear_written(done.exception() is None and done.result(), generation))

    def _hear_written(self, on_disk: bool, generation: int) -> None:
        with contextlib.suppress(RuntimeError):   # the loop has ended
            self._loop.call_soon_threadsafe(self._written, on_disk, generation)

    def _written(self, on_disk: bool, generation: int) -> None:
        """A list that could not be written is still owed."""
        if on_disk:
            self._again = AGAIN_FIRST
            self._on_disk = generation == self.generation and not self._writing
        else:
            self._save_after(self._again)
            self._again = min(2 * self._again, TOUCH)

    # ---- Services ----------------------------------------------------------------------------------------

    def _over(self, call: DiscoveryCall, why: str, failed: bool) -> None:
        """A service has failed: on to the next; the module hears of it only once all have."""
        if not failed:
            super()._over(call, why, failed)
            return
        self._address = self._all[(self._all.index(self._address) + 1) % len(self._all)]
        self.authority = f"{self._address[0]}:{self._address[1]}"
        self._failed += 1
        if self._failed >= len(self._all):
            self._failed = 0
            super()._over(call, why, failed)
            return
        log.info("discovery: %s: on to %s", why, self.authority)
        soon = int(JITTER * random.random())
        if call is self._watch:
            self._watch = None
            self._watch_after(soon)
        elif call is self._list_call:
            self._list_call = None
            self._timers.after(soon, lambda _: self.fetch(), None)

    def reconfigure(self, address: Address, lines: UpdateParser, pushed: bool, others: Sequence[Address] = ()) -> None:
        """Other services from now on; where there are the same ones nothing ends."""
        every = [address, *others]
        same = set(every) == set(self._all)
        self._all = every
        self._reach.services = len(every)
        if not same or lines.names != self._lines.names:
            self._rows = {}
            self._failed = 0
        super().reconfigure(self._address if same else address, lines, pushed)

    def fell_silent(self, call: DiscoveryCall) -> None:
        """Another service may speak."""
        self.ended(call, "silent")

    def _confirm(self, _: None) -> None:
        """A list that a living watch confirms is not old."""
        if self._kept is None or self._thread is None:
            return
        if self._watch is not None and self._watch.heard and self._on_disk:
            self._thread.submit(self._kept.touch)
        self._timers.after(TOUCH, self._confirm, None)

    def close(self) -> None:
        """End everything; the program is over."""
        super().close()
        self._save(None)      # what was about to be
        if self._thread is not None:
            self._thread.shutdown()
            self._thread = None
