"""Variables and prepared statements of a session.

A session can move to another connection to a member. The session's variables
and prepared statements are then set up on the new connection.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from hashlib import sha256
from typing import TYPE_CHECKING
from urllib.parse import quote

from trefoilpulley_core.direct.upstream_session import AssignValue
from trefoilpulley_core.direct.upstream_session import PrepareShape
from trefoilpulley_core.direct.upstream_session import ResetSession

if TYPE_CHECKING:
    from trefoilpulley_core.direct.commands import Prepare
    from trefoilpulley_core.direct.upstream_session import Call

MAX_ALIASES = 256
"""Maximum number of prepared statements before a connection is reset."""

MAX_QUOTED_SHAPE_CHARS = 64
"""Maximum length of a quoted shape that is part of an alias."""


@dataclass
class SessionState:
    """Variables and prepared statements of a caller's session."""

    values: dict[str, str] = field(default_factory=dict)
    """Variables by name."""

    prepared: dict[str, Prepare] = field(default_factory=dict)
    """Prepared statements by the name that the caller chose."""


@dataclass
class ConnectionState:
    """Variables and prepared statements of a connection to a member."""

    values: dict[str, str] = field(default_factory=dict)
    """Variables by name."""

    aliases: set[str] = field(default_factory=set)
    """Names of the statements that are prepared on the connection."""

    def has_values_of(self, session: SessionState) -> bool:
        """Return whether the variables equal those of a session."""
        return self.values == session.values


def alias_of(statement: Prepare) -> str:
    """Return the name of a prepared statement on shared connections.

    The name depends on the statement's shape and on whether it writes, not
    on the name that the caller chose. Sessions that prepare the same
    statement therefore share the prepared statement.

    Statements that differ have different names. The name is one word of
    printable ASCII characters: a shape, which may be any text, is quoted, or
    replaced by its hash if it is long.
    """
    kind = 'w' if statement.is_write else 'r'
    shape = statement.shape
    if len(shape) <= MAX_QUOTED_SHAPE_CHARS:
        quoted = quote(shape, safe='')
        if len(quoted) <= MAX_QUOTED_SHAPE_CHARS:
            return f'{kind}.{quoted}'
    # Quoting a shape of 1 MB would hold up every caller of the host.
    return f'{kind}-{sha256(shape.encode()).hexdigest()}'


def plan_setup(
    conn: ConnectionState, session: SessionState, statement: Prepare | None
) -> tuple[Call, ...]:
    """Return the calls that prepare a connection for a session's statement.

    The connection's state is updated as if every call succeeded. The caller
    must close the connection if a call fails.

    Parameters
    ----------
    conn : ConnectionState
        State of the connection; updated in place.
    session : SessionState
        State of the caller's session.
    statement : Prepare | None
        Prepared statement that will be executed, if any.
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
