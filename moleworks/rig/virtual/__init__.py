"""Simulation in virtual time: host models, the decision module and the store and gossip cores, without sockets."""
