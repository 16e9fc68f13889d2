"""Entry host process: roles, transports and wiring."""
