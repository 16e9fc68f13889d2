"""Steps for the client."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import step
from behave import then
from behave import when

from features.fakes.client_rig import ClientRig
from features.fakes.fake_entry import BreakMoment
from features.fakes.fake_entry import make_refusal
from trefoilpulley_core.caller import Done

REPEAT_COUNT = 100
"""Number of scripted replies that no scenario uses up."""


class ClientFaultSteps:
    """Steps that script faults of the hosts."""

    @staticmethod
    @given('a client of {count:d} entry hosts')
    def make_client(context: Any, count: int) -> None:
        """Connect a client to simulated hosts."""
        context.client = ClientRig(count)

    @staticmethod
    @given('the client\'s host breaks its connection at "{kind}" {moment}')
    def script_break(context: Any, kind: str, moment: str) -> None:
        """Break the connection at the next message of a type."""
        context.client.first_host.orders.append((kind, BreakMoment(moment)))

    @staticmethod
    @given('the client\'s host refuses the next "{kind}" with "{code}"')
    def script_refusal(context: Any, kind: str, code: str) -> None:
        """Refuse the next message of a type at the host in use."""
        context.client.first_host.orders.append((kind, make_refusal(code)))

    @staticmethod
    @given('the other host refuses the next "{kind}" with "{code}"')
    def script_other_refusal(context: Any, kind: str, code: str) -> None:
        """Refuse the next message of a type at the other host."""
        (other,) = context.client.other_hosts()
        other.orders.append((kind, make_refusal(code)))

    @staticmethod
    @given('every other host always refuses "{kind}" with "{code}"')
    def script_other_refusals(context: Any, kind: str, code: str) -> None:
        """Refuse messages of a type at each host except the one in use."""
        for host in context.client.other_hosts():
            host.orders += [(kind, make_refusal(code))] * REPEAT_COUNT

    @staticmethod
    @given('every host always refuses "{kind}" with "{code}"')
    def script_all_refusals(context: Any, kind: str, code: str) -> None:
        """Refuse messages of a type at each host."""
        for host in context.client.hosts.values():
            host.orders += [(kind, make_refusal(code))] * REPEAT_COUNT

    @staticmethod
    @given('the client\'s host always refuses "{kind}" with "{code}"')
    def script_refusals(context: Any, kind: str, code: str) -> None:
        """Refuse messages of a type at the host in use."""
        reply = (kind, make_refusal(code))
        context.client.first_host.orders += [reply] * REPEAT_COUNT

    @staticmethod
    @given('every host of the client is down')
    def take_down(context: Any) -> None:
        """Make every host unreachable."""
        for host in context.client.hosts.values():
            host.is_up = False

    @staticmethod
    @given(
        'the client\'s host answers "{kind}" with a message of another type'
    )
    def script_other_type(context: Any, kind: str) -> None:
        """Answer the next message of a type with an unexpected type."""
        context.client.first_host.orders.append((kind, Done()))

    @staticmethod
    @when('the hosts stop refusing requests')
    def clear_faults(context: Any) -> None:
        """Remove the scripted faults of every host."""
        for host in context.client.hosts.values():
            host.orders.clear()


class ClientCallSteps:
    """Steps that call the client."""

    @staticmethod
    @step('the client runs "{sql}" as a single statement')
    def run_single(context: Any, sql: str) -> None:
        """Run a statement in autocommit mode."""
        client = context.client
        client.connection.autocommit = True
        client.attempt(client.cursor.execute, sql)

    @staticmethod
    @when(
        'the client runs "{sql}" as a single statement with the request id '
        '"{request_id}"'
    )
    def run_with_request_id(context: Any, sql: str, request_id: str) -> None:
        """Run a statement in autocommit mode with a request id."""
        client = context.client
        client.connection.autocommit = True
        client.attempt(client.cursor.execute, sql, request_id=request_id)

    @staticmethod
    @step('the client runs "{sql}" in a transaction')
    def run_in_transaction(context: Any, sql: str) -> None:
        """Run a statement in the current transaction."""
        context.client.attempt(context.client.cursor.execute, sql)

    @staticmethod
    @when('the client commits')
    def commit(context: Any) -> None:
        """Commit the current transaction."""
        context.client.attempt(context.client.connection.commit)

    @staticmethod
    @when('the client rolls back')
    def roll_back(context: Any) -> None:
        """Roll the current transaction back."""
        context.client.attempt(context.client.connection.rollback)

    @staticmethod
    @when('the client runs "{sql}" in a context manager that {end}')
    def run_in_context_manager(context: Any, sql: str, end: str) -> None:
        """Use the connection as a context manager."""
        try:
            with context.client.connection as connection:
                connection.cursor().execute(sql)
                if end == 'fails':
                    raise KeyError()
        except KeyError:
            pass

    @staticmethod
    @when('another connection continues the session with its token')
    def continue_session(context: Any) -> None:
        """Open a new connection with the token of the session."""
        client = context.client
        token = client.connection.token
        client.connection.close()
        client.connection = client.connect(token=token)
        client.cursor = client.connection.cursor()

    @staticmethod
    @when('the client connects')
    def connect_again(context: Any) -> None:
        """Open another connection."""
        context.client.attempt(context.client.connect)

    @staticmethod
    @when('the client looks up the request "{request_id}"')
    def look_up_request(context: Any, request_id: str) -> None:
        """Look up the outcome of a request."""
        context.client.attempt(context.client.connection.look_up, request_id)

    @staticmethod
    @when("the client looks up the error's request")
    def look_up_error(context: Any) -> None:
        """Look up the outcome of the failed request."""
        request_id = context.client.error.request_id
        context.client.attempt(context.client.connection.look_up, request_id)

    @staticmethod
    @when('the client passes a parameter of an unknown type')
    def pass_unknown_type(context: Any) -> None:
        """Pass an object that has no type on the wire."""
        context.client.attempt(
            context.client.cursor.execute, 'select ?', [object()]
        )

    @staticmethod
    @when('the client passes parameters as a text')
    def pass_string(context: Any) -> None:
        """Pass a string instead of a sequence of parameters."""
        context.client.attempt(context.client.cursor.execute, 'select ?', 'a')

    @staticmethod
    @when('the client fetches before a statement')
    def fetch_before_statement(context: Any) -> None:
        """Fetch before a statement has run."""
        context.client.attempt(context.client.cursor.fetchone)

    @staticmethod
    @when('the client changes the class inside a transaction')
    def change_class(context: Any) -> None:
        """Run a statement of another class inside the transaction."""
        client = context.client
        client.cursor.execute('insert')
        other = client.connection.cursor(work_class='lookup')
        client.attempt(other.execute, 'select')

    @staticmethod
    @when('the client changes the token inside a transaction')
    def change_token(context: Any) -> None:
        """Set another token inside the transaction."""
        client = context.client
        client.cursor.execute('insert')
        client.attempt(setattr, client.connection, 'token', b'other')

    @staticmethod
    @when('the client is used after it was closed')
    def use_closed(context: Any) -> None:
        """Run a statement on a closed connection."""
        context.client.connection.close()
        context.client.attempt(context.client.cursor.execute, 'select')

    @staticmethod
    @when('the client connects to "{address}"')
    def connect_to(context: Any, address: str) -> None:
        """Connect to a malformed address."""
        context.client.attempt(context.client.connect, hosts=[address])


class ClientOutcomeSteps:
    """Steps that check the results of the client."""

    @staticmethod
    @then('the client gets an answer')
    @then('the client gets no error')
    def expect_answer(context: Any) -> None:
        """Check that the last call succeeded."""
        assert context.client.is_answered, context.client.error

    @staticmethod
    @then('the client gets the error "{kind}" with "{code}" and "{run_state}"')
    def expect_error(
        context: Any, kind: str, code: str, run_state: str
    ) -> None:
        """Compare the error's type, code and run state."""
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
        """Check that no write took effect."""
        assert not context.client.database.runs

    @staticmethod
    @then('the client is connected to another host')
    def expect_other_host(context: Any) -> None:
        """Check that the current host is not the first one."""
        assert context.client.connection.host != context.client.first_host.name

    @staticmethod
    @then('every attempt of the client had the same request id')
    def expect_same_id(context: Any) -> None:
        """Compare the request ids with those of the database."""
        ids = {
            m.request_id for m in context.client.received_messages('Execute')
        }
        assert ids == set(context.client.database.outcomes), ids

    @staticmethod
    @then('no write has run under the abandoned request id')
    def expect_abandoned(context: Any) -> None:
        """Check for one abandoned request id and one that ran."""
        stored = list(context.client.database.outcomes.values())
        assert [k is None for k in stored] == [True, False], stored

    @staticmethod
    @then('the error has the request id under which "{sql}" ran')
    def expect_request_id(context: Any, sql: str) -> None:
        """Compare the request id with that of the stored outcome."""
        client = context.client
        assert client.database.runs == [(sql,)]
        assert list(client.database.outcomes) == [client.error.request_id]

    @staticmethod
    @then('the client has paused {count:d} times')
    def expect_pauses(context: Any, count: int) -> None:
        """Compare the number of pauses."""
        assert len(context.client.timer.sleeps) == count

    @staticmethod
    @then('the client has not paused')
    def expect_no_pause(context: Any) -> None:
        """Check that the client made no pause."""
        assert not context.client.timer.sleeps

    @staticmethod
    @then('the client has waited at most {seconds:d} seconds')
    def expect_wait(context: Any, seconds: int) -> None:
        """Compare the virtual time that has passed, in seconds."""
        assert 0 < context.client.timer.time <= seconds

    @staticmethod
    @then('the client has sent "{kind}" {count:d} times')
    def expect_sent(context: Any, kind: str, count: int) -> None:
        """Compare the number of messages of a type."""
        assert len(context.client.received_messages(kind)) == count

    @staticmethod
    @then('the client has sent "{kind}" at most {count:d} times')
    def expect_sent_at_most(context: Any, kind: str, count: int) -> None:
        """Check that a message was repeated and how often at most."""
        assert 1 < len(context.client.received_messages(kind)) <= count

    @staticmethod
    @then('the client\'s requests carried the tokens "{tokens}"')
    def expect_tokens(context: Any, tokens: str) -> None:
        """Compare the tokens of the statements in order."""
        sent = [
            m.token.decode()
            for m in context.client.received_messages('Execute')
        ]
        assert sent == tokens.split(', '), sent

    @staticmethod
    @then('no transaction is open at any host of the client')
    def expect_no_transaction(context: Any) -> None:
        """Check that no host has an open transaction."""
        hosts = context.client.hosts.values()
        assert not any(h.transactions for h in hosts)

    @staticmethod
    @then('the client\'s cursor has the columns "{name}" and {count:d} rows')
    def expect_columns(context: Any, name: str, count: int) -> None:
        """Compare the description and the row count."""
        cursor = context.client.cursor
        assert cursor.description == ((name, *(None,) * 6),)
        assert cursor.rowcount == count

    @staticmethod
    @then("the client's cursor returns the row {value:d} and then no row")
    def expect_row(context: Any, value: int) -> None:
        """Fetch the only row, then check that no row is left."""
        cursor = context.client.cursor
        assert cursor.fetchone() == (value,)
        assert cursor.fetchone() is None
        assert cursor.fetchall() == []
