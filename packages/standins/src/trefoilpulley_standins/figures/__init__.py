"""Figures of failover, return, reads and configuration, in whole runs."""
