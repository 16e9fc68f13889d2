"""Decisions of the proxy: no I/O, no clock, no sockets."""
