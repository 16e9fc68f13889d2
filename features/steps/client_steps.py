"""Steps on the client."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import step
from behave import then
from behave import when

from features.fakes.client_rig import Client
from features.fakes.fake_entry import Break
from features.fakes.fake_entry import make_refusal
from trefoilpulley_core.caller import Done

FOR_EVER = 100
"""Orders that no scenario uses up."""


class ClientOrders:
    """Steps that order faults."""

    @staticmethod
    @given('a client of {count:d} entry hosts')
    def make_client(context: Any, count: int) -> None:
        """Connect a client."""
        context.client = Client(count)

    @staticmethod
    @given('the client\'s host breaks at "{kind}" {moment}')
    def order_break(context: Any, kind: str, moment: str) -> None:
        """Break the connection at a message."""
        context.client.first.orders.append((kind, Break(moment)))

    @staticmethod
    @given('the client\'s host refuses "{kind}" with "{code}"')
    def order_refusal(context: Any, kind: str, code: str) -> None:
        """Refuse the next message of a type."""
        context.client.first.orders.append((kind, make_refusal(code)))

    @staticmethod
    @given('the other host refuses "{kind}" with "{code}"')
    def order_other_refusal(context: Any, kind: str, code: str) -> None:
        """Refuse once at the other host."""
        (other,) = context.client.others()
        other.orders.append((kind, make_refusal(code)))

    @staticmethod
    @given('every other host refuses "{kind}" with "{code}" for ever')
    def order_others(context: Any, kind: str, code: str) -> None:
        """Refuse at each host but the one in use."""
        for host in context.client.others():
            host.orders += [(kind, make_refusal(code))] * FOR_EVER

    @staticmethod
    @given('every host refuses "{kind}" with "{code}" for ever')
    def order_everywhere(context: Any, kind: str, code: str) -> None:
        """Refuse at each host."""
        for host in context.client.hosts.values():
            host.orders += [(kind, make_refusal(code))] * FOR_EVER

    @staticmethod
    @given('the client\'s host refuses "{kind}" with "{code}" for ever')
    def order_refusals(context: Any, kind: str, code: str) -> None:
        """Refuse at the host in use."""
        order = (kind, make_refusal(code))
        context.client.first.orders += [order] * FOR_EVER

    @staticmethod
    @given('every host of the client is down')
    def take_down(context: Any) -> None:
        """Stop each host."""
        for host in context.client.hosts.values():
            host.is_up = False

    @staticmethod
    @given(
        'the client\'s host answers "{kind}" with a message of another kind'
    )
    def order_other_kind(context: Any, kind: str) -> None:
        """Answer with a message that does not fit."""
        context.client.first.orders.append((kind, Done()))

    @staticmethod
    @when('the hosts serve again')
    def clear_orders(context: Any) -> None:
        """End every fault."""
        for host in context.client.hosts.values():
            host.orders.clear()


class ClientCalls:
    """Steps that use the client."""

    @staticmethod
    @step('the client runs "{sql}" on its own')
    def run_single(context: Any, sql: str) -> None:
        """Run a single statement."""
        client = context.client
        client.connection.autocommit = True
        client.attempt(client.cursor.execute, sql)

    @staticmethod
    @when('the client runs "{sql}" on its own as "{request_id}"')
    def run_named(context: Any, sql: str, request_id: str) -> None:
        """Run a single statement under the program's request id."""
        client = context.client
        client.connection.autocommit = True
        client.attempt(client.cursor.execute, sql, request_id=request_id)

    @staticmethod
    @step('the client runs "{sql}" in a transaction')
    def run_in_transaction(context: Any, sql: str) -> None:
        """Run a statement of a transaction."""
        context.client.attempt(context.client.cursor.execute, sql)

    @staticmethod
    @when('the client commits')
    def commit(context: Any) -> None:
        """Commit."""
        context.client.attempt(context.client.connection.commit)

    @staticmethod
    @when('the client rolls back')
    def roll_back(context: Any) -> None:
        """Roll back."""
        context.client.attempt(context.client.connection.rollback)

    @staticmethod
    @when('the client runs "{sql}" in a block that {end}')
    def run_block(context: Any, sql: str, end: str) -> None:
        """Use the connection as a context manager."""
        try:
            with context.client.connection as connection:
                connection.cursor().execute(sql)
                if end == 'fails':
                    raise KeyError()
        except KeyError:
            pass

    @staticmethod
    @when('another client goes on with the session')
    def roam(context: Any) -> None:
        """Carry the token to a new connection."""
        client = context.client
        token = client.connection.token
        client.connection.close()
        client.connection = client.connect(token=token)
        client.cursor = client.connection.cursor()

    @staticmethod
    @when('the client connects')
    def connect_anew(context: Any) -> None:
        """Open another connection."""
        context.client.attempt(context.client.connect)

    @staticmethod
    @when('the client looks "{request_id}" up')
    def look_up_named(context: Any, request_id: str) -> None:
        """Ask for the outcome of a request."""
        context.client.attempt(context.client.connection.look_up, request_id)

    @staticmethod
    @when("the client looks the error's request up")
    def look_up(context: Any) -> None:
        """Ask for the outcome of the failed request."""
        request_id = context.client.error.request_id
        context.client.attempt(context.client.connection.look_up, request_id)

    @staticmethod
    @when('the client passes a parameter of an unknown type')
    def pass_object(context: Any) -> None:
        """Pass what no database knows."""
        context.client.attempt(
            context.client.cursor.execute, 'select ?', [object()]
        )

    @staticmethod
    @when('the client passes parameters as a text')
    def pass_text(context: Any) -> None:
        """Pass one text where a list belongs."""
        context.client.attempt(context.client.cursor.execute, 'select ?', 'a')

    @staticmethod
    @when('the client fetches before a statement')
    def fetch_early(context: Any) -> None:
        """Fetch without a result."""
        context.client.attempt(context.client.cursor.fetchone)

    @staticmethod
    @when('the client changes the class inside a transaction')
    def change_class(context: Any) -> None:
        """Use a cursor of another class."""
        client = context.client
        client.cursor.execute('insert')
        other = client.connection.cursor(work_class='lookup')
        client.attempt(other.execute, 'select')

    @staticmethod
    @when('the client changes the token inside a transaction')
    def change_token(context: Any) -> None:
        """Set the token of another session."""
        client = context.client
        client.cursor.execute('insert')
        client.attempt(setattr, client.connection, 'token', b'other')

    @staticmethod
    @when('the client is used after it was closed')
    def use_closed(context: Any) -> None:
        """Use a closed connection."""
        context.client.connection.close()
        context.client.attempt(context.client.cursor.execute, 'select')

    @staticmethod
    @when('the client connects to "{address}"')
    def connect_to(context: Any, address: str) -> None:
        """Connect to a malformed address."""
        context.client.attempt(context.client.connect, hosts=[address])


class ClientOutcomes:
    """Steps that judge."""

    @staticmethod
    @then('the client gets an answer')
    @then('the client gets no error')
    def expect_answer(context: Any) -> None:
        """Expect success."""
        assert context.client.answered, context.client.error

    @staticmethod
    @then('the client gets the error "{kind}" with "{code}" and "{run_state}"')
    def expect_error(
        context: Any, kind: str, code: str, run_state: str
    ) -> None:
        """Compare type, code and run state."""
        exc = context.client.error
        found = (type(exc).__name__, exc.code, exc.run_state.value)
        assert found == (kind, code, run_state), found

    @staticmethod
    @then('the database has run "{sql}" {count:d} times')
    def expect_runs(context: Any, sql: str, count: int) -> None:
        """Compare the writes that took effect."""
        runs = context.client.database.runs
        assert runs == [tuple(sql.split(', '))] * count, runs

    @staticmethod
    @then('the database has run nothing')
    def expect_no_run(context: Any) -> None:
        """Expect no effect."""
        assert not context.client.database.runs

    @staticmethod
    @then('the client has moved to another host')
    def expect_move(context: Any) -> None:
        """Expect another host than the first."""
        assert context.client.connection.host != context.client.first.name

    @staticmethod
    @then('every attempt of the client had the same request id')
    def expect_same_id(context: Any) -> None:
        """Compare with the id that the database knows."""
        ids = {m.request_id for m in context.client.sent('Execute')}
        assert ids == set(context.client.database.outcomes), ids

    @staticmethod
    @then('the abandoned request id never runs')
    def expect_abandoned(context: Any) -> None:
        """Expect one abandoned id beside the one that ran."""
        kept = list(context.client.database.outcomes.values())
        assert [k is None for k in kept] == [True, False], kept

    @staticmethod
    @then('the error tells the request id under which "{sql}" ran')
    def expect_request_id(context: Any, sql: str) -> None:
        """Compare with the kept outcome."""
        client = context.client
        assert client.database.runs == [(sql,)]
        assert list(client.database.outcomes) == [client.error.request_id]

    @staticmethod
    @then('the client has paused {count:d} times')
    def expect_pauses(context: Any, count: int) -> None:
        """Compare the pauses."""
        assert len(context.client.timer.sleeps) == count

    @staticmethod
    @then('the client has not paused')
    def expect_no_pause(context: Any) -> None:
        """Expect no pause."""
        assert not context.client.timer.sleeps

    @staticmethod
    @then('the client has waited at most {seconds:d} seconds')
    def expect_wait(context: Any, seconds: int) -> None:
        """Compare the virtual time."""
        assert 0 < context.client.timer.time <= seconds

    @staticmethod
    @then('the client has sent "{kind}" {count:d} times')
    def expect_sent(context: Any, kind: str, count: int) -> None:
        """Count the messages of a type."""
        assert len(context.client.sent(kind)) == count

    @staticmethod
    @then('the client has sent "{kind}" at most {count:d} times')
    def expect_sent_at_most(context: Any, kind: str, count: int) -> None:
        """Bound the messages of a type."""
        assert 1 < len(context.client.sent(kind)) <= count

    @staticmethod
    @then('the client\'s requests carried the tokens "{tokens}"')
    def expect_tokens(context: Any, tokens: str) -> None:
        """Compare the tokens in order."""
        sent = [m.token.decode() for m in context.client.sent('Execute')]
        assert sent == tokens.split(', '), sent

    @staticmethod
    @then('no transaction is open at any host of the client')
    def expect_none_open(context: Any) -> None:
        """Expect that each host has ended its transactions."""
        hosts = context.client.hosts.values()
        assert not any(h.transactions for h in hosts)

    @staticmethod
    @then('the client\'s cursor has the columns "{name}" and {count:d} rows')
    def expect_columns(context: Any, name: str, count: int) -> None:
        """Compare description and count."""
        cursor = context.client.cursor
        assert cursor.description == ((name, *(None,) * 6),)
        assert cursor.rowcount == count

    @staticmethod
    @then("the client's cursor gives the row {value:d} and then nothing")
    def expect_row(context: Any, value: int) -> None:
        """Fetch what there is."""
        cursor = context.client.cursor
        assert cursor.fetchone() == (value,)
        assert cursor.fetchone() is None
        assert cursor.fetchall() == []
