"""Steps on the order of the slot queue."""

from __future__ import annotations

import itertools
from typing import Any

from behave import given
from behave import then
from behave import when
from hypothesis import strategies
from returns.pipeline import is_successful

from features.fakes.generated import find_violation
from features.fakes.routing_trace import CLASSES
from features.fakes.routing_trace import make_targets
from trefoilpulley_core.class_queue import ClassQueue
from trefoilpulley_core.failure import Overloaded
from trefoilpulley_core.failure import RunState
from trefoilpulley_core.slots import Ticket
from trefoilpulley_core.slots_deadline import DeadlineQueue

EXAMPLES = 150
"""Number of generated sequences of work."""

_PIECES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from([c.name for c in CLASSES]),
        strategies.sampled_from(
            ['offer', 'offer', 'offer', 'take', 'held', 'expire']
        ),
        strategies.floats(0.0, 0.05),
        strategies.one_of(
            strategies.floats(0.001, 0.1), strategies.floats(0.1, 2.0)
        ),
    ),
    min_size=10,
    max_size=40,
)


class _LatestFirstQueue(DeadlineQueue):
    """Deliberate fault: runs the latest deadline first."""

    def _next_class_queue(
        self, now: float, is_writable: bool
    ) -> ClassQueue | None:
        class_queues = [
            class_queue
            for class_queue in self._class_queues
            if len(class_queue) and (is_writable or not class_queue.is_write)
        ]
        return max(class_queues, key=lambda x: x.peek().deadline, default=None)


class _UnpausableQueue(DeadlineQueue):
    """Deliberate fault: runs writes while writes are paused."""

    def take(self, now: float, is_writable: bool) -> Ticket | None:
        """Return the work to run next, including paused writes."""
        return super().take(now, True)


class _LateWorkQueue(DeadlineQueue):
    """Deliberate fault: runs work that is past its deadline."""

    def take(self, now: float, is_writable: bool) -> Ticket | None:
        """Return the work to run next, including late work."""
        class_queue = self._next_class_queue(now, is_writable)
        ticket = class_queue.pop() if class_queue else None
        if ticket is not None:
            del self._queue_by_ticket[ticket.ticket_id]
        return ticket


QUEUE_TYPES = {
    'a deadline queue': DeadlineQueue,
    'a queue that serves the last': _LatestFirstQueue,
    'a queue that forgets a hold': _UnpausableQueue,
    'a queue that runs late work': _LateWorkQueue,
}
"""Queue classes by the names that the scenarios use."""


class LimitsSlotsSteps:
    """Steps that queue work and take it from the queue."""

    @staticmethod
    @given('a slot queue for {slots:d} slots')
    def make_queue(context: Any, slots: int) -> None:
        """Make an empty queue."""
        context.targets = make_targets()
        context.queue = DeadlineQueue(slots, context.targets)
        context.now = 100.0
        context.ids = itertools.count(1)
        context.names = {}

    @staticmethod
    @given('measured service times of {service_ms:d} ms')
    def record_service_times(context: Any, service_ms: int) -> None:
        """Record the same service time for every class."""
        for work_class in CLASSES:
            _offer(context, work_class.name, 5000, 'steady')
            context.queue.take(context.now, True)
            for _ in range(60):
                context.queue.record_service(
                    work_class.name, service_ms / 1000, True
                )

    @staticmethod
    @when('"{work_class}" is queued with {left_ms:d} ms left as "{name}"')
    def offer(context: Any, work_class: str, left_ms: int, name: str) -> None:
        """Queue one piece of work."""
        _offer(context, work_class, left_ms, 'steady', name)

    @staticmethod
    @when(
        'tenant "{tenant}" queues "{work_class}" with {left_ms:d} ms left '
        'as "{name}"'
    )
    def offer_of(
        context: Any, work_class: str, tenant: str, left_ms: int, name: str
    ) -> None:
        """Queue one piece of work of a tenant."""
        assert is_successful(
            _offer(context, work_class, left_ms, tenant, name)
        )

    @staticmethod
    @when('{count:d} pieces of "{work_class}" are queued with {ms:d} ms left')
    def offer_many(context: Any, count: int, work_class: str, ms: int) -> None:
        """Queue many pieces of work."""
        for _ in range(count):
            _offer(context, work_class, ms, 'steady')

    @staticmethod
    @when(
        'tenant "{tenant}" queues {count:d} pieces of "{work_class}" with '
        '{ms:d} ms left'
    )
    def offer_many_of(
        context: Any, count: int, work_class: str, tenant: str, ms: int
    ) -> None:
        """Queue many pieces of work of a tenant."""
        for _ in range(count):
            _offer(context, work_class, ms, tenant)

    @staticmethod
    @when('the class "{work_class}" has missed its target')
    def miss_target(context: Any, work_class: str) -> None:
        """Record late answers of the class."""
        for _ in range(100):
            context.targets.record_outcome(work_class, False, context.now)

    @staticmethod
    @when('{elapsed_ms:d} ms pass')
    def advance_clock(context: Any, elapsed_ms: int) -> None:
        """Advance the clock and expire late work."""
        context.now += elapsed_ms / 1000
        context.expired = context.queue.expire(context.now)

    @staticmethod
    @when('the work "{name}" is cancelled')
    def cancel(context: Any, name: str) -> None:
        """Cancel one piece of work."""
        found = [i for i, n in context.names.items() if n == name]
        context.queue.cancel(found[0])

    @staticmethod
    @when(
        '{count:d} pieces of "{work_class}" are queued and cancelled in turn'
    )
    def queue_and_cancel(context: Any, count: int, work_class: str) -> None:
        """Queue and cancel work without taking any."""
        for _ in range(count):
            _offer(context, work_class, 2000, 'steady')
            context.queue.cancel(next(context.ids) - 1)
            context.now += 0.001

    @staticmethod
    @then('the queue keeps no entries of the cancelled work')
    def check_memory(context: Any) -> None:
        """Expect that every structure of the queue stays small."""
        queue = context.queue
        assert len(queue) == 0
        assert len(queue._expiries) < 500, len(queue._expiries)
        for class_queue in queue._class_queues:
            assert len(class_queue._heap) < 500, len(class_queue._heap)

    @staticmethod
    @then('the slots run "{names}"')
    def check_order(context: Any, names: str) -> None:
        """Take all work and compare the order."""
        assert _take_names(context, True) == names.split(', ')

    @staticmethod
    @then('the slots run ""')
    def check_empty(context: Any) -> None:
        """Expect that there is no work to run."""
        assert _take_names(context, True) == []

    @staticmethod
    @then('the slots run "{names}" while writes are paused')
    def check_paused(context: Any, names: str) -> None:
        """Take all work that may run while writes are paused."""
        assert _take_names(context, False) == names.split(', ')

    @staticmethod
    @then('the slots run "{name}" within the first {count:d}')
    def check_early(context: Any, name: str, count: int) -> None:
        """Expect the work among the first that are taken."""
        assert name in _take_names(context, True)[:count]

    @staticmethod
    @then('"{work_class}" with {ms:d} ms left is refused as overloaded')
    def check_refused(context: Any, work_class: str, ms: int) -> None:
        """Expect an early refusal with the run state ``NOT_RUN``."""
        result = _offer(context, work_class, ms, 'steady')
        assert isinstance(result.failure(), Overloaded)
        assert result.failure().run_state is RunState.NOT_RUN

    @staticmethod
    @then('"{work_class}" with {ms:d} ms left is accepted')
    def check_accepted(context: Any, work_class: str, ms: int) -> None:
        """Expect that the work is queued."""
        assert is_successful(_offer(context, work_class, ms, 'steady'))

    @staticmethod
    @then('new work is expected to wait')
    def check_wait(context: Any) -> None:
        """Expect a wait while every slot is in use."""
        assert context.queue.expected_wait_ms(context.now) > 0

    @staticmethod
    @then('new work is not expected to wait')
    def check_no_wait(context: Any) -> None:
        """Expect no wait."""
        assert context.queue.expected_wait_ms(context.now) == 0

    @staticmethod
    @then('the work "{name}" expires')
    def check_expired(context: Any, name: str) -> None:
        """Expect this work as the only expired one."""
        found = [context.names[t.ticket_id] for t in context.expired]
        assert found == [name]

    @staticmethod
    @when('generated work is queued in {kind}')
    def generate(context: Any, kind: str) -> None:
        """Check the rules on generated sequences of work."""

        def check(pieces: list[tuple[str, str, float, float]]) -> None:
            _check_rules(QUEUE_TYPES[kind], pieces)

        context.broken = find_violation(check, EXAMPLES, _PIECES)

    @staticmethod
    @then('each rule of the queue holds')
    def check_holds(context: Any) -> None:
        """Expect that no rule is broken."""
        assert context.broken is None, context.broken

    @staticmethod
    @then('a rule of the queue is broken')
    def check_broken(context: Any) -> None:
        """Expect that the rules detect the deliberate fault."""
        assert context.broken is not None


def _offer(
    context: Any, work_class: str, left_ms: int, tenant: str, name: str = ''
) -> Any:
    ticket_id = next(context.ids)
    context.names[ticket_id] = name or f'{tenant}-{ticket_id}'
    ticket = Ticket(
        ticket_id,
        tenant,
        work_class,
        context.now + left_ms / 1000,
        work_class == 'filing',
    )
    return context.queue.offer(ticket, context.now)


def _take_names(context: Any, is_writable: bool) -> list[str]:
    found = []
    while ticket := context.queue.take(context.now, is_writable):
        found.append(context.names[ticket.ticket_id])
    return found


def _check_rules(
    kind: type[DeadlineQueue], pieces: list[tuple[str, str, float, float]]
) -> None:
    """Check the order, paused writes, deadlines and single completion."""
    queue = kind(2, make_targets())
    now = 100.0
    waiting: dict[int, Ticket] = {}
    for number, (work_class, action, pause_s, left_s) in enumerate(pieces):
        now += pause_s
        if action == 'expire':
            for ticket in queue.expire(now):
                del waiting[ticket.ticket_id]
        elif action == 'offer':
            is_write = work_class == 'filing'
            ticket = Ticket(number, 't', work_class, now + left_s, is_write)
            if is_successful(queue.offer(ticket, now)):
                waiting[number] = ticket
        else:
            taken = queue.take(now, action == 'take')
            if taken is not None:
                del waiting[taken.ticket_id]
                _check_taken(taken, waiting, queue, now, action)
                queue.record_service(taken.work_class, 0.005, True)
    assert len(queue) + len(queue._expired) == len(waiting)


def _check_taken(
    taken: Ticket,
    waiting: dict[int, Ticket],
    queue: DeadlineQueue,
    now: float,
    action: str,
) -> None:
    """Check one piece of work against the work that still waits."""
    assert taken.deadline >= now
    assert action == 'take' or not taken.is_write
    if any(class_queue.danger for class_queue in queue._class_queues):
        return
    targets = queue._targets
    priority = targets.priority(taken.work_class)
    for other in waiting.values():
        has_time_left = other.deadline >= now + _MIN_TIME_LEFT_S
        is_paused = action == 'held' and other.is_write
        if is_paused or not has_time_left:
            continue
        if targets.priority(other.work_class) >= priority:
            assert taken.deadline <= other.deadline + _MAX_POSTPONEMENT_S


_MIN_TIME_LEFT_S = 0.01
"""Minimum time left for work to meet its deadline, in seconds."""

_MAX_POSTPONEMENT_S = 0.2
"""Maximum postponement of a single tenant's work, in seconds."""
