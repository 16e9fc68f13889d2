"""Steps on recorded traces of routing and freshness."""

from __future__ import annotations

import random
from typing import Any

from behave import then
from behave import when
from returns.pipeline import is_successful

from features.fakes.routing_trace import AgeReplay
from features.fakes.routing_trace import read_lines
from features.fakes.routing_trace import RoutingReplay
from trefoilpulley_core.freshness import AgeTracker
from trefoilpulley_core.position import Position
from trefoilpulley_standins.policy_group import FakeGroup
from trefoilpulley_standins.policy_loop import VirtualLoop


class _UnfencedTracker(AgeTracker):
    """Tracker with a deliberate fault: it keeps fenced samples."""

    def _drop_fenced(self, fenced_term: int) -> None:
        return


class RoutingTraceSteps:
    """Steps on traces of digests, requests and probes."""

    @staticmethod
    @when('the routing trace "{name}" is replayed')
    def replay_routes(context: Any, name: str) -> None:
        """Replay the digests and requests of a trace."""
        context.outcomes = read_lines(f'{name}.outcome.jsonl')
        context.replay = RoutingReplay(name)
        context.replay.run()

    @staticmethod
    @then('each request is routed as the outcome of the trace states')
    def check_routes(context: Any) -> None:
        """Compare every route with the expected outcome."""
        routes = context.replay.routes
        assert set(routes) == {o['request'] for o in context.outcomes}
        for outcome in context.outcomes:
            _check_route(routes[outcome['request']], outcome)

    @staticmethod
    @when('the age trace "{name}" is replayed')
    def replay_ages(context: Any, name: str) -> None:
        """Replay the probes and statuses of a trace."""
        context.outcomes = read_lines(f'{name}.outcome.jsonl')
        context.replay = AgeReplay(name, AgeTracker())
        context.replay.run()

    @staticmethod
    @when(
        'the age trace "{name}" is replayed with a tracker that ignores '
        'fenced terms'
    )
    def replay_ages_with_faulty_tracker(context: Any, name: str) -> None:
        """Replay the probes with the faulty tracker."""
        context.outcomes = read_lines(f'{name}.outcome.jsonl')
        context.replay = AgeReplay(name, _UnfencedTracker())
        context.replay.run()

    @staticmethod
    @then('each age is as the outcome of the trace states')
    def check_ages(context: Any) -> None:
        """Compare every age with the expected outcome."""
        assert context.replay.ages == _expected_ages(context)

    @staticmethod
    @then('an age differs from the outcome of the trace')
    def check_ages_differ(context: Any) -> None:
        """Check that the outcome detects the faulty tracker."""
        assert context.replay.ages != _expected_ages(context)

    @staticmethod
    @when('a replica follows {lag_ms:d} ms behind {rate:d} writes a second')
    def follow(context: Any, lag_ms: int, rate: int) -> None:
        """Probe a simulated group ten times a second for 20 s."""
        loop = VirtualLoop()
        rng = random.Random(3)
        group = FakeGroup(loop, rng, lag_ms / 1000, 0.003)
        tracker = AgeTracker()
        context.group = group
        context.tracker = tracker
        context.false_ages = 0

        def write() -> None:
            group.append()
            loop.call_at(loop.now + rng.expovariate(rate), write)

        def probe() -> None:
            tracker.on_primary_probe(loop.now, group.position(0))
            tracker.on_replica_status(group.position(1), loop.now, 1)
            loop.call_at(loop.now + 0.1, probe)

        def check() -> None:
            age_ms = tracker.age_ms(loop.now)
            true_ms = 1000 * group.true_age_s(1)
            context.false_ages += age_ms is not None and age_ms < true_ms
            loop.call_at(loop.now + 0.013, check)

        for call in (write, probe, check):
            loop.call_at(0.0, call)
        loop.run_until(20.0)

    @staticmethod
    @then(
        'the measured lag differs from the true lag by at most {error_ms:d} ms'
    )
    def check_lag(context: Any, error_ms: int) -> None:
        """Compare the measured lag with the lag of the simulated group."""
        measured_ms = context.tracker.lag_ms()
        true_ms = 1000 * context.group.true_lag_s(1)
        assert abs(measured_ms - true_ms) <= error_ms, (measured_ms, true_ms)

    @staticmethod
    @then('no age is below the true age')
    def check_true_ages(context: Any) -> None:
        """Check that no age was below the true age."""
        assert context.false_ages == 0
        assert context.tracker.age_ms(20.0) is not None


def _expected_ages(context: Any) -> dict[str, int | None]:
    return {o['question']: o['age_ms'] for o in context.outcomes}


def _check_route(result: Any, outcome: dict[str, Any]) -> None:
    if outcome['refusal'] is not None:
        assert not is_successful(result), outcome
        assert result.failure().code == outcome['refusal'], outcome
        return
    route = result.unwrap()
    expected = outcome['member']
    allowed = expected if isinstance(expected, list) else [expected]
    assert route.member in allowed, (outcome, route)
    if 'floor' in outcome:
        floor = outcome['floor']
        assert route.floor == (floor and Position(*floor)), (outcome, route)
    assert route.wait_ms >= outcome.get('least_wait_ms', 0), (outcome, route)
    max_wait_ms = outcome.get('most_wait_ms')
    assert max_wait_ms is None or route.wait_ms <= max_wait_ms, (
        outcome,
        route,
    )
