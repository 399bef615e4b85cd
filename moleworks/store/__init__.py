"""A replicated, durable store of records with revisions.  Its consensus algorithm is Raft, as published by Ongaro."""
