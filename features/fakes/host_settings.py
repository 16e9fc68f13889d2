"""Settings file of a host on the platform."""

from __future__ import annotations

SETTINGS = (
    'node_name=h',
    'region=r',
    'zone=a',
    'ip=127.0.0.1',
    'port_range=1,2',
    'listen_addrs.front=127.0.0.1:3',
    'listen_addrs.ready=127.0.0.1:4',
    'platform.address=127.0.0.1:5',
    'cloud_api.address=127.0.0.1:6',
    'bounds.grace_s=6',
)
"""Lines of the fields that a host needs."""
