"""Proxy in which each session of a caller is one connection."""
