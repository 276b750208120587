"""Adapters to the platform, one per module."""
