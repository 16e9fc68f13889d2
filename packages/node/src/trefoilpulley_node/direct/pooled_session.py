"""Connection to a member, with its session state."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.direct.session_state import ConnectionState
from trefoilpulley_core.direct.session_state import plan_setup
from trefoilpulley_core.direct.upstream_session import UnknownStatement
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
        """Send requests in one write and return the reply to each."""
        setup: tuple[Call, ...] = ()
        if setting is not None:
            setup = plan_setup(self.state, setting.session, setting.prepared)
        result = self.upstream.exchange((*setup, *calls), timeout_s)
        if not isinstance(result, Success):
            return result
        replies = result.unwrap()
        if any(r.failure is not None for r in replies[: len(setup)]):
            self.upstream.close()
            return Failed(SetupFailed('member refused the session values'))
        replies = replies[len(setup) :]
        if any(isinstance(r.failure, UnknownStatement) for r in replies):
            self.state.aliases.clear()
        return Success(replies)

    def close(self) -> None:
        """Close the connection; the member rolls back an open transaction."""
        self.upstream.close()
