"""Common part of the test bench's child processes: commands on standard input, reports on standard output, one clock.

A child exits when its standard input is closed, so that no child outlives a test bench that was killed.  Commands
and reports are JSON lines.
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

MAX_LINE_BYTES = 64 << 20
FLUSH_INTERVAL_S = 0.5


class ChildProgram(Protocol):
    """The program that a child process runs."""

    async def start(self) -> dict[str, Any]:
        """Start listening; the returned values are sent with the `ready` report."""

    def command(self, name: str, message: dict[str, Any]) -> None:
        """Handle one command."""

    def finish(self) -> dict[str, Any]:
        """Stop; returns the figures of the final report."""


class Clock:
    """Nanoseconds since the start of the run on the machine's monotonic clock; 0 until the run has started."""

    def __init__(self) -> None:
        self.epoch = 0

    def now(self) -> int:
        """Return the time since the start of the run."""
        return max(0, time.monotonic_ns() - self.epoch) if self.epoch else 0


class Lateness:
    """How late this process performs scheduled actions; a run in which the test bench itself was late is not valid."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, 60_000_000, 3)

    def add(self, late_ns: int) -> None:
        """Record the delay of one scheduled action."""
        self._histogram.record_value(max(1, late_ns // 1000))

    def figures(self) -> dict[str, float]:
        """Delays in milliseconds, and the share of actions performed within 5 ms."""
        histogram = self._histogram
        total = histogram.get_total_count()
        within = sum(item.count_added_in_this_iter_step for item in histogram.get_recorded_iterator()
                     if item.value_iterated_to <= 5000)
        return {"planned": total, "within_5_ms": round(within / total, 5) if total else 1.0,
                "late_p99_ms": histogram.get_value_at_percentile(99) / 1000,
                "late_p999_ms": histogram.get_value_at_percentile(99.9) / 1000,
                "late_max_ms": histogram.get_max_value() / 1000}


def report(what: str, **fields: Any) -> None:
    """Write one report to standard output."""
    sys.stdout.buffer.write(msgspec.json.encode({"what": what, **fields}) + b"\n")
    sys.stdout.buffer.flush()


async def _flush(writer: history.Writer) -> None:
    """Flush the history regularly, so that little is lost if this process is killed."""
    while True:
        await asyncio.sleep(FLUSH_INTERVAL_S)
        writer.flush()


async def _run(program: ChildProgram, clock: Clock, writer: history.Writer) -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    report("ready", **await program.start())
    flush_task = loop.create_task(_flush(writer))
    while line := await reader.readline():
        message = msgspec.json.decode(line)
        if message["do"] == "go":
            clock.epoch = message["epoch"]
            gc.freeze()
        if message["do"] == "finish":
            break
        program.command(message["do"], message)
    figures = program.finish()
    flush_task.cancel()
    writer.close()
    report("finished", figures=figures)


def main(factory: Any) -> None:
    """Run a child process; its only argument is the path of its configuration file."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)   # on Ctrl-C the test bench stops its children in order
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    gc.set_threshold(50_000, 20, 100)
    config = msgspec.json.decode(Path(sys.argv[1]).read_bytes())
    writer, clock = history.Writer(Path(config["part"])), Clock()
    uvloop.run(_run(factory(config, clock, writer), clock, writer))
