"""Commands of a caller on its session."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Begin:
    """Open a transaction."""

    is_read_only: bool
    """Whether the transaction promises not to write."""


@dataclass(frozen=True, slots=True)
class Commit:
    """Commit the open transaction."""

    request_id: str
    """Identifier that the member must see unchanged."""


@dataclass(frozen=True, slots=True)
class Rollback:
    """Roll the open transaction back."""


@dataclass(frozen=True, slots=True)
class Run:
    """Run one statement at a member."""

    request_id: str
    """Identifier that the member must see unchanged."""

    text: str
    """Statement, or the arguments of a prepared one."""

    is_write: bool
    """Whether the statement writes."""

    prepared: str = ''
    """Name of the caller's prepared statement, empty for plain text."""


@dataclass(frozen=True, slots=True)
class SetValue:
    """Set a value of the session."""

    name: str
    """Name of the value."""

    value: str
    """Value."""


@dataclass(frozen=True, slots=True)
class Prepare:
    """Prepare a statement under a name of the session."""

    name: str
    """Name that the caller chose."""

    shape: str
    """Shape of the statement."""

    is_write: bool
    """Whether the statement writes."""


@dataclass(frozen=True, slots=True)
class Deallocate:
    """Forget a prepared statement."""

    name: str
    """Name that the caller chose."""


@dataclass(frozen=True, slots=True)
class InvalidCommand:
    """A command that can't be understood."""

    reason: str
    """What is wrong with it."""


Command = (
    Begin
    | Commit
    | Rollback
    | Run
    | SetValue
    | Prepare
    | Deallocate
    | InvalidCommand
)
"""Any command of a caller."""
