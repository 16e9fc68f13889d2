"""Replay of recorded membership traces on the virtual clock."""

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
    """Name of the event."""

    parties: tuple[str, ...]
    """Affected hosts or zones."""

    seconds: float = 0.0
    """Duration of a pause, in seconds."""


@dataclass(frozen=True, slots=True)
class Outcome:
    """Expected outcome of a trace at one time."""

    time: float
    """Virtual time in seconds."""

    at: str
    """Zone or host that must see the outcome; ``*`` for all running hosts."""

    outcome: str
    """``live``, ``not-live``, ``lost``, ``kept`` or ``never-accused``."""

    parties: tuple[str, ...]
    """Hosts or zones that the outcome is about."""


class MembershipReplay(TraceReplay):
    """Replays a membership trace.

    Parameters
    ----------
    make_membership : Callable[..., Membership]
        Creates the membership of a host.
    """

    def __init__(
        self, make_membership: Callable[..., Membership] = Membership
    ) -> None:
        fleet = Fleet(seed=5, make_membership=make_membership)
        super().__init__('membership', TraceEvent, Outcome, fleet)
        self._first_incarnations: dict[str, int] = {}
        self._listed: tuple[Any, ...] = ()
        self._seeds: tuple[str, ...] = ()

    def holds(self, outcome: Outcome) -> bool:
        """Return whether every observer sees the outcome."""
        check = self._was_never_accused
        if outcome.outcome != 'never-accused':
            check = _sees
        return all(check(h, outcome) for h in self._observers(outcome.at))

    def _was_never_accused(self, host: FleetHost, outcome: Outcome) -> bool:
        return not any(self._was_accused(host, p) for p in outcome.parties)

    def _was_accused(self, host: FleetHost, party: str) -> bool:
        # A host that refutes a report increments its incarnation. A zone
        # has a record only once it was reported lost.
        record = host.membership.find_host(party)
        if record is not None:
            return record.incarnation != self._first_incarnations[party]
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
            self._first_incarnations[name] = host.membership.own.incarnation

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
        is_expected = outcome.outcome == 'live'
        return all((p in host.live) is is_expected for p in outcome.parties)
    is_expected = outcome.outcome == 'lost'
    zones = {z.zone: z for z in host.membership.live_hosts.zones}
    return all(zones[p].is_lost is is_expected for p in outcome.parties)


def _zone_of(host: str) -> str:
    return host.rsplit('-', 1)[0]


def _region_of(host: str) -> str:
    return host.split('-', maxsplit=1)[0]
