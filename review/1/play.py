"""Two candidates for one duty; the holder is killed, and what it ran goes on while the other one acts."""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins

FOLDER = Path(__file__).resolve().parent
PROGRAM = [str(standins.ROOT / ".tools/bin/python"), "-B", "-m", "moleworks"]   # as bin/moleworks starts it
LEASE_MS = 1000
BOTH_S = 4.0      # how long the two are watched after the second one has begun to act
SLACK_S = 0.2     # an act this long after the first one of the new holder still counts as before it


def acts_of(path: Path) -> list[tuple[float, str, str, int]]:
    """The acts so far: time, name, token and process of each."""
    if not path.exists():
        return []
    rows = [line.split() for line in path.read_text(encoding="utf-8").splitlines()]
    return [(float(row[0]), row[1], row[2], int(row[3])) for row in rows if len(row) == 4]


def wait_for(what: str, ready: object, limit_s: float) -> None:
    """Wait until `ready()` is true."""
    until = time.monotonic() + limit_s
    while not ready():  # type: ignore[operator]
        if time.monotonic() > until:
            raise standins.NotRun(f"no {what} within {limit_s} s")
        time.sleep(0.05)


def play(record: standins.Record, folder: Path, started: list[subprocess.Popen[bytes]]) -> int:
    """Returns an exit code."""
    environ = {**os.environ, "PYTHONPATH": str(standins.ROOT)}
    log = open(FOLDER / "programs.log", "wb")  # noqa: SIM115

    def start(*words: str) -> subprocess.Popen[bytes]:
        process = subprocess.Popen([*PROGRAM, *words], cwd=standins.ROOT, env=environ, stdin=subprocess.DEVNULL,
                                   stdout=log, stderr=log)
        started.append(process)
        text = " ".join(words).replace(str(folder), "FOLDER").replace(f"{standins.ROOT}/", "")
        record(f"started, pid {process.pid}: moleworks {text}")
        return process

    ports = {name: standins.free_port() for name in "abc"}
    peers = ",".join(f"{name}=127.0.0.1:{port}" for name, port in ports.items())
    for name, port in ports.items():
        start("store", "serve", "--name", name, "--listen", f"127.0.0.1:{port}", "--folder", str(folder / name),
              "--peers", peers)
    environ["MOLEWORKS_STORE"] = ",".join(f"127.0.0.1:{port}" for port in ports.values())
    status = [*PROGRAM, "store", "put", "greeting", "hello"]
    wait_for("store", lambda: subprocess.run(status, cwd=standins.ROOT, env=environ, stdout=log, stderr=log,
                                             check=False).returncode == 0, 30)
    acts = folder / "acts"

    def candidate(name: str) -> subprocess.Popen[bytes]:
        work = f"{sys.executable} -B {FOLDER / 'worker.py'} {acts} {name}; echo ended"
        return start("duty", "run", "sweeping", "--ttl-ms", str(LEASE_MS), "--name", name, "--", "sh", "-c", work)

    holder = candidate("A")
    wait_for("acts of A", lambda: len(acts_of(acts)) > 5, 20)
    candidate("B")
    time.sleep(2.0)
    if any(name == "B" for _, name, _, _ in acts_of(acts)):
        record("B acts while A holds the duty")
        return standins.BROKEN
    if standins.TROUBLE:
        holder.send_signal(signal.SIGKILL)
        record("A, the process that holds the duty, is killed (SIGKILL)")
    else:
        acts.with_suffix(".finish-A").touch()
        record("A's command is told to finish")
    wait_for("acts of B", lambda: any(name == "B" for _, name, _, _ in acts_of(acts)), 30)
    time.sleep(BOTH_S)
    rows = acts_of(acts)
    first_b = min(at for at, name, _, _ in rows if name == "B")
    late = [row for row in rows if row[1] == "A" and row[0] > first_b + SLACK_S]
    for name in "AB":
        mine = [row for row in rows if row[1] == name]
        record(f"{name}: token {mine[0][2]}, {len(mine)} acts, the first {mine[0][0] - first_b:+.3f} s and the last "
               f"{mine[-1][0] - first_b:+.3f} s from B's first act")
    if late:
        record(f"both act at the same time: {len(late)} acts under A's token after B had begun")
    return standins.BROKEN if late else standins.HELD


def main() -> None:
    """Run it, and end all that it started."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(standins.NOT_RUN))   # so that all is ended below
    record = standins.Record(FOLDER)
    record(f"TROUBLE={int(standins.TROUBLE)}")
    started: list[subprocess.Popen[bytes]] = []
    with tempfile.TemporaryDirectory(prefix="review-") as name:
        folder = Path(name)
        try:
            code = play(record, folder, started)
        except (standins.NotRun, OSError) as error:
            record(f"the case could not run: {error!r}")
            code = standins.NOT_RUN
        finally:
            for worker in "AB":
                (folder / f"acts.finish-{worker}").touch()
            for process in started:
                process.kill()
                process.wait()
            for pid in {row[3] for row in acts_of(folder / "acts")}:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(pid, signal.SIGKILL)
            time.sleep(0.2)
    record(f"exit {code}: {('the rule held', 'the rule was broken', 'not run')[code]}")
    print(f"exit {code}")
    sys.exit(code)


main()
