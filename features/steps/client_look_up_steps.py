"""Steps for look-ups at a member."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import step
from behave import then
from behave import when

from trefoilpulley_core.upstream import ANY_CONTENT
from trefoilpulley_core.upstream import OutcomeKey
from trefoilpulley_core.upstream import Statement
from trefoilpulley_standins.member.engine import FIRST_TERM
from trefoilpulley_standins.member.engine import MemberEngine

INSERT = Statement('insert into orders default values')


class LookUpSteps:
    """Steps that write and look up."""

    @staticmethod
    @given('a primary member')
    def make_member(context: Any) -> None:
        """Build a primary with one table."""
        schema = ('create table orders (id integer primary key)',)
        context.member = MemberEngine('a', schema, 'a')

    @staticmethod
    @given(
        'the member has run the write "{request_id}" with the content '
        '"{content}"'
    )
    @when(
        'the member is sent the write "{request_id}" with the content '
        '"{content}"'
    )
    def write(context: Any, request_id: str, content: str) -> None:
        """Write with a request id and the digest of its content."""
        key = OutcomeKey('tenant', request_id, content)
        context.reply = context.member.write(INSERT, FIRST_TERM, key)

    @staticmethod
    @step('the request id "{request_id}" is looked up at the member')
    def look_up(context: Any, request_id: str) -> None:
        """Look up by the request id without the content."""
        key = OutcomeKey('tenant', request_id, ANY_CONTENT)
        context.reply = context.member.resolve(key, FIRST_TERM)

    @staticmethod
    @then('the look-up returns the stored outcome')
    def expect_outcome(context: Any) -> None:
        """Check that the answer is the stored one of the write."""
        answer = context.reply.unwrap()
        assert answer.is_recalled
        assert answer.row_count == 1

    @staticmethod
    @then('the member answers "{code}"')
    def expect_code(context: Any, code: str) -> None:
        """Compare the failure code."""
        assert context.reply.failure().code == code, context.reply

    @staticmethod
    @then('the member holds no row')
    def expect_no_row(context: Any) -> None:
        """Check that the table is empty."""
        count = Statement('select count(*) from orders')
        floor = context.member.log.last
        assert context.member.read(count, floor).unwrap().rows == ((0,),)
