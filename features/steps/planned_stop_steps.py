"""Steps for the planned stop of an entry host."""

from __future__ import annotations

import errno
import socket
from typing import Any
from typing import TYPE_CHECKING
from unittest import mock

from behave import given
from behave import then
from behave import when
import gevent
from gevent import monkey
from gevent.server import StreamServer
from returns.result import Success

from features.fakes.asking import HANG_TIMEOUT_S
from features.fakes.asking import POLL_INTERVAL_S
from features.fakes.fake_entry_parts import FakeClock
from trefoilpulley_core.direct.commands import Run
from trefoilpulley_core.direct.drain import DrainPhase
from trefoilpulley_core.direct.drain import DrainPolicy
from trefoilpulley_core.direct.drain import DrainStep
from trefoilpulley_core.direct.drain import EXIT_MARGIN_S
from trefoilpulley_core.direct.upstream_session import Reply
from trefoilpulley_node.direct import direct_composition
from trefoilpulley_node.direct import session_registry
from trefoilpulley_node.direct.session_registry import CallerConnection
from trefoilpulley_platform import main

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from trefoilpulley_core.failure import Failure
    from trefoilpulley_emulator.deployment import EmulatedHost
    from trefoilpulley_node.direct.caller_session import CallerSession
    from trefoilpulley_node.direct.statement_request import StatementRequest


GRACE_S = 4.0
"""Grace period of the drains, in seconds."""

SHORT_GRACE_S = 1.0
"""Grace period that is over when the balancer has noticed, in seconds."""

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
        """Close the idle sessions once and let them end."""
        registry = context.deployment.hosts[host].proxy.sessions
        registry.close_idle()
        gevent.sleep(POLL_INTERVAL_S)

    @staticmethod
    @given('the sessions of host {host:d} have a clock that stands still')
    def stop_clock(context: Any, host: int) -> None:
        """Let time pass for the sessions by steps alone."""
        factory = context.deployment.hosts[host].proxy.factory
        context.clock = FakeClock()
        context.clock.at = factory.clock.now()
        factory.clock = context.clock

    @staticmethod
    @when('the sessions of host {host:d} have been idle for {idle_s:d} s')
    def pass_time(context: Any, host: int, idle_s: int) -> None:
        """Let time pass without a request."""
        context.clock.at += idle_s
        registry = context.deployment.hosts[host].proxy.sessions
        assert not registry.in_use_count

    @staticmethod
    @given('host {host:d} is closing its sessions')
    def begin_closing(context: Any, host: int) -> None:
        """Let the host close each session after its next answers."""
        registry = context.deployment.hosts[host].proxy.sessions
        registry.enter(DrainPhase.CLOSING)

    @staticmethod
    @then("the caller's session has ended")
    def check_ended(context: Any) -> None:
        """Check that the host has closed the connection."""
        assert context.caller.read_answer().code == ''

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


class AcceptSteps:
    """Steps for callers that connect at the end of a drain."""

    @staticmethod
    @when(
        'host {host:d} drains its sessions and a caller sends "{text}" on a '
        'connection that was not accepted yet'
    )
    def drain_with_late_caller(context: Any, host: int, text: str) -> None:
        """Connect when the drain has found nothing that is open."""
        emulated_host = context.deployment.hosts[host]
        endpoint = emulated_host.endpoint
        make_socket = monkey.get_original('socket', 'socket')
        context.late_socket = make_socket()
        context.cleanups.append(context.late_socket.close)

        def stop_accepting() -> None:
            # This socket doesn't let the event loop accept the connection.
            context.late_socket.connect((endpoint.address, endpoint.port))
            context.late_socket.sendall(
                f'START orders caller\r\nQUERY q1 {text}\r\n'.encode()
            )
            emulated_host.stop_accepting()

        AcceptSteps._drain(context, emulated_host, stop_accepting)

    @staticmethod
    @then('that caller got "{code}" before the drain ended')
    def check_late_caller(context: Any, code: str) -> None:
        """Compare the answer of the late caller."""
        assert context.is_complete
        assert context.open_connections == 0, context.open_connections
        received = context.late_socket.recv(1 << 16).decode()
        codes = [line.split(' ')[0] for line in received.splitlines()]
        assert code in codes, received

    @staticmethod
    @when(
        'host {host:d} drains its sessions and accepting fails for lack of '
        'descriptors'
    )
    def drain_without_descriptors(context: Any, host: int) -> None:
        """Drain a host whose listening socket fails to accept."""
        emulated_host = context.deployment.hosts[host]

        def fail(server: StreamServer) -> None:
            raise OSError(errno.EMFILE, 'no descriptor is left')

        def stop_accepting() -> None:
            with mock.patch.object(
                StreamServer, 'do_read', autospec=True, side_effect=fail
            ):
                emulated_host.stop_accepting()

        AcceptSteps._drain(context, emulated_host, stop_accepting)
        assert context.is_complete

    @staticmethod
    @when('host {host:d} drains its sessions without callers')
    def drain_without_callers(context: Any, host: int) -> None:
        """Drain a host that has no session."""
        emulated_host = context.deployment.hosts[host]
        AcceptSteps._drain(
            context, emulated_host, emulated_host.stop_accepting
        )
        assert context.is_complete

    @staticmethod
    @then('no connection to host {host:d} is possible')
    def check_not_accepting(context: Any, host: int) -> None:
        """Connect to the host, which must be refused."""
        try:
            caller = context.deployment.hosts[host].connect('orders')
        except ConnectionRefusedError:
            return
        caller.close()
        raise AssertionError(caller.greeting)

    @staticmethod
    def _drain(
        context: Any,
        emulated_host: EmulatedHost,
        stop_accepting: Callable[[], None],
    ) -> None:
        registry = emulated_host.proxy.sessions
        context.is_complete = registry.drain(
            GRACE_S, lambda: 0, stop_accepting
        )
        context.open_connections = registry.connection_count


class PolicySteps:
    """Steps for the decisions of a drain."""

    @staticmethod
    @given(
        'a drain with a grace period of {grace_s:d} s that looks every '
        '{interval_s:g} s'
    )
    def make_policy(context: Any, grace_s: int, interval_s: float) -> None:
        """Create the policy of a drain."""
        context.policy = DrainPolicy(grace_s)
        context.interval_s = interval_s
        context.steps = []

    @staticmethod
    @when(
        'nothing is open from {since_s:g} s on and {count:d} connection is '
        'open right after the host has stopped accepting'
    )
    def look(context: Any, since_s: float, count: int) -> None:
        """Look until the host has stopped accepting, and three times more."""
        elapsed_s = since_s
        while DrainStep.STOP_ACCEPTING not in context.steps:
            context.steps.append(context.policy.next_step(elapsed_s, 0))
            elapsed_s += context.interval_s
        context.open_steps = [
            context.policy.next_step(elapsed_s, count),
            context.policy.next_step(elapsed_s + context.interval_s, count),
        ]
        context.last_step = context.policy.next_step(
            elapsed_s + 2 * context.interval_s, 0
        )

    @staticmethod
    @then(
        'the waits for answers, components and the log fit into the exit '
        'margin'
    )
    def check_margin(context: Any) -> None:
        """Add the longest waits after the last look of a drain."""
        # The drain and the wait for answers each end one poll late.
        waits_s = (
            2 * session_registry.POLL_INTERVAL_S
            + session_registry.ANSWER_TIME_S
            + direct_composition.STOP_TIMEOUT_S
            + main.LOG_FLUSH_TIMEOUT_S
        )
        assert waits_s < EXIT_MARGIN_S + 1e-9, waits_s

    @staticmethod
    @then(
        'the host stops accepting at {at_s:g} s while {count:d} connections '
        'are open'
    )
    def check_refusing(context: Any, at_s: float, count: int) -> None:
        """Compare the steps before, at and after a time."""
        before_s, after_s = at_s - context.interval_s, at_s + 0.1
        steps = [
            context.policy.next_step(s, count)
            for s in (before_s, at_s, after_s)
        ]
        assert steps == [
            DrainStep.CLOSE_IDLE,
            DrainStep.STOP_ACCEPTING,
            DrainStep.CLOSE_IDLE,
        ], steps

    @staticmethod
    @then('the host stops accepting before the drain ends')
    def check_order(context: Any) -> None:
        """Check that the end comes at a look after the last intake."""
        assert DrainStep.END not in context.steps, context.steps
        assert context.last_step is DrainStep.END, context.last_step

    @staticmethod
    @then('the drain does not end while that connection is open')
    def check_open(context: Any) -> None:
        """Check the steps while a connection is open."""
        expected = [DrainStep.CLOSE_IDLE] * 2
        assert context.open_steps == expected, context.open_steps


class _InterruptingRunner:
    """Runner whose read is interrupted right before it ends."""

    def __init__(self) -> None:
        self.session: CallerSession | None = None

    def read(self, request: StatementRequest) -> Result[Reply, Failure]:
        """Interrupt the session and return a reply."""
        self.session.interrupt()
        return Success(Reply((b'1',), b'sig'))


class InterruptSteps:
    """Steps for requests that a drain interrupts."""

    @staticmethod
    @given(
        'a session of "{database}" whose statement ends while it is '
        'interrupted'
    )
    def open_session(context: Any, database: str) -> None:
        """Open a session on a host with the interrupting runner."""
        factory = context.deployment.hosts[0].proxy.factory
        factory.runner = _InterruptingRunner()
        context.session = factory.runner.session = factory.open(database)

    @staticmethod
    @when(
        'the session handles "{text}" and its reply is sent to a slow caller'
    )
    def handle(context: Any, text: str) -> None:
        """Handle a read; a slow caller makes the sender wait."""

        def serve() -> Reply:
            reply = context.session.handle(Run('q1', text, False))
            gevent.sleep(0)
            return reply

        context.serving = gevent.spawn(serve)

    @staticmethod
    @then('the reply is sent')
    def check_reply(context: Any) -> None:
        """Check that the greenlet has returned the reply."""
        reply = context.serving.get(timeout=HANG_TIMEOUT_S)
        assert isinstance(reply, Reply), reply
        assert reply.signature == b'sig', reply


class TransactionSteps:
    """Steps for transactions that are open when a host stops."""

    @staticmethod
    @given('the caller has executed "{one}" and "{other}"')
    def execute(context: Any, one: str, other: str) -> None:
        """Execute two statements, which must succeed."""
        for text in (one, other):
            answer = context.caller.execute(text)
            assert answer.code == 'DONE', (text, answer)

    @staticmethod
    @when(
        'host {host:d} drains its sessions and the caller sends "{text}" at '
        'the end of the grace period'
    )
    def drain(context: Any, host: int, text: str) -> None:
        """Send a statement right before the host refuses all requests."""
        emulated_host = context.deployment.hosts[host]

        def stop_accepting() -> None:
            emulated_host.stop_accepting()
            context.caller.send(text)

        emulated_host.proxy.sessions.drain(
            SHORT_GRACE_S, lambda: 0, stop_accepting
        )

    @staticmethod
    @when('host {host:d} no longer waits for idle transactions')
    def refuse_transactions(context: Any, host: int) -> None:
        """Let the host refuse new transactions."""
        registry = context.deployment.hosts[host].proxy.sessions
        registry.enter(DrainPhase.ENDING_TRANSACTIONS)

    @staticmethod
    @then('the caller gets "{code}" to "{text}"')
    def check_code(context: Any, code: str, text: str) -> None:
        """Compare the code of the answer to one statement."""
        found = context.caller.execute(text).code
        assert found == code, found

    @staticmethod
    @then('no member has received "{text}"')
    def check_not_received(context: Any, text: str) -> None:
        """Check the statements that the members have received."""
        servers = context.deployment.group.servers.values()
        texts = [t for s in servers for _, t in s.received_requests]
        assert text not in texts, texts


class PeerSteps:
    """Steps for other hosts that use a stopping host."""

    @staticmethod
    @when('host {host:d} stops as planned')
    def stop(context: Any, host: int) -> None:
        """Drain the host to its end."""
        context.deployment.hosts[host].drain()

    @staticmethod
    @then("another host can't connect to host {host:d}")
    def check_refused(context: Any, host: int) -> None:
        """Connect to the address for other hosts, which must fail."""
        endpoint = context.deployment.hosts[host].peer_endpoint
        sock = socket.socket()
        context.cleanups.append(sock.close)
        error = sock.connect_ex((endpoint.address, endpoint.port))
        assert error == errno.ECONNREFUSED, error
