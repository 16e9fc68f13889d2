"""Interface to a session with a member that is lent to one piece of work."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpulley_core.failure import PeerUnreachable

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result

    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.proxy.commands import Prepare
    from trefoilpulley_core.proxy.session_state import SessionState
    from trefoilpulley_core.proxy.upstream_session import Call
    from trefoilpulley_core.proxy.upstream_session import Reply


@dataclass(frozen=True, slots=True)
class SetupFailed(PeerUnreachable):
    """The connection could not take the session's values."""

    code = 'setup-failed'


@dataclass(frozen=True, slots=True)
class SessionSetting:
    """What must be set on a connection before a caller's statement."""

    session: SessionState
    """Values of the caller's session."""

    prepared: Prepare | None = None
    """Prepared statement that will run, if any."""


class MemberSession(abc.ABC):
    """Session with a member, on a connection of this host or of another."""

    @property
    @abc.abstractmethod
    def is_usable(self) -> bool:
        """Whether it can be given back for the next work."""

    @abc.abstractmethod
    def exchange(
        self,
        calls: Sequence[Call],
        timeout_s: float,
        setting: SessionSetting | None = None,
    ) -> Result[tuple[Reply, ...], Failure]:
        """Send requests in one write and return the reply to each.

        Parameters
        ----------
        calls : Sequence[Call]
            Requests.
        timeout_s : float
            Longest wait for the last reply, in seconds.
        setting : SessionSetting, optional
            What is set on the connection first, where it is not yet.
        """

    def cancel_unsent(self) -> None:
        """Make sure that what no member has been sent yet never is."""

    @abc.abstractmethod
    def close(self) -> None:
        """End the session; the member rolls back what is open."""
