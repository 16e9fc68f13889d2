"""Failure types that are reported to callers, operators and other hosts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
import sys
from typing import ClassVar


class RunState(StrEnum):
    """States of execution of a failed request at an upstream."""

    NOT_RUN = 'not-run'
    """The request has not run and will not run."""

    RUN = 'run'
    """The request has run."""

    UNKNOWN = 'unknown'
    """The request may or may not have run."""


@dataclass(frozen=True, slots=True)
class Failure:
    """Base of all failure types."""

    detail: str = ''
    """Human-readable description; programs must use only the type."""

    code: ClassVar[str] = 'failure'
    """Stable code of the type."""

    run_state: ClassVar[RunState] = RunState.UNKNOWN
    """Whether the request has run."""

    is_repeatable: ClassVar[bool] = False
    """Whether the caller may send the same request again unchanged."""


@dataclass(frozen=True, slots=True)
class MalformedMessage(Failure):
    """The message is not valid CBOR of a known shape."""

    code: ClassVar[str] = 'malformed-message'
    run_state: ClassVar[RunState] = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class MessageTooLarge(Failure):
    """The message is over the size limit."""

    code: ClassVar[str] = 'message-too-large'
    run_state: ClassVar[RunState] = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class NotAuthenticated(Failure):
    """The caller's credentials are missing or wrong."""

    code: ClassVar[str] = 'not-authenticated'
    run_state: ClassVar[RunState] = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class NotAuthorized(Failure):
    """The tenant may not use the ledger or the class of work."""

    code: ClassVar[str] = 'not-authorized'
    run_state: ClassVar[RunState] = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class UnknownClass(Failure):
    """No class of work has the requested name."""

    code: ClassVar[str] = 'unknown-class'
    run_state: ClassVar[RunState] = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class UnknownDatabase(Failure):
    """No database has the requested name."""

    code: ClassVar[str] = 'unknown-database'
    run_state: ClassVar[RunState] = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class InvalidToken(Failure):
    """The session token is forged, altered, foreign or too old."""

    code: ClassVar[str] = 'invalid-token'
    run_state: ClassVar[RunState] = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class RequestIdReused(Failure):
    """The request id was used before with other content."""

    code: ClassVar[str] = 'request-id-reused'
    run_state: ClassVar[RunState] = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class NotRun(Failure):
    """The request has not run and will not run."""

    code: ClassVar[str] = 'not-run'
    run_state: ClassVar[RunState] = RunState.NOT_RUN
    is_repeatable: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class Overloaded(NotRun):
    """The request could not have been in time and was refused early."""

    code: ClassVar[str] = 'overloaded'


@dataclass(frozen=True, slots=True)
class LimitExceeded(NotRun):
    """The customer has used up its limit of operations."""

    code: ClassVar[str] = 'limit-exceeded'


@dataclass(frozen=True, slots=True)
class NoUpstream(NotRun):
    """No member that may serve the request could be reached."""

    code: ClassVar[str] = 'no-upstream'


@dataclass(frozen=True, slots=True)
class ReplicaBehind(NotRun):
    """The member does not hold the session's writes or is too old."""

    code: ClassVar[str] = 'replica-behind'


@dataclass(frozen=True, slots=True)
class NotPrimary(NotRun):
    """The member is not the primary of the required term."""

    code: ClassVar[str] = 'not-primary'


@dataclass(frozen=True, slots=True)
class WritesPaused(NotRun):
    """A handover pauses the writes of the database for a moment."""

    code: ClassVar[str] = 'writes-paused'


@dataclass(frozen=True, slots=True)
class Draining(NotRun):
    """The host is leaving and takes no new work."""

    code: ClassVar[str] = 'draining'


@dataclass(frozen=True, slots=True)
class TransactionLost(NotRun):
    """The transaction was rolled back with its connection."""

    code: ClassVar[str] = 'transaction-lost'


@dataclass(frozen=True, slots=True)
class StatementFailed(Failure):
    """The database refused the statement, which left no effect."""

    code: ClassVar[str] = 'statement-failed'
    run_state: ClassVar[RunState] = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class ResultTooLarge(Failure):
    """The result of a read is over the size limit."""

    code: ClassVar[str] = 'result-too-large'
    run_state: ClassVar[RunState] = RunState.RUN


@dataclass(frozen=True, slots=True)
class OutcomeUnknown(Failure):
    """The request may or may not have run.

    A caller may repeat the request with the same request id. The outcome
    is then looked up, and the request does not run twice.
    """

    code: ClassVar[str] = 'outcome-unknown'
    is_repeatable: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class PeerUnreachable(Failure):
    """The connection to a peer or upstream failed or timed out.

    The request may have been delivered.
    """

    code: ClassVar[str] = 'peer-unreachable'


@dataclass(frozen=True, slots=True)
class StaleTerm(NotRun):
    """The member has seen a higher term than the message carries."""

    code: ClassVar[str] = 'stale-term'


def failures_by_code() -> dict[str, type[Failure]]:
    """Return all failure types by their codes."""
    types: dict[str, type[Failure]] = {}
    pending: list[type[Failure]] = [Failure]
    while pending:
        kind = pending.pop()
        pending.extend(kind.__subclasses__())
        if _is_public(kind):
            types[kind.code] = kind
    return types


def _is_public(kind: type[Failure]) -> bool:
    # ``dataclass(slots=True)`` creates a new class. The original class
    # stays among the subclasses of its parent and must be ignored.
    module = sys.modules[kind.__module__]
    return getattr(module, kind.__name__, None) is kind
