"""The size that is aimed at, and what one host has of it."""

from __future__ import annotations

from trefoilpulley_core.coordination.polling import probe_interval_s
from trefoilpulley_core.coordination.shard import SHARDS_PER_ZONE
from trefoilpulley_node.entry.views import REFRESHES_PER_S
from trefoilpulley_node.pooler.age_prober import MAX_PROBE_INTERVAL_S
from trefoilpulley_standins.member.server import MAX_REPORT_INTERVAL_S

HOSTS = 1600
"""Entry hosts."""

DATABASES = 2500
"""Databases."""

MEMBERS = 7500
"""Members of the databases."""

ZONES = 26
"""Availability zones."""

ZONES_A_REGION = ZONES / 7
"""Availability zones of a region, on average."""

CALLERS = 4_600_000
"""Connections of callers."""

STATEMENTS_PER_S = 710_000
"""Statements a second."""

CHANGES_A_DAY = 870
"""Changes of configuration a day."""

REPLACED_A_DAY = 280
"""Hosts that are restarted or replaced a day."""

FAILED_A_DAY = 7
"""Hosts that fail a day."""

DAY_S = 86_400
"""Seconds of a day."""

HOSTS_IN_ZONE = HOSTS / ZONES
"""Hosts of one zone."""

MEMBERS_A_HOST = MEMBERS / HOSTS
"""Members that a host pools."""

CALLERS_A_HOST = CALLERS / HOSTS
"""Connections of callers at a host."""

STATEMENTS_A_HOST = STATEMENTS_PER_S / HOSTS
"""Statements a second that enter at a host."""

SHARDS = SHARDS_PER_ZONE * ZONES
"""Shards of all databases."""

DATABASES_A_SHARD = DATABASES / SHARDS
"""Databases of one shard."""

POLL_INTERVAL_S = probe_interval_s(round(MEMBERS / SHARDS))
"""Time between two probes of a member by its coordinator."""

PROBE_FRAMES_PER_S = 2 * MEMBERS / SHARDS / POLL_INTERVAL_S
"""Frames of probes of a host that coordinates one shard."""

SERVED_FRAMES_PER_S = 2 * MEMBERS_A_HOST / POLL_INTERVAL_S
"""Frames of probes of a host that pools its members."""

REPLICA_SHARE = 2 / 3
"""Share of the members that are replicas."""

MEMBER_FRAMES_PER_S = MEMBERS_A_HOST * (
    1 / MAX_REPORT_INTERVAL_S
    + 2 / POLL_INTERVAL_S
    + 2 * REPLICA_SHARE / MAX_PROBE_INTERVAL_S
)
"""Control frames between a pooler and its members without work."""

DIGEST_FRAMES_PER_S = 2 * 2 * REFRESHES_PER_S
"""Most frames of digests that a host asks for and serves."""

HOST_CHANGES_A_DAY = 2 * (REPLACED_A_DAY + FAILED_A_DAY)
"""Changes of the live hosts a day: each goes and comes."""
