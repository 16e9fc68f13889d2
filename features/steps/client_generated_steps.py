"""Steps for the client under generated faults."""

from __future__ import annotations

from collections import Counter
from typing import Any

from behave import given
from behave import then
from behave import when
from hypothesis import given as generate
from hypothesis import settings
from hypothesis import strategies

from features.fakes.client_rig import ClientRig
from features.fakes.fake_entry import BreakMoment
from features.fakes.fake_entry import FakeHost
from features.fakes.fake_entry import make_refusal
from trefoilpulley_client import Error
from trefoilpulley_core import caller
from trefoilpulley_core.failure import RunState

WRITE_COUNT = 3
"""Number of writes under each sequence of faults."""


def answer_unknown(host: FakeHost, message: Any) -> Any:
    """Serve the message but refuse with an unknown outcome."""
    if not isinstance(message, caller.Hello):
        host.serve(message)
    return make_refusal('outcome-unknown')


def refuse_attempt(host: FakeHost, message: Any) -> Any:
    """Refuse this attempt as not run without abandoning the request id."""
    if isinstance(message, caller.Execute):
        return make_refusal('not-run')
    return make_refusal('no-upstream')


def abandon_request(host: FakeHost, message: Any) -> Any:
    """Abandon the request id, as a host that looks the outcome up does."""
    if isinstance(message, caller.Execute) and not message.transaction:
        return host.database.look_up(message.request_id)
    return make_refusal('no-upstream')


FAULTS = (
    None,
    BreakMoment.BEFORE,
    BreakMoment.AFTER,
    make_refusal('no-upstream'),
    make_refusal('draining'),
    make_refusal('overloaded'),
    make_refusal('outcome-unknown'),
    answer_unknown,
    refuse_attempt,
    abandon_request,
)
"""Possible replies to a message; ``None`` stands for normal service."""


def serve(host: FakeHost, message: Any) -> Any:
    """Serve a message without a fault."""
    return host.serve(message)


class ReportedOutcomes:
    """Number of runs of each write, by the outcome that was reported."""

    def __init__(self) -> None:
        self.answered: list[int] = []
        self.not_run: list[int] = []
        self.unknown: list[int] = []

    def record(self, client: ClientRig, sql: str, exc: Error | None) -> None:
        """Record the runs of a write after the last write has ended."""
        runs = Counter(s for run in client.database.runs for s in run)[sql]
        if exc is None:
            self.answered.append(runs)
        elif exc.run_state is RunState.NOT_RUN:
            self.not_run.append(runs)
        else:
            self.unknown.append(runs)


class GeneratedFaultSteps:
    """Steps that run generated sequences of faults."""

    @staticmethod
    @given('entry hosts with faults in {sequence_count:d} generated sequences')
    def set_sequence_count(context: Any, sequence_count: int) -> None:
        """Set the number of sequences."""
        context.sequence_count = sequence_count
        context.outcomes = ReportedOutcomes()

    @staticmethod
    @when('a client writes through the hosts with single statements')
    def run_single(context: Any) -> None:
        """Write in autocommit mode."""
        GeneratedFaultSteps.run_sequences(context, is_autocommit=True)

    @staticmethod
    @when('a client writes through the hosts in transactions')
    def run_transactions(context: Any) -> None:
        """Write and commit in transactions."""
        GeneratedFaultSteps.run_sequences(context, is_autocommit=False)

    @staticmethod
    def run_sequences(context: Any, is_autocommit: bool) -> None:
        """Run the client under each generated sequence."""
        faults = strategies.lists(strategies.sampled_from(FAULTS), max_size=12)

        @settings(
            max_examples=context.sequence_count,
            derandomize=True,
            database=None,
        )
        @generate(faults, faults)
        def run(first: list[Any], second: list[Any]) -> None:
            GeneratedFaultSteps.run_sequence(
                context.outcomes, (first, second), is_autocommit
            )

        run()

    @staticmethod
    def run_sequence(
        outcomes: ReportedOutcomes,
        faults: tuple[Any, ...],
        is_autocommit: bool,
    ) -> None:
        """Write under one sequence of faults, then record the outcomes."""
        client = ClientRig(2)
        client.connection.autocommit = is_autocommit
        for host, host_faults in zip(
            client.hosts.values(), faults, strict=True
        ):
            host.orders = [('*', fault or serve) for fault in host_faults]
        results = [
            (sql, GeneratedFaultSteps.write(client, sql))
            for sql in (f'insert {n}' for n in range(WRITE_COUNT))
        ]
        for sql, exc in results:
            outcomes.record(client, sql, exc)

    @staticmethod
    def write(client: ClientRig, sql: str) -> Error | None:
        """Write once and return the error."""
        try:
            client.cursor.execute(sql)
            client.connection.commit()
        except Error as exc:
            client.connection.rollback()
            return exc
        return None

    @staticmethod
    @then('each answered write ran exactly once')
    def expect_answered(context: Any) -> None:
        """Check that each answered write has one run."""
        assert set(context.outcomes.answered) == {1}

    @staticmethod
    @then('no write that was reported as not run has run')
    def expect_not_run(context: Any) -> None:
        """Check that each write reported as not run has no run."""
        assert set(context.outcomes.not_run) == {0}

    @staticmethod
    @then('no write ran twice')
    def expect_at_most_once(context: Any) -> None:
        """Check the writes whose outcome is unknown."""
        assert max(context.outcomes.unknown, default=0) <= 1
