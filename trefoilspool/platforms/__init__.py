"""Adapters to the platform, one a module."""
