"""Stand-ins for external systems, and measurement tools."""
