"""Stand-in for the links between availability zones."""
