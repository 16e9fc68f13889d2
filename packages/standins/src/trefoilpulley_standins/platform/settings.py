"""Settings of the simulated key-value service."""

from __future__ import annotations

from dataclasses import dataclass

from trefoilpulley_core.catalog import Endpoint


@dataclass(frozen=True, slots=True)
class SeedValue:
    """Initial key and value."""

    key: str
    """Key."""

    value: str
    """Value."""


@dataclass(frozen=True, slots=True)
class PortRoute:
    """Link through which a zone reaches a port of another zone."""

    port: int
    """Port in the stored catalog."""

    via: int
    """Port of the link that the callers of the zone use instead."""


@dataclass(frozen=True, slots=True)
class ZoneView:
    """Port of the service for the callers of one availability zone."""

    zone: str
    """Availability zone."""

    listen: Endpoint
    """Address on which the service listens for the zone."""

    routes: tuple[PortRoute, ...] = ()
    """Ports that the zone reaches through links."""


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of the service."""

    values: tuple[SeedValue, ...] = ()
    """Initial keys and values."""

    zones: tuple[ZoneView, ...] = ()
    """Port for each availability zone."""
