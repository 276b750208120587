"""How requests wait for slots, and in which order they get them; pure."""
