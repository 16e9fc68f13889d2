"""A caller's session, which handles commands one after the other."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import gevent
from returns.result import Success

from trefoilpulley_core.direct.caller_identity import identify_caller
from trefoilpulley_core.direct.caller_identity import is_still_customer
from trefoilpulley_core.direct.commands import Begin
from trefoilpulley_core.direct.commands import Commit
from trefoilpulley_core.direct.commands import Deallocate
from trefoilpulley_core.direct.commands import InvalidCommand
from trefoilpulley_core.direct.commands import Prepare
from trefoilpulley_core.direct.commands import Rollback
from trefoilpulley_core.direct.commands import Run
from trefoilpulley_core.direct.commands import SetValue
from trefoilpulley_core.direct.customers import KeyDigest
from trefoilpulley_core.direct.evidence import SessionFloor
from trefoilpulley_core.direct.session_state import SessionState
from trefoilpulley_core.direct.upstream_session import CommandRefused
from trefoilpulley_core.direct.upstream_session import Reply
from trefoilpulley_core.direct.upstream_session import TransactionState
from trefoilpulley_core.direct.upstream_session import UnknownStatement
from trefoilpulley_core.failure import Draining
from trefoilpulley_core.failure import NotAuthenticated
from trefoilpulley_core.failure import NotRun
from trefoilpulley_core.failure import OutcomeUnknown
from trefoilpulley_core.failure import RunState
from trefoilpulley_core.failure import TransactionLost
from trefoilpulley_core.failure import UnknownDatabase
from trefoilpulley_node.direct.caller_transaction import CallerTransaction
from trefoilpulley_node.direct.statement_request import StatementInterrupted
from trefoilpulley_node.direct.statement_request import StatementRequest
from trefoilpulley_node import events

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.direct.commands import Command
    from trefoilpulley_core.direct.customers import Customer
    from trefoilpulley_core.direct.routes import Route
    from trefoilpulley_core.direct.routes import RouteTable
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_node.direct.directory import Group
    from trefoilpulley_node.direct.session_factory import SessionFactory

SERVED_REQUESTS_PER_EVENT = 200
"""Served requests of a session for each one that is logged."""

FIRST_COMMAND_TIMEOUT_S = 0.5
"""Time in which a new session is expected to send a command, in seconds."""

NEXT_COMMAND_TIMEOUT_S = 0.1
"""Time after a reply in which a caller may send its next command, in seconds.

Callers that send commands one after the other send the next one at once.
"""

MAX_SESSION_VALUES = 256
"""Maximum number of values and prepared statements of one session."""


class CallerSession:
    """One session; its commands are handled one after the other.

    Parameters
    ----------
    factory : SessionFactory
        Objects that all sessions of a host share.
    database : str
        Database name that the caller gave.
    key : str
        Key that the caller gave; empty for none. Only its digest is kept.
    """

    def __init__(
        self, factory: SessionFactory, database: str, key: str = ''
    ) -> None:
        self._factory = factory
        self._database = database
        self._digest = KeyDigest.of_key(key)
        self._identified_by: RouteTable | None = None
        self._identity: Result[Customer | None, Failure] = Success(None)
        self._state = SessionState()
        self._floors: dict[str, SessionFloor] = defaultdict(SessionFloor)
        self._served_count = 0
        self._transaction: CallerTransaction | None = None
        self._transaction_customer: Customer | None = None
        self._is_transaction_admitted = False
        self._checked_table: RouteTable | None = None
        self._key_failure: Failure | None = None
        self._greenlet: gevent.Greenlet | None = None
        self._idle_since = factory.clock.now()
        self._has_handled = False
        self.is_busy = False
        """Whether a command is being handled."""

    @property
    def has_transaction(self) -> bool:
        """Whether a transaction is open or failed."""
        return self._transaction is not None

    @property
    def is_in_use(self) -> bool:
        """Whether a command is being handled or another one may follow."""
        if self.is_busy:
            return True
        timeout_s = FIRST_COMMAND_TIMEOUT_S
        if self._has_handled:
            timeout_s = NEXT_COMMAND_TIMEOUT_S
        return self._factory.clock.now() - self._idle_since < timeout_s

    @property
    def transaction_state(self) -> TransactionState:
        """Transaction state that is reported to the caller."""
        if self._transaction is None:
            return TransactionState.IDLE
        if self._transaction.is_failed:
            return TransactionState.FAILED
        return TransactionState.OPEN

    @property
    def transaction_idle_timeout_s(self) -> float:
        """Time after which an idle transaction is aborted, in seconds."""
        return self._factory.directory.table.transaction_idle_timeout_s

    def floor_of(self, group: str) -> SessionFloor:
        """Return the newest commit of the session at a group."""
        return self._floors[group]

    def handle(self, command: Command) -> Reply:
        """Handle one command and return its reply."""
        self.check_key()
        self.is_busy = self._has_handled = True
        began_at = self._factory.clock.now()
        self._greenlet = gevent.getcurrent()
        try:
            reply = self._handle(command)
        except StatementInterrupted as exc:
            reply = self._on_interrupted(exc)
        finally:
            self._greenlet = None
            self.is_busy = False
        self.check_key()
        self._idle_since = self._factory.clock.now()
        duration_s = self._idle_since - began_at
        if isinstance(command, Run | Commit):
            self._count(reply, duration_s)
        if reply.failure is not None:
            self._log_failure(command, reply.failure, duration_s)
        elif isinstance(command, Run):
            self._log_served(command, reply, duration_s)
        return reply

    def refuse(self) -> Reply:
        """Return the reply to a command that a stopping host refuses.

        An open transaction fails; the member rolls it back when the session
        ends.
        """
        if self._transaction is not None:
            self._transaction.is_failed = True
        return self._make_failure_reply(Draining('host is stopping'))

    def interrupt(self) -> None:
        """End the command that is being handled with a failure reply."""
        if self._greenlet is not None:
            loop = gevent.get_hub().loop
            loop.run_callback(self._throw_interrupt, self._greenlet)

    def on_undelivered(
        self, command: Command, is_draining: bool, error: str
    ) -> None:
        """Log that the answer to a command could not be sent."""
        events.ANSWER_UNDELIVERED.log(
            request=getattr(command, 'request_id', ''),
            database=self._database,
            is_draining=is_draining,
            error=error,
        )

    def abort(self) -> None:
        """Roll back an open transaction and mark it as failed."""
        if self._transaction is None or self._transaction.is_failed:
            return
        self._transaction.is_failed = True
        self._transaction.roll_back()

    def check_key(self) -> None:
        """Roll back a transaction whose key is withdrawn, unless it is busy.

        The caller learns of it with the answer to its next command.
        """
        transaction = self._transaction
        if transaction is None or self.is_busy or transaction.is_failed:
            return
        table = self._factory.directory.table
        if table is self._checked_table:
            return
        self._checked_table = table
        if is_still_customer(table, self._transaction_customer, self._digest):
            return
        transaction.is_failed = True
        self._key_failure = NotAuthenticated(
            'the key does not belong to the customer any more; the '
            'transaction is rolled back'
        )
        events.KEY_WITHDRAWN.log(
            database=self._database,
            configuration=table.version,
            customer=self._transaction_customer.name,
        )
        gevent.spawn(transaction.roll_back)

    def close(self) -> None:
        """Roll back an open transaction at the end of the session."""
        if self._transaction is not None:
            self._transaction.roll_back()
            self._end_transaction()

    def _throw_interrupt(self, handling: gevent.Greenlet) -> None:
        """Interrupt the command; runs in the hub.

        A command that has ended in the meantime has its reply, which must
        still be sent.
        """
        if self._greenlet is handling:
            handling.throw(StatementInterrupted())

    def _handle(self, command: Command) -> Reply:
        failure, self._key_failure = self._key_failure, None
        if failure is not None and not isinstance(command, Rollback):
            if isinstance(command, Commit):
                self._end_transaction()
            return self._make_failure_reply(failure)
        match command:
            case Run():
                return self._on_run(command)
            case Begin():
                return self._on_begin(command)
            case Commit():
                return self._on_commit(command)
            case Rollback():
                return self._on_rollback()
            case SetValue() | Prepare() | Deallocate():
                return self._on_session_value(command)
            case InvalidCommand():
                return self._make_failure_reply(CommandRefused(command.reason))

    def _on_interrupted(self, interrupt: StatementInterrupted) -> Reply:
        if self._transaction is not None:
            # The member rolls back when the process closes its connection.
            self._transaction.is_failed = True
            return self._make_failure_reply(OutcomeUnknown('host stops'))
        if interrupt.has_sent:
            return self._make_failure_reply(OutcomeUnknown('host stops'))
        return self._make_failure_reply(Draining('host stops'))

    def _on_run(self, run: Run) -> Reply:
        transaction = self._transaction
        if transaction is not None and transaction.is_failed:
            return self._make_failure_reply(
                CommandRefused('transaction has failed')
            )
        customer = self._customer()
        if not isinstance(customer, Success):
            return self._make_failure_reply(customer.failure())
        prepared = None
        if run.prepared:
            prepared = self._state.prepared.get(run.prepared)
            if prepared is None:
                return self._make_failure_reply(UnknownStatement(run.prepared))
            run = Run(
                run.request_id, run.text, prepared.is_write, run.prepared
            )
        request = self._make_request(run, prepared, customer.unwrap())
        if request is None:
            return self._make_failure_reply(self._route_failure())
        return self._make_reply(self._run_admitted(request))

    def _run_admitted(
        self, request: StatementRequest
    ) -> Result[Reply, Failure]:
        """Run a statement if the limit of its customer admits it.

        The first statement of a transaction is counted for the whole
        transaction. What has not run is given back.
        """
        transaction = self._transaction
        if self._is_transaction_admitted:
            return transaction.run(request)
        admissions = self._factory.admissions
        admitted = admissions.admit(request.customer)
        if not isinstance(admitted, Success):
            if transaction is not None:
                transaction.is_failed = True
            return admitted
        if transaction is not None:
            self._is_transaction_admitted = True
            result = transaction.run(request)
        elif request.run.is_write:
            result = self._factory.runner.write(request)
        else:
            result = self._factory.runner.read(request)
        if not isinstance(result, Success) and _is_refused(result.failure()):
            admissions.give_back(admitted.unwrap())
        return result

    def _on_begin(self, command: Begin) -> Reply:
        if self._transaction is not None:
            return self._make_failure_reply(
                CommandRefused('transaction is open')
            )
        if self._route() is None:
            return self._make_failure_reply(self._route_failure())
        customer = self._customer()
        if not isinstance(customer, Success):
            return self._make_failure_reply(customer.failure())
        self._transaction_customer = customer.unwrap()
        self._checked_table = self._factory.directory.table
        factory = self._factory
        self._transaction = CallerTransaction(
            command.is_read_only,
            factory.zone,
            factory.exchanger,
            factory.primary_wait,
            factory.clock,
            factory.commits,
        )
        return Reply(state=TransactionState.OPEN)

    def _on_commit(self, command: Commit) -> Reply:
        transaction = self._transaction
        if transaction is None:
            return self._make_failure_reply(
                CommandRefused('no transaction is open')
            )
        if transaction.is_failed:
            return self._make_failure_reply(
                CommandRefused('transaction has failed')
            )
        request = self._make_request(
            Run(command.request_id, '', False),
            None,
            self._transaction_customer,
        )
        if request is None:
            transaction.roll_back()
            self._end_transaction()
            return self._make_failure_reply(self._route_failure())
        result = transaction.commit(request)
        self._end_transaction()
        return self._make_reply(result)

    def _on_rollback(self) -> Reply:
        transaction = self._transaction
        if transaction is None:
            return self._make_failure_reply(
                CommandRefused('no transaction is open')
            )
        self._end_transaction()
        transaction.roll_back()
        return Reply()

    def _end_transaction(self) -> None:
        self._transaction = None
        self._is_transaction_admitted = False

    def _on_session_value(
        self, command: SetValue | Prepare | Deallocate
    ) -> Reply:
        if self._transaction is not None and self._transaction.is_failed:
            return self._make_failure_reply(
                CommandRefused('transaction has failed')
            )
        customer = self._customer()
        if not isinstance(customer, Success):
            return self._make_failure_reply(customer.failure())
        state = self._state
        if isinstance(command, Deallocate):
            if state.prepared.pop(command.name, None) is None:
                return self._make_failure_reply(UnknownStatement(command.name))
        elif len(state.values) + len(state.prepared) >= MAX_SESSION_VALUES:
            return self._make_failure_reply(
                CommandRefused('session has too many values')
            )
        elif isinstance(command, Prepare):
            state.prepared[command.name] = command
        else:
            state.values[command.name] = command.value
        return Reply(state=self.transaction_state)

    def _make_request(
        self, run: Run, prepared: Prepare | None, customer: Customer | None
    ) -> StatementRequest | None:
        served_by = self._served_by()
        if served_by is None:
            return None
        route, group = served_by
        now = self._factory.clock.now()
        group.state.last_request_at = now
        return StatementRequest(
            run,
            prepared,
            route,
            group,
            self._state,
            self.floor_of(group.state.group),
            now,
            now + route.timeout_s,
            customer.name if customer is not None else '',
        )

    def _served_by(self) -> tuple[Route, Group] | None:
        """Return the route and the group of the next statement.

        ``None`` if the database has no route. The statements of a transaction
        belong to the route and the group with which it was opened.
        """
        route = self._route()
        group = self._factory.directory.find_group(route) if route else None
        if route is None or group is None:
            return None
        opened = self._transaction.served_by if self._transaction else None
        return opened or (route, group)

    def _customer(self) -> Result[Customer | None, Failure]:
        """Return the customer for which the next statement runs.

        The key is resolved once for each configuration. An open transaction
        goes on under the customer with which it began, until a configuration
        withdraws the key from it; see `check_key`.
        """
        if self._transaction is not None:
            return Success(self._transaction_customer)
        table = self._factory.directory.table
        if table is not self._identified_by:
            self._identity = identify_caller(
                table, self._database, self._digest
            )
            self._identified_by = table
        return self._identity

    def _route(self) -> Route | None:
        return self._factory.directory.find_route(self._database)

    def _route_failure(self) -> Failure:
        return UnknownDatabase(self._database)

    def _make_reply(self, result: Result[Reply, Failure]) -> Reply:
        if not isinstance(result, Success):
            return self._make_failure_reply(result.failure())
        reply = result.unwrap()
        return Reply(
            reply.rows,
            reply.signature,
            None,
            self.transaction_state,
            reply.position,
        )

    def _make_failure_reply(self, failure: Failure) -> Reply:
        return Reply(failure=failure, state=self.transaction_state)

    def _count(self, reply: Reply, duration_s: float) -> None:
        route = self._route()
        kind = route.freshness.value if route else 'none'
        outcome = reply.failure.code if reply.failure else 'done'
        self._factory.metrics.count('requests', kind, outcome)
        self._factory.metrics.observe('request_seconds', duration_s, kind)

    def _log_served(self, run: Run, reply: Reply, duration_s: float) -> None:
        """Log a sample of the served requests, and every slow one."""
        self._served_count += 1
        route = self._route()
        is_slow = route is not None and duration_s > route.goal_s
        if is_slow or self._served_count % SERVED_REQUESTS_PER_EVENT == 1:
            events.STATEMENT_SERVED.log(
                request=run.request_id,
                database=self._database,
                group=route.group if route else None,
                took_ms=round(1000 * duration_s),
                position=f'{reply.position.term}.{reply.position.index}',
            )

    def _log_failure(
        self, command: Command, failure: Failure, duration_s: float
    ) -> None:
        request = getattr(command, 'request_id', '')
        route = self._route()
        event = events.STATEMENT_REFUSED
        if isinstance(failure, OutcomeUnknown):
            event = events.STATEMENT_UNKNOWN
        event.log(
            request=request,
            database=self._database,
            group=route.group if route else None,
            configuration=self._factory.directory.table.version,
            took_ms=round(1000 * duration_s),
            failure=failure.code,
            detail=failure.detail,
            is_run=failure.run_state is not RunState.NOT_RUN,
        )


def _is_refused(failure: Failure) -> bool:
    """Return whether an operation was refused before it ran."""
    return isinstance(failure, NotRun) and not isinstance(
        failure, TransactionLost
    )
