"""Asks the owners of customers' limits to admit operations."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent
from gevent.event import AsyncResult
from gevent.pool import Group as GreenletGroup
from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.direct.admission_messages import AdmissionAnswer
from trefoilpulley_core.direct.admission_messages import AdmissionQuestion
from trefoilpulley_core.failure import LimitExceeded
from trefoilpulley_node import events

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.customer_limit import CustomerLimits
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_node.direct.direct_metrics import DirectMetrics
    from trefoilpulley_node.direct.limit_refusals import LimitRefusals
    from trefoilpulley_node.peers import Peers

ANSWER_TIMEOUT_S = 0.1
"""Longest time that an operation waits for the owner, in seconds."""

REPEAT_INTERVAL_S = 0.2
"""Time between questions to an owner that does not answer, in seconds."""

MAX_REFUSAL_S = 0.05
"""Longest time for which a refusal stands without a new question, in seconds.

A raised limit is used after this time at the latest.
"""


@dataclass(frozen=True, slots=True)
class Admission:
    """Admission of one operation."""

    customer: str
    """Name of the customer; empty if its operations are not counted."""

    is_alone: bool = False
    """Whether this host has admitted the operation without the owner."""


NOT_COUNTED = Admission('')
"""Admission of an operation that no limit counts."""


class _Questions:
    """Questions of this host about one customer."""

    def __init__(self) -> None:
        self.pending: list[AsyncResult] = []
        self.is_asking = False
        self.is_alone = False
        self.refused_until = float('-inf')
        self.returned = 0


class AdmissionExchange:
    """Admits each operation once, at its customer's owner.

    Parameters
    ----------
    host : str
        Name of this host.
    limits : CustomerLimits
        Decides as the owner, and without one.
    peers : Peers
        Connections to the other hosts.
    clock : Clock
        Monotonic time.
    metrics : DirectMetrics
        Counts the operations.
    refusals : LimitRefusals
        Counts and logs the refusals by customer.
    """

    def __init__(
        self,
        host: str,
        limits: CustomerLimits,
        peers: Peers,
        clock: Clock,
        metrics: DirectMetrics,
        refusals: LimitRefusals,
    ) -> None:
        self._host = host
        self._limits = limits
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._refusals = refusals
        self._questions: dict[str, _Questions] = {}
        self._greenlets = GreenletGroup()

    def stop(self) -> None:
        """End the questions in progress."""
        self._greenlets.kill(block=False)

    def on_question(self, question: AdmissionQuestion) -> AdmissionAnswer:
        """Answer another host as the owner of a limit."""
        return self._limits.answer(question, self._clock.now())

    def admit(self, customer: str) -> Result[Admission, Failure]:
        """Admit one operation of a customer, or refuse it.

        Parameters
        ----------
        customer : str
            Name of the customer; empty for none.

        Returns
        -------
        Result[Admission, Failure]
            The admission, or `LimitExceeded`.
        """
        if not self._limits.is_limited(customer):
            return Success(NOT_COUNTED)
        owner = self._limits.find_owner(customer)
        if owner == self._host:
            way, is_admitted = 'own', self._admit_own(customer)
        else:
            way, is_admitted = self._admit_remote(customer)
        self._metrics.count(
            'admissions', way, 'admitted' if is_admitted else 'refused'
        )
        if is_admitted:
            return Success(Admission(customer, way == 'alone'))
        self._refusals.on_refused(customer, owner, self._clock.now())
        return Failed(LimitExceeded('operations of the customer'))

    def give_back(self, admission: Admission) -> None:
        """Return an admitted operation that has not run."""
        customer = admission.customer
        if not customer:
            return
        if admission.is_alone:
            self._limits.return_alone(customer, 1)
        elif self._limits.find_owner(customer) == self._host:
            question = AdmissionQuestion(customer, 0, 1)
            self._limits.answer(question, self._clock.now())
        else:
            self._questions_of(customer).returned += 1

    def _admit_own(self, customer: str) -> bool:
        question = AdmissionQuestion(customer, 1)
        return self._limits.answer(question, self._clock.now()).granted > 0

    def _admit_remote(self, customer: str) -> tuple[str, bool]:
        """Return who has counted an operation, and whether it is admitted."""
        questions = self._questions_of(customer)
        if not questions.is_alone:
            if self._clock.now() < questions.refused_until:
                return 'owner', False
            is_admitted = self._ask(customer, questions)
            if is_admitted is not None:
                return 'owner', is_admitted
        admitted = self._limits.admit_alone(customer, 1, self._clock.now())
        return 'alone', admitted > 0

    def _ask(self, customer: str, questions: _Questions) -> bool | None:
        """Return the owner's decision, or ``None`` without an answer."""
        decision: AsyncResult = AsyncResult()
        questions.pending.append(decision)
        if not questions.is_asking:
            questions.is_asking = True
            self._greenlets.spawn(self._run, customer, questions)
        try:
            return decision.get(timeout=ANSWER_TIMEOUT_S)
        except gevent.Timeout:
            # What the owner still admits is returned with the next question.
            decision.set(None)
            return None

    def _run(self, customer: str, questions: _Questions) -> None:
        """Ask while operations wait, and while the owner does not answer."""
        try:
            while questions.pending or questions.is_alone:
                if self._exchange(customer, questions):
                    continue
                if not self._limits.is_limited(customer):
                    break
                gevent.sleep(REPEAT_INTERVAL_S)
        finally:
            questions.is_asking = questions.is_alone = False
            self._decide(questions.pending, None)
            questions.pending = []

    def _exchange(self, customer: str, questions: _Questions) -> bool:
        """Send one question; return whether the owner has answered."""
        batch, questions.pending = questions.pending, []
        returned, questions.returned = questions.returned, 0
        owner = self._limits.find_owner(customer)
        question = AdmissionQuestion(customer, len(batch), returned)
        answer = self._call(owner, question)
        if not (isinstance(answer, AdmissionAnswer) and answer.is_owner):
            if not questions.is_alone:
                events.LIMIT_OWNER_SILENT.log(customer=customer, owner=owner)
            questions.is_alone = True
            self._decide(batch + questions.pending, None)
            questions.pending = []
            return False
        questions.is_alone = False
        if answer.granted < len(batch):
            refusal_s = min(answer.retry_ms / 1000, MAX_REFUSAL_S)
            questions.refused_until = self._clock.now() + refusal_s
        waiting = [d for d in batch if not d.ready()]
        self._decide(waiting[: answer.granted], True)
        self._decide(waiting[answer.granted :], False)
        questions.returned += max(0, answer.granted - len(waiting))
        return True

    def _call(
        self, owner: str | None, question: AdmissionQuestion
    ) -> AdmissionAnswer | None:
        if owner is None:
            return None
        if owner == self._host:
            return self.on_question(question)
        asked_at = self._clock.now()
        opened = self._peers.open_channel(owner, ANSWER_TIMEOUT_S)
        rest_s = asked_at + ANSWER_TIMEOUT_S - self._clock.now()
        if not isinstance(opened, Success) or rest_s <= 0:
            return None
        return self._peers.call_host(owner, question, rest_s).value_or(None)

    def _decide(
        self, decisions: list[AsyncResult], is_admitted: bool | None
    ) -> None:
        for decision in decisions:
            if not decision.ready():
                decision.set(is_admitted)

    def _questions_of(self, customer: str) -> _Questions:
        return self._questions.setdefault(customer, _Questions())
