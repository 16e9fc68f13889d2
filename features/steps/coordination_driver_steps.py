"""Steps on the coordination driver of a host."""

from __future__ import annotations

import time
from typing import Any

from behave import given
from behave import then
from behave import when
from fakes.fake_platform import FakePlatform
from gevent.event import Event
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.catalog import Catalog
from trefoilpulley_core.catalog import DatabaseEntry
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.catalog import HostEntry
from trefoilpulley_core.catalog import MemberEntry
from trefoilpulley_core.coordination.commands import Notice
from trefoilpulley_core.coordination.commands import PrimaryPromoted
from trefoilpulley_core.declarations import Declarations
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_core.failure import StaleTerm
from trefoilpulley_core.keys import SHARD_PREFIX
from trefoilpulley_core.peer import FenceMember
from trefoilpulley_core.peer import FollowMember
from trefoilpulley_core.peer import PromoteMember
from trefoilpulley_core.peer import StatusReport
from trefoilpulley_node.clock import MonotonicClock
from trefoilpulley_node.coordination.deployment_view import DeploymentView
from trefoilpulley_node.coordination.deployment_view import NoticeListener
from trefoilpulley_node.coordination.deployment_view import PoolerCaller
from trefoilpulley_node.coordination.driver import CoordinationDriver
from trefoilpulley_standins.explore_member import ModelMember

EVENT_TIMEOUT_S = 20.0
"""Maximum wait for an event that must occur, in seconds."""

NOWHERE = Endpoint('127.0.0.1', 1)


class FakeMembers(PoolerCaller, NoticeListener):
    """Simulates members that answer at once, and receives notices."""

    def __init__(self, entry: DatabaseEntry) -> None:
        self.members = {
            m.name: ModelMember(
                m.name, m.zone, primary='a', last_contact_at=0.0
            )
            for m in entry.members
        }
        self.members['a'].start_term(1)
        self.promoted = Event()

    def call_pooler(
        self, member: str, message: Any, timeout_s: float
    ) -> Result[Any, Failure]:
        """Carry out a control message at a member."""
        target = self.members[member]
        now = time.monotonic()
        if not target.is_up:
            return Failed(NoUpstream())
        self._replicate(now)
        match message:
            case FenceMember(_, term):
                is_done = target.fence(term, now)
            case PromoteMember(_, term):
                is_done = target.promote(term)
            case FollowMember(_, term, primary):
                is_done = target.follow(term, primary, now)
            case _:
                is_done = True
        if not is_done:
            return Failed(StaleTerm())
        return Success(StatusReport(target.status(now)))

    def on_notice(self, notice: Notice) -> None:
        """Record the end of a promotion."""
        if isinstance(notice, PrimaryPromoted):
            self.promoted.set()

    def _replicate(self, now: float) -> None:
        running = [m for m in self.members.values() if m.is_up]
        for primary in (m for m in running if m.is_primary):
            for other in running:
                position = other.append(
                    primary.term, primary.name, primary.log, now
                )
                if position is not None:
                    primary.confirm(other.name, primary.term, position)


class GrantPlatform(FakePlatform):
    """Platform fake that reports when the terms of a shard are granted."""

    def wait_for_grants(self) -> None:
        """Wait until a shard's record contains granted terms."""
        granted = Event()

        def check_entry(entry: Any) -> None:
            if b'grants' in entry.value:
                granted.set()

        watch = self.watch(SHARD_PREFIX, check_entry, check_entry)
        for entry in list(self.values.values()):
            if entry.key.startswith(watch.prefix):
                check_entry(entry)
        assert granted.wait(EVENT_TIMEOUT_S)
        watch.cancel()


class CoordinationDriverSteps:
    """Steps on a host that coordinates one database."""

    @staticmethod
    @given('a coordination driver of a database with three members')
    def start(context: Any) -> None:
        """Start a driver that is the only live host."""
        entry = DatabaseEntry(
            'ledger/0',
            'ledger',
            tuple(MemberEntry(n, n, NOWHERE, 2, 16) for n in 'abc'),
        )
        host = HostEntry('h', 'region', 'b', NOWHERE, NOWHERE)
        view = DeploymentView(
            Catalog((entry,), (host,)), Declarations(), (host,)
        )
        context.fake_members = FakeMembers(entry)
        context.service = GrantPlatform()
        context.driver = CoordinationDriver(
            'h',
            1,
            context.service,
            context.fake_members,
            lambda: view,
            MonotonicClock(),
            context.fake_members,
        )
        context.driver.start()
        context.cleanups.append(context.driver.stop)

    @staticmethod
    @when('the coordination driver has been granted its terms')
    def wait_for_terms(context: Any) -> None:
        """Wait for the grants in the platform's service."""
        context.service.wait_for_grants()

    @staticmethod
    @when("the platform's service fails for the coordination driver")
    def take_down(context: Any) -> None:
        """Start an outage of the platform's service."""
        context.service.take_down()

    @staticmethod
    @when('the primary of the coordination driver fails')
    def lose_primary(context: Any) -> None:
        """Stop the home primary."""
        context.fake_members.members['a'].is_up = False

    @staticmethod
    @when('the coordination driver stops')
    def stop(context: Any) -> None:
        """Stop the driver while it holds a lease."""
        assert context.service.leases
        context.driver.stop()

    @staticmethod
    @then('the coordination driver reports a new primary')
    def check_promoted(context: Any) -> None:
        """Wait for the promotion and expect member b as the only primary."""
        assert context.fake_members.promoted.wait(EVENT_TIMEOUT_S)
        primaries = [
            m.name
            for m in context.fake_members.members.values()
            if m.is_primary and m.is_up
        ]
        assert primaries == ['b'], primaries

    @staticmethod
    @then('the coordination dump shows that this host has the duty')
    def check_dump(context: Any) -> None:
        """Expect one acting shard with granted terms."""
        state = context.driver.dump()
        assert [s.is_acting for s in state.shards] == [True], state
        assert state.shards[0].databases[0].granted_terms, state

    @staticmethod
    @then("the platform's service holds no lease of the coordination driver")
    def check_leases(context: Any) -> None:
        """Expect that the driver has revoked its lease."""
        assert not context.service.leases
