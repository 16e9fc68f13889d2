"""Values and prepared statements of a session, and their replay."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from trefoilpulley_core.proxy.upstream_session import AssignValue
from trefoilpulley_core.proxy.upstream_session import PrepareShape
from trefoilpulley_core.proxy.upstream_session import ResetSession

if TYPE_CHECKING:
    from trefoilpulley_core.proxy.commands import Prepare
    from trefoilpulley_core.proxy.upstream_session import Call

MAX_ALIASES = 256
"""Prepared statements kept on one connection before it is reset."""


@dataclass
class SessionState:
    """What a caller has set on its session."""

    values: dict[str, str] = field(default_factory=dict)
    """Values by name."""

    prepared: dict[str, Prepare] = field(default_factory=dict)
    """Prepared statements by the caller's name."""


@dataclass
class ConnectionState:
    """What is set on a connection to a member."""

    values: dict[str, str] = field(default_factory=dict)
    """Values by name."""

    aliases: set[str] = field(default_factory=set)
    """Prepared statements by their name on the connection."""

    def has_values_of(self, session: SessionState) -> bool:
        """Return whether no value has to change for a session."""
        return self.values == session.values


def alias_of(statement: Prepare) -> str:
    """Return the name of a statement on shared connections.

    Statements of one shape and kind share the name whatever their
    callers call them.
    """
    kind = 'w' if statement.is_write else 'r'
    return f'{kind}.{statement.shape}'


def plan_setup(
    conn: ConnectionState, session: SessionState, statement: Prepare | None
) -> tuple[Call, ...]:
    """Return what a connection needs before a session's statement.

    The connection's state is brought up to date as if every call
    succeeded; close the connection where one does not.

    Parameters
    ----------
    conn : ConnectionState
        State of the connection, changed in place.
    session : SessionState
        State of the caller's session.
    statement : Prepare | None
        Prepared statement that will run, if any.
    """
    calls: list[Call] = []
    if _must_reset(conn, session):
        calls.append(ResetSession())
        conn.values.clear()
        conn.aliases.clear()
    for name, value in session.values.items():
        if conn.values.get(name) != value:
            calls.append(AssignValue(name, value))
            conn.values[name] = value
    if statement is not None:
        alias = alias_of(statement)
        if alias not in conn.aliases:
            conn.aliases.add(alias)
            calls.append(
                PrepareShape(alias, statement.shape, statement.is_write)
            )
    return tuple(calls)


def _must_reset(conn: ConnectionState, session: SessionState) -> bool:
    if len(conn.aliases) >= MAX_ALIASES:
        return True
    return any(name not in session.values for name in conn.values)
