"""Filters that a caller's request passes through, one a module."""
