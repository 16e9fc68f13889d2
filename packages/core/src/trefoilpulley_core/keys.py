"""Keys of the platform's service that trefoilpulley reads and writes."""

from __future__ import annotations

CONFIGURATION_KEY = '/trefoilpulley/configuration'
"""Key of the declarations in force, a `Configuration` as JSON."""

CATALOG_PREFIX = '/platform/'
"""Prefix of the keys that only the platform writes."""

CATALOG_DATABASES_KEY = '/platform/databases'
"""Key of the platform's list of database groups."""

CATALOG_HOSTS_KEY = '/platform/hosts'
"""Key of the platform's list of hosts, which may be outdated."""

SHARD_PREFIX = '/trefoilpulley/shard/'
"""Prefix of the keys that hold the records of shards."""


PROXY_PREFIX = '/trefoilpulley/proxy/'
"""Prefix of the keys of hosts that can order promotions."""

HOST_PREFIX = f'{PROXY_PREFIX}host/'
"""Prefix of the hosts' entries, each bound to the lease of its host."""

CLAIM_PREFIX = f'{PROXY_PREFIX}claim/'
"""Prefix of the hosts' claims to change a group's primary."""

ROSTER_PREFIX = f'{PROXY_PREFIX}roster/'
"""Prefix of the members whose logs may hold a group's acknowledged commits."""


def duty_key(shard: int) -> str:
    """Return the key that a shard's coordinator holds with its lease."""
    return f'/trefoilpulley/duty/{shard:04d}'


def shard_key(shard: int) -> str:
    """Return the key that holds the records of a shard's databases."""
    return f'{SHARD_PREFIX}{shard:04d}'
