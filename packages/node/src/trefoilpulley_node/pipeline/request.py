"""Request as it passes through the filters."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.caller import Begin
    from trefoilpulley_core.caller import Commit
    from trefoilpulley_core.caller import Execute
    from trefoilpulley_core.caller import LookUp
    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.declarations import WorkClass
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.position import Position
    from trefoilpulley_core.token import SessionToken
    from trefoilpulley_core.upstream import OutcomeKey
    from trefoilpulley_core.upstream import StatementResult


@dataclass(frozen=True, slots=True)
class Delivered:
    """Result of a request and the member that gave it."""

    result: StatementResult
    """Whole result."""

    member: str
    """Member that served the request."""

    age_ms: int
    """Greatest age of the data, in milliseconds."""


@dataclass(frozen=True, slots=True)
class PipelineRequest:
    """Request of an authenticated caller; each filter adds to it."""

    tenant: str
    """Tenant of the caller."""

    message: Execute | Begin | Commit | LookUp
    """Message as it came."""

    arrived_at: float
    """Monotonic time of arrival, in seconds."""

    work_class: WorkClass | None = None
    """Class of work; set by ``Classify``."""

    database: DatabaseEntry | None = None
    """Database; set by ``Classify``."""

    deadline: float = 0.0
    """Monotonic time at which the answer is due; set by ``Classify``."""

    token: SessionToken | None = None
    """Session of the caller; set by ``SessionFloor``."""

    floor: Position | None = None
    """Floor, ``None`` where unknown; set by ``SessionFloor``."""

    key: OutcomeKey | None = None
    """Key of a write's outcome; set by ``Admit``."""

    delivered: Delivered | None = None
    """Result; set by ``Execute`` or ``Confirm``."""

    @property
    def copies(self) -> int:
        """Members that must hold a write before its answer.

        Never less than a majority, whatever the size of the group, so
        that a primary cut off with a minority acknowledges nothing.
        """
        return max(self.work_class.safety.copies, self.database.majority)


class Filter(abc.ABC):
    """One step of the request pipeline."""

    @abc.abstractmethod
    def apply(self, req: PipelineRequest) -> Result[PipelineRequest, Failure]:
        """Return the request with what this step adds, or a failure."""
