"""Answers other hosts with the changes that this host's watch has reported."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from gevent.event import Event
from returns.result import Success

from trefoilpulley_core.direct.relay_choice import MAX_WAIT_MS
from trefoilpulley_core.direct.watch_relay_messages import ChangesAnswer
from trefoilpulley_core.direct.watch_relay_messages import ChangesStatus

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.change_history import ChangeHistory
    from trefoilpulley_core.direct.platform_documents import PlatformDocuments
    from trefoilpulley_core.direct.watch_relay_messages import ChangesQuestion
    from trefoilpulley_core.platform import KeyValue
    from trefoilpulley_core.platform import WatchPosition

UNREADABLE = b'{}'
"""Value of a configuration that can't be read and may hold keys.

It can't be read either, so that the asking host keeps what it has.
"""


class ChangeRelay:
    """Keeps a history of changes and serves it while this host follows.

    Parameters
    ----------
    history : ChangeHistory
        Changes that this host has learnt.
    documents : PlatformDocuments
        Replaces the keys of customers, which never leave a host.
    on_asked : Callable[[], None]
        Called for each question, before it is answered.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        history: ChangeHistory,
        documents: PlatformDocuments,
        on_asked: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._history = history
        self._documents = documents
        self._on_asked = on_asked
        self._clock = clock
        self._changed = Event()
        self._is_stopping = False
        self._is_starting = False
        self._answered_at = clock.now()
        self.is_following = False
        """Whether the service has answered this host's own watch."""

    def begin(self) -> None:
        """Note that this host's own watch is about to begin."""
        self._is_starting = True

    def end(self) -> None:
        """Note that this host's own watch has ended."""
        self.is_following = self._is_starting = False
        self._wake()

    def stop(self) -> None:
        """Answer the open questions, and any later one, at once."""
        self._is_stopping = True
        self._wake()

    def record(self, entry: KeyValue) -> None:
        """Add a change to the history."""
        self._history.record(self._replace_keys(entry))

    def on_progress(self, position: WatchPosition) -> None:
        """Pass on the changes up to a position."""
        self._history.advance(position)
        self._answered_at = self._clock.now()
        self.is_following, self._is_starting = True, False
        self._wake()

    def on_question(self, question: ChangesQuestion) -> ChangesAnswer:
        """Answer another host as soon as there is a change to tell."""
        self._on_asked()
        wait_s = min(max(0, question.wait_ms), MAX_WAIT_MS) / 1000
        ends_at = self._clock.now() + wait_s
        while True:
            answer, is_final = self._answer(question)
            left_s = ends_at - self._clock.now()
            if is_final or left_s <= 0 or self._is_stopping:
                return answer
            self._changed.wait(timeout=left_s)

    def _answer(self, question: ChangesQuestion) -> tuple[ChangesAnswer, bool]:
        """Return an answer and whether it will not change by waiting."""
        position = self._history.position
        era = position.era if position else 0
        revision = position.revision if position else 0
        is_serving = self.is_following and not self._is_stopping
        if not is_serving or position is None or era < question.era:
            refusal = ChangesAnswer(era, 0, ChangesStatus.NOT_FOLLOWING)
            return refusal, not self._is_starting
        changes = (
            self._history.changes_after(question.revision)
            if era == question.era
            else None
        )
        if changes is None:
            return ChangesAnswer(era, revision, ChangesStatus.EXPIRED), True
        entries, up_to = changes
        answer = ChangesAnswer(
            era, up_to, ChangesStatus.OK, entries, self._read_age_ms()
        )
        return answer, bool(entries)

    def _read_age_ms(self) -> int:
        return round(1000 * (self._clock.now() - self._answered_at))

    def _replace_keys(self, entry: KeyValue) -> KeyValue:
        if entry.key != self._documents.routes_key or not entry.value:
            return entry
        decoded = self._documents.decode_routes(entry.value)
        if not isinstance(decoded, Success):
            return replace(entry, value=UNREADABLE)
        return replace(entry, value=self._documents.replace_keys(entry.value))

    def _wake(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.set()
