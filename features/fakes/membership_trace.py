"""Recorded traces of membership, replayed on the virtual clock."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import Any
from typing import TYPE_CHECKING

from features.fakes.trace_replay import TraceReplay
from trefoilpulley_core.catalog import Presence
from trefoilpulley_core.membership.membership import Membership
from trefoilpulley_standins.membership_fleet import Fleet
from trefoilpulley_standins.membership_fleet import make_entry

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from trefoilpulley_standins.membership_fleet import FleetHost


@dataclass(frozen=True, slots=True)
class TraceEvent:
    """One line of a trace."""

    time: float
    """Virtual time in seconds."""

    event: str
    """What happens."""

    parties: tuple[str, ...]
    """Hosts or zones to which it happens."""

    seconds: float = 0.0
    """How long a pause lasts."""


@dataclass(frozen=True, slots=True)
class Outcome:
    """One line of the outcomes stated beside a trace."""

    time: float
    """Virtual time in seconds."""

    at: str
    """Zone or host that must see it; ``*`` for every running host."""

    outcome: str
    """``live``, ``not-live``, ``lost``, ``kept`` or ``never-accused``."""

    parties: tuple[str, ...]
    """Hosts or zones."""


class MembershipReplay(TraceReplay):
    """Replays a trace of membership.

    Parameters
    ----------
    make_membership : Callable[..., Membership]
        Makes the decisions of a host.
    """

    def __init__(
        self, make_membership: Callable[..., Membership] = Membership
    ) -> None:
        fleet = Fleet(seed=5, make_membership=make_membership)
        super().__init__('membership', TraceEvent, Outcome, fleet)
        self._started: dict[str, int] = {}
        self._listed: tuple[Any, ...] = ()
        self._seeds: tuple[str, ...] = ()

    def holds(self, outcome: Outcome) -> bool:
        """Return whether every observer sees what is stated."""
        check = self._was_spared
        if outcome.outcome != 'never-accused':
            check = _sees
        return all(check(h, outcome) for h in self._observers(outcome.at))

    def _was_spared(self, host: FleetHost, outcome: Outcome) -> bool:
        return not any(self._was_accused(host, p) for p in outcome.parties)

    def _was_accused(self, host: FleetHost, party: str) -> bool:
        # A refutation raises what a host or a zone began with.
        record = host.membership.find_host(party)
        if record is not None:
            return record.incarnation != self._started[party]
        zones = host.membership.records().zones
        return any(z.zone == party for z in zones)

    def _observers(self, at: str) -> Iterable[FleetHost]:
        for host in self.fleet.hosts.values():
            if not host.is_up or host.paused_until > self.fleet.now:
                continue
            if at in ('*', host.entry.zone, host.entry.name):
                yield host

    def _on_list(self, step: TraceEvent) -> None:
        self._listed = tuple(
            make_entry(name, _zone_of(name), _region_of(name))
            for name in step.parties
        )

    def _on_seeds(self, step: TraceEvent) -> None:
        self._seeds = step.parties

    def _on_list_leaving(self, step: TraceEvent) -> None:
        entries = tuple(
            replace(e, presence=Presence.LEAVING)
            if e.name in step.parties
            else e
            for e in self._listed
        )
        for host in self._observers('*'):
            self.fleet.run_action(
                host, lambda h=host: h.membership.on_host_list(entries)
            )

    def _on_start(self, step: TraceEvent) -> None:
        for name in step.parties:
            host = self.fleet.add(
                name,
                _zone_of(name),
                _region_of(name),
                self._listed,
                self._seeds,
            )
            self._started[name] = host.membership.own.incarnation

    def _on_stop(self, step: TraceEvent) -> None:
        for name in step.parties:
            self.fleet.stop(name)

    def _on_pause(self, step: TraceEvent) -> None:
        for name in step.parties:
            self.fleet.pause(name, step.seconds)

    def _on_leave(self, step: TraceEvent) -> None:
        for name in step.parties:
            host = self.fleet.hosts[name]
            self.fleet.run_action(host, host.membership.on_leave)

    def _on_cut(self, step: TraceEvent) -> None:
        one, *others = step.parties
        for other in others:
            self.fleet.cut_link(one, other)

    def _on_heal(self, step: TraceEvent) -> None:
        self.fleet.heal()


def _sees(host: FleetHost, outcome: Outcome) -> bool:
    if outcome.outcome in ('live', 'not-live'):
        wanted = outcome.outcome == 'live'
        return all((p in host.live) is wanted for p in outcome.parties)
    wanted = outcome.outcome == 'lost'
    zones = {z.zone: z for z in host.membership.live_hosts.zones}
    return all(zones[p].is_lost is wanted for p in outcome.parties)


def _zone_of(host: str) -> str:
    return host.rsplit('-', 1)[0]


def _region_of(host: str) -> str:
    return host.split('-', maxsplit=1)[0]
