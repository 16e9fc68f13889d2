"""What the membership decisions ask their runner to do."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from trefoilpulley_core.membership.messages import Versions


@dataclass(frozen=True, slots=True)
class Call:
    """Send a request; hand its answer or its failure back."""

    call_id: int
    """Identifier, unique in the process."""

    host: str
    """Name of the host to ask."""

    message: Any
    """Typed request."""

    timeout_s: float
    """Longest wait for the answer, in seconds."""


@dataclass(frozen=True, slots=True)
class Tell:
    """Send a one-way message."""

    host: str
    """Name of the host to tell."""

    message: Any
    """Typed message."""


@dataclass(frozen=True, slots=True)
class CompareVersions:
    """Compare the documents that a peer holds with one's own."""

    host: str
    """Name of the peer."""

    versions: Versions
    """Newest documents that the peer holds."""


Command = Call | Tell | CompareVersions
"""Any command."""
