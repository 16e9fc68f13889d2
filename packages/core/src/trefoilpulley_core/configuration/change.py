"""Changes of the declarations by compare-and-swap."""

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
"""Calls that are made before a change is left unknown."""

RETRY_INTERVAL_S = 0.5
"""Pause before a lost answer is looked up, in seconds."""

MAX_RECENT_CHANGES = 32
"""Earlier changes whose identifiers stay in the document."""

MAX_VALUE_BYTES = 1_000_000
"""Greatest value that the service holds, in bytes."""


@dataclass(frozen=True, slots=True)
class AppliedChange:
    """The change is in force, or was until a later one."""

    revision: int
    """Revision of the change."""


@dataclass(frozen=True, slots=True)
class ChangeNotApplied(Failure):
    """The change is not in force and will not be."""

    code = 'change-not-applied'
    run_state = RunState.NOT_RUN
    is_repeatable = True


@dataclass(frozen=True, slots=True)
class ChangeConflict(ChangeNotApplied):
    """Another change came first; this one is not in force."""

    code = 'change-conflict'
    is_repeatable = False


@dataclass(frozen=True, slots=True)
class ChangeUnknown(Failure):
    """The change may be in force; submit it again under the same id."""

    code = 'change-unknown'
    is_repeatable = True


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """Configuration as read from the service."""

    configuration: Configuration
    """Document, of revision 0 where there is none yet."""

    mod_revision: int
    """Revision of the key."""


def read_configuration(
    platform: Platform,
) -> Result[StoredConfiguration, Failure]:
    """Return the configuration that the service holds."""
    found = platform.get(CONFIGURATION_KEY)
    if not isinstance(found, Success):
        return found
    entry = found.unwrap()
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
    """Put declarations in force, at most once for each change id.

    A lost answer is resolved by the same compare-and-swap again: it
    either takes effect or shows what did, and a late copy of the first
    can have no effect after it.

    Parameters
    ----------
    platform : Platform
        The platform's service.
    declarations : Declarations
        Checked declarations.
    change_id : str
        Identifier of the change; kept when the change is submitted
        again.
    expected_revision : int, optional
        Revision that the change must replace; any where left out.
    pause : Callable[[float], None]
        Waits for some seconds before a lost answer is looked up.

    Returns
    -------
    Result[Applied, Failure]
        `Applied`, or `ChangeNotApplied`, `ChangeConflict` or
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
        """Return the outcome, or ``None`` where it is open."""
        found = read_configuration(self._platform)
        if not isinstance(found, Success):
            return self._on_failure(found.failure())
        stored = found.unwrap()
        revision = _find_change(stored.configuration, self._change_id)
        if revision is not None:
            return Success(AppliedChange(revision))
        if self._is_history_truncated(stored):
            return Failed(ChangeUnknown('too many changes came after'))
        if self._is_conflict(stored):
            return Failed(
                ChangeConflict(_describe_revision(stored.configuration))
            )
        return self._write(stored)

    def final_outcome(self) -> Result[AppliedChange, Failure]:
        """Return the outcome after the last attempt."""
        if self._unconfirmed_base is None:
            return Failed(ChangeNotApplied('other changes kept coming first'))
        return Failed(ChangeUnknown('answers of the service were lost'))

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
    known = (configuration.change_id, *configuration.recent_changes)
    if change_id not in known:
        return None
    return configuration.revision - known.index(change_id)


def _describe_revision(configuration: Configuration) -> str:
    return (
        f'revision is {configuration.revision}, '
        f'by change {configuration.change_id}'
    )
