"""How many requests endpoints say that they take, or turn away."""
