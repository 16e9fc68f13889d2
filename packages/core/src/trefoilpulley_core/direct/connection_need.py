"""Number of connections to a member that its customers need.

Load pattern: load varies in waves of 11 to 13 s. A host that closes what one
wave has opened opens the same connections again in the next wave, and each new
connection occupies a slot of the member.
"""

from __future__ import annotations

from collections import deque

NEED_WINDOW_S = 13.0
"""Time for which a connection that was in use is needed, in seconds.

One period of the waves.
"""


class ConnectionNeed:
    """Connections in use at once within the window, by customer.

    The connections of different customers add up, because no customer can use
    a connection of another one.
    """

    def __init__(self) -> None:
        self._peaks: dict[str, deque[tuple[float, int]]] = {}

    def record(self, customer: str, in_use: int, now: float) -> None:
        """Record how many connections of a customer are in use.

        Parameters
        ----------
        customer : str
            Name of the customer; empty for none.
        in_use : int
            Connections of the customer in use.
        now : float
            Current time in seconds.
        """
        # Each peak is lower than the peaks before it, so that a deque is as
        # short as a customer's highest number of connections.
        peaks = self._peaks.setdefault(customer, deque())
        while peaks and peaks[-1][1] <= in_use:
            peaks.pop()
        peaks.append((now, in_use))

    def count(self, now: float) -> int:
        """Return the number of connections that are needed."""
        total = 0
        for customer, peaks in list(self._peaks.items()):
            while peaks and now - peaks[0][0] > NEED_WINDOW_S:
                peaks.popleft()
            if peaks:
                total += peaks[0][1]
            else:
                del self._peaks[customer]
        return total
