"""Fault injection on real gateway processes: the faults are drawn from a seed, and behaviour is judged from outside.

Hosts, discovery and clients run in the test's process, gateways as child processes started as in production, some with
the shim of `shim.c` preloaded.  `journal.py` records and judges the observations; it shares no code with the gateway.
"""
