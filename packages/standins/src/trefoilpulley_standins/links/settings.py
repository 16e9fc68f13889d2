"""Settings of the simulated links."""

from __future__ import annotations

from dataclasses import dataclass

from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_standins.links.quality import Quality
from trefoilpulley_standins.links.quality import ZonePair


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Link from one zone to a port in another zone."""

    pair: ZonePair
    """Direction from the callers' zone to the target's zone."""

    listen: Endpoint
    """Address on which the link accepts connections."""

    target: Endpoint
    """Address to which the link forwards connections."""


@dataclass(frozen=True, slots=True)
class LinksSettings:
    """Settings of the process that runs the links."""

    control: Endpoint
    """Address of the control port."""

    links: tuple[LinkSettings, ...] = ()
    """Settings of each link."""

    qualities: tuple[Quality, ...] = ()
    """Initial quality of the directions; perfect for any other direction."""

    seed: int = 0
    """Seed of the random jitter and loss."""


@dataclass(frozen=True, slots=True)
class LinkOrder:
    """Change of the links; omitted fields change nothing."""

    cuts: tuple[ZonePair, ...] | None = None
    """All directions that are cut from now on."""

    qualities: tuple[Quality, ...] = ()
    """New qualities of the given directions."""
