"""The process's memory: what the kernel counts as resident, logged beside the limit of the settings."""

from __future__ import annotations

import logging

from .events import event

log = logging.getLogger("gateway.memory")

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


class MemoryMonitor:
    """Samples the resident memory and logs the growth of its peak."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.resident_bytes = 0
        self.peak_bytes = 0   # since the start, also between samples
        self._logged_bytes = 0

    def sample(self, **fields: int) -> None:
        """Read the resident memory; a peak that has grown is logged with these fields."""
        self.resident_bytes, self.peak_bytes = resident_and_peak_bytes()
        if self.peak_bytes >= self._logged_bytes + LOG_STEP_BYTES:
            self._logged_bytes = self.peak_bytes
            event(log, "memory_peak", peak_kb=self.peak_bytes >> 10, resident_kb=self.resident_bytes >> 10,
                  limit_kb=self.limit_bytes >> 10, **fields)
