"""Network server of a member: statements, control and replication."""

from __future__ import annotations

from dataclasses import replace
import time
from typing import Any
from typing import TYPE_CHECKING

import gevent
from returns.pipeline import is_successful
from returns.result import Result

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import Overloaded
from trefoilpulley_core.failure import TransactionLost
from trefoilpulley_standins.member._feed import FeedHandler
from trefoilpulley_standins.member._replicator import Replicator
from trefoilpulley_standins.member._session import Session
from trefoilpulley_standins.member._session import Slots
from trefoilpulley_standins.member._signal import Signal
from trefoilpulley_standins.member.engine import MemberEngine
from trefoilpulley_standins.member.replication import REPLICATION_CODEC
from trefoilpulley_wire.handler import Handler
from trefoilpulley_wire.listener import Listener
from trefoilpulley_wire import member_codec as wire

if TYPE_CHECKING:
    from trefoilpulley_core.catalog import Endpoint
    from trefoilpulley_core.upstream import MemberStatus
    from trefoilpulley_core.upstream import StatementResult
    from trefoilpulley_standins.member.settings import MemberSettings
    from trefoilpulley_wire.channel import Channel

MIN_REPORT_INTERVAL_S = 0.005
"""Least time between two reports to the watchers, in seconds."""

MAX_REPORT_INTERVAL_S = 0.2
"""Longest time between two reports to the watchers, in seconds."""


class MemberServer(Handler):
    """Member with its listeners.

    Parameters
    ----------
    cfg : MemberSettings
        Settings of the member.
    """

    def __init__(self, cfg: MemberSettings) -> None:
        self._state_changed = Signal()
        self._change_count = 0
        self._watchers: set[Channel] = set()
        self._slots = Slots(cfg.slots, cfg.statement_ms / 1000)
        self.engine = MemberEngine(
            cfg.name, cfg.schema, cfg.primary, cfg.is_rejoining
        )
        """State of the member."""

        self.engine.observers.append(self._on_state_changed)
        peers = {peer.name: peer.endpoint for peer in cfg.peers}
        self._replicator = Replicator(
            self.engine, self._state_changed, peers, cfg.lag_ms / 1000
        )
        self._listener = MemberListener(
            cfg.listen, self, cfg.connections, cfg.connect_ms / 1000
        )
        self._replication_listener = Listener(
            cfg.replication_listen,
            REPLICATION_CODEC,
            FeedHandler(self.engine, self._state_changed, self._replicator),
        )
        self._greenlets: list[gevent.Greenlet] = []
        self._handlers = {
            wire.Status: self._on_status,
            wire.Read: self._on_read,
            wire.Write: self._on_write,
            wire.BeginTransaction: self._on_begin,
            wire.RunStatement: self._on_run,
            wire.CommitTransaction: self._on_commit,
            wire.RollbackTransaction: self._on_rollback,
            wire.Resolve: self._on_resolve,
            wire.Fence: self._on_fence,
            wire.Promote: self._on_promote,
            wire.Follow: self._on_follow,
            wire.WatchProgress: self._on_watch,
        }

    @property
    def port(self) -> int:
        """Port for statements and control."""
        return self._listener.port

    @property
    def replication_port(self) -> int:
        """Port for the replication with the other members."""
        return self._replication_listener.port

    def start(self) -> None:
        """Open the listeners and start the background greenlets."""
        self._listener.start()
        self._replication_listener.start()
        self._greenlets = [
            gevent.spawn(self._replicator.run),
            gevent.spawn(self._report_continuously),
        ]

    def stop(self) -> None:
        """Stop the greenlets and close every listener and connection."""
        gevent.killall(self._greenlets)
        self._listener.stop()
        self._replication_listener.stop()

    def status(self) -> MemberStatus:
        """Return the status with the current load."""
        return replace(
            self.engine.status(time.monotonic()),
            slots_in_use=self._slots.in_use,
            connections_open=len(self._listener.channels),
        )

    def on_request(self, channel: Channel, message: Any) -> Any:
        """Pass a request to the handler of its type."""
        return self._handlers[type(message)](channel, message)

    def on_malformed(self, channel: Channel, failure: Failure) -> Any:
        """Reject a message that could not be decoded."""
        return _to_failure(failure)

    def on_close(self, channel: Channel) -> None:
        """Roll back the transaction of a closed connection."""
        self._watchers.discard(channel)
        if channel.context is not None:
            channel.context.end()

    def _on_status(self, channel: Channel, message: wire.Status) -> Any:
        return wire.MemberReport(self.status())

    def _on_watch(self, channel: Channel, message: wire.WatchProgress) -> Any:
        self._watchers.add(channel)
        return wire.MemberDone()

    def _on_read(self, channel: Channel, message: wire.Read) -> Any:
        with self._slots.hold(is_writer=False) as is_held:
            if not is_held:
                return _to_failure(Overloaded('no slot became free in time'))
            self._slots.simulate_statement()
            result = self.engine.read(message.statement, message.floor)
            return _to_reply(result)

    def _on_write(self, channel: Channel, message: wire.Write) -> Any:
        with self._session_of(channel).statement_lock:
            with self._slots.hold(is_writer=True) as is_held:
                if not is_held:
                    return _to_failure(
                        Overloaded('no slot became free in time')
                    )
                self._slots.simulate_statement()
                result = self.engine.write(
                    message.statement, message.term, message.key
                )
                return _to_reply(result)

    def _on_resolve(self, channel: Channel, message: wire.Resolve) -> Any:
        with self._slots.hold(is_writer=True) as is_held:
            if not is_held:
                return _to_failure(Overloaded('no slot became free in time'))
            return _to_reply(self.engine.resolve(message.key, message.term))

    def _on_begin(
        self, channel: Channel, message: wire.BeginTransaction
    ) -> Any:
        session = self._session_of(channel)
        with session.statement_lock:
            if session.transaction is not None:
                return _to_failure(Overloaded('a transaction is already open'))
            if not self._slots.acquire(is_writer=True):
                return _to_failure(Overloaded('no slot became free in time'))
            begin_result = self.engine.begin(message.term)
            if not is_successful(begin_result):
                self._slots.release(is_writer=True)
                return _to_failure(begin_result.failure())
            session.open(begin_result.unwrap(), channel.close)
            if not channel.is_open:
                session.end()
            return wire.MemberDone()

    def _on_run(self, channel: Channel, message: wire.RunStatement) -> Any:
        session = self._session_of(channel)
        with session.statement_lock:
            if session.transaction is None:
                return _to_failure(TransactionLost())
            self._slots.simulate_statement()
            return _to_reply(
                self.engine.run(session.transaction, message.statement)
            )

    def _on_commit(
        self, channel: Channel, message: wire.CommitTransaction
    ) -> Any:
        session = self._session_of(channel)
        with session.statement_lock:
            if session.transaction is None:
                return _to_failure(TransactionLost())
            result = self.engine.commit(session.transaction, message.key)
            session.end()
            return _to_reply(result)

    def _on_rollback(
        self, channel: Channel, message: wire.RollbackTransaction
    ) -> Any:
        session = self._session_of(channel)
        with session.statement_lock:
            session.end()
            return wire.MemberDone()

    def _on_fence(self, channel: Channel, message: wire.Fence) -> Any:
        return self._to_reply_with_status(
            self.engine.fence(message.term, time.monotonic())
        )

    def _on_promote(self, channel: Channel, message: wire.Promote) -> Any:
        return self._to_reply_with_status(
            self.engine.promote(message.term, time.monotonic())
        )

    def _on_follow(self, channel: Channel, message: wire.Follow) -> Any:
        return self._to_reply_with_status(
            self.engine.follow(message.term, message.primary, time.monotonic())
        )

    def _to_reply_with_status(self, result: Result[None, Failure]) -> Any:
        if is_successful(result):
            return wire.MemberReport(self.status())
        return _to_failure(result.failure())

    def _session_of(self, channel: Channel) -> Session:
        if channel.context is None:
            channel.context = Session(self.engine, self._slots)
        return channel.context

    def _report_continuously(self) -> None:
        last_reported = None
        while True:
            seen_changes = self._change_count
            status = self.status()
            stable_status = replace(status, primary_contact_age_ms=None)
            report = wire.MemberReport(status)
            if stable_status == last_reported:
                report = wire.StillAlive()
            last_reported = stable_status
            for channel in list(self._watchers):
                channel.notify(report)
            gevent.sleep(MIN_REPORT_INTERVAL_S)
            if seen_changes == self._change_count:
                self._state_changed.wait(
                    MAX_REPORT_INTERVAL_S - MIN_REPORT_INTERVAL_S
                )

    def _on_state_changed(self) -> None:
        self._change_count += 1
        self._state_changed.fire()


class MemberListener(Listener):
    """Listener with a connection limit and a delay per connection.

    Parameters
    ----------
    endpoint : Endpoint
        Address to listen on.
    handler : Handler
        Handler of the requests.
    max_connections : int
        Greatest number of open connections.
    connect_delay_s : float
        Delay before a new connection is served, in seconds.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        handler: Handler,
        max_connections: int,
        connect_delay_s: float,
    ) -> None:
        super().__init__(endpoint, wire.MEMBER_CODEC, handler)
        self._max_connections = max_connections
        self._connect_delay_s = connect_delay_s
        self._pending_count = 0

    def admit(self) -> bool:
        """Reject a connection above the limit; delay any other connection."""
        if len(self.channels) + self._pending_count >= self._max_connections:
            return False
        self._pending_count += 1
        try:
            gevent.sleep(self._connect_delay_s)
        finally:
            self._pending_count -= 1
        return True


def _to_reply(result: Result[StatementResult, Failure]) -> Any:
    if is_successful(result):
        return wire.MemberResult(result.unwrap())
    return _to_failure(result.failure())


def _to_failure(failure: Failure) -> wire.MemberFailure:
    return wire.MemberFailure(failure.code, failure.detail)
