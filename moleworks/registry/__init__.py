"""The list service: a versioned list of hosts, its HTTP interface, its clients and the prober."""
