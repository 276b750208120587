"""Where the parts of HTTP responses begin and end."""
