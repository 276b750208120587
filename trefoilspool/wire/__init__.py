"""Thrift messages between hosts, and their conversion."""
