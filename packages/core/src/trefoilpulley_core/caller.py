"""Messages between callers and entry hosts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from trefoilpulley_core.upstream import Parameter
from trefoilpulley_core.upstream import Row


@dataclass(frozen=True, slots=True)
class Hello:
    """First message on a caller's connection."""

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
    """Token of a new session without writes."""


@dataclass(frozen=True, slots=True)
class Execute:
    """Request to execute a statement, alone or inside a transaction."""

    request_id: str
    """Identifier, unique within the tenant and the same for retries."""

    work_class: str
    """Name of the class of work."""

    database: str
    """Name of the database."""

    sql: str
    """Text of the statement, passed on unparsed."""

    parameters: tuple[Parameter, ...] = ()
    """Positional parameters of the statement."""

    token: bytes = b''
    """Session token; empty where the caller has none."""

    transaction: str = ''
    """Identifier of the open transaction; empty outside a transaction."""


@dataclass(frozen=True, slots=True)
class Begin:
    """Request to begin a transaction."""

    work_class: str
    """Name of the class of work of the transaction's statements."""

    database: str
    """Name of the database."""

    token: bytes = b''
    """Session token; empty where the caller has none."""


@dataclass(frozen=True, slots=True)
class Begun:
    """Answer to `Begin`."""

    transaction: str
    """Identifier of the transaction, valid only on this connection."""


@dataclass(frozen=True, slots=True)
class Commit:
    """Request to commit a transaction."""

    transaction: str
    """Identifier of the transaction."""

    request_id: str
    """Identifier of the transaction's outcome, which `LookUp` repeats."""

    token: bytes = b''
    """Session token; empty where the caller has none."""


@dataclass(frozen=True, slots=True)
class Rollback:
    """Request to roll back a transaction."""

    transaction: str
    """Identifier of the transaction."""


@dataclass(frozen=True, slots=True)
class LookUp:
    """Request for the outcome of an earlier write or commit.

    If the earlier request has no outcome yet, it is abandoned and will
    never run.
    """

    request_id: str
    """Identifier of the earlier request."""

    work_class: str
    """Name of the class of work of the earlier request."""

    database: str
    """Name of the database of the earlier request."""

    token: bytes = b''
    """Session token; empty where the caller has none."""


@dataclass(frozen=True, slots=True)
class Answer:
    """Complete answer to a request that has run."""

    columns: tuple[str, ...] = ()
    """Column names."""

    rows: tuple[Row, ...] = ()
    """Rows of the result."""

    row_count: int = -1
    """Number of rows changed or returned; -1 where unknown."""

    token: bytes = b''
    """Session token for the caller's next request."""

    member: str = ''
    """Member that served the request."""

    age_ms: int = 0
    """Upper bound of the data's age, in milliseconds; 0 from a primary."""


@dataclass(frozen=True, slots=True)
class Done:
    """Answer to a request that returns no result."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """Failure of a request."""

    code: str
    """Code of the failure type in `trefoilpulley_core.failure`."""

    run_state: str
    """Whether the request has run, a value of ``RunState``."""

    is_repeatable: bool
    """Whether the same request may be sent again."""

    detail: str = ''
    """Human-readable description, not meant for programs."""


@dataclass(frozen=True, slots=True)
class GetState:
    """Request of an operator for a host's state dump."""

    operator_secret: str
    """Secret of the operators."""


@dataclass(frozen=True, slots=True)
class StateDump:
    """State dump of a host."""

    state: dict[str, Any]
    """Document described in docs/OPERATIONS.md."""
