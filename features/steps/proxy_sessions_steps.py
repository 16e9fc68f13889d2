"""Steps on what a connection needs before a statement."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when

from trefoilpulley_core.proxy.commands import Prepare
from trefoilpulley_core.proxy.session_state import ConnectionState
from trefoilpulley_core.proxy.session_state import plan_setup
from trefoilpulley_core.proxy.session_state import SessionState
from trefoilpulley_core.proxy.upstream_session import AssignValue
from trefoilpulley_core.proxy.upstream_session import PrepareShape
from trefoilpulley_core.proxy.upstream_session import ResetSession


def _session(values: str) -> SessionState:
    pairs = (v.partition('=') for v in values.split())
    return SessionState({name: value for name, _, value in pairs})


class SetupSteps:
    """Steps on the set-up of a connection."""

    @staticmethod
    @given('a connection and a session with the values "{values}"')
    def make(context: Any, values: str) -> None:
        """Make a fresh connection and a session."""
        context.conn = ConnectionState()
        context.session = _session(values)

    @staticmethod
    @given('a connection and a session with the values ""')
    def make_plain(context: Any) -> None:
        """Make a fresh connection and a session without values."""
        SetupSteps.make(context, '')

    @staticmethod
    @when('the connection has served it')
    def serve(context: Any) -> None:
        """Bring the connection up to the session."""
        plan_setup(context.conn, context.session, None)

    @staticmethod
    @when('a session with the values "{values}" comes')
    def change(context: Any, values: str) -> None:
        """Let another session use the connection."""
        context.session = _session(values)

    @staticmethod
    @when('a session with the values "" comes')
    def change_plain(context: Any) -> None:
        """Let a session without values use the connection."""
        context.session = _session('')

    @staticmethod
    @when('"{name}" is prepared as a {kind} of shape "{shape}" and runs')
    def prepare(context: Any, name: str, kind: str, shape: str) -> None:
        """Run a prepared statement."""
        statement = Prepare(name, shape, kind == 'WRITE')
        context.session.prepared[name] = statement
        context.calls = plan_setup(context.conn, context.session, statement)

    @staticmethod
    @then('the connection needs "{calls}"')
    def check_calls(context: Any, calls: str) -> None:
        """Check the set-up before a statement."""
        planned = plan_setup(context.conn, context.session, None)
        found = ', '.join(_describe(c) for c in planned)
        assert found == calls, found

    @staticmethod
    @then('the connection needs nothing')
    def check_none(context: Any) -> None:
        """Check that nothing is set up."""
        assert plan_setup(context.conn, context.session, None) == ()

    @staticmethod
    @then('the connection was asked to prepare "{alias}"')
    def check_prepared(context: Any, alias: str) -> None:
        """Check the name on the connection."""
        found = [c.alias for c in context.calls if isinstance(c, PrepareShape)]
        assert found == [alias], found

    @staticmethod
    @then('the connection was asked to prepare nothing')
    def check_unprepared(context: Any) -> None:
        """Check that the statement was known."""
        assert context.calls == (), context.calls


def _describe(call: Any) -> str:
    if isinstance(call, AssignValue):
        return f'set {call.name}={call.value}'
    assert isinstance(call, ResetSession), call
    return 'reset'
