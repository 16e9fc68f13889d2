"""Open transaction, bound to the network connection on which it began."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Result
from returns.result import Success

from trefoilpulley_core.caller import Begin
from trefoilpulley_core.caller import Commit
from trefoilpulley_core.caller import Execute
from trefoilpulley_core.caller import LookUp
from trefoilpulley_core.failure import MessageTooLarge
from trefoilpulley_core.failure import ResultTooLarge
from trefoilpulley_core.failure import StatementFailed
from trefoilpulley_core.failure import TransactionLost

if TYPE_CHECKING:
    from trefoilpulley_client.requester import FailedRequest
    from trefoilpulley_client.requester import Requester
    from trefoilpulley_client.target import Target
    from trefoilpulley_core.caller import Answer
    from trefoilpulley_core.upstream import Parameter

_NON_FATAL_CODES = frozenset(
    (MessageTooLarge.code, ResultTooLarge.code, StatementFailed.code)
)
"""Refusals of a statement that leave its transaction open."""


class Transaction:
    """Open transaction.

    Parameters
    ----------
    requester : Requester
        Sends the requests.
    target : Target
        Class of work and database of all statements.
    token : bytes
        Session token at the start of the transaction.
    transaction_id : str
        Identifier that the host assigned to the transaction.
    """

    def __init__(
        self,
        requester: Requester,
        target: Target,
        token: bytes,
        transaction_id: str,
    ) -> None:
        self._requester = requester
        self._token = token
        self._id = transaction_id
        self._incarnation = requester.incarnation
        self.target = target
        """Class of work and database of all statements."""

        self.is_lost = False
        """Whether the transaction was rolled back by a failure.

        The program has to call `rollback` before it can start another one.
        """

    def run(
        self, sql: str, parameters: tuple[Parameter, ...]
    ) -> Result[Answer, FailedRequest]:
        """Run a statement in the transaction."""
        req = Execute(
            self._requester.make_request_id(),
            self.target.work_class,
            self.target.database,
            sql,
            parameters,
            self._token,
            self._id,
        )
        reply = self._requester.run(self._incarnation, req)
        if not isinstance(reply, Success):
            self._on_refused(reply.failure().refusal.code, _NON_FATAL_CODES)
        return reply

    def commit(self, request_id: str) -> Result[Answer, FailedRequest]:
        """Commit; the outcome can be looked up under the request id."""
        req = Commit(self._id, request_id, self._token)
        look_up = LookUp(
            request_id,
            self.target.work_class,
            self.target.database,
            self._token,
        )
        reply = self._requester.commit(self._incarnation, req, look_up)
        if not isinstance(reply, Success):
            self._on_refused(reply.failure().refusal.code, frozenset())
        return reply

    def roll_back(self) -> None:
        """Roll back, unless the transaction was already lost."""
        if not self.is_lost:
            self._requester.roll_back(self._incarnation, self._id)

    def _on_refused(self, code: str, non_fatal_codes: frozenset[str]) -> None:
        if code in non_fatal_codes:
            return
        if code != TransactionLost.code:
            self.roll_back()
        self.is_lost = True


def begin_transaction(
    requester: Requester, target: Target, token: bytes
) -> Result[Transaction, FailedRequest]:
    """Begin a transaction on the current host."""
    req = Begin(target.work_class, target.database, token)
    begun = requester.begin(req)
    return begun.map(
        lambda b: Transaction(requester, target, token, b.transaction)
    )
