"""Exceptions of PEP 249, each with the code and run state of its failure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_core.failure import RunState

if TYPE_CHECKING:
    from trefoilpulley_core.caller import Refusal


class Warning(Exception):
    """Important notice; PEP 249 asks for the name."""


class Error(Exception):
    """Base of every error of the client.

    Parameters
    ----------
    detail : str
        Facts for a person.
    code : str
        Code of the failure in docs/ERRORS.md.
    run_state : RunState
        Whether the request has run.
    is_repeatable : bool
        Whether the same request may be sent again.
    request_id : str
        Identifier under which the outcome can be looked up.
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
        """Facts for a person."""

        self.code = code
        """Code of the failure."""

        self.run_state = run_state
        """Whether the request has run."""

        self.is_repeatable = is_repeatable
        """Whether the same request may be sent again."""

        self.request_id = request_id
        """Identifier of the request, or empty."""


class InterfaceError(Error):
    """The client was used wrongly, or did not understand an answer."""


class DatabaseError(Error):
    """Error of the database or of the way to it."""


class DataError(DatabaseError):
    """A value or a result can't be processed."""


class OperationalError(DatabaseError):
    """Error of the operation of the database or the proxy."""


class IntegrityError(DatabaseError):
    """A rule on the data's integrity was broken."""


class InternalError(DatabaseError):
    """The database is in an inner state that it can't work in."""


class ProgrammingError(DatabaseError):
    """The program asked for what can't be done."""


class NotSupportedError(DatabaseError):
    """The database does not support the call."""


class ClosedError(InterfaceError):
    """The connection or the cursor is closed."""


class MalformedMessageError(InterfaceError):
    """A message was not understood."""


class MessageTooLargeError(DataError):
    """The request is over the size limit."""


class ResultTooLargeError(DataError):
    """The result is over the size limit; the request has run."""


class StatementFailedError(ProgrammingError):
    """The database refused the statement, which left no effect."""


class NotAuthenticatedError(OperationalError):
    """The tenant's credentials are missing or wrong."""


class NotAuthorizedError(ProgrammingError):
    """The tenant may not use the ledger or the class of work."""


class UnknownClassError(ProgrammingError):
    """No class of work has the requested name."""


class UnknownDatabaseError(ProgrammingError):
    """No database has the requested name."""


class InvalidTokenError(OperationalError):
    """The session token was refused."""


class RequestIdReusedError(IntegrityError):
    """The request id was used before with other content."""


class NotRunError(OperationalError):
    """The request has not run and will not run."""


class OverloadedError(NotRunError):
    """The request could not have been in time and was refused early."""


class TransactionLostError(NotRunError):
    """The transaction was rolled back."""


class OutcomeUnknownError(OperationalError):
    """The request may or may not have run.

    `Connection.look_up` settles it by the request id.
    """


_BY_CODE: dict[str, type[Error]] = {
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

_BY_RUN_STATE: dict[RunState, type[Error]] = {
    RunState.NOT_RUN: NotRunError,
    RunState.RUN: DatabaseError,
    RunState.UNKNOWN: OutcomeUnknownError,
}


def to_error(refusal: Refusal, request_id: str = '') -> Error:
    """Return the exception of a typed refusal."""
    run_state = read_run_state(refusal)
    kind = _BY_CODE.get(refusal.code, _BY_RUN_STATE[run_state])
    return kind(
        refusal.detail,
        code=refusal.code,
        run_state=run_state,
        is_repeatable=refusal.is_repeatable,
        request_id=request_id,
    )


def read_run_state(refusal: Refusal) -> RunState:
    """Return a refusal's run state; unknown where it says no known one."""
    try:
        return RunState(refusal.run_state)
    except ValueError:
        return RunState.UNKNOWN
