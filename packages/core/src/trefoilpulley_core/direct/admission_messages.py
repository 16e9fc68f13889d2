"""Messages in which hosts count the operations of a customer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AdmissionQuestion:
    """Request to admit operations of a customer."""

    customer: str
    """Name of the customer."""

    count: int
    """Operations to admit; 0 to find out whether the owner answers."""

    returned: int = 0
    """Operations admitted earlier that have not run and will not run."""


@dataclass(frozen=True, slots=True)
class AdmissionAnswer:
    """Operations that the owner of the customer's limit admits."""

    granted: int = 0
    """Operations that are admitted."""

    retry_ms: int = 0
    """Time until the next operation may be admitted, in milliseconds."""

    is_owner: bool = True
    """Whether the answering host counts the operations of the customer."""
