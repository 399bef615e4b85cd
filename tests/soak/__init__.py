"""Fault injection on real gateway processes: drawn from a seed, judged from outside.

Hosts, discovery and clients run in the test's process, gateways as children started as in service, some with the shim
of `shim.c` preloaded.  `journal.py` keeps what was seen and judges it; it shares no code with the gateway.
"""
