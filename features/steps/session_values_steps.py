"""Steps on the session values with which members run statements."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
import gevent
from returns.result import Success

from trefoilpulley_core.direct.session_state import SessionState
from trefoilpulley_core.direct.upstream_session import AssignValue
from trefoilpulley_core.direct.upstream_session import Reply
from trefoilpulley_core.direct.upstream_session import RunStatement
from trefoilpulley_core.direct.upstream_session import UpstreamSession
from trefoilpulley_core.failure import RunState
from trefoilpulley_emulator.caller import CallerAnswer
from trefoilpulley_node.direct.member_session import SessionSetting
from trefoilpulley_node.direct.pooled_session import PooledSession
from trefoilpulley_node.direct.statement_runner import _HedgedRead

SHAPE = 'WRITE q1'

PROMISES = ('ABORTED', 'BUSY')
"""Codes that promise that nothing of the attempt is kept."""


class SessionValueSteps:
    """Steps on sessions that share a connection to the primary."""

    @staticmethod
    @given('a session that has set a value and prepared a statement')
    def connect(context: Any) -> None:
        """Open the session; the host acknowledges its values itself."""
        context.failed_verbs = []
        context.values = {'clan': 'one'}
        context.caller = _connect(context)
        assert context.caller.execute('SET clan one').code == 'DONE'
        assert context.caller.execute(f'PREPARE s1 {SHAPE}').code == 'DONE'

    @staticmethod
    @given('another session that has used the connection with other values')
    def use_connection(context: Any) -> None:
        """Leave values at the connection that the session does not have."""
        other = _connect(context)
        for text in ('SET clan two', 'SET extra two', 'WRITE i other'):
            assert other.execute(text).code == 'DONE', text

    @staticmethod
    @when('the primary fails the next {verb}')
    def fail_next(context: Any, verb: str) -> None:
        """Let the primary fail one request of this kind."""

        def should_fail(request_verb: str) -> bool:
            if request_verb != verb or context.failed_verbs:
                return False
            context.failed_verbs.append(verb)
            return True

        context.deployment.group.primary.should_fail = should_fail

    @staticmethod
    @when('that session runs "{text}"')
    def run(context: Any, text: str) -> None:
        """Run a statement."""
        context.request_id, context.answer = _send(context, text)

    @staticmethod
    @when('that session runs "{text}" in a transaction')
    def run_transaction(context: Any, text: str) -> None:
        """Run and commit a transaction of one statement."""
        SessionValueSteps.run_open_transaction(context, text)
        context.caller.execute('COMMIT')

    @staticmethod
    @when('that session runs "{text}" in an open transaction')
    def run_open_transaction(context: Any, text: str) -> None:
        """Run the first statement of a transaction."""
        assert context.caller.execute('BEGIN').code == 'DONE'
        context.request_id, context.answer = _send(context, text)

    @staticmethod
    @when('it sets another value and commits')
    def commit(context: Any) -> None:
        """Set a value between the last statement and the COMMIT."""
        assert context.caller.execute('SET late three').code == 'DONE'
        context.values['late'] = 'three'
        context.request_id, context.answer = _send(context, 'COMMIT')


class SessionValueOutcomeSteps:
    """Steps on what the primary has run."""

    @staticmethod
    @then('the primary has failed one {verb}')
    def check_failed(context: Any, verb: str) -> None:
        """Check that the fault was met."""
        assert context.failed_verbs == [verb], context.failed_verbs

    @staticmethod
    @then(
        'the statement has run once, with the values and the shape of the '
        'session'
    )
    def check_run(context: Any) -> None:
        """Compare the run with what the host has acknowledged."""
        runs = _runs(context)
        for run in runs:
            assert dict(run.values) == context.values, run
            assert run.text.startswith('WRITE') or run.shape == SHAPE, run
        assert len(runs) == 1, runs
        assert context.answer.code == 'DONE', context.answer

    @staticmethod
    @then('the COMMIT has run with the values of the session')
    def check_commit(context: Any) -> None:
        """Compare the values at the COMMIT."""
        assert context.answer.code == 'DONE', context.answer
        (run,) = _runs(context)
        assert dict(run.values) == context.values, run

    @staticmethod
    @then('the COMMIT has not run, and the session is promised so')
    def check_not_committed(context: Any) -> None:
        """Check the answer, and that the member knows no COMMIT."""
        assert context.answer.code in PROMISES, context.answer
        assert not _runs(context)
        assert len(context.deployment.group.log.primary.log) == 0


class OpenConnectionSteps:
    """Steps on a connection whose transaction was not ended."""

    @staticmethod
    @when('the primary has been read until it has failed one')
    def read(context: Any) -> None:
        """Read with proofs of leadership, each a transaction rolled back."""
        while not context.failed_verbs:
            assert context.caller.execute('READ i').code == 'DONE'

    @staticmethod
    @then('the statement has run outside any transaction')
    def check_outside(context: Any) -> None:
        """Compare the state of the connection that was used."""
        (run,) = _runs(context)
        assert not run.is_in_transaction, run

    @staticmethod
    @then('the write is in the log')
    def check_committed(context: Any) -> None:
        """Check that the acknowledged write was committed."""
        assert context.answer.code == 'DONE', context.answer
        (record,) = context.deployment.group.log.primary.log
        assert record.writes == (('i', 'data'),), record


class GivenUpStatementSteps:
    """Steps on a connection that is being set up."""

    @staticmethod
    @given('a connection whose member takes its time to confirm values')
    def make_connection(context: Any) -> None:
        """Create a connection without session values."""
        context.upstream = _SlowUpstream()
        context.conn = PooledSession(context.upstream)

    @staticmethod
    @when('a statement is given up before they are confirmed')
    def give_up(context: Any) -> None:
        """Cancel the statement while the member sets its values."""
        context.upstream.on_sent = context.conn.cancel_unsent
        setting = SessionSetting(SessionState({'clan': 'one'}))
        calls = (RunStatement('q1', 'READ i'),)
        result = context.conn.exchange(calls, 1.0, setting)
        assert result.failure().run_state is RunState.NOT_RUN, result

    @staticmethod
    @then('the member has got the values only')
    def check_sent(context: Any) -> None:
        """Check that the statement has not left this host."""
        assert context.upstream.sent == [AssignValue('clan', 'one')]


class HedgedReadSteps:
    """Steps on a hedged read that has been answered."""

    @staticmethod
    @when('a hedged read is answered while its last request ends')
    def end_read(context: Any) -> None:
        """Let the request end before its cancellation is carried out."""
        hedged = _HedgedRead()
        hedged.sessions.add(context.conn)
        greenlets = [
            gevent.spawn(hedged.cancel_unsent),
            gevent.spawn(hedged.sessions.discard, context.conn),
        ]
        gevent.joinall(greenlets, raise_error=True)

    @staticmethod
    @then('the connection serves the next request')
    def check_not_cancelled(context: Any) -> None:
        """Check that nothing on the connection is cancelled."""
        assert not context.conn.is_cancelled


class _SlowUpstream(UpstreamSession):
    """Connection that tells when requests have been sent."""

    def __init__(self) -> None:
        self.sent: list[Any] = []
        self.on_sent: Any = None

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open."""
        return True

    def exchange(self, calls: Any, timeout_s: float) -> Any:
        """Answer every request after something else has happened."""
        self.sent += calls
        self.on_sent()
        return Success(tuple(Reply() for _ in calls))

    def close(self) -> None:
        """Close nothing."""


def _connect(context: Any) -> Any:
    caller = context.deployment.hosts[0].connect('orders')
    context.cleanups.append(caller.close)
    return caller


def _send(context: Any, text: str) -> tuple[str, CallerAnswer]:
    request_id = context.caller.send(text)
    return request_id, context.caller.read_answer()


def _runs(context: Any) -> list[Any]:
    """Return the runs of the session's last statement at the primary."""
    runs = context.deployment.group.primary.runs
    return [r for r in runs if r.request_id == context.request_id]
