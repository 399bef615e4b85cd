"""Real processes: gateways as they are started in service, with links, hosts and clients on loopback."""
