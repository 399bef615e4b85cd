"""Duties that one process holds at a time: leases with fencing tokens on the store."""
