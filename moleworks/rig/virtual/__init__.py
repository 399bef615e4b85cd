"""Virtual time: the models, the decision module and later cores on a heap of events, without sockets."""
