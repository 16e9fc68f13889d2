"""Spread and change of the operators' declarations."""
