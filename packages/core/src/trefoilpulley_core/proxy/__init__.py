"""Decisions for sessions that are a connection."""
