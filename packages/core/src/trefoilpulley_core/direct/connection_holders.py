"""Choice of the hosts that hold the connections to a member.

Load pattern: a deployment has many hosts, and a member accepts few
connections. An equal share would be less than one connection per host, and
each burst would open and close connections that occupy slots of the member.
Instead, a few hosts in the member's availability zone hold the connections,
each host enough of them to multiplex its statements. The other hosts forward
their statements to these hosts.

A network partition leaves each side with a part of the hosts. The choice
between holders and connections of every host depends on the registered hosts,
so that a partition does not make every host open connections of its own, which
the members would refuse at their connection limit.

Load pattern of the customers: a connection belongs to one of many customers,
and a new connection occupies a slot of the member. The statements of one
customer therefore go to the same holder from all hosts, which share its
connections. Hosts differ in capacity, by up to a factor of four: a host of
more capacity holds more members' connections, and serves more customers.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from trefoilpulley_core.rendezvous import DEFAULT_WEIGHT
from trefoilpulley_core.rendezvous import rank_hosts

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

MAX_DIRECT_HOSTS = 24
"""Largest deployment in which each host connects to each member itself."""

MIN_CONNECTIONS_PER_HOST = 2
"""Connections that a host needs to use its own connections.

One connection may be idle in a transaction while another one serves requests.
"""

CONNECTIONS_PER_HOLDER = 5
"""Connections of one holder.

The number covers the slots of a member and a few connections that are idle
in transactions.
"""

MAX_HOLDERS = 8
"""Maximum number of hosts that hold connections to one member.

More holders would spread the idle connections further without reducing the
load of each holder.
"""


@dataclass(frozen=True, slots=True)
class ConnectionHolders:
    """Hosts that hold the connections to one member."""

    hosts: tuple[str, ...]
    """Names of the hosts in descending rank.

    Empty if every host holds connections of its own.
    """

    sharing_hosts: int
    """Number of hosts that share the member's connections."""

    capacities: Mapping[str, float] = field(default_factory=dict)
    """Capacities of the holders by name; empty if all are equal."""


def choose_holders(
    group: str,
    zone: str,
    live: Mapping[str, Sequence[str]],
    max_connections: int,
    registered_hosts: int = 0,
    capacities: Mapping[str, float] | None = None,
) -> ConnectionHolders:
    """Return the hosts that hold the connections to a member.

    Parameters
    ----------
    group : str
        Group of the member. The ranking depends on the group, so that a
        replacement of the member has the same holders.
    zone : str
        Availability zone of the member.
    live : Mapping[str, Sequence[str]]
        Live hosts by availability zone.
    max_connections : int
        Connections that the member accepts.
    registered_hosts : int
        Number of registered hosts, live or not.
    capacities : Mapping[str, float], optional
        Capacities of the hosts by name. They count only if hosts differ.
    """
    live_hosts = sum(len(hosts) for hosts in live.values())
    total = max(live_hosts, registered_hosts)
    has_share = max_connections >= MIN_CONNECTIONS_PER_HOST * total
    if total <= MAX_DIRECT_HOSTS and has_share:
        return ConnectionHolders((), max(1, live_hosts))
    candidates = live.get(zone) or [
        h for hosts in live.values() for h in hosts
    ]
    count = max(1, min(MAX_HOLDERS, max_connections // CONNECTIONS_PER_HOLDER))
    weights = capacities or {}
    chosen = rank_hosts(group, sorted(candidates), weights)[:count]
    return ConnectionHolders(
        chosen,
        len(chosen),
        {host: weights[host] for host in chosen if host in weights},
    )


def rank_holders(
    member: str, host: str, holders: ConnectionHolders
) -> tuple[str, ...]:
    """Return the holders in the order in which a host should use them.

    The order depends on the host. The hosts are therefore distributed over
    all holders, and if a holder fails, its hosts are distributed over the
    remaining holders.
    """
    return rank_hosts(f'{member}/{host}', holders.hosts)


def rank_customer_holders(
    group: str, customer: str, holders: ConnectionHolders
) -> tuple[str, ...]:
    """Return the holders in the order in which a customer's work uses them.

    The order is the same at all hosts, so that a customer's connections to a
    member are at one host. It does not depend on the member, so that a
    replacement of the member has the same order.
    """
    return rank_hosts(f'{group}/{customer}', holders.hosts, holders.capacities)


def count_share(
    host: str, holders: ConnectionHolders, max_connections: int
) -> int:
    """Return a holder's share of a member's connections, by its capacity.

    The customers are spread over the holders by capacity, so that a holder
    needs connections in proportion.

    Parameters
    ----------
    host : str
        Name of the holder.
    holders : ConnectionHolders
        Holders of the member's connections.
    max_connections : int
        Connections that the member accepts.
    """
    weights = holders.capacities
    total = sum(weights.get(h, DEFAULT_WEIGHT) for h in holders.hosts)
    fraction = weights.get(host, DEFAULT_WEIGHT) / total
    return max(1, int(max_connections * fraction))
