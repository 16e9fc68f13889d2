"""Generated schedules of faults in a small fleet."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from hypothesis import strategies

from trefoilpulley_core.membership.membership import Membership
from trefoilpulley_core.membership.record import HostState
from trefoilpulley_standins.membership_fleet import Fleet
from trefoilpulley_standins.membership_fleet import make_entries

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from hypothesis.strategies import SearchStrategy

ZONES = 3
"""Number of zones of the fleet."""

HOSTS = 3
"""Number of hosts in each zone."""

CONVERGENCE_TIMEOUT_S = 20.0
"""Time in which the hosts must converge after the last fault, in seconds."""


class FaultKind(StrEnum):
    """Kinds of faults."""

    STOP = 'stop'
    RESTART = 'restart'
    PAUSE = 'pause'
    LEAVE = 'leave'
    CUT_ZONES = 'cut-zones'
    CUT_HOSTS = 'cut-hosts'
    LOSE_ZONE = 'lose-zone'


@dataclass(frozen=True, slots=True)
class TimedFault:
    """One fault of a schedule."""

    wait_s: float
    """Time since the previous fault, in seconds."""

    kind: StrEnum
    """Kind of the fault."""

    zone: int
    """Number of the affected zone."""

    host: int
    """Number of the affected host within the zone."""


def make_schedules(
    kinds: Sequence[StrEnum], count: int
) -> SearchStrategy[list[TimedFault]]:
    """Return a strategy for schedules of ``count`` faults."""
    fault = strategies.builds(
        TimedFault,
        strategies.sampled_from((0.0, 0.15, 0.5, 1.3, 4.0)),
        strategies.sampled_from(kinds),
        strategies.integers(0, ZONES - 1),
        strategies.integers(0, HOSTS - 1),
    )
    return strategies.lists(fault, min_size=count, max_size=count)


class MembershipSchedule:
    """Runs one schedule and checks the invariants of membership.

    Parameters
    ----------
    seed : int
        Seed of the fleet.
    make_membership : Callable[..., Membership]
        Creates the membership of a host.
    """

    def __init__(
        self,
        seed: int,
        make_membership: Callable[..., Membership] = Membership,
    ) -> None:
        self._fleet = self._make_fleet(seed, make_membership)
        self._entries = make_entries(ZONES, HOSTS)
        self._incarnations: dict[str, int] = {}

    def _make_fleet(
        self, seed: int, make_membership: Callable[..., Membership]
    ) -> Fleet:
        return Fleet(seed, make_membership=make_membership)

    def run(self, faults: Sequence[TimedFault]) -> None:
        """Run the faults, heal the links and check that the hosts agree."""
        for entry in self._entries:
            self._start(entry.name, entry.zone)
        self._run(5.0)
        for fault in faults:
            self._run(fault.wait_s)
            name = f'z{fault.zone}-h{fault.host}'
            getattr(self, f'_{fault.kind.replace("-", "_")}')(name)
        self._run(5.0)
        self._heal()
        self._run(CONVERGENCE_TIMEOUT_S)
        self._check_agreement()

    def _heal(self) -> None:
        self._fleet.heal()

    def _start(self, name: str, zone: str) -> None:
        self._incarnations.pop(name, None)
        self._fleet.add(name, zone, 'r0', self._entries)

    def _run(self, duration_s: float) -> None:
        end = self._fleet.now + duration_s
        while self._fleet.now < end:
            self._fleet.run(min(0.5, end - self._fleet.now))
            self._check_invariants()

    def _check_invariants(self) -> None:
        for name, host in self._fleet.hosts.items():
            own = host.membership.own
            assert own.state is not HostState.DEAD, name
            assert own.incarnation >= self._incarnations.get(name, 0), name
            self._incarnations[name] = own.incarnation
            record = host.membership.find_host(name)
            assert record == own, name

    def _check_agreement(self) -> None:
        expected = {
            name
            for name, host in self._fleet.hosts.items()
            if host.is_up and host.membership.own.state is HostState.ALIVE
        }
        for name, host in self._fleet.hosts.items():
            if host.is_up and host.live != expected:
                self._check_leaving_zones(name, host.live, expected)

    def _check_leaving_zones(
        self, name: str, live: frozenset[str], expected: set[str]
    ) -> None:
        # Leaving hosts stay in the view of the live hosts while their zone
        # has no other live host.
        leaving = {
            other
            for other, host in self._fleet.hosts.items()
            if host.is_up
            and host.membership.own.state is HostState.LEAVING
            and not any(e.startswith(other[:2]) for e in expected)
        }
        assert live == expected | leaving, (name, live ^ expected)

    def _stop(self, name: str) -> None:
        self._fleet.stop(name)

    def _restart(self, name: str) -> None:
        self._fleet.stop(name)
        self._run(0.5)
        self._start(name, name.split('-')[0])

    def _pause(self, name: str) -> None:
        self._fleet.pause(name, 3.0)

    def _leave(self, name: str) -> None:
        host = self._fleet.hosts[name]
        if host.is_up:
            self._fleet.run_action(host, host.membership.on_leave)

    def _cut_zones(self, name: str) -> None:
        zone = name.split('-')[0]
        for number in range(ZONES):
            if zone != f'z{number}':
                self._fleet.cut_link(zone, f'z{number}')

    def _cut_hosts(self, name: str) -> None:
        for entry in self._entries:
            if entry.name != name:
                self._fleet.cut_link(name, entry.name)

    def _lose_zone(self, name: str) -> None:
        zone = name.split('-')[0]
        for number in range(HOSTS):
            self._fleet.stop(f'{zone}-h{number}')
