"""The gateway process: sockets, timers and tables around the decisions of `bridgesaddle`."""
