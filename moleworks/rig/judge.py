"""The judge: reads a run's history and nothing else, and shares no code with what wrote it.

It keeps the rules of the platform's protocol page by its own books:

1. a request that a running gateway took gets one final answer, made by a host if it is served;
2. a repeat keeps to what its class allows, and no two attempts of a request are out together;
3. nothing new goes to a host later than the grace after the gateway was told that it drains or is gone, and
   nothing at all to a host that its list has never named;
4. no host is toppled.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

SLACK = 50_000_000
"""Each time limit grows by so much on sockets (the protocol page), ns."""
WAY = 10_000_000
"""What a message may take between the parties besides."""
OWED = 500_000_000
"""An answer that comes no more than this after its client's time is late, not lost."""
KEEP = 5_000_000_000
"""A request is judged so long after its last possible answer."""
SPOILS = {"late": "the rig itself fell behind", "interrupted": "it was ended before its time",
          "trouble": "the rig could not do what the file asks", "ended": "a gateway ended by itself"}
"""Notes of the rig after which nothing can be said to have held."""
MOST_JUDGED = 1_000_000
"""Judged requests whose ids are remembered: a link that was cut may bring one to its host long afterwards."""
MOST_SHUT = 100_000
"""Closed connections that are remembered: what was on its way on one comes soon after."""
MOST_TOLD = 20
"""Breaches of one rule that are worded; the others are counted."""


class _Arrival:
    __slots__ = ("end", "host", "how", "sent", "t", "token")

    def __init__(self, token: int, host: str, t: int, sent: int) -> None:
        self.token = token
        self.host = host
        self.t = t
        self.sent = sent
        self.how = ""
        self.end: int | None = None   # when it ended at the host, or the gateway gave it up


class _Request:
    __slots__ = ("answered", "arrivals", "by", "cls", "gateway", "how", "origin", "rid", "t", "ttl")

    def __init__(self, rid: int, t: int, origin: int, gateway: str, cls: int, ttl: int) -> None:
        self.rid, self.t, self.origin, self.gateway, self.cls, self.ttl = rid, t, origin, gateway, cls, ttl
        self.arrivals: list[_Arrival] = []
        self.how = ""
        self.by = 0
        self.answered = 0


class _Gateway:
    """What a gateway was told, and when it could not be held to its word."""

    def __init__(self) -> None:
        self.named: set[str] = set()
        self.barred: dict[str, int] = {}
        self.away: list[tuple[int, int]] = []   # stretches in which it was dead, stopped or hidden
        self.since: dict[str, int] = {}


class Judge:
    """Feed it every line in order, then ask for `result`."""

    def __init__(self) -> None:
        self.broken: Counter[str] = Counter()
        self.told: list[str] = []
        self._world: dict[str, Any] = {}
        self._requests: dict[int, _Request] = {}
        self._order: deque[_Request] = deque()
        self._judged: dict[int, None] = {}
        self._figure_late = 0
        self._arrivals: dict[int, _Arrival] = {}
        self._on_connection: dict[int, list[_Arrival]] = {}
        self._sent: dict[tuple[int, int], int] = {}
        self._shut: dict[int, int] = {}
        self._gateways: dict[str, _Gateway] = {}
        self._origins: dict[int, list[Any]] = {}   # asked at, class, served at or None
        self._hows: Counter[str] = Counter()
        self._attempts = 0
        self._crossings = 0
        self._asked = 0
        self._classes: dict[int, list[float]] = {}
        self._latency = HdrHistogram(1, 600_000_000, 3)   # microseconds
        self.seconds: dict[int, Counter[str]] = {}
        self.window_counts: dict[tuple[float, float], list[int]] = {}
        self.faults: list[dict[str, Any]] = []
        self.notes: list[dict[str, Any]] = []
        self.hosts: Counter[str] = Counter()
        self._max_ttl = 0
        self._last = 0

    def _break(self, rule: str, text: str) -> None:
        self.broken[rule] += 1
        if self.broken[rule] <= MOST_TOLD:
            self.told.append(f"{rule}: {text}")

    # ---- Lines ----------------------------------------------------------------------------------------

    def feed(self, line: dict[str, Any]) -> None:
        """One line of the history."""
        t = line["t"]
        self._last = max(self._last, t)
        getattr(self, "_on_" + line["e"])(t, line)
        while self._order and self._order[0].t + self._max_ttl + KEEP < t:
            self._judge(self._order.popleft())

    def _on_world(self, _t: int, line: dict[str, Any]) -> None:
        self._world = line
        self._zones = {host["name"]: (host["zone"], host["cell"]) for host in line["hosts"]}
        self._gateway_zone = {item["name"]: item["zone"] for item in line["gateways"]}
        self._gateways = {name: _Gateway() for name in self._gateway_zone}
        self._max_ttl = max(item["deadline"] for item in line["classes"])

    def _on_ask(self, t: int, line: dict[str, Any]) -> None:
        request = _Request(line["r"], t, line["o"], line["g"], line["c"], line["ttl"])
        if line["r"] in self._requests:
            self._break("history", f"request {line['r']} is asked twice")
        self._requests[line["r"]] = request
        self._order.append(request)
        if line["o"] == line["r"]:
            self._origins[line["r"]] = [t, line["c"], None]
            self._second(t)["asked"] += 1

    def _on_answer(self, t: int, line: dict[str, Any]) -> None:
        request = self._requests.get(line["r"])
        if request is None:
            self._break("history", f"an answer to request {line['r']}, which nobody asked")
            return
        if request.how:
            self._break("1 lost", f"request {line['r']} has two final answers")
            return
        request.how, request.answered, request.by = line["how"], t, line.get("by", 0)
        origin = self._origins.get(request.origin)
        if line["how"] == "served" and t <= request.t + request.ttl and origin is not None and origin[2] is None:
            origin[2] = t

    def _on_begin(self, t: int, line: dict[str, Any]) -> None:
        sent = line.get("s", -1)
        arrival = _Arrival(line["k"], line["h"], t, t if sent < 0 else sent)
        if line.get("x", -1) >= 0:
            arrival.end = line["x"]
        if line.get("c"):
            arrival.sent = self._sent.pop((line["c"], line["n"]), t)
            self._on_connection.setdefault(line["c"], []).append(arrival)
            if line["c"] in self._shut:
                arrival.end = self._shut[line["c"]]
        self._arrivals[line["k"]] = arrival
        self._attempts += 1
        self.hosts[line["h"]] += 1
        request = self._requests.get(line["r"])
        if request is None:
            if line["r"] not in self._judged:
                self._break("2 repeats", f"{line['h']} got request {line['r']}, which no client sent")
            elif sent < 0 and not line.get("c"):
                self._break("2 repeats", f"{line['h']} got request {line['r']} long after its end")
            self._figure_late += 1
            return
        request.arrivals.append(arrival)
        if self._zones[line["h"]][0] != self._gateway_zone[line["g"]]:
            self._crossings += 1
        self._send_allowed(line["g"], line["h"], arrival.sent)

    def _send_allowed(self, gateway: str, host: str, sent: int) -> None:
        books = self._gateways[gateway]
        if host not in books.named:
            self._break("3 drains", f"{gateway} sent to {host}, which its list has never named")
        elif host in books.barred:
            over = sent - books.barred[host] - self._world["rules"]["drain_grace"] - SLACK - WAY
            if over > 0:
                self._break("3 drains", f"{gateway} sent to {host} {over / 1e6:.0f} ms after the grace")

    def _on_end(self, t: int, line: dict[str, Any]) -> None:
        arrival = self._arrivals.get(line["k"])
        if arrival is not None:
            arrival.how = line["how"]
            if arrival.end is None or arrival.end > t:
                arrival.end = t

    def _on_left(self, t: int, line: dict[str, Any]) -> None:
        arrival = self._arrivals.get(line["k"])
        if arrival is not None and arrival.end is None:
            arrival.end = t

    def _on_shut(self, t: int, line: dict[str, Any]) -> None:
        self._shut[line["c"]] = t
        if len(self._shut) > MOST_SHUT:
            del self._shut[next(iter(self._shut))]
        for arrival in self._on_connection.pop(line["c"], []):
            if arrival.end is None:
                arrival.end = t

    def _on_sent(self, t: int, line: dict[str, Any]) -> None:
        self._sent[line["c"], line["n"]] = t

    def _on_list(self, t: int, line: dict[str, Any]) -> None:
        books = self._gateways[line["g"]]
        seen = set()
        for host, state in line["rows"]:
            seen.add(host)
            if state == "in_service":
                books.named.add(host)
                books.barred.pop(host, None)
            else:
                if state == "terminating":
                    books.named.add(host)
                books.barred.setdefault(host, t)
        if line["full"]:
            for host in books.named - seen:
                books.barred.setdefault(host, t)

    def _on_gateway(self, t: int, line: dict[str, Any]) -> None:
        books = self._gateways[line["g"]]
        what = line["what"]
        starts = {"down": "down", "stop": "stop", "hidden": "hidden"}
        ends = {"up": "down", "go": "stop", "seen": "hidden"}
        if what in starts:
            books.since.setdefault(what, t)
        elif what in ends and (begun := books.since.pop(ends[what], None)) is not None:
            books.away.append((begun, t))

    def _on_host(self, t: int, line: dict[str, Any]) -> None:
        if line["what"] == "topple":
            self._break("4 topples", f"{line['h']} fell over at {t / 1e9:.2f} s")

    def _on_fault(self, _t: int, line: dict[str, Any]) -> None:
        self.faults.append({key: value for key, value in line.items() if key != "e"})

    def _on_note(self, _t: int, line: dict[str, Any]) -> None:
        self.notes.append(line)

    # ---- Judgement ------------------------------------------------------------------------------------

    def _excused(self, request: _Request, until: int) -> bool:
        """Whether the gateway was dead, stopped or hidden while it held the request."""
        books = self._gateways[request.gateway]
        since = [(begun, 1 << 62) for begun in books.since.values()]
        return any(begun <= until + SLACK and request.t <= over + SLACK for begun, over in [*books.away, *since])

    def _judge(self, request: _Request) -> None:
        self._requests.pop(request.rid, None)
        self._judged[request.rid] = None
        if len(self._judged) > MOST_JUDGED:
            del self._judged[next(iter(self._judged))]
        cls = self._world["classes"][request.cls]
        served = [arrival for arrival in request.arrivals if arrival.how == "served"]
        if not request.how or request.how in ("none", "cut"):
            until = request.answered or request.t + request.ttl + OWED
            if self._excused(request, until):
                self._hows["excused"] += 1
            else:
                what = "cut off without an answer" if request.how == "cut" else "never answered"
                self._break("1 lost", f"request {request.rid} at {request.gateway} was {what}")
        elif request.how == "served":
            own = self._arrivals.get(request.by)
            if own is None or own not in request.arrivals or own not in served:
                self._break("1 lost", f"request {request.rid} was served by what no host made for it")
        if len(request.arrivals) > self._world["rules"]["max_attempts"]:
            self._break("2 repeats", f"request {request.rid} was tried {len(request.arrivals)} times")
        self._repeats(request, cls)
        for arrival in request.arrivals:
            self._arrivals.pop(arrival.token, None)
        self._close(request, cls)

    def _repeats(self, request: _Request, cls: dict[str, Any]) -> None:
        ran: list[_Arrival] = []
        for arrival in sorted(request.arrivals, key=lambda item: item.sent):   # held ones come out of turn
            for earlier in ran:
                if earlier.end is None or earlier.end > arrival.sent + SLACK:
                    self._break("2 repeats", f"request {request.rid} was out at {earlier.host} and at "
                                f"{arrival.host} at once")
                if cls["effect"] == "unsafe":
                    self._break("2 repeats", f"request {request.rid} is unsafe and was sent again")
                elif cls["effect"] == "keyed":
                    self._keyed(request, cls, earlier, arrival)
            if arrival.how != "full":
                ran.append(arrival)
        whole = cls["effect"] == "safe" or (cls["effect"] == "keyed" and cls["group"] == "all")
        if request.how == "refused" and ran and not whole:
            self._break("2 repeats", f"request {request.rid} was refused though it may have run")

    def _keyed(self, request: _Request, cls: dict[str, Any], earlier: _Arrival, arrival: _Arrival) -> None:
        one, other = self._zones[earlier.host], self._zones[arrival.host]
        same = {"all": True, "zone": one[0] == other[0], "cell": one == other}[cls["group"]]
        if not same:
            self._break("2 repeats", f"request {request.rid} left its {cls['group']}: it went to "
                        f"{earlier.host} and {arrival.host}")
        if arrival.sent > earlier.sent + cls["window"] + SLACK:
            self._break("2 repeats", f"request {request.rid} was sent again after its window")

    def _second(self, t: int) -> Counter[str]:
        return self.seconds.setdefault(t // 1_000_000_000, Counter())

    def _close(self, request: _Request, cls: dict[str, Any]) -> None:
        """Into the figures; a first try when it is judged, later tries are in its books by then."""
        self._hows[request.how or "none"] += 1
        if request.rid != request.origin:
            return
        t, _, done = self._origins.pop(request.rid)
        spent = None if done is None else done - t
        in_time = spent is not None and spent <= cls["aim"] + WAY // 10
        second = self._second(t)
        second["in_time"] += in_time
        second["served"] += spent is not None
        second[request.how] += request.how not in ("served", "none")
        if t < self._world["warmup"]:
            return
        for (begin, end), counts in self.window_counts.items():
            if begin * 1e9 <= t < end * 1e9:
                counts[0] += 1
                counts[1] += in_time
        books = self._classes.setdefault(request.cls, [0, 0, 0, 0.0])
        books[0] += 1
        books[1] += spent is not None
        books[2] += in_time
        books[3] += cls["worth"] * (1.0 if in_time else cls["late_worth"] if spent is not None else 0.0)
        if spent is not None:
            self._latency.record_value(max(1, spent // 1000))

    def result(self, hold: dict[str, Any]) -> dict[str, Any]:
        """Figures and what was broken; `hold` is the experiment's table of that name, as plain values."""
        while self._order:
            self._judge(self._order.popleft())
        if not self._world:
            return {"verdict": "broken", "broken": ["history: is empty"], "figures": {}, "faults": [], "notes": []}
        figures = self._figures()
        broken = list(self.told)
        for rule, count in self.broken.items():
            if count > MOST_TOLD:
                broken.append(f"{rule}: and {count - MOST_TOLD} more")
        for name in ("served", "in_time"):
            if figures[name] < hold.get(name, 0.0):
                broken.append(f"hold: {name} {figures[name]:.4f} is below {hold[name]}")
        for window in hold.get("windows", []):
            asked, good = self.window_counts[window["from_s"], window["to_s"]]
            share = good / asked if asked else 0.0
            figures[f"in_time_{window['from_s']:g}_{window['to_s']:g}"] = round(share, 4)
            if share < window["in_time"]:
                broken.append(f"hold: in_time {share:.4f} from {window['from_s']:g} to {window['to_s']:g} s is below "
                              f"{window['in_time']}")
        if not figures["asked"]:
            broken.append("hold: no request was asked after the warm-up: nothing is shown")
        for note in self.notes:
            if note["what"] in SPOILS:
                broken.append(f"{note['what']}: {SPOILS[note['what']]}, this run does not count")
        return {"verdict": "broken" if broken else "held", "broken": broken, "figures": figures,
                "faults": self.faults, "notes": [{"what": note["what"], **note.get("figures", {})}
                                                 for note in self.notes]}

    def _figures(self) -> dict[str, Any]:
        asked = sum(books[0] for books in self._classes.values())
        worth = sum(books[0] * self._world["classes"][cls]["worth"] for cls, books in self._classes.items())
        total = max(1, asked)
        figures: dict[str, Any] = {
            "asked": asked,
            "served": round(sum(books[1] for books in self._classes.values()) / total, 5),
            "in_time": round(sum(books[2] for books in self._classes.values()) / total, 5),
            "worth": round(sum(books[3] for books in self._classes.values()) / worth, 5) if worth else 0.0,
            "tries": sum(self._hows.values()), "attempts": self._attempts,
            "held_past_judgement": self._figure_late, "crossings": self._crossings}
        for how in ("refused", "failed", "cut", "none", "unreachable", "left", "excused"):
            figures[how] = self._hows[how]
        for rule, count in sorted(self.broken.items()):
            figures["broken " + rule] = count
        for cls, books in sorted(self._classes.items()):
            figures["in_time " + self._world["classes"][cls]["name"]] = round(books[2] / books[0], 5)
        for percent in (50, 90, 99, 99.9):
            figures[f"p{percent:g}_ms"] = round(self._latency.get_value_at_percentile(percent) / 1000, 2)
        return figures


def judge(path: Path, hold: dict[str, Any]) -> tuple[dict[str, Any], dict[int, Counter[str]]]:
    """The verdict on a history file, and its figures second by second."""
    decode = msgspec.json.Decoder().decode
    with open(path, "rb") as file:
        return judged((decode(line) for line in file), hold)


def judged(lines: Iterable[dict[str, Any]],
           hold: dict[str, Any]) -> tuple[dict[str, Any], dict[int, Counter[str]]]:
    """The same of lines that are read already."""
    book = Judge()
    book.window_counts = {(window["from_s"], window["to_s"]): [0, 0] for window in hold.get("windows", [])}
    for line in lines:
        book.feed(line)
    return book.result(hold), book.seconds
