"""Settings of the stand-in for the platform's service."""

from __future__ import annotations

from dataclasses import dataclass

from trefoilpulley_core.catalog import Endpoint


@dataclass(frozen=True, slots=True)
class SeedValue:
    """Key written at the start."""

    key: str
    """Key."""

    value: str
    """Value."""


@dataclass(frozen=True, slots=True)
class PortRoute:
    """How a zone reaches a port of another zone."""

    port: int
    """Port in the stored catalogue."""

    via: int
    """Port of the link, as the zone's callers see it."""


@dataclass(frozen=True, slots=True)
class ZoneView:
    """Port of the service for one availability zone."""

    zone: str
    """Availability zone."""

    listen: Endpoint
    """Address of the service for the zone."""

    routes: tuple[PortRoute, ...] = ()
    """Ports that the zone reaches over links."""


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of the stand-in."""

    values: tuple[SeedValue, ...] = ()
    """Keys written at the start."""

    zones: tuple[ZoneView, ...] = ()
    """Ports for the availability zones."""
