"""Deployments and classes of work that the policies are simulated with."""

from __future__ import annotations

from dataclasses import dataclass

from trefoilpulley_core.declarations import Freshness
from trefoilpulley_core.declarations import FreshnessKind
from trefoilpulley_core.declarations import Promptness
from trefoilpulley_core.declarations import Safety
from trefoilpulley_core.declarations import WorkClass
from trefoilpulley_core.declarations import WorkKind

READ_SERVICE_S = 0.004
"""Mean time for which a read occupies a slot, in seconds."""

WRITE_SERVICE_S = 0.006
"""Mean time for which a write occupies a slot, in seconds."""


@dataclass(frozen=True, slots=True)
class Deployment:
    """Database group and classes of work of one deployment."""

    name: str
    """Name of the deployment."""

    zones: tuple[str, ...]
    """Availability zones with entry hosts."""

    one_way_delay_s: float
    """One-way delay between two availability zones, in seconds."""

    classes: tuple[WorkClass, ...]
    """Classes of writes, session reads and aged reads, in this order."""

    connections: int
    """Connection limit of a member."""

    connect_s: float
    """Time to open a connection, in seconds."""

    slots: int = 2
    """Number of requests that a member executes concurrently."""

    @property
    def write(self) -> WorkClass:
        """Class of writes that must not be repeated."""
        return self.classes[0]

    @property
    def session_read(self) -> WorkClass:
        """Class of reads that must see the session's own writes."""
        return self.classes[1]

    @property
    def aged_read(self) -> WorkClass:
        """Class of reads that accept data up to a maximum age."""
        return self.classes[2]


def _write(name: str, within_ms: int) -> WorkClass:
    return WorkClass(
        name,
        WorkKind.WRITE,
        Freshness(FreshnessKind.PRESENT),
        Promptness(within_ms, 0.99),
        Safety(2, False),
    )


def _read(
    name: str, within_ms: int, share: float, max_age_ms: int | None
) -> WorkClass:
    kind = FreshnessKind.AGE if max_age_ms else FreshnessKind.SESSION
    return WorkClass(
        name,
        WorkKind.READ,
        Freshness(kind, max_age_ms),
        Promptness(within_ms, share),
        Safety(2, True),
    )


KARAMANLIS = Deployment(
    'karamanlis',
    ('gr-north-a', 'gr-north-b', 'gr-north-c'),
    0.003,
    (
        _write('filing', 2000),
        _read('order-status', 400, 0.98, None),
        _read('lookup', 250, 0.95, 2000),
    ),
    connections=16,
    connect_s=0.012,
)

SLEEVECRAFT = Deployment(
    'sleevecraft',
    ('manila-north', 'manila-south', 'laguna', 'pampanga'),
    0.005,
    (
        _write('booking', 2000),
        _read('order-status', 400, 0.98, None),
        _read('catalogue-lookup', 250, 0.95, 1000),
    ),
    connections=30,
    connect_s=0.030,
)

DEPLOYMENTS = (KARAMANLIS, SLEEVECRAFT)
"""Deployments that are simulated."""
