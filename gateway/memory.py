"""The process's memory: what it may hold for clients and hosts, what it holds, and what the kernel counts as resident.

All bytes that clients and hosts make the process hold are charged to one `MemoryBudget` where they change hands.  Each
connection and request has an `Account` in it.  Costs of objects are estimates, rounded up.
"""

from __future__ import annotations

import ctypes
import logging
from enum import Enum
from typing import Any

from .events import event

log = logging.getLogger("gateway.memory")

READ_BUFFER_BYTES = 64 * 1024
"""Most bytes that are read in one call."""
MIN_READ_BYTES = 4 * 1024
"""Lower bound of the bytes of a streamed message that are read in one call, however many share the budget."""
CONNECTION_BYTES = 4 * 1024
"""Cost of a connection of a client or to a host: its transport, parser and objects."""
REQUEST_BYTES = 8 * 1024
"""Cost of an open request without its message: its objects in the core and the decision module, its attempts, and the
connection to a host that they may need."""
FIELD_BYTES = 170
"""Cost of a header field beside its bytes."""
SMALL_BYTES = 4 * 1024
"""A message that costs no more than this may use all of the budget."""
LARGE_SHARE = 0.75
"""Share of the budget that larger messages may use, so that they leave room for small ones."""
NEW_CLIENTS_SHARE = 0.9
"""Share of the budget that small messages may use on connections on which nothing has been answered yet."""
RESPONSES_SHARE = 1.15
"""Share of the budget up to which responses are read: they end requests, which may have filled all of it."""
TIGHT_SHARE = 0.5
"""Share of the budget from which on as little as possible is read ahead."""
USABLE_SHARE = 0.5
"""Share of the memory above the process's base that may be held; the rest is for what can't be counted: the memory
that the allocator keeps after use, and copies that last for one call."""
MIN_BUDGET_BYTES = 1 << 20
"""The budget if the limit leaves less: some requests can be served at any limit."""

LOG_STEP_BYTES = 1 << 20
"""Resident memory is logged each time its peak has grown by this much."""


def resident_and_peak_bytes() -> tuple[int, int]:
    """Return the resident memory of this process and its peak (VmRSS and VmHWM, proc(5)); 0 for what can't be read."""
    try:
        with open("/proc/self/status", "rb") as file:
            values = dict(line.split(b":", 1) for line in file if line.startswith((b"VmRSS:", b"VmHWM:")))
        return int(values[b"VmRSS"].split()[0]) << 10, int(values[b"VmHWM"].split()[0]) << 10
    except (OSError, LookupError, ValueError):
        return 0, 0


M_MMAP_THRESHOLD = -3
"""Parameter of mallopt(3)."""
MMAP_THRESHOLD_BYTES = 32 * 1024
"""Allocations from this size on get pages of their own, which go back to the kernel when they are freed."""


def _library_function(name: str) -> Any:
    """A function of the C library, or one that does nothing where it has none of this name."""
    return getattr(ctypes.CDLL(None), name, lambda *_: 0)


_malloc_trim = _library_function("malloc_trim")


def configure_allocator() -> None:
    """Have large blocks return to the kernel as they are freed, from now on (mallopt(3))."""
    _library_function("mallopt")(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)


def return_free_memory() -> None:
    """Return the free memory of the allocator to the kernel (malloc_trim(3))."""
    _malloc_trim(0)


class MemoryKind(Enum):
    """What memory is held for; the values are the names of the metrics."""

    CONNECTIONS = "connections"
    HEADS = "heads"   # of messages that are being received, parsed or still in the parser
    BODIES = "bodies"   # that are being received, with what is reserved for them
    REPLAY = "replay"   # starts of streamed bodies, kept for a retry
    REQUESTS = "requests"   # open ones, complete or streamed, with their buffered bodies
    RESPONSES = "responses"   # that wait for their client
    HOSTS = "hosts"   # connections to hosts, and the requests that they have not taken
    HOST_RESPONSES = "host_responses"   # that are being received, with what is reserved for them
    DEPARTED = "departed"   # ids whose clients have left


_KIND_INDEXES = {kind: index for index, kind in enumerate(MemoryKind)}


class MemoryBudget:
    """The memory that clients and hosts may make the process hold, and what they do."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes   # set by the resident memory
        self.held_bytes = 0
        self._held_by_index = [0] * len(MemoryKind)   # a list, as a lookup by a member of an enumeration is slow
        self.streams = 0   # messages that are being streamed

    @property
    def held_by_kind(self) -> dict[MemoryKind, int]:
        """What is held for each kind of use, bytes."""
        return dict(zip(MemoryKind, self._held_by_index, strict=True))

    def charge(self, kind_index: int, more_bytes: int) -> None:
        """Add to what is held; negative if it is released."""
        self.held_bytes += more_bytes
        self._held_by_index[kind_index] += more_bytes

    def admits(self, size: int, more_bytes: int, has_progressed: bool = True) -> bool:
        """Whether a message of this cost may be held, if so many bytes are added to what is held.

        The last share of the budget is for small messages of clients that have read a response on their connection.
        """
        share = (1.0 if has_progressed else NEW_CLIENTS_SHARE) if size <= SMALL_BYTES else LARGE_SHARE
        return self.held_bytes + more_bytes <= self.max_bytes * share

    def admits_response(self, size: int, more_bytes: int) -> bool:
        """Whether a response of this cost may be read; one at a time always may, so that requests end."""
        return self.held_bytes + more_bytes <= self.max_bytes * RESPONSES_SHARE \
            or self.held_by_kind[MemoryKind.HOST_RESPONSES] < size

    @property
    def tight(self) -> bool:
        """Whether as little as possible should be read ahead."""
        return self.held_bytes > self.max_bytes * TIGHT_SHARE

    def read_bytes(self) -> int:
        """Most bytes that a stream may read in one call; decreases with the number of streams and what is held."""
        room = max(0, self.max_bytes - self.held_bytes)
        return max(MIN_READ_BYTES, min(READ_BUFFER_BYTES, room // (2 * max(1, self.streams))))


class Account:
    """What one connection or request holds for one kind of use, as charged to the budget."""

    __slots__ = ("_budget", "_kind_index", "held_bytes")

    def __init__(self, budget: MemoryBudget, kind: MemoryKind, held_bytes: int = 0) -> None:
        self._budget = budget
        self._kind_index = _KIND_INDEXES[kind]
        self.held_bytes = 0
        self.update(held_bytes)

    def update(self, held_bytes: int) -> None:
        """Charge the difference to what was held before; 0 closes the account."""
        more_bytes = held_bytes - self.held_bytes
        if more_bytes:
            self.held_bytes = held_bytes
            self._budget.charge(self._kind_index, more_bytes)


def budget_bytes(limit_bytes: int, base_bytes: int, processes: int) -> int:
    """Return the budget of one of these processes, which share a limit and take the same base each."""
    usable = (limit_bytes - processes * base_bytes) * USABLE_SHARE
    return max(MIN_BUDGET_BYTES, int(usable) // processes)


class MemoryMonitor:
    """Samples the resident memory and logs the growth of its peak, with what is held by kind."""

    def __init__(self, limit_bytes: int, budget: MemoryBudget) -> None:
        self.limit_bytes = limit_bytes
        self.base_bytes = 0   # resident before the process serves
        self.resident_bytes = 0
        self.peak_bytes = 0   # since the start, also between samples
        self._budget = budget
        self._logged_bytes = 0

    @property
    def rest_bytes(self) -> int:
        """Resident memory that is neither the base nor in any account; negative if the estimates are too high.

        0 until the base is known.
        """
        return self.resident_bytes - self.base_bytes - self._budget.held_bytes if self.base_bytes else 0

    def metrics(self) -> dict[str, int]:
        """The memory by kind, KiB, as of the last sample."""
        figures = {"resident": self.resident_bytes, "peak": self.peak_bytes, "limit": self.limit_bytes,
                   "base": self.base_bytes, "held": self._budget.held_bytes, "budget": self._budget.max_bytes,
                   "rest": self.rest_bytes}
        figures |= {f"held_{kind.value}": size for kind, size in self._budget.held_by_kind.items()}
        return {f"memory_{name}_kb": size >> 10 for name, size in figures.items()}

    def sample(self, **fields: int) -> None:
        """Read the resident memory; a peak that has grown is logged with these fields."""
        self.resident_bytes, self.peak_bytes = resident_and_peak_bytes()
        if self.peak_bytes >= self._logged_bytes + LOG_STEP_BYTES:
            self._logged_bytes = self.peak_bytes
            kinds = {f"{kind.value}_kb": size >> 10 for kind, size in self._budget.held_by_kind.items() if size}
            event(log, "memory_peak", peak_kb=self.peak_bytes >> 10, resident_kb=self.resident_bytes >> 10,
                  limit_kb=self.limit_bytes >> 10, **fields, held_kb=self._budget.held_bytes >> 10,
                  rest_kb=self.rest_bytes >> 10, **kinds)
