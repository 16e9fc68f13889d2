"""Entry role: accepts callers and runs the request pipeline."""
