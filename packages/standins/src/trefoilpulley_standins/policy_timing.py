"""Measures the processor time of routing and slot queue decisions.

``python -m trefoilpulley_standins.policy_timing`` prints the
processor time per call in microseconds: the minimum and the median of
several rounds.
"""

from __future__ import annotations

import statistics
import time
from typing import TYPE_CHECKING

import click

from trefoilpulley_core.peer import MemberDigest
from trefoilpulley_core.position import Position
from trefoilpulley_core.routing import DatabaseView
from trefoilpulley_core.routing import MemberView
from trefoilpulley_core.routing import RouteRequest
from trefoilpulley_core.routing_targets import TargetRouting
from trefoilpulley_core.slots import Ticket
from trefoilpulley_core.slots_deadline import DeadlineQueue
from trefoilpulley_core.targets import ClassTargets
from trefoilpulley_standins.policy_deployment import KARAMANLIS

if TYPE_CHECKING:
    from collections.abc import Callable

ROUND_COUNT = 7
"""Number of rounds of each measurement."""

CALLS_PER_ROUND = 4000
"""Number of calls in each round."""

PRIMARY_INDEX = 100
"""Index of the last record in the primary's log."""

REPLICA_INDEX = 98
"""Index of the last record in the replicas' logs."""


def _make_targets() -> ClassTargets:
    targets = ClassTargets()
    targets.declare(KARAMANLIS.classes)
    return targets


def _make_view() -> DatabaseView:
    members = []
    for number, zone in enumerate(KARAMANLIS.zones):
        index = REPLICA_INDEX if number else PRIMARY_INDEX
        digest = MemberDigest(
            zone, not number, 1, Position(1, index), 1, 5, 20, 1, True
        )
        members.append(MemberView(zone, zone, digest, 0.0, 6.0, False))
    return DatabaseView('timed/0', tuple(members))


def _time_choose(index: int) -> float:
    policy = TargetRouting(_make_targets())
    view = _make_view()
    floor = Position(1, index)
    zone = KARAMANLIS.zones[1]
    req = RouteRequest(KARAMANLIS.aged_read, floor, zone, 0.25)
    started_at = time.process_time()
    for _ in range(CALLS_PER_ROUND):
        policy.choose(view, req, 0.01)
    return time.process_time() - started_at


def _time_fill(queue: DeadlineQueue) -> float:
    classes = KARAMANLIS.classes
    tickets = [
        Ticket(
            number,
            f'tenant-{number % 7}',
            classes[number % len(classes)].name,
            1000.0 + number / CALLS_PER_ROUND,
            number % len(classes) == 0,
        )
        for number in range(CALLS_PER_ROUND)
    ]
    started_at = time.process_time()
    for ticket in tickets:
        queue.offer(ticket, 0.0)
    return time.process_time() - started_at


def _time_offer() -> float:
    return _time_fill(DeadlineQueue(KARAMANLIS.slots, _make_targets()))


def _time_take() -> float:
    queue = DeadlineQueue(KARAMANLIS.slots, _make_targets())
    _time_fill(queue)
    name = KARAMANLIS.aged_read.name
    started_at = time.process_time()
    for _ in range(CALLS_PER_ROUND):
        queue.take(0.001, True)
        queue.record_service(name, 0.004, True)
    return time.process_time() - started_at


@click.command()
def main() -> None:
    """Print the processor time per call."""
    timings: tuple[tuple[str, Callable[[], float]], ...] = (
        ('choose, floor held', lambda: _time_choose(REPLICA_INDEX)),
        ('choose, floor to come', lambda: _time_choose(PRIMARY_INDEX)),
        ('offer', _time_offer),
        ('take and record_service', _time_take),
    )
    for name, run in timings:
        timings_us = [
            1e6 * run() / CALLS_PER_ROUND for _ in range(ROUND_COUNT)
        ]
        median = statistics.median(timings_us)
        click.echo(f'{name:26}{min(timings_us):8.1f}{median:8.1f} us')


if __name__ == '__main__':
    main()
