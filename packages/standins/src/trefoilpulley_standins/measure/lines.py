"""Definitions of the lines that are fitted to experiment results."""

from __future__ import annotations

from dataclasses import dataclass

SWEPT_VALUE = ''
"""Value of `FittedLine.x` that selects the swept parameter."""

_PERCENT = 100.0


@dataclass(frozen=True, slots=True)
class FittedLine:
    """Definition of a line that is fitted to experiment results."""

    key: str
    """Key of the resulting slope."""

    subject: str
    """Description of the measured figure."""

    against: str
    """Description of the size that varies."""

    unit: str
    """Unit of the figure."""

    experiments: tuple[str, ...]
    """Names of the experiments whose points are fitted."""

    y: str
    """Name of the figure on the y axis."""

    x: str = SWEPT_VALUE
    """Name of the figure on the x axis, or `SWEPT_VALUE`."""

    factor: float = 1.0
    """Factor by which the y figure is multiplied."""


LINES = (
    FittedLine(
        'control-cpu',
        'processor time of a host without statements',
        'members that it pools',
        '% of a core',
        ('databases', 'hosts'),
        'cpu share mean',
        'members pooled mean',
        _PERCENT,
    ),
    FittedLine(
        'control-cpu-hosts',
        'processor time of a host without statements, 4 databases',
        'hosts in the zone',
        '% of a core',
        ('hosts',),
        'cpu share mean',
        factor=_PERCENT,
    ),
    FittedLine(
        'control-cpu-zones',
        'processor time of a host without statements, 5 databases',
        'zones of two hosts',
        '% of a core',
        ('zones',),
        'cpu share mean',
        factor=_PERCENT,
    ),
    FittedLine(
        'control-messages',
        'control messages of a host, both ways',
        'members that it pools',
        'messages/s',
        ('databases',),
        'control messages/s mean',
        'members pooled mean',
    ),
    FittedLine(
        'control-bytes',
        'control bytes of a host, both ways',
        'members that it pools',
        'B/s',
        ('databases',),
        'control bytes/s mean',
        'members pooled mean',
    ),
    FittedLine(
        'host-membership-bytes-hosts',
        'bytes of membership at a host process, both ways',
        'hosts in the zone',
        'B/s',
        ('hosts',),
        'membership bytes/s mean',
    ),
    FittedLine(
        'host-membership-bytes-zones',
        'bytes of membership at a host process, both ways',
        'zones of two hosts',
        'B/s',
        ('zones',),
        'membership bytes/s mean',
    ),
    FittedLine(
        'control-memory',
        'resident memory of a host without callers',
        'members that it pools',
        'KiB',
        ('databases',),
        'rss KB mean',
        'members pooled mean',
    ),
    FittedLine(
        'member-frame',
        'control bytes between a pooler and its members',
        'frames a second',
        'B/s',
        ('databases', 'hosts'),
        'members bytes/s mean',
        'members messages/s mean',
    ),
    FittedLine(
        'coordination-frame',
        'bytes of probes by coordinators',
        'frames a second',
        'B/s',
        ('databases', 'hosts', 'zones'),
        'coordination bytes/s mean',
        'coordination messages/s mean',
    ),
    FittedLine(
        'digest-frame',
        'bytes of digests between hosts',
        'frames a second',
        'B/s',
        ('databases', 'databases-in-use'),
        'digests bytes/s mean',
        'digests messages/s mean',
    ),
    FittedLine(
        'digests-in-use',
        'frames of digests of a host, both ways, at 32 statements/s',
        'databases that its callers use',
        'messages/s',
        ('databases-in-use',),
        'digests messages/s mean',
    ),
    FittedLine(
        'age-probes',
        'frames of digests of a host without callers, both ways',
        'members that it pools',
        'messages/s',
        ('databases',),
        'digests messages/s mean',
        'members pooled mean',
    ),
    FittedLine(
        'age-probe-bytes',
        'bytes of digests of a host without callers, both ways',
        'members that it pools',
        'B/s',
        ('databases',),
        'digests bytes/s mean',
        'members pooled mean',
    ),
    FittedLine(
        'caller-memory',
        'resident memory of a host',
        'idle connections of callers',
        'KiB',
        ('callers',),
        'rss KB mean',
        'callers',
    ),
    FittedLine(
        'caller-cpu',
        'processor time of a host',
        'idle connections of callers',
        '% of a core',
        ('callers',),
        'cpu share mean',
        'callers',
        _PERCENT,
    ),
    FittedLine(
        'statement-cpu',
        'processor time of a host at a light load',
        'statements/s',
        '% of a core',
        ('statements',),
        'cpu share mean',
        'statements/s',
        _PERCENT,
    ),
    FittedLine(
        'change-bytes',
        'bytes of documents at a host, both ways',
        'changes of configuration a minute',
        'B/s',
        ('changes',),
        'documents bytes/s mean',
    ),
    FittedLine(
        'change-cpu',
        'processor time of a host',
        'changes of configuration a minute',
        '% of a core',
        ('changes',),
        'cpu share mean',
        factor=_PERCENT,
    ),
    FittedLine(
        'change-calls',
        'reads of the service by one zone',
        'changes of configuration a minute',
        'calls/s',
        ('changes',),
        'service reads/s',
    ),
    FittedLine(
        'shard-reads',
        'reads of the service by one zone',
        'shards',
        'calls/s',
        ('databases',),
        'service reads/s',
        'shards acting sum',
    ),
    FittedLine(
        'host-reads',
        'calls to the service by one zone',
        'hosts in the zone',
        'calls/s',
        ('hosts',),
        'service calls/s',
    ),
    FittedLine(
        'zone-reads',
        'calls to the service',
        'zones of two hosts',
        'calls/s',
        ('zones',),
        'service calls/s',
    ),
    FittedLine(
        'start-calls',
        'calls to the service through the start of a zone',
        'hosts in the zone',
        'calls',
        ('hosts',),
        'service calls at the start',
    ),
    FittedLine(
        'moved-members',
        'members whose pooling moves when a host of the zone dies',
        'members of the zone for each host',
        'members',
        ('lost-host',),
        'members moved',
        'members a host before',
    ),
    FittedLine(
        'zone-moved-members',
        'members of 18 whose pooling moves when a zone is cut off',
        'zones of two hosts',
        'members',
        ('lost-zone',),
        'members moved',
    ),
)
"""Lines that the capacity page uses."""
