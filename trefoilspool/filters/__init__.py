"""The request filters, one per module."""
