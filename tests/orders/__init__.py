"""Sequences of discovery faults, simulated on the real `Discovery` in virtual time and checked against a reference
model of what discovery had and when it could be reached."""
