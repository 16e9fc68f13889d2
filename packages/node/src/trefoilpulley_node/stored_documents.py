"""Catalogue and declarations, read from the platform's service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from returns.result import Success

from trefoilpulley_core.catalog import Catalog
from trefoilpulley_core.configuration.document import decode_configuration
from trefoilpulley_core.configuration.document import decode_databases
from trefoilpulley_core.configuration.document import decode_hosts
from trefoilpulley_core.declarations import Configuration
from trefoilpulley_core.declarations import Declarations
from trefoilpulley_core.keys import CATALOG_DATABASES_KEY
from trefoilpulley_core.keys import CATALOG_HOSTS_KEY
from trefoilpulley_core.keys import CONFIGURATION_KEY

if TYPE_CHECKING:
    from trefoilpulley_core.platform import Platform

POLL_S = 1.0
"""Time between reads of the documents."""


class StoredDocuments:
    """Polls the documents of the platform's service.

    Parameters
    ----------
    platform : Platform
        The platform's service.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._greenlet: gevent.Greenlet | None = None
        self.catalog = Catalog()
        """Newest catalogue."""

        self.configuration = Configuration(0, '', Declarations())
        """Newest configuration."""

    def start(self) -> None:
        """Read once, then go on in the background."""
        self._read()
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the reads."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def _run(self) -> None:
        while True:
            gevent.sleep(POLL_S)
            self._read()

    def _read(self) -> None:
        databases = self._get(CATALOG_DATABASES_KEY, decode_databases)
        hosts = self._get(CATALOG_HOSTS_KEY, decode_hosts)
        read = Catalog(
            databases or self.catalog.databases, hosts or self.catalog.hosts
        )
        if read != self.catalog:
            self.catalog = read
        found = self._get(CONFIGURATION_KEY, decode_configuration)
        if found and found.revision > self.configuration.revision:
            self.configuration = found

    def _get(self, key, decode):
        found = self._platform.get(key).value_or(None)
        if found is None:
            return None
        decoded = decode(found.value)
        return decoded.unwrap() if isinstance(decoded, Success) else None
