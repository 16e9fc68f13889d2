"""Membership of the hosts: failure detection and dissemination."""
