"""Who changes a primary, when, and to which member."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpulley_core.rendezvous import rank_hosts

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from trefoilpulley_core.proxy.group_state import GroupState
    from trefoilpulley_core.proxy.upstream_session import LogStatus

RANK_DELAY_S = 0.04
"""Head start of each host over the next in rank, in seconds.

A claim in the platform's service takes a few milliseconds; a host that
loses the race sees the claim before its own turn.
"""

RANK_DELAY_NO_SERVICE_S = 0.6
"""The same while the service is out and no claim can be seen."""

VOTERS_PER_ZONE = 4
"""Hosts of each availability zone that vote on the loss of a primary.

Every host of a deployment of some ten hosts; in a larger one some of those
that hold connections to the group's members.
"""

FENCING_TOKENS_PER_ROUND = 1 << 20
"""Fencing tokens of one round; one a holder, told apart by its lease."""


@dataclass(frozen=True, slots=True)
class Claim:
    """Right to change the primary of a group, as the service keeps it."""

    holder: str
    """Name of the host that acts."""

    round: int
    """Number of the change; every change of target takes a new one."""

    target: str
    """Member that is to lead."""


@dataclass(frozen=True, slots=True)
class ReachQuestion:
    """Asks another host whether a member answers it."""

    group: str
    """Group of the member."""

    member: str
    """Identifier of the member."""


@dataclass(frozen=True, slots=True)
class LeaderNotice:
    """Tells another host which member leads now."""

    group: str
    """Group of the member."""

    member: str
    """Identifier of the member."""

    round: int = 0
    """Number of the change that made it lead."""


@dataclass(frozen=True, slots=True)
class ReachReport:
    """What another host says of a member."""

    host: str
    """Name of the host."""

    is_reached: bool
    """Whether the member answers that host."""


def fencing_token(round_number: int, holder_id: int) -> int:
    """Return the token of a holder in a round.

    Two holders never share a token, also where neither could see the
    other's claim.
    """
    return (
        round_number * FENCING_TOKENS_PER_ROUND
        + holder_id % FENCING_TOKENS_PER_ROUND
    )


def choose_voters(group: str, registered: Mapping[str, str]) -> dict[str, str]:
    """Return the hosts that vote on a group's primary, with their zones.

    Load pattern: a primary that is slow or lost is missed by every host
    at once. Were each of them to ask all others, and all to dial the
    member, a burst would look like a loss and the dials would make it
    one.

    Parameters
    ----------
    group : str
        Name of the group.
    registered : Mapping[str, str]
        Availability zone of each registered host.

    Returns
    -------
    dict[str, str]
        Availability zone of each juror, in the order in which they act.
    """
    zones: dict[str, list[str]] = {}
    for host, zone in registered.items():
        zones.setdefault(zone, []).append(host)
    jurors = [
        host
        for hosts in zones.values()
        for host in rank_hosts(group, sorted(hosts))[:VOTERS_PER_ZONE]
    ]
    ranked = rank_hosts(group, sorted(jurors))
    return {host: registered[host] for host in ranked}


def failover_delay_s(
    group: str, host: str, registered: Mapping[str, str], is_service_out: bool
) -> float:
    """Return how long a host gives those before it in rank.

    Jurors go first; the others only act where no juror does.
    """
    each_s = RANK_DELAY_NO_SERVICE_S if is_service_out else RANK_DELAY_S
    jury = list(choose_voters(group, registered))
    if host in jury:
        return jury.index(host) * each_s
    others = rank_hosts(group, sorted({*registered, host} - {*jury}))
    return (len(jury) + others.index(host)) * each_s


def has_loss_quorum(
    reports: Iterable[ReachReport],
    registered: Mapping[str, str],
    zone: str,
    is_claimed: bool,
) -> bool:
    """Return whether enough hosts, this one included, miss a member.

    Hosts of the member's zone that are silent may be cut off together
    with it and don't count, as long as the platform's service says which
    side acts. Without the service only a majority of all hosts is safe:
    a smaller side that acted would order the lead back after the cut.

    Parameters
    ----------
    reports : Iterable[ReachReport]
        What the hosts that answered say.
    registered : Mapping[str, str]
        Availability zone of each registered host, this one included.
    zone : str
        Availability zone of the member.
    is_claimed : bool
        Whether the service answers, so that only one side can act.
    """
    answers = {r.host: r.is_reached for r in reports}
    lost = 1 + sum(1 for is_reached in answers.values() if not is_reached)
    voters = {h for h, z in registered.items() if z != zone or not is_claimed}
    return 2 * lost > max(len(voters | set(answers)), 1 + len(answers))


def can_choose_target(
    members: int,
    answering: int,
    reports: Iterable[ReachReport],
    registered: Mapping[str, str],
) -> bool:
    """Return whether this side may choose among the members it sees.

    A side that reaches less than most members may have missed a change
    on the other side, unless every host is on this side.
    """
    if 2 * answering > members:
        return True
    return len({r.host for r in reports}) + 1 >= len(registered)


def has_every_commit(replicas: int, answering: int, synchronous: int) -> bool:
    """Return whether one of the answering replicas has every commit.

    Where a commit is acknowledged once ``synchronous`` replicas have
    received it, so many replicas less one may be missing; without, no
    replica is bound to have it and any may lead.

    Parameters
    ----------
    replicas : int
        Replicas of the group.
    answering : int
        Replicas whose log is known and held.
    synchronous : int
        Replicas that receive a commit before it is acknowledged.
    """
    return not synchronous or answering > replicas - synchronous


def choose_target(
    group: GroupState, statuses: Mapping[str, LogStatus]
) -> str | None:
    """Return the member to promote, or ``None`` where none answers.

    The log that goes furthest wins, since the records that the new
    primary lacks are lost; a member that stays goes before one that
    leaves among equals.
    """
    best = None
    for member, status in sorted(statuses.items()):
        health = group.members.get(member)
        if health is None:
            continue
        key = (status.received, not health.record.is_leaving)
        if best is None or key > best[0]:
            best = (key, member)
    return best[1] if best else None
