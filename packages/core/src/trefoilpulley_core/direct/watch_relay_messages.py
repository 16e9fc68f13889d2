"""Messages in which hosts pass on the changes of the platform's service."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from trefoilpulley_core.platform import KeyValue


class ChangesStatus(StrEnum):
    """What an answer tells about the relay's history."""

    OK = 'ok'
    """The answer holds every change from the question to its revision."""

    EXPIRED = 'expired'
    """The history does not reach back, or is of a newer era."""

    NOT_FOLLOWING = 'not-following'
    """The host does not follow the service in the era of the question."""


@dataclass(frozen=True, slots=True)
class ChangesQuestion:
    """Request for the changes after a revision."""

    era: int
    """Era of the revision."""

    revision: int
    """Revision up to which the asking host knows every change."""

    wait_ms: int
    """Longest time to wait for a change, in milliseconds."""


@dataclass(frozen=True, slots=True)
class ChangesAnswer:
    """Changes that the answering host's own watch has reported."""

    era: int
    """Era of the relay's watch."""

    revision: int
    """Revision up to which the relay's watch has come, and the entries."""

    status: ChangesStatus = ChangesStatus.OK
    """Whether the entries are complete."""

    entries: tuple[KeyValue, ...] = ()
    """Changes in the order of their revisions; empty value for removed."""

    age_ms: int = 0
    """Time since the service has answered the relay, in milliseconds."""
