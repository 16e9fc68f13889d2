"""Steps on work whose connection breaks."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when

from trefoilpulley_core.slots import Ticket
from trefoilpulley_core.slots_deadline import DeadlineQueue
from trefoilpulley_core.targets import ClassTargets

NOW = 105.0


class BrokenWorkSteps:
    """Breaks the connection of running work."""

    @staticmethod
    @given('a queue whose only slot runs work that began 5 s ago')
    def make_queue(context: Any) -> None:
        """Take one piece of work."""
        context.queue = DeadlineQueue(1, ClassTargets())
        began = NOW - 5
        ticket = Ticket(1, 'north', 'filing', NOW + 10, True)
        context.queue.offer(ticket, began)
        assert context.queue.take(began, True) == ticket
        assert context.queue.expected_wait_ms(began) > 0

    @staticmethod
    @when('the connection of the running work breaks')
    def break_connection(context: Any) -> None:
        """End the work without a service time."""
        context.queue.record_connection_lost()

    @staticmethod
    @then('new work of the queue is expected to wait {wait:d} ms')
    def check_wait(context: Any, wait: int) -> None:
        """Compare the expected wait."""
        assert context.queue.expected_wait_ms(NOW) == wait
