"""Live and leaving hosts, as the hosts themselves find out."""
