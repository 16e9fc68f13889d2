"""Interface of a session with a member."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpulley_core.failure import NotRun

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result

    from trefoilpulley_core.direct.commands import Prepare
    from trefoilpulley_core.direct.session_state import SessionState
    from trefoilpulley_core.direct.upstream_session import Call
    from trefoilpulley_core.direct.upstream_session import Reply
    from trefoilpulley_core.failure import Failure


@dataclass(frozen=True, slots=True)
class SetupFailed(NotRun):
    """The member has not confirmed the session values; no more was sent."""

    code = 'setup-failed'


@dataclass(frozen=True, slots=True)
class SessionSetting:
    """State that a connection needs before it runs a caller's statement."""

    session: SessionState
    """Values of the caller's session."""

    prepared: Prepare | None = None
    """Prepared statement to run, if any."""


class MemberSession(abc.ABC):
    """Session with a member on a connection of this or another host."""

    @property
    @abc.abstractmethod
    def is_usable(self) -> bool:
        """Whether the session can be reused for another request."""

    @abc.abstractmethod
    def exchange(
        self,
        calls: Sequence[Call],
        timeout_s: float,
        setting: SessionSetting | None = None,
    ) -> Result[tuple[Reply, ...], Failure]:
        """Send requests, and return the reply to each.

        Parameters
        ----------
        calls : Sequence[Call]
            Requests.
        timeout_s : float
            Timeout for the last reply, in seconds.
        setting : SessionSetting, optional
            State to set on the connection first, where the state differs.
        """

    @property
    @abc.abstractmethod
    def is_own(self) -> bool:
        """Whether answers show that this host itself reaches the member.

        They do on a connection of this host, and at a host that has none.
        """

    def cancel_unsent(self) -> None:
        """Cancel the requests that no member has been sent yet."""

    @abc.abstractmethod
    def close(self) -> None:
        """End the session; the member rolls back an open transaction."""
