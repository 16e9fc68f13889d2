"""Steps for the simulated database member."""

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
_NOW_S = 1.0


class StandinsMemberSteps:
    """Steps that pass messages between the engines of members."""

    @staticmethod
    @given('simulated members a, b and c with a as the primary of term 1')
    def make_members(context: Any) -> None:
        """Build a group whose replicas hold the first record."""
        context.members = {n: MemberEngine(n, _SCHEMA, 'a') for n in 'abc'}
        context.rebuilt = set()
        _replicate(context, 'a', 'b')
        _replicate(context, 'a', 'c')

    @staticmethod
    @given('simulated members b and c are fenced at term {term:d}')
    @when('simulated members b and c are fenced at term {term:d}')
    def fence_majority(context: Any, term: int) -> None:
        """Fence a majority that does not include the old primary."""
        for name in 'bc':
            assert is_successful(context.members[name].fence(term, _NOW_S))

    @staticmethod
    @given('simulated member {name} has restarted without its log')
    def restart(context: Any, name: str) -> None:
        """Replace a member by one with an empty log."""
        context.members[name] = MemberEngine(name, _SCHEMA, 'a', True)

    @staticmethod
    @given(
        'an open transaction at simulated member {name} that has written '
        '"{text}"'
    )
    def open_transaction(context: Any, name: str, text: str) -> None:
        """Begin a transaction and run one statement."""
        context.owner = context.members[name]
        context.transaction = context.owner.begin(1).unwrap()
        run_result = context.owner.run(
            context.transaction, Statement(_INSERT, (text,))
        )
        assert is_successful(run_result)

    @staticmethod
    @when('"{text}" is written at simulated member {name} under term {term:d}')
    def write(context: Any, text: str, name: str, term: int) -> None:
        """Write without an outcome key."""
        statement = Statement(_INSERT, (text,))
        context.result = context.members[name].write(statement, term, None)

    @staticmethod
    @when('request "{request_id}" writes "{text}" at simulated member {name}')
    def write_request(
        context: Any, request_id: str, text: str, name: str
    ) -> None:
        """Write with an outcome key whose digest is the text."""
        member = context.members[name]
        key = OutcomeKey('weavers', request_id, text)
        statement = Statement(_INSERT, (text,))
        context.result = member.write(statement, member.term, key)

    @staticmethod
    @when('"{sql}" runs as a statement at simulated member {name}')
    def run_sql(context: Any, sql: str, name: str) -> None:
        """Run a write statement with the text of a caller."""
        context.result = context.members[name].write(Statement(sql), 1, None)

    @staticmethod
    @when('"x" is written under term {term:d} at simulated member {name}')
    def write_under_other_term(context: Any, term: int, name: str) -> None:
        """Write under a term in which the member is not the primary."""
        StandinsMemberSteps.write(context, 'x', name, term)

    @staticmethod
    @when('term {term:d} is fenced at simulated member {name}')
    @when('simulated member {name} is fenced at term {term:d}')
    def fence(context: Any, term: int, name: str) -> None:
        """Fence one member at a term."""
        context.result = context.members[name].fence(term, _NOW_S)

    @staticmethod
    @when('term {term:d} is promoted at simulated member {name}')
    @when('simulated member {name} is promoted to term {term:d}')
    def promote(context: Any, term: int, name: str) -> None:
        """Promote a member to the primary of a term."""
        context.result = context.members[name].promote(term, _NOW_S)

    @staticmethod
    @when(
        '{primary:w} is followed under term {term:d} at simulated '
        'member {name}'
    )
    @when('simulated member {name} follows {primary:w} under term {term:d}')
    def follow(context: Any, primary: str, term: int, name: str) -> None:
        """Make a member a replica of a primary."""
        member = context.members[name]
        context.result = member.follow(term, primary, _NOW_S)

    @staticmethod
    @when(
        'records are replicated from simulated member {source:w} to {target:w}'
    )
    def replicate(context: Any, source: str, target: str) -> None:
        """Subscribe to the primary and apply all records."""
        _replicate(context, source, target)

    @staticmethod
    @when(
        'simulated member {name:w} confirms its position to b under '
        'term {term:d}'
    )
    def confirm(context: Any, name: str, term: int) -> None:
        """Send b a confirmation under a term."""
        position = context.members[name].log.last
        context.members['b'].on_confirm(Confirm(name, term, position))

    @when('the open transaction runs an invalid statement')
    def run_invalid(context: Any) -> None:
        """Run a statement that violates a constraint."""
        statement = Statement(_INSERT, (None,))
        context.result = context.owner.run(context.transaction, statement)

    @staticmethod
    @when('the open transaction runs a statement that rolls back')
    def run_rollback(context: Any) -> None:
        """Violate a constraint with a clause that rolls back."""
        sql = 'insert or rollback into notes (text) values (null)'
        context.result = context.owner.run(context.transaction, Statement(sql))

    @when(
        'the open transaction is committed with the request id "{request_id}"'
    )
    def commit(context: Any, request_id: str) -> None:
        """Commit with an outcome key."""
        key = OutcomeKey('weavers', request_id, 'x')
        context.result = context.owner.commit(context.transaction, key)

    @staticmethod
    @when(
        'the outcome of request "{request_id}" is resolved at simulated '
        'member {name}'
    )
    def resolve(context: Any, request_id: str, name: str) -> None:
        """Resolve the outcome of a request."""
        member = context.members[name]
        key = OutcomeKey('weavers', request_id, 'x')
        context.result = member.resolve(key, member.term)

    @staticmethod
    @then('the call to the simulated member fails as "{code}"')
    def check_failure(context: Any, code: str) -> None:
        """Compare the failure code."""
        assert context.result.failure().code == code, context.result

    @staticmethod
    @then('the call to the simulated member succeeds')
    def check_success(context: Any) -> None:
        """Check that the call did not fail."""
        assert is_successful(context.result), context.result

    @staticmethod
    @then('the open transaction fails as "{code}"')
    def check_transaction(context: Any, code: str) -> None:
        """Check that a statement and a commit fail with the code."""
        run_result = context.owner.run(
            context.transaction, Statement('select 1')
        )
        commit_result = context.owner.commit(context.transaction, None)
        assert run_result.failure().code == code
        assert commit_result.failure().code == code

    @staticmethod
    @then('the simulated member returns the stored outcome')
    def check_recalled(context: Any) -> None:
        """Check that the result is a stored outcome."""
        assert context.result.unwrap().is_recalled

    @staticmethod
    @then('simulated member {name} holds "{texts}"')
    def check_rows(context: Any, name: str, texts: str) -> None:
        """Compare all rows of the member."""
        statement = Statement('select text from notes order by id')
        read = context.members[name].read(statement, BEGINNING).unwrap()
        assert [row[0] for row in read.rows] == texts.split()

    @staticmethod
    @then('simulated member {name} holds ""')
    def check_no_rows(context: Any, name: str) -> None:
        """Check that the table is empty."""
        StandinsMemberSteps.check_rows(context, name, '')

    @staticmethod
    @then(
        'a read at simulated member {name} with the floor of the write '
        'is refused as "{code}"'
    )
    def check_floor(context: Any, name: str, code: str) -> None:
        """Read with the position of the last write as the floor."""
        floor = context.result.unwrap().position
        read = context.members[name].read(Statement('select 1'), floor)
        assert read.failure().code == code

    @staticmethod
    @then('a read at simulated member {name:w} is refused as "{code}"')
    def check_read_refused(context: Any, name: str, code: str) -> None:
        """Read without a floor."""
        read = context.members[name].read(Statement('select 1'), BEGINNING)
        assert read.failure().code == code

    @staticmethod
    @then('simulated member {name} refuses the records of a')
    def check_append_refused(context: Any, name: str) -> None:
        """Check that the replica refuses the primary's newest records."""
        primary, replica = context.members['a'], context.members[name]
        before = replica.log.last
        append = primary.next_append(before.index)
        assert append.records
        assert not replica.on_append(append)
        primary.on_confirm(replica.confirmation())
        assert replica.log.last == before

    @staticmethod
    @then('simulated member a counts no copy of the write')
    def check_no_copy(context: Any) -> None:
        """Check that every acknowledged position precedes the write."""
        written = context.result.unwrap().position
        status = context.members['a'].status(_NOW_S)
        assert all(a.position < written for a in status.acknowledgements)

    @staticmethod
    @then('simulated member b counts no copy at {name}')
    def check_not_counted(context: Any, name: str) -> None:
        """Check that b has no acknowledgement of a member."""
        status = context.members['b'].status(_NOW_S)
        assert name not in {a.member for a in status.acknowledgements}

    @staticmethod
    @then(
        'the log of simulated member {name} ends at '
        'term {term:d} index {index:d}'
    )
    def check_log_end(context: Any, name: str, term: int, index: int) -> None:
        """Compare the last position of the log."""
        assert context.members[name].log.last == Position(term, index)

    @staticmethod
    @then('simulated member {name} was rebuilt')
    def check_rebuilt(context: Any, name: str) -> None:
        """Check that the member received a snapshot."""
        assert name in context.rebuilt

    @staticmethod
    @then('simulated member {name} was not rebuilt')
    def check_not_rebuilt(context: Any, name: str) -> None:
        """Check that the member received no snapshot."""
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
