"""Test bench with real processes: gateways started as in production, with links, hosts and clients on loopback."""
