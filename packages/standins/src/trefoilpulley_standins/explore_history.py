"""History of the writes to a model database, with checks of invariants."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from trefoilpulley_core.position import Position
    from trefoilpulley_standins.explore_member import ModelMember


@dataclass(frozen=True, slots=True)
class AcknowledgedWrite:
    """Write that was acknowledged to a caller."""

    value: str
    """Content of the write."""

    term: int
    """Term of the primary that acknowledged the write."""

    time: float
    """Virtual time of the acknowledgement, in seconds."""


@dataclass(slots=True)
class WriteHistory:
    """Writes of the callers and their acknowledgements."""

    waiting: dict[str, Position] = field(default_factory=dict)
    """Positions of the writes that are not yet replicated, by content."""

    acknowledged: list[AcknowledgedWrite] = field(default_factory=list)
    """Acknowledged writes, in order of acknowledgement."""

    primaries: dict[int, set[str]] = field(default_factory=dict)
    """Members that acknowledged writes, by term."""

    def begin(self, value: str, position: Position) -> None:
        """Record a write that a primary has appended to its log."""
        self.waiting[value] = position

    def acknowledge(
        self, primary: ModelMember, copies: int, now: float
    ) -> None:
        """Acknowledge the primary's writes that have enough copies."""
        suffix = f'@{primary.name}'
        ready = [
            value
            for value, position in self.waiting.items()
            if position.term == primary.term
            and value.endswith(suffix)
            and primary.copy_count(position) >= copies
        ]
        for value in ready:
            del self.waiting[value]
            self.acknowledged.append(
                AcknowledgedWrite(value, primary.term, now)
            )
            names = self.primaries.setdefault(primary.term, set())
            names.add(primary.name)

    def faults(self, members: Iterable[ModelMember]) -> list[str]:
        """Return a description of each violated invariant."""
        return [
            *self._find_duplicate_primaries(),
            *self._find_late_acknowledgements(),
            *self._find_lost_writes(members),
        ]

    def longest_gap_s(self, after: float) -> float:
        """Return the longest time between two acknowledgements, in seconds.

        Parameters
        ----------
        after : float
            Virtual time from which acknowledgements count, in seconds.
        """
        times = [a.time for a in self.acknowledged if a.time >= after]
        pairs = zip(times, times[1:])
        return max((b - a for a, b in pairs), default=float('inf'))

    def _find_duplicate_primaries(self) -> list[str]:
        return [
            f'term {term} acknowledged by {sorted(names)}'
            for term, names in self.primaries.items()
            if len(names) > 1
        ]

    def _find_late_acknowledgements(self) -> list[str]:
        highest = 0
        late: list[str] = []
        for write in self.acknowledged:
            if write.term < highest:
                late.append(f'{write.value} acknowledged by an old primary')
            highest = max(highest, write.term)
        return late

    def _find_lost_writes(self, members: Iterable[ModelMember]) -> list[str]:
        leaders = [m for m in members if m.is_primary]
        leader = max(leaders, key=lambda m: m.term, default=None)
        if leader is None:
            return []
        held = {entry.value for entry in leader.log}
        return [
            f'{a.value} lost' for a in self.acknowledged if a.value not in held
        ]
