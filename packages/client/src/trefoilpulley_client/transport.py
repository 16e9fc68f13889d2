"""Interface of network connections to entry hosts."""

from __future__ import annotations

import abc
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.catalog import Endpoint
    from trefoilpulley_core.failure import Failure


class Transport(abc.ABC):
    """Open connection that handles one request at a time."""

    @abc.abstractmethod
    def call(self, message: Any, timeout_s: float) -> Result[Any, Failure]:
        """Send a request and wait for its reply.

        Parameters
        ----------
        message : Any
            Request defined in `trefoilpulley_core.caller`.
        timeout_s : float
            Maximum time to wait for the reply, in seconds.

        Returns
        -------
        Result[Any, Failure]
            The reply, or `PeerUnreachable` if no valid reply arrived; in that
            case the connection is closed.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection."""


class Dialer(abc.ABC):
    """Open connections to entry hosts."""

    @abc.abstractmethod
    def dial(
        self, endpoint: Endpoint, timeout_s: float
    ) -> Result[Transport, Failure]:
        """Open a connection.

        Parameters
        ----------
        endpoint : Endpoint
            Address of the entry host.
        timeout_s : float
            Maximum time to connect, in seconds.

        Returns
        -------
        Result[Transport, Failure]
            The open connection, or `PeerUnreachable`.
        """
