"""Steps on the set-up of a connection for a session."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when

from trefoilpulley_core.direct.commands import Prepare
from trefoilpulley_core.direct.session_state import ConnectionState
from trefoilpulley_core.direct.session_state import plan_setup
from trefoilpulley_core.direct.session_state import SessionState
from trefoilpulley_core.direct.upstream_session import AssignValue
from trefoilpulley_core.direct.upstream_session import PrepareShape
from trefoilpulley_core.direct.upstream_session import ResetSession


def _session(variables: str) -> SessionState:
    pairs = (v.partition('=') for v in variables.split())
    return SessionState({name: value for name, _, value in pairs})


class SetupSteps:
    """Steps on the set-up of a connection."""

    @staticmethod
    @given('a connection and a session with the variables "{variables}"')
    def make(context: Any, variables: str) -> None:
        """Create a new connection and a session."""
        context.conn = ConnectionState()
        context.session = _session(variables)

    @staticmethod
    @given('a connection and a session with the variables ""')
    def make_without_variables(context: Any) -> None:
        """Create a new connection and a session without variables."""
        SetupSteps.make(context, '')

    @staticmethod
    @when('the connection has served the session')
    def serve(context: Any) -> None:
        """Set up the connection for the session."""
        plan_setup(context.conn, context.session, None)

    @staticmethod
    @when('a session with the variables "{variables}" uses the connection')
    def replace_session(context: Any, variables: str) -> None:
        """Replace the session with another one."""
        context.session = _session(variables)

    @staticmethod
    @when('a session with the variables "" uses the connection')
    def replace_without_variables(context: Any) -> None:
        """Replace the session with one without variables."""
        context.session = _session('')

    @staticmethod
    @when('"{name}" is prepared as a {kind} of shape "{shape}" and executed')
    def prepare(context: Any, name: str, kind: str, shape: str) -> None:
        """Prepare a statement and plan the set-up for its execution."""
        statement = Prepare(name, shape, kind == 'WRITE')
        context.session.prepared[name] = statement
        context.calls = plan_setup(context.conn, context.session, statement)

    @staticmethod
    @then('the connection needs the set-up "{calls}"')
    def check_calls(context: Any, calls: str) -> None:
        """Check the calls that precede a statement of the session."""
        planned = plan_setup(context.conn, context.session, None)
        found = ', '.join(_describe(c) for c in planned)
        assert found == calls, found

    @staticmethod
    @then('the connection needs no set-up')
    def check_no_calls(context: Any) -> None:
        """Check that no calls precede a statement of the session."""
        assert plan_setup(context.conn, context.session, None) == ()

    @staticmethod
    @then('the connection prepared the statement "{alias}"')
    def check_prepared(context: Any, alias: str) -> None:
        """Check the name of the statement on the connection."""
        found = [c.alias for c in context.calls if isinstance(c, PrepareShape)]
        assert found == [alias], found

    @staticmethod
    @then('the connection prepared no statement')
    def check_not_prepared(context: Any) -> None:
        """Check that the statement was prepared on the connection before."""
        assert context.calls == (), context.calls


def _describe(call: Any) -> str:
    if isinstance(call, AssignValue):
        return f'set {call.name}={call.value}'
    assert isinstance(call, ResetSession), call
    return 'reset'
