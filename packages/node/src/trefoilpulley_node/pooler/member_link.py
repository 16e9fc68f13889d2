"""Client connection for the protocol of the stand-in member."""

from __future__ import annotations

import abc
from typing import Any
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import failures_by_code
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_core.upstream import Upstream
from trefoilpulley_wire.dial import dial
from trefoilpulley_wire.handler import Handler
from trefoilpulley_wire import member_codec

if TYPE_CHECKING:
    from trefoilpulley_core.catalog import Endpoint
    from trefoilpulley_core.position import Position
    from trefoilpulley_core.upstream import MemberStatus
    from trefoilpulley_core.upstream import OutcomeKey
    from trefoilpulley_core.upstream import Statement
    from trefoilpulley_core.upstream import StatementResult
    from trefoilpulley_wire.channel import Channel

CONNECT_TIMEOUT_S = 1.0
"""Longest time to connect to a member, in seconds."""

CONTROL_TIMEOUT_S = 0.5
"""Longest wait for the answer to a control message, in seconds."""

STATEMENT_TIMEOUT_S = 30.0
"""Longest wait for a statement, in seconds.

The connection is closed when the wait ends without an answer.
"""

_FAILURES = failures_by_code()


class MemberLink(Upstream):
    """One connection to one member.

    Parameters
    ----------
    channel : Channel
        Open channel to the member.
    """

    def __init__(self, channel: Channel) -> None:
        self._channel = channel

    @property
    def is_open(self) -> bool:
        """Whether the connection is open."""
        return self._channel.is_open

    def status(self) -> Result[MemberStatus, Failure]:
        """Ask the member for its status."""
        return self._call_control(member_codec.Status())

    def read(
        self, statement: Statement, floor: Position
    ) -> Result[StatementResult, Failure]:
        """Run a read in a snapshot that includes the floor."""
        return self._call_statement(member_codec.Read(statement, floor))

    def write(
        self, statement: Statement, term: int, key: OutcomeKey | None
    ) -> Result[StatementResult, Failure]:
        """Run a write and store its outcome in the same transaction."""
        return self._call_statement(member_codec.Write(statement, term, key))

    def begin(self, term: int) -> Result[None, Failure]:
        """Begin a transaction on this connection."""
        return self._call_without_result(member_codec.BeginTransaction(term))

    def run(self, statement: Statement) -> Result[StatementResult, Failure]:
        """Run a statement inside the open transaction."""
        return self._call_statement(member_codec.RunStatement(statement))

    def commit(
        self, key: OutcomeKey | None
    ) -> Result[StatementResult, Failure]:
        """Commit the open transaction and store its outcome with it."""
        return self._call_statement(member_codec.CommitTransaction(key))

    def rollback(self) -> Result[None, Failure]:
        """Roll back the open transaction."""
        return self._call_without_result(member_codec.RollbackTransaction())

    def resolve(
        self, key: OutcomeKey, term: int
    ) -> Result[StatementResult, Failure]:
        """Return the stored outcome of a key, or abandon the key."""
        return self._call_statement(member_codec.Resolve(key, term))

    def fence(self, term: int) -> Result[MemberStatus, Failure]:
        """Make the member refuse every lower term permanently."""
        return self._call_control(member_codec.Fence(term))

    def promote(self, term: int) -> Result[MemberStatus, Failure]:
        """Make the member the primary of the term at which it is fenced."""
        return self._call_control(member_codec.Promote(term))

    def follow(self, term: int, primary: str) -> Result[MemberStatus, Failure]:
        """Make the member a replica of the primary of a term."""
        return self._call_control(member_codec.Follow(term, primary))

    def watch_progress(self) -> Result[MemberStatus, Failure]:
        """Ask the member to report every change of its progress."""
        watching = self._call_without_result(member_codec.WatchProgress())
        return watching.bind(lambda _: self.status())

    def close(self) -> None:
        """Close the connection."""
        self._channel.close()

    def _call_control(self, message: Any) -> Result[MemberStatus, Failure]:
        return self._call(message, CONTROL_TIMEOUT_S).map(
            lambda reply: reply.status
        )

    def _call_statement(
        self, message: Any
    ) -> Result[StatementResult, Failure]:
        return self._call(message, STATEMENT_TIMEOUT_S).map(
            lambda reply: reply.result
        )

    def _call_without_result(self, message: Any) -> Result[None, Failure]:
        return self._call(message, STATEMENT_TIMEOUT_S).map(lambda _: None)

    def _call(self, message: Any, timeout_s: float) -> Result[Any, Failure]:
        reply = self._channel.call(message, timeout_s)
        if not isinstance(reply, Success):
            if isinstance(reply.failure(), PeerUnreachable):
                # A late answer must not be taken as the answer to the
                # next request.
                self._channel.close()
            return reply
        answer = reply.unwrap()
        if isinstance(answer, member_codec.MemberFailure):
            kind = _FAILURES.get(answer.code, PeerUnreachable)
            return Failed(kind(answer.detail))
        return reply


class LinkListener(abc.ABC):
    """Receives the reports that a member sends on its own."""

    @abc.abstractmethod
    def on_status(self, status: MemberStatus) -> None:
        """Handle a report of a changed status."""

    @abc.abstractmethod
    def on_alive(self) -> None:
        """Handle a message that the status has not changed."""

    @abc.abstractmethod
    def on_lost(self) -> None:
        """Handle the end of the connection."""


class _ReportHandler(Handler):
    def __init__(self, listener: LinkListener | None) -> None:
        self._listener = listener

    def on_request(self, channel: Channel, message: Any) -> Any:
        """Refuse a request, because members send none."""
        return member_codec.MemberFailure('malformed-message')

    def on_malformed(self, channel: Channel, failure: Failure) -> Any:
        """Refuse a message that could not be decoded."""
        return member_codec.MemberFailure(failure.code)

    def on_notice(self, channel: Channel, message: Any) -> None:
        """Pass a report of the member to the listener."""
        if self._listener is None:
            return
        if isinstance(message, member_codec.MemberReport):
            self._listener.on_status(message.status)
        elif isinstance(message, member_codec.StillAlive):
            self._listener.on_alive()

    def on_close(self, channel: Channel) -> None:
        """Report the end of the connection to the listener."""
        if self._listener is not None:
            self._listener.on_lost()


def connect_member(
    endpoint: Endpoint,
    listener: LinkListener | None = None,
) -> Result[MemberLink, Failure]:
    """Open a connection to a member.

    Parameters
    ----------
    endpoint : Endpoint
        Address of the member.
    listener : LinkListener, optional
        Receives the reports that the member sends on its own.

    Returns
    -------
    Result[MemberLink, Failure]
        The connection, or `PeerUnreachable` if the member could not be
        reached.
    """
    return dial(
        endpoint,
        member_codec.MEMBER_CODEC,
        _ReportHandler(listener),
        CONNECT_TIMEOUT_S,
    ).map(MemberLink)
