"""Adapters to endpoints, one per module."""
