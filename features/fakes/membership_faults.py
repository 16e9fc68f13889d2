"""Memberships with one deliberately broken rule each."""

from __future__ import annotations

from typing import Any

from trefoilpulley_core.membership.membership import Membership
from trefoilpulley_core.membership.record import HostState


class NeverRefutes(Membership):
    """Host that does not refute a wrong record of itself."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._dissemination._refute = lambda record: None


class NoRingProbes(Membership):
    """Host that probes random hosts but not its successor on the ring."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._detector._probe_successor = lambda: None


class LeavesSilently(Membership):
    """Host that does not announce that it leaves."""

    def on_leave(self) -> None:
        """Announce nothing."""


class NoIndirectZoneProbes(Membership):
    """Host that declares a zone lost without indirect probes."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        zone_watch = self._zone_watch
        zone_watch._choose_indirect_probers = lambda subject: []


class NoVerification(Membership):
    """Host that accepts reports of dead hosts without verification."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._verifier.learn = self._dissemination.learn


class ListOverridesRecords(Membership):
    """Host that treats every listed host as live."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        table = self._table
        table._takes_work = lambda record: record.entry.name in table._listed

    def on_tick(self, now: float) -> None:
        """Handle a tick, then restore the dead hosts that are listed."""
        super().on_tick(now)
        for name, entry in self._table._listed.items():
            record = self._table.find_host(name)
            if record is not None and record.state is HostState.DEAD:
                self._table._remove(name)
                self.on_host_list(self._table._listed.values())


class PauseCountsAsFailure(Membership):
    """Host that counts probes that timed out during its own pause."""

    def _note_time(self, now: float) -> None:
        self._ticked_at = now


FAULTS: dict[str, type[Membership]] = {
    'never refutes': NeverRefutes,
    'no ring probes': NoRingProbes,
    'no word on leaving': LeavesSilently,
    'silence is a verdict': NoIndirectZoneProbes,
    'believes old deaths': NoVerification,
    'list before records': ListOverridesRecords,
    'pause is evidence': PauseCountsAsFailure,
}
"""Memberships by the name of their fault."""
