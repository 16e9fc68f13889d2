"""Steps on waiting for a member and on refusal."""

from __future__ import annotations

import copy
from typing import Any

from behave import given
from behave import then
from behave import when

from features.fakes.waiting_replay import FixedBoundLimit
from features.fakes.waiting_replay import make_work
from features.fakes.waiting_replay import Outcome
from features.fakes.waiting_replay import replay_limit
from features.fakes.waiting_replay import replay_queue
from trefoilpulley_core.direct.concurrency_limit import ConcurrencyLimit
from trefoilpulley_core.direct.connection_queue import ConnectionQueue
from trefoilpulley_core.direct.connection_queue import MAX_QUEUE_LENGTH
from trefoilpulley_core.direct.connection_request import ConnectionRequest

MAX_CONNECTIONS = 41
"""Share of a host in the connections of the member."""


class LimitReplaySteps:
    """Steps that replay statements under a concurrency limit."""

    @staticmethod
    @given(
        'statements of {mean_ms:f} ms at {load:f} of {slots:d} slots for '
        '{seconds:d} s, seed {seed:d}'
    )
    def make(
        context: Any,
        mean_ms: float,
        load: float,
        slots: int,
        seconds: int,
        seed: int,
    ) -> None:
        """Create the statements."""
        context.slots = slots
        context.works = make_work(
            seed, seconds, 1000 * load * slots / mean_ms, mean_ms / 1000, 'a'
        )

    @staticmethod
    @when("a host sends them under a limit by the member's own latency")
    def replay(context: Any) -> None:
        """Replay the statements with the limit of the core."""
        context.outcome = _replay(context, ConcurrencyLimit())

    @staticmethod
    @then('at least {part:f} of the statements end within {goal_ms:d} ms')
    def check_part(context: Any, part: float, goal_ms: int) -> None:
        """Check the part that ends in time."""
        found = _part_within(context.outcome, goal_ms)
        assert found >= part, found

    @staticmethod
    @then('the limit stays at {count:d} or more')
    def check_limit(context: Any, count: int) -> None:
        """Check that few slots stay idle for the limit."""
        found = min(context.outcome.limits)
        assert found >= count, found

    @staticmethod
    @then('the last limit is at most {count:d} of {max_limit:d}')
    def check_last(context: Any, count: int, max_limit: int) -> None:
        """Check that the limit has followed the queue."""
        assert max_limit == MAX_CONNECTIONS
        assert context.outcome.limits[-1] <= count, context.outcome.limits[-1]

    @staticmethod
    @then(
        'the part within {goal_ms:d} ms is within {part:f} of that with a '
        'fixed bound'
    )
    def check_same(context: Any, goal_ms: int, part: float) -> None:
        """Replay the statements with the fixed bound and compare."""
        found = _part_within(context.outcome, goal_ms)
        fixed = _part_within(_replay(context, FixedBoundLimit()), goal_ms)
        assert abs(found - fixed) <= part, (found, fixed)


class QueueSteps:
    """Steps on the order and the refusals of the queue."""

    @staticmethod
    @given(
        'a queue with work "{name}" of priority {priority:d} and {ms:d} ms '
        'to its goal'
    )
    def make(context: Any, name: str, priority: int, ms: int) -> None:
        """Create a queue with one piece of work."""
        context.queue = ConnectionQueue()
        QueueSteps.add(context, name, priority, ms)

    @staticmethod
    @given('work "{name}" of priority {priority:d} and {ms:d} ms to its goal')
    def add(context: Any, name: str, priority: int, ms: int) -> None:
        """Add one piece of work."""
        assert _enqueue(context.queue, priority, ms, name)

    @staticmethod
    @then('the waiting work is served as "{names}"')
    def check_order(context: Any, names: str) -> None:
        """Check the order."""
        served = []
        while (work := context.queue.pop(0.0)) is not None:
            served.append(work.handle)
        assert served == names.split(), served

    @staticmethod
    @then('the next work after {ms:d} ms is "{name}"')
    def check_next(context: Any, ms: int, name: str) -> None:
        """Check the next work without removing any."""
        queue = copy.deepcopy(context.queue)
        assert queue.pop(ms / 1000).handle == name

    @staticmethod
    @given(
        'a queue whose work of {long_ms:d} ms is long and of {short_ms:d} ms '
        'is short'
    )
    def make_kinds(context: Any, long_ms: int, short_ms: int) -> None:
        """Create a queue that has measured two kinds of work."""
        context.queue = ConnectionQueue()
        for _ in range(5):
            context.queue.on_released(short_ms / 1000, 'short')
        for _ in range(100):
            context.queue.on_released(long_ms / 1000, 'long')

    @staticmethod
    @when('{count:d} pieces of short work wait')
    def wait(context: Any, count: int) -> None:
        """Queue short work."""
        for _ in range(count):
            assert _enqueue(context.queue, 0, 1000, 'w', kind='short')

    @staticmethod
    @then('short work with {ms:d} ms to its admission is queued behind them')
    def check_queued(context: Any, ms: int) -> None:
        """Check that the wait is expected by kind."""
        assert _enqueue(context.queue, 0, 1000, 'w', ms, 'short')

    @staticmethod
    @then('it is refused behind {count:d} more')
    def check_refused(context: Any, count: int) -> None:
        """Check that work that would wait too long is refused."""
        QueueSteps.wait(context, count)
        assert not _enqueue(context.queue, 0, 1000, 'w', 100, 'short')

    @staticmethod
    @when('work of priority 1 never leaves the queue empty')
    def keep_full(context: Any) -> None:
        """Serve work while work of a higher priority waits."""
        context.served = []
        for _ in range(20):
            assert _enqueue(context.queue, 1, 9000, 'high')
            context.served.append(context.queue.pop(0.0).handle)

    @staticmethod
    @then('"{name}" is served after {count:d} others')
    def check_floor(context: Any, name: str, count: int) -> None:
        """Check the turn of the work that has waited longest."""
        turn = context.served.index(name)
        assert abs(turn - count) <= 1, context.served

    @staticmethod
    @given('a queue that is full of work of priority {priority:d}')
    def fill(context: Any, priority: int) -> None:
        """Fill a queue."""
        context.queue = ConnectionQueue()
        for _ in range(MAX_QUEUE_LENGTH):
            assert _enqueue(context.queue, priority, 90000, 'w')

    @staticmethod
    @then('new work of priority {new:d} displaces work of priority {old:d}')
    def check_displaced(context: Any, new: int, old: int) -> None:
        """Check the work that makes room."""
        found = context.queue.find_displaced(_make_request(new, 90000), 0.0)
        assert found.request.priority == old, found

    @staticmethod
    @then('new work of priority {new:d} displaces none')
    def check_kept(context: Any, new: int) -> None:
        """Check that work of the same priority keeps its place."""
        request = _make_request(new, 90000)
        assert context.queue.find_displaced(request, 0.0) is None

    @staticmethod
    @given('work of priority {priority:d} that fills a queue and is late')
    def fill_late(context: Any, priority: int) -> None:
        """Fill a queue with work that has missed its goal."""
        context.queue = ConnectionQueue()
        for _ in range(MAX_QUEUE_LENGTH):
            assert _enqueue(context.queue, priority, 0, 'late')

    @staticmethod
    @then('new work of priority {new:d} displaces the oldest late work')
    def check_late_displaced(context: Any, new: int) -> None:
        """Check that late work makes room for work of its priority."""
        request = _make_request(new, 90000)
        found = context.queue.find_displaced(request, 0.0)
        assert found is not None and found.sequence == 1, found


class QueueReplaySteps:
    """Steps that replay a burst against the queue."""

    @staticmethod
    @given(
        'a burst of viewings at {load:f} of {slots:d} slots from {began_s:d} '
        's to {ended_s:d} s, seed {seed:d}'
    )
    def make(
        context: Any,
        load: float,
        slots: int,
        began_s: int,
        ended_s: int,
        seed: int,
    ) -> None:
        """Create viewings at half of the slots, the burst and postings."""
        context.slots = slots
        long_rate = slots / 0.055
        context.works = [
            *make_work(seed, began_s, 0.5 * long_rate, 0.055, 'viewing'),
            *make_work(
                seed + 10,
                ended_s - began_s,
                load * long_rate,
                0.055,
                'viewing',
                began_s,
            ),
            *make_work(
                seed + 20, 5, 0.5 * long_rate, 0.055, 'viewing', ended_s
            ),
            *make_work(
                seed + 30, ended_s + 5, 0.05 * slots / 0.011, 0.011, 'posting'
            ),
        ]

    @staticmethod
    @when('a host serves the work from its queue')
    def replay(context: Any) -> None:
        """Replay the work."""
        context.outcome = replay_queue(context.works, context.slots)

    @staticmethod
    @then('no posting is refused and none waits longer than {ms:d} ms')
    def check_postings(context: Any, ms: int) -> None:
        """Check the work of the highest priority."""
        refused = context.outcome.count_refused('posting')
        longest_s = max(
            t for w, t in context.outcome.waits if w.kind == 'posting'
        )
        assert refused == 0, refused
        assert 1000 * longest_s <= ms, longest_s

    @staticmethod
    @then('the mean wait from {at_s:d} s on is at most {ms:d} ms')
    def check_after(context: Any, at_s: int, ms: int) -> None:
        """Check that the burst has passed."""
        waits_s = [t for w, t in context.outcome.waits if w.at >= at_s]
        mean_ms = 1000 * sum(waits_s) / len(waits_s)
        assert mean_ms <= ms, mean_ms


def _make_request(
    priority: int, goal_ms: int, admit_ms: int = 100000, kind: str = ''
) -> ConnectionRequest:
    return ConnectionRequest(
        priority, 1000.0, admit_ms / 1000, goal_ms / 1000, kind
    )


def _enqueue(
    queue: ConnectionQueue,
    priority: int,
    goal_ms: int,
    name: str,
    admit_ms: int = 100000,
    kind: str = '',
) -> bool:
    request = _make_request(priority, goal_ms, admit_ms, kind)
    return bool(queue.enqueue(request, 0.0, 1, queue.mean_hold_s, name))


def _replay(context: Any, limit: ConcurrencyLimit) -> Outcome:
    limit.update(MAX_CONNECTIONS)
    return replay_limit(limit, context.works, context.slots)


def _part_within(outcome: Outcome, goal_ms: int) -> float:
    latencies_s = outcome.latencies_s
    return sum(1000 * t <= goal_ms for t in latencies_s) / len(latencies_s)
