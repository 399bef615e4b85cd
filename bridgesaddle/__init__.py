"""bridgesaddle: the decisions of an HTTP load balancer, without any I/O."""

from .decide import Balancer

__all__ = ["Balancer"]
