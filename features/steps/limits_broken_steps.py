"""Steps on the lost connection of running work."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when

from trefoilpulley_core.slots import Ticket
from trefoilpulley_core.slots_deadline import DeadlineQueue
from trefoilpulley_core.targets import ClassTargets

NOW = 105.0


class LostConnectionSteps:
    """Steps on a slot whose connection is lost."""

    @staticmethod
    @given('a deadline queue whose only slot has run work for 5 s')
    def make_queue(context: Any) -> None:
        """Make a queue and give its slot to one piece of work."""
        context.queue = DeadlineQueue(1, ClassTargets())
        began = NOW - 5
        ticket = Ticket(1, 'north', 'filing', NOW + 10, True)
        context.queue.offer(ticket, began)
        assert context.queue.take(began, True) == ticket
        assert context.queue.expected_wait_ms(began) > 0

    @staticmethod
    @when('the connection of the running work is lost')
    def lose_connection(context: Any) -> None:
        """Record the lost connection of the work."""
        context.queue.record_connection_lost()

    @staticmethod
    @then('the expected wait of new work is {wait:d} ms')
    def check_wait(context: Any, wait: int) -> None:
        """Compare the expected wait."""
        assert context.queue.expected_wait_ms(NOW) == wait
