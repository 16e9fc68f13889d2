"""Exceptions of PEP 249 with the code and run state of the failure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_core.failure import RunState

if TYPE_CHECKING:
    from trefoilpulley_core.caller import Refusal


class Warning(Exception):
    """Warning that PEP 249 requires; the client never raises it."""


class Error(Exception):
    """Base class of all errors of the client.

    Parameters
    ----------
    detail : str
        Human-readable detail.
    code : str
        Failure code, as listed in docs/ERRORS.md.
    run_state : RunState
        Whether the request has run.
    is_repeatable : bool
        Whether the same request may be sent again.
    request_id : str
        Request id under which the outcome can be looked up.
    """

    def __init__(
        self,
        detail: str = '',
        *,
        code: str = 'usage',
        run_state: RunState = RunState.NOT_RUN,
        is_repeatable: bool = False,
        request_id: str = '',
    ) -> None:
        super().__init__(f'{code}: {detail}' if detail else code)
        self.detail = detail
        """Human-readable detail."""

        self.code = code
        """Failure code, as listed in docs/ERRORS.md."""

        self.run_state = run_state
        """Whether the request has run."""

        self.is_repeatable = is_repeatable
        """Whether the same request may be sent again."""

        self.request_id = request_id
        """Request id under which the outcome can be looked up, or empty."""


class InterfaceError(Error):
    """The client was used incorrectly or received an invalid answer."""


class DatabaseError(Error):
    """Error of the database or of the connection to the database."""


class DataError(DatabaseError):
    """A value or a result cannot be processed."""


class OperationalError(DatabaseError):
    """Error in the operation of the database or of the proxy."""


class IntegrityError(DatabaseError):
    """A data integrity rule was violated."""


class InternalError(DatabaseError):
    """The database has an internal error."""


class ProgrammingError(DatabaseError):
    """The program made an invalid request."""


class NotSupportedError(DatabaseError):
    """The database does not support the requested operation."""


class ClosedError(InterfaceError):
    """The connection or the cursor is closed."""


class MalformedMessageError(InterfaceError):
    """A message could not be decoded."""


class MessageTooLargeError(DataError):
    """The request exceeds the size limit."""


class ResultTooLargeError(DataError):
    """The result exceeds the size limit; the request has run."""


class StatementFailedError(ProgrammingError):
    """The database rejected the statement, which had no effect."""


class NotAuthenticatedError(OperationalError):
    """The tenant's credentials are missing or wrong."""


class NotAuthorizedError(ProgrammingError):
    """The tenant may not use the ledger or the class of work."""


class UnknownClassError(ProgrammingError):
    """The requested class of work does not exist."""


class UnknownDatabaseError(ProgrammingError):
    """The requested database does not exist."""


class InvalidTokenError(OperationalError):
    """The session token was rejected."""


class RequestIdReusedError(IntegrityError):
    """The request id was already used for a different request."""


class NotRunError(OperationalError):
    """The request has not run and will not run."""


class OverloadedError(NotRunError):
    """The request was rejected early, as it would have missed its deadline."""


class TransactionLostError(NotRunError):
    """The transaction was rolled back."""


class OutcomeUnknownError(OperationalError):
    """The request may or may not have run.

    `Connection.look_up` resolves the outcome by the request id.
    """


_ERRORS_BY_CODE: dict[str, type[Error]] = {
    'invalid-token': InvalidTokenError,
    'malformed-message': MalformedMessageError,
    'message-too-large': MessageTooLargeError,
    'not-authenticated': NotAuthenticatedError,
    'not-authorized': NotAuthorizedError,
    'overloaded': OverloadedError,
    'request-id-reused': RequestIdReusedError,
    'result-too-large': ResultTooLargeError,
    'statement-failed': StatementFailedError,
    'transaction-lost': TransactionLostError,
    'unknown-class': UnknownClassError,
    'unknown-database': UnknownDatabaseError,
}

_ERRORS_BY_RUN_STATE: dict[RunState, type[Error]] = {
    RunState.NOT_RUN: NotRunError,
    RunState.RUN: DatabaseError,
    RunState.UNKNOWN: OutcomeUnknownError,
}


def to_error(refusal: Refusal, request_id: str = '') -> Error:
    """Return the exception for a refusal.

    The failure code determines the class of the exception. For a code without
    a specific class, the run state determines the class.
    """
    run_state = parse_run_state(refusal)
    error_class = _ERRORS_BY_CODE.get(
        refusal.code, _ERRORS_BY_RUN_STATE[run_state]
    )
    return error_class(
        refusal.detail,
        code=refusal.code,
        run_state=run_state,
        is_repeatable=refusal.is_repeatable,
        request_id=request_id,
    )


def parse_run_state(refusal: Refusal) -> RunState:
    """Return the run state of a refusal.

    A value that this version does not know counts as an unknown run state.
    """
    try:
        return RunState(refusal.run_state)
    except ValueError:
        return RunState.UNKNOWN
