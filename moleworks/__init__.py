"""moleworks: the fleet round the gateway.  `gateway/` and `bridgesaddle/` import nothing of it."""
