"""Messages that carry documents between hosts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
import zlib


class DocumentKind(StrEnum):
    """Documents that every host holds."""

    CONFIGURATION = 'configuration'
    """Operators' declarations."""

    DATABASES = 'databases'
    """Database groups, as the platform lists them."""

    HOSTS = 'hosts'
    """Entry hosts, as the platform lists them."""


@dataclass(frozen=True, slots=True)
class Document:
    """One revision of a document; sent one way, or as an answer."""

    kind: DocumentKind
    """Which document."""

    revision: int
    """Revision; of two, the greater one is in force."""

    body: bytes
    """JSON text, compressed."""

    @property
    def text(self) -> bytes:
        """JSON text."""
        return zlib.decompress(self.body)


@dataclass(frozen=True, slots=True)
class FetchDocument:
    """Asks a peer for its revision of a document."""

    kind: DocumentKind
    """Which document."""


def make_document(kind: DocumentKind, revision: int, text: bytes) -> Document:
    """Return the message form of a document."""
    return Document(kind, revision, zlib.compress(text))
