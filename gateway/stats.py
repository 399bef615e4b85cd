"""The figures for operators: plain counters, each raised in one place, where the event has ended."""

from __future__ import annotations

from collections.abc import Iterable, Mapping


class Stats:
    """Counts since the start of the process; a reload does not reset them."""

    def __init__(self) -> None:
        self._downstream: dict[str, dict[str, int]] = {}
        self.upstream_requests = 0
        self.sends_stopped = 0   # at the last moment, as the host had left the list
        self.config_reloads = 0
        self.config_reload_errors = 0

    def register_classes(self, classes: Iterable[str]) -> None:
        """Classes of the settings: they are shown from 0 on, and stay shown once they are dropped."""
        for cls in classes:
            self._downstream.setdefault(cls, {"completed": 0, "rejected": 0, "failed": 0})

    def count_request(self, cls: str, how: str) -> None:
        """A request of a class is over: completed, rejected or failed."""
        self._downstream[cls][how] += 1

    def render(self, gauges: Mapping[str, int]) -> bytes:
        """All figures, one a line, with what is measured now."""
        lines = [f"svc.downstream_requests.{cls}.{how}={count}"
                 for cls, counts in self._downstream.items() for how, count in counts.items()]
        lines += [f"svc.{name}={value}" for name, value in {
            "upstream_requests": self.upstream_requests, "sends_stopped": self.sends_stopped, **gauges,
            "config_reloads": self.config_reloads, "config_reload_errors": self.config_reload_errors}.items()]
        return "".join(line + "\n" for line in lines).encode(errors="replace")
