"""Store of the newest revision of each document at one host."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING
import zlib

from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.catalog import Catalog
from trefoilpulley_core.configuration.document import decode_configuration
from trefoilpulley_core.configuration.document import decode_databases
from trefoilpulley_core.configuration.document import decode_hosts
from trefoilpulley_core.configuration.document import MalformedDocument
from trefoilpulley_core.configuration.messages import DocumentKind
from trefoilpulley_core.declarations import Configuration
from trefoilpulley_core.declarations import Declarations
from trefoilpulley_core.membership.messages import Versions

if TYPE_CHECKING:
    from trefoilpulley_core.configuration.messages import Document
    from trefoilpulley_core.failure import Failure

_DECODERS = {
    DocumentKind.CONFIGURATION: decode_configuration,
    DocumentKind.DATABASES: decode_databases,
    DocumentKind.HOSTS: decode_hosts,
}


class ConfigurationStore:
    """Stores the newest revision of each document and rejects older ones."""

    def __init__(self) -> None:
        self._documents: dict[DocumentKind, Document] = {}
        self.configuration = Configuration(0, '', Declarations())
        """Declarations in force."""

        self.catalog = Catalog()
        """Database groups and hosts."""

    @property
    def versions(self) -> Versions:
        """Revisions of the stored documents."""
        return Versions(
            self.revision_of(DocumentKind.CONFIGURATION),
            self.revision_of(DocumentKind.DATABASES),
            self.revision_of(DocumentKind.HOSTS),
        )

    def find_document(self, kind: DocumentKind) -> Document | None:
        """Return a document, or ``None`` if none is stored yet."""
        return self._documents.get(kind)

    def revision_of(self, kind: DocumentKind) -> int:
        """Return the stored revision of a document; 0 if none is stored."""
        document = self._documents.get(kind)
        return document.revision if document else 0

    def accept(self, document: Document) -> Result[bool, Failure]:
        """Store and apply a document if it is newer than the stored one.

        Returns
        -------
        Result[bool, Failure]
            Whether the document was newer, or `MalformedDocument`. After a
            failure, the stored document stays in force.
        """
        if document.revision <= self.revision_of(document.kind):
            return Success(False)
        decoded = _decode(document)
        if not isinstance(decoded, Success):
            return decoded
        self._documents[document.kind] = document
        self._apply(document.kind, decoded.unwrap())
        return Success(True)

    def _apply(self, kind: DocumentKind, value: Any) -> None:
        if kind is DocumentKind.CONFIGURATION:
            self.configuration = value
        elif kind is DocumentKind.DATABASES:
            self.catalog = Catalog(value, self.catalog.hosts)
        else:
            self.catalog = Catalog(self.catalog.databases, value)


def _decode(document: Document) -> Result[Any, Failure]:
    try:
        text = document.text
    except zlib.error:
        return Failed(MalformedDocument('body is not zlib-compressed'))
    decoded = _DECODERS[document.kind](text)
    if document.kind is not DocumentKind.CONFIGURATION:
        return decoded
    return decoded.bind(
        lambda configuration: _check_revision(document, configuration)
    )


def _check_revision(
    document: Document, configuration: Configuration
) -> Result[Configuration, Failure]:
    if configuration.revision != document.revision:
        return Failed(
            MalformedDocument(
                'revision differs from the revision in the message'
            )
        )
    return Success(configuration)
