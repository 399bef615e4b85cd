"""Metrics for operators: plain counters.

A client's valid request is counted when its response ends; not if its client has left or its body was rejected.  An
attempt (`upstream_requests`) is counted when its last byte has been written.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping


class Stats:
    """Counters since the start of the process; a configuration reload does not reset them."""

    def __init__(self) -> None:
        self._downstream: dict[str, dict[str, int]] = {}
        self.upstream_requests = 0
        self.sends_stopped = 0   # attempts not sent, as the host was not ready any more, or had restarted or moved
        self.config_reloads = 0
        self.config_reload_errors = 0

    def register_classes(self, classes: Iterable[str]) -> None:
        """Add the request classes of the settings: shown from 0 on, and still shown after they have been removed."""
        for cls in classes:
            self._downstream.setdefault(cls, {"completed": 0, "rejected": 0, "failed": 0})

    def count_request(self, cls: str, outcome: str) -> None:
        """Count a request that has ended: "completed", "rejected" or "failed"."""
        self._downstream[cls][outcome] += 1

    def render(self, gauges: Mapping[str, int]) -> bytes:
        """Format all metrics, one per line, including the current values of gauges."""
        lines = [f"svc.downstream_requests.{cls}.{outcome}={count}"
                 for cls, counts in self._downstream.items() for outcome, count in counts.items()]
        lines += [f"svc.{name}={value}" for name, value in {
            "upstream_requests": self.upstream_requests, "sends_stopped": self.sends_stopped, **gauges,
            "config_reloads": self.config_reloads, "config_reload_errors": self.config_reload_errors}.items()]
        return "".join(line + "\n" for line in lines).encode(errors="replace")
