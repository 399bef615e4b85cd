"""Failover between several discovery services, any of which may be down, outdated or wrong, and the cached list.

Loaded only if the configuration names several addresses or a folder.  When a service fails, the next one is called
after a short jitter; the decision module is notified only once all have failed in turn.  A list is rejected if it is
older than the current one, would leave no host or, as a full list, has mostly malformed entries: none of these can be
intended.
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

FAILOVER_JITTER_NS = 300_000_000
"""Maximum random delay before the next service is called, so that not all gateways that lose a service call it at once.
"""
MAGIC = b"moleworks-list 1 "
"""Start of the file of a cached list: the name and the version of its format."""
MAX_CACHE_AGE_S = 24 * 3600
"""Age above which a cached list is not used; in wall time, as no other clock outlives a process."""
CACHE_TOUCH_INTERVAL_NS = 60 * SECOND
WRITE_BATCH_DELAY_NS = SECOND // 5
"""Updates received within this time are written together."""
MIN_WRITE_RETRY_NS = SECOND
"""Delay before a failed write is retried; doubles with each failure up to `CACHE_TOUCH_INTERVAL_NS`."""
MAX_CACHE_BYTES = 64 << 20

Address = tuple[str, int]


class CachedList:
    """One file: magic, CRC-32 and length, then the full list in discovery's format.  It is replaced atomically."""

    def __init__(self, folder: str, name: str) -> None:
        safe = "".join(letter if letter.isalnum() or letter in "-_" else "_" for letter in name) or "gateway"
        self.path = os.path.join(folder, f"list-{safe}.json")
        self._remove_leftovers()

    def _remove_leftovers(self) -> None:
        """Removes incomplete files of processes that were killed while writing."""
        for path in glob.glob(f"{glob.escape(self.path)}.*.new"):
            pid = path.split(".")[-2]
            if pid.isdigit() and not os.path.exists(f"/proc/{pid}"):
                with contextlib.suppress(OSError):
                    os.unlink(path)

    def read(self) -> dict[str, Any] | None:
        """Returns the list, or None if there is no usable one."""
        try:
            with open(self.path, "rb") as file:
                age = max(0.0, time.time() - os.fstat(file.fileno()).st_mtime)   # the clock may have been set back
                data = file.read(MAX_CACHE_BYTES)
            head, _, body = data.partition(b"\n")
            crc, length = head.removeprefix(MAGIC).split()
            if not head.startswith(MAGIC) or int(length) != len(body) or int(crc) != zlib.crc32(body):
                raise ValueError("length or checksum mismatch")
            if age > MAX_CACHE_AGE_S:
                raise ValueError(f"it is {age / 3600:.0f} hours old")
            content: dict[str, Any] = json.loads(body)
            content["generation"] = int(content["generation"])
            log.info("the cached list is %.0f s old, version %s", age, content.get("generation"))
            return content
        except FileNotFoundError:
            return None
        except (OSError, LookupError, TypeError, ValueError, RecursionError, AttributeError) as error:
            log.warning("cached list %s not used: %s", self.path, error)
            return None

    def write(self, content: dict[str, Any]) -> bool:
        """Replaces the file and returns whether the list is on disk.  A failure, as of a read-only folder, is logged.
        """
        temporary = f"{self.path}.{os.getpid()}.new"
        try:
            body = json.dumps(content, separators=(",", ":")).encode()
            with open(temporary, "wb") as file:
                file.write(b"%b%d %d\n%b" % (MAGIC, zlib.crc32(body), len(body), body))
                file.flush()
                os.fsync(file.fileno())
            os.replace(temporary, self.path)
            self._sync_folder()
        except OSError as error:
            log.warning("cannot write the cached list: %s", error)
            with contextlib.suppress(OSError):
                os.unlink(temporary)
            return False
        return True

    def _sync_folder(self) -> None:
        """Makes the new name durable too."""
        fd = os.open(os.path.dirname(self.path) or ".", os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def touch(self) -> None:
        """Updates the file's time, as its list is still current."""
        with contextlib.suppress(OSError):
            os.utime(self.path)


class FailoverDiscovery(Discovery):
    """`Discovery` that tries several addresses in turn."""

    def __init__(self, loop: asyncio.AbstractEventLoop, timers: Timers, addresses: Sequence[Address],
                 parser: UpdateParser, pushed: bool, on_list: Callable[[ListKind, list[ListedHost]], None],
                 cache: CachedList | None, grace_ns: int = 0, started_ns: int = 0) -> None:
        self._addresses = list(addresses)
        random.shuffle(self._addresses)   # spreads gateways over the services
        super().__init__(loop, timers, self._addresses[0], parser, pushed, on_list, grace_ns, started_ns)
        self._reachability.services = len(self._addresses)
        self._failed_services = 0         # in a row, in this round of all services
        self._rows: dict[str, Any] = {}
        self._cache = cache
        self._thread = ThreadPoolExecutor(1, "list") if cache is not None else None
        self._write_scheduled = False
        self._is_cached = False           # whether the cached list is the current one
        self._write_retry_ns = MIN_WRITE_RETRY_NS
        timers.after(CACHE_TOUCH_INTERVAL_NS, self._touch_cache, None)

    # ---- Lists -------------------------------------------------------------------------------------------

    def load_known_list(self, listed: Any) -> None:
        """Loads the newer of the configured list and the cached list."""
        cached = self._cache.read() if self._cache is not None else None
        if not isinstance(listed, dict):
            super().load_known_list(listed)
            listed = {}
        if cached is not None and (not listed.get("instances") or cached["generation"] > listed.get("generation", 0)):
            listed = cached
        super().load_known_list(listed)
        rows = listed.get("instances")
        self._rows = {row["instanceId"]: row for row in (rows if isinstance(rows, list) else ())
                      if isinstance(row, dict) and isinstance(row.get("instanceId"), str)}

    def _rejection_reason(self, content: dict[str, Any], update: HostListUpdate) -> str:
        if update.generation < self.generation:
            return f"a list of version {update.generation} after {self.generation}"
        rows = {} if update.whole else dict(self._rows)
        for row in content["instances"]:
            if isinstance(row, dict) and isinstance(row.get("instanceId"), str):
                if row.get("lifecycle") == "terminated":
                    rows.pop(row["instanceId"], None)
                else:
                    rows[row["instanceId"]] = row
        if self._rows and not rows:
            return "a list that leaves no host"
        if update.whole and len(update.listed) * 2 < len(content["instances"]):
            return "a list with mostly malformed entries"
        self._rows = rows
        self._failed_services = 0
        self._is_cached = False
        self._schedule_write(WRITE_BATCH_DELAY_NS)
        return ""

    def _schedule_write(self, delay_ns: int) -> None:
        if self._cache is not None and not self._write_scheduled:
            self._write_scheduled = True
            self._timers.after(delay_ns, self._write, None)

    def _write(self, _: None) -> None:
        if not self._write_scheduled or self._cache is None or self._thread is None:
            return
        self._write_scheduled = False
        content = {"generation": self.generation, "reset": True, "instances": list(self._rows.values())}
        generation = self.generation
        self._thread.submit(self._cache.write, content).add_done_callback(
            lambda done: self._on_thread_done(done.exception() is None and done.result(), generation))

    def _on_thread_done(self, on_disk: bool, generation: int) -> None:
        with contextlib.suppress(RuntimeError):   # the event loop has been closed
            self._loop.call_soon_threadsafe(self._on_written, on_disk, generation)

    def _on_written(self, on_disk: bool, generation: int) -> None:
        """Handles the end of a write; a failed one is retried."""
        if on_disk:
            self._write_retry_ns = MIN_WRITE_RETRY_NS
            self._is_cached = generation == self.generation and not self._write_scheduled
        else:
            self._schedule_write(self._write_retry_ns)
            self._write_retry_ns = min(2 * self._write_retry_ns, CACHE_TOUCH_INTERVAL_NS)

    # ---- Services ----------------------------------------------------------------------------------------

    def _on_call_over(self, call: DiscoveryCall, why: str, failed: bool) -> None:
        """Switches to the next service after a failure; the decision module is notified only once all have failed."""
        if not failed:
            super()._on_call_over(call, why, failed)
            return
        self._address = self._addresses[(self._addresses.index(self._address) + 1) % len(self._addresses)]
        self.authority = f"{self._address[0]}:{self._address[1]}"
        self._failed_services += 1
        if self._failed_services >= len(self._addresses):
            self._failed_services = 0
            super()._on_call_over(call, why, failed)
            return
        log.info("discovery: %s: switching to %s", why, self.authority)
        delay_ns = int(FAILOVER_JITTER_NS * random.random())
        if call is self._watch:
            self._watch = None
            self._watch_after(delay_ns)
        elif call is self._list_call:
            self._list_call = None
            self._timers.after(delay_ns, lambda _: self.fetch(), None)

    def reconfigure(self, address: Address, parser: UpdateParser, pushed: bool, others: Sequence[Address] = ()) -> None:
        """Switches to the services of new settings; no call ends if neither they nor the names change."""
        addresses = [address, *others]
        same = set(addresses) == set(self._addresses)
        self._addresses = addresses
        self._reachability.services = len(addresses)
        if not same or parser.configured_names != self._parser.configured_names:
            self._rows = {}
            self._failed_services = 0
        super().reconfigure(self._address if same else address, parser, pushed)

    def replace_silent_watch(self, call: DiscoveryCall) -> None:
        """Ends a silent watch as failed, as another service may respond."""
        self.end_call(call, "silent")

    def _touch_cache(self, _: None) -> None:
        """Marks the cached list as current while an open watch confirms it."""
        if self._cache is None or self._thread is None:
            return
        if self._watch is not None and self._watch.received_at and self._is_cached:
            self._thread.submit(self._cache.touch)
        self._timers.after(CACHE_TOUCH_INTERVAL_NS, self._touch_cache, None)

    def close(self) -> None:
        """Ends all calls, and writes a scheduled list, at shutdown."""
        super().close()
        self._write(None)
        if self._thread is not None:
            self._thread.shutdown(wait=False)   # a write that hangs ends at the exit at the latest
            self._thread = None
