"""What every process of the rig shares: commands on standard input, reports on standard output, one clock.

A child ends when its input ends, so that none outlives a rig that was killed.  Commands and reports are JSON lines.
"""

from __future__ import annotations

import asyncio
import gc
import resource
import signal
import sys
import time
from pathlib import Path
from typing import Any, Protocol

import msgspec
import uvloop
from hdrh.histogram import HdrHistogram

from .. import history

MAX_LINE = 64 << 20
FLUSH_S = 0.5


class Part(Protocol):
    """A child's work."""

    async def start(self) -> dict[str, Any]:
        """Listen; what it returns is reported as ready."""

    def command(self, name: str, told: dict[str, Any]) -> None:
        """One command."""

    def finish(self) -> dict[str, Any]:
        """The end: figures to report."""


class Clock:
    """Nanoseconds since the run's start, on the machine's one monotonic clock; 0 until the run has started."""

    def __init__(self) -> None:
        self.epoch = 0

    def now(self) -> int:
        """The run's time."""
        return max(0, time.monotonic_ns() - self.epoch) if self.epoch else 0


class Lateness:
    """How late this process does what it planned: a rig that falls behind must not judge anybody."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, 60_000_000, 3)

    def add(self, late_ns: int) -> None:
        """One planned thing was done so late."""
        self._histogram.record_value(max(1, late_ns // 1000))

    def figures(self) -> dict[str, float]:
        """Milliseconds, and the share done within 5 ms."""
        histogram = self._histogram
        total = histogram.get_total_count()
        within = sum(item.count_added_in_this_iter_step for item in histogram.get_recorded_iterator()
                     if item.value_iterated_to <= 5000)
        return {"planned": total, "within_5_ms": round(within / total, 5) if total else 1.0,
                "late_p99_ms": histogram.get_value_at_percentile(99) / 1000,
                "late_p999_ms": histogram.get_value_at_percentile(99.9) / 1000,
                "late_max_ms": histogram.get_max_value() / 1000}


def report(what: str, **told: Any) -> None:
    """One line to the rig."""
    sys.stdout.buffer.write(msgspec.json.encode({"what": what, **told}) + b"\n")
    sys.stdout.buffer.flush()


async def _flush(writer: history.Writer) -> None:
    """What was seen is in the file soon, should this process be killed."""
    while True:
        await asyncio.sleep(FLUSH_S)
        writer.flush()


async def _run(part: Part, clock: Clock, writer: history.Writer) -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    report("ready", **await part.start())
    flushing = loop.create_task(_flush(writer))
    while line := await reader.readline():
        told = msgspec.json.decode(line)
        if told["do"] == "go":
            clock.epoch = told["epoch"]
            gc.freeze()
        if told["do"] == "finish":
            break
        part.command(told["do"], told)
    figures = part.finish()
    flushing.cancel()
    writer.close()
    report("finished", figures=figures)


def main(make: Any) -> None:
    """Run a child; its configuration is the file named by its one argument."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)   # Ctrl-C goes to the rig, which ends its children in order
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    gc.set_threshold(50_000, 20, 100)
    told = msgspec.json.decode(Path(sys.argv[1]).read_bytes())
    writer, clock = history.Writer(Path(told["part"])), Clock()
    uvloop.run(_run(make(told, clock, writer), clock, writer))
