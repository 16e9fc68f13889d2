"""Entry role: serves the connections of callers."""

from __future__ import annotations

from dataclasses import dataclass
import itertools
from typing import Any
from typing import TYPE_CHECKING

from returns.result import Result
from returns.result import Success

from trefoilpulley_core import caller as messages
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import MalformedMessage
from trefoilpulley_core.failure import NotAuthenticated
from trefoilpulley_core.failure import NotRun
from trefoilpulley_core.failure import OutcomeUnknown
from trefoilpulley_core.token import SessionToken
from trefoilpulley_node import events
from trefoilpulley_node.pipeline.request import PipelineRequest
from trefoilpulley_wire.channel import Handler

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.targets import ClassTargets
    from trefoilpulley_core.token import TokenCodec
    from trefoilpulley_node.entry.entry_transactions import EntryTransactions
    from trefoilpulley_node.entry.state import StateSource
    from trefoilpulley_node.metrics import Metrics
    from trefoilpulley_node.pipeline.admit import Admit
    from trefoilpulley_node.pipeline.answer import AnswerMaker
    from trefoilpulley_node.pipeline.authenticate import Authenticate
    from trefoilpulley_node.pipeline.pipeline import Pipeline
    from trefoilpulley_wire.channel import Channel


@dataclass(frozen=True, slots=True)
class CallerIdentity:
    """Caller on the other side of a connection."""

    tenant: str
    """Tenant of the caller."""

    connection: int
    """Number of the connection, unique in this process."""


@dataclass(frozen=True, slots=True)
class EntryParts:
    """What the entry role is made of."""

    host: str
    """Name of this host."""

    authenticate: Authenticate
    """Checks callers."""

    admit: Admit
    """Counts the running requests."""

    prepare: Pipeline
    """Filters up to admission."""

    deliver: Pipeline
    """Filters from routing on."""

    transactions: EntryTransactions
    """Open transactions."""

    answers: AnswerMaker
    """Makes the answers."""

    targets: ClassTargets
    """How the classes do against their targets."""

    tokens: TokenCodec
    """Signs session tokens."""

    state: StateSource
    """Collects the state dump."""

    metrics: Metrics
    """Counters and timings."""

    clock: Clock
    """Monotonic time."""


class CallerServer(Handler):
    """Serves callers' messages.

    Parameters
    ----------
    parts : EntryParts
        What the role is made of.
    """

    def __init__(self, parts: EntryParts) -> None:
        self._parts = parts
        self._connections = itertools.count(1)
        self._serving = {
            messages.Execute: self._on_execute,
            messages.Begin: self._on_begin,
            messages.Commit: self._on_commit,
            messages.Rollback: self._on_rollback,
            messages.LookUp: self._on_look_up,
        }

    def on_request(self, channel: Channel, message: Any) -> Any:
        """Serve one message of a caller."""
        if isinstance(message, messages.Hello):
            return self._on_hello(channel, message)
        if isinstance(message, messages.GetState):
            return self._on_get_state(message)
        if channel.context is None:
            return refuse(NotAuthenticated('say hello first'))
        serve = self._serving.get(type(message))
        if serve is None:
            return refuse(MalformedMessage('not a request'))
        return self._serve(serve, message, channel.context)

    def on_malformed(self, channel: Channel, failure: Failure) -> Any:
        """Refuse what could not be decoded; the connection goes on."""
        return refuse(failure)

    def on_close(self, channel: Channel) -> None:
        """Roll back what the caller had open."""
        if channel.context is not None:
            self._parts.transactions.on_caller_lost(channel.context.connection)

    def _serve(self, serve: Any, message: Any, caller: CallerIdentity) -> Any:
        parts = self._parts
        started = parts.clock.now()
        try:
            reply = serve(message, caller)
        except Exception as exc:  # a fault must not end the connection
            events.HANDLER_CRASHED.log(
                message=type(message).__name__, error=repr(exc)
            )
            reply = refuse(OutcomeUnknown('internal error'))
        parts.metrics.time('request', 1000 * (parts.clock.now() - started))
        if isinstance(reply, messages.Refusal):
            parts.metrics.count(f'refused.{reply.code}')
        return reply

    def _on_hello(self, channel: Channel, hello: messages.Hello) -> Any:
        checked = self._parts.authenticate.check(hello)
        if not isinstance(checked, Success):
            events.CALLER_REFUSED.log(tenant=hello.tenant)
            return refuse(checked.failure())
        tenant = checked.unwrap()
        channel.context = CallerIdentity(tenant, next(self._connections))
        token = self._parts.tokens.encode(SessionToken(tenant))
        return messages.Welcome(self._parts.host, token)

    def _on_get_state(self, message: messages.GetState) -> Any:
        state = self._parts.state.collect(message.operator_secret)
        if not isinstance(state, Success):
            return refuse(state.failure())
        return messages.StateDump(state.unwrap())

    def _on_execute(
        self, message: messages.Execute, caller: CallerIdentity
    ) -> Any:
        if message.transaction:
            return self._on_run(message, caller)
        return self._answer(
            self._admitted(message, caller, self._parts.deliver.run)
        )

    def _on_run(
        self, message: messages.Execute, caller: CallerIdentity
    ) -> Any:
        ran = self._parts.transactions.run(
            message, caller.tenant, caller.connection
        )
        if not isinstance(ran, Success):
            return refuse(ran.failure())
        found = ran.unwrap()
        return messages.Answer(
            found.result.columns,
            found.result.rows,
            found.result.row_count,
            message.token,
            found.member,
        )

    def _on_look_up(
        self, message: messages.LookUp, caller: CallerIdentity
    ) -> Any:
        return self._answer(
            self._admitted(message, caller, self._parts.deliver.run)
        )

    def _on_begin(
        self, message: messages.Begin, caller: CallerIdentity
    ) -> Any:
        begun = self._admitted(
            message,
            caller,
            lambda req: self._parts.transactions.begin(req, caller.connection),
        )
        if not isinstance(begun, Success):
            return refuse(begun.failure())
        return messages.Begun(begun.unwrap())

    def _on_commit(
        self, message: messages.Commit, caller: CallerIdentity
    ) -> Any:
        return self._answer(
            self._parts.transactions.commit(
                message, caller.tenant, caller.connection
            )
        )

    def _on_rollback(
        self, message: messages.Rollback, caller: CallerIdentity
    ) -> Any:
        ended = self._parts.transactions.rollback(
            message.transaction, caller.tenant, caller.connection
        )
        if not isinstance(ended, Success):
            return refuse(ended.failure())
        return messages.Done()

    def _admitted(
        self,
        message: Any,
        caller: CallerIdentity,
        work: Callable[[PipelineRequest], Result[Any, Failure]],
    ) -> Result[Any, Failure]:
        parts = self._parts
        req = PipelineRequest(caller.tenant, message, parts.clock.now())
        prepared = parts.prepare.run(req)
        if not isinstance(prepared, Success):
            return prepared
        try:
            result = work(prepared.unwrap())
        finally:
            parts.admit.finish(caller.tenant)
        self._record(prepared.unwrap(), result)
        return result

    def _record(
        self, req: PipelineRequest, result: Result[Any, Failure]
    ) -> None:
        now = self._parts.clock.now()
        name = req.work_class.name
        if isinstance(result, Success):
            elapsed_s = now - req.arrived_at
            self._parts.targets.record(name, elapsed_s, now)
        elif isinstance(result.failure(), NotRun):
            self._parts.targets.record_refusal(name, now)

    def _answer(self, result: Result[PipelineRequest, Failure]) -> Any:
        if not isinstance(result, Success):
            return refuse(result.failure())
        return self._parts.answers.make(result.unwrap())


def refuse(failure: Failure) -> messages.Refusal:
    """Return the wire form of a failure to a caller."""
    return messages.Refusal(
        failure.code,
        str(failure.run_state),
        failure.is_repeatable,
        failure.detail,
    )
