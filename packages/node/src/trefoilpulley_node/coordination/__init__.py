"""Coordinator role: runs the decisions on promotions and handovers."""
