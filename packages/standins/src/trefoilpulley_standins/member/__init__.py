"""Simulated member of a database group."""
