"""Look-up of databases, members and their poolers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.catalog import Catalog
    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.catalog import MemberEntry
    from trefoilpulley_core.membership.live_hosts import LiveHosts


class Directory:
    """Finds databases, members and the poolers of members.

    Parameters
    ----------
    get_catalog : Callable[[], Catalog]
        Returns the newest catalogue.
    get_live_hosts : Callable[[], LiveHosts]
        Returns the newest view of the live hosts.
    zone : str
        Availability zone of this host.
    """

    def __init__(
        self,
        get_catalog: Callable[[], Catalog],
        get_live_hosts: Callable[[], LiveHosts],
        zone: str,
    ) -> None:
        self._zone = zone
        self._get_catalog = get_catalog
        self._get_live_hosts = get_live_hosts
        self._indexed_catalog: Catalog | None = None
        self._databases: dict[str, DatabaseEntry] = {}
        self._members: dict[str, tuple[DatabaseEntry, MemberEntry]] = {}

    def find_database(self, name: str) -> DatabaseEntry | None:
        """Return the database with a name, or ``None`` if unknown."""
        self._update_index()
        return self._databases.get(name)

    def find_member(
        self, name: str
    ) -> tuple[DatabaseEntry, MemberEntry] | None:
        """Return a member and its database, or ``None`` if unknown."""
        self._update_index()
        return self._members.get(name)

    def is_cut_off(self) -> bool:
        """Return whether this zone reaches no other zone of the region."""
        live = self._get_live_hosts()
        others = [
            z
            for z in live.zones
            if z.region == live.region and z.zone != self._zone
        ]
        return bool(others) and all(z.is_lost for z in others)

    def find_pooler(self, member: str) -> str | None:
        """Return the live host that pools a member, or ``None`` if unknown."""
        lookup = self.find_member(member)
        if lookup is None:
            return None
        return self._get_live_hosts().pooler_of(lookup[1])

    def _update_index(self) -> None:
        catalog = self._get_catalog()
        if catalog is self._indexed_catalog:
            return
        self._indexed_catalog = catalog
        self._databases = {d.name: d for d in catalog.databases}
        self._members = {
            m.name: (d, m) for d in catalog.databases for m in d.members
        }
