"""Connection of a caller to one entry host at a time, with failover."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import ClassVar
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.caller import Refusal
from trefoilpulley_core.caller import Welcome
from trefoilpulley_core.failure import Draining
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import NotRun
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_core.failure import TransactionLost

if TYPE_CHECKING:
    from collections.abc import Sequence

    from trefoilpulley_client.transport import Dialer
    from trefoilpulley_client.transport import Transport
    from trefoilpulley_core.caller import Hello
    from trefoilpulley_core.catalog import Endpoint


@dataclass(frozen=True, slots=True)
class HostUnreachable(NotRun):
    """No connection to an entry host; the request was not sent."""

    code: ClassVar[str] = 'host-unreachable'


class EntryLink:
    """Connection to one of several entry hosts.

    When the connection fails or the host drains, the next request opens a
    connection to the next host of the list.

    Parameters
    ----------
    endpoints : Sequence[Endpoint]
        Addresses of the entry hosts, in the order in which they are tried.
    hello : Hello
        First message sent on each connection.
    dialer : Dialer
        Opens the connections.
    """

    def __init__(
        self, endpoints: Sequence[Endpoint], hello: Hello, dialer: Dialer
    ) -> None:
        self._endpoints = tuple(endpoints)
        self._hello = hello
        self._dialer = dialer
        self._endpoint_index = 0
        self._transport: Transport | None = None
        self.incarnation = 0
        """Number of connections opened so far.

        It identifies the current connection. A transaction is bound to one
        connection and ends with that connection.
        """

        self.host = ''
        """Name of the host that was connected to last."""

        self.welcome_token = b''
        """Token of a new session, received on the first connection."""

    def call(self, message: Any, timeout_s: float) -> Result[Any, Refusal]:
        """Send a request, and open a connection first if none is open.

        Parameters
        ----------
        message : Any
            Request to send.
        timeout_s : float
            Maximum time for each of opening the connection, the Hello
            exchange and the request, in seconds.

        Returns
        -------
        Result[Any, Refusal]
            The reply or a refusal. If the run state of the refusal is
            unknown, the request may have been delivered.
        """
        opened = self.open(timeout_s)
        if not isinstance(opened, Success):
            return opened
        return self._exchange(message, timeout_s)

    def call_pinned(
        self, incarnation: int, message: Any, timeout_s: float
    ) -> Result[Any, Refusal]:
        """Send a request of a transaction over the transaction's connection.

        Parameters
        ----------
        incarnation : int
            Number of the connection on which the transaction began.
        message : Any
            Request to send.
        timeout_s : float
            Maximum time to wait for the reply, in seconds.

        Returns
        -------
        Result[Any, Refusal]
            The reply or a refusal; a refusal with the code of
            `TransactionLost` if that connection is no longer open.
        """
        if self._transport is None or self.incarnation != incarnation:
            return Failed(to_refusal(TransactionLost('connection was lost')))
        return self._exchange(message, timeout_s)

    def open(self, timeout_s: float) -> Result[None, Refusal]:
        """Connect to the current host of the list unless already connected.

        Parameters
        ----------
        timeout_s : float
            Maximum time to open the connection, and to wait for the host's
            Welcome, in seconds.

        Returns
        -------
        Result[None, Refusal]
            A refusal if the host is unreachable or rejects the connection;
            the next call then tries the next host.
        """
        if self._transport is not None:
            return Success(None)
        endpoint = self._endpoints[self._endpoint_index]
        dialled = self._dialer.dial(endpoint, timeout_s)
        if not isinstance(dialled, Success):
            self._advance_endpoint()
            detail = dialled.failure().detail
            return Failed(to_refusal(HostUnreachable(detail)))
        self._transport = dialled.unwrap()
        self.incarnation += 1
        return self._send_hello(timeout_s)

    def switch_host(self) -> None:
        """Close the open connection, if any, and select the next host."""
        if self._transport is not None:
            self.close()
            self._advance_endpoint()

    def close(self) -> None:
        """Close the connection."""
        transport, self._transport = self._transport, None
        if transport is not None:
            transport.close()

    def _advance_endpoint(self) -> None:
        self._endpoint_index = (self._endpoint_index + 1) % len(
            self._endpoints
        )

    def _send_hello(self, timeout_s: float) -> Result[None, Refusal]:
        reply = self._exchange(self._hello, timeout_s)
        if isinstance(reply, Success):
            return self._accept_welcome(reply.unwrap())
        refusal = reply.failure()
        self.switch_host()
        if refusal.code == PeerUnreachable.code:
            return Failed(to_refusal(HostUnreachable(refusal.detail)))
        return Failed(refusal)

    def _accept_welcome(self, message: Any) -> Result[None, Refusal]:
        if not isinstance(message, Welcome):
            self.switch_host()
            return Failed(
                to_refusal(HostUnreachable('host did not answer with Welcome'))
            )
        self.host = message.host
        self.welcome_token = self.welcome_token or message.token
        return Success(None)

    def _exchange(
        self, message: Any, timeout_s: float
    ) -> Result[Any, Refusal]:
        reply = self._transport.call(message, timeout_s)
        if not isinstance(reply, Success):
            self.switch_host()
            return Failed(to_refusal(reply.failure()))
        if not isinstance(reply.unwrap(), Refusal):
            return reply
        refusal = reply.unwrap()
        if refusal.code == Draining.code:
            self.switch_host()
        return Failed(refusal)


def to_refusal(failure: Failure) -> Refusal:
    """Convert a failure to the refusal that describes it."""
    return Refusal(
        failure.code,
        failure.run_state.value,
        failure.is_repeatable,
        failure.detail,
    )
