"""Which hosts hold the connections of a member.

Load pattern: many hosts stand before a member that takes few connections.
Equal shares would leave less than one each, and every burst would open and
close connections that take slots of the member. A few hosts of the member's
availability zone hold its connections instead, each enough of them for its
statements to share, and the other hosts send their statements there.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpulley_core.rendezvous import rank_hosts

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

MAX_DIRECT_HOSTS = 24
"""Hosts above which not every host connects to every member."""

MIN_CONNECTIONS_PER_HOST = 2
"""Connections that a host needs for its own: one may rest in a transaction
while another serves.
"""

CONNECTIONS_PER_HOLDER = 5
"""Connections of one holder: the slots of a member and some that pause
inside transactions.
"""

MAX_HOLDERS = 8
"""Hosts that hold connections to one member at most.

More would spread the idle connections without taking more work off each.
"""


@dataclass(frozen=True, slots=True)
class ConnectionHolders:
    """Hosts that hold the connections to one member."""

    hosts: tuple[str, ...]
    """Names of the hosts, first in rank first; empty where every host
    holds connections of its own.
    """

    sharing_hosts: int
    """Hosts among which the member's connections are shared."""


def choose_holders(
    group: str,
    zone: str,
    live: Mapping[str, Sequence[str]],
    max_connections: int,
) -> ConnectionHolders:
    """Return the hosts that hold the connections to a member.

    Parameters
    ----------
    group : str
        Group of the member; the same hosts hold the connections of the
        member that takes its place.
    zone : str
        Availability zone of the member.
    live : Mapping[str, Sequence[str]]
        Live hosts by availability zone.
    max_connections : int
        Connections that the member takes.
    """
    total = sum(len(hosts) for hosts in live.values())
    has_share = max_connections >= MIN_CONNECTIONS_PER_HOST * total
    if total <= MAX_DIRECT_HOSTS and has_share:
        return ConnectionHolders((), max(1, total))
    near = live.get(zone) or [h for hosts in live.values() for h in hosts]
    count = max(1, min(MAX_HOLDERS, max_connections // CONNECTIONS_PER_HOLDER))
    chosen = rank_hosts(group, sorted(near))[:count]
    return ConnectionHolders(chosen, len(chosen))


def rank_holders(
    member: str, host: str, holders: ConnectionHolders
) -> tuple[str, ...]:
    """Return the holders in the order in which a host should use them.

    Each host has an order of its own, so that the hosts spread over the
    holders and those of a holder that dies spread over the others.
    """
    return rank_hosts(f'{member}/{host}', holders.hosts)
