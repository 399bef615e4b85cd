"""Duties: named leases with fencing tokens on the store, each held by at most one process at a time."""
