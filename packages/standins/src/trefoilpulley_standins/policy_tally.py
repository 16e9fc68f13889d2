"""Counts the outcomes of the requests of one simulation."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field


@dataclass(slots=True)
class ClassTally:
    """Request counts and times of one class of work or one tenant."""

    total: int = 0
    """Number of requests."""

    in_time: int = 0
    """Number of requests answered before their deadline."""

    refused: int = 0
    """Number of refused requests."""

    replica_answered: int = 0
    """Number of reads that a replica answered."""

    answered: int = 0
    """Number of answered requests, including late answers."""

    answer_times_s: list[float] = field(default_factory=list)
    """Time to each answer, in seconds."""

    refusal_times_s: list[float] = field(default_factory=list)
    """Time to each refusal, in seconds."""

    @property
    def in_time_share(self) -> float:
        """Share of the requests answered before their deadline."""
        return self.in_time / self.total if self.total else 1.0

    @property
    def replica_share(self) -> float:
        """Share of the answered reads that a replica answered."""
        return self.replica_answered / self.answered if self.answered else 0.0

    @property
    def refused_share(self) -> float:
        """Share of the requests that were refused."""
        return self.refused / self.total if self.total else 0.0

    @property
    def median_refusal_s(self) -> float:
        """Median time to a refusal, in seconds."""
        return _quantile(self.refusal_times_s, 0.5)

    @property
    def p99_answer_s(self) -> float:
        """99th percentile of the time to an answer, in seconds."""
        return _quantile(self.answer_times_s, 0.99)


def _quantile(times_s: list[float], share: float) -> float:
    if not times_s:
        return 0.0
    return sorted(times_s)[int(share * (len(times_s) - 1))]


class Tally:
    """Request counts by name: a class of work, a tenant or both."""

    def __init__(self) -> None:
        self._by_name: defaultdict[str, ClassTally] = defaultdict(ClassTally)

    def __getitem__(self, name: str) -> ClassTally:
        return self._by_name[name]

    def count_answer(
        self, name: str, elapsed_s: float, is_in_time: bool, is_replica: bool
    ) -> None:
        """Count an answered request."""
        tally = self._by_name[name]
        tally.answer_times_s.append(elapsed_s)
        tally.total += 1
        tally.answered += 1
        tally.in_time += is_in_time
        tally.replica_answered += is_replica

    def count_refusal(self, name: str, elapsed_s: float) -> None:
        """Count a refused request."""
        tally = self._by_name[name]
        tally.total += 1
        tally.refused += 1
        tally.refusal_times_s.append(elapsed_s)
