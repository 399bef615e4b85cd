"""Services and tools around the gateway.  `gateway/` and `bridgesaddle/` do not import this package."""
