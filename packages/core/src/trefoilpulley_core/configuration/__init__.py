"""Storage, change and dissemination of the operators' declarations."""
