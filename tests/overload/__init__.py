"""Real gateway processes under clients that flood them, stall or hold their memory: `python -m tests.overload`."""
