"""Frames between hosts, in thrift."""
