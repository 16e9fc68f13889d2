"""Messages between callers and an entry host."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from trefoilpulley_core.upstream import Parameter
from trefoilpulley_core.upstream import Row


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of a caller's connection."""

    tenant: str
    """Tenant that the caller belongs to."""

    secret: str
    """Secret of the tenant."""


@dataclass(frozen=True, slots=True)
class Welcome:
    """Answer to `Hello`."""

    host: str
    """Name of the entry host."""

    token: bytes
    """Token of a new session that has written nothing yet."""


@dataclass(frozen=True, slots=True)
class Execute:
    """One statement, on its own or inside a transaction."""

    request_id: str
    """Identifier, unique in the tenant; kept on a retry."""

    work_class: str
    """Class of work."""

    database: str
    """Database to use."""

    sql: str
    """Statement, passed through."""

    parameters: tuple[Parameter, ...] = ()
    """Positional parameters."""

    token: bytes = b''
    """Token of the session; empty where the caller has none."""

    transaction: str = ''
    """Identifier of the open transaction; empty for a single statement."""


@dataclass(frozen=True, slots=True)
class Begin:
    """Begins a transaction."""

    work_class: str
    """Class of work of every statement in it."""

    database: str
    """Database to use."""

    token: bytes = b''
    """Token of the session; empty where the caller has none."""


@dataclass(frozen=True, slots=True)
class Begun:
    """Answer to `Begin`."""

    transaction: str
    """Identifier of the transaction, valid on this connection."""


@dataclass(frozen=True, slots=True)
class Commit:
    """Commits a transaction."""

    transaction: str
    """Identifier of the transaction."""

    request_id: str
    """Identifier of the transaction's outcome; kept on a look-up."""

    token: bytes = b''
    """Token of the session; empty where the caller has none."""


@dataclass(frozen=True, slots=True)
class Rollback:
    """Rolls a transaction back."""

    transaction: str
    """Identifier of the transaction."""


@dataclass(frozen=True, slots=True)
class LookUp:
    """Asks for the outcome of an earlier write or commit.

    A request that has no outcome yet is abandoned: it will never run.
    """

    request_id: str
    """Identifier of the earlier request."""

    work_class: str
    """Class of work of the earlier request."""

    database: str
    """Database of the earlier request."""

    token: bytes = b''
    """Token of the session; empty where the caller has none."""


@dataclass(frozen=True, slots=True)
class Answer:
    """Whole answer to a request that has run."""

    columns: tuple[str, ...] = ()
    """Names of the columns."""

    rows: tuple[Row, ...] = ()
    """Rows."""

    row_count: int = -1
    """Rows changed or returned; -1 where unknown."""

    token: bytes = b''
    """Session token that the caller's next request carries."""

    member: str = ''
    """Member that served the request."""

    age_ms: int = 0
    """Greatest age of the data, in milliseconds; 0 from a primary."""


@dataclass(frozen=True, slots=True)
class Done:
    """Answer to a request without a result."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """Typed failure of a request."""

    code: str
    """Code of the failure in the catalogue."""

    run_state: str
    """Whether the request has run: see ``RunState``."""

    is_repeatable: bool
    """Whether the same request may be sent again."""

    detail: str = ''
    """Facts for a person."""


@dataclass(frozen=True, slots=True)
class GetState:
    """Asks a host for its state dump; for operators."""

    operator_secret: str
    """Secret of the operators."""


@dataclass(frozen=True, slots=True)
class StateDump:
    """State of a host."""

    state: dict[str, Any]
    """Document described in docs/OPERATIONS.md."""
