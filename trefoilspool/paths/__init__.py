"""Ways from a host to an endpoint: its own path, or one of another host."""
