"""Connection to a member, with its session state."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
import time
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.direct.session_state import ConnectionState
from trefoilpulley_core.direct.session_state import plan_setup
from trefoilpulley_core.direct.upstream_session import CommitTransaction
from trefoilpulley_core.direct.upstream_session import RunStatement
from trefoilpulley_core.direct.upstream_session import TransactionState
from trefoilpulley_core.direct.upstream_session import UnknownStatement
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_node.direct.member_session import MemberSession
from trefoilpulley_node.direct.member_session import SetupFailed

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result

    from trefoilpulley_core.direct.upstream_session import Call
    from trefoilpulley_core.direct.upstream_session import Reply
    from trefoilpulley_core.direct.upstream_session import UpstreamSession
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_node.direct.member_session import SessionSetting


@dataclass(eq=False, slots=True)
class PooledSession(MemberSession):
    """Pooled connection to a member, with its session state."""

    upstream: UpstreamSession
    """Connection."""

    state: ConnectionState = field(default_factory=ConnectionState)
    """Session values and prepared statements set on the connection."""

    since: float = 0.0
    """Time of the last acquisition or release, in seconds."""

    customer: str = ''
    """Customer that the connection belongs to; empty for none."""

    kind: str = ''
    """Kind of the work that has the connection."""

    is_for_transaction: bool = False
    """Whether the work that has the connection is a transaction."""

    has_transaction: bool = False
    """Whether the member has a transaction open on the connection."""

    is_cancelled: bool = False
    """Whether the requests that have not been sent must not be sent."""

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and no reply is outstanding."""
        return self.upstream.is_usable

    @property
    def is_own(self) -> bool:
        """Whether answers show that this host itself reaches the member."""
        return True

    def exchange(
        self,
        calls: Sequence[Call],
        timeout_s: float,
        setting: SessionSetting | None = None,
    ) -> Result[tuple[Reply, ...], Failure]:
        """Send requests, and return the reply to each.

        A statement of a caller is sent only once the member has confirmed the
        session values: it would run whatever has become of them.
        """
        self.is_cancelled = False
        setup: tuple[Call, ...] = ()
        if setting is not None:
            setup = plan_setup(self.state, setting.session, setting.prepared)
        if setup and any(
            isinstance(c, RunStatement | CommitTransaction) for c in calls
        ):
            began_at = time.monotonic()
            prepared = self._exchange_setup(setup, (), timeout_s)
            if not isinstance(prepared, Success):
                return prepared
            timeout_s -= time.monotonic() - began_at
            setup = ()
            if self.is_cancelled:
                return Failed(NoUpstream('cancelled before it was sent'))
        result = self._exchange_setup(setup, calls, max(0.001, timeout_s))
        if isinstance(result, Success) and any(
            isinstance(r.failure, UnknownStatement) for r in result.unwrap()
        ):
            self.state.aliases.clear()
        return result

    def cancel_unsent(self) -> None:
        """Send no statement that waits for the session values."""
        self.is_cancelled = True

    def _exchange_setup(
        self, setup: Sequence[Call], calls: Sequence[Call], timeout_s: float
    ) -> Result[tuple[Reply, ...], Failure]:
        """Send session values and requests in one write.

        Returns the replies to the requests. The connection is closed if the
        member does not confirm the session values.
        """
        result = self.upstream.exchange((*setup, *calls), timeout_s)
        if not isinstance(result, Success):
            if calls:
                return result
            return Failed(SetupFailed(result.failure().code))
        replies = result.unwrap()
        self.has_transaction = replies[-1].state is not TransactionState.IDLE
        if any(r.failure is not None for r in replies[: len(setup)]):
            self.upstream.close()
            return Failed(SetupFailed('member refused the session values'))
        return Success(replies[len(setup) :])

    def close(self) -> None:
        """Close the connection; the member rolls back an open transaction."""
        self.upstream.close()
