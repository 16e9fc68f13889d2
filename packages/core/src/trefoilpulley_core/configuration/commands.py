"""Commands by which the document dissemination instructs its runner."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpulley_core.configuration.messages import Document
    from trefoilpulley_core.configuration.messages import DocumentKind


@dataclass(frozen=True, slots=True)
class ReadService:
    """Read the documents of which the service has a newer revision."""


@dataclass(frozen=True, slots=True)
class SetWatch:
    """Start or stop the watches on the service."""

    is_wanted: bool
    """Whether the watches should run."""


@dataclass(frozen=True, slots=True)
class Fetch:
    """Request a document from a peer."""

    host: str
    """Name of the peer."""

    kind: DocumentKind
    """Kind of the document."""


@dataclass(frozen=True, slots=True)
class Push:
    """Send a document to a peer."""

    host: str
    """Name of the peer."""

    document: Document
    """Document to send."""


Command = ReadService | SetWatch | Fetch | Push
"""Any command to the runner."""
