"""Settings of the links."""

from __future__ import annotations

from dataclasses import dataclass

from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_standins.links.quality import Quality
from trefoilpulley_standins.links.quality import ZonePair


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Way from one zone to one port in another."""

    pair: ZonePair
    """Zone of the callers and zone of the target."""

    listen: Endpoint
    """Address for the callers."""

    target: Endpoint
    """Address that the link leads to."""


@dataclass(frozen=True, slots=True)
class LinksSettings:
    """Settings of the process that carries the links."""

    control: Endpoint
    """Address for orders."""

    links: tuple[LinkSettings, ...] = ()
    """Links."""

    qualities: tuple[Quality, ...] = ()
    """Behaviour of each direction; perfect where none is given."""

    seed: int = 0
    """Seed of jitter and loss."""


@dataclass(frozen=True, slots=True)
class LinkOrder:
    """Order to the links; fields that are left out change nothing."""

    cuts: tuple[ZonePair, ...] | None = None
    """Every direction that is cut from now on."""

    qualities: tuple[Quality, ...] = ()
    """Directions that behave differently from now on."""
