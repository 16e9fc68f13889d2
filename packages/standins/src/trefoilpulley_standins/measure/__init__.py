"""Measurements of resource costs and the capacity page built on them."""
