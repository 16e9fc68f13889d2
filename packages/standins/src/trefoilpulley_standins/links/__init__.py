"""Simulated network links between availability zones."""
