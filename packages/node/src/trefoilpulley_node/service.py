"""Background part of the process."""

from __future__ import annotations

import abc


class Service(abc.ABC):
    """Part that works in the background."""

    @abc.abstractmethod
    def start(self) -> None:
        """Begin to work."""

    @abc.abstractmethod
    def stop(self) -> None:
        """End the work."""
