"""Membership and shared values by gossip, without a quorum; each value comes with an upper bound of its age."""
