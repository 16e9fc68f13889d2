"""Counts and logs the sessions that are refused for their key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_node import events

if TYPE_CHECKING:
    from trefoilpulley_node.direct.direct_metrics import DirectMetrics

LOG_INTERVAL_S = 5.0
"""Least time between two log events, in seconds.

A caller with a removed key may try again without a pause.
"""


class KeyRefusals:
    """Counts refused sessions; several share one log event.

    Parameters
    ----------
    metrics : DirectMetrics
        Counts the refusals.
    """

    def __init__(self, metrics: DirectMetrics) -> None:
        self._metrics = metrics
        self._logged_at = float('-inf')
        self._count = 0

    def on_refused(self, database: str, now: float) -> None:
        """Count a refusal and log it if the last event is long ago.

        Parameters
        ----------
        database : str
            Database name of the route.
        now : float
            Time in seconds.
        """
        self._metrics.count('sessions_refused', 'not-authenticated')
        self._count += 1
        if now - self._logged_at >= LOG_INTERVAL_S:
            events.KEY_REFUSED.log(database=database, refused=self._count)
            self._logged_at, self._count = now, 0
