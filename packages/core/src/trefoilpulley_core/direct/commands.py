"""Commands that a caller sends on its session."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Begin:
    """Open a transaction."""

    is_read_only: bool
    """Whether the transaction is declared read-only."""


@dataclass(frozen=True, slots=True)
class Commit:
    """Commit the open transaction."""

    request_id: str
    """Identifier that is forwarded to the member unchanged."""


@dataclass(frozen=True, slots=True)
class Rollback:
    """Roll the open transaction back."""


@dataclass(frozen=True, slots=True)
class Run:
    """Run one statement at a member."""

    request_id: str
    """Identifier that is forwarded to the member unchanged."""

    text: str
    """Statement, or the arguments of a prepared statement."""

    is_write: bool
    """Whether the statement writes."""

    prepared: str = ''
    """Name of the caller's prepared statement; empty for plain text."""


@dataclass(frozen=True, slots=True)
class SetValue:
    """Set a session variable."""

    name: str
    """Name of the variable."""

    value: str
    """Value of the variable."""


@dataclass(frozen=True, slots=True)
class Prepare:
    """Prepare a statement under a name that is local to the session."""

    name: str
    """Name that the caller chose."""

    shape: str
    """Shape of the statement."""

    is_write: bool
    """Whether the statement writes."""


@dataclass(frozen=True, slots=True)
class Deallocate:
    """Deallocate a prepared statement."""

    name: str
    """Name that the caller chose."""


@dataclass(frozen=True, slots=True)
class InvalidCommand:
    """A command that could not be decoded."""

    reason: str
    """Why the command could not be decoded."""


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
"""Any command that a caller sends."""
