"""Rules of the replication, on either side."""

from __future__ import annotations

from returns.pipeline import is_successful

from trefoilpulley_core.failure import NotPrimary
from trefoilpulley_core.position import Position
from trefoilpulley_standins.member._state import MemberState
from trefoilpulley_standins.member.log import RecordLog
from trefoilpulley_standins.member.replication import Append
from trefoilpulley_standins.member.replication import Confirm
from trefoilpulley_standins.member.replication import Refused
from trefoilpulley_standins.member.replication import Snapshot
from trefoilpulley_standins.member.replication import Subscribe
from trefoilpulley_standins.member.replication import Subscribed
from trefoilpulley_standins.member.store import SqlStore

APPEND_RECORDS = 256
"""Records sent to a replica at once."""


class ReplicatedMember(MemberState):
    """Member that feeds replicas or follows a primary."""

    def on_subscribe(
        self, message: Subscribe
    ) -> Subscribed | Snapshot | Refused:
        """Compare a replica's log with the primary's."""
        if not self.is_primary or message.term != self.term:
            return Refused(NotPrimary.code)
        if self._is_continued_by_log(message):
            return Subscribed()
        return Snapshot(self.log.history, self._committed.snapshot())

    def on_snapshot(self, term: int, message: Snapshot) -> bool:
        """Replace the state by a copy; false where the term has passed."""
        if not self._is_followed(term):
            return False
        self._committed.close()
        self._committed = SqlStore.from_snapshot(message.data)
        self.log = RecordLog(message.history)
        self.is_rebuilding = False
        self.is_compared = True
        self._changed()
        return True

    def on_subscribed(self, term: int) -> bool:
        """Take note that the log is a beginning of the primary's."""
        if not self._is_followed(term):
            return False
        self.is_compared = True
        return True

    def on_append(self, message: Append) -> bool:
        """Apply records of the primary; false where they do not fit."""
        if not self._is_followed(message.term) or self.is_rebuilding:
            return False
        if message.previous != self.log.last:
            return False
        for record in message.records:
            if not is_successful(self._committed.apply(record)):
                self.is_rebuilding = True
                return False
            self.log.append(record)
        if message.records:
            self._changed()
        return True

    def on_contact(self, term: int, now: float) -> None:
        """Take note that the primary of a term was heard."""
        if self._is_followed(term):
            self._contact_at = now

    def on_confirm(self, message: Confirm) -> None:
        """Take note of a replica's progress."""
        if not self.is_primary or message.term != self.term:
            return
        self._acknowledged[message.member] = message.position
        self._changed()

    def subscription(self) -> Subscribe:
        """Return the request for the records that the member lacks."""
        return Subscribe(
            self.name, self.term, self.log.history, self.is_rebuilding
        )

    def confirmation(self) -> Confirm:
        """Return what the member confirms to its primary."""
        return Confirm(self.name, self.term, self.log.last)

    def next_append(self, after: int) -> Append:
        """Return the records that follow an index, or a heartbeat."""
        previous = Position(self.log.history.term_at(after), after)
        records = self.log.read_after(after, APPEND_RECORDS)
        return Append(self.term, previous, tuple(records))

    def _is_continued_by_log(self, message: Subscribe) -> bool:
        if message.is_rebuilding:
            return False
        if not message.history.is_prefix_of(self.log.history):
            return False
        return self.log.is_retained(message.history.last.index)
