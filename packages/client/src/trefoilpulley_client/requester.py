"""Sends requests, repeats what may be repeated, settles what is unknown."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import Any
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_client.entry_link import to_refusal
from trefoilpulley_client.errors import read_run_state
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

ATTEMPTS_BEFORE_MOVE = 4
"""Refused attempts of a request after which another host is tried."""

_SETTLING_CODES = frozenset(
    (
        NotRun.code,
        RequestIdReused.code,
        ResultTooLarge.code,
        StatementFailed.code,
    )
)
"""Refusals that tell what became of every attempt under a request id."""


@dataclass(frozen=True, slots=True)
class Unanswered:
    """Request that ended without an answer."""

    refusal: Refusal
    """Last word on the request."""

    request_id: str = ''
    """Identifier of its last attempt."""


class Requester:
    """Sends the requests of one connection.

    Parameters
    ----------
    link : EntryLink
        Way to the entry hosts.
    policy : RetryPolicy
        Bounds of the retries.
    timer : Timer
        Source of time.
    rng : random.Random
        Source of request ids and of the pauses' spread.
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
        """Number of the connection in use."""
        return self._link.incarnation

    def make_request_id(self) -> str:
        """Return a new request id."""
        return f'{self._rng.getrandbits(128):032x}'

    def open(self) -> Result[None, Unanswered]:
        """Connect to a host."""
        attempts = self._begin_attempts()
        while True:
            opened = self._link.open(attempts.timeout_s)
            if isinstance(opened, Success):
                return opened
            refusal = opened.failure()
            if not self._begin_repeat(refusal, False, attempts):
                return Failed(Unanswered(refusal))

    def execute(
        self, req: Execute, keeps_id: bool = False
    ) -> Result[Answer, Unanswered]:
        """Send a single statement; its effect comes at most once.

        A repeat carries the same request id, so that a host returns the
        kept outcome where an earlier attempt ran. Only an id that is
        known to be abandoned is replaced.

        Parameters
        ----------
        req : Execute
            Statement outside of a transaction.
        keeps_id : bool
            Whether the request id is the program's and not replaced.
        """
        attempts = self._begin_attempts()
        is_uncertain = False
        while True:
            reply = self._attempt(req, is_uncertain, attempts)
            if isinstance(reply, Success):
                return reply
            refusal = reply.failure()
            is_uncertain = _is_uncertain(refusal, is_uncertain)
            is_abandoned = refusal.code == NotRun.code
            if (is_abandoned and keeps_id) or not self._begin_repeat(
                refusal, is_uncertain, attempts
            ):
                refusal = _tell_truly(refusal, is_uncertain)
                return Failed(Unanswered(refusal, req.request_id))
            if is_abandoned:
                req = replace(req, request_id=self.make_request_id())

    def look_up(self, req: LookUp) -> Result[Answer, Unanswered]:
        """Return the outcome of an earlier request, or abandon it."""
        attempts = self._begin_attempts()
        while True:
            reply = self._call(req, attempts, Answer)
            if isinstance(reply, Success):
                return reply
            refusal = reply.failure()
            if refusal.code == NotRun.code:
                return Failed(Unanswered(refusal, req.request_id))
            if not self._begin_repeat(refusal, True, attempts):
                refusal = _tell_truly(refusal, True)
                return Failed(Unanswered(refusal, req.request_id))

    def begin(self, req: Begin) -> Result[Begun, Unanswered]:
        """Begin a transaction; one that was begun in vain is rolled back."""
        attempts = self._begin_attempts()
        while True:
            reply = self._call(req, attempts, Begun)
            if isinstance(reply, Success):
                return reply
            refusal = self._abort_unknown(reply.failure())
            if not self._begin_repeat(refusal, False, attempts):
                return Failed(Unanswered(refusal))

    def run(
        self, incarnation: int, req: Execute
    ) -> Result[Answer, Unanswered]:
        """Send a statement of a transaction, once."""
        reply = self._call_pinned(incarnation, req, Answer)
        if isinstance(reply, Success):
            return reply
        refusal = self._abort_unknown(reply.failure())
        return Failed(Unanswered(refusal, req.request_id))

    def commit(
        self, incarnation: int, req: Commit, look_up: LookUp
    ) -> Result[Answer, Unanswered]:
        """Commit a transaction; an outcome that is lost is looked up."""
        reply = self._call_pinned(incarnation, req, Answer)
        if isinstance(reply, Success):
            return reply
        refusal = reply.failure()
        if _is_unknown(refusal):
            return self.look_up(look_up)
        return Failed(Unanswered(refusal, req.request_id))

    def roll_back(self, incarnation: int, transaction: str) -> None:
        """Roll a transaction back, by closing its connection if need be."""
        if incarnation != self._link.incarnation:
            return
        req = Rollback(transaction)
        reply = self._call_pinned(incarnation, req, Done)
        if not isinstance(reply, Success):
            self._link.leave()

    def _attempt(
        self, req: Execute, is_uncertain: bool, attempts: Attempts
    ) -> Result[Answer, Refusal]:
        reply = self._call(req, attempts, Answer)
        if not is_uncertain or not _has_code(reply, NotRun.code):
            return reply
        # The refusal may be of this attempt alone.
        return self._call(make_look_up(req), attempts, Answer)

    def _call(
        self, message: Any, attempts: Attempts, kind: type
    ) -> Result[Any, Refusal]:
        reply = self._link.call(message, attempts.timeout_s)
        return self._expect(reply, kind)

    def _call_pinned(
        self, incarnation: int, message: Any, kind: type
    ) -> Result[Any, Refusal]:
        reply = self._link.call_pinned(
            incarnation, message, self._policy.attempt_timeout_s
        )
        return self._expect(reply, kind)

    def _expect(
        self, reply: Result[Any, Refusal], kind: type
    ) -> Result[Any, Refusal]:
        if not isinstance(reply, Success) or isinstance(reply.unwrap(), kind):
            return reply
        self._link.leave()
        return Failed(to_refusal(PeerUnreachable('unexpected answer')))

    def _abort_unknown(self, refusal: Refusal) -> Refusal:
        if not _is_unknown(refusal):
            return refusal
        self._link.leave()
        return to_refusal(TransactionLost(refusal.code))

    def _begin_repeat(
        self, refusal: Refusal, is_uncertain: bool, attempts: Attempts
    ) -> bool:
        if not _may_repeat(refusal, is_uncertain):
            return False
        if attempts.made % ATTEMPTS_BEFORE_MOVE == 0:
            self._link.leave()
        return attempts.begin_next(pauses=refusal.code != Draining.code)

    def _begin_attempts(self) -> Attempts:
        return Attempts(self._policy, self._timer, self._rng)


def make_look_up(req: Execute) -> LookUp:
    """Return the question for the outcome of a statement."""
    return LookUp(req.request_id, req.work_class, req.database, req.token)


def _may_repeat(refusal: Refusal, is_uncertain: bool) -> bool:
    if _is_unknown(refusal):
        return True
    if refusal.code == Overloaded.code:
        return is_uncertain
    return refusal.is_repeatable


def _is_uncertain(refusal: Refusal, was_uncertain: bool) -> bool:
    if _is_unknown(refusal):
        return True
    return was_uncertain and refusal.code not in _SETTLING_CODES


def _is_unknown(refusal: Refusal) -> bool:
    return read_run_state(refusal) is RunState.UNKNOWN


def _has_code(reply: Result[Any, Refusal], code: str) -> bool:
    return not isinstance(reply, Success) and reply.failure().code == code


def _tell_truly(refusal: Refusal, is_uncertain: bool) -> Refusal:
    if not is_uncertain or refusal.code == OutcomeUnknown.code:
        return refusal
    return to_refusal(OutcomeUnknown(f'last refusal: {refusal.code}'))
