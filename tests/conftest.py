"""Hypothesis draws the same examples every time and is not timed: the verdict never varies.

Tests of KNOWN-RED.txt run like all others; that they fail is printed and fails nothing.
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
    """A port that nobody listens on."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        number: int = server.getsockname()[1]
        return number


def pytest_collection_modifyitems(session: pytest.Session, items: list[pytest.Item]) -> None:
    """Expect the known failures; a listed test that does not exist fails the whole run."""
    entries = {entry.test: entry for entry in known_red.read()}
    for item in items:
        entry = entries.get(item.nodeid)
        if entry is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{entry.cause} ({entry.issue})", strict=False))
    whole = not session.config.args or [str(arg) for arg in session.config.args] == ["tests"]
    missing = set(entries) - {item.nodeid for item in items}
    if whole and missing and not session.config.option.keyword:
        raise pytest.UsageError(f"KNOWN-RED.txt names tests that do not exist: {', '.join(sorted(missing))}")


def pytest_terminal_summary(terminalreporter: TerminalReporter) -> None:
    """Print the known failures and what became of them."""
    for entry in known_red.read():
        for how in ("xfailed", "xpassed"):
            if any(report.nodeid == entry.test for report in terminalreporter.stats.get(how, [])):
                said = "fails as known" if how == "xfailed" else "PASSES: take it off the list"
                terminalreporter.write_line(f"KNOWN-RED: {entry.test}: {said}: {entry.cause} ({entry.issue})")
