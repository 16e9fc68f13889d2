"""Runs sessions that are a connection."""
