"""Steps for the soak test's check of customers."""

from __future__ import annotations

import random
import shutil
from typing import Any

from behave import given
from behave import then
from behave import when

from trefoilpulley_emulator.member_server import MemberRun
from trefoilpulley_emulator.soak.customer_guarantees import CustomerCheck
from trefoilpulley_emulator.soak.customers import change_customers
from trefoilpulley_emulator.soak.customers import CustomerHistory
from trefoilpulley_emulator.soak.customers import make_customers
from trefoilpulley_emulator.soak.customers import SoakCustomer
from trefoilpulley_emulator.soak.faults import draw_customer_faults
from trefoilpulley_emulator.soak.faults import FaultKind
from trefoilpulley_emulator.soak.faults import Profile
from trefoilpulley_emulator.soak.guarantees import RefusedKey
from trefoilpulley_emulator.soak.guarantees import SentStatement
from trefoilpulley_emulator.soak.soak import Soak

CHANGED_AT = 100.0
"""Time of the second configuration, in seconds; its bound is 5 s later."""

OBSERVED_STATEMENTS = {
    'a statement ran for another customer': (
        ('key-d', 'orders', 'weavers', 50.0, 50.0),
    ),
    'a statement of a customer ran for a host': (
        ('key-d', 'orders', 'host-0', 50.0, 50.0),
    ),
    'a statement on a public route ran for a customer': (
        ('key-d', 'lookups', 'dyers', 50.0, 50.0),
    ),
    'a moved key ran for its former customer after the bound': (
        ('key-moved', 'orders', 'weavers', 105.1, 105.1),
    ),
    'a moved key ran for its next customer before the change': (
        ('key-moved', 'orders', 'dyers', 99.0, 99.1),
    ),
    'a key that was never held ran a statement': (
        ('key-x', 'orders', 'dyers', 50.0, 50.0),
    ),
    'a key ran a statement before it was added': (
        ('key-new', 'orders', 'weavers', 99.0, 99.1),
    ),
    'a removed key ran a statement after the bound': (
        ('key-w', 'orders', 'weavers', 105.1, 105.1),
    ),
    'a removed key ran a statement before the bound': (
        ('key-w', 'orders', 'weavers', 104.9, 104.9),
    ),
    'a removed key ran on in its transaction after the bound': (
        ('key-w', 'orders', 'weavers', 90.0, 90.1),
        ('key-w', 'orders', 'weavers', 106.9, 107.0),
    ),
    'a statement that was sent before the bound ran after it': (
        ('key-w', 'orders', 'weavers', 104.9, 107.0),
    ),
    'a moved key ran for both customers before the bound': (
        ('key-moved', 'orders', 'weavers', 104.9, 104.9),
        ('key-moved', 'orders', 'dyers', 104.9, 104.9),
    ),
    'an unknown key ran a statement on a public route': (
        ('key-x', 'lookups', 'host-0', 50.0, 50.0),
    ),
}
"""Key, database, customer at the member, begin and receipt by observation.

Times are in seconds.
"""


class CustomerCheckSteps:
    """Steps for what the check finds in runs of customers."""

    @staticmethod
    @given('a soak run with customers in which {observation}')
    def observe(context: Any, observation: str) -> None:
        """Let callers send statements that members receive."""
        runs, sent = [], {}
        for i, observed in enumerate(OBSERVED_STATEMENTS[observation]):
            key, database, customer, began_at, ran_at = observed
            sent[f'q{i}'] = SentStatement(database, key, f'q{i}', began_at)
            runs.append(MemberRun(customer, f'q{i}', 'READ a', ran_at))
        CustomerCheckSteps._check(context, sent, runs)

    @staticmethod
    @given('a member received a statement that no caller sent')
    def receive_unsent(context: Any) -> None:
        """Let a member receive a statement of nobody."""
        run = MemberRun('dyers', 'q1', 'READ a', 50.0)
        CustomerCheckSteps._check(context, {}, [run])

    @staticmethod
    @given('a host checked a member on a connection of a customer')
    def receive_internal(context: Any) -> None:
        """Let a member receive a request of a host."""
        run = MemberRun('dyers', '-', 'STATUS', 50.0)
        CustomerCheckSteps._check(context, {}, [run])

    @staticmethod
    @given('a connection names "{name}"')
    def connect(context: Any, name: str) -> None:
        """Let a connection to a member name someone."""
        CustomerCheckSteps._check(context, {}, [], names=[name])

    @staticmethod
    @given('"{key}" is refused on "{database}" at {at:g} s')
    def refuse(context: Any, key: str, database: str, at: float) -> None:
        """Refuse a key."""
        refused = RefusedKey(database, key, at, at + 0.1)
        CustomerCheckSteps._check(context, {}, [], refused=[refused])

    @staticmethod
    @given(
        '"{name}" runs {count:d} operations of {length:d} statements within '
        '5 s from {begin:g} s on'
    )
    def run_many(
        context: Any, name: str, count: int, length: int, begin: float
    ) -> None:
        """Spread operations evenly; each statement reaches two members."""
        key = {'dyers': 'key-d', 'weavers': 'key-kept'}[name]
        runs, sent = [], {}
        for i in range(count):
            at = begin + 5.0 * i / count
            for j in range(length):
                sent[f'q{i}.{j}'] = SentStatement('orders', key, f'q{i}.0', at)
                runs += [MemberRun(name, f'q{i}.{j}', 'READ a', at)] * 2
        CustomerCheckSteps._check(context, sent, runs)

    @staticmethod
    def _check(
        context: Any,
        sent: dict[str, SentStatement],
        runs: list[MemberRun],
        names: list[str] | None = None,
        refused: list[RefusedKey] | None = None,
    ) -> None:
        history = CustomerHistory()
        history.add(
            0.0,
            (
                SoakCustomer(
                    'weavers', ('key-w', 'key-kept', 'key-moved'), 10.0
                ),
                SoakCustomer('dyers', ('key-d',), 10.0),
            ),
        )
        history.add(
            CHANGED_AT,
            (
                SoakCustomer('weavers', ('key-kept', 'key-new'), 20.0),
                SoakCustomer('dyers', ('key-d', 'key-moved'), 5.0),
            ),
        )
        check = CustomerCheck(history, ('host-0',), sent)
        context.violations = check.find_violations(
            runs, names or [], refused or []
        )


class CustomerSoakSteps:
    """Steps for soak runs whose customers change."""

    @staticmethod
    @then(
        'seed {seed:d} changes the customers three times, and the same way '
        'each time'
    )
    def check_by_seed(context: Any, seed: int) -> None:
        """Compare the faults and changes of a seed."""
        faults, again = (
            draw_customer_faults(seed, ('h0', 'h1'), ('m0', 'm1'))
            for _ in range(2)
        )
        kinds = [f.kind for f in faults]
        assert faults == again
        assert kinds.count(FaultKind.CHANGE_CONFIGURATION) == 3, faults
        first = make_customers(10.0, 10.0)
        one, other = (
            change_customers(random.Random(seed), first, 1) for _ in range(2)
        )
        assert one == other
        assert one != first

    @staticmethod
    @when(
        'the customers change under faults with seed {seed:d}, {hosts:d} '
        'hosts and {connections:d} connections'
    )
    def run(context: Any, seed: int, hosts: int, connections: int) -> None:
        """Run a seed with customers; keep the logs of a failure."""
        soak = Soak(seed, hosts, 0.0, connections, Profile.CUSTOMERS)
        context.violations = soak.run()
        if not context.violations:
            shutil.rmtree(soak.directory)
