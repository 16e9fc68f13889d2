"""Registered, live and reachable hosts, as this host sees them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from trefoilpulley_core.catalog import HostEntry
    from trefoilpulley_core.membership.live_hosts import LiveHosts
    from trefoilpulley_node.direct.session_registry import SessionRegistry


class HostView:
    """Joins what the service and the membership tell of the hosts.

    Parameters
    ----------
    host : HostEntry
        Entry of this host.
    listed_hosts : Callable[[], Iterable[HostEntry]]
        Returns the hosts that the service lists.
    find_entry : Callable[[str], HostEntry | None]
        Returns the entry of a host that the service lists or that another
        host has told of.
    live_hosts : Callable[[], LiveHosts]
        Returns the hosts that the membership takes for live.
    sessions : SessionRegistry
        Tells whether this host is about to stop.
    """

    def __init__(
        self,
        host: HostEntry,
        listed_hosts: Callable[[], Iterable[HostEntry]],
        find_entry: Callable[[str], HostEntry | None],
        live_hosts: Callable[[], LiveHosts],
        sessions: SessionRegistry,
    ) -> None:
        self._host = host
        self._listed_hosts = listed_hosts
        self._find_entry = find_entry
        self._live_hosts = live_hosts
        self._sessions = sessions

    @property
    def registered(self) -> dict[str, str]:
        """Availability zone of each registered host, this one included."""
        hosts = {h.name: h.zone for h in self._listed_hosts()}
        return {**hosts, self._host.name: self._host.zone}

    @property
    def live_zones(self) -> dict[str, tuple[str, ...]]:
        """Live hosts by availability zone, this host included."""
        zones = {z.zone: z.hosts for z in self._live_hosts().zones}
        local_hosts = {*zones.get(self._host.zone, ()), self._host.name}
        if self._sessions.is_draining:
            # This host is about to stop and could not finish new relayed
            # requests.
            local_hosts.discard(self._host.name)
        return {**zones, self._host.zone: tuple(sorted(local_hosts))}

    @property
    def live(self) -> tuple[str, ...]:
        """Names of the live hosts in order."""
        return tuple(sorted(h for z in self.live_zones.values() for h in z))

    @property
    def capacities(self) -> dict[str, float]:
        """Capacity of each registered or live host.

        Hosts that a partition hides count as well: whether few hosts hold the
        connections depends on the size of the deployment.
        """
        names = {*self.registered, *self.live}
        entries = [self._host, *map(self._find_entry, sorted(names))]
        return {e.name: e.capacity for e in entries if e is not None}
