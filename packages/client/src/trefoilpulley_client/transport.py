"""Interface to one connection to an entry host."""

from __future__ import annotations

import abc
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.catalog import Endpoint
    from trefoilpulley_core.failure import Failure


class Transport(abc.ABC):
    """One open connection; one request at a time."""

    @abc.abstractmethod
    def call(self, message: Any, timeout_s: float) -> Result[Any, Failure]:
        """Send a request and wait for its reply.

        Parameters
        ----------
        message : Any
            Typed request of `trefoilpulley_core.caller`.
        timeout_s : float
            Longest wait in seconds.

        Returns
        -------
        Result[Any, Failure]
            The reply, or `PeerUnreachable` where none came; the
            connection is closed then.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection."""


class Dialer(abc.ABC):
    """Opens connections to entry hosts."""

    @abc.abstractmethod
    def dial(
        self, endpoint: Endpoint, timeout_s: float
    ) -> Result[Transport, Failure]:
        """Open a connection, or fail with `PeerUnreachable`."""
