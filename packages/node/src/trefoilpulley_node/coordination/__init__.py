"""Coordinator role: carries out promotions and handovers."""
