"""Explains decisions to operators: of a request, of a choice, of a load."""
