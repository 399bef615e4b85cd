"""Forced orders: sequences of faults of discovery, played on the real `Discovery` in virtual time and judged by a world
that knows what discovery had and when it could be reached."""
