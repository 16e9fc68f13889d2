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


MAX_WAIT_MS = 5000
"""Maximum time that the service holds a call, in milliseconds.

It also bounds the time until a dead connection is noticed.
"""

MAX_RELAY_WAIT_MS = 3000
"""The same in deployments of `MIN_HOSTS` and more, in milliseconds.

The hosts of a zone rely on two watches there. With up to 0.8 s until the
answer is missed and 0.7 s for two other hosts to take over, a configuration
is in force within 5 s although both watches have failed silently.
"""


class WatchPace:
    """Decides how long a watch waits before and in its next call."""

    def __init__(self) -> None:
        self._hosts: set[str] = set()
        self.pause_s = MIN_PAUSE_S
        """Pause before the next call, in seconds."""

    @property
    def wait_ms(self) -> int:
        """Time that the service may hold the next call, in milliseconds."""
        is_small = len(self._hosts) < MIN_HOSTS
        return MAX_WAIT_MS if is_small else MAX_RELAY_WAIT_MS

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
