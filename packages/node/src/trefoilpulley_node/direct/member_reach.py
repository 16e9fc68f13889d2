"""What this host knows about reaching one member, itself and by any path."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_core.direct.own_reach import OwnReach
from trefoilpulley_node import events

if TYPE_CHECKING:
    from trefoilpulley_core.direct.connection_holders import ConnectionHolders
    from trefoilpulley_core.direct.group_state import MemberHealth
    from trefoilpulley_core.position import Position


class MemberReach:
    """Records answers and failures of a member where they belong.

    An answer on a connection of this host shows that the host reaches the
    member itself, and that the member is reachable. A failure shows the
    opposite of both only where the host has no other path to the member.

    Parameters
    ----------
    health : MemberHealth
        Health of the member by any path.
    """

    def __init__(self, health: MemberHealth) -> None:
        self._health = health
        self.own = OwnReach()
        """Whether this host reaches the member itself."""

        self._is_only_path = True

    def update(self, host: str, holders: ConnectionHolders) -> None:
        """Set the holders of the member.

        Parameters
        ----------
        host : str
            Name of this host.
        holders : ConnectionHolders
            Hosts that hold the connections to the member.
        """
        self.own.is_refusing_early = host in holders.hosts
        self._is_only_path = not set(holders.hosts) - {host}

    def on_answer(self, now: float, position: Position | None = None) -> None:
        """Record an answer on a connection of this host."""
        failing_since = self.own.failing_since
        if self.own.is_refusing:
            self._log(now, failing_since, is_reached=True)
        self.own.on_answer(now)
        self._health.on_answer(now, position or self._health.position)

    def on_unreachable(self, now: float) -> None:
        """Record that this host does not reach the member itself."""
        is_new = self.own.failing_since is None
        self.own.on_unreachable(now)
        if is_new and self.own.is_refusing:
            self._log(now, now, is_reached=False)
        if self._is_only_path:
            self._health.on_unreachable(now)

    def _log(self, now: float, since: float, is_reached: bool) -> None:
        record = self._health.record
        events.OWN_REACH_CHANGED.log(
            group=record.group,
            member=record.member,
            is_reached=is_reached,
            failing_ms=round(1000 * (now - since)),
        )
