"""Steps on tenants that share a ledger by databases of their own."""

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
class _Try:
    kind: str
    """What is tried."""

    message: Any
    """Message."""

    code: str
    """Code of the refusal that is due."""


class TenantsSteps:
    """Tries of every tenant at every database."""

    @staticmethod
    @given('a tenants host with the fault "{fault}"')
    def make_host(context: Any, fault: str) -> None:
        """Make a host with the example's declarations."""
        context.host = TenantsHost(_EXAMPLE, FAULTS[fault])

    @staticmethod
    @then('tenants of the example have these rights alone')
    def check_rights(context: Any) -> None:
        """Compare the rights with the table."""
        found = {
            (t.name, g.ledger, ' '.join(g.classes))
            for t in context.host.declarations.tenants
            for g in t.grants
        }
        assert found == {tuple(row.cells) for row in context.table}, found

    @staticmethod
    @then('tenants are answered on their own databases alone')
    def check_own(context: Any) -> None:
        """Send each kind of message in each class."""
        for tenant, right in context.host.rights.items():
            caller = context.host.connect(tenant)
            for name in right.classes:
                _use(caller, name, right.ledger)
                assert context.host.take_reached() == {right.ledger}

    @staticmethod
    @when('tenants try to reach the databases of all others')
    def try_all(context: Any) -> None:
        """Note the tries that were not refused as they should be."""
        context.got_through = set()
        for tenant, other in permutations(context.host.rights, 2):
            for attempt in _make_tries(context.host, tenant, other):
                caller = context.host.connect(tenant)
                context.host.take_reached()
                reply = caller.send(attempt.message)
                reached = context.host.take_reached()
                if reached or not _is_refused(reply, attempt.code):
                    context.got_through.add(attempt.kind)

    @staticmethod
    @then('tenants got through by {kinds}')
    def check_kinds(context: Any, kinds: str) -> None:
        """Compare the kinds of the tries that got through."""
        expected = set() if kinds == 'nothing' else set(kinds.split(', '))
        assert context.got_through == expected, context.got_through


def _use(caller: TenantCaller, name: str, database: str) -> None:
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


def _make_tries(host: TenantsHost, tenant: str, other: str) -> Iterator[_Try]:
    own = host.rights[tenant]
    owner = host.connect(other)
    token = host.connect(tenant).token
    target = host.rights[other].ledger
    for name in own.classes:
        for kind, message in _messages(name, target, token):
            yield _Try(kind, message, 'not-authorized')
        for _, message in _messages(name, own.ledger, owner.token):
            yield _Try('token', message, 'invalid-token')
        begun = owner.send(Begin(name, target, owner.token)).transaction
        for message in (
            Execute('r1', name, target, 'sql', transaction=begun),
            Commit(begun, 'r1', token),
            Rollback(begun),
        ):
            yield _Try('open transaction', message, 'transaction-lost')


def _messages(
    name: str, database: str, token: bytes
) -> tuple[tuple[str, Any], ...]:
    return (
        ('statement', Execute('r1', name, database, 'sql', token=token)),
        ('transaction', Begin(name, database, token)),
        ('look-up', LookUp('r1', name, database, token)),
    )


def _is_refused(reply: Any, code: str) -> bool:
    return isinstance(reply, Refusal) and reply.code == code
