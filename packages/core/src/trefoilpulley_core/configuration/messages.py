"""Messages that carry documents between hosts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
import zlib


class DocumentKind(StrEnum):
    """Kind of a document; every host holds one document of each kind."""

    CONFIGURATION = 'configuration'
    """Declarations of the operators."""

    DATABASES = 'databases'
    """Database groups in the platform's list."""

    HOSTS = 'hosts'
    """Entry hosts in the platform's list."""


@dataclass(frozen=True, slots=True)
class Document:
    """One revision of a document.

    Sent as a one-way message or as an answer.
    """

    kind: DocumentKind
    """Kind of the document."""

    revision: int
    """Revision; a higher revision replaces a lower one."""

    body: bytes
    """Compressed JSON text."""

    @property
    def text(self) -> bytes:
        """Decompressed JSON text."""
        return zlib.decompress(self.body)


@dataclass(frozen=True, slots=True)
class FetchDocument:
    """Request to a peer for its revision of a document."""

    kind: DocumentKind
    """Kind of the document."""


def make_document(kind: DocumentKind, revision: int, text: bytes) -> Document:
    """Return a message with a compressed document."""
    return Document(kind, revision, zlib.compress(text))
