"""Metrics of the process, sent to a statsd server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import statsd

if TYPE_CHECKING:
    from trefoilpulley_node.settings import StatsdSettings


class Metrics:
    """Sends counters and timings to statsd.

    Parameters
    ----------
    cfg : StatsdSettings or None
        Address and prefix of the metrics; no metrics are sent if ``None``.
    """

    def __init__(self, cfg: StatsdSettings | None) -> None:
        self._client = None
        if cfg is not None:
            self._client = statsd.StatsClient(
                cfg.endpoint.address, cfg.endpoint.port, cfg.prefix
            )

    def count(self, name: str, amount: int = 1) -> None:
        """Increase a counter."""
        if self._client is not None:
            self._client.incr(name, amount)

    def time(self, name: str, duration_ms: float) -> None:
        """Record a duration in milliseconds."""
        if self._client is not None:
            self._client.timing(name, duration_ms)
