"""Reads the documents in the platform's service."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING

from returns.result import Result
from returns.result import Success

from trefoilpulley_core.configuration.document import decode_configuration
from trefoilpulley_core.configuration.messages import DocumentKind
from trefoilpulley_core.configuration.messages import make_document
from trefoilpulley_core.entry_fields import DECODE_ERRORS
from trefoilpulley_core.keys import CATALOG_DATABASES_KEY
from trefoilpulley_core.keys import CATALOG_HOSTS_KEY
from trefoilpulley_core.keys import CATALOG_PREFIX
from trefoilpulley_core.keys import CONFIGURATION_KEY
from trefoilpulley_node import events

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from trefoilpulley_core.configuration.messages import Document
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.platform import KeyValue
    from trefoilpulley_core.platform import Platform

DOCUMENT_PREFIXES = {
    DocumentKind.CONFIGURATION: CONFIGURATION_KEY,
    DocumentKind.DATABASES: CATALOG_DATABASES_KEY,
    DocumentKind.HOSTS: CATALOG_HOSTS_KEY,
}
"""Key prefix of each document.

A list that is too large for one value is split over several keys with
the prefix.
"""

WATCHED_PREFIXES = (CONFIGURATION_KEY, CATALOG_PREFIX)
"""Key prefixes that are watched; each is checked by one call."""


class DocumentReader:
    """Reads the documents whose key revisions have changed.

    Parameters
    ----------
    platform : Platform
        Client of the platform's key-value service.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._known_revisions: dict[
            DocumentKind, tuple[tuple[str, int], ...]
        ] = {}

    def read_changed(self) -> Iterator[Result[Document | None, Failure]]:
        """Yield each changed document, or the failure to read it.

        Each watched prefix whose revisions were read also yields
        ``None``, to report that the service answered. The iteration ends
        with the failure if the revisions can't be read.
        """
        for watched_prefix in WATCHED_PREFIXES:
            fetched = self._platform.get_revisions(watched_prefix)
            if not isinstance(fetched, Success):
                yield fetched
                return
            yield Success(None)
            yield from self._read_changed_documents(
                watched_prefix, fetched.unwrap().entries
            )

    def _read_changed_documents(
        self, watched_prefix: str, entries: Sequence[KeyValue]
    ) -> Iterator[Result[Document | None, Failure]]:
        for kind, prefix in DOCUMENT_PREFIXES.items():
            if not prefix.startswith(watched_prefix):
                continue
            matching = [e for e in entries if e.key.startswith(prefix)]
            if _revisions(matching) != self._known_revisions.get(kind, ()):
                yield self._read(kind)

    def _read(self, kind: DocumentKind) -> Result[Document | None, Failure]:
        read = self._platform.get_prefix(DOCUMENT_PREFIXES[kind])
        return read.map(lambda r: self._make_document(kind, r.entries))

    def _make_document(
        self, kind: DocumentKind, entries: Sequence[KeyValue]
    ) -> Document | None:
        self._known_revisions[kind] = _revisions(entries)
        if not entries:
            return None
        if kind is DocumentKind.CONFIGURATION:
            return _read_configuration(entries[0])
        revision = max(e.mod_revision for e in entries)
        return make_document(kind, revision, _join_lists(entries))


def _revisions(entries: Sequence[KeyValue]) -> tuple[tuple[str, int], ...]:
    return tuple((e.key, e.mod_revision) for e in entries)


def _read_configuration(entry: KeyValue) -> Document | None:
    decoded = decode_configuration(entry.value).value_or(None)
    if decoded is None:
        return None
    return make_document(
        DocumentKind.CONFIGURATION, decoded.revision, entry.value
    )


def _join_lists(entries: Sequence[KeyValue]) -> bytes:
    if len(entries) == 1:
        return entries[0].value
    items = [item for entry in entries for item in _read_list(entry)]
    return json.dumps(items, separators=(',', ':')).encode()


def _read_list(entry: KeyValue) -> list[Any]:
    """Return a part of a list; one that can't be read names nobody."""
    detail = 'not a list'
    try:
        items = json.loads(entry.value)
        if isinstance(items, list):
            return items
    except DECODE_ERRORS as exc:
        detail = repr(exc)
    events.ENTRY_UNREADABLE.log(
        key=entry.key, revision=entry.mod_revision, detail=detail
    )
    return []
