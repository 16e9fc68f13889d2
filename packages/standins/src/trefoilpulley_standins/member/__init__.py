"""Stand-in for one member of a database group."""
