"""The work under a duty: a line every 50 ms, until it is told to finish; SIGTERM does not end it at once.

Arguments: the file, the worker's name.
"""

import os
import signal
import sys
import time
from pathlib import Path

acts, name = Path(sys.argv[1]), sys.argv[2]
token = os.environ["MOLEWORKS_TOKEN"]
signal.signal(signal.SIGTERM, lambda *_: None)   # it finishes what it has begun, which takes it a while
until = time.monotonic() + 40
while time.monotonic() < until and not acts.with_suffix(f".finish-{name}").exists():
    with open(acts, "a", encoding="utf-8") as file:
        file.write(f"{time.monotonic():.3f} {name} {token} {os.getpid()}\n")
    time.sleep(0.05)
