"""Target size of a deployment and the share of one host."""

from __future__ import annotations

from trefoilpulley_core.coordination.probe_schedule import probe_interval_s
from trefoilpulley_core.coordination.shard import SHARDS_PER_ZONE
from trefoilpulley_node.entry.database_views import REFRESHES_PER_S
from trefoilpulley_node.pooler.age_prober import MAX_PROBE_INTERVAL_S
from trefoilpulley_standins.member.server import MAX_REPORT_INTERVAL_S

HOSTS = 1600
"""Number of entry hosts."""

DATABASES = 2500
"""Number of databases."""

MEMBERS = 7500
"""Number of members of all databases."""

ZONES = 26
"""Number of availability zones."""

ZONES_PER_REGION = ZONES / 7
"""Average number of availability zones in a region."""

CALLERS = 4_600_000
"""Number of callers' connections."""

STATEMENTS_PER_S = 710_000
"""Statements per second of all callers."""

CONFIGURATION_CHANGES_PER_DAY = 870
"""Configuration changes per day."""

REPLACED_HOSTS_PER_DAY = 280
"""Hosts that are restarted or replaced per day."""

FAILED_HOSTS_PER_DAY = 7
"""Hosts that fail per day."""

DAY_S = 86_400
"""Length of a day, in seconds."""

HOSTS_PER_ZONE = HOSTS / ZONES
"""Average number of hosts in a zone."""

MEMBERS_PER_HOST = MEMBERS / HOSTS
"""Average number of members that a host pools."""

CALLERS_PER_HOST = CALLERS / HOSTS
"""Average number of callers' connections to a host."""

STATEMENTS_PER_S_PER_HOST = STATEMENTS_PER_S / HOSTS
"""Average statements per second that callers send to a host."""

SHARDS = SHARDS_PER_ZONE * ZONES
"""Number of shards of all databases."""

DATABASES_PER_SHARD = DATABASES / SHARDS
"""Average number of databases in a shard."""

PROBE_INTERVAL_S = probe_interval_s(round(MEMBERS / SHARDS))
"""Time between a coordinator's probes of one member, in seconds."""

PROBE_FRAMES_PER_S = 2 * MEMBERS / SHARDS / PROBE_INTERVAL_S
"""Probe frames per second of a host that coordinates one shard."""

ANSWERED_PROBE_FRAMES_PER_S = 2 * MEMBERS_PER_HOST / PROBE_INTERVAL_S
"""Probe frames per second that a host answers for pooled members."""

REPLICA_SHARE = 2 / 3
"""Fraction of the members that are replicas."""

MEMBER_FRAMES_PER_S = MEMBERS_PER_HOST * (
    1 / MAX_REPORT_INTERVAL_S
    + 2 / PROBE_INTERVAL_S
    + 2 * REPLICA_SHARE / MAX_PROBE_INTERVAL_S
)
"""Control frames per second between an idle pooler and its members."""

DIGEST_FRAMES_PER_S = 2 * 2 * REFRESHES_PER_S
"""Greatest number of digest frames per second of a host.

A host requests and serves digests; each takes two frames.
"""

HOST_CHANGES_PER_DAY = 2 * (REPLACED_HOSTS_PER_DAY + FAILED_HOSTS_PER_DAY)
"""Changes of the live hosts per day: a leave and a join for each host."""
