"""Order of the changes that a host learns from a watch and from reads.

A read of many keys is answered page by page while a watch reports changes. A
page may be older than a reported deletion, and a key may be created after the
page that would have listed it. The revisions decide what is newer, so that a
member that has left is not taken for a new one, and a new one is kept.
Revisions compare only within one era of the service: any change of a newer
era is newer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpulley_core.platform import KeyValue
    from trefoilpulley_core.platform import PrefixRead


class EntryRevisions:
    """Newest known revision of each key, deleted keys included.

    The revision of a deletion is kept only during a read, since the changes
    of a watch arrive in order and any later read is newer.
    """

    def __init__(self) -> None:
        self._versions: dict[str, tuple[int, int]] = {}
        self._deleted: set[str] = set()
        self._is_reading = False
        self._era = 0

    def accept(self, entry: KeyValue) -> bool:
        """Return whether an entry is newer than what is known of its key.

        Parameters
        ----------
        entry : KeyValue
            Entry of a watch or a read; its value is empty for a deletion.
        """
        if entry.era < self._era:
            return False
        if entry.version <= self._versions.get(entry.key, (0, 0)):
            return False
        self._era = entry.era
        if entry.value:
            self._deleted.discard(entry.key)
        elif self._is_reading:
            self._deleted.add(entry.key)
        else:
            self._versions.pop(entry.key, None)
            return True
        self._versions[entry.key] = entry.version
        return True

    def begin_read(self) -> None:
        """Keep the revisions of deletions until a read has ended."""
        self._is_reading = True

    def end_read(self, read: PrefixRead | None) -> tuple[str, ...]:
        """Return the known keys that no longer exist, and forget them.

        Parameters
        ----------
        read : PrefixRead | None
            Read of every key, whose entries were accepted before; ``None``
            for a read that failed.
        """
        self._is_reading = False
        for key in self._deleted:
            del self._versions[key]
        self._deleted.clear()
        if read is None:
            return ()
        listed = {e.key for e in read.entries}
        absent = tuple(
            key
            for key, version in self._versions.items()
            if key not in listed and version <= (read.era, read.revision)
        )
        for key in absent:
            del self._versions[key]
        return absent
