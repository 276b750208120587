"""Roll-outs: a service's traffic moves to a new version of its software."""
