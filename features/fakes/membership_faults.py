"""Deliberate faults in the rules of membership."""

from __future__ import annotations

from typing import Any

from trefoilpulley_core.membership.membership import Membership
from trefoilpulley_core.membership.record import HostState


class NeverRefutes(Membership):
    """A host that lets a wrong verdict on itself stand."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._dissemination._refute = lambda record: None


class NoRingProbes(Membership):
    """A host that probes at random only."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._detector._probe_successor = lambda: None


class NoWordOnLeaving(Membership):
    """A host that leaves without a word."""

    def on_leave(self) -> None:
        """Say nothing."""


class SilenceIsVerdict(Membership):
    """A host that asks no helper before a verdict on a zone."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        watch = self._zone_watch
        watch._choose_indirect_probers = lambda subject: []


class BelievesOldDeaths(Membership):
    """A host that asks no accused."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._verifier.learn = self._dissemination.learn


class ListBeforeRecords(Membership):
    """A host that takes every listed host for live."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        table = self._table
        table._takes_work = lambda record: record.entry.name in table._listed

    def on_tick(self, now: float) -> None:
        """Read the list again before each tick."""
        super().on_tick(now)
        for name, entry in self._table._listed.items():
            record = self._table.find_host(name)
            if record is not None and record.state is HostState.DEAD:
                self._table._remove(name)
                self.on_host_list(self._table._listed.values())


class PauseIsEvidence(Membership):
    """A host that counts the answers it slept through as silence."""

    def _note_time(self, now: float) -> None:
        self._ticked_at = now


FAULTS: dict[str, type[Membership]] = {
    'never refutes': NeverRefutes,
    'no ring probes': NoRingProbes,
    'no word on leaving': NoWordOnLeaving,
    'silence is a verdict': SilenceIsVerdict,
    'believes old deaths': BelievesOldDeaths,
    'list before records': ListBeforeRecords,
    'pause is evidence': PauseIsEvidence,
}
"""Broken rules by name."""
