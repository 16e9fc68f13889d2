"""Steps for answers to commits while a change of primary is open."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
import gevent
from returns.result import Failure as Failed
from returns.result import Success

from features.fakes.fake_entry_parts import FakeClock
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.direct.commands import Run
from trefoilpulley_core.direct.evidence import SessionFloor
from trefoilpulley_core.direct.group_state import MemberRecord
from trefoilpulley_core.direct.routes import GroupLimits
from trefoilpulley_core.direct.routes import ReadFreshness
from trefoilpulley_core.direct.routes import Route
from trefoilpulley_core.direct.session_state import SessionState
from trefoilpulley_core.direct.upstream_session import Reply
from trefoilpulley_core.failure import OutcomeUnknown
from trefoilpulley_core.position import Position
from trefoilpulley_core.position import TermStart
from trefoilpulley_node.direct.commit_check import CommitCheck
from trefoilpulley_node.direct.directory import Group
from trefoilpulley_node.direct.statement_request import StatementRequest

COMMIT = Position(1, 120)
"""Position of the commit that member p has confirmed."""

DEADLINE_S = 2.0
"""Deadline of the request on the host's clock, in seconds."""


class CommitCheckSteps:
    """Steps on one commit and the changes that a host knows."""

    @staticmethod
    @given('a commit that needs {count:d} replica, sent before a change')
    def make(context: Any, count: int) -> None:
        """Create a host that has sent a commit to member p."""
        context.clock = FakeClock()
        context.group = Group('ledger')
        context.group.limits = GroupLimits(16, count)
        context.group.state.update(
            MemberRecord(m, 'ledger', Endpoint('h', 1), 'a', m == 'p', False)
            for m in 'pq'
        )
        context.round, context.is_open = 1, False
        context.starts, context.is_isolated = [], False
        context.is_service_reached, context.is_change_hidden = True, False
        context.rounds_read = []
        context.check = CommitCheck(
            context.clock,
            lambda group: context.is_open,
            lambda group: context.round,
            lambda group: context.starts,
            lambda group: CommitCheckSteps._read_claim(context),
            lambda: context.is_isolated,
        )
        context.sent = context.clock.now(), context.check.begin(context.group)

    @staticmethod
    @when('the answer comes during a change, after which {leader} leads')
    def answer(context: Any, leader: str) -> None:
        """Hand the answer over, and end the change."""
        context.round, context.is_open = 2, True
        pending = CommitCheckSteps._confirm(context)
        gevent.sleep(0.01)
        assert not pending.ready(), pending
        CommitCheckSteps._end_change(context, leader)
        context.result = pending.get(timeout=10)

    @staticmethod
    @when('the answer comes after a change to {leader}')
    def answer_late(context: Any, leader: str) -> None:
        """Let the change be over before the answer arrives."""
        context.round = 2
        CommitCheckSteps._end_change(context, leader)
        context.result = CommitCheckSteps._confirm(context).get(timeout=10)

    @staticmethod
    @when('the answer comes during a change that outlasts its deadline')
    def answer_never(context: Any) -> None:
        """Let the deadline pass while the change is open."""
        context.round, context.is_open = 2, True
        pending = CommitCheckSteps._confirm(context)
        gevent.sleep(0.01)
        context.clock.at += DEADLINE_S
        context.result = pending.get(timeout=10)

    @staticmethod
    @when('the answer comes after {wait_ms:d} ms at a host that {host}')
    def answer_unknowing(context: Any, wait_ms: int, host: str) -> None:
        """Let a host answer that has not heard of the change."""
        context.is_isolated = 'is cut off' in host
        context.is_service_reached = 'reads nothing' not in host
        context.is_change_hidden = 'another host has claimed' in host
        context.clock.at += wait_ms / 1000
        CommitCheckSteps._end_change(context, 'q from 110')
        context.result = CommitCheckSteps._confirm(context).get(timeout=10)

    @staticmethod
    @then('the commit is answered with {answer}')
    def check(context: Any, answer: str) -> None:
        """Compare the answer to the caller."""
        if answer == 'the reply':
            assert isinstance(context.result, Success), context.result
        else:
            assert isinstance(context.result, Failed), context.result
            failure = context.result.failure()
            assert isinstance(failure, OutcomeUnknown), failure

    @staticmethod
    @then('the claim has been read {count:d} times')
    def check_reads(context: Any, count: int) -> None:
        """Compare the number of calls to the service."""
        assert len(context.rounds_read) == count, context.rounds_read

    @staticmethod
    def _confirm(context: Any) -> gevent.Greenlet:
        request = StatementRequest(
            Run('q1', 'WRITE k v', True),
            None,
            Route('orders', 'ledger', ReadFreshness.SESSION, 2.0, 0.2, 1),
            context.group,
            SessionState(),
            SessionFloor(),
            0.0,
            context.sent[0] + DEADLINE_S,
        )
        reply = Reply(position=COMMIT)
        return gevent.spawn(
            context.check.confirm, request, 'p', context.sent, reply
        )

    @staticmethod
    def _end_change(context: Any, leader: str) -> None:
        member, _, start = leader.partition(' from ')
        if start:
            context.starts = [TermStart(2, int(start))]
        context.group.state.primary = member
        context.is_open = False
        context.group.notify_primary_changed()

    @staticmethod
    def _read_claim(context: Any) -> bool:
        context.rounds_read.append(context.round)
        if context.is_service_reached and context.is_change_hidden:
            context.round = 2
        return context.is_service_reached
