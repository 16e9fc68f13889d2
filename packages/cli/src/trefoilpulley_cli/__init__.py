"""Command line interface of trefoilpulley."""
