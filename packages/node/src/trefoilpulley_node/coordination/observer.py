"""Keeps the newest view of the deployment for the coordinator role."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_node.coordination.situation import Situation

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.catalog import Catalog
    from trefoilpulley_core.declarations import Declarations
    from trefoilpulley_core.membership.live_hosts import LiveHosts


class SituationObserver:
    """Joins the documents with the live hosts, anew at each change.

    The coordinator looks many times a second; a deployment of many
    hosts changes far less often.

    Parameters
    ----------
    get_catalog : Callable[[], Catalog]
        Newest catalogue.
    get_declarations : Callable[[], Declarations]
        Declarations in force.
    get_live : Callable[[], LiveHosts]
        Newest view of the live hosts.
    """

    def __init__(
        self,
        get_catalog: Callable[[], Catalog],
        get_declarations: Callable[[], Declarations],
        get_live: Callable[[], LiveHosts],
    ) -> None:
        self._get_catalog = get_catalog
        self._get_declarations = get_declarations
        self._get_live = get_live
        self._live: LiveHosts | None = None
        self._seen: Situation | None = None

    def observe(self) -> Situation:
        """Return the deployment; the same object until it changes."""
        catalog = self._get_catalog()
        declarations = self._get_declarations()
        live = self._get_live()
        if not self._is_current(catalog, declarations, live):
            self._live = live
            self._seen = _join(catalog, declarations, live)
        return self._seen

    def _is_current(
        self, catalog: Catalog, declarations: Declarations, live: LiveHosts
    ) -> bool:
        return (
            self._seen is not None
            and self._seen.catalog is catalog
            and self._seen.declarations is declarations
            and self._live is live
        )


def _join(
    catalog: Catalog, declarations: Declarations, live: LiveHosts
) -> Situation:
    names = {host for zone in live.zones for host in zone.hosts}
    hosts = tuple(h for h in catalog.hosts if h.name in names)
    return Situation(catalog, declarations, hosts)
