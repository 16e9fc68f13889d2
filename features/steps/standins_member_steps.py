"""Steps on the stand-in for a database member."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
from returns.pipeline import is_successful

from trefoilpulley_core.position import BEGINNING
from trefoilpulley_core.position import Position
from trefoilpulley_core.upstream import OutcomeKey
from trefoilpulley_core.upstream import Statement
from trefoilpulley_standins.member.engine import MemberEngine
from trefoilpulley_standins.member.replication import Confirm
from trefoilpulley_standins.member.replication import Refused
from trefoilpulley_standins.member.replication import Snapshot

_SCHEMA = ('create table notes (id integer primary key, text text not null)',)
_INSERT = 'insert into notes (text) values (?)'
_NOW = 1.0


class StandinsMemberSteps:
    """Steps on engines whose messages the steps carry."""

    @staticmethod
    @given('standins members a, b and c with a leading term 1')
    def make_members(context: Any) -> None:
        """Make a group whose replicas hold the first record."""
        context.members = {n: MemberEngine(n, _SCHEMA, 'a') for n in 'abc'}
        context.rebuilt = set()
        _replicate(context, 'a', 'b')
        _replicate(context, 'a', 'c')

    @staticmethod
    @given('standins members b and c are fenced at term {term:d}')
    @when('standins members b and c are fenced at term {term:d}')
    def fence_majority(context: Any, term: int) -> None:
        """Fence a majority without the old primary."""
        for name in 'bc':
            assert is_successful(context.members[name].fence(term, _NOW))

    @staticmethod
    @given('standins member {name} has restarted without its log')
    def restart(context: Any, name: str) -> None:
        """Replace a member by an empty one."""
        context.members[name] = MemberEngine(name, _SCHEMA, 'a', True)

    @staticmethod
    @given('an open standins transaction at {name} that wrote "{text}"')
    def open_transaction(context: Any, name: str, text: str) -> None:
        """Begin and run one statement."""
        context.owner = context.members[name]
        context.transaction = context.owner.begin(1).unwrap()
        ran = context.owner.run(
            context.transaction, Statement(_INSERT, (text,))
        )
        assert is_successful(ran)

    @staticmethod
    @when('"{text}" is written at standins member {name} under term {term:d}')
    def write(context: Any, text: str, name: str, term: int) -> None:
        """Write without a key."""
        statement = Statement(_INSERT, (text,))
        context.done = context.members[name].write(statement, term, None)

    @staticmethod
    @when('request "{request_id}" writes "{text}" at standins member {name}')
    def write_request(
        context: Any, request_id: str, text: str, name: str
    ) -> None:
        """Write with a key whose digest is the text."""
        member = context.members[name]
        key = OutcomeKey('weavers', request_id, text)
        statement = Statement(_INSERT, (text,))
        context.done = member.write(statement, member.term, key)

    @staticmethod
    @when('"{sql}" runs as a standins statement at {name}')
    def run_sql(context: Any, sql: str, name: str) -> None:
        """Write with a caller's own text."""
        context.done = context.members[name].write(Statement(sql), 1, None)

    @staticmethod
    @when('"x" is written under term {term:d} at standins member {name}')
    def write_foreign(context: Any, term: int, name: str) -> None:
        """Write under a term that the member does not lead."""
        StandinsMemberSteps.write(context, 'x', name, term)

    @staticmethod
    @when('term {term:d} is fenced at standins member {name}')
    @when('standins member {name} is fenced at term {term:d}')
    def fence(context: Any, term: int, name: str) -> None:
        """Fence one member."""
        context.done = context.members[name].fence(term, _NOW)

    @staticmethod
    @when('term {term:d} is promoted at standins member {name}')
    @when('standins member {name} is promoted to term {term:d}')
    def promote(context: Any, term: int, name: str) -> None:
        """Promote a member."""
        context.done = context.members[name].promote(term, _NOW)

    @staticmethod
    @when(
        '{primary:w} is followed under term {term:d} at standins member {name}'
    )
    @when('standins member {name} follows {primary:w} under term {term:d}')
    def follow(context: Any, primary: str, term: int, name: str) -> None:
        """Make a member a replica."""
        member = context.members[name]
        context.done = member.follow(term, primary, _NOW)

    @staticmethod
    @when('standins records flow from {source:w} to {target:w}')
    def replicate(context: Any, source: str, target: str) -> None:
        """Subscribe and take all records."""
        _replicate(context, source, target)

    @staticmethod
    @when('standins member {name:w} confirms to b under term {term:d}')
    def confirm(context: Any, name: str, term: int) -> None:
        """Send a confirmation under a term."""
        position = context.members[name].log.last
        context.members['b'].on_confirm(Confirm(name, term, position))

    @when('the standins transaction runs a statement with a fault')
    def run_fault(context: Any) -> None:
        """Run a statement that breaks a rule of the table."""
        statement = Statement(_INSERT, (None,))
        context.done = context.owner.run(context.transaction, statement)

    @staticmethod
    @when('the standins transaction runs a statement that rolls back')
    def run_rollback(context: Any) -> None:
        """Break a rule of the table with a conflict clause."""
        sql = 'insert or rollback into notes (text) values (null)'
        context.done = context.owner.run(context.transaction, Statement(sql))

    @when('the standins transaction is committed as "{request_id}"')
    def commit(context: Any, request_id: str) -> None:
        """Commit with a key."""
        key = OutcomeKey('weavers', request_id, 'x')
        context.done = context.owner.commit(context.transaction, key)

    @staticmethod
    @when('standins request "{request_id}" is resolved at {name}')
    def resolve(context: Any, request_id: str, name: str) -> None:
        """Resolve a key."""
        member = context.members[name]
        key = OutcomeKey('weavers', request_id, 'x')
        context.done = member.resolve(key, member.term)

    @staticmethod
    @then('the standins call fails as "{code}"')
    def check_failure(context: Any, code: str) -> None:
        """Compare the failure's code."""
        assert context.done.failure().code == code, context.done

    @staticmethod
    @then('the standins call succeeds')
    def check_success(context: Any) -> None:
        """Expect no failure."""
        assert is_successful(context.done), context.done

    @staticmethod
    @then('the standins transaction fails as "{code}"')
    def check_transaction(context: Any, code: str) -> None:
        """Run and commit in vain."""
        ran = context.owner.run(context.transaction, Statement('select 1'))
        committed = context.owner.commit(context.transaction, None)
        assert ran.failure().code == code
        assert committed.failure().code == code

    @staticmethod
    @then('the standins answer is recalled')
    def check_recalled(context: Any) -> None:
        """Expect a kept outcome."""
        assert context.done.unwrap().is_recalled

    @staticmethod
    @then('standins member {name} holds "{texts}"')
    def check_rows(context: Any, name: str, texts: str) -> None:
        """Read all rows."""
        statement = Statement('select text from notes order by id')
        read = context.members[name].read(statement, BEGINNING).unwrap()
        assert [row[0] for row in read.rows] == texts.split()

    @staticmethod
    @then('standins member {name} holds ""')
    def check_no_rows(context: Any, name: str) -> None:
        """Expect an empty table."""
        StandinsMemberSteps.check_rows(context, name, '')

    @staticmethod
    @then(
        'a standins read at {name} with the floor of the write is refused '
        'as "{code}"'
    )
    def check_floor(context: Any, name: str, code: str) -> None:
        """Read with the position of the last write."""
        floor = context.done.unwrap().position
        read = context.members[name].read(Statement('select 1'), floor)
        assert read.failure().code == code

    @staticmethod
    @then('a standins read at {name:w} is refused as "{code}"')
    def check_read_refused(context: Any, name: str, code: str) -> None:
        """Read without a floor."""
        read = context.members[name].read(Statement('select 1'), BEGINNING)
        assert read.failure().code == code

    @staticmethod
    @then('standins member {name} refuses the records of a')
    def check_append_refused(context: Any, name: str) -> None:
        """Offer the primary's newest records."""
        primary, replica = context.members['a'], context.members[name]
        before = replica.log.last
        append = primary.next_append(before.index)
        assert append.records
        assert not replica.on_append(append)
        primary.on_confirm(replica.confirmation())
        assert replica.log.last == before

    @staticmethod
    @then('standins member a counts no copy of the write')
    def check_no_copy(context: Any) -> None:
        """Compare the acknowledgements with the write's position."""
        written = context.done.unwrap().position
        status = context.members['a'].status(_NOW)
        assert all(a.position < written for a in status.acknowledgements)

    @staticmethod
    @then('standins member b counts no copy at {name}')
    def check_not_counted(context: Any, name: str) -> None:
        """Expect no acknowledgement of a member."""
        status = context.members['b'].status(_NOW)
        assert name not in {a.member for a in status.acknowledgements}

    @staticmethod
    @then('the standins log of {name} ends at term {term:d} index {index:d}')
    def check_end(context: Any, name: str, term: int, index: int) -> None:
        """Compare the log's end."""
        assert context.members[name].log.last == Position(term, index)

    @staticmethod
    @then('standins member {name} was rebuilt')
    def check_rebuilt(context: Any, name: str) -> None:
        """Expect that a copy was sent."""
        assert name in context.rebuilt

    @staticmethod
    @then('standins member {name} was not rebuilt')
    def check_not_rebuilt(context: Any, name: str) -> None:
        """Expect that no copy was sent."""
        assert name not in context.rebuilt


def _replicate(context: Any, source: str, target: str) -> None:
    primary, replica = context.members[source], context.members[target]
    term = replica.term
    answer = primary.on_subscribe(replica.subscription())
    assert not isinstance(answer, Refused)
    if isinstance(answer, Snapshot):
        context.rebuilt.add(target)
        assert replica.on_snapshot(term, answer)
    else:
        assert replica.on_subscribed(term)
    primary.on_confirm(replica.confirmation())
    append = primary.next_append(replica.log.last.index)
    if append.records:
        assert replica.on_append(append)
        primary.on_confirm(replica.confirmation())
