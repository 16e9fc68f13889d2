"""Decisions for sessions that map one to one to a caller's connection."""
