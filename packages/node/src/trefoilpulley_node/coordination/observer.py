"""Caches the coordinator's view of the deployment."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_node.coordination.deployment_view import DeploymentView

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.catalog import Catalog
    from trefoilpulley_core.declarations import Declarations
    from trefoilpulley_core.membership.live_hosts import LiveHosts


class DeploymentObserver:
    """Combines the catalogue, the declarations and the live hosts.

    The combined view is cached until one of the three changes, because
    the coordinator reads the view many times a second, and a deployment
    of many hosts changes far less often.

    Parameters
    ----------
    get_catalog : Callable[[], Catalog]
        Returns the newest catalogue.
    get_declarations : Callable[[], Declarations]
        Returns the declarations in force.
    get_live_hosts : Callable[[], LiveHosts]
        Returns the newest set of live hosts.
    """

    def __init__(
        self,
        get_catalog: Callable[[], Catalog],
        get_declarations: Callable[[], Declarations],
        get_live_hosts: Callable[[], LiveHosts],
    ) -> None:
        self._get_catalog = get_catalog
        self._get_declarations = get_declarations
        self._get_live_hosts = get_live_hosts
        self._live_hosts: LiveHosts | None = None
        self._view: DeploymentView | None = None

    def observe(self) -> DeploymentView:
        """Return the view; the same object until the deployment changes."""
        catalog = self._get_catalog()
        declarations = self._get_declarations()
        live = self._get_live_hosts()
        if not self._is_current(catalog, declarations, live):
            self._live_hosts = live
            self._view = _make_view(catalog, declarations, live)
        return self._view

    def _is_current(
        self, catalog: Catalog, declarations: Declarations, live: LiveHosts
    ) -> bool:
        return (
            self._view is not None
            and self._view.catalog is catalog
            and self._view.declarations is declarations
            and self._live_hosts is live
        )


def _make_view(
    catalog: Catalog, declarations: Declarations, live: LiveHosts
) -> DeploymentView:
    names = {host for zone in live.zones for host in zone.hosts}
    hosts = tuple(h for h in catalog.hosts if h.name in names)
    return DeploymentView(catalog, declarations, hosts)
