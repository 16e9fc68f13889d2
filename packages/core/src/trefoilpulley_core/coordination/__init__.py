"""Coordination of databases: duty, failure detection, primary changes."""
