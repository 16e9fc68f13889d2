"""Steps on callers that are customers by their keys."""

from __future__ import annotations

from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
import json
from typing import Any
from typing import TYPE_CHECKING

from behave import given
from behave import step
from behave import then
from behave import when
import eliot
from returns.result import Result
from returns.result import Success

from features.fakes.asking import wait_until
from trefoilpulley_core.direct.commands import Begin
from trefoilpulley_core.direct.commands import Commit
from trefoilpulley_core.direct.commands import Run
from trefoilpulley_core.direct.config_messages import ConfigurationQuestion
from trefoilpulley_core.direct.upstream_session import Reply
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import NotAuthenticated
from trefoilpulley_emulator.deployment import configuration
from trefoilpulley_emulator.deployment import DATABASES
from trefoilpulley_node.direct import caller_session
from trefoilpulley_node.direct.direct_metrics import DirectMetrics
from trefoilpulley_node.direct.key_refusals import KeyRefusals
from trefoilpulley_node import events
from trefoilpulley_wire.peer_codec import PEER_CODEC

if TYPE_CHECKING:
    from trefoilpulley_core.direct.routes import Route
    from trefoilpulley_node.direct.directory import Group
    from trefoilpulley_node.direct.statement_request import StatementRequest

PUBLIC = 'lookups'
"""Database name of the public route."""


@dataclass
class _RecordingRunner:
    """Runs statements, in a transaction or not, and records them."""

    requests: list[StatementRequest] = field(default_factory=list)
    is_failed: bool = False
    served_by: tuple[Route, Group] | None = None

    def roll_back(self) -> None:
        """End nothing; no connection is used."""

    def read(self, request: StatementRequest) -> Result[Reply, Failure]:
        """Record a statement."""
        self.requests.append(request)
        return Success(Reply())

    run = commit = read


class CustomerSteps:
    """Steps on the hosts of a deployment with customers."""

    @staticmethod
    @step('the customers "{customers}"')
    @step('the customers are "{customers}"')
    def configure(context: Any, customers: str) -> None:
        """Write ``NAME: KEY KEY; NAME: KEY`` and wait for all hosts."""
        CustomerSteps._configure(context, customers)
        _wait_applied(context)

    @staticmethod
    def _configure(context: Any, customers: str) -> None:
        entries = []
        for entry in customers.split('; '):
            name, _, keys = entry.partition(': ')
            entries.append({'name': name, 'api_keys': keys.split()})
        _write(context, {'tenants': entries})

    @staticmethod
    @given('the service is silent to host {host:d}')
    def silence(context: Any, host: int) -> None:
        """Let a host hear nothing more without noticing it."""
        follower = context.deployment.hosts[host].proxy._follower
        wait_until(lambda: follower.is_following)
        follower.stop()

    @staticmethod
    @when('the customers of host 0 are "{customers}"')
    def configure_first(context: Any, customers: str) -> None:
        """Write a configuration of which only some hosts hear."""
        CustomerSteps._configure(context, customers)

    @staticmethod
    @then('host {host:d} eventually refuses the key "{key}"')
    def check_learnt(context: Any, host: int, key: str) -> None:
        """Open sessions until one is refused."""

        def is_refused() -> bool:
            caller = context.deployment.hosts[host].connect('orders', key)
            caller.close()
            return caller.greeting.startswith('ERR NOAUTH')

        wait_until(is_refused)

    @staticmethod
    @then('host {host:d} tells that its configuration is from "{source}"')
    def check_source(context: Any, host: int, source: str) -> None:
        """Check the state dump."""
        state = context.deployment.hosts[host].proxy.dump()
        assert state.configuration_source == source, state

    @staticmethod
    @given('no customers are configured')
    def configure_none(context: Any) -> None:
        """Write a configuration without the field of the customers."""
        _write(context, {})
        _wait_applied(context)

    @staticmethod
    @then('a session of "{database}" with the key "{key}" gets "{greeting}"')
    def check_session(
        context: Any, database: str, key: str, greeting: str
    ) -> None:
        """Open a session at each host and compare the greeting."""
        for host in context.deployment.hosts:
            caller = host.connect(database, key)
            caller.close()
            assert caller.greeting.startswith(greeting), caller.greeting

    @staticmethod
    @then('a session of "{database}" with the key "" gets "{greeting}"')
    def check_keyless(context: Any, database: str, greeting: str) -> None:
        """Open a session with an empty second word."""
        CustomerSteps.check_session(context, database, '', greeting)

    @staticmethod
    @given('a caller of "{database}" with the key "{key}"')
    def connect(context: Any, database: str, key: str) -> None:
        """Open a session that stays open."""
        context.caller = context.deployment.hosts[0].connect(database, key)
        context.cleanups.append(context.caller.close)

    @staticmethod
    @when('the caller sends "{one}" and "{other}"')
    def execute(context: Any, one: str, other: str) -> None:
        """Execute two statements, which must succeed, and count them."""
        for text in (one, other):
            CustomerSteps.check_answer(context, text, 'DONE')
        context.received = _count_statements(context)

    @staticmethod
    @then('the caller\'s "{text}" gets "{code}"')
    def check_answer(context: Any, text: str, code: str) -> None:
        """Execute a statement, or those of the table."""
        texts = [row['statement'] for row in context.table or ()] or [text]
        for each in texts:
            answer = context.caller.execute(each)
            assert answer.code == code, (each, answer)

    @staticmethod
    @then('no member has received a statement')
    def check_unsent(context: Any) -> None:
        """Compare the statements at the members with those counted."""
        assert _count_statements(context) == context.received

    @staticmethod
    @given('a session with the key "{key}" whose statements are recorded')
    def record(context: Any, key: str) -> None:
        """Open a session on a recording runner."""
        CustomerSteps.record_of(context, 'orders', key)

    @staticmethod
    @given(
        'a session of "{database}" with the key "{key}" whose statements are '
        'recorded'
    )
    def record_of(context: Any, database: str, key: str) -> None:
        """Replace the runner and the transactions by a recorder."""
        factory = context.deployment.hosts[0].proxy.factory
        context.runner = factory.runner = _RecordingRunner()
        kind = caller_session.CallerTransaction
        caller_session.CallerTransaction = lambda *args: context.runner

        def restore() -> None:
            caller_session.CallerTransaction = kind

        context.cleanups.append(restore)
        context.session = factory.open(database, key)

    @staticmethod
    @when('the session runs a statement')
    def run(context: Any) -> None:
        """Handle a read."""
        reply = context.session.handle(Run('q1', 'READ a', False))
        assert reply.failure is None, reply

    @staticmethod
    @when('the session begins a transaction')
    def begin(context: Any) -> None:
        """Handle a BEGIN."""
        assert context.session.handle(Begin(False)).failure is None

    @staticmethod
    @when('the session commits')
    def commit(context: Any) -> None:
        """Handle a COMMIT."""
        assert context.session.handle(Commit('q2')).failure is None

    @staticmethod
    @when('the session is refused a COMMIT')
    def refuse_commit(context: Any) -> None:
        """Handle a COMMIT of a transaction whose key has moved."""
        reply = context.session.handle(Commit('q2'))
        assert isinstance(reply.failure, NotAuthenticated), reply

    @staticmethod
    @then('a member has rolled the transaction back')
    def check_rolled_back(context: Any) -> None:
        """Wait for the rollback, before the caller sends anything."""
        servers = context.deployment.group.servers.values()
        wait_until(
            lambda: any(
                text.startswith('ROLLBACK')
                for s in servers
                for _, text in s.received_requests[-1:]
            )
        )

    @staticmethod
    @then('the committed data of "{item}" are "{data}"')
    def check_committed(context: Any, item: str, data: str) -> None:
        """Read the item in the log of the primary."""
        assert context.deployment.group.log.primary.read(item) == data

    @staticmethod
    @then('the statements ran for "{names}"')
    def check_names(context: Any, names: str) -> None:
        """Compare the customers of the recorded statements."""
        found = [r.customer for r in context.runner.requests]
        assert found == names.split(', '), found

    @staticmethod
    @then('the statements ran for ""')
    def check_no_name(context: Any) -> None:
        """Check that a statement without a customer has run."""
        CustomerSteps.check_names(context, '')


class KeySecrecySteps:
    """Steps that search what hosts show and send for keys."""

    @staticmethod
    @when(
        'callers use, lose and guess keys while everything shown is recorded'
    )
    def use_keys(context: Any) -> None:
        """Let hosts serve and refuse keys, with faulty entries beside."""
        logged = _record_log(context)
        callers = [
            host.connect(database, key)
            for host in context.deployment.hosts
            for database, key in (
                ('orders', 'key-w1'),
                ('orders', 'key-d'),
                ('orders', 'key-guessed'),
                ('nowhere', 'key-w2'),
            )
        ]
        shown = [c.greeting for c in callers]
        callers[0].execute('BEGIN')
        shown.append(callers[0].execute('WRITE a 1'))
        CustomerSteps.configure(
            context, 'weavers: key-w2; dyers: key-w2; key-m: key-m; menders:'
        )
        shown.append(callers[0].execute('COMMIT'))
        shown.append(callers[0].execute('READ a'))
        shown.append(callers[1].execute('READ a'))
        for caller in callers:
            caller.close()
        context.shown = '\n'.join(
            [
                *map(repr, shown),
                *map(repr, logged),
                *(_show_host(h.proxy) for h in context.deployment.hosts),
                *(
                    repr(s.received_requests)
                    for s in context.deployment.group.servers.values()
                ),
            ]
        )

    @staticmethod
    @then('none of the keys is shown or sent by a host')
    def check_hidden(context: Any) -> None:
        """Search what was recorded; it must contain what tells of keys."""
        for expected in ('NOAUTH', 'key-refused', 'shared-key', 'weavers'):
            assert expected in context.shown, expected
        for key in ('key-w1', 'key-w2', 'key-d', 'key-m', 'key-guessed'):
            at = context.shown.find(key)
            assert at < 0, context.shown[max(0, at - 200) : at + 50]

    @staticmethod
    @when('{count:d} sessions with an unknown key are refused at one time')
    def refuse(context: Any, count: int) -> None:
        """Report the refusals at one virtual time."""
        context.logged = _record_log(context)
        context.metrics = DirectMetrics()
        refusals = KeyRefusals(context.metrics)
        for _ in range(count):
            refusals.on_refused('orders', 50.0)

    @staticmethod
    @then(
        'one event tells of a refused key and {count:d} refusals are counted'
    )
    def check_rate(context: Any, count: int) -> None:
        """Check the log and the counter."""
        assert len(_find_events(context, events.KEY_REFUSED)) == 1
        line = (
            'trefoilpulley_sessions_refused_total'
            f'{{reason="not-authenticated"}} {count}.0'
        )
        assert line.encode() in context.metrics.render()

    @staticmethod
    @then(
        'the state dump shows "{names}" and leaves out "{left_out}" for '
        '"{reason}"'
    )
    def check_dump(
        context: Any, names: str, left_out: str, reason: str
    ) -> None:
        """Check the customers in the state dump of each host."""
        for host in context.deployment.hosts:
            state = host.proxy.dump()
            found = [c.customer for c in state.customers]
            assert found == names.split(', '), found
            (fault,) = state.customers_left_out
            assert (fault.name, fault.code) == (left_out, reason), fault

    @staticmethod
    @then('one event for each host tells that "{name}" is left out')
    def check_event(context: Any, name: str) -> None:
        """Check the events since the last configuration."""
        found = _find_events(context, events.CUSTOMER_LEFT_OUT)
        assert [e['customer'] for e in found] == [name] * 2, found


def _write(context: Any, fields: dict[str, Any]) -> None:
    """Write a configuration of the next version."""
    context.logged = _record_log(context)
    deployment = context.deployment
    deployment.version += 1
    document = configuration(deployment.version, DATABASES, 16, 0)
    for route in document['routes']:
        route['public'] = route['host'] == PUBLIC
    deployment.store.put('op/config', {**document, **fields})


def _wait_applied(context: Any) -> None:
    deployment = context.deployment
    for host in deployment.hosts:
        directory = host.proxy.directory
        wait_until(lambda d=directory: d.table.version == deployment.version)


def _record_log(context: Any) -> list[dict[str, Any]]:
    logged: list[dict[str, Any]] = []
    eliot.add_destinations(logged.append)
    context.cleanups.append(lambda: eliot.remove_destination(logged.append))
    return logged


def _find_events(context: Any, event: events.Event) -> list[dict[str, Any]]:
    return [m for m in context.logged if m.get('event') == event.name]


def _count_statements(context: Any) -> int:
    servers = context.deployment.group.servers.values()
    received = [t for s in servers for _, t in s.received_requests]
    return sum(t.startswith(('READ', 'WRITE', 'EXEC')) for t in received)


def _show_host(proxy: Any) -> str:
    """Return what a host shows, and what it sends to other hosts."""
    answer = proxy.configuration.on_question(ConfigurationQuestion(0))
    sessions = [proxy.factory.open('orders', k) for k in ('key-w2', 'key-m')]
    return '\n'.join(
        [
            json.dumps(asdict(proxy.dump())),
            proxy.metrics.render().decode(),
            repr(PEER_CODEC.encode(1, answer)),
            repr(answer),
            repr(proxy.directory.table),
            *(repr(vars(s)) for s in sessions),
            repr(proxy.sessions),
        ]
    )
