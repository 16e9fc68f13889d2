"""Copy of an admission exchange for the explanation of routes."""

from __future__ import annotations

import copy
from dataclasses import dataclass
from typing import TYPE_CHECKING

from returns.result import Success

from trefoilpulley_core.direct.admission_messages import AdmissionQuestion
from trefoilpulley_core.direct.route_report import LimitView
from trefoilpulley_node.direct.admission_exchange import AdmissionExchange

if TYPE_CHECKING:
    from trefoilpulley_core.direct.customers import Customer


@dataclass
class _Uncounted:
    """Stands for metrics and logs, and ignores what they are told."""

    def count(self, *labels: str) -> None:
        """Ignore an admission."""

    def on_refused(self, *args: object) -> None:
        """Ignore a refusal."""


class AdmissionPreview(AdmissionExchange):
    """Copy of an admission exchange that asks no other host.

    Parameters
    ----------
    exchange : AdmissionExchange
        Exchange to copy.
    """

    def __init__(self, exchange: AdmissionExchange) -> None:
        vars(self).update(vars(exchange))
        limits = exchange._limits
        memo = {id(m): m for m in (limits._customers, limits._weights)}
        self._limits = copy.deepcopy(limits, memo)
        self._questions = {
            name: copy.copy(questions)
            for name, questions in exchange._questions.items()
        }
        self._metrics = self._refusals = _Uncounted()
        self._peers = self._greenlets = None
        self._is_owner_asked = False

    def find_limit(self, customer: Customer) -> LimitView:
        """Return how the limit of a customer decides on an operation.

        Parameters
        ----------
        customer : Customer
            Customer with a limit.
        """
        name, now = customer.name, self._clock.now()
        left = self._limits.count_tokens(name, now)
        is_admitted = isinstance(self.admit(name), Success)
        return LimitView(
            customer.limit.rate_per_s,
            customer.limit.burst,
            self._limits.find_owner(name),
            is_admitted,
            self._is_owner_asked,
            None if left is None else round(left, 1),
            None if is_admitted else self._retry_ms(name, now),
        )

    def _ask(self, customer: str, questions: object) -> bool:
        """Take the owner's decision, which is not known, for an admission."""
        self._is_owner_asked = True
        return True

    def _retry_ms(self, customer: str, now: float) -> float | None:
        if self._limits.find_owner(customer) == self._host:
            question = AdmissionQuestion(customer, 1)
            return float(self._limits.answer(question, now).retry_ms)
        questions = self._questions_of(customer)
        if questions.is_alone:
            return None
        return round(1000 * max(0.0, questions.refused_until - now), 1)
