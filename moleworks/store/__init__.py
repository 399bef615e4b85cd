"""Records with revisions, replicated over some members and durable.  Consensus as published by Ongaro (Raft)."""
