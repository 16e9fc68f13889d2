"""Commands by which the membership decisions instruct their runner."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from trefoilpulley_core.membership.messages import Versions


@dataclass(frozen=True, slots=True)
class Call:
    """Send a request and report its answer or its failure."""

    call_id: int
    """Identifier that is unique in the process."""

    host: str
    """Name of the host that receives the request."""

    message: Any
    """Typed request."""

    timeout_s: float
    """Timeout of the answer, in seconds."""


@dataclass(frozen=True, slots=True)
class Tell:
    """Send a one-way message."""

    host: str
    """Name of the host that receives the message."""

    message: Any
    """Typed message."""


@dataclass(frozen=True, slots=True)
class CompareVersions:
    """Compare the revisions of a peer's documents with this host's."""

    host: str
    """Name of the peer."""

    versions: Versions
    """Revisions of the documents that the peer holds."""


Command = Call | Tell | CompareVersions
"""Any command to the runner."""
