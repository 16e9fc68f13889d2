"""Experiments that measure deployments of stand-ins on one machine."""
