"""Simulated key-value service of the platform."""
