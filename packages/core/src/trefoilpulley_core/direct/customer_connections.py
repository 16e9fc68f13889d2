"""Connections of a pool to a member, by the customer that they belong to.

Load pattern: 85 customers of very different sizes share the connections that
one host may open to a member. A connection serves only its own customer, and a
new one occupies a slot of the member. Connections of customers that are quiet
are evicted for customers that have work. A large customer always has work and
the most recently used connections, so that the least recently used ones alone
would always be those of small customers.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import StrEnum
from typing import Generic
from typing import Protocol
from typing import TYPE_CHECKING
from typing import TypeVar

from trefoilpulley_core.direct.connection_need import ConnectionNeed
from trefoilpulley_core.direct.connection_need import NEED_WINDOW_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.direct.connection_request import ConnectionRequest
    from trefoilpulley_core.direct.connection_share import ConnectionShare

MAX_LABELS = 20
"""Maximum number of customers that are listed by name."""

OTHER_LABEL = 'other'
"""Label of the customers that are not listed by name."""


class OpenReason(StrEnum):
    """Reasons for which a connection is opened."""

    FIRST = 'first'
    """The customer had no connection."""

    MORE = 'more'
    """All connections of the customer were in use."""

    REPLACING = 'replacing'
    """As the two above, in place of a connection that was evicted."""

    AHEAD = 'ahead'
    """It is kept open before a request needs it."""


class CloseReason(StrEnum):
    """Reasons for which a connection is closed."""

    EVICTED = 'evicted'
    """Another customer needed its place."""

    IDLE = 'idle'
    """It was not needed."""

    SURPLUS = 'surplus'
    """The host had more connections than it may open."""

    BROKEN = 'broken'
    """It could not be used again."""

    STOPPED = 'stopped'
    """The member left the group."""


class CustomerConnection(Protocol):
    """What the pool knows of a connection."""

    customer: str
    """Customer that the connection belongs to; empty for none."""

    since: float
    """Time of the last acquisition or release, in seconds."""


C = TypeVar('C', bound=CustomerConnection)


@dataclass(frozen=True, slots=True)
class DialPlan(Generic[C]):
    """Permission to open a connection."""

    evicted: C | None = None
    """Idle connection to close first, if any."""


class CustomerConnections(Generic[C]):
    """Idle connections, and the number of open ones of each customer."""

    def __init__(self) -> None:
        self._idle: list[C] = []
        self._open: Counter[str] = Counter()
        self._open_count = 0
        self._need = ConnectionNeed()

    @property
    def open_count(self) -> int:
        """Number of connections that are open or being opened."""
        return self._open_count

    @property
    def has_idle(self) -> bool:
        """Whether a connection is idle."""
        return bool(self._idle)

    @property
    def oldest_idle(self) -> C | None:
        """Idle connection that was used least recently, if any."""
        return self._idle[0] if self._idle else None

    def count_open(self, customer: str) -> int:
        """Return the number of connections of a customer."""
        return self._open[customer]

    def list_open(self) -> dict[str, int]:
        """Return the open connections of the customers that hold most."""
        listed = dict(self._open.most_common(MAX_LABELS))
        rest = self._open_count - sum(listed.values())
        return {**listed, OTHER_LABEL: rest} if rest else listed

    def count_needed(self, now: float) -> int:
        """Return how many connections the customers need."""
        return self._need.count(now)

    def on_opening(self, customer: str) -> None:
        """Count a connection that is being opened."""
        self._open[customer] += 1
        self._open_count += 1

    def on_closed(self, customer: str) -> None:
        """Count a connection that was closed or could not be opened."""
        self._open[customer] -= 1
        self._open_count -= 1
        if not self._open[customer]:
            del self._open[customer]

    def on_used(self, customer: str, now: float) -> None:
        """Record the need when a connection is handed out or returned."""
        idle = sum(1 for c in self._idle if c.customer == customer)
        self._need.record(customer, self._open[customer] - idle, now)

    def add_idle(self, conn: C) -> None:
        """Add a connection that was just used."""
        self._idle.append(conn)

    def remove_idle(self, conn: C) -> None:
        """Remove an idle connection, to hand it out or close it."""
        self._idle.remove(conn)

    def has_match(self, work: ConnectionRequest) -> bool:
        """Return whether an idle connection may serve the work."""
        return any(_may_serve(c, work) for c in self._idle)

    def take(
        self,
        work: ConnectionRequest,
        is_preferred: Callable[[C], bool] | None = None,
    ) -> C | None:
        """Remove and return an idle connection that may serve the work.

        Parameters
        ----------
        work : ConnectionRequest
            Work that asks for a connection.
        is_preferred : Callable[[C], bool], optional
            Whether a connection is better than others.

        Returns
        -------
        C | None
            The most recently used connection that is preferred, else the most
            recently used one, else ``None``.
        """
        matches = [c for c in self._idle if _may_serve(c, work)]
        if not matches:
            return None
        conn = matches[-1]
        if is_preferred is not None:
            conn = next((c for c in matches[::-1] if is_preferred(c)), conn)
        self._idle.remove(conn)
        return conn

    def plan_dial(
        self,
        work: ConnectionRequest,
        share: ConnectionShare,
        dialing: int,
        now: float,
    ) -> DialPlan[C] | None:
        """Return how to open a connection for work, or ``None`` to wait.

        Parameters
        ----------
        work : ConnectionRequest
            Work for which no connection is idle.
        share : ConnectionShare
            Number of connections that may be open.
        dialing : int
            Connections that are being opened.
        now : float
            Current time in seconds.
        """
        if share.may_dial(self._open_count, dialing, now):
            return DialPlan()
        if not share.may_replace(self._open_count, dialing, now):
            return None
        evicted = self.find_evictable(work.customer, now)
        return None if evicted is None else DialPlan(evicted)

    def find_evictable(self, customer: str, now: float) -> C | None:
        """Return the idle connection to close for a customer, if any.

        Connections that their customers have not needed in the window come
        first, the least recently used one before others. Then comes the
        customer that holds most. A customer that has a connection takes
        needed ones only from customers that hold more, so that a large
        customer does not evict the connections of the small ones in turn.
        """
        held = self._open[customer]
        others = [c for c in self._idle if c.customer != customer]
        for conn in others:
            if now - conn.since > NEED_WINDOW_S:
                return conn
        richer = [c for c in others if self._open[c.customer] > held]
        # The first of equals is the least recently used one.
        return max(richer, key=lambda c: self._open[c.customer], default=None)


def _may_serve(conn: CustomerConnection, work: ConnectionRequest) -> bool:
    return work.is_internal or conn.customer == work.customer
