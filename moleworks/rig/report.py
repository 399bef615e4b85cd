"""Reports of runs: one HTML file with plots, and the same figures as CSV and JSON."""

from __future__ import annotations

import base64
import csv
import html
import io
import json
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import matplotlib
from matplotlib import pyplot

matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "moleworks"   # the same run gives the same bytes

COLUMNS = ("asked", "served", "in_time", "refused", "failed", "cut", "unreachable")
STYLE = """body{font:15px/1.5 system-ui,sans-serif;max-width:60rem;margin:2rem auto;padding:0 1rem;color:#222}
table{border-collapse:collapse;margin:1rem 0}td,th{padding:.2rem .8rem;border-bottom:1px solid #ddd;text-align:left}
td+td{font-variant-numeric:tabular-nums}.held{color:#177245}.broken{color:#b3261e}code{background:#f4f4f4;padding:.1rem
.3rem}img{max-width:100%}"""


def write_csv(path: Path, rows: Iterable[dict[str, Any]], columns: Iterable[str]) -> None:
    """Write rows as CSV."""
    with open(path, "w", newline="") as file:
        writer = csv.DictWriter(file, list(columns), extrasaction="ignore", lineterminator="\n")
        writer.writeheader()
        writer.writerows(rows)


def inline_image(figure: Any) -> str:
    """Return a figure as an inline image."""
    buffer = io.BytesIO()
    figure.savefig(buffer, format="svg", metadata={"Date": None})
    pyplot.close(figure)
    return f'<img alt="" src="data:image/svg+xml;base64,{base64.b64encode(buffer.getvalue()).decode()}">'


def table(rows: Iterable[tuple[Any, ...]], head: tuple[str, ...] = ()) -> str:
    """Return an HTML table."""
    text = "".join("<tr>" + "".join(f"<td>{html.escape(str(cell))}</td>" for cell in row) + "</tr>" for row in rows)
    top = "<tr>" + "".join(f"<th>{html.escape(cell)}</th>" for cell in head) + "</tr>" if head else ""
    return f"<table>{top}{text}</table>"


def page(title: str, *parts: str) -> str:
    """Return one self-contained HTML file."""
    return (f"<!doctype html><html lang=en><meta charset=utf-8><title>{html.escape(title)}</title>"
            f"<style>{STYLE}</style><h1>{html.escape(title)}</h1>{''.join(parts)}</html>\n")


def _spans(faults: list[dict[str, Any]], end: float) -> list[tuple[float, float, str]]:
    """Return the start and end in s, and the label, of each fault."""
    ongoing: dict[int, dict[str, Any]] = {}
    spans = []
    for fault in faults:
        if fault["what"] == "begin":
            ongoing[fault["i"]] = fault
        elif (started := ongoing.pop(fault["i"], None)) is not None:
            spans.append((started["t"] / 1e9, fault["t"] / 1e9, f"{fault['kind']} {fault['on']}"))
    return spans + [(fault["t"] / 1e9, end, f"{fault['kind']} {fault['on']}") for fault in ongoing.values()]


def table_report(out: Path, title: str, rows: list[dict[str, Any]]) -> None:
    """Write `report.html`, `table.csv` and `table.json` of many runs, with figures against the varied parameters."""
    columns = list(dict.fromkeys(name for row in rows for name in row))
    write_csv(out / "table.csv", rows, columns)
    (out / "table.json").write_text(json.dumps(rows, indent=1) + "\n")
    plots = []
    numbers = [name for name in columns if rows and all(isinstance(row.get(name), int | float) for row in rows)]
    varied = [name for name in columns[:columns.index("seed")] if name in numbers
              and len({row[name] for row in rows}) > 1] if "seed" in columns else []
    for name in varied:
        figure, axes = pyplot.subplots(figsize=(9, 3.2))
        for what in ("in_time", "served"):
            axes.plot([row[name] for row in rows], [row[what] for row in rows], ".", label=what, alpha=0.6)
        axes.set_xlabel(name)
        axes.legend()
        plots.append(inline_image(figure))
    if not varied and "in_time" in numbers:
        figure, axes = pyplot.subplots(figsize=(9, 3.2))
        if "difference" in columns:
            axes.bar([str(row["version"]) for row in rows], [row["in_time"] for row in rows],
                     yerr=[row.get("half_width", 0.0) for row in rows])
        else:
            axes.hist([row["in_time"] for row in rows], bins=30)
            axes.set_xlabel("in_time")
        plots.append(inline_image(figure))
    body = table([tuple(row.get(name, "") for name in columns) for row in rows[:2000]], tuple(columns))
    (out / "report.html").write_text(page(title, f"<p>{len(rows)} rows; all of them in <code>table.csv</code></p>",
                                          *plots, body))


def run_report(out: Path, title: str, replay: str, result: dict[str, Any],
               seconds: dict[int, Counter[str]]) -> None:
    """Write `report.html` and `seconds.csv` of one run."""
    rows = [{"second": second, **seconds[second]} for second in sorted(seconds)]
    for row in rows:
        for column in COLUMNS:
            row.setdefault(column, 0)
    write_csv(out / "seconds.csv", rows, ("second", *COLUMNS))
    figure, (upper, lower) = pyplot.subplots(2, 1, figsize=(9, 5), sharex=True)
    times = [row["second"] for row in rows]
    upper.step(times, [row["in_time"] / max(1, row["asked"]) for row in rows], where="post", label="in time")
    upper.step(times, [row["served"] / max(1, row["asked"]) for row in rows], where="post", label="served", alpha=0.6)
    upper.set_ylim(0, 1.05)
    upper.set_ylabel("share of first tries")
    for name in ("asked", "refused", "failed", "unreachable"):
        lower.step(times, [row[name] for row in rows], where="post", label=name)
    lower.set_ylabel("a second")
    lower.set_xlabel("s")
    for begin, end, label in _spans(result["faults"], times[-1] + 1 if times else 0)[:40]:
        for axes in (upper, lower):
            axes.axvspan(begin, end, alpha=0.12, color="tab:red")
        upper.annotate(label, (begin, 0.02), fontsize=7, rotation=90, va="bottom")
    for axes in (upper, lower):
        axes.legend(loc="lower right", fontsize=8)
    figure.tight_layout()
    verdict = result["verdict"]
    broken = "".join(f"<li>{html.escape(text)}</li>" for text in result["broken"])
    (out / "report.html").write_text(page(
        title, f"<p>Verdict: <b class={verdict}>{verdict}</b>. Played again by <code>{html.escape(replay)}</code></p>",
        f"<ul>{broken}</ul>" if broken else "", inline_image(figure),
        table(result["figures"].items(), ("figure", "")),
        table([(f"{fault['t'] / 1e9:.3f}", fault["what"], fault["kind"], fault["on"], fault["to"])
               for fault in result["faults"]], ("s", "", "fault", "on", "to")),
        table([(note["what"], {key: value for key, value in note.items() if key != "what"})
               for note in result["notes"]], ("the rig says", "")) if result["notes"] else ""))


def store_report(out: Path, result: dict[str, Any]) -> None:
    """Write `report.html` of a run on the store: who held the duty when, and how long writes took."""
    with open(out / "history.jsonl", "rb") as file:
        lines = [json.loads(line) for line in file]
    figure, (upper, lower) = pyplot.subplots(2, 1, figsize=(9, 5), sharex=True)
    for line in lines:
        if line["e"] == "act" and not line["late"]:
            upper.plot([line["t"] / 1e9, max(line["t"], line["end"]) / 1e9], [line["who"]] * 2, color="tab:blue")
    writes = [line for line in lines if line["e"] == "op" and line["kind"] != "get"]
    lower.plot([line["t"] / 1e9 for line in writes if line["end"] >= 0],
               [(line["end"] - line["t"]) / 1e6 for line in writes if line["end"] >= 0], ".", label="answered")
    lower.plot([line["t"] / 1e9 for line in writes if line["end"] < 0],
               [1.0 for line in writes if line["end"] < 0], "x", label="no answer")
    lower.set_yscale("log")
    lower.set_ylabel("write, ms")
    lower.set_xlabel("s")
    lower.legend(loc="lower right", fontsize=8)
    for begin, end, label in _spans(result["faults"], max((line["t"] for line in lines), default=0) / 1e9)[:40]:
        for axes in (upper, lower):
            axes.axvspan(begin, max(end, begin + 0.02), alpha=0.12, color="tab:red")
        lower.annotate(label, (begin, 1.0), fontsize=7, rotation=90, va="bottom")
    figure.tight_layout()
    verdict = result["verdict"]
    (out / "report.html").write_text(page(
        result["title"], f"<p>Verdict: <b class={verdict}>{verdict}</b>. Played again by "
        f"<code>{html.escape(result['replay'])}</code></p>",
        "".join(f"<li>{html.escape(text)}</li>" for text in result["broken"]), inline_image(figure),
        table(result["figures"].items(), ("figure", "")),
        table([(f"{fault['t'] / 1e9:.3f}", fault["what"], fault["kind"], fault["on"]) for fault in result["faults"]],
              ("s", "", "fault", "on"))))
