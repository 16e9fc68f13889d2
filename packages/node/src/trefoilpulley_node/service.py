"""Interface of the background services of the process."""

from __future__ import annotations

import abc


class Service(abc.ABC):
    """Component that runs in the background."""

    @abc.abstractmethod
    def start(self) -> None:
        """Start the background work."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Stop the background work."""
