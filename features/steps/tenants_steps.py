"""Steps for tenants that share a ledger and have a database each."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import permutations
from pathlib import Path
from typing import Any

from behave import given
from behave import then
from behave import when

from features.fakes.tenants_host import FAULTS
from features.fakes.tenants_host import TenantCaller
from features.fakes.tenants_host import TenantsHost
from trefoilpulley_core.caller import Answer
from trefoilpulley_core.caller import Begin
from trefoilpulley_core.caller import Begun
from trefoilpulley_core.caller import Commit
from trefoilpulley_core.caller import Execute
from trefoilpulley_core.caller import LookUp
from trefoilpulley_core.caller import Refusal
from trefoilpulley_core.caller import Rollback

_EXAMPLE = Path('examples/sleevecraft.json')


@dataclass(frozen=True, slots=True)
class _Attempt:
    kind: str
    """Kind of the attempt, as in the feature's table."""

    message: Any
    """Message that the tenant sends."""

    code: str
    """Code of the expected refusal."""


class TenantsSteps:
    """Steps that send messages of every tenant to every database."""

    @staticmethod
    @given('an entry host for tenants with the fault "{fault}"')
    def make_host(context: Any, fault: str) -> None:
        """Build a host with the example's declarations."""
        context.host = TenantsHost(_EXAMPLE, FAULTS[fault])

    @staticmethod
    @then('the tenants of the example have exactly these grants')
    def check_grants(context: Any) -> None:
        """Compare the grants with the table."""
        found = {
            (t.name, g.ledger, ' '.join(g.classes))
            for t in context.host.declarations.tenants
            for g in t.grants
        }
        assert found == {tuple(row.cells) for row in context.table}, found

    @staticmethod
    @then('each tenant is answered only on its own database')
    def check_own_database(context: Any) -> None:
        """Send each kind of message in each class of the tenant."""
        for tenant, grant in context.host.grants.items():
            caller = context.host.connect(tenant)
            for name in grant.classes:
                _check_access(caller, name, grant.ledger)
                assert context.host.pop_reached() == {grant.ledger}

    @staticmethod
    @when('each tenant tries to reach the databases of the other tenants')
    def attempt_all(context: Any) -> None:
        """Collect the attempts that were not refused as expected."""
        context.unrefused_kinds = set()
        for tenant, other in permutations(context.host.grants, 2):
            for attempt in _make_attempts(context.host, tenant, other):
                caller = context.host.connect(tenant)
                context.host.pop_reached()
                reply = caller.send(attempt.message)
                reached = context.host.pop_reached()
                if reached or not _is_refused(reply, attempt.code):
                    context.unrefused_kinds.add(attempt.kind)

    @staticmethod
    @then('the attempts without the expected refusal are {kinds}')
    def check_kinds(context: Any, kinds: str) -> None:
        """Compare the kinds of the attempts without the expected refusal."""
        expected = set() if kinds == 'nothing' else set(kinds.split(', '))
        assert context.unrefused_kinds == expected, context.unrefused_kinds


def _check_access(caller: TenantCaller, name: str, database: str) -> None:
    token = caller.token
    ran = caller.send(Execute('r1', name, database, 'sql', token=token))
    assert isinstance(ran, Answer), ran
    found = caller.send(LookUp('r1', name, database, token))
    assert isinstance(found, Answer), found
    begun = caller.send(Begin(name, database, token))
    assert isinstance(begun, Begun), begun
    elsewhere = Execute(
        'r2', name, 'shared-ledger/9', 'sql', transaction=begun.transaction
    )
    assert isinstance(caller.send(elsewhere), Answer)
    ended = caller.send(Commit(begun.transaction, 'r3', token))
    assert isinstance(ended, Answer), ended


def _make_attempts(
    host: TenantsHost, tenant: str, other: str
) -> Iterator[_Attempt]:
    own = host.grants[tenant]
    owner = host.connect(other)
    token = host.connect(tenant).token
    target = host.grants[other].ledger
    for name in own.classes:
        for kind, message in _make_messages(name, target, token):
            yield _Attempt(kind, message, 'not-authorized')
        for _, message in _make_messages(name, own.ledger, owner.token):
            yield _Attempt('token', message, 'invalid-token')
        begun = owner.send(Begin(name, target, owner.token)).transaction
        for message in (
            Execute('r1', name, target, 'sql', transaction=begun),
            Commit(begun, 'r1', token),
            Rollback(begun),
        ):
            yield _Attempt('open transaction', message, 'transaction-lost')


def _make_messages(
    name: str, database: str, token: bytes
) -> tuple[tuple[str, Any], ...]:
    return (
        ('statement', Execute('r1', name, database, 'sql', token=token)),
        ('transaction', Begin(name, database, token)),
        ('look-up', LookUp('r1', name, database, token)),
    )


def _is_refused(reply: Any, code: str) -> bool:
    return isinstance(reply, Refusal) and reply.code == code
