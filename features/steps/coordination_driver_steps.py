"""Steps on the greenlets of the coordinator role."""

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
from trefoilpulley_node.coordination.driver import CoordinationDriver
from trefoilpulley_node.coordination.situation import DeploymentView
from trefoilpulley_node.coordination.situation import NoticeListener
from trefoilpulley_node.coordination.situation import PoolerCaller
from trefoilpulley_standins.explore_member import ModelMember

EVENT_TIMEOUT_S = 20.0
"""Bound on the wait for an event that must come, in seconds."""

NOWHERE = Endpoint('127.0.0.1', 1)


class FakeMembers(PoolerCaller, NoticeListener):
    """Members that answer at once, and the notices about them."""

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
        """Carry a message out at a member."""
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
        """Wake whoever waits for a promotion."""
        if isinstance(notice, PrimaryPromoted):
            self.promoted.set()

    def _replicate(self, now: float) -> None:
        running = [m for m in self.members.values() if m.is_up]
        for primary in (m for m in running if m.is_primary):
            for other in running:
                held = other.append(
                    primary.term, primary.name, primary.log, now
                )
                if held is not None:
                    primary.confirm(other.name, primary.term, held)


class GrantPlatform(FakePlatform):
    """Service that tells when a shard's terms are granted."""

    def wait_for_grants(self) -> None:
        """Wait until terms stand in a shard's record."""
        granted = Event()

        def look(entry: Any) -> None:
            if b'grants' in entry.value:
                granted.set()

        watch = self.watch(SHARD_PREFIX, look, look)
        for entry in list(self.values.values()):
            if entry.key.startswith(watch.prefix):
                look(entry)
        assert granted.wait(EVENT_TIMEOUT_S)
        watch.cancel()


class CoordinationDriverSteps:
    """Steps on one host that coordinates one database."""

    @staticmethod
    @given('a coordination driver before three members')
    def start(context: Any) -> None:
        """Start a driver that is the only live host."""
        entry = DatabaseEntry(
            'ledger/0',
            'ledger',
            tuple(MemberEntry(n, n, NOWHERE, 2, 16) for n in 'abc'),
        )
        host = HostEntry('h', 'region', 'b', NOWHERE, NOWHERE)
        seen = DeploymentView(
            Catalog((entry,), (host,)), Declarations(), (host,)
        )
        context.fake = FakeMembers(entry)
        context.service = GrantPlatform()
        context.driver = CoordinationDriver(
            'h',
            1,
            context.service,
            context.fake,
            lambda: seen,
            MonotonicClock(),
            context.fake,
        )
        context.driver.start()
        context.cleanups.append(context.driver.stop)

    @staticmethod
    @when('the coordination driver has its terms')
    def wait_for_terms(context: Any) -> None:
        """Wait for the grants in the service."""
        context.service.wait_for_grants()

    @staticmethod
    @when('the service of the coordination driver goes down')
    def take_down(context: Any) -> None:
        """Begin an outage."""
        context.service.take_down()

    @staticmethod
    @when('the leading member of the coordination driver goes away')
    def lose_primary(context: Any) -> None:
        """Stop the home primary."""
        context.fake.members['a'].is_up = False

    @staticmethod
    @when('the coordination driver stops')
    def stop(context: Any) -> None:
        """Stop as a leaving host does."""
        assert context.service.leases
        context.driver.stop()

    @staticmethod
    @then('the coordination driver reports another primary')
    def check_promoted(context: Any) -> None:
        """Wait for the notice and look at the members."""
        assert context.fake.promoted.wait(EVENT_TIMEOUT_S)
        leaders = [
            m.name
            for m in context.fake.members.values()
            if m.is_primary and m.is_up
        ]
        assert leaders == ['b'], leaders

    @staticmethod
    @then('the coordination dump shows the duty of this host')
    def check_dump(context: Any) -> None:
        """Look for the acting shard."""
        state = context.driver.dump()
        assert [s.is_acting for s in state.shards] == [True], state
        assert state.shards[0].databases[0].granted_terms, state

    @staticmethod
    @then('no lease is left for the coordination driver')
    def check_leases(context: Any) -> None:
        """Expect that the lease was revoked."""
        assert not context.service.leases
