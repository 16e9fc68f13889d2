"""Settings of the stand-in for the platform's service."""

from __future__ import annotations

from dataclasses import dataclass
import json
from pathlib import Path

from cattrs.preconf.json import make_converter

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


_CONVERTER = make_converter(forbid_extra_keys=True)


def load_settings(path: Path) -> PlatformSettings:
    """Read a settings file."""
    document = json.loads(path.read_text(encoding='utf-8'))
    return _CONVERTER.structure(document, PlatformSettings)


def dump_settings(cfg: PlatformSettings) -> str:
    """Return the JSON text of settings."""
    return json.dumps(_CONVERTER.unstructure(cfg), indent=2)
