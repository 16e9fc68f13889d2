"""Bounded history of the changes that a host has learnt of the service.

Load pattern: some 28 hosts of a zone ask two relays for changes. Their
positions differ by what one question takes. Most are at the newest revision,
and a host that has been silent for some seconds is a few changes behind.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpulley_core.platform import KeyValue
    from trefoilpulley_core.platform import WatchPosition

MAX_ENTRIES = 2000
"""Greatest number of changes that are kept."""

MAX_BYTES = 4 << 20
"""Greatest size of the changes that are kept, in bytes.

A value has up to 1 MB, and the smallest hosts have 200 MB.
"""

MAX_ANSWER_BYTES = 1 << 19
"""Greatest size of the changes in one answer, in bytes.

It is half of the greatest size of a message between hosts, so that the
encoding of many small entries fits as well.
"""

ENTRY_BYTES = 64
"""Size of an entry without key and value, in bytes."""


class ChangeHistory:
    """Changes of one era in the order of their revisions."""

    def __init__(self) -> None:
        self._entries: deque[KeyValue] = deque()
        self._bytes = 0
        self._first = 0
        self.position: WatchPosition | None = None
        """Position up to which every change has been recorded, if known."""

    def __len__(self) -> int:
        """Return the number of changes that are kept."""
        return len(self._entries)

    def reset(self, position: WatchPosition | None) -> None:
        """Forget all changes and begin at another position."""
        self._entries.clear()
        self._bytes = 0
        self.position = position
        self._first = position.revision if position else 0

    def is_known(self, entry: KeyValue) -> bool:
        """Return whether the position is at or past a change."""
        position = self.position
        return position is not None and entry.version <= (
            position.era,
            position.revision,
        )

    def discard_pending(self) -> None:
        """Forget the changes past the position.

        A watch that begins reports them again.
        """
        newest = self.position.revision if self.position else 0
        while self._entries and self._entries[-1].mod_revision > newest:
            self._bytes -= _size(self._entries.pop())

    def record(self, entry: KeyValue) -> None:
        """Add a change, which is passed on once `advance` has passed it."""
        self._entries.append(entry)
        self._bytes += _size(entry)
        while len(self._entries) > MAX_ENTRIES or self._bytes > MAX_BYTES:
            dropped = self._entries.popleft()
            self._bytes -= _size(dropped)
            self._first = max(self._first, dropped.mod_revision)

    def advance(self, position: WatchPosition) -> None:
        """Note that every change up to a position has been recorded."""
        if self.position is None or position.era != self.position.era:
            self.reset(position)
        elif position.revision > self.position.revision:
            self.position = position

    def changes_after(
        self, revision: int
    ) -> tuple[tuple[KeyValue, ...], int] | None:
        """Return changes and the revision up to which they are complete.

        ``None`` if the history does not reach back to the revision. All
        changes of a revision are returned together.
        """
        if self.position is None or revision < self._first:
            return None
        newest = self.position.revision
        found = [
            e for e in self._entries if revision < e.mod_revision <= newest
        ]
        size = 0
        for index, entry in enumerate(found):
            size += _size(entry)
            if size > MAX_ANSWER_BYTES:
                up_to = entry.mod_revision
                kept = [e for e in found[:index] if e.mod_revision < up_to]
                if not kept:
                    # One revision alone is too large for a message.
                    return None
                return tuple(kept), kept[-1].mod_revision
        return tuple(found), newest


def _size(entry: KeyValue) -> int:
    return ENTRY_BYTES + len(entry.key) + len(entry.value)
