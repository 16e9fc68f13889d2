"""Sending of requests with retries and resolution of unknown outcomes."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import Any
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_client.entry_link import to_refusal
from trefoilpulley_client.errors import parse_run_state
from trefoilpulley_client.retry import Attempts
from trefoilpulley_core.caller import Answer
from trefoilpulley_core.caller import Begun
from trefoilpulley_core.caller import Done
from trefoilpulley_core.caller import LookUp
from trefoilpulley_core.caller import Refusal
from trefoilpulley_core.caller import Rollback
from trefoilpulley_core.failure import Draining
from trefoilpulley_core.failure import NotRun
from trefoilpulley_core.failure import OutcomeUnknown
from trefoilpulley_core.failure import Overloaded
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_core.failure import RequestIdReused
from trefoilpulley_core.failure import ResultTooLarge
from trefoilpulley_core.failure import RunState
from trefoilpulley_core.failure import StatementFailed
from trefoilpulley_core.failure import TransactionLost

if TYPE_CHECKING:
    import random

    from trefoilpulley_client.entry_link import EntryLink
    from trefoilpulley_client.retry import RetryPolicy
    from trefoilpulley_client.timer import Timer
    from trefoilpulley_core.caller import Begin
    from trefoilpulley_core.caller import Commit
    from trefoilpulley_core.caller import Execute

MAX_ATTEMPTS_PER_HOST = 4
"""Number of attempts of a request before the client tries another host."""

_CONCLUSIVE_CODES = frozenset(
    (
        NotRun.code,
        RequestIdReused.code,
        ResultTooLarge.code,
        StatementFailed.code,
    )
)
"""Refusals that settle the outcome of all attempts under a request id."""


@dataclass(frozen=True, slots=True)
class FailedRequest:
    """Request that failed after its last attempt."""

    refusal: Refusal
    """Refusal that the request ended with."""

    request_id: str = ''
    """Request id of the last attempt; empty if the request has none."""


class Requester:
    """Send the requests of one connection and retry them.

    Parameters
    ----------
    link : EntryLink
        Network connection to an entry host.
    policy : RetryPolicy
        Limits of the retries.
    timer : Timer
        Source of time.
    rng : random.Random
        Random source of request ids and retry delays.
    """

    def __init__(
        self,
        link: EntryLink,
        policy: RetryPolicy,
        timer: Timer,
        rng: random.Random,
    ) -> None:
        self._link = link
        self._policy = policy
        self._timer = timer
        self._rng = rng

    @property
    def incarnation(self) -> int:
        """Number of the network connection in use."""
        return self._link.incarnation

    def make_request_id(self) -> str:
        """Return a new request id."""
        return f'{self._rng.getrandbits(128):032x}'

    def open(self) -> Result[None, FailedRequest]:
        """Connect to a host, with retries."""
        attempts = self._make_attempts()
        while True:
            opened = self._link.open(attempts.timeout_s)
            if isinstance(opened, Success):
                return opened
            refusal = opened.failure()
            if not self._begin_retry(refusal, False, attempts):
                return Failed(FailedRequest(refusal))

    def execute(
        self, req: Execute, is_id_fixed: bool = False
    ) -> Result[Answer, FailedRequest]:
        """Send a statement outside a transaction.

        The statement takes effect at most once. A retry carries the same
        request id, so that the host returns the stored outcome if an earlier
        attempt ran. A new request id is used only if the previous id is known
        to be abandoned.

        Parameters
        ----------
        req : Execute
            Statement outside a transaction.
        is_id_fixed : bool
            Whether the program chose the request id, which must then not be
            replaced.

        Returns
        -------
        Result[Answer, Unanswered]
            The answer, or the final refusal, which is `OutcomeUnknown` if an
            attempt may have run and its outcome could not be resolved.
        """
        attempts = self._make_attempts()
        is_uncertain = False
        while True:
            reply = self._execute_once(req, is_uncertain, attempts)
            if isinstance(reply, Success):
                return reply
            refusal = reply.failure()
            is_uncertain = _is_still_uncertain(refusal, is_uncertain)
            is_abandoned = refusal.code == NotRun.code
            if (is_abandoned and is_id_fixed) or not self._begin_retry(
                refusal, is_uncertain, attempts
            ):
                refusal = _final_refusal(refusal, is_uncertain)
                return Failed(FailedRequest(refusal, req.request_id))
            if is_abandoned:
                req = replace(req, request_id=self.make_request_id())

    def look_up(self, req: LookUp) -> Result[Answer, FailedRequest]:
        """Return the outcome of an earlier request, or abandon the request.

        Returns
        -------
        Result[Answer, Unanswered]
            The answer; a refusal with the code of `NotRun` if the request is
            abandoned and will never run; `OutcomeUnknown` if neither could
            be established.
        """
        attempts = self._make_attempts()
        while True:
            reply = self._call(req, attempts, Answer)
            if isinstance(reply, Success):
                return reply
            refusal = reply.failure()
            if refusal.code == NotRun.code:
                return Failed(FailedRequest(refusal, req.request_id))
            if not self._begin_retry(refusal, True, attempts):
                refusal = _final_refusal(refusal, True)
                return Failed(FailedRequest(refusal, req.request_id))

    def begin(self, req: Begin) -> Result[Begun, FailedRequest]:
        """Begin a transaction.

        If the answer is lost, the connection is closed, so that the host
        rolls back a transaction that it may have begun, and the request is
        retried.
        """
        attempts = self._make_attempts()
        while True:
            reply = self._call(req, attempts, Begun)
            if isinstance(reply, Success):
                return reply
            refusal = self._abort_if_unknown(reply.failure())
            if not self._begin_retry(refusal, False, attempts):
                return Failed(FailedRequest(refusal))

    def run(
        self, incarnation: int, req: Execute
    ) -> Result[Answer, FailedRequest]:
        """Send a statement of a transaction, without retries.

        If the outcome of the statement is unknown, the connection is closed,
        which rolls the transaction back.
        """
        reply = self._call_pinned(incarnation, req, Answer)
        if isinstance(reply, Success):
            return reply
        refusal = self._abort_if_unknown(reply.failure())
        return Failed(FailedRequest(refusal, req.request_id))

    def commit(
        self, incarnation: int, req: Commit, look_up: LookUp
    ) -> Result[Answer, FailedRequest]:
        """Commit a transaction, without retries.

        If the outcome of the commit is unknown, it is looked up.

        Parameters
        ----------
        incarnation : int
            Number of the connection on which the transaction began.
        req : Commit
            Commit request.
        look_up : LookUp
            Request that looks up the outcome of the commit.
        """
        reply = self._call_pinned(incarnation, req, Answer)
        if isinstance(reply, Success):
            return reply
        refusal = reply.failure()
        if _is_outcome_unknown(refusal):
            return self.look_up(look_up)
        return Failed(FailedRequest(refusal, req.request_id))

    def roll_back(self, incarnation: int, transaction: str) -> None:
        """Roll back a transaction.

        If the host does not confirm the rollback, the connection is closed,
        which also rolls the transaction back.
        """
        if incarnation != self._link.incarnation:
            return
        req = Rollback(transaction)
        reply = self._call_pinned(incarnation, req, Done)
        if not isinstance(reply, Success):
            self._link.switch_host()

    def _execute_once(
        self, req: Execute, is_uncertain: bool, attempts: Attempts
    ) -> Result[Answer, Refusal]:
        reply = self._call(req, attempts, Answer)
        if not is_uncertain or not _has_code(reply, NotRun.code):
            return reply
        # The refusal may refer to this attempt only. Look up the request id,
        # because an earlier attempt may have run.
        return self._call(make_look_up(req), attempts, Answer)

    def _call(
        self, message: Any, attempts: Attempts, reply_type: type
    ) -> Result[Any, Refusal]:
        reply = self._link.call(message, attempts.timeout_s)
        return self._check_reply(reply, reply_type)

    def _call_pinned(
        self, incarnation: int, message: Any, reply_type: type
    ) -> Result[Any, Refusal]:
        reply = self._link.call_pinned(
            incarnation, message, self._policy.attempt_timeout_s
        )
        return self._check_reply(reply, reply_type)

    def _check_reply(
        self, reply: Result[Any, Refusal], reply_type: type
    ) -> Result[Any, Refusal]:
        if not isinstance(reply, Success) or isinstance(
            reply.unwrap(), reply_type
        ):
            return reply
        self._link.switch_host()
        return Failed(
            to_refusal(PeerUnreachable('answer has an unexpected type'))
        )

    def _abort_if_unknown(self, refusal: Refusal) -> Refusal:
        if not _is_outcome_unknown(refusal):
            return refusal
        self._link.switch_host()
        return to_refusal(TransactionLost(refusal.code))

    def _begin_retry(
        self, refusal: Refusal, is_uncertain: bool, attempts: Attempts
    ) -> bool:
        if not _is_retryable(refusal, is_uncertain):
            return False
        if attempts.attempt_count % MAX_ATTEMPTS_PER_HOST == 0:
            self._link.switch_host()
        return attempts.wait_for_next(
            has_backoff=refusal.code != Draining.code
        )

    def _make_attempts(self) -> Attempts:
        return Attempts(self._policy, self._timer, self._rng)


def make_look_up(req: Execute) -> LookUp:
    """Return the request that looks up the outcome of a statement."""
    return LookUp(req.request_id, req.work_class, req.database, req.token)


def _is_retryable(refusal: Refusal, is_uncertain: bool) -> bool:
    if _is_outcome_unknown(refusal):
        return True
    if refusal.code == Overloaded.code:
        return is_uncertain
    return refusal.is_repeatable


def _is_still_uncertain(refusal: Refusal, was_uncertain: bool) -> bool:
    if _is_outcome_unknown(refusal):
        return True
    return was_uncertain and refusal.code not in _CONCLUSIVE_CODES


def _is_outcome_unknown(refusal: Refusal) -> bool:
    return parse_run_state(refusal) is RunState.UNKNOWN


def _has_code(reply: Result[Any, Refusal], code: str) -> bool:
    return not isinstance(reply, Success) and reply.failure().code == code


def _final_refusal(refusal: Refusal, is_uncertain: bool) -> Refusal:
    if not is_uncertain or refusal.code == OutcomeUnknown.code:
        return refusal
    return to_refusal(OutcomeUnknown(f'last refusal: {refusal.code}'))
