"""Slopes of the project's cost, and the page that rests on them."""
