"""Duties, detection, promotion and handover of databases."""
