"""Keys of the platform's service that the system reads and writes."""

from __future__ import annotations

CONFIGURATION_KEY = '/trefoilpulley/configuration'
"""Declarations in force, as JSON of a `Configuration`."""

CATALOG_PREFIX = '/platform/'
"""Prefix of the lists that the platform writes."""

CATALOG_DATABASES_KEY = '/platform/databases'
"""Database groups; the platform writes, the system reads."""

CATALOG_HOSTS_KEY = '/platform/hosts'
"""Lagging list of hosts; the platform writes, the system reads."""

SHARD_PREFIX = '/trefoilpulley/shard/'
"""Prefix of the keys that hold the records of shards."""


PROXY_PREFIX = '/trefoilpulley/proxy/'
"""Prefix of the keys of hosts that order promotions."""

HOST_PREFIX = f'{PROXY_PREFIX}host/'
"""Prefix of the entries of the hosts, each bound to its lease."""

CLAIM_PREFIX = f'{PROXY_PREFIX}claim/'
"""Prefix of the claims to change a group's primary."""


def duty_key(shard: int) -> str:
    """Return the key that the coordinator of a shard holds by lease."""
    return f'/trefoilpulley/duty/{shard:04d}'


def shard_key(shard: int) -> str:
    """Return the key that holds the records of a shard's databases."""
    return f'{SHARD_PREFIX}{shard:04d}'
