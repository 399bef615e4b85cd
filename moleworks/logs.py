"""Structured logs on standard error, as JSON or in a readable form."""

from __future__ import annotations

import logging
import sys

import structlog


def setup(log_format: str = "console", level: str = "info") -> None:
    """Configure logging; `log_format` is json or console.  Wall-clock time is used for log timestamps only."""
    shared: list[structlog.typing.Processor] = [
        structlog.contextvars.merge_contextvars, structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True)]
    renderer: structlog.typing.Processor = (
        structlog.processors.JSONRenderer() if log_format == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty()))
    structlog.configure(
        processors=[*shared, *([structlog.processors.format_exc_info] if log_format == "json" else []), renderer],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr), cache_logger_on_first_use=False)


def get(name: str) -> structlog.typing.FilteringBoundLogger:
    """A logger that adds `part=name` to each event."""
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger(part=name)
    return logger
