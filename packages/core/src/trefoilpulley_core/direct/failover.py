"""Failover decisions: the acting host, its time and the vote on a loss."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.direct.commit_roster import CommitRoster
from trefoilpulley_core.position import TermStart
from trefoilpulley_core.rendezvous import rank_hosts

if TYPE_CHECKING:
    from collections.abc import Container
    from collections.abc import Iterable
    from collections.abc import Mapping

    from trefoilpulley_core.platform import Lease

RANK_DELAY_S = 0.04
"""Delay of each host relative to the host before it in rank, in seconds.

Writing a claim to the platform's service takes a few milliseconds. A host
with a lower rank therefore sees the claim before its own delay has passed.
"""

RANK_DELAY_NO_SERVICE_S = 0.6
"""Delay per rank while the service is unavailable, in seconds.

Without the service, a host cannot see the claims of other hosts. The delay
applies after a host that is known to have stopped.
"""

ORDER_TIMEOUT_NO_SERVICE_S = 1.2
"""Delay after a live host while the service is unavailable, in seconds.

A promotion may take 0.8 s, and the call that orders it is given 0.4 s. With
0.6 s, as long as a promotion takes, the next host found no leader yet and
ordered a second promotion. The notice of an order ends the wait earlier.
"""

PUBLICATION_RANK_DELAY_S = 0.6
"""Delay per rank before a claim that the service has lost is written again.

In seconds. A host sees the write of the host before it within that time.
"""

VOTERS_PER_ZONE = 4
"""Hosts of each availability zone that vote on the loss of a primary.

In a deployment of about ten hosts, every host votes. In a larger deployment,
the voters are some of the hosts that hold connections to the group's members.
"""

HOLDER_LEASE_BITS = 20
"""Bits of a fencing token for the number of the holder's lease."""

HOLDER_ERA_BITS = 4
"""Bits of a fencing token for the era of the holder's lease."""

ROUND_BITS = 20
"""Bits of a fencing token for the number of the round."""


@dataclass(frozen=True, slots=True)
class Claim:
    """Claim to change the primary of a group, stored in the service."""

    holder: str
    """Name of the host that holds the claim."""

    round: int
    """Number of the change; each change of the target has a new number."""

    target: str
    """Member to promote."""

    term_starts: tuple[TermStart, ...] = field(default=(), compare=False)
    """Starts of the group's terms that the writer of the claim knows."""

    is_confirmation: bool = field(default=False, compare=False)
    """Whether the target led already when the change was claimed."""

    is_settled: bool = field(default=False, compare=False)
    """Whether nothing that was done for the change can take effect later."""

    is_claimed: bool = field(default=True, compare=False)
    """Whether the holder has claimed the change before it acted."""

    leader: str = field(default='', compare=False)
    """Member whose term every later change goes on from.

    Empty before the first change. Only this member serves reads of the
    present and writes.
    """


@dataclass(frozen=True, slots=True)
class Round:
    """Round that a host may use for a change."""

    number: int
    """Number of the change."""

    era: int
    """Era of the service in which the round was claimed."""

    is_claimed: bool = True
    """Whether the service holds the claim, so that every host sees it."""

    follows_open: bool = False
    """Whether an order of an earlier change may still be carried out."""


@dataclass(frozen=True, slots=True)
class ReachQuestion:
    """Request to another host whether it reaches a member."""

    group: str
    """Group of the member."""

    member: str
    """Identifier of the member."""

    endpoint: Endpoint | None = None
    """Address of a member that may not be listed any more."""


@dataclass(frozen=True, slots=True)
class LeaderNotice:
    """Notification of another host about the new primary."""

    group: str
    """Group of the member."""

    member: str
    """Identifier of the new primary."""

    round: int = 0
    """Number of the change that promoted the member."""

    term_starts: tuple[TermStart, ...] = ()
    """Starts of the group's terms that the reporting host knows."""

    is_confirmed: bool = True
    """Whether every later change is known to go on from the member's log.

    Otherwise the notice asks for an answer, which confirms that the host
    knows the starts.
    """


@dataclass(frozen=True, slots=True)
class OrderNotice:
    """Notification of another host that a promotion is ordered.

    Sent for an order without a claim in the service.
    """

    group: str
    """Group of the member."""

    member: str
    """Identifier of the member to promote."""

    round: int
    """Number of the change."""


@dataclass(frozen=True, slots=True)
class ReachReport:
    """Report of another host whether it reaches a member."""

    host: str
    """Name of the reporting host."""

    is_reached: bool
    """Whether the member answers the reporting host."""

    roster: CommitRoster | None = None
    """Roster that the reporting host knows, where a group has one."""

    term_starts: tuple[TermStart, ...] = ()
    """Starts of the group's terms that the reporting host knows."""


def fencing_token(claimed: Round, holder: Lease) -> int:
    """Return the fencing token of a claim holder in a round.

    Two holders have different tokens even if neither can see the other's
    claim. The tokens of a later era are higher, whatever the service has
    lost, and the holder is told by the era of its lease as well, since lease
    numbers may be given out again.

    Parameters
    ----------
    claimed : Round
        Round of the change.
    holder : Lease
        First lease of the holder.
    """
    token = claimed.era
    for value, bits in (
        (claimed.number, ROUND_BITS),
        (holder.era, HOLDER_ERA_BITS),
        (holder.lease_id, HOLDER_LEASE_BITS),
    ):
        token = (token << bits) + value % (1 << bits)
    return token


def choose_voters(group: str, registered: Mapping[str, str]) -> dict[str, str]:
    """Return the hosts that vote on a group's primary, with their zones.

    Load pattern: if a primary is slow or lost, every host notices at the
    same time. If each host asked all others and all hosts connected to the
    member, a load burst would be mistaken for a loss, and the new
    connections would cause one.

    Parameters
    ----------
    group : str
        Name of the group.
    registered : Mapping[str, str]
        Availability zone of each registered host.

    Returns
    -------
    dict[str, str]
        Availability zone of each voter, in the order in which they act.
    """
    zones: dict[str, list[str]] = {}
    for host, zone in registered.items():
        zones.setdefault(zone, []).append(host)
    voters = [
        host
        for hosts in zones.values()
        for host in rank_hosts(group, sorted(hosts))[:VOTERS_PER_ZONE]
    ]
    ranked = rank_hosts(group, sorted(voters))
    return {host: registered[host] for host in ranked}


def find_first_voter(
    group: str, registered: Mapping[str, str], live: Container[str]
) -> str | None:
    """Return the first of a group's voters that is not known to have stopped.

    Parameters
    ----------
    group : str
        Name of the group.
    registered : Mapping[str, str]
        Availability zone of each registered host.
    live : Container[str]
        Hosts that are not known to have stopped.
    """
    voters = choose_voters(group, registered)
    return next((h for h in voters if h in live), None)


def failover_delay_s(
    group: str, host: str, registered: Mapping[str, str]
) -> float:
    """Return how long a host waits before it starts a failover, in seconds.

    The voters act first, in the order of their rank. The other hosts act
    only if no voter does.
    """
    return len(_preceding_hosts(group, host, registered)) * RANK_DELAY_S


def order_delay_s(
    group: str, host: str, registered: Mapping[str, str], live: Container[str]
) -> float:
    """Return how long a host waits before it orders without a claim.

    Load pattern: the primary and the service are lost together, and every
    host that notices this starts a failover at nearly the same time. Only
    the wait for the orders of the hosts that act before prevents a second
    order.

    Parameters
    ----------
    group : str
        Name of the group.
    host : str
        Name of the waiting host.
    registered : Mapping[str, str]
        Availability zone of each registered host.
    live : Container[str]
        Hosts that are not known to have stopped.

    Returns
    -------
    float
        Delay in seconds.
    """
    return sum(
        ORDER_TIMEOUT_NO_SERVICE_S if h in live else RANK_DELAY_NO_SERVICE_S
        for h in _preceding_hosts(group, host, registered)
    )


def _preceding_hosts(
    group: str, host: str, registered: Mapping[str, str]
) -> list[str]:
    """Return the hosts that act before a host."""
    voters = list(choose_voters(group, registered))
    others = rank_hosts(group, sorted({*registered, host} - {*voters}))
    ranked = [*voters, *others]
    return ranked[: ranked.index(host)]


def publication_delay_s(
    group: str, host: str, registered: Iterable[str]
) -> float:
    """Return how long a host waits before it writes a claim again.

    The delay is in seconds. Every host knows the claim, and one write is
    enough.
    """
    ranked = rank_hosts(group, sorted({*registered, host}))
    return ranked.index(host) * PUBLICATION_RANK_DELAY_S


def roster_delay_s(
    group: str, host: str, registered: Mapping[str, str]
) -> float:
    """Return how long a host waits before it writes a group's roster.

    The delay is in seconds. The voters write first, since they hold
    connections to the members.
    """
    preceding = _preceding_hosts(group, host, registered)
    return len(preceding) * PUBLICATION_RANK_DELAY_S


def has_loss_quorum(
    reports: Iterable[ReachReport],
    registered: Mapping[str, str],
    zone: str,
    is_service_available: bool,
) -> bool:
    """Return whether a quorum of hosts, including this one, lost a member.

    Silent hosts in the member's zone may be partitioned together with the
    member. These hosts are not counted as voters if the platform's service
    is available, because the service decides which side of the partition
    acts. Without the service, only a majority of all hosts is safe: a
    minority side that acted would revert the majority's change of primary
    once the partition heals.

    Parameters
    ----------
    reports : Iterable[ReachReport]
        Reports of the hosts that answered.
    registered : Mapping[str, str]
        Availability zone of each registered host, including this host.
    zone : str
        Availability zone of the member.
    is_service_available : bool
        Whether the service is available, so that only one side can act.
    """
    answers = {r.host: r.is_reached for r in reports}
    lost_count = 1 + sum(
        1 for is_reached in answers.values() if not is_reached
    )
    voters = {
        h
        for h, z in registered.items()
        if z != zone or not is_service_available
    }
    return 2 * lost_count > max(len(voters | set(answers)), 1 + len(answers))


def can_choose_target(
    members: int,
    answering: int,
    reports: Iterable[ReachReport],
    registered: Mapping[str, str],
) -> bool:
    """Return whether this host may choose among the members that answer.

    A side of a partition that reaches only a minority of the members may
    not know of a change on the other side, unless every host is on this
    side.
    """
    if 2 * answering > members:
        return True
    return len({r.host for r in reports}) + 1 >= len(registered)
