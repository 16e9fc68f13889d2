"""Request that the pipeline processes, and the filter interface."""

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
class DeliveredResult:
    """Result of a request and the member that served it."""

    result: StatementResult
    """Result of the statement."""

    member: str
    """Member that served the request."""

    age_ms: int
    """Highest possible age of the data, in milliseconds."""


@dataclass(frozen=True, slots=True)
class PipelineRequest:
    """Request of an authenticated caller, extended by each filter."""

    tenant: str
    """Tenant of the caller."""

    message: Execute | Begin | Commit | LookUp
    """Message of the caller."""

    arrived_at: float
    """Monotonic time of arrival, in seconds."""

    work_class: WorkClass | None = None
    """Class of work; set by `ClassificationFilter`."""

    database: DatabaseEntry | None = None
    """Database; set by `ClassificationFilter`."""

    deadline: float = 0.0
    """Monotonic time in seconds at which the answer is due.

    The time is set by `ClassificationFilter`.
    """

    token: SessionToken | None = None
    """Session token of the caller; set by `SessionFloorFilter`."""

    floor: Position | None = None
    """Floor of the database, if known; set by `SessionFloorFilter`."""

    key: OutcomeKey | None = None
    """Key of the write's outcome; set by `AdmissionFilter`."""

    delivered: DeliveredResult | None = None
    """Result of the request; set by `DeliveryFilter` or by a commit."""

    @property
    def copies(self) -> int:
        """Number of members that must hold a write before the answer.

        At least a majority of the group, so that a primary that is cut
        off with a minority of the members acknowledges no write.
        """
        return max(self.work_class.safety.copies, self.database.majority)


class Filter(abc.ABC):
    """One filter of the request pipeline."""

    @abc.abstractmethod
    def apply(self, req: PipelineRequest) -> Result[PipelineRequest, Failure]:
        """Return the request with the fields that the filter adds."""
