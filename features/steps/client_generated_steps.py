"""Steps on the client under generated faults."""

from __future__ import annotations

from collections import Counter
from typing import Any

from behave import given
from behave import then
from behave import when
from hypothesis import given as generate
from hypothesis import settings
from hypothesis import strategies

from features.fakes.client_rig import Client
from features.fakes.fake_entry import Break
from features.fakes.fake_entry import FakeHost
from features.fakes.fake_entry import make_refusal
from trefoilpulley_client import Error
from trefoilpulley_core import caller
from trefoilpulley_core.failure import RunState

WRITES = 3
"""Writes under each order of faults."""


def answer_unknown(host: FakeHost, message: Any) -> Any:
    """Run the message and lose its outcome on the host's side."""
    if not isinstance(message, caller.Hello):
        host.serve(message)
    return make_refusal('outcome-unknown')


def refuse_attempt(host: FakeHost, message: Any) -> Any:
    """Say of this attempt alone that it has not run."""
    if isinstance(message, caller.Execute):
        return make_refusal('not-run')
    return make_refusal('no-upstream')


def abandon(host: FakeHost, message: Any) -> Any:
    """Abandon the request id, as a host does that settles a write."""
    if isinstance(message, caller.Execute) and not message.transaction:
        return host.database.look_up(message.request_id)
    return make_refusal('no-upstream')


FAULTS = (
    None,
    Break.BEFORE,
    Break.AFTER,
    make_refusal('no-upstream'),
    make_refusal('draining'),
    make_refusal('overloaded'),
    make_refusal('outcome-unknown'),
    answer_unknown,
    refuse_attempt,
    abandon,
)
"""What a message may meet; ``None`` stands for service."""


def serve(host: FakeHost, message: Any) -> Any:
    """Serve a message."""
    return host.serve(message)


class Outcomes:
    """What the client was told, and what ran."""

    def __init__(self) -> None:
        self.answered: list[int] = []
        self.not_run: list[int] = []
        self.unknown: list[int] = []

    def judge(self, client: Client, sql: str, exc: Error | None) -> None:
        """Compare one outcome with the database at the very end."""
        runs = Counter(s for run in client.database.runs for s in run)[sql]
        if exc is None:
            self.answered.append(runs)
        elif exc.run_state is RunState.NOT_RUN:
            self.not_run.append(runs)
        else:
            self.unknown.append(runs)


class GeneratedSteps:
    """Steps that run generated orders of faults."""

    @staticmethod
    @given('entry hosts that break and refuse in {count:d} generated orders')
    def set_count(context: Any, count: int) -> None:
        """Keep the number of orders."""
        context.count = count
        context.outcomes = Outcomes()

    @staticmethod
    @when('a client writes through them with single statements')
    def run_single(context: Any) -> None:
        """Write in autocommit."""
        GeneratedSteps.run_all(context, is_autocommit=True)

    @staticmethod
    @when('a client writes through them in transactions')
    def run_transactions(context: Any) -> None:
        """Write and commit."""
        GeneratedSteps.run_all(context, is_autocommit=False)

    @staticmethod
    def run_all(context: Any, is_autocommit: bool) -> None:
        """Run each generated order."""
        faults = strategies.lists(strategies.sampled_from(FAULTS), max_size=12)

        @settings(max_examples=context.count, derandomize=True, database=None)
        @generate(faults, faults)
        def run(first: list[Any], second: list[Any]) -> None:
            GeneratedSteps.run_one(
                context.outcomes, (first, second), is_autocommit
            )

        run()

    @staticmethod
    def run_one(
        outcomes: Outcomes, faults: tuple[Any, ...], is_autocommit: bool
    ) -> None:
        """Write under one order of faults, then judge."""
        client = Client(2)
        client.connection.autocommit = is_autocommit
        for host, found in zip(client.hosts.values(), faults, strict=True):
            host.orders = [('*', fault or serve) for fault in found]
        told = [
            (sql, GeneratedSteps.write(client, sql))
            for sql in (f'insert {n}' for n in range(WRITES))
        ]
        for sql, exc in told:
            outcomes.judge(client, sql, exc)

    @staticmethod
    def write(client: Client, sql: str) -> Error | None:
        """Write once and return the error."""
        try:
            client.cursor.execute(sql)
            client.connection.commit()
        except Error as exc:
            client.connection.rollback()
            return exc
        return None

    @staticmethod
    @then('each answered write ran once')
    def expect_answered(context: Any) -> None:
        """Compare with the runs."""
        assert set(context.outcomes.answered) == {1}

    @staticmethod
    @then('each write told as not run never ran')
    def expect_not_run(context: Any) -> None:
        """Compare with the runs."""
        assert set(context.outcomes.not_run) == {0}

    @staticmethod
    @then('no write ran twice')
    def expect_at_most_once(context: Any) -> None:
        """Look at the writes whose outcome stayed unknown."""
        assert max(context.outcomes.unknown, default=0) <= 1
