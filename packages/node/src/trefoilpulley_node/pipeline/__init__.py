"""Request pipeline: filters and steps for the requests of callers."""
