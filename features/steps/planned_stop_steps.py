"""Steps for the planned stop of an entry host."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import gevent
from gevent import monkey

from trefoilpulley_node.direct.session_registry import CallerConnection

if TYPE_CHECKING:
    from collections.abc import Callable


DELAYING_CALLBACKS = 100
"""Callbacks of the event loop that run before the end of a wait.

After this many callbacks the loop checks how long it has run callbacks.
"""

DELAY_S = 0.02
"""Time after which the loop polls before it runs further callbacks."""


class _LateInputConnection(CallerConnection):
    """Connection whose caller sends right after it was found idle.

    The event loop is busy then, as it is when a host closes many sessions, so
    that the reader may get the request before its wait is ended.

    Parameters
    ----------
    conn : CallerConnection
        Connection of the caller at the host.
    send : Callable[[], None]
        Lets the caller send a request.
    """

    def __init__(
        self, conn: CallerConnection, send: Callable[[], None]
    ) -> None:
        self._conn = conn
        self._send = send

    def has_input(self) -> bool:
        """Look for input, then let a request arrive."""
        has_input = self._conn.has_input()
        self._send()
        while not self._conn.has_input():
            pass
        return has_input

    def stop_receiving(self) -> None:
        """Receive nothing more on the connection."""
        loop = gevent.get_hub().loop
        loop.run_callback(monkey.get_original('time', 'sleep'), DELAY_S)
        for _ in range(DELAYING_CALLBACKS):
            loop.run_callback(lambda: None)
        self._conn.stop_receiving()


class IdleSessionSteps:
    """Steps for sessions that a stopping host closes."""

    @staticmethod
    @given(
        'a caller of "{database}" that sends "{text}" when its session was '
        'found idle'
    )
    def connect_late_sender(context: Any, database: str, text: str) -> None:
        """Open a session whose request arrives after the look for input."""
        host = context.deployment.hosts[0]
        registry = host.proxy.sessions
        add_session = registry.add_session
        registry.add_session = lambda session, conn: add_session(
            session,
            _LateInputConnection(conn, lambda: context.caller.send(text)),
        )
        context.caller = host.connect(database)
        context.cleanups.append(context.caller.close)

    @staticmethod
    @when('host {host:d} closes its idle sessions')
    def close_idle(context: Any, host: int) -> None:
        """Close the idle sessions once."""
        context.deployment.hosts[host].proxy.sessions.close_idle()

    @staticmethod
    @given('host {host:d} is closing its sessions')
    def begin_closing(context: Any, host: int) -> None:
        """Let the host close each session after its next answers."""
        context.deployment.hosts[host].proxy.sessions.is_closing = True

    @staticmethod
    @then(
        'the caller gets the answer "{code}" and then the end of its session'
    )
    def check_last_answer(context: Any, code: str) -> None:
        """Compare the code of the last answer."""
        IdleSessionSteps.check_last_answers(context, 1, code)

    @staticmethod
    @then(
        'the caller gets {count:d} answers "{code}" and then the end of its '
        'session'
    )
    def check_last_answers(context: Any, count: int, code: str) -> None:
        """Compare the codes of the answers before the end."""
        codes = [context.caller.read_answer().code for _ in range(count)]
        assert codes == [code] * count, codes
        assert context.caller.read_answer().code == ''
