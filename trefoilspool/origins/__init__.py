"""Where streams began, and what follows from what hosts know of it."""
