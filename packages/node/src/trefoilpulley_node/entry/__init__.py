"""Role that accepts callers and runs the request pipeline."""
