"""Entry host process: its roles, transports and composition."""
