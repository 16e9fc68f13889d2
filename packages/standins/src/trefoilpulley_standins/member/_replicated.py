"""Replication logic of a member as primary and as replica."""

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

MAX_APPEND_RECORDS = 256
"""Records in one message to a replica."""


class ReplicatedMember(MemberState):
    """Member that streams its log to replicas or follows a primary."""

    def on_subscribe(
        self, message: Subscribe
    ) -> Subscribed | Snapshot | Refused:
        """Answer with a copy of the state unless the replica can resume."""
        if not self.is_primary or message.term != self.term:
            return Refused(NotPrimary.code)
        if self._can_resume(message):
            return Subscribed()
        return Snapshot(self.log.history, self._committed_store.snapshot())

    def on_snapshot(self, term: int, message: Snapshot) -> bool:
        """Replace the state by the primary's copy.

        Returns false if the member no longer follows the primary of the
        term.
        """
        if not self._is_replica_in_term(term):
            return False
        self._committed_store.close()
        self._committed_store = SqlStore.from_snapshot(message.data)
        self.log = RecordLog(message.history)
        self.is_rebuilding = False
        self.is_log_verified = True
        self._notify_observers()
        return True

    def on_subscribed(self, term: int) -> bool:
        """Mark the log as a verified prefix of the primary's log.

        Returns false if the member no longer follows the primary of the
        term.
        """
        if not self._is_replica_in_term(term):
            return False
        self.is_log_verified = True
        return True

    def on_append(self, message: Append) -> bool:
        """Apply records of the primary.

        Returns false if the member does not follow the primary of the
        term, if the records do not directly follow the log, or if a record
        cannot be applied. After a record that cannot be applied, the member
        needs a copy of the primary's state.
        """
        if not self._is_replica_in_term(message.term) or self.is_rebuilding:
            return False
        if message.previous != self.log.last:
            return False
        for record in message.records:
            if not is_successful(self._committed_store.apply(record)):
                self.is_rebuilding = True
                return False
            self.log.append(record)
        if message.records:
            self._notify_observers()
        return True

    def on_contact(self, term: int, now: float) -> None:
        """Record the time of a message from the primary of a term."""
        if self._is_replica_in_term(term):
            self._primary_contact_at = now

    def on_confirm(self, message: Confirm) -> None:
        """Record the position that a replica acknowledges."""
        if not self.is_primary or message.term != self.term:
            return
        self._acknowledged_positions[message.member] = message.position
        self._notify_observers()

    def subscription(self) -> Subscribe:
        """Return the request that subscribes to the primary's records."""
        return Subscribe(
            self.name, self.term, self.log.history, self.is_rebuilding
        )

    def confirmation(self) -> Confirm:
        """Return the acknowledgement of the log up to its end."""
        return Confirm(self.name, self.term, self.log.last)

    def next_append(self, after: int) -> Append:
        """Return the records after an index; a heartbeat if there are none."""
        previous = Position(self.log.history.term_at(after), after)
        records = self.log.read_after(after, MAX_APPEND_RECORDS)
        return Append(self.term, previous, tuple(records))

    def _can_resume(self, message: Subscribe) -> bool:
        if message.is_rebuilding:
            return False
        if not message.history.is_prefix_of(self.log.history):
            return False
        return self.log.is_retained(message.history.last.index)
