"""Measurements of failover, failback, reads and configuration changes."""
