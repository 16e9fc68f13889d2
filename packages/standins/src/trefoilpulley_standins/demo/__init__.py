"""Demonstration: a deployment under load and faults, judged from outside."""
