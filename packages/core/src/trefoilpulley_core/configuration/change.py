"""Compare-and-swap changes of the declarations."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.configuration.document import decode_configuration
from trefoilpulley_core.configuration.document import encode_configuration
from trefoilpulley_core.declarations import Configuration
from trefoilpulley_core.declarations import Declarations
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import RunState
from trefoilpulley_core.keys import CONFIGURATION_KEY
from trefoilpulley_core.platform import PlatformAnswerLost
from trefoilpulley_core.platform import RevisionConflict

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.platform import Platform

MAX_ATTEMPTS = 5
"""Maximum number of attempts before a change's outcome is left open."""

RETRY_INTERVAL_S = 0.5
"""Time between two attempts, in seconds."""

MAX_RECENT_CHANGES = 32
"""Number of earlier changes whose identifiers the document keeps."""

MAX_VALUE_BYTES = 1_000_000
"""Maximum size of a value that the service stores, in bytes."""


@dataclass(frozen=True, slots=True)
class AppliedChange:
    """The change is in force, or was in force until a later change."""

    revision: int
    """Revision that the change created."""


@dataclass(frozen=True, slots=True)
class ChangeNotApplied(Failure):
    """The change is not in force and will not come into force."""

    code = 'change-not-applied'
    run_state = RunState.NOT_RUN
    is_repeatable = True


@dataclass(frozen=True, slots=True)
class ChangeConflict(ChangeNotApplied):
    """Another change was stored first; this change is not in force."""

    code = 'change-conflict'
    is_repeatable = False


@dataclass(frozen=True, slots=True)
class ChangeUnknown(Failure):
    """The change may be in force; resubmit it with the same identifier."""

    code = 'change-unknown'
    is_repeatable = True


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """Configuration as read from the service."""

    configuration: Configuration
    """Stored configuration; of revision 0 if none is stored yet."""

    mod_revision: int
    """Revision of the key in the service; 0 if the key does not exist."""


def read_configuration(
    platform: Platform,
) -> Result[StoredConfiguration, Failure]:
    """Return the configuration that the service stores."""
    fetched = platform.get(CONFIGURATION_KEY)
    if not isinstance(fetched, Success):
        return fetched
    entry = fetched.unwrap()
    if entry is None:
        empty = Configuration(0, '', Declarations())
        return Success(StoredConfiguration(empty, 0))
    decoded = decode_configuration(entry.value)
    return decoded.map(lambda c: StoredConfiguration(c, entry.mod_revision))


def submit_change(
    platform: Platform,
    declarations: Declarations,
    change_id: str,
    expected_revision: int | None = None,
    pause: Callable[[float], None] = lambda duration_s: None,
) -> Result[AppliedChange, Failure]:
    """Put declarations in force, at most once per change identifier.

    After a lost answer, the compare-and-swap is repeated on the current
    configuration. The repetition either takes effect or shows which change
    took effect. A delayed first request cannot take effect afterwards,
    because its expected revision is outdated.

    Parameters
    ----------
    platform : Platform
        The platform's service.
    declarations : Declarations
        Checked declarations.
    change_id : str
        Identifier of the change; the same if the change is resubmitted.
    expected_revision : int, optional
        Revision that the change must replace; by default, any revision.
    pause : Callable[[float], None]
        Sleeps for a number of seconds between two attempts.

    Returns
    -------
    Result[AppliedChange, Failure]
        `AppliedChange`, or `ChangeNotApplied`, `ChangeConflict` or
        `ChangeUnknown`.
    """
    change = _Change(platform, declarations, change_id, expected_revision)
    for _ in range(MAX_ATTEMPTS):
        outcome = change.attempt()
        if outcome is not None:
            return outcome
        pause(RETRY_INTERVAL_S)
    return change.final_outcome()


class _Change:
    def __init__(
        self,
        platform: Platform,
        declarations: Declarations,
        change_id: str,
        expected_revision: int | None,
    ) -> None:
        self._platform = platform
        self._declarations = declarations
        self._change_id = change_id
        self._expected_revision = expected_revision
        self._unconfirmed_base: StoredConfiguration | None = None

    def attempt(self) -> Result[AppliedChange, Failure] | None:
        """Return the outcome, or ``None`` if another attempt is needed."""
        fetched = read_configuration(self._platform)
        if not isinstance(fetched, Success):
            return self._on_failure(fetched.failure())
        stored = fetched.unwrap()
        revision = _find_change(stored.configuration, self._change_id)
        if revision is not None:
            return Success(AppliedChange(revision))
        if self._is_history_truncated(stored):
            return Failed(
                ChangeUnknown(
                    'too many later changes to determine the outcome'
                )
            )
        if self._is_conflict(stored):
            return Failed(
                ChangeConflict(_describe_revision(stored.configuration))
            )
        return self._write(stored)

    def final_outcome(self) -> Result[AppliedChange, Failure]:
        """Return the outcome after the last attempt."""
        if self._unconfirmed_base is None:
            return Failed(
                ChangeNotApplied(
                    'every attempt conflicted with another change'
                )
            )
        return Failed(ChangeUnknown('answers from the service were lost'))

    def _on_failure(
        self, failure: Failure
    ) -> Result[AppliedChange, Failure] | None:
        if self._unconfirmed_base is None:
            return Failed(ChangeNotApplied(f'{failure.code} {failure.detail}'))
        return None

    def _is_history_truncated(self, stored: StoredConfiguration) -> bool:
        if self._unconfirmed_base is None:
            return False
        first = self._unconfirmed_base.configuration.revision
        return stored.configuration.revision - first > MAX_RECENT_CHANGES

    def _is_conflict(self, stored: StoredConfiguration) -> bool:
        if self._expected_revision is None:
            return False
        return stored.configuration.revision != self._expected_revision

    def _write(
        self, stored: StoredConfiguration
    ) -> Result[AppliedChange, Failure] | None:
        successor = self._make_successor(stored.configuration)
        value = encode_configuration(successor)
        if len(value) > MAX_VALUE_BYTES:
            return Failed(ChangeNotApplied('document is too large'))
        written = self._platform.compare_and_swap(
            CONFIGURATION_KEY, stored.mod_revision, value
        )
        if isinstance(written, Success):
            return Success(AppliedChange(successor.revision))
        return self._on_not_written(written.failure(), stored)

    def _on_not_written(
        self, failure: Failure, stored: StoredConfiguration
    ) -> Result[AppliedChange, Failure] | None:
        if isinstance(failure, PlatformAnswerLost):
            self._unconfirmed_base = self._unconfirmed_base or stored
            return None
        if isinstance(failure, RevisionConflict):
            return None
        return self._on_failure(failure)

    def _make_successor(self, current: Configuration) -> Configuration:
        earlier = (current.change_id, *current.recent_changes)
        return Configuration(
            current.revision + 1,
            self._change_id,
            self._declarations,
            earlier[:MAX_RECENT_CHANGES],
        )


def _find_change(configuration: Configuration, change_id: str) -> int | None:
    change_ids = (configuration.change_id, *configuration.recent_changes)
    if change_id not in change_ids:
        return None
    return configuration.revision - change_ids.index(change_id)


def _describe_revision(configuration: Configuration) -> str:
    return (
        f'revision is {configuration.revision}, '
        f'by change {configuration.change_id}'
    )
