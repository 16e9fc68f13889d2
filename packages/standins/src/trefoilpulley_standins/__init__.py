"""Stand-ins for outside systems, and measuring tools."""
