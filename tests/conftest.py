"""Pytest configuration: reproducible Hypothesis tests and the list of known failures.

Hypothesis draws the same examples in each run and has no deadline, so that results do not vary.  Tests listed in
KNOWN-RED.txt run like all others; their failures are printed and do not fail the run.
"""

import socket

import pytest
from _pytest.terminal import TerminalReporter
from hypothesis import settings

from tests import known_red

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")


@pytest.fixture
def free_port() -> int:
    """A port on which no process listens."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        number: int = server.getsockname()[1]
        return number


def pytest_collection_modifyitems(session: pytest.Session, items: list[pytest.Item]) -> None:
    """Mark known failures as expected; a listed test that does not exist is an error in a full run."""
    entries = {entry.test: entry for entry in known_red.read()}
    for item in items:
        entry = entries.get(item.nodeid)
        if entry is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{entry.cause} ({entry.issue})", strict=False))
    full_run = not session.config.args or [str(arg) for arg in session.config.args] == ["tests"]
    missing = set(entries) - {item.nodeid for item in items}
    if full_run and missing and not session.config.option.keyword:
        raise pytest.UsageError(f"KNOWN-RED.txt names tests that do not exist: {', '.join(sorted(missing))}")


def pytest_terminal_summary(terminalreporter: TerminalReporter) -> None:
    """Print the result of each known failure."""
    for entry in known_red.read():
        for category in ("xfailed", "xpassed"):
            if any(report.nodeid == entry.test for report in terminalreporter.stats.get(category, [])):
                result = entry.result(category == "xpassed")
                terminalreporter.write_line(f"KNOWN-RED: {entry.test}: {result}: {entry.cause} ({entry.issue})")
