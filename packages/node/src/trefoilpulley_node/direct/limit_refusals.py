"""Counts and logs the operations refused for a customer's limit."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from trefoilpulley_core.direct.customer_connections import MAX_LABELS
from trefoilpulley_core.direct.customer_connections import OTHER_LABEL
from trefoilpulley_node.direct.key_refusals import LOG_INTERVAL_S
from trefoilpulley_node import events

if TYPE_CHECKING:
    from trefoilpulley_node.direct.direct_metrics import DirectMetrics


class LimitRefusals:
    """Counts refused operations; several of a customer share one log event.

    Parameters
    ----------
    metrics : DirectMetrics
        Counts the refusals.
    """

    def __init__(self, metrics: DirectMetrics) -> None:
        self._metrics = metrics
        self._labels: set[str] = set()
        self._logged_at: dict[str, float] = {}
        self._counts: Counter[str] = Counter()

    def on_refused(self, customer: str, owner: str | None, now: float) -> None:
        """Count a refusal and log it if the last event is long ago.

        Parameters
        ----------
        customer : str
            Name of the customer.
        owner : str or None
            Host that counts the customer's operations, if any.
        now : float
            Time in seconds.
        """
        if len(self._labels) < MAX_LABELS:
            self._labels.add(customer)
        label = customer if customer in self._labels else OTHER_LABEL
        self._metrics.count('operations_refused', label)
        self._counts[customer] += 1
        logged_at = self._logged_at.get(customer, float('-inf'))
        if now - logged_at >= LOG_INTERVAL_S:
            events.LIMIT_EXCEEDED.log(
                customer=customer,
                owner=owner,
                refused=self._counts.pop(customer),
            )
            self._logged_at[customer] = now
