"""Experiments on deployments of stand-ins on one machine."""
