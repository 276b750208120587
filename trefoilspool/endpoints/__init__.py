"""Adapters to endpoints, one a module."""
