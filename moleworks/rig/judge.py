"""Checks the history of a run against the rules of the platform's protocol.

The judge reads only the history and shares no code with the programs that write it.  It checks these rules:

1. A request accepted by a running gateway gets exactly one final response; a served one was produced by a host.
2. Retries stay within what the request's class allows, and no two attempts of a request are in flight together.
3. No request is sent to a host later than the drain grace after the gateway was notified that the host is draining
   or gone, and none at all to a host that the gateway's list has never contained.
4. No host collapses under overload ("topples").
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

SLACK_NS = 50_000_000
"""Tolerance that the protocol adds to each time limit on sockets."""
TRANSIT_NS = 10_000_000
"""Additional time that a message may take between the processes."""
LATE_RESPONSE_NS = 500_000_000
"""A response that arrives within this time after the client's timeout counts as late, not as lost."""
JUDGE_DELAY_NS = 5_000_000_000
"""A request is judged this long after its last possible response."""
INVALIDATING_NOTES = {"late": "the rig itself fell behind", "interrupted": "it was ended before its time",
                      "trouble": "the rig could not do what the file asks", "ended": "a gateway ended by itself"}
"""Notes of the rig that invalidate the run: a run with one of them never passes."""
MAX_JUDGED_IDS = 1_000_000
"""Number of judged request ids that are remembered: a link that was cut may deliver a request long afterwards."""
MAX_CLOSED_CONNECTIONS = 100_000
"""Number of closed connections that are remembered: data in flight on one arrives soon after it was closed."""
MAX_LISTED_VIOLATIONS = 20
"""Number of violations of one rule that are listed; further ones are only counted."""


class _Arrival:
    __slots__ = ("arrived_at", "ended_at", "host", "outcome", "sent_at", "token")

    def __init__(self, token: int, host: str, t: int, sent_at: int) -> None:
        self.token = token
        self.host = host
        self.arrived_at = t
        self.sent_at = sent_at
        self.outcome = ""
        self.ended_at: int | None = None   # when it ended at the host or was cancelled by the gateway


class _Request:
    __slots__ = ("answered_at", "arrivals", "asked_at", "cls", "gateway", "origin", "outcome", "rid", "token", "ttl")

    def __init__(self, rid: int, t: int, origin: int, gateway: str, cls: int, ttl: int) -> None:
        self.rid, self.asked_at, self.origin, self.gateway, self.cls, self.ttl = rid, t, origin, gateway, cls, ttl
        self.arrivals: list[_Arrival] = []
        self.outcome = ""
        self.token = 0
        self.answered_at = 0


class _GatewayView:
    """Which hosts a gateway was notified of, and when the gateway was unavailable."""

    def __init__(self) -> None:
        self.ever_listed: set[str] = set()
        self.withdrawn_at: dict[str, int] = {}
        self.outages: list[tuple[int, int]] = []   # intervals in which it was down, stopped or unreachable
        self.outage_starts: dict[str, int] = {}


class Judge:
    """Call `feed` with every line in order, then `result`."""

    def __init__(self) -> None:
        self.violation_counts: Counter[str] = Counter()
        self.violations: list[str] = []
        self._world: dict[str, Any] = {}
        self._requests: dict[int, _Request] = {}
        self._unjudged: deque[_Request] = deque()
        self._judged_ids: dict[int, None] = {}
        self._arrivals_after_judgement = 0
        self._arrivals: dict[int, _Arrival] = {}
        self._arrivals_by_connection: dict[int, list[_Arrival]] = {}
        self._sent_at: dict[tuple[int, int], int] = {}
        self._closed_at: dict[int, int] = {}
        self._gateways: dict[str, _GatewayView] = {}
        self._origins: dict[int, list[Any]] = {}   # [sent at, class, served at or None]
        self._outcomes: Counter[str] = Counter()
        self._attempts = 0
        self._cross_zone_attempts = 0
        self._asked = 0
        self._classes: dict[int, list[float]] = {}
        self._latency_us = HdrHistogram(1, 600_000_000, 3)
        self.seconds: dict[int, Counter[str]] = {}
        self.window_counts: dict[tuple[float, float], list[int]] = {}
        self.faults: list[dict[str, Any]] = []
        self.notes: list[dict[str, Any]] = []
        self.attempts_by_host: Counter[str] = Counter()
        self._max_deadline_ns = 0
        self._last_ns = 0

    def _add_violation(self, rule: str, text: str) -> None:
        self.violation_counts[rule] += 1
        if self.violation_counts[rule] <= MAX_LISTED_VIOLATIONS:
            self.violations.append(f"{rule}: {text}")

    # ---- Lines ----------------------------------------------------------------------------------------

    def feed(self, line: dict[str, Any]) -> None:
        """Process one line of the history."""
        t = line["t"]
        self._last_ns = max(self._last_ns, t)
        getattr(self, "_on_" + line["e"])(t, line)
        while self._unjudged and self._unjudged[0].asked_at + self._max_deadline_ns + JUDGE_DELAY_NS < t:
            self._judge_request(self._unjudged.popleft())

    def _on_world(self, _t: int, line: dict[str, Any]) -> None:
        self._world = line
        self._zones = {host["name"]: (host["zone"], host["cell"]) for host in line["hosts"]}
        self._gateway_zone = {item["name"]: item["zone"] for item in line["gateways"]}
        self._gateways = {name: _GatewayView() for name in self._gateway_zone}
        self._max_deadline_ns = max(item["deadline"] for item in line["classes"])

    def _on_ask(self, t: int, line: dict[str, Any]) -> None:
        request = _Request(line["r"], t, line["o"], line["g"], line["c"], line["ttl"])
        if line["r"] in self._requests:
            self._add_violation("history", f"request {line['r']} is asked twice")
        self._requests[line["r"]] = request
        self._unjudged.append(request)
        if line["o"] == line["r"]:
            self._origins[line["r"]] = [t, line["c"], None]
            self._second_counts(t)["asked"] += 1

    def _on_answer(self, t: int, line: dict[str, Any]) -> None:
        request = self._requests.get(line["r"])
        if request is None:
            self._add_violation("history", f"an answer to request {line['r']}, which nobody asked")
            return
        if request.outcome:
            self._add_violation("1 lost", f"request {line['r']} has two final answers")
            return
        request.outcome, request.answered_at, request.token = line["how"], t, line.get("by", 0)
        origin = self._origins.get(request.origin)
        if line["how"] == "served" and t <= request.asked_at + request.ttl and origin is not None and origin[2] is None:
            origin[2] = t

    def _on_begin(self, t: int, line: dict[str, Any]) -> None:
        sent = line.get("s", -1)
        arrival = _Arrival(line["k"], line["h"], t, t if sent < 0 else sent)
        if line.get("x", -1) >= 0:
            arrival.ended_at = line["x"]
        if line.get("c"):
            arrival.sent_at = self._sent_at.pop((line["c"], line["n"]), t)
            self._arrivals_by_connection.setdefault(line["c"], []).append(arrival)
            if line["c"] in self._closed_at:
                arrival.ended_at = self._closed_at[line["c"]]
        self._arrivals[line["k"]] = arrival
        self._attempts += 1
        self.attempts_by_host[line["h"]] += 1
        request = self._requests.get(line["r"])
        if request is None:
            if line["r"] not in self._judged_ids:
                self._add_violation("2 repeats", f"{line['h']} got request {line['r']}, which no client sent")
            elif sent < 0 and not line.get("c"):
                self._add_violation("2 repeats", f"{line['h']} got request {line['r']} long after its end")
            self._arrivals_after_judgement += 1
            return
        request.arrivals.append(arrival)
        if self._zones[line["h"]][0] != self._gateway_zone[line["g"]]:
            self._cross_zone_attempts += 1
        self._check_send_allowed(line["g"], line["h"], arrival.sent_at)

    def _check_send_allowed(self, gateway: str, host: str, sent: int) -> None:
        view = self._gateways[gateway]
        if host not in view.ever_listed:
            self._add_violation("3 drains", f"{gateway} sent to {host}, which its list has never named")
        elif host in view.withdrawn_at:
            excess_ns = sent - view.withdrawn_at[host] - self._world["rules"]["drain_grace"] - SLACK_NS - TRANSIT_NS
            if excess_ns > 0:
                self._add_violation("3 drains", f"{gateway} sent to {host} {excess_ns / 1e6:.0f} ms after the grace")

    def _on_end(self, t: int, line: dict[str, Any]) -> None:
        arrival = self._arrivals.get(line["k"])
        if arrival is not None:
            arrival.outcome = line["how"]
            if arrival.ended_at is None or arrival.ended_at > t:
                arrival.ended_at = t

    def _on_left(self, t: int, line: dict[str, Any]) -> None:
        arrival = self._arrivals.get(line["k"])
        if arrival is not None and arrival.ended_at is None:
            arrival.ended_at = t

    def _on_shut(self, t: int, line: dict[str, Any]) -> None:
        self._closed_at[line["c"]] = t
        if len(self._closed_at) > MAX_CLOSED_CONNECTIONS:
            del self._closed_at[next(iter(self._closed_at))]
        for arrival in self._arrivals_by_connection.pop(line["c"], []):
            if arrival.ended_at is None:
                arrival.ended_at = t

    def _on_sent(self, t: int, line: dict[str, Any]) -> None:
        self._sent_at[line["c"], line["n"]] = t

    def _on_list(self, t: int, line: dict[str, Any]) -> None:
        view = self._gateways[line["g"]]
        seen = set()
        for host, state in line["rows"]:
            seen.add(host)
            if state == "in_service":
                view.ever_listed.add(host)
                view.withdrawn_at.pop(host, None)
            else:
                if state == "terminating":
                    view.ever_listed.add(host)
                view.withdrawn_at.setdefault(host, t)
        if line["full"]:
            for host in view.ever_listed - seen:
                view.withdrawn_at.setdefault(host, t)

    def _on_gateway(self, t: int, line: dict[str, Any]) -> None:
        view = self._gateways[line["g"]]
        what = line["what"]
        starts = {"down": "down", "stop": "stop", "hidden": "hidden"}
        ends = {"up": "down", "go": "stop", "seen": "hidden"}
        if what in starts:
            view.outage_starts.setdefault(what, t)
        elif what in ends and (started := view.outage_starts.pop(ends[what], None)) is not None:
            view.outages.append((started, t))

    def _on_host(self, t: int, line: dict[str, Any]) -> None:
        if line["what"] == "topple":
            self._add_violation("4 topples", f"{line['h']} fell over at {t / 1e9:.2f} s")

    def _on_fault(self, _t: int, line: dict[str, Any]) -> None:
        self.faults.append({key: value for key, value in line.items() if key != "e"})

    def _on_note(self, _t: int, line: dict[str, Any]) -> None:
        self.notes.append(line)

    # ---- Judgement ------------------------------------------------------------------------------------

    def _gateway_unavailable(self, request: _Request, until: int) -> bool:
        """Whether the gateway was down, stopped or unreachable while the request was open."""
        view = self._gateways[request.gateway]
        ongoing = [(started, 1 << 62) for started in view.outage_starts.values()]
        return any(started <= until + SLACK_NS and request.asked_at <= ended + SLACK_NS for started, ended in
                   [*view.outages, *ongoing])

    def _judge_request(self, request: _Request) -> None:
        self._requests.pop(request.rid, None)
        self._judged_ids[request.rid] = None
        if len(self._judged_ids) > MAX_JUDGED_IDS:
            del self._judged_ids[next(iter(self._judged_ids))]
        cls = self._world["classes"][request.cls]
        served = [arrival for arrival in request.arrivals if arrival.outcome == "served"]
        if not request.outcome or request.outcome in ("none", "cut"):
            until = request.answered_at or request.asked_at + request.ttl + LATE_RESPONSE_NS
            if self._gateway_unavailable(request, until):
                self._outcomes["excused"] += 1
            else:
                what = "cut off without an answer" if request.outcome == "cut" else "never answered"
                self._add_violation("1 lost", f"request {request.rid} at {request.gateway} was {what}")
        elif request.outcome == "served":
            source = self._arrivals.get(request.token)
            if source is None or source not in request.arrivals or source not in served:
                self._add_violation("1 lost", f"request {request.rid} was served by what no host made for it")
        if len(request.arrivals) > self._world["rules"]["max_attempts"]:
            self._add_violation("2 repeats", f"request {request.rid} was tried {len(request.arrivals)} times")
        self._check_attempts(request, cls)
        for arrival in request.arrivals:
            self._arrivals.pop(arrival.token, None)
        self._count_request(request, cls)

    def _check_attempts(self, request: _Request, cls: dict[str, Any]) -> None:
        ran: list[_Arrival] = []
        for arrival in sorted(request.arrivals, key=lambda item: item.sent_at):   # a link may reorder them
            for earlier in ran:
                if earlier.ended_at is None or earlier.ended_at > arrival.sent_at + SLACK_NS:
                    self._add_violation("2 repeats", f"request {request.rid} was out at {earlier.host} and at "
                                        f"{arrival.host} at once")
                if cls["effect"] == "unsafe":
                    self._add_violation("2 repeats", f"request {request.rid} is unsafe and was sent again")
                elif cls["effect"] == "keyed":
                    self._check_keyed_retry(request, cls, earlier, arrival)
            if arrival.outcome != "full":
                ran.append(arrival)
        always_repeatable = cls["effect"] == "safe" or (cls["effect"] == "keyed" and cls["group"] == "all")
        if request.outcome == "refused" and ran and not always_repeatable:
            self._add_violation("2 repeats", f"request {request.rid} was refused though it may have run")

    def _check_keyed_retry(self, request: _Request, cls: dict[str, Any], earlier: _Arrival, arrival: _Arrival) -> None:
        one, other = self._zones[earlier.host], self._zones[arrival.host]
        same = {"all": True, "zone": one[0] == other[0], "cell": one == other}[cls["group"]]
        if not same:
            self._add_violation("2 repeats", f"request {request.rid} left its {cls['group']}: it went to "
                                f"{earlier.host} and {arrival.host}")
        if arrival.sent_at > earlier.sent_at + cls["window"] + SLACK_NS:
            self._add_violation("2 repeats", f"request {request.rid} was sent again after its window")

    def _second_counts(self, t: int) -> Counter[str]:
        return self.seconds.setdefault(t // 1_000_000_000, Counter())

    def _count_request(self, request: _Request, cls: dict[str, Any]) -> None:
        """Add a first try to the figures; later tries of the client are already recorded when it is judged."""
        self._outcomes[request.outcome or "none"] += 1
        if request.rid != request.origin:
            return
        t, _, served_at = self._origins.pop(request.rid)
        latency_ns = None if served_at is None else served_at - t
        in_time = latency_ns is not None and latency_ns <= cls["aim"] + TRANSIT_NS // 10
        second = self._second_counts(t)
        second["in_time"] += in_time
        second["served"] += latency_ns is not None
        second[request.outcome] += request.outcome not in ("served", "none")
        if t < self._world["warmup"]:
            return
        for (begin, end), counts in self.window_counts.items():
            if begin * 1e9 <= t < end * 1e9:
                counts[0] += 1
                counts[1] += in_time
        totals = self._classes.setdefault(request.cls, [0, 0, 0, 0.0])
        totals[0] += 1
        totals[1] += latency_ns is not None
        totals[2] += in_time
        totals[3] += cls["worth"] * (1.0 if in_time else cls["late_worth"] if latency_ns is not None else 0.0)
        if latency_ns is not None:
            self._latency_us.record_value(max(1, latency_ns // 1000))

    def result(self, hold: dict[str, Any]) -> dict[str, Any]:
        """Return the figures and the violations; `hold` is the experiment's table of that name as plain values."""
        while self._unjudged:
            self._judge_request(self._unjudged.popleft())
        if not self._world:
            return {"verdict": "broken", "broken": ["history: is empty"], "figures": {}, "faults": [], "notes": []}
        figures = self._figures()
        broken = list(self.violations)
        for rule, count in self.violation_counts.items():
            if count > MAX_LISTED_VIOLATIONS:
                broken.append(f"{rule}: and {count - MAX_LISTED_VIOLATIONS} more")
        for name in ("served", "in_time"):
            if figures[name] < hold.get(name, 0.0):
                broken.append(f"hold: {name} {figures[name]:.4f} is below {hold[name]}")
        for window in hold.get("windows", []):
            asked, in_time = self.window_counts[window["from_s"], window["to_s"]]
            share = in_time / asked if asked else 0.0
            figures[f"in_time_{window['from_s']:g}_{window['to_s']:g}"] = round(share, 4)
            if share < window["in_time"]:
                broken.append(f"hold: in_time {share:.4f} from {window['from_s']:g} to {window['to_s']:g} s is below "
                              f"{window['in_time']}")
        if not figures["asked"]:
            broken.append("hold: no request was asked after the warm-up: nothing is shown")
        for note in self.notes:
            if note["what"] in INVALIDATING_NOTES:
                broken.append(f"{note['what']}: {INVALIDATING_NOTES[note['what']]}, this run does not count")
        return {"verdict": "broken" if broken else "held", "broken": broken, "figures": figures,
                "faults": self.faults, "notes": [{"what": note["what"], **note.get("figures", {})}
                                                 for note in self.notes]}

    def _figures(self) -> dict[str, Any]:
        asked = sum(totals[0] for totals in self._classes.values())
        worth = sum(totals[0] * self._world["classes"][cls]["worth"] for cls, totals in self._classes.items())
        total = max(1, asked)
        figures: dict[str, Any] = {
            "asked": asked,
            "served": round(sum(totals[1] for totals in self._classes.values()) / total, 5),
            "in_time": round(sum(totals[2] for totals in self._classes.values()) / total, 5),
            "worth": round(sum(totals[3] for totals in self._classes.values()) / worth, 5) if worth else 0.0,
            "tries": sum(self._outcomes.values()), "attempts": self._attempts,
            "held_past_judgement": self._arrivals_after_judgement, "crossings": self._cross_zone_attempts}
        for how in ("refused", "failed", "cut", "none", "unreachable", "left", "excused"):
            figures[how] = self._outcomes[how]
        for rule, count in sorted(self.violation_counts.items()):
            figures["broken " + rule] = count
        for cls, totals in sorted(self._classes.items()):
            figures["in_time " + self._world["classes"][cls]["name"]] = round(totals[2] / totals[0], 5)
        for percent in (50, 90, 99, 99.9):
            figures[f"p{percent:g}_ms"] = round(self._latency_us.get_value_at_percentile(percent) / 1000, 2)
        return figures


def judge(path: Path, hold: dict[str, Any]) -> tuple[dict[str, Any], dict[int, Counter[str]]]:
    """Return the verdict on a history file and its counts for each second."""
    decode = msgspec.json.Decoder().decode
    with open(path, "rb") as file:
        return judge_lines((decode(line) for line in file), hold)


def judge_lines(lines: Iterable[dict[str, Any]],
                hold: dict[str, Any]) -> tuple[dict[str, Any], dict[int, Counter[str]]]:
    """The same as `judge` for lines that are already decoded."""
    checker = Judge()
    checker.window_counts = {(window["from_s"], window["to_s"]): [0, 0] for window in hold.get("windows", [])}
    for line in lines:
        checker.feed(line)
    return checker.result(hold), checker.seconds
