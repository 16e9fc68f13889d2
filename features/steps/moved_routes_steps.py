"""Steps for routes that move to another service."""

from __future__ import annotations

import copy
from typing import Any

from behave import given
from behave import then
from behave import when

from features.fakes.asking import execute_once
from features.fakes.asking import wait_until
from trefoilpulley_core.position import Position
from trefoilpulley_emulator.deployment import configuration
from trefoilpulley_emulator.deployment import DATABASES
from trefoilpulley_emulator.deployment import ZONES
from trefoilpulley_emulator.group import EmulatedGroup
from trefoilpulley_node.direct.exchange import record_proof

NO_APPLICATION_LAG_S = 600.0
"""Lag of a replica that applies nothing during a scenario, in seconds."""


class MovedRouteSteps:
    """Steps for sessions and transactions behind a route change."""

    @staticmethod
    @given('a second service "{name}"')
    def add_service(context: Any, name: str) -> None:
        """Start the members of a second service, which holds no commit."""
        deployment = context.deployment
        group = EmulatedGroup(name, ZONES, deployment.store)
        context.cleanups.append(group.stop)
        group.start()
        context.services = {'ledger': deployment.group, name: group}
        MovedRouteSteps._configure(context, 'ledger')

    @staticmethod
    @given('replicas of "{service}" that apply no further commit')
    def stop_applying(context: Any, service: str) -> None:
        """Let every member apply one commit, and the replicas no other."""
        caller = context.deployment.hosts[0].connect('orders')
        assert caller.execute('WRITE k first').code == 'DONE'
        caller.close()
        group = context.services[service]
        for server in group.servers.values():
            assert server.state.applied_count() == 1
            server.state.lag_s = NO_APPLICATION_LAG_S
        # The replicas are read by positions that were proved after the commit.
        wait_until(
            lambda: (
                execute_once(context, 'orders', 0, 'READ k').signature
                != f'sig.{group.primary.state.member}.'
            )
        )

    @staticmethod
    @when('a transaction of "{database}" writes at "{service}" through host 0')
    def begin(context: Any, database: str, service: str) -> None:
        """Make some commits, then write in a transaction."""
        for number in range(5):
            answer = execute_once(context, database, 0, f'WRITE a {number}')
            assert answer.code == 'DONE', answer
        context.caller = context.deployment.hosts[0].connect(database)
        context.cleanups.append(context.caller.close)
        for text in ('BEGIN', 'WRITE x 1'):
            assert context.caller.execute(text).code == 'DONE'
        assert len(context.services[service].primary.state.log) == 5

    @staticmethod
    @when(
        'a session of "{database}" writes "{data}" to "{item}" through host 0'
    )
    def open_session(
        context: Any, database: str, data: str, item: str
    ) -> None:
        """Open a session and write."""
        context.caller = context.deployment.hosts[0].connect(database)
        context.cleanups.append(context.caller.close)
        MovedRouteSteps.write(context, data, item)

    @staticmethod
    @when('the session writes "{data}" to "{item}"')
    def write(context: Any, data: str, item: str) -> None:
        """Write in the session."""
        answer = context.caller.execute(f'WRITE {item} {data}')
        assert answer.code == 'DONE', answer

    @staticmethod
    @when('the route of "orders" moves to "{service}"')
    def move_route(context: Any, service: str) -> None:
        """Change the configuration and wait until host 0 applies it."""
        MovedRouteSteps._configure(context, service)

    @staticmethod
    @when('a proof of the primary of "{other}" arrives for "{service}"')
    def prove_foreign(context: Any, other: str, service: str) -> None:
        """Record a proof with the access to a member of another service."""
        groups = context.deployment.hosts[0].proxy.directory.groups
        primary = context.services[other].primary.state.member
        access = groups[other].accesses[primary]
        record_proof(groups[service], access, 1.0, Position(9, 9))

    @staticmethod
    @when('a proof of a former access to its own primary arrives for "{name}"')
    def prove_former(context: Any, name: str) -> None:
        """Record a proof with an access that has been replaced."""
        groups = context.deployment.hosts[0].proxy.directory.groups
        group = groups[name]
        primary = context.services[name].primary.state.member
        former = copy.copy(group.accesses[primary])
        record_proof(group, former, 1.0, Position(9, 9))

    @staticmethod
    @when('the transaction commits')
    def commit(context: Any) -> None:
        """Commit the open transaction."""
        assert context.caller.execute('COMMIT').code == 'DONE'

    @staticmethod
    @when('the transaction writes once more and commits')
    def write_and_commit(context: Any) -> None:
        """Write in the open transaction and commit it."""
        assert context.caller.execute('WRITE y 2').code == 'DONE'
        MovedRouteSteps.commit(context)

    @staticmethod
    @then('host 0 knows the commit as a position of "{service}"')
    def check_proof(context: Any, service: str) -> None:
        """Check the newest evidence of the transaction's service."""
        state = MovedRouteSteps._state(context, service)
        log = context.services[service].primary.state.log
        assert state.evidence.newest.position.index == len(log)

    @staticmethod
    @then(
        'host 0 knows no position or primary of "{service}" that is not its '
        'own'
    )
    def check_no_foreign_proof(context: Any, service: str) -> None:
        """Check the evidence and the primary of a service without commits."""
        state = MovedRouteSteps._state(context, service)
        assert not context.services[service].primary.state.log
        assert state.evidence.newest is None, state.evidence.newest
        assert state.primary in state.members, state.primary

    @staticmethod
    @then('all its writes are at "{service}" and none is at "{other}"')
    def check_writes(context: Any, service: str, other: str) -> None:
        """Check the final logs."""
        writes = context.services[service].primary.state.log[-1].writes
        assert writes == (('x', '1'), ('y', '2')), writes
        assert not context.services[other].primary.state.log
        MovedRouteSteps.check_no_foreign_proof(context, other)

    @staticmethod
    @then(
        'each of {count:d} reads of "{item}" in the session returns "{data}"'
    )
    def check_reads(context: Any, count: int, item: str, data: str) -> None:
        """Read repeatedly in the session."""
        for _ in range(count):
            answer = context.caller.execute(f'READ {item}')
            assert answer.rows == (data,), answer

    @staticmethod
    def _configure(context: Any, service: str) -> None:
        deployment = context.deployment
        deployment.version += 3
        document = configuration(deployment.version, dict(DATABASES), 16, 0)
        for route in document['routes']:
            if route['host'] == 'orders':
                route['service'] = service
        (limits,) = document['services']
        document['services'] = [
            {**limits, 'name': name} for name in context.services
        ]
        deployment.store.put('op/config', document)
        directory = deployment.hosts[0].proxy.directory
        wait_until(lambda: directory.table.version == deployment.version)

    @staticmethod
    def _state(context: Any, service: str) -> Any:
        return (
            context.deployment.hosts[0].proxy.directory.groups[service].state
        )
