"""Pause between two calls of a watch on the platform's service, and its hold.

Load pattern: 80 to 90 hosts start together. Each of them registers, and the
watch of each of them returns for the registrations of the others, so that the
number of calls grows with the square of the number of hosts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_core.keys import HOST_PREFIX

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from trefoilpulley_core.platform import KeyValue

MIN_PAUSE_S = 0.25
"""Pause after an answer, in seconds.

Entries often change in groups, above all when the deployment starts. The
pause lets one call return several changes instead of one call per change. It
is far shorter than the few seconds within which a change must be applied.
"""

MAX_PAUSE_S = 0.5
"""Longest pause after answers that only concern hosts, in seconds.

It is shorter than a promotion, which takes 0.6 s: a host that learnt of a new
leader before the claim would take the claim for that of a later change.
"""

MIN_HOSTS = 25
"""Number of hosts from which the pause grows."""

DEFAULT_BOUND_S = 5.0
"""Default time until a configuration must be in force, in seconds."""

RECOVERY_S = 2.0
"""Part of the bound for what follows a call that was lost, in seconds.

Up to 0.8 s pass until the answer is missed, and up to 0.7 s until another
call is answered or two other hosts follow the service for a zone. The rest is
for the pause before the lost call and for a first attempt that fails.
"""

MIN_WAIT_S = 0.5
"""Minimum time that the service holds a call, in seconds."""

MAX_WAIT_S = 5.0
"""Maximum time that the service holds a call, in seconds."""


class WatchPace:
    """Decides how long a watch waits before and in its next call.

    A service that was silent for a moment may never answer a call that it
    seems to hold, so that the hold bounds the time in which changes are
    missed.

    Parameters
    ----------
    bound_s : float
        Time within which a configuration must be in force, in seconds.
    """

    def __init__(self, bound_s: float = DEFAULT_BOUND_S) -> None:
        wait_s = min(MAX_WAIT_S, max(MIN_WAIT_S, bound_s - RECOVERY_S))
        self.wait_ms = round(1000 * wait_s)
        """Time that the service may hold a call, in milliseconds."""

        self._hosts: set[str] = set()
        self.pause_s = MIN_PAUSE_S
        """Pause before the next call, in seconds."""

    def on_entries(self, entries: Iterable[KeyValue]) -> None:
        """Record the hosts among entries that were read or have changed."""
        for entry in entries:
            if entry.key.startswith(HOST_PREFIX):
                if entry.value:
                    self._hosts.add(entry.key)
                else:
                    self._hosts.discard(entry.key)

    def on_changes(self, changes: Sequence[KeyValue]) -> None:
        """Choose the pause after an answer with changes.

        The pause grows while answers bring changes of hosts and nothing else,
        one after the other.
        """
        self.on_entries(changes)
        keys = [change.key for change in changes]
        is_growing = (
            bool(keys)
            and len(self._hosts) >= MIN_HOSTS
            and all(k.startswith(HOST_PREFIX) for k in keys)
        )
        longer_s = min(MAX_PAUSE_S, 2 * self.pause_s)
        self.pause_s = longer_s if is_growing else MIN_PAUSE_S
