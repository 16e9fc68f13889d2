"""What the spread's decisions ask their runner to do."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpulley_core.configuration.messages import Document
    from trefoilpulley_core.configuration.messages import DocumentKind


@dataclass(frozen=True, slots=True)
class ReadService:
    """Read the documents that the service holds in a newer revision."""


@dataclass(frozen=True, slots=True)
class SetWatch:
    """Begin or end the watches on the service."""

    is_wanted: bool
    """Whether the watches are to run."""


@dataclass(frozen=True, slots=True)
class Fetch:
    """Ask a peer for its revision of a document."""

    host: str
    """Name of the peer."""

    kind: DocumentKind
    """Which document."""


@dataclass(frozen=True, slots=True)
class Push:
    """Send a document to a peer."""

    host: str
    """Name of the peer."""

    document: Document
    """Document to send."""


Command = ReadService | SetWatch | Fetch | Push
"""Any command."""
