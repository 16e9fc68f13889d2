"""Entry role: serves the connections of callers."""

from __future__ import annotations

from dataclasses import dataclass
import itertools
from typing import Any
from typing import TYPE_CHECKING

from returns.result import Result
from returns.result import Success

from trefoilpulley_core import caller as messages
from trefoilpulley_core.failure import Draining
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import MalformedMessage
from trefoilpulley_core.failure import NotAuthenticated
from trefoilpulley_core.failure import NotRun
from trefoilpulley_core.failure import OutcomeUnknown
from trefoilpulley_core.failure import TransactionLost
from trefoilpulley_core.token import SessionToken
from trefoilpulley_node import events
from trefoilpulley_node.pipeline.request import PipelineRequest
from trefoilpulley_wire.handler import Handler

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.targets import ClassTargets
    from trefoilpulley_core.token import TokenCodec
    from trefoilpulley_node.entry.entry_transactions import EntryTransactions
    from trefoilpulley_node.entry.state import StateCollector
    from trefoilpulley_node.metrics import Metrics
    from trefoilpulley_node.pipeline.admit import AdmissionFilter
    from trefoilpulley_node.pipeline.answer import AnswerBuilder
    from trefoilpulley_node.pipeline.authenticate import AuthenticationFilter
    from trefoilpulley_node.pipeline.pipeline import Pipeline
    from trefoilpulley_wire.channel import Channel


@dataclass(frozen=True, slots=True)
class CallerIdentity:
    """Authenticated caller of a connection."""

    tenant: str
    """Tenant of the caller."""

    connection: int
    """Number of the connection, unique in this process."""


@dataclass(frozen=True, slots=True)
class EntryComponents:
    """Components of the entry role."""

    host: str
    """Name of this host."""

    authenticate: AuthenticationFilter
    """Authenticates callers."""

    admit: AdmissionFilter
    """Limits and counts the running requests."""

    prepare: Pipeline
    """Filters up to and including admission."""

    deliver: Pipeline
    """Filters after admission, which route and execute a request."""

    transactions: EntryTransactions
    """Open transactions of callers."""

    answers: AnswerBuilder
    """Creates the answers to callers."""

    targets: ClassTargets
    """Measures the classes of work against their targets."""

    tokens: TokenCodec
    """Signs session tokens."""

    state: StateCollector
    """Collects the state dump."""

    metrics: Metrics
    """Counters and timings."""

    clock: Clock
    """Monotonic time."""


class CallerServer(Handler):
    """Handles the messages of callers.

    Parameters
    ----------
    components : EntryComponents
        Components of the entry role.
    """

    def __init__(self, components: EntryComponents) -> None:
        self._components = components
        self._connections = itertools.count(1)
        self._handlers = {
            messages.Execute: self._on_execute,
            messages.Begin: self._on_begin,
            messages.Commit: self._on_commit,
            messages.Rollback: self._on_rollback,
            messages.LookUp: self._on_look_up,
        }

    def on_request(self, channel: Channel, message: Any) -> Any:
        """Handle one message of a caller and return the reply."""
        if isinstance(message, messages.Hello):
            return self._on_hello(channel, message)
        if isinstance(message, messages.GetState):
            return self._on_get_state(message)
        if channel.context is None:
            return make_refusal(
                NotAuthenticated(
                    'first message of a connection must be a hello'
                )
            )
        handler = self._handlers.get(type(message))
        if handler is None:
            return make_refusal(MalformedMessage('message is not a request'))
        return self._serve(handler, message, channel.context)

    def on_malformed(self, channel: Channel, failure: Failure) -> Any:
        """Refuse a message that could not be decoded.

        The connection stays open.
        """
        return make_refusal(failure)

    def on_late(self, channel: Channel, message: Any) -> Any:
        """Refuse a request, so that the caller turns to another host."""
        return make_refusal(Draining('connection is closing'))

    def on_cut(self, channel: Channel, message: Any) -> Any:
        """Refuse a request that outlasts the process.

        The request may have been sent to a member, unless it belongs to a
        transaction that ends with the connection.
        """
        return make_refusal(_cut_failure(message))

    def on_close(self, channel: Channel) -> None:
        """Roll back the open transactions of the caller."""
        if channel.context is not None:
            self._components.transactions.on_caller_lost(
                channel.context.connection
            )

    def _serve(
        self, handler: Any, message: Any, caller: CallerIdentity
    ) -> Any:
        components = self._components
        started = components.clock.now()
        try:
            reply = handler(message, caller)
        except Exception as exc:  # an error must not close the connection
            events.HANDLER_CRASHED.log(
                message=type(message).__name__, error=repr(exc)
            )
            reply = make_refusal(OutcomeUnknown('internal error'))
        components.metrics.time(
            'request', 1000 * (components.clock.now() - started)
        )
        if isinstance(reply, messages.Refusal):
            components.metrics.count(f'refused.{reply.code}')
        return reply

    def _on_hello(self, channel: Channel, hello: messages.Hello) -> Any:
        checked = self._components.authenticate.check(hello)
        if not isinstance(checked, Success):
            events.CALLER_REFUSED.log(tenant=hello.tenant)
            return make_refusal(checked.failure())
        tenant = checked.unwrap()
        channel.context = CallerIdentity(tenant, next(self._connections))
        token = self._components.tokens.encode(SessionToken(tenant))
        return messages.Welcome(self._components.host, token)

    def _on_get_state(self, message: messages.GetState) -> Any:
        state = self._components.state.collect(message.operator_secret)
        if not isinstance(state, Success):
            return make_refusal(state.failure())
        return messages.StateDump(state.unwrap())

    def _on_execute(
        self, message: messages.Execute, caller: CallerIdentity
    ) -> Any:
        if message.transaction:
            return self._on_run(message, caller)
        return self._make_answer(
            self._run_admitted(message, caller, self._components.deliver.run)
        )

    def _on_run(
        self, message: messages.Execute, caller: CallerIdentity
    ) -> Any:
        executed = self._components.transactions.run(
            message, caller.tenant, caller.connection
        )
        if not isinstance(executed, Success):
            return make_refusal(executed.failure())
        delivered = executed.unwrap()
        return messages.Answer(
            delivered.result.columns,
            delivered.result.rows,
            delivered.result.row_count,
            message.token,
            delivered.member,
        )

    def _on_look_up(
        self, message: messages.LookUp, caller: CallerIdentity
    ) -> Any:
        return self._make_answer(
            self._run_admitted(message, caller, self._components.deliver.run)
        )

    def _on_begin(
        self, message: messages.Begin, caller: CallerIdentity
    ) -> Any:
        begun = self._run_admitted(
            message,
            caller,
            lambda req: self._components.transactions.begin(
                req, caller.connection
            ),
        )
        if not isinstance(begun, Success):
            return make_refusal(begun.failure())
        return messages.Begun(begun.unwrap())

    def _on_commit(
        self, message: messages.Commit, caller: CallerIdentity
    ) -> Any:
        return self._make_answer(
            self._components.transactions.commit(
                message, caller.tenant, caller.connection
            )
        )

    def _on_rollback(
        self, message: messages.Rollback, caller: CallerIdentity
    ) -> Any:
        ended = self._components.transactions.rollback(
            message.transaction, caller.tenant, caller.connection
        )
        if not isinstance(ended, Success):
            return make_refusal(ended.failure())
        return messages.Done()

    def _run_admitted(
        self,
        message: Any,
        caller: CallerIdentity,
        work: Callable[[PipelineRequest], Result[Any, Failure]],
    ) -> Result[Any, Failure]:
        components = self._components
        req = PipelineRequest(caller.tenant, message, components.clock.now())
        prepared = components.prepare.run(req)
        if not isinstance(prepared, Success):
            return prepared
        try:
            result = work(prepared.unwrap())
        finally:
            components.admit.finish(caller.tenant)
        self._record_outcome(prepared.unwrap(), result)
        return result

    def _record_outcome(
        self, req: PipelineRequest, result: Result[Any, Failure]
    ) -> None:
        now = self._components.clock.now()
        name = req.work_class.name
        if isinstance(result, Success):
            elapsed_s = now - req.arrived_at
            self._components.targets.record(name, elapsed_s, now)
        elif isinstance(result.failure(), NotRun):
            self._components.targets.record_refusal(name, now)

    def _make_answer(self, result: Result[PipelineRequest, Failure]) -> Any:
        if not isinstance(result, Success):
            return make_refusal(result.failure())
        return self._components.answers.make(result.unwrap())


def _cut_failure(message: Any) -> Failure:
    if isinstance(message, messages.Rollback) or (
        isinstance(message, messages.Execute) and message.transaction
    ):
        return TransactionLost('connection is closing')
    if isinstance(
        message, messages.Execute | messages.Commit | messages.LookUp
    ):
        return OutcomeUnknown('host stopped before the request had ended')
    return Draining('connection is closing')


def make_refusal(failure: Failure) -> messages.Refusal:
    """Return the refusal message for a failure."""
    return messages.Refusal(
        failure.code,
        str(failure.run_state),
        failure.is_repeatable,
        failure.detail,
    )
