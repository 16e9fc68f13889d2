"""Demonstration that runs load and faults and checks the results."""
