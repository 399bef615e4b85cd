"""Structured logs: one event name a fact, on standard error, as JSON or for a reader."""

from __future__ import annotations

import logging
import sys

import structlog


def setup(form: str = "console", level: str = "info") -> None:
    """`form` is json or console.  Wall time appears here and nowhere else."""
    shared: list[structlog.typing.Processor] = [
        structlog.contextvars.merge_contextvars, structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True)]
    last: structlog.typing.Processor = (
        structlog.processors.JSONRenderer() if form == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty()))
    structlog.configure(
        processors=[*shared, *([structlog.processors.format_exc_info] if form == "json" else []), last],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr), cache_logger_on_first_use=False)


def get(name: str) -> structlog.typing.FilteringBoundLogger:
    """A logger that names the part it speaks for."""
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger(part=name)
    return logger
