"""Client of the platform's service whose watch other hosts may serve."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from gevent.event import Event
from returns.result import Success

from trefoilpulley_core.direct.change_history import ChangeHistory
from trefoilpulley_core.direct.relay_choice import AskRelay
from trefoilpulley_core.direct.relay_choice import AwaitTurn
from trefoilpulley_core.direct.relay_choice import FollowService
from trefoilpulley_core.direct.relay_choice import ReadAgain
from trefoilpulley_core.direct.watch_relay_messages import ChangesAnswer
from trefoilpulley_core.direct.watch_relay_messages import ChangesQuestion
from trefoilpulley_core.direct.watch_relay_messages import ChangesStatus
from trefoilpulley_core.platform import Platform
from trefoilpulley_core.platform import PlatformDown
from trefoilpulley_core.platform import Watch
from trefoilpulley_core.platform import WatchExpired
from trefoilpulley_core.platform import WatchPosition
from trefoilpulley_node.direct.change_relay import ChangeRelay
from trefoilpulley_node import events

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from returns.result import Result

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.platform_documents import PlatformDocuments
    from trefoilpulley_core.direct.relay_choice import RelayChoice
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.platform import KeyValue
    from trefoilpulley_core.platform import Lease
    from trefoilpulley_core.platform import PositionedPlatform
    from trefoilpulley_core.platform import PrefixRead
    from trefoilpulley_node.direct.direct_metrics import DirectMetrics
    from trefoilpulley_node.peers import Peers

ANSWER_MARGIN_S = 0.3
"""Time for an answer beyond the time that the relay may wait, in seconds."""

MIN_QUESTION_INTERVAL_S = 0.05
"""Pause after each question, in seconds.

It bounds the questions to a relay that answers at once every time.
"""


class RelayedPlatform(Platform):
    """Reads and writes at the service, and watches through relays.

    Parameters
    ----------
    platform : PositionedPlatform
        Client of the service.
    choice : RelayChoice
        Decides through whom this host follows.
    documents : PlatformDocuments
        Format of the configuration, which holds keys of customers.
    peers : Peers
        Connections to the other hosts.
    clock : Clock
        Monotonic time.
    metrics : DirectMetrics
        Counts the questions.
    """

    def __init__(
        self,
        platform: PositionedPlatform,
        choice: RelayChoice,
        documents: PlatformDocuments,
        peers: Peers,
        clock: Clock,
        metrics: DirectMetrics,
    ) -> None:
        self._platform = platform
        self._choice = choice
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._history = ChangeHistory()
        self._watch: _RelayedWatch | None = None
        self._is_logged_direct = True
        self.relay = ChangeRelay(
            self._history, documents, self._on_asked, clock
        )
        """Answers the questions of other hosts."""

        platform.subscribe_progress(self.relay.on_progress)
        platform.subscribe_restored(self._on_restored)

    @property
    def is_direct(self) -> bool:
        """Whether this host follows the service directly."""
        return self._choice.is_direct

    @property
    def relays(self) -> tuple[str, ...]:
        """Relays through which this host follows; empty if directly."""
        return self._choice.relays

    @property
    def era(self) -> int:
        """Newest era that an answer of the service has named."""
        return self._platform.era

    def get(self, key: str) -> Result[KeyValue | None, Failure]:
        """Return a key and its value, or ``None`` if the key is absent."""
        return self._platform.get(key)

    def get_prefix(self, prefix: str) -> Result[PrefixRead, Failure]:
        """Return all keys with a prefix and their values."""
        return self._platform.get_prefix(prefix)

    def get_revisions(self, prefix: str) -> Result[PrefixRead, Failure]:
        """Return all keys with a prefix; their values may be empty."""
        return self._platform.get_revisions(prefix)

    def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease_id: int = 0,
        era: int = 0,
    ) -> Result[int, Failure]:
        """Write a key if it has the expected revision."""
        return self._platform.compare_and_swap(
            key, expected_revision, value, lease_id, era
        )

    def delete(
        self, key: str, expected_revision: int, era: int = 0
    ) -> Result[None, Failure]:
        """Delete a key if it has the revision expected in an era."""
        return self._platform.delete(key, expected_revision, era)

    def grant_lease(self, ttl_s: int) -> Result[Lease, Failure]:
        """Request a new lease."""
        return self._platform.grant_lease(ttl_s)

    def keep_alive(
        self, lease_id: int, era: int = 0
    ) -> Result[Lease, Failure]:
        """Renew a lease of an era once."""
        return self._platform.keep_alive(lease_id, era)

    def revoke_lease(self, lease_id: int) -> Result[None, Failure]:
        """End a lease and delete the keys bound to it."""
        return self._platform.revoke_lease(lease_id)

    def watch(
        self,
        prefix: str,
        on_change: Callable[[KeyValue], None],
        on_failure: Callable[[Failure], None],
        on_answer: Callable[[float], None] | None = None,
    ) -> Watch:
        """Watch all keys; a watch on other prefixes is not relayed."""
        if prefix:
            return self._platform.watch(
                prefix, on_change, on_failure, on_answer
            )
        self._watch = _RelayedWatch(
            self._platform,
            self._choice,
            self._history,
            self.relay,
            self._ask,
            self._log_way,
            self._clock,
            on_change,
            on_failure,
            on_answer or (lambda age_s: None),
        )
        self._watch.start()
        return self._watch

    def set_hosts(
        self,
        registered: int,
        live: Sequence[str],
        weights: Mapping[str, float],
    ) -> None:
        """Set the registered hosts and those that are live in the zone."""
        if self._choice.set_hosts(registered, live, weights):
            self._reconsider()

    def stop(self) -> None:
        """Answer the questions of other hosts at once."""
        self.relay.stop()

    def _on_asked(self) -> None:
        self._choice.on_asked(self._clock.now())
        if not self._choice.is_direct:
            self.relay.begin()
            self._reconsider()

    def _on_restored(self) -> None:
        """End a relayed watch of a lost era."""
        position = self._history.position
        is_lost = position is not None and position.era < self.era
        if is_lost and self._watch is not None:
            self._watch.fail(WatchExpired())

    def _log_way(self) -> None:
        """Log that this host has begun or ended to follow through relays."""
        if self._choice.is_direct == self._is_logged_direct:
            return
        if self._choice.is_direct:
            events.SERVICE_DIRECT.log(is_relay=self._choice.is_relay)
        elif self._choice.relays:
            events.SERVICE_RELAYED.log(relays=list(self._choice.relays))
        else:
            return
        self._is_logged_direct = self._choice.is_direct

    def _reconsider(self) -> None:
        if self._watch is not None:
            self._watch.reconsider()

    def _ask(
        self, relay: str, question: ChangesQuestion, abort: Event
    ) -> ChangesAnswer | None:
        """Return the answer of a relay, or ``None`` if there is none."""
        opened = self._peers.open_channel(relay, ANSWER_MARGIN_S)
        answer = None
        if isinstance(opened, Success) and not abort.is_set():
            timeout_s = question.wait_ms / 1000 + ANSWER_MARGIN_S
            answer = self._peers.call_host_raw(
                relay, question, timeout_s, abort
            ).value_or(None)
        if isinstance(answer, ChangesAnswer):
            self._metrics.count('watch_questions', answer.status.value)
            return answer
        if not abort.is_set():
            self._metrics.count('watch_questions', 'unanswered')
        return None


class _RelayedWatch(Watch):
    """Watch on all keys, at the service or through relays.

    The changes of both come in the order of their revisions, and none is
    reported again that an earlier position has passed.
    """

    def __init__(
        self,
        platform: PositionedPlatform,
        choice: RelayChoice,
        history: ChangeHistory,
        relay: ChangeRelay,
        ask: Callable[[str, ChangesQuestion, Event], ChangesAnswer | None],
        on_way_chosen: Callable[[], None],
        clock: Clock,
        on_change: Callable[[KeyValue], None],
        on_failure: Callable[[Failure], None],
        on_answer: Callable[[float], None],
    ) -> None:
        self._platform = platform
        self._choice = choice
        self._history = history
        self._relay = relay
        self._ask_relay = ask
        self._on_way_chosen = on_way_chosen
        self._clock = clock
        self._on_change = on_change
        self._on_failure = on_failure
        self._on_service_answer = on_answer
        self._direct: Watch | None = None
        self._is_direct = False
        self._told: WatchPosition | None = None
        self._greenlet: gevent.Greenlet | None = None
        self._wake = Event()
        self._is_served = False
        self._is_ended = False

    def start(self) -> None:
        """Return when the watch is active or has failed."""
        if self._history.position is None:
            self._choice.on_position_lost()
        self._history.discard_pending()
        while not (self._is_ended or self._direct or self._is_served):
            self._take_step()
        if not self._is_ended:
            self._greenlet = gevent.spawn(self._run)

    def reconsider(self) -> None:
        """Decide again, since the hosts have changed or one has asked."""
        self._wake.set()

    def fail(self, failure: Failure) -> None:
        """Report a failure, unless the watch has ended, and end the watch."""
        if self._is_ended:
            return
        if isinstance(failure, WatchExpired):
            self._history.reset(None)
        elif self._is_direct:
            self._choice.on_service_lost(self._clock.now())
        self._end(failure)

    def cancel(self) -> None:
        """Stop the watch."""
        self._is_ended = True
        self._end_direct()
        if self._greenlet not in (None, gevent.getcurrent()):
            self._greenlet.kill(block=False)

    def _run(self) -> None:
        while not self._is_ended:
            try:
                self._take_step()
            # An unexpected error must not leave the host without a watch.
            except Exception as exc:
                events.HANDLER_CRASHED.log(message='watch', error=repr(exc))
                self.fail(PlatformDown('internal error'))

    def _take_step(self) -> None:
        self._wake.clear()
        step = self._choice.next_step(self._clock.now())
        if isinstance(step, AskRelay):
            self._ask(step)
        elif isinstance(step, FollowService):
            if self._direct is None:
                self._begin_direct()
            if self._greenlet is not None:
                self._wake.wait(timeout=step.duration_s)
        elif isinstance(step, AwaitTurn):
            self._wake.wait(timeout=step.duration_s)
        elif isinstance(step, ReadAgain):
            gevent.sleep(step.delay_s)
            # The read that follows shows every change up to this position.
            self._history.reset(self._told)
            self._end(WatchExpired())
        else:
            self._end(PlatformDown('no relay follows the service'))

    def _begin_direct(self) -> None:
        self._on_way_chosen()
        if self._history.position is not None:
            self._platform.resume_watch(self._history.position)
        self._history.discard_pending()
        self._relay.begin()
        self._is_direct = True
        direct = self._platform.watch(
            '', self._on_direct_change, self.fail, self._on_direct_answer
        )
        if self._is_ended:
            # The watch may have been cancelled while it was set up.
            direct.cancel()
            self._relay.end()
            return
        self._direct, self._is_served = direct, False

    def _end_direct(self) -> None:
        self._is_direct = False
        direct, self._direct = self._direct, None
        if direct is not None:
            direct.cancel()
        self._relay.end()

    def _on_direct_change(self, entry: KeyValue) -> None:
        if not self._is_ended and not self._history.is_known(entry):
            self._relay.record(entry)
            self._on_change(entry)

    def _on_direct_answer(self, age_s: float) -> None:
        if not self._is_ended:
            self._on_service_answer(age_s)

    def _ask(self, step: AskRelay) -> None:
        position = self._history.position
        if position is None:
            self._choice.on_position_lost()
            return
        question = ChangesQuestion(
            position.era, position.revision, step.wait_ms
        )
        due_at = self._clock.now() + step.wait_ms / 1000
        answer = self._ask_relay(step.relay, question, self._wake)
        if self._is_ended:
            return
        if answer is not None:
            late_s = max(0.0, self._clock.now() - due_at)
            self._on_answer(step.relay, answer, late_s)
        elif not self._wake.is_set():
            self._choice.on_silence(step.relay, self._clock.now())
        gevent.sleep(MIN_QUESTION_INTERVAL_S)

    def _on_answer(
        self, relay: str, answer: ChangesAnswer, late_s: float
    ) -> None:
        position = self._history.position
        told = WatchPosition(answer.era, answer.revision)
        is_over = position is None or told.era > position.era
        self._choice.on_answer(
            relay, answer.status, self._clock.now(), is_over
        )
        if answer.status is ChangesStatus.EXPIRED:
            self._told = told
        if answer.status is not ChangesStatus.OK or is_over:
            return
        self._on_way_chosen()
        self._is_served = True
        self._end_direct()
        self._history.discard_pending()
        for entry in answer.entries:
            if not self._history.is_known(entry):
                self._relay.record(entry)
                self._on_change(entry)
        self._history.advance(told)
        self._on_service_answer(answer.age_ms / 1000 + late_s)

    def _end(self, failure: Failure) -> None:
        self.cancel()
        self._on_failure(failure)
